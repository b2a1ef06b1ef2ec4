use std::time::Duration;

use crate::runner::RunnerSpeed;

struct SpeedCase {
    answers: &'static [(u64, u64)],
    /// Tokens per second, rounded.
    learned: Option<u64>,
}

#[test]
fn speed_is_learned_from_answers() {
    let cases = [
        SpeedCase { answers: &[], learned: None },
        SpeedCase { answers: &[(0, 1_000)], learned: None },
        SpeedCase { answers: &[(100, 1_000)], learned: Some(100) },
        SpeedCase {
            answers: &[(100, 1_000), (200, 1_000)],
            learned: Some(120),
        },
    ];
    for case in cases {
        let mut speed = RunnerSpeed::default();
        for (tokens, millis) in case.answers {
            speed.learn(*tokens, Duration::from_millis(*millis));
        }
        let learned = speed.tokens_per_second().map(|s| s.round() as u64);
        assert_eq!(learned, case.learned);
    }
}
