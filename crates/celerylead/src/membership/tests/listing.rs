//! Tests of how long hosts stay known.

use std::time::Duration;

use crate::{
    membership::{HostListing, HostOrigin},
    store_version::StoreVersion,
};

/// Guards against learnt hosts that a reading of the table loses while they are
/// alive, and against hosts that are gone and stay known for good.
#[test]
fn a_learnt_host_stays_known_while_it_is_heard() {
    struct Case {
        name: &'static str,
        origin: HostOrigin,
        silent_ms: u64,
        /// Whether it stays after a reading that doesn't list it, and without
        /// a reading.
        stays: [bool; 2],
    }
    let listed = HostOrigin::Listed(StoreVersion::default());
    let cases = [
        Case {
            name: "a learnt host that is heard",
            origin: HostOrigin::Learnt,
            silent_ms: 400,
            stays: [true, true],
        },
        Case {
            name: "a learnt host that is cut off",
            origin: HostOrigin::Learnt,
            silent_ms: 9_000,
            stays: [false, true],
        },
        Case {
            name: "a learnt host that is gone",
            origin: HostOrigin::Learnt,
            silent_ms: 30_000,
            stays: [false, false],
        },
        Case {
            name: "a host whose row was removed",
            origin: listed,
            silent_ms: 400,
            stays: [false, true],
        },
        Case {
            name: "a listed host that is silent for long",
            origin: listed,
            silent_ms: 60_000,
            stays: [false, true],
        },
    ];
    for Case { name, origin, silent_ms, stays } in cases {
        let silence = Duration::from_millis(silent_ms);
        let found = [
            origin.outlives_reading(silence),
            origin.outlives_silence(silence),
        ];
        assert_eq!(found, stays, "{name}");
    }
}

/// Guards against hosts that are gone and are learnt again from each seed.
#[test]
fn a_host_that_is_gone_is_not_learnt() {
    struct Case {
        silent_ms: u64,
        is_alive: bool,
    }
    let cases = [
        Case { silent_ms: 0, is_alive: true },
        Case { silent_ms: 29_999, is_alive: true },
        Case { silent_ms: 30_000, is_alive: false },
        Case { silent_ms: u64::MAX, is_alive: false },
    ];
    for Case { silent_ms, is_alive } in cases {
        let listing = HostListing {
            host: "front-1".to_owned(),
            zone: "boden".to_owned(),
            address: "127.0.0.1:7400".to_owned(),
            capacity: None,
            silent_ms,
        };
        assert_eq!(listing.is_alive(), is_alive, "{silent_ms} ms");
    }
}
