//! Parts with the same evidence, and the calls that tell them apart.

use std::time::Duration;

use super::{
    super::KeptVerdict, DEADLY, EvidenceReport, PartAdmission, PartId, Step,
    SuspectLedger, ledger, parts, rejected,
};
use crate::clock::EpochMillis;

/// Part of sound calls on which answers went on before.
const KNOWN: u64 = 5;
/// Two parts that only deadly calls had at first.
const DOCUMENT: u64 = 7;
const SECTION: u64 = 8;

/// What happens once a group is rejected.
#[derive(Clone, Copy)]
enum Turn {
    /// A call with these shared parts arrives at the prober at this time, and
    /// begins what it is admitted for.
    Arrival(&'static [u64], u64, Expected),
    /// The same at another host than the prober.
    Elsewhere(&'static [u64], u64, Expected),
    /// A call with these parts ends at this time without telling anything.
    Neutral(&'static [u64], u64),
    /// The ledger learns this.
    Learn(Step),
    /// The ledger reports to the other hosts at this time.
    Report(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Admitted,
    Tried,
    Rejected,
    Awaiting,
}

impl Expected {
    fn of(admission: PartAdmission) -> Expected {
        match admission {
            PartAdmission::Admit => Expected::Admitted,
            PartAdmission::Probe(_) => Expected::Tried,
            PartAdmission::Reject(_) => Expected::Rejected,
            PartAdmission::Await(_) => Expected::Awaiting,
        }
    }
}

impl Turn {
    fn play(self, ledger: &mut SuspectLedger, name: &str) {
        let (shared, at, is_prober, expected) = match self {
            Turn::Arrival(shared, at, expected) => {
                (shared, at, true, expected)
            }
            Turn::Elsewhere(shared, at, expected) => {
                (shared, at, false, expected)
            }
            Turn::Neutral(shared, at) => {
                ledger.record_neutral(&parts(shared), EpochMillis(at));
                return;
            }
            Turn::Learn(step) => {
                step.apply(ledger);
                return;
            }
            Turn::Report(at) => {
                ledger.report(3, EpochMillis(at));
                return;
            }
        };
        let (call, now) = (parts(shared), EpochMillis(at));
        let admission = ledger.admit(&call, |_| is_prober, now);
        let found = Expected::of(admission);
        assert_eq!(found, expected, "{name}: {shared:x?} at {at} ms");
        if let PartAdmission::Probe(part) = admission {
            ledger.begin_probe(part, &call, now);
        }
    }
}

/// Returns a ledger that rejects what all three crashes of these calls share,
/// from 350 ms on.
fn ledger_after(shared: &'static [u64]) -> SuspectLedger {
    let mut ledger = ledger();
    Step::Sound(&[KNOWN], 50).apply(&mut ledger);
    for number in 1..=3 {
        let times = [number * 100, number * 100 + 50];
        Step::Crash(number, shared, times).apply(&mut ledger);
    }
    ledger
}

/// Guards against a sound part that is rejected in place of the deadly one as
/// both were in the same calls, and that no call may clear.
#[test]
fn a_call_with_some_of_the_ambiguous_parts_tells_them_apart() {
    struct Case {
        name: &'static str,
        /// Shared parts of the calls that crash three runners.
        crashed: &'static [u64],
        turns: &'static [Turn],
        /// Parts with a verdict at the end.
        rejected: &'static [u64],
    }
    use Expected::{Admitted, Awaiting, Rejected, Tried};
    use Step::{Answer, Break, Crash, Sound};
    use Turn::{Arrival, Elsewhere, Learn, Neutral, Report};
    let cases = [
        Case {
            name: "a sound part behind the deadly one",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Arrival(&[DEADLY, DOCUMENT], 400, Rejected),
                Arrival(&[KNOWN, DOCUMENT], 410, Tried),
                Learn(Sound(&[KNOWN, DOCUMENT], 700)),
                Elsewhere(&[KNOWN, DOCUMENT], 710, Admitted),
                Arrival(&[DEADLY, DOCUMENT], 720, Rejected),
                Arrival(&[KNOWN, DEADLY], 730, Rejected),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "a sound part before the deadly one",
            crashed: &[DOCUMENT, DEADLY],
            turns: &[
                Arrival(&[DOCUMENT, DEADLY], 400, Rejected),
                Arrival(&[DOCUMENT, KNOWN], 410, Tried),
                Learn(Sound(&[DOCUMENT, KNOWN], 700)),
                Elsewhere(&[DOCUMENT, KNOWN], 710, Admitted),
                Arrival(&[DOCUMENT, DEADLY], 720, Rejected),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "the deadly part is tried by itself",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Arrival(&[KNOWN, DEADLY], 400, Tried),
                Learn(Crash(4, &[KNOWN, DEADLY], [401, 450])),
                Arrival(&[KNOWN, DOCUMENT], 500, Awaiting),
                Report(1_000),
                Elsewhere(&[KNOWN, DOCUMENT], 1_010, Admitted),
                Arrival(&[KNOWN, DEADLY], 1_020, Rejected),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "another host's call ended with the runner of the trial",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Arrival(&[KNOWN, DOCUMENT], 400, Tried),
                Learn(Crash(4, &[KNOWN, DOCUMENT], [401, 450])),
                Learn(Crash(4, &[DEADLY, DOCUMENT], [390, 452])),
                Report(1_000),
                Arrival(&[KNOWN, DOCUMENT], 1_010, Awaiting),
                Arrival(&[KNOWN, DOCUMENT], 2_000, Tried),
            ],
            rejected: &[DOCUMENT, DEADLY],
        },
        Case {
            name: "one trial at a time, by one host",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Elsewhere(&[KNOWN, DOCUMENT], 400, Awaiting),
                Arrival(&[KNOWN, DOCUMENT], 410, Tried),
                Arrival(&[KNOWN, DOCUMENT], 420, Awaiting),
                Arrival(&[KNOWN, DEADLY], 430, Awaiting),
            ],
            rejected: &[DOCUMENT, DEADLY],
        },
        Case {
            name: "a trial that tells nothing",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Arrival(&[KNOWN, DOCUMENT], 400, Tried),
                Neutral(&[KNOWN, DOCUMENT], 500),
                Arrival(&[KNOWN, DOCUMENT], 510, Tried),
            ],
            rejected: &[DOCUMENT, DEADLY],
        },
        Case {
            name: "a trial that breaks off at a runner that goes on",
            crashed: &[DEADLY, DOCUMENT],
            turns: &[
                Arrival(&[KNOWN, DOCUMENT], 400, Tried),
                Learn(Break(4, &[KNOWN, DOCUMENT], [401, 450])),
                Learn(Answer(4, 460)),
                Report(1_000),
                Arrival(&[KNOWN, DOCUMENT], 2_000, Tried),
            ],
            rejected: &[DOCUMENT, DEADLY],
        },
        Case {
            name: "of three, one is cleared and one excluded",
            crashed: &[DEADLY, DOCUMENT, SECTION],
            turns: &[
                Arrival(&[KNOWN, DOCUMENT], 400, Tried),
                Learn(Sound(&[KNOWN, DOCUMENT], 700)),
                Arrival(&[KNOWN, DEADLY, DOCUMENT], 710, Tried),
                Learn(Crash(4, &[KNOWN, DEADLY, DOCUMENT], [711, 750])),
                Report(1_300),
                Elsewhere(&[KNOWN, SECTION], 1_310, Admitted),
                Arrival(&[KNOWN, DEADLY], 1_320, Rejected),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "a trial has another deadly part",
            crashed: &[DOCUMENT, DEADLY],
            turns: &[
                Arrival(&[DOCUMENT, SECTION], 400, Tried),
                Learn(Crash(4, &[DOCUMENT, SECTION], [401, 450])),
                Report(1_000),
                Arrival(&[DOCUMENT, KNOWN], 1_010, Awaiting),
                Arrival(&[DOCUMENT, KNOWN], 2_000, Tried),
                Learn(Sound(&[DOCUMENT, KNOWN], 2_300)),
                Elsewhere(&[DOCUMENT, KNOWN], 2_310, Admitted),
                Arrival(&[KNOWN, DEADLY], 2_320, Rejected),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "each trial of the deadly part has an unknown one",
            crashed: &[DOCUMENT, DEADLY],
            turns: &[
                Arrival(&[DEADLY, 21], 400, Tried),
                Learn(Crash(4, &[DEADLY, 21], [401, 450])),
                Report(1_000),
                Arrival(&[DEADLY, 22], 2_000, Tried),
                Learn(Crash(5, &[DEADLY, 22], [2_001, 2_050])),
                Report(2_600),
                Arrival(&[DEADLY, 23], 3_600, Tried),
                Learn(Crash(6, &[DEADLY, 23], [3_601, 3_650])),
                Report(4_200),
                Arrival(&[DEADLY, 24], 5_000, Rejected),
                Elsewhere(&[DOCUMENT, KNOWN], 5_000, Admitted),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "no third crash for the sake of telling parts apart",
            crashed: &[DEADLY, DOCUMENT, SECTION, 9],
            turns: &[
                Arrival(&[DEADLY, DOCUMENT, SECTION], 400, Tried),
                Learn(Crash(4, &[DEADLY, DOCUMENT, SECTION], [401, 450])),
                Report(1_000),
                Arrival(&[DEADLY, DOCUMENT], 2_000, Tried),
                Learn(Crash(5, &[DEADLY, DOCUMENT], [2_001, 2_050])),
                Report(2_600),
                Arrival(&[DOCUMENT], 4_000, Rejected),
                Elsewhere(&[SECTION], 4_000, Admitted),
                Arrival(&[DOCUMENT], 61_000, Tried),
            ],
            rejected: &[DOCUMENT, DEADLY],
        },
    ];
    for Case { name, crashed, turns, rejected: expected } in cases {
        let mut ledger = ledger_after(crashed);
        for turn in turns {
            turn.play(&mut ledger, name);
        }
        assert_eq!(rejected(&ledger, 2_000), expected, "{name}");
    }
}

/// Guards against a probe that renews the verdict on a sound part, as the call
/// had a deadly part beside it that no call was ever seen to crash with alone.
#[test]
fn a_probe_blames_no_part_beside_an_unknown_one() {
    const PROBED_AT: u64 = 60_400;
    struct Case {
        name: &'static str,
        probe: &'static [u64],
        /// Parts with a verdict once the probe has crashed its runner.
        rejected: &'static [u64],
        /// What becomes of a call with the rejected part and a known one.
        next: Expected,
    }
    let cases = [
        Case {
            name: "beside a part that was sound",
            probe: &[KNOWN, DOCUMENT],
            rejected: &[DOCUMENT],
            next: Expected::Rejected,
        },
        Case {
            name: "beside an unknown part",
            probe: &[DEADLY, DOCUMENT],
            rejected: &[DOCUMENT, DEADLY],
            next: Expected::Tried,
        },
    ];
    for Case { name, probe, rejected: expected, next } in cases {
        let mut ledger = ledger_after(&[DOCUMENT]);
        Turn::Arrival(probe, PROBED_AT, Expected::Tried)
            .play(&mut ledger, name);
        Step::Crash(9, probe, [PROBED_AT + 1, PROBED_AT + 50])
            .apply(&mut ledger);
        assert_eq!(rejected(&ledger, PROBED_AT + 60), expected, "{name}");
        let call = &[KNOWN, DOCUMENT];
        Turn::Arrival(call, PROBED_AT + 100, next).play(&mut ledger, name);
    }
}

/// Guards against hosts that reject different parts for the same crashes, and
/// against a host of the former version that can't read a report.
#[test]
fn hosts_agree_on_what_tells_parts_apart() {
    struct Case {
        name: &'static str,
        /// What the first host learns once the second has adopted its group.
        step: Option<Step>,
        /// Parts with a verdict at both hosts.
        rejected: &'static [u64],
    }
    let cases = [
        Case { name: "nothing", step: None, rejected: &[DOCUMENT, DEADLY] },
        Case {
            name: "a sound answer",
            step: Some(Step::Sound(&[KNOWN, DOCUMENT], 700)),
            rejected: &[DEADLY],
        },
        Case {
            name: "a crash",
            step: Some(Step::Crash(4, &[KNOWN, DEADLY], [401, 450])),
            rejected: &[DEADLY],
        },
    ];
    for Case { name, step, rejected: expected } in cases {
        let mut first = ledger_after(&[DEADLY, DOCUMENT]);
        let mut second = ledger();
        let now = EpochMillis(390);
        let (report, _) = first.report(2, now);
        assert_eq!(report.groups.len(), 1, "{name}: {report:?}");
        let former = EvidenceReport { groups: Vec::new(), ..report.clone() };
        assert_eq!(
            postcard::to_stdvec(&report).unwrap(),
            postcard::to_stdvec(&former).unwrap(),
            "{name}: as the former version reads it"
        );
        let groups = report.groups.clone();
        second.merge(
            &EvidenceReport { groups, ..EvidenceReport::default() },
            now,
        );
        assert_eq!(rejected(&second, 390), [DOCUMENT, DEADLY], "{name}");
        if let Some(step) = step {
            step.apply(&mut first);
        }
        let now = EpochMillis(1_000);
        first.report(2, now);
        // The former report arrives once more, late.
        first.merge(&report, now);
        let (news, _) = first.report(2, now);
        second.merge(&news, now);
        assert_eq!(rejected(&first, 1_000), expected, "{name}: the first");
        assert_eq!(rejected(&second, 1_000), expected, "{name}: the second");
    }
}

/// Guards against a host that starts and rejects by itself each part of a group
/// that the store keeps.
#[test]
fn a_kept_group_is_still_a_group() {
    let first = ledger_after(&[DEADLY, DOCUMENT]);
    let now = EpochMillis(400);
    let kept = first.kept_verdicts(now);
    let text = serde_json::to_string(&kept).unwrap();
    let kept: Vec<KeptVerdict> = serde_json::from_str(&text).unwrap();
    let mut started = SuspectLedger::new(0.0, now);
    let later = now.after(Duration::from_millis(100));
    started.merge(&EvidenceReport::of_kept(&kept, later), later);
    assert_eq!(rejected(&started, 500), [DOCUMENT, DEADLY]);
    let call = parts(&[KNOWN, DOCUMENT]);
    assert_eq!(
        started.admit(&call, |_| true, later),
        PartAdmission::Probe(PartId(DOCUMENT))
    );
}
