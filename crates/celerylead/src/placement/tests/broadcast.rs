//! Broadcast of what runners hold, with random changes and losses.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    EpochMillis, SortedTable,
    placement::{
        BroadcastFanout, ResidencyBroadcast, ResidencyList, SequenceStatus,
        SequenceTracker,
    },
    roster::HeldModel,
};

/// Runners of a fleet, each with a number that determines what it holds.
struct Fleet {
    model_numbers: Vec<u32>,
}

impl Fleet {
    fn list(&self) -> ResidencyList {
        let model_numbers = self.model_numbers.iter().enumerate();
        model_numbers
            .map(|(index, number)| (format!("i-{index:03}"), models(*number)))
            .collect()
    }
}

fn models(number: u32) -> Vec<HeldModel> {
    let adapters = (0..5).map(|index| format!("a{}", number + index));
    let adapters = adapters.collect();
    vec![HeldModel { name: format!("model-{number}"), adapters }]
}

/// Guards against outdated entries that a receiver keeps after a lost
/// datagram.
#[test]
fn a_receiver_holds_no_outdated_entry_after_losses() {
    struct Case {
        name: &'static str,
        runners: usize,
        /// Lost datagrams, in percent.
        lost: u32,
        /// Probability of a change per tick, in percent.
        changes: u32,
    }
    let cases = [
        Case { name: "no loss", runners: 9, lost: 0, changes: 5 },
        Case { name: "heavy loss", runners: 9, lost: 40, changes: 30 },
        Case { name: "many runners", runners: 90, lost: 10, changes: 90 },
        Case {
            name: "many runners with extreme loss",
            runners: 90,
            lost: 80,
            changes: 90,
        },
    ];
    for Case { name, runners, lost, changes } in cases {
        let mut random = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet { model_numbers: vec![0; runners] };
        let mut sender = ResidencyBroadcast::default();
        let mut tracker = SequenceTracker::default();
        let mut announced = SortedTable::default();
        let mut cached: SortedTable<String, Vec<HeldModel>> =
            SortedTable::default();
        let mut most = 0;
        for tick in 0..1_500 {
            if random.random_range(0..100) < changes {
                let index = random.random_range(0..runners);
                fleet.model_numbers[index] += 1;
            }
            if random.random_range(0..1_000) == 0 {
                sender.restart();
            }
            sender.update(fleet.list());
            let now = EpochMillis(tick * 50);
            let fanout = BroadcastFanout::direct(8);
            let Some((sequence, residency)) = sender.poll(fanout, now) else {
                continue;
            };
            for (runner, models) in &residency {
                announced.insert(runner.clone(), models.clone());
            }
            if random.random_range(0..100) < lost {
                continue;
            }
            match tracker.observe(1, sequence) {
                SequenceStatus::Stale => panic!("{name}: stale sequence"),
                SequenceStatus::Next => {}
                SequenceStatus::Gap => cached = SortedTable::default(),
            }
            for (runner, models) in residency {
                cached.insert(runner, models);
            }
            for (runner, models) in cached.iter() {
                assert_eq!(
                    announced.get(runner),
                    Some(models),
                    "{name}: {runner}"
                );
            }
            most = most.max(cached.len());
        }
        assert_eq!(most, runners, "{name}: most runners known at once");
    }
}

/// Guards against a host that saturates its own link with broadcasts.
#[test]
fn broadcasts_stay_within_their_share_of_the_link() {
    /// Bandwidth in bytes per second: a fifth of 10 Mbit/s, without headers.
    const MAX_BYTES_PER_SECOND: usize = 250_000;
    struct Case {
        runners: usize,
        receivers: usize,
    }
    let cases = [
        Case { runners: 9, receivers: 8 },
        Case { runners: 90, receivers: 74 },
        Case { runners: 5_200, receivers: 560 },
    ];
    for Case { runners, receivers } in cases {
        let mut fleet = Fleet { model_numbers: vec![0; runners] };
        let mut sender = ResidencyBroadcast::default();
        let (mut bytes, mut last) = (0, 0);
        let seconds = 5;
        for tick in 0..seconds * 20 {
            let index = tick % runners;
            fleet.model_numbers[index] += 1;
            sender.update(fleet.list());
            let now = EpochMillis(tick as u64 * 50);
            let fanout = BroadcastFanout::direct(receivers);
            let Some((_, residency)) = sender.poll(fanout, now) else {
                continue;
            };
            last = postcard::to_stdvec(&residency).unwrap().len() * receivers;
            bytes += last;
        }
        // The pause that limits the bandwidth follows each message, so the
        // last message isn't counted.
        let spent = bytes - last;
        assert!(
            spent <= MAX_BYTES_PER_SECOND * seconds,
            "{runners}: {spent} bytes"
        );
        assert!(0 < spent, "{runners}");
    }
}
