//! Random prompts of many parts, one of which may crash runners.

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use super::{DEADLY, ledger, rejected, start};
use crate::{
    clock::EpochMillis,
    quarantine::{CrashWitness, PromptParts, RunnerSign, SuspectLedger},
};

/// Sound parts of which prompts are made.
const POOL: u64 = 400;
/// Crashes by which the part that causes them is to be rejected.
const MAX_CRASHES: usize = 6;

/// Returns the ids of a random prompt of up to `most` parts, without its last.
fn draw_prompt(random: &mut SmallRng, most: usize) -> Vec<u64> {
    let parts = random.random_range(1..most);
    (0..parts).map(|_| random.random_range(1..=POOL)).collect()
}

/// Lets a call end with a runner that is down afterwards.
fn crash(ledger: &mut SuspectLedger, ids: &[u64], runner: u64, at: u64) {
    let own = 0xffff_0000 + runner;
    let witness = CrashWitness {
        parts: PromptParts::of_prompt(ids.iter().copied().chain([own])),
        is_partial: false,
        begun: true,
        sent_at: EpochMillis(at),
    };
    let start = start(runner);
    ledger.record_crash(&start, &witness, EpochMillis(at + 50));
    let at = EpochMillis(at + 60);
    ledger.record_sign(&start, RunnerSign::Refused, at, at);
}

/// Guards against verdicts on sound parts where the cause is one of many, and
/// against a cause that is never found, wherever it stands in a prompt.
#[test]
fn the_cause_is_found_among_many_parts_and_no_other_is_rejected() {
    struct Case {
        name: &'static str,
        /// Most parts of a prompt.
        most: usize,
        /// Part of the calls that end with their runners for other reasons, in
        /// a thousand.
        other_crashes: u64,
        has_cause: bool,
    }
    let case =
        Case { name: "few parts", most: 8, other_crashes: 0, has_cause: true };
    let cases = [
        Case { name: "22 parts", most: 22, ..case },
        Case { name: "200 parts", most: 200, ..case },
        Case {
            name: "200, other crashes",
            most: 200,
            other_crashes: 10,
            ..case
        },
        Case {
            name: "other crashes only",
            most: 200,
            other_crashes: 30,
            has_cause: false,
        },
        case,
    ];
    for Case { name, most, other_crashes, has_cause } in cases {
        for seed in 0..12 {
            let mut random = SmallRng::seed_from_u64(seed);
            let mut ledger = ledger();
            let (mut crashes, mut found_after) = (0, None);
            for call in 0..600_u64 {
                let at = 10_000 + call * 50;
                let ids = draw_prompt(&mut random, most);
                if random.random_range(0..1_000) < other_crashes {
                    crash(&mut ledger, &ids, call, at);
                } else {
                    let ids = ids.iter().copied().chain([0]);
                    let parts = PromptParts::of_prompt(ids);
                    ledger.record_sound(&parts, EpochMillis(at + 300));
                }
                if has_cause && 100 < call && call.is_multiple_of(20) {
                    let mut ids = draw_prompt(&mut random, most);
                    ids.insert(random.random_range(0..=ids.len()), DEADLY);
                    crash(&mut ledger, &ids, 10_000 + call, at + 10);
                    crashes += 1;
                }
                ledger.report(1, EpochMillis(at + 300));
                let rejected = rejected(&ledger, at + 300);
                if rejected.contains(&DEADLY) && found_after.is_none() {
                    found_after = Some(crashes);
                }
                let others = rejected.iter().filter(|part| **part != DEADLY);
                let others = others.collect::<Vec<_>>();
                assert!(others.is_empty(), "{name}, seed {seed}: {others:?}");
            }
            let is_found = found_after.is_some_and(|n| n <= MAX_CRASHES);
            let context = format!("{name}, seed {seed}: {found_after:?}");
            assert_eq!(is_found, has_cause, "{context}");
        }
    }
}
