//! Tests of the guards of bodies' room.

use std::time::Duration;

use bytes::Bytes;

use super::{BodyRoom, IntakePort, NoRoom, Receiving, start};
use crate::{clock::HostClock, intake::IntakeLimits, metrics::HostMetrics};

/// Time after which clients hang rather than being slow.
const HANG_LIMIT: Duration = Duration::from_secs(60);
/// Clients of the test.
const CLIENTS: usize = 10_000;
const SMALL: usize = 1_024;
const LARGE: usize = 64 << 10;

/// Starts the task for a host of `megabytes`.
fn port(megabytes: u64) -> IntakePort {
    let limits = IntakeLimits::of(megabytes << 20, 3_075);
    start(limits, HostClock::default(), HostMetrics::default())
}

impl IntakePort {
    /// Waits until the common room is free, and returns whether all is.
    async fn is_free(&self) -> bool {
        // The ends of bodies are messages, which the task has yet to read.
        let all = usize::try_from(self.limits().common_bytes).unwrap();
        while self.take_whole(all).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let small = usize::try_from(self.limits().small_bytes).unwrap();
        self.0.small.available_permits() == small
            && self.0.metrics.intake_bytes.get() == 0
    }
}

/// Guards against room that is lost with a client, wherever it leaves. On two
/// threads, so that the messages of a client overtake each other if they can.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_leave_at_any_step_return_their_room() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Step {
        BeforeThePiece,
        WhileItWaits,
        AfterThePiece,
        Complete,
        HeldByTheRequest,
    }
    struct Case {
        step: Step,
        bytes: usize,
    }
    let steps = [
        Step::BeforeThePiece,
        Step::WhileItWaits,
        Step::AfterThePiece,
        Step::Complete,
        Step::HeldByTheRequest,
    ];
    let sizes = [SMALL, LARGE];
    let cases = steps.iter().flat_map(|step| {
        sizes.iter().map(|bytes| Case { step: *step, bytes: *bytes })
    });
    for Case { step, bytes } in cases {
        // Few megabytes, so that clients also meet a full room.
        let port = port(8);
        let returned = async {
            for _ in 0..CLIENTS {
                let mut room = port.begin();
                if step == Step::BeforeThePiece {
                    continue;
                }
                if step == Step::WhileItWaits {
                    let taken = room.take(bytes);
                    tokio::select! {
                        biased;
                        _ = taken => {}
                        () = std::future::ready(()) => {}
                    }
                    continue;
                }
                let taken = room.take(bytes).await;
                if step == Step::AfterThePiece || taken.is_err() {
                    continue;
                }
                let kept = room.complete().await.unwrap();
                if step == Step::HeldByTheRequest {
                    let held: Bytes = kept.hold(vec![0; bytes]);
                    drop(held.clone());
                    drop(held);
                }
            }
            port.is_free().await
        };
        // A body that isn't ended lets others wait for ever.
        let returned = tokio::time::timeout(HANG_LIMIT, returned).await;
        assert_eq!(returned, Ok(true), "{step:?}, {bytes} bytes");
    }
}

/// Guards against a share for small bodies that large ones use up.
#[tokio::test]
async fn large_bodies_leave_the_share_of_small_ones() {
    let port = port(8);
    let mut large: Vec<BodyRoom<Receiving>> = Vec::new();
    loop {
        let mut room = port.begin();
        if room.take(LARGE).await == Err(NoRoom) {
            break;
        }
        large.push(room);
    }
    let small = usize::try_from(port.limits().small_bytes).unwrap() / SMALL;
    let mut taken = Vec::new();
    for _ in 0..small {
        taken.push(port.take_whole(SMALL).await.unwrap());
    }
    assert!(port.take_whole(SMALL).await.is_err(), "all room is taken");
    drop((large, taken));
    assert!(port.is_free().await);
}
