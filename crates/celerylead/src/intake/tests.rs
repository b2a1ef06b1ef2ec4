//! Tests of the decisions on bodies and connections.

use std::time::Duration;

use super::{
    BodyAction, BodyId, BodyLedger, BodyProgress, BodyRequest,
    ConnectionEvent, ConnectionQueue, IntakeLimits, SMALL_BODY_BYTES,
    header_room, max_headers, next_piece,
};
use crate::clock::EpochMillis;

/// Room of the ledgers in these tests, in bytes.
const ROOM: u64 = 1_000;
const ONE: BodyId = BodyId(1);
const TWO: BodyId = BodyId(2);
const THREE: BodyId = BodyId(3);

fn take(id: BodyId, bytes: u64) -> BodyRequest {
    BodyRequest::Take { id, bytes }
}

/// Guards against bodies that together take more than the room, that wait for
/// ever, or that lose to one which doesn't go on.
#[test]
fn the_room_goes_to_bodies_that_go_on() {
    struct Case {
        name: &'static str,
        /// Requests with their times in milliseconds.
        requests: &'static [(u64, BodyRequest)],
        /// Decisions on the last request.
        last: &'static [BodyAction],
        held: u64,
    }
    const TAKE_ONE: BodyRequest = BodyRequest::Take { id: ONE, bytes: 600 };
    const TAKE_TWO: BodyRequest = BodyRequest::Take { id: TWO, bytes: 600 };
    const TAKE_THREE: BodyRequest =
        BodyRequest::Take { id: THREE, bytes: 600 };
    let cases = [
        Case {
            name: "there is room",
            requests: &[(0, TAKE_ONE)],
            last: &[BodyAction::Grant(ONE)],
            held: 600,
        },
        Case {
            name: "all of the room",
            requests: &[(0, BodyRequest::Take { id: ONE, bytes: ROOM })],
            last: &[BodyAction::Grant(ONE)],
            held: ROOM,
        },
        Case {
            name: "the first still goes on",
            requests: &[(0, TAKE_ONE), (900, TAKE_TWO)],
            last: &[BodyAction::Refuse(TWO)],
            held: 600,
        },
        Case {
            name: "the first is late",
            requests: &[(0, TAKE_ONE), (1_100, TAKE_TWO)],
            last: &[BodyAction::GiveWay(ONE)],
            held: 600,
        },
        Case {
            name: "the late one has ended",
            requests: &[
                (0, TAKE_ONE),
                (1_100, TAKE_TWO),
                (1_101, BodyRequest::End(ONE)),
            ],
            last: &[BodyAction::Grant(TWO)],
            held: 600,
        },
        Case {
            name: "the late one was complete after all",
            requests: &[
                (0, TAKE_ONE),
                (1_100, TAKE_TWO),
                (1_101, BodyRequest::Complete(ONE)),
            ],
            last: &[BodyAction::Refuse(TWO)],
            held: 600,
        },
        Case {
            name: "a complete body doesn't give way",
            requests: &[
                (0, TAKE_ONE),
                (1, BodyRequest::Complete(ONE)),
                (5_000, TAKE_TWO),
            ],
            last: &[BodyAction::Refuse(TWO)],
            held: 600,
        },
        Case {
            name: "a body that takes a further piece isn't late",
            requests: &[
                (0, TAKE_ONE),
                (1_100, BodyRequest::Take { id: ONE, bytes: 100 }),
                (1_200, TAKE_TWO),
            ],
            last: &[BodyAction::Refuse(TWO)],
            held: 700,
        },
        Case {
            name: "none gives way for more than the room",
            requests: &[
                (0, TAKE_ONE),
                (1_100, BodyRequest::Take { id: TWO, bytes: 1_001 }),
            ],
            last: &[BodyAction::Refuse(TWO)],
            held: 600,
        },
        Case {
            name: "room that will be free is promised once",
            requests: &[(0, TAKE_ONE), (1_100, TAKE_TWO), (1_101, TAKE_THREE)],
            last: &[BodyAction::Refuse(THREE)],
            held: 600,
        },
        Case {
            name: "one that was told isn't asked twice",
            requests: &[
                (0, TAKE_ONE),
                (1_100, TAKE_TWO),
                (1_101, BodyRequest::Take { id: THREE, bytes: 400 }),
            ],
            last: &[],
            held: 600,
        },
        Case {
            name: "a body that was told is refused if it asks for more",
            requests: &[(0, TAKE_ONE), (1_100, TAKE_TWO), (1_101, TAKE_ONE)],
            last: &[BodyAction::Refuse(ONE)],
            held: 600,
        },
        Case {
            name: "a body that left while it waited",
            requests: &[
                (0, TAKE_ONE),
                (1_100, TAKE_TWO),
                (1_101, BodyRequest::End(TWO)),
                (1_102, BodyRequest::End(ONE)),
            ],
            last: &[],
            held: 0,
        },
    ];
    for Case { name, requests, last, held } in cases {
        let mut ledger = BodyLedger::new(ROOM);
        let mut actions = Vec::new();
        for (millis, request) in requests {
            actions = ledger.decide(*request, EpochMillis(*millis));
            assert!(ledger.held() <= ROOM, "{name}");
        }
        assert_eq!(actions, last, "{name}");
        assert_eq!(ledger.held(), held, "{name}");
    }
}

/// Guards against giving way of more bodies than are needed, or of a later one
/// before the latest.
#[test]
fn the_latest_body_gives_way_first() {
    let mut ledger = BodyLedger::new(ROOM);
    ledger.decide(take(TWO, 400), EpochMillis(0));
    ledger.decide(take(ONE, 400), EpochMillis(10));
    let asked = ledger.decide(take(THREE, 500), EpochMillis(5_000));
    assert_eq!(asked, [BodyAction::GiveWay(TWO)]);
}

/// Guards against pieces that exceed a body, or that are so many that a body of
/// the largest size asks for room hundreds of times.
#[test]
fn pieces_reach_the_end_in_few_steps() {
    struct Case {
        name: &'static str,
        limit: usize,
        announced: Option<usize>,
        end: usize,
        steps: usize,
    }
    let large = 4 << 20;
    let cases = [
        Case {
            name: "an everyday body",
            limit: large,
            announced: Some(1_024),
            end: 1_024,
            steps: 1,
        },
        Case {
            name: "the largest small body",
            limit: large,
            announced: Some(SMALL_BODY_BYTES),
            end: SMALL_BODY_BYTES,
            steps: 1,
        },
        Case {
            name: "the largest body, announced",
            limit: large,
            announced: Some(large),
            end: large,
            steps: 7,
        },
        Case {
            name: "the largest body, in chunks",
            limit: large,
            announced: None,
            end: large,
            steps: 10,
        },
        Case {
            name: "a small limit",
            limit: 4_096,
            announced: None,
            end: 4_096,
            steps: 1,
        },
    ];
    for Case { name, limit, announced, end, steps } in cases {
        let (mut held, mut taken) = (0, 0);
        loop {
            let piece = next_piece(held, limit, announced);
            if piece == 0 {
                break;
            }
            held += piece;
            taken += 1;
        }
        assert_eq!((held, taken), (end, steps), "{name}");
    }
}

/// Guards against a body that is given up although it goes on, and against one
/// that never ends or keeps its connection from others.
#[test]
fn a_body_without_progress_has_an_end() {
    struct Case {
        name: &'static str,
        /// Arrivals: time in milliseconds and bytes.
        arrivals: &'static [(u64, usize)],
        deadline: u64,
        yields_at: u64,
    }
    let idle = Duration::from_millis(1_000);
    let cases = [
        Case {
            name: "nothing",
            arrivals: &[],
            deadline: 2_000,
            yields_at: 1_000,
        },
        Case {
            name: "everything at once",
            arrivals: &[(0, 1 << 20)],
            deadline: 2_000,
            yields_at: 1_000,
        },
        Case {
            name: "a kilobyte a second",
            arrivals: &[(1_000, 1_024), (2_000, 1_024)],
            deadline: 4_000,
            yields_at: 1_032,
        },
        Case {
            name: "a byte a second",
            arrivals: &[(1_000, 1), (2_000, 1)],
            deadline: 2_000,
            yields_at: 1_000,
        },
        Case {
            name: "slow after a fast start",
            arrivals: &[(0, 10_240), (2_000, 1), (4_000, 1)],
            deadline: 6_000,
            yields_at: 1_160,
        },
        Case {
            name: "as fast as a busy link",
            arrivals: &[(500, 65_536), (1_000, 65_536)],
            deadline: 3_000,
            yields_at: 2_000,
        },
    ];
    for Case { name, arrivals, deadline, yields_at } in cases {
        let mut progress = BodyProgress::begin(idle, EpochMillis(0));
        for (millis, bytes) in arrivals {
            progress.received(*bytes, idle, EpochMillis(*millis));
        }
        assert_eq!(progress.deadline(), EpochMillis(deadline), "{name}");
        assert_eq!(progress.yields_at(), EpochMillis(yields_at), "{name}");
    }
}

/// Guards against a division by which the largest legal body isn't served by
/// the smallest host, or connections exceed the memory or the descriptors.
#[test]
fn the_division_fits_each_machine() {
    struct Case {
        name: &'static str,
        memory_mb: u64,
        descriptors: u64,
        head_bytes: usize,
        connections: usize,
    }
    let cases = [
        Case {
            name: "the smallest host",
            memory_mb: 120,
            descriptors: 3_075,
            head_bytes: 16 << 10,
            connections: 640,
        },
        Case {
            name: "the largest host",
            memory_mb: 512,
            descriptors: 10_250,
            head_bytes: 16 << 10,
            connections: 2_730,
        },
        Case {
            name: "few descriptors",
            memory_mb: 512,
            descriptors: 520,
            head_bytes: 16 << 10,
            connections: 160,
        },
        Case {
            name: "large heads",
            memory_mb: 120,
            descriptors: 3_075,
            head_bytes: 1 << 20,
            connections: 38,
        },
        Case {
            name: "no descriptors to spare",
            memory_mb: 120,
            descriptors: 100,
            head_bytes: 16 << 10,
            connections: 16,
        },
    ];
    for case in cases {
        let bytes = case.memory_mb << 20;
        let limits = IntakeLimits::of(bytes, case.descriptors);
        let connections = limits.connections(case.head_bytes);
        assert_eq!(connections, case.connections, "{}", case.name);
        assert!(4 << 20 <= limits.common_bytes, "{}", case.name);
        assert!(
            SMALL_BODY_BYTES as u64 <= limits.small_bytes,
            "{}",
            case.name
        );
        let bodies = limits.common_bytes + limits.small_bytes;
        assert!(bodies <= bytes / 4, "{}", case.name);
    }
}

/// Guards against a number of headers that refuses a head within its limit, or
/// at which the HTTP library panics.
#[test]
fn a_head_of_the_shortest_lines_has_room() {
    struct Case {
        name: &'static str,
        head_bytes: usize,
        headers: usize,
        room: usize,
    }
    let cases = [
        Case {
            name: "the default",
            head_bytes: 16 << 10,
            headers: 4_096,
            room: 4_032 * 400,
        },
        Case {
            name: "larger heads",
            head_bytes: 64 << 10,
            headers: 16_384,
            room: 16_320 * 400,
        },
        Case { name: "tiny heads", head_bytes: 1, headers: 64, room: 0 },
        Case {
            name: "heads of a megabyte",
            head_bytes: 1 << 20,
            headers: 24_000,
            room: 23_936 * 400,
        },
    ];
    for Case { name, head_bytes, headers, room } in cases {
        assert_eq!(max_headers(head_bytes), headers, "{name}");
        assert_eq!(header_room(headers), room, "{name}");
    }
}

/// Guards against a new connection that gives way to the old ones, and against
/// connections that give way without need.
#[test]
fn the_oldest_connection_gives_way() {
    let mut queue = ConnectionQueue::new();
    let first = queue.add("first");
    queue.add("second");
    queue.add("third");
    assert_eq!(queue.give_way(3, 3), None);
    queue.remove(first);
    assert_eq!(queue.give_way(3, 2), Some("second"));
    assert_eq!(queue.give_way(3, 2), None, "only the latest is left");
}

/// Guards against connections whose callers go on that give way before those
/// whose callers don't, and against one that is chosen twice.
#[test]
fn a_stalled_connection_gives_way_first() {
    #[derive(Clone, Copy)]
    enum Step {
        Stalls(usize),
        Resumes(usize),
        Ends(usize),
        GivesWay(Option<usize>),
    }
    use Step::{Ends, GivesWay, Resumes, Stalls};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    let cases = [
        Case {
            name: "the stalled one, then the oldest",
            steps: &[Stalls(2), GivesWay(Some(2)), GivesWay(Some(0))],
        },
        Case {
            name: "the oldest of those stalled",
            steps: &[
                Stalls(3),
                Stalls(1),
                GivesWay(Some(1)),
                GivesWay(Some(3)),
            ],
        },
        Case {
            name: "one that has gone on counts by its age",
            steps: &[Stalls(2), Resumes(2), GivesWay(Some(0))],
        },
        Case {
            name: "one that has ended isn't chosen",
            steps: &[Stalls(2), Ends(2), GivesWay(Some(0))],
        },
        Case {
            name: "a report after the end",
            steps: &[Ends(2), Stalls(2), GivesWay(Some(0))],
        },
        Case {
            name: "one that gives way and stalls later isn't chosen again",
            steps: &[GivesWay(Some(0)), Stalls(0), GivesWay(Some(1))],
        },
        Case {
            name: "the latest, if it is the last and stalls",
            steps: &[
                Ends(0),
                Ends(1),
                Ends(2),
                GivesWay(None),
                Stalls(3),
                GivesWay(Some(3)),
            ],
        },
    ];
    for Case { name, steps } in cases {
        let mut queue = ConnectionQueue::new();
        let ids = [0, 1, 2, 3].map(|number| queue.add(number));
        for step in steps {
            match *step {
                Stalls(n) => queue.note(ConnectionEvent::Stalled(ids[n])),
                Resumes(n) => queue.note(ConnectionEvent::Resumed(ids[n])),
                Ends(n) => queue.remove(ids[n]),
                GivesWay(chosen) => {
                    assert_eq!(queue.give_way(5, 4), chosen, "{name}");
                }
            }
        }
    }
}
