//! Tests of the schedule of the orders lease.

use std::time::Duration;

use super::lease::{LeaseCall, LeaseKeeper};
use crate::{
    StoreVersion,
    clock::EpochMillis,
    membership::{HostRow, OrdersRow},
    placement::LoadHistory,
    tasks::node::orders::LeaseOutcome,
};

const ALTERNATION_WINDOW: Duration = Duration::from_millis(3_000);

/// Returns a keeper that has just claimed the lease under token 6.
fn holder() -> LeaseKeeper {
    let row = HostRow {
        host: "a".to_owned(),
        zone: "kgn".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 7,
        capacity: None,
        retry_claims: Vec::new(),
        verdicts: Vec::new(),
    };
    let now = EpochMillis(0);
    let mut keeper = LeaseKeeper::new(row, ALTERNATION_WINDOW, now);
    let earlier = OrdersRow {
        holder: "a".to_owned(),
        incarnation: 6,
        fencing: 5,
        open_loads: 0,
    };
    let version = StoreVersion::new(0, 30);
    let read = LeaseOutcome::Read(Some(earlier.into()), version);
    keeper.call_ended(read, now);
    let call = keeper.next_call(0, LoadHistory::default(), now);
    let Some(LeaseCall::Write(claim)) = call else { panic!("no claim") };
    let written = StoreVersion::new(0, 31);
    let outcome = LeaseOutcome::Claimed(claim, Some(written));
    assert!(keeper.call_ended(outcome, now));
    keeper
}

/// Guards against a holder that loses the lease because a host that was paused
/// announces the release of its former token: the renewal was put off until
/// the lease could have been taken over.
#[tokio::test]
async fn a_release_of_a_former_token_does_not_put_off_the_renewal() {
    struct Case {
        name: &'static str,
        fencing: u64,
        /// Whether the host then waits for the handover.
        waits: bool,
    }
    let cases = [
        Case { name: "a former token", fencing: 5, waits: false },
        Case { name: "a token not seen yet", fencing: 7, waits: true },
    ];
    for Case { name, fencing, waits } in cases {
        let mut keeper = holder();
        let renewal_at = keeper.next_call_at();
        let is_new = keeper.holder_released(fencing, EpochMillis(100));
        assert_eq!(is_new, waits, "{name}");
        let is_put_off = renewal_at < keeper.next_call_at();
        assert_eq!(is_put_off, waits, "{name}");
    }
}
