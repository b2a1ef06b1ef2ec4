//! Tests of the gossip schedule.

use super::super::GossipTick;

/// Guards against sending digests to a whole fleet in one burst. A link of low
/// bandwidth drops the end of the burst, so the last hosts in the order never
/// receive a digest.
#[test]
fn each_host_gets_digests_in_time_without_bursts() {
    struct Case {
        name: &'static str,
        /// Hosts of the sender's zone.
        near: usize,
        /// Hosts of all other zones.
        far: usize,
        /// Most hosts that are included in one tick.
        max_per_tick: usize,
    }
    let cases = [
        Case { name: "alone in its zone", near: 0, far: 5, max_per_tick: 5 },
        Case { name: "small fleet", near: 2, far: 5, max_per_tick: 7 },
        // Twenty digests of 1 kB take 16 ms on a 10 Mbit/s link, well below
        // the 40 ms to the next tick.
        Case { name: "large fleet", near: 28, far: 58, max_per_tick: 20 },
    ];
    // Each tick takes 40 ms; a host counts as silent after 700 ms.
    const SAME_ZONE_TICKS: usize = 5;
    const OTHER_ZONES_TICKS: usize = 10;
    const DEMAND_TICKS: usize = 20;
    for Case { name, near, far, max_per_tick } in cases {
        let hosts = near + far;
        let tick = |number| GossipTick::new(number, hosts);
        for first in 0..40 {
            let included = |index: usize, ticks: usize| {
                let included = (first..first + ticks).filter(|number| {
                    tick(*number).includes(index, index < near)
                });
                included.count()
            };
            for index in 0..hosts {
                let ticks = if index < near {
                    SAME_ZONE_TICKS
                } else {
                    OTHER_ZONES_TICKS
                };
                assert_eq!(included(index, ticks), 1, "{name}, host {index}");
                let demands = (first..first + DEMAND_TICKS).filter(|number| {
                    let tick = tick(*number);
                    tick.includes(index, index < near)
                        && tick.includes_demand(index)
                });
                assert_eq!(demands.count(), 1, "{name}, host {index}");
            }
            let burst = (0..hosts)
                .filter(|index| tick(first).includes(*index, *index < near));
            assert!(burst.count() <= max_per_tick, "{name}, tick {first}");
        }
    }
}
