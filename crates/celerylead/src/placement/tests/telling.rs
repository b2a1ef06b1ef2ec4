//! What hosts are told of the runners, at random.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    EpochMillis, SortedTable,
    placement::{HeldHearing, HeldList, HeldTelling, HeldWord},
    roster::HeldModel,
};

/// Runners of a fleet, each with a number that stands for what it holds.
struct Fleet {
    held: Vec<u32>,
}

impl Fleet {
    fn list(&self) -> HeldList {
        let held = self.held.iter().enumerate();
        held.map(|(place, number)| (format!("i-{place:03}"), models(*number)))
            .collect()
    }
}

fn models(number: u32) -> Vec<HeldModel> {
    let adapters = (0..5).map(|place| format!("a{}", number + place));
    let adapters = adapters.collect();
    vec![HeldModel { name: format!("model-{number}"), adapters }]
}

/// Guards against a belief that outlives a lost datagram.
#[test]
fn a_listener_believes_nothing_that_was_told_otherwise() {
    struct Case {
        name: &'static str,
        runners: usize,
        /// Datagrams that are lost, of a hundred.
        lost: u32,
        /// Changes in a turn, of a hundred.
        changes: u32,
    }
    let cases = [
        Case { name: "calm", runners: 9, lost: 0, changes: 5 },
        Case { name: "lossy", runners: 9, lost: 40, changes: 30 },
        Case { name: "many runners", runners: 90, lost: 10, changes: 90 },
        Case { name: "mostly cut off", runners: 90, lost: 80, changes: 90 },
    ];
    for Case { name, runners, lost, changes } in cases {
        let mut random = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet { held: vec![0; runners] };
        let mut telling = HeldTelling::default();
        let mut hearing = HeldHearing::default();
        let mut told = SortedTable::default();
        let mut believed: SortedTable<String, Vec<HeldModel>> =
            SortedTable::default();
        let mut most = 0;
        for turn in 0..1_500 {
            if random.random_range(0..100) < changes {
                let place = random.random_range(0..runners);
                fleet.held[place] += 1;
            }
            if random.random_range(0..1_000) == 0 {
                telling.restart();
            }
            telling.note(fleet.list());
            let now = EpochMillis(turn * 50);
            let Some((round, held)) = telling.next(8, now) else { continue };
            for (runner, models) in &held {
                told.insert(runner.clone(), models.clone());
            }
            if random.random_range(0..100) < lost {
                continue;
            }
            match hearing.heard(1, round) {
                HeldWord::Older => panic!("{name}: numbers go back"),
                HeldWord::Next => {}
                HeldWord::Gap => believed = SortedTable::default(),
            }
            for (runner, models) in held {
                believed.insert(runner, models);
            }
            for (runner, models) in believed.iter() {
                assert_eq!(told.get(runner), Some(models), "{name}: {runner}");
            }
            most = most.max(believed.len());
        }
        assert_eq!(most, runners, "{name}: runners known at best");
    }
}

/// Guards against a host that fills its own link with what it tells.
#[test]
fn tellings_take_a_bounded_part_of_the_link() {
    /// Bytes a second, a fifth of 10 Mbit/s; headers are not counted.
    const MOST: usize = 250_000;
    struct Case {
        runners: usize,
        listeners: usize,
    }
    let cases = [
        Case { runners: 9, listeners: 8 },
        Case { runners: 90, listeners: 74 },
        Case { runners: 5_200, listeners: 560 },
    ];
    for Case { runners, listeners } in cases {
        let mut fleet = Fleet { held: vec![0; runners] };
        let mut telling = HeldTelling::default();
        let (mut bytes, mut last) = (0, 0);
        let seconds = 5;
        for turn in 0..seconds * 20 {
            let place = turn % runners;
            fleet.held[place] += 1;
            telling.note(fleet.list());
            let now = EpochMillis(turn as u64 * 50);
            let Some((_, held)) = telling.next(listeners, now) else {
                continue;
            };
            last = postcard::to_stdvec(&held).unwrap().len() * listeners;
            bytes += last;
        }
        // The last one's cost is paid after it.
        let spent = bytes - last;
        assert!(spent <= MOST * seconds, "{runners}: {spent} bytes");
        assert!(0 < spent, "{runners}");
    }
}
