//! Tests of the guards of bodies' room.

use bytes::Bytes;

use super::{BodyRoom, IntakePort, NoRoom, Receiving, start};
use crate::{clock::HostClock, intake::IntakeLimits, metrics::HostMetrics};

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
    /// Returns whether all room is free.
    async fn is_free(&self) -> bool {
        // The ends of bodies are messages, which the task reads when this one
        // yields.
        let all = usize::try_from(self.limits().common_bytes).unwrap();
        let mut is_common_free = false;
        for _ in 0..CLIENTS {
            is_common_free = self.take_whole(all).await.is_ok();
            if is_common_free {
                break;
            }
            tokio::task::yield_now().await;
        }
        let small = usize::try_from(self.limits().small_bytes).unwrap();
        is_common_free
            && self.0.small.available_permits() == small
            && self.0.metrics.intake_bytes.get() == 0
    }
}

/// Guards against room that is lost with a client, wherever it leaves.
#[tokio::test]
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
        assert!(port.is_free().await, "{step:?}, {bytes} bytes");
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
