//! Tests of the evidence on parts of prompts and of the verdicts.

mod ambiguity;
mod evidence_order;
mod prompts;
mod several;
mod unframed;

use std::time::Duration;

use super::{
    ClearanceBasis, ClearanceRow, CrashWitness, EvidenceReport, LedgerEvent,
    PartAdmission, PartId, PromptParts, RunnerSign, SignRow, SuspectLedger,
    VerdictRow,
};
use crate::{clock::EpochMillis, roster::RunnerStart};

/// Part that crashes runners, in the cases that have one.
const DEADLY: u64 = 0xdead;
/// Length of a verdict's first term.
const FIRST_TERM: Duration = Duration::from_secs(60);

/// Something that a ledger learns.
#[derive(Clone, Copy)]
enum Step {
    /// A call with these shared parts, sent and ended at these times, ended
    /// with the runner of this number.
    Crash(u64, &'static [u64], [u64; 2]),
    /// The same, but nothing shows that the runner ended.
    Break(u64, &'static [u64], [u64; 2]),
    /// The runner of this number answered a call that was sent at this time.
    Answer(u64, u64),
    /// The same of a call whose answer hadn't begun.
    Unbegun(u64, &'static [u64], [u64; 2]),
    /// An answer on these parts went on.
    Sound(&'static [u64], u64),
}

/// Returns the parts of a prompt whose last part is its own.
fn parts(shared: &[u64]) -> PromptParts {
    parts_of_call(shared, 0)
}

/// Returns the parts of the prompt of a call sent at this time; no two calls have
/// the same last part.
fn parts_of_call(shared: &[u64], sent_at: u64) -> PromptParts {
    let own = 0xffff_0000 + sent_at;
    PromptParts::of_prompt(shared.iter().copied().chain([own]))
}

fn ledger() -> SuspectLedger {
    SuspectLedger::new(0.0, EpochMillis(0))
}

fn start(number: u64) -> RunnerStart {
    RunnerStart { id: format!("i-{number}"), born: Some(number) }
}

impl Step {
    fn apply(self, ledger: &mut SuspectLedger) -> Vec<LedgerEvent> {
        let (number, shared, times, begun) = match self {
            Step::Sound(shared, at) => {
                return ledger.record_sound(&parts(shared), EpochMillis(at));
            }
            Step::Answer(number, at) => {
                let (sign, at) = (RunnerSign::Answered, EpochMillis(at));
                return ledger.record_sign(&start(number), sign, at, at);
            }
            Step::Crash(number, shared, times)
            | Step::Break(number, shared, times) => {
                (number, shared, times, true)
            }
            Step::Unbegun(number, shared, times) => {
                (number, shared, times, false)
            }
        };
        let [sent_at, ended_at] = times.map(EpochMillis);
        let parts = parts_of_call(shared, times[0]);
        let witness =
            CrashWitness { parts, is_partial: false, begun, sent_at };
        let mut events =
            ledger.record_crash(&start(number), &witness, ended_at);
        if !matches!(self, Step::Break(..)) {
            let sign = RunnerSign::Refused;
            let at = ended_at.after(Duration::from_millis(5));
            events.extend(ledger.record_sign(&start(number), sign, at, at));
        }
        events
    }
}

fn rejected(ledger: &SuspectLedger, now: u64) -> Vec<u64> {
    ledger.verdicts(EpochMillis(now)).map(|row| row.part.0).collect()
}

/// Guards against verdicts on parts that were merely there, and against parts
/// that crash runners without a verdict.
#[test]
fn only_a_part_on_which_no_answer_goes_on_is_rejected() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        rejected: &'static [u64],
    }
    use Step::{Answer, Break, Crash, Sound, Unbegun};
    let cases = [
        Case {
            name: "answers that break off at runners that go on",
            steps: &[
                Break(1, &[1], [100, 150]),
                Answer(1, 155),
                Break(2, &[1], [200, 250]),
                Answer(2, 255),
                Break(3, &[1], [300, 350]),
                Break(4, &[1], [400, 450]),
                Answer(3, 360),
                Answer(4, 460),
            ],
            rejected: &[],
        },
        Case {
            name: "an answer to a call sent before the break proves nothing",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
                Crash(3, &[DEADLY], [300, 350]),
                Answer(3, 349),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "the last crash may still be disproved",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
                Break(3, &[DEADLY], [500, 550]),
            ],
            rejected: &[],
        },
        Case {
            name: "three crashes, one after the other",
            steps: &[
                Crash(1, &[1, DEADLY], [100, 150]),
                Sound(&[1], 160),
                Crash(2, &[2, DEADLY], [200, 250]),
                Crash(3, &[3, DEADLY], [300, 350]),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "two crashes may be a coincidence",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
            ],
            rejected: &[],
        },
        Case {
            name: "runners that end together are one trial",
            steps: &[
                Crash(1, &[1], [100, 150]),
                Crash(2, &[1], [110, 150]),
                Crash(3, &[1], [120, 160]),
                Crash(4, &[1], [130, 160]),
            ],
            rejected: &[],
        },
        Case {
            name: "the same runner, seen by several hosts, is one trial",
            steps: &[
                Crash(1, &[1, 2], [100, 150]),
                Crash(1, &[1, 3], [160, 161]),
                Crash(1, &[1, 4], [170, 172]),
            ],
            rejected: &[],
        },
        Case {
            name: "a hot sound part in all crashes",
            steps: &[
                Crash(1, &[1], [100, 150]),
                Sound(&[1], 160),
                Crash(2, &[1], [200, 250]),
                Sound(&[1], 260),
                Crash(3, &[1], [300, 350]),
                Sound(&[1], 360),
                Crash(4, &[1], [400, 450]),
            ],
            rejected: &[],
        },
        Case {
            name: "an answer on the part went on in between",
            steps: &[
                Crash(1, &[1], [100, 150]),
                Crash(2, &[1], [200, 250]),
                Sound(&[1], 270),
                Crash(3, &[1], [300, 350]),
                Crash(4, &[1], [400, 450]),
            ],
            rejected: &[],
        },
        Case {
            name: "a companion that was sound before is spared",
            steps: &[
                Sound(&[7], 50),
                Crash(1, &[DEADLY, 7], [100, 150]),
                Crash(2, &[DEADLY, 7], [200, 250]),
                Crash(3, &[DEADLY, 7], [300, 350]),
                Crash(4, &[DEADLY, 7], [400, 450]),
                Crash(5, &[DEADLY, 7], [500, 550]),
                Crash(6, &[DEADLY, 7], [600, 650]),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "of two alike, both until a call tells them apart",
            steps: &[
                Crash(1, &[7, DEADLY], [100, 150]),
                Crash(2, &[7, DEADLY], [200, 250]),
                Crash(3, &[7, DEADLY], [300, 350]),
                Crash(4, &[7, DEADLY], [400, 450]),
            ],
            rejected: &[7, DEADLY],
        },
        Case {
            name: "a sound call ended with the first crash too",
            steps: &[
                Break(1, &[7], [110, 150]),
                Break(1, &[7, DEADLY], [100, 150]),
                Break(2, &[7, DEADLY], [200, 250]),
                Break(3, &[7, DEADLY], [300, 350]),
            ],
            rejected: &[7, DEADLY],
        },
        Case {
            name: "what the runner hadn't begun isn't evidence",
            steps: &[
                Crash(1, &[1, DEADLY], [100, 150]),
                Unbegun(1, &[5], [140, 150]),
                Crash(2, &[2, DEADLY], [200, 250]),
                Unbegun(2, &[5], [240, 250]),
                Crash(3, &[3, DEADLY], [300, 350]),
                Unbegun(3, &[5], [340, 350]),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "nothing had begun at any crash",
            steps: &[
                Unbegun(1, &[DEADLY], [100, 150]),
                Unbegun(2, &[DEADLY], [200, 250]),
                Unbegun(3, &[DEADLY], [300, 350]),
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "a second part",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
                Crash(3, &[DEADLY], [300, 350]),
                Crash(4, &[9], [400, 450]),
                Crash(5, &[9], [500, 550]),
                Crash(6, &[9], [600, 650]),
            ],
            rejected: &[9, DEADLY],
        },
        Case {
            name: "crashes that a rejected part explains",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
                Crash(3, &[DEADLY], [300, 350]),
                Crash(4, &[DEADLY], [310, 360]),
                Crash(4, &[8], [310, 360]),
                Crash(5, &[8], [400, 450]),
                Crash(6, &[8], [500, 550]),
            ],
            rejected: &[DEADLY],
        },
    ];
    for Case { name, steps, rejected: expected } in cases {
        let mut ledger = ledger();
        for step in steps {
            step.apply(&mut ledger);
        }
        ledger.report(3, EpochMillis(1_400));
        assert_eq!(rejected(&ledger, 1_400), expected, "{name}");
    }
}

/// Guards against crashes that never count as nobody calls their runners again,
/// and against such as count before a sign to the contrary could arrive.
#[test]
fn a_crash_without_signs_counts_after_a_while() {
    struct Case {
        name: &'static str,
        /// Time from the last crash.
        after: u64,
        /// Whether another host says in time that the runner answered it.
        answered: bool,
        rejected: &'static [u64],
    }
    let cases = [
        Case { name: "early", after: 500, answered: false, rejected: &[] },
        Case {
            name: "late",
            after: 1_100,
            answered: false,
            rejected: &[DEADLY],
        },
        Case {
            name: "disproved",
            after: 1_100,
            answered: true,
            rejected: &[],
        },
    ];
    for Case { name, after, answered, rejected: expected } in cases {
        let mut ledger = ledger();
        for number in 1..=3 {
            let times = [number * 100, number * 100 + 50];
            Step::Break(number, &[DEADLY], times).apply(&mut ledger);
        }
        if answered {
            let sign = SignRow {
                start: start(3),
                sign: RunnerSign::Answered,
                ago_ms: 10,
            };
            let report =
                EvidenceReport { signs: vec![sign], ..Default::default() };
            ledger.merge(&report, EpochMillis(450));
        }
        let now = 350 + after;
        ledger.report(3, EpochMillis(now));
        assert_eq!(rejected(&ledger, now), expected, "{name}");
    }
}

/// Guards against hosts that each need all of the evidence: three hosts see a
/// crash each, and what they tell each other is enough, told twice or not.
#[test]
fn hosts_join_their_evidence() {
    struct Case {
        name: &'static str,
        /// Times that each report is delivered.
        deliveries: usize,
        /// Part on which an answer of the third host goes on.
        sound: Option<u64>,
        rejected: &'static [u64],
    }
    let cases = [
        Case {
            name: "told once",
            deliveries: 1,
            sound: None,
            rejected: &[DEADLY],
        },
        Case {
            name: "told again",
            deliveries: 3,
            sound: None,
            rejected: &[DEADLY],
        },
        Case {
            name: "sound at one of them",
            deliveries: 1,
            sound: Some(DEADLY),
            rejected: &[],
        },
        Case { name: "not told", deliveries: 0, sound: None, rejected: &[] },
    ];
    for Case { name, deliveries, sound, rejected: expected } in cases {
        let mut ledgers = [ledger(), ledger(), ledger()];
        for crash in 0..3 {
            let at = 1_000 * crash as u64;
            let times = [at + 100, at + 150];
            Step::Crash(crash as u64, &[DEADLY], times)
                .apply(&mut ledgers[crash]);
            if let Some(part) = sound {
                let now = EpochMillis(at + 180);
                ledgers[2].record_sound(&parts(&[part]), now);
            }
            for from in 0..3 {
                let now = EpochMillis(at + 200);
                let (report, _) = ledgers[from].report(3, now);
                for to in (0..3).filter(|to| *to != from) {
                    for _ in 0..deliveries {
                        ledgers[to].merge(&report, now);
                    }
                }
            }
        }
        for ledger in &ledgers {
            assert_eq!(rejected(ledger, 3_000), expected, "{name}");
        }
    }
}

/// Returns a ledger that has rejected [`DEADLY`] at 355 ms.
fn rejecting_ledger() -> SuspectLedger {
    let mut ledger = ledger();
    for number in 1..=3 {
        let times = [number * 100, number * 100 + 50];
        Step::Crash(number, &[DEADLY], times).apply(&mut ledger);
    }
    ledger
}

/// Guards against verdicts without an end, and against more than one probe of a
/// part by term and fleet.
#[test]
fn a_verdict_ends_by_one_probe_of_one_host() {
    struct Case {
        name: &'static str,
        /// Time from the verdict, and whether this host is the prober.
        after: Duration,
        is_prober: bool,
        expected: PartAdmission,
    }
    let reject = PartAdmission::Reject(PartId(DEADLY));
    let cases = [
        Case {
            name: "within the term",
            after: FIRST_TERM - Duration::from_secs(1),
            is_prober: true,
            expected: reject,
        },
        Case {
            name: "after the term, another host probes",
            after: FIRST_TERM,
            is_prober: false,
            expected: reject,
        },
        Case {
            name: "after the term",
            after: FIRST_TERM,
            is_prober: true,
            expected: PartAdmission::Probe(PartId(DEADLY)),
        },
    ];
    let parts = parts(&[DEADLY]);
    for Case { name, after, is_prober, expected } in cases {
        let mut ledger = rejecting_ledger();
        let now = EpochMillis(355).after(after);
        assert_eq!(
            ledger.admit(&parts, |_| is_prober, now),
            expected,
            "{name}"
        );
    }
    // The second call isn't a probe while the first one is under way.
    let mut ledger = rejecting_ledger();
    let now = EpochMillis(355).after(FIRST_TERM);
    ledger.admit(&parts, |_| true, now);
    ledger.begin_probe(PartId(DEADLY), &parts, now);
    assert_eq!(ledger.admit(&parts, |_| true, now), reject);
    ledger.record_neutral(&parts, now);
    let probe = PartAdmission::Probe(PartId(DEADLY));
    assert_eq!(ledger.admit(&parts, |_| true, now), probe);
}

/// Guards against a final refusal on account of crashes that may be a
/// coincidence.
#[test]
fn only_a_probe_makes_a_verdict_final() {
    struct Case {
        name: &'static str,
        step: Option<Step>,
        is_confirmed: bool,
    }
    const PROBED_AT: u64 = 60_400;
    let cases = [
        Case { name: "three trials", step: None, is_confirmed: false },
        Case {
            name: "the runner of a probe ends",
            step: Some(Step::Crash(9, &[DEADLY], [PROBED_AT, PROBED_AT + 50])),
            is_confirmed: true,
        },
    ];
    for Case { name, step, is_confirmed } in cases {
        let mut ledger = rejecting_ledger();
        let now = EpochMillis(PROBED_AT);
        ledger.admit(&parts(&[DEADLY]), |_| true, now);
        if let Some(step) = step {
            ledger.begin_probe(PartId(DEADLY), &parts(&[DEADLY]), now);
            step.apply(&mut ledger);
        }
        let at = EpochMillis(PROBED_AT + 55);
        let row = ledger.verdict(PartId(DEADLY), at);
        let found = row.map(|row| row.is_confirmed());
        assert_eq!(found, Some(is_confirmed), "{name}");
    }
}

/// Guards against a part that is tried at its old pace although its probes keep
/// crashing runners, and against one that stays rejected although it is sound.
#[test]
fn a_probe_decides_what_follows() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Time left of the next term; `None` if the part is cleared.
        left: Option<Duration>,
    }
    const PROBED_AT: u64 = 60_400;
    let cases = [
        Case {
            name: "its runner ends",
            step: Step::Crash(9, &[DEADLY], [PROBED_AT, PROBED_AT + 50]),
            left: Some(FIRST_TERM * 2),
        },
        Case {
            name: "its answer goes on",
            step: Step::Sound(&[DEADLY], PROBED_AT + 400),
            left: None,
        },
    ];
    for Case { name, step, left } in cases {
        let mut ledger = rejecting_ledger();
        let now = EpochMillis(PROBED_AT);
        ledger.admit(&parts(&[DEADLY]), |_| true, now);
        ledger.begin_probe(PartId(DEADLY), &parts(&[DEADLY]), now);
        step.apply(&mut ledger);
        let row = ledger.verdicts(EpochMillis(PROBED_AT + 55)).next();
        let found = row.map(|row| Duration::from_millis(row.left_ms));
        assert_eq!(found, left, "{name}");
    }
}

/// Guards against hosts that start later or were cut off, and never learn of a
/// verdict, or bring back one that has ended.
#[test]
fn a_verdict_is_repeated_until_it_is_disproved() {
    let mut first = rejecting_ledger();
    let mut second = ledger();
    // Long after the news was repeated, the verdict still is.
    let mut now = EpochMillis(20_000);
    for _ in 0..100 {
        now = now.after(Duration::from_millis(40));
        let (report, _) = first.report(8, now);
        second.merge(&report, now);
    }
    assert_eq!(rejected(&second, now.0), [DEADLY]);
    // An answer that was under way disproves it at one host.
    second.record_sound(&parts(&[DEADLY]), now);
    assert_eq!(rejected(&second, now.0), [0; 0]);
    let (stale, _) = first.report(8, now);
    let row = first.verdicts(now).next().unwrap();
    let stale = EvidenceReport { verdicts: vec![row], ..stale };
    assert!(second.merge(&stale, now).is_empty());
    let (report, _) = second.report(8, now);
    let cleared = first.merge(&report, now);
    assert_eq!(cleared, [LedgerEvent::Cleared(PartId(DEADLY))]);
}

/// Guards against further sends of a call that may have ended its runner.
#[test]
fn a_call_under_suspicion_is_not_sent_to_a_second_runner() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        allowed: bool,
    }
    use Step::{Crash, Sound};
    let cases = [
        Case {
            name: "its own crash only",
            steps: &[Crash(1, &[DEADLY], [100, 150])],
            allowed: true,
        },
        Case {
            name: "a crash before its own",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
            ],
            allowed: false,
        },
        Case {
            name: "cleared since",
            steps: &[
                Crash(1, &[DEADLY], [100, 150]),
                Crash(2, &[DEADLY], [200, 250]),
                Sound(&[DEADLY], 260),
            ],
            allowed: true,
        },
    ];
    for Case { name, steps, allowed } in cases {
        let mut ledger = ledger();
        for step in steps {
            step.apply(&mut ledger);
        }
        let found = ledger.allows_further_send(&parts(&[1, DEADLY]));
        assert_eq!(found, allowed, "{name}");
    }
}

/// Guards against tables that callers with made-up parts can grow, and against
/// verdicts that they can push out.
#[test]
fn made_up_parts_push_no_verdict_out() {
    let mut ledger = rejecting_ledger();
    for number in 0..20_000_u64 {
        let now = EpochMillis(1_000 + number);
        let made_up = [0x1_0000 + number, 0x10_0000 + number];
        ledger.record_sound(&parts(&made_up), now);
        if number.is_multiple_of(10) {
            let start =
                RunnerStart { id: format!("j-{number}"), born: Some(number) };
            let made_up = parts(&[0x100_0000 + number]);
            let sent_at = EpochMillis(now.0 - 1);
            let witness = CrashWitness {
                parts: made_up,
                is_partial: false,
                begun: true,
                sent_at,
            };
            ledger.record_crash(&start, &witness, now);
        }
    }
    assert_eq!(rejected(&ledger, 21_000), [DEADLY]);
    let (report, _) = ledger.report(8, EpochMillis(21_000));
    // A datagram between hosts holds 16 kB.
    let size = postcard::to_stdvec(&report).unwrap().len();
    assert!(size < 8_000, "{size} bytes");
}

/// Guards against reports with absurd figures.
#[test]
fn a_malformed_report_harms_nothing() {
    let mut ledger = ledger();
    let part = PartId(1);
    let row = VerdictRow {
        part,
        trials: u32::MAX,
        terms: u32::MAX,
        sent_ago_ms: u64::MAX,
        left_ms: u64::MAX,
    };
    let report = EvidenceReport {
        crashes: Vec::new(),
        signs: Vec::new(),
        cleared: vec![ClearanceRow {
            part,
            ago_ms: u64::MAX,
            basis: ClearanceBasis::SoundAnswer,
        }],
        verdicts: vec![row],
        groups: Vec::new(),
    };
    let now = EpochMillis(1_000);
    ledger.merge(&report, now);
    let parts = parts(&[1]);
    ledger.record_sound(&parts, now);
    assert_eq!(
        ledger.admit(&parts, |_| false, now),
        PartAdmission::Admit,
        "an answer that goes on clears the part"
    );
}

/// Guards against a lifted verdict whose evidence falls on a part that was
/// merely there, also where other hosts tell it only after the lift.
#[test]
fn a_lifted_verdict_settles_its_crashes() {
    struct Case {
        name: &'static str,
        /// Whether the host learns of the lift from another one.
        reported: bool,
        /// Whether an answer on the part goes on right after the lift.
        sound: bool,
        /// Whether a third host tells the crashes after that.
        told_late: bool,
    }
    let case =
        Case { name: "", reported: false, sound: false, told_late: false };
    let cases = [
        Case { name: "at the host itself", ..case },
        Case { name: "at another host", reported: true, ..case },
        Case { name: "crashes told late", told_late: true, ..case },
        Case {
            name: "at another host, crashes told late",
            reported: true,
            told_late: true,
            ..case
        },
        Case {
            name: "crashes told after a sound answer",
            sound: true,
            told_late: true,
            ..case
        },
        Case {
            name: "at another host, after a sound answer there",
            reported: true,
            sound: true,
            told_late: true,
        },
    ];
    for Case { name, reported, sound, told_late } in cases {
        let mut ledgers = [ledger(), ledger(), ledger()];
        for ledger in &mut ledgers {
            for number in 1..=4 {
                let times = [number * 100, number * 100 + 50];
                Step::Crash(number, &[7, DEADLY], times).apply(ledger);
            }
            assert_eq!(rejected(ledger, 500), [7, DEADLY], "{name}");
        }
        let [ledger, other, third] = &mut ledgers;
        let now = EpochMillis(600);
        let lifting = if reported { &mut *other } else { &mut *ledger };
        lifting.lift(PartId(DEADLY), now);
        if sound {
            let parts = parts_of_call(&[7, DEADLY], 620);
            lifting.record_sound(&parts, EpochMillis(650));
        }
        if reported {
            let now = EpochMillis(660);
            let (report, _) = other.report(3, now);
            ledger.merge(&report, now);
        }
        if told_late {
            let now = EpochMillis(680);
            let (report, _) = third.report(3, now);
            assert!(
                !report.crashes.is_empty(),
                "{name}: the crashes are told"
            );
            ledger.merge(&report, now);
        }
        Step::Crash(5, &[7, DEADLY], [700, 750]).apply(ledger);
        Step::Crash(6, &[7], [800, 850]).apply(ledger);
        assert_eq!(rejected(ledger, 900), [0; 0], "{name}");
    }
}

/// Guards against news that is sent with every digest for good.
#[test]
fn news_is_repeated_for_a_while_only() {
    struct Case {
        name: &'static str,
        step: Step,
    }
    let cases = [
        Case { name: "a crash", step: Step::Break(1, &[1], [100, 150]) },
        Case {
            name: "a crash and its sign",
            step: Step::Crash(1, &[1], [100, 150]),
        },
    ];
    for Case { name, step } in cases {
        let mut ledger = ledger();
        step.apply(&mut ledger);
        ledger.record_sound(&parts(&[1]), EpochMillis(300));
        let (early, _) = ledger.report(8, EpochMillis(400));
        assert!(!early.is_empty(), "{name}");
        // Which suspected parts were sound is told with the verdicts for longer.
        let (late, _) = ledger.report(8, EpochMillis(3_000));
        let late = EvidenceReport { cleared: Vec::new(), ..late };
        assert!(late.is_empty(), "{name}: {late:?}");
        let (last, _) = ledger.report(8, EpochMillis(30_200));
        assert!(last.is_empty(), "{name}: {last:?}");
    }
}

/// Guards against a host that has just started and rejects a part that all calls
/// share: it knows no sound answers, and none can come while runners are down.
#[test]
fn a_host_that_starts_learns_which_parts_were_sound() {
    struct Case {
        name: &'static str,
        /// Time from the start of the host until the other one repeats what it
        /// knows, if it does.
        told_after: Option<u64>,
        /// Time from its start to the first of three crashes.
        crashes_after: u64,
        rejected: &'static [u64],
    }
    let cases = [
        Case {
            name: "told before the crashes",
            told_after: Some(1_500),
            crashes_after: 3_000,
            rejected: &[],
        },
        Case {
            name: "crashes before it can have been told",
            told_after: None,
            crashes_after: 100,
            rejected: &[],
        },
        Case {
            name: "alone for long",
            told_after: None,
            crashes_after: 3_000,
            rejected: &[7],
        },
    ];
    const START: u64 = 5_000;
    for Case { name, told_after, crashes_after, rejected } in cases {
        let mut other = ledger();
        Step::Sound(&[7], 50).apply(&mut other);
        Step::Crash(1, &[7, DEADLY], [100, 150]).apply(&mut other);
        let mut started = SuspectLedger::new(0.0, EpochMillis(START));
        started.learn_until(EpochMillis(START + 2_000));
        if let Some(after) = told_after {
            let now = EpochMillis(START + after);
            let (report, _) = other.report(2, now);
            started.merge(&report, now);
        }
        for number in 2..5 {
            let at = START + crashes_after + number * 100;
            let witness = CrashWitness {
                parts: parts_of_call(&[7], at),
                is_partial: false,
                begun: true,
                sent_at: EpochMillis(at),
            };
            let (runner, ended) = (start(number), EpochMillis(at + 50));
            started.record_crash(&runner, &witness, ended);
            let sign = RunnerSign::Refused;
            started.record_sign(&runner, sign, ended, ended);
        }
        let end = START + crashes_after + 600;
        let found = self::rejected(&started, end);
        assert_eq!(found, rejected, "{name}");
    }
}

/// Guards against a prompt that is sent again and again and ends a runner each
/// time: its shared parts are cleared by the sound calls of the same session.
#[test]
fn a_prompt_that_is_sent_again_and_again_is_rejected_by_itself() {
    struct Case {
        name: &'static str,
        /// Shared parts of the prompt.
        shared: &'static [u64],
        /// Whether sound calls with the same shared parts go on in between.
        sound_between: bool,
        /// Shared parts that the crashes can't tell from the last one.
        ambiguous: &'static [u64],
    }
    let cases = [
        Case {
            name: "beside sound calls",
            shared: &[1, 2],
            sound_between: true,
            ambiguous: &[],
        },
        Case {
            name: "by itself",
            shared: &[1, 2],
            sound_between: false,
            ambiguous: &[1, 2],
        },
        Case {
            name: "without shared parts",
            shared: &[],
            sound_between: false,
            ambiguous: &[],
        },
        Case {
            name: "behind more parts than are looked at",
            shared: &[
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17,
            ],
            sound_between: true,
            ambiguous: &[],
        },
    ];
    for Case { name, shared, sound_between, ambiguous } in cases {
        let mut ledger = ledger();
        let ids = shared.iter().copied().chain([DEADLY]);
        let deadly = PromptParts::of_prompt(ids);
        for crash in 1..=3 {
            let sent_at = EpochMillis(crash * 1_000);
            let ended_at = sent_at.after(Duration::from_millis(50));
            let witness = CrashWitness {
                parts: deadly.clone(),
                is_partial: false,
                begun: true,
                sent_at,
            };
            ledger.record_crash(&start(crash), &witness, ended_at);
            let sign = RunnerSign::Refused;
            ledger.record_sign(&start(crash), sign, ended_at, ended_at);
            if sound_between {
                let at = ended_at.after(Duration::from_millis(300));
                let call = parts_of_call(shared, at.0);
                ledger.record_sound(&call, at);
            }
        }
        let expected: Vec<u64> =
            ambiguous.iter().copied().chain([DEADLY]).collect();
        assert_eq!(rejected(&ledger, 4_000), expected, "{name}");
        let now = EpochMillis(4_000);
        let admission = ledger.admit(&deadly, |_| true, now);
        let is_rejected = matches!(admission, PartAdmission::Reject(_));
        assert!(is_rejected, "{name}: the prompt again, {admission:?}");
        if let Some(part) = ambiguous.last() {
            let admission = ledger.admit(&parts(shared), |_| true, now);
            assert!(
                matches!(admission, PartAdmission::Probe(_)),
                "{name}: a sound call, {admission:?}"
            );
            ledger.begin_probe(PartId(*part), &parts(shared), now);
            ledger.record_sound(&parts(shared), EpochMillis(4_300));
        }
        let now = EpochMillis(4_300);
        assert_eq!(rejected(&ledger, 4_300), [DEADLY], "{name}");
        let admission = ledger.admit(&parts(shared), |_| false, now);
        assert_eq!(admission, PartAdmission::Admit, "{name}: a sound call");
    }
}
