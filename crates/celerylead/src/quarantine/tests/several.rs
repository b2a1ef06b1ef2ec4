//! Several deadly parts at once, whose prompts share sound parts.

use super::{DEADLY, Step, ledger, rejected};

/// First part of all prompts.
const FIRST: u64 = 1;
/// Two further deadly parts.
const SECOND_DEADLY: u64 = 0xdeaf;
const THIRD_DEADLY: u64 = 0xdeed;

/// Guards against a sound part that is rejected as the calls of several deadly
/// parts share it, after which no answer could clear it: while the runners are
/// down, none goes on between the crashes.
#[test]
fn a_part_that_was_sound_is_not_blamed_for_several_deadly_ones() {
    struct Case {
        name: &'static str,
        /// Whether an answer on the first part went on before the crashes.
        is_known: bool,
        /// Deadly part of each crash, one after another.
        crashes: &'static [u64],
        rejected: &'static [u64],
    }
    let cases = [
        Case {
            name: "one crash of each",
            is_known: true,
            crashes: &[DEADLY, SECOND_DEADLY, THIRD_DEADLY],
            rejected: &[],
        },
        Case {
            name: "two crashes of each",
            is_known: true,
            crashes: &[
                DEADLY,
                SECOND_DEADLY,
                THIRD_DEADLY,
                DEADLY,
                SECOND_DEADLY,
                THIRD_DEADLY,
            ],
            rejected: &[],
        },
        Case {
            name: "a third crash of one",
            is_known: true,
            crashes: &[
                DEADLY,
                SECOND_DEADLY,
                THIRD_DEADLY,
                DEADLY,
                SECOND_DEADLY,
                THIRD_DEADLY,
                DEADLY,
            ],
            rejected: &[DEADLY],
        },
        Case {
            name: "a part that was sound and isn't any more",
            is_known: true,
            crashes: &[FIRST, FIRST, FIRST, FIRST, FIRST, FIRST, FIRST],
            rejected: &[FIRST],
        },
        Case {
            name: "a part that was never seen sound",
            is_known: false,
            crashes: &[FIRST, FIRST, FIRST],
            rejected: &[FIRST],
        },
    ];
    for case in cases {
        let mut ledger = ledger();
        if case.is_known {
            Step::Sound(&[FIRST, 7], 50).apply(&mut ledger);
        }
        for (number, part) in (1..).zip(case.crashes) {
            let shared: &[u64] = match *part {
                DEADLY => &[FIRST, DEADLY],
                SECOND_DEADLY => &[FIRST, SECOND_DEADLY],
                THIRD_DEADLY => &[FIRST, THIRD_DEADLY],
                _ => &[FIRST],
            };
            let sent_at = number * 100;
            let times = [sent_at, sent_at + 50];
            Step::Crash(number, shared, times).apply(&mut ledger);
        }
        assert_eq!(rejected(&ledger, 1_400), case.rejected, "{}", case.name);
    }
}
