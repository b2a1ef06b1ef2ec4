//! Answers that end with their connections.

use super::{DEADLY, ledger, parts_of_call, rejected, start};
use crate::{
    clock::EpochMillis,
    quarantine::{CrashWitness, EvidenceReport, RunnerSign, SignRow},
};

/// Who saw a runner's next sign, and when.
#[derive(Clone, Copy)]
enum Seen {
    /// This host, so long after the end of the answer.
    Here(RunnerSign, u64),
    /// Another host, so long after it; it reports it 20 ms later.
    Elsewhere(RunnerSign, u64),
    Nobody,
}

/// Guards against a part that crashes runner after runner unnoticed, as their
/// answers have no length, and against verdicts on parts of answers that ended
/// as they should.
#[test]
fn an_unframed_end_is_a_crash_only_if_its_runner_is_down() {
    struct Case {
        name: &'static str,
        seen: Seen,
        is_rejected: bool,
    }
    use RunnerSign::{Answered, Refused};
    let cases = [
        Case {
            name: "the runner refuses the next connection",
            seen: Seen::Here(Refused, 300),
            is_rejected: true,
        },
        Case {
            name: "another host is refused",
            seen: Seen::Elsewhere(Refused, 300),
            is_rejected: true,
        },
        Case {
            name: "the runner answers the next call",
            seen: Seen::Here(Answered, 300),
            is_rejected: false,
        },
        Case {
            name: "the runner ends long after its answer",
            seen: Seen::Here(Refused, 2_500),
            is_rejected: false,
        },
        Case {
            name: "nobody sees the runner again",
            seen: Seen::Nobody,
            is_rejected: false,
        },
    ];
    for Case { name, seen, is_rejected } in cases {
        let mut ledger = ledger();
        for number in 1..=3 {
            let sent_at = number * 10_000;
            let ended_at = sent_at + 60;
            let witness = CrashWitness {
                parts: parts_of_call(&[1, DEADLY], sent_at),
                is_partial: false,
                begun: true,
                sent_at: EpochMillis(sent_at),
            };
            let start = start(number);
            ledger.record_unframed(&start, &witness, EpochMillis(ended_at));
            match seen {
                Seen::Here(sign, after) => {
                    let at = EpochMillis(ended_at + after);
                    ledger.record_sign(&start, sign, at, at);
                }
                Seen::Elsewhere(sign, after) => {
                    let signs = vec![SignRow { start, sign, ago_ms: 20 }];
                    let report =
                        EvidenceReport { signs, ..EvidenceReport::default() };
                    let at = EpochMillis(ended_at + after + 20);
                    ledger.merge(&report, at);
                }
                Seen::Nobody => {}
            }
        }
        ledger.report(1, EpochMillis(60_000));
        let expected = if is_rejected { &[1, DEADLY][..] } else { &[] };
        assert_eq!(rejected(&ledger, 60_000), expected, "{name}");
    }
}
