//! Turns of the digests.

use super::super::TellTurn;

/// Guards against digests to a whole fleet in one burst, of which a thin link
/// drops the end: hosts that are last in the order never hear the sender.
#[test]
fn each_host_is_told_in_time_and_no_burst_fills_a_link() {
    struct Case {
        name: &'static str,
        /// Hosts of the own zone and of all others.
        near: usize,
        far: usize,
        /// Most hosts that are told in one turn.
        at_once: usize,
    }
    let cases = [
        Case { name: "alone in its zone", near: 0, far: 5, at_once: 5 },
        Case { name: "a small fleet", near: 2, far: 5, at_once: 7 },
        // Twenty digests of 1 kB take 16 ms of a link of 10 Mbit/s, well
        // below the 40 ms to the next turn.
        Case { name: "a large fleet", near: 28, far: 58, at_once: 20 },
    ];
    // Of 40 ms each; a host counts as silent after 700 ms.
    const NEAR_TURNS: usize = 5;
    const FAR_TURNS: usize = 10;
    const DEMAND_TURNS: usize = 20;
    for Case { name, near, far, at_once } in cases {
        let hosts = near + far;
        let turn = |number| TellTurn::new(number, hosts);
        for first in 0..40 {
            let told = |place: usize, turns: usize| {
                let told = (first..first + turns)
                    .filter(|number| turn(*number).tells(place, place < near));
                told.count()
            };
            for place in 0..hosts {
                let turns = if place < near { NEAR_TURNS } else { FAR_TURNS };
                assert_eq!(told(place, turns), 1, "{name}, host {place}");
                let demands = (first..first + DEMAND_TURNS).filter(|number| {
                    let turn = turn(*number);
                    turn.tells(place, place < near) && turn.tells_demand(place)
                });
                assert_eq!(demands.count(), 1, "{name}, host {place}");
            }
            let burst = (0..hosts)
                .filter(|place| turn(first).tells(*place, *place < near));
            assert!(burst.count() <= at_once, "{name}, turn {first}");
        }
    }
}
