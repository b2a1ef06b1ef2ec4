//! Single rules of admission.

use std::{cell::Cell, time::Duration};

use super::{
    Admission, EpochMillis, Room, RunnerRoom, START, Scope, Sim, SimCall,
    SimRunner, WaitCause, Waiting, batch, draft, retry_at,
};
use crate::request::admission::fair::FairShares;

const NOW: EpochMillis = EpochMillis(START);

fn after(millis: u64) -> EpochMillis {
    NOW.after(Duration::from_millis(millis))
}

/// Runners with fixed room, which count how often they are looked at.
#[derive(Default)]
struct FixedRoom {
    room: Room,
    looks: Cell<usize>,
}

impl RunnerRoom<SimCall> for FixedRoom {
    fn room(&self, _: &SimCall, _: EpochMillis) -> Room {
        self.looks.set(self.looks.get() + 1);
        self.room
    }

    fn serves(&self, runner: &str, call: &SimCall, _: EpochMillis) -> bool {
        runner == call.model
    }
}

/// Lets calls wait that arrive a millisecond after each other; returns how
/// many of them were refused at once.
fn hold_all(
    admission: &mut Admission<SimCall>,
    room: &FixedRoom,
    calls: &[SimCall],
) -> Vec<&'static str> {
    let sim = Sim::new(Vec::new(), false);
    let mut refused = Vec::new();
    for (number, call) in calls.iter().enumerate() {
        let began = number as u64;
        let call = SimCall { id: number, began, ..call.clone() };
        let now = after(began);
        let entry = admission.arrive(sim.ticket(&call, now), call, now);
        match admission.hold(entry, WaitCause::Place, room, now) {
            Waiting::Held { begins } => assert!(begins),
            Waiting::Refused(one) => refused.push(one.reason),
        }
    }
    refused
}

/// Guards against an order of waiting calls in which a call waits behind one
/// that is less urgent, and against changes to the order of arrival where
/// calls have neither targets nor priorities.
#[test]
fn waiting_calls_are_tried_in_their_order() {
    struct Case {
        name: &'static str,
        calls: Vec<SimCall>,
        /// Time of the round.
        at: u64,
        order: &'static [usize],
    }
    let plain = SimCall { target_ms: 0, ..draft("a", "m") };
    let late = SimCall { target_ms: 50, ..draft("a", "m") };
    let cases = [
        Case {
            name: "without targets: arrival, whatever the deadline",
            calls: vec![
                SimCall { timeout_ms: 9_000, ..plain.clone() },
                SimCall { timeout_ms: 3_000, ..plain.clone() },
                SimCall { customer: "b".to_owned(), ..plain.clone() },
            ],
            at: 100,
            order: &[0, 1, 2],
        },
        Case {
            name: "priority first",
            calls: vec![
                SimCall { priority: 2, ..draft("a", "m") },
                SimCall { priority: 1, ..draft("a", "m") },
                draft("a", "m"),
            ],
            at: 100,
            order: &[2, 1, 0],
        },
        Case {
            name: "least time to the target first",
            calls: vec![
                SimCall { target_ms: 500, ..draft("a", "m") },
                draft("a", "m"),
            ],
            at: 100,
            order: &[1, 0],
        },
        Case {
            name: "after the target behind those that can make it",
            calls: vec![late.clone(), draft("a", "m"), draft("a", "m")],
            at: 100,
            order: &[1, 2, 0],
        },
        Case {
            name: "late calls of a higher priority first",
            calls: vec![
                SimCall { priority: 1, ..draft("a", "m") },
                late.clone(),
            ],
            at: 100,
            order: &[1, 0],
        },
        Case {
            name: "aged batch calls between calls in time and late ones",
            calls: vec![
                late,
                SimCall { target_ms: 1_200, ..batch("a", "m") },
                SimCall { target_ms: 1_900, ..draft("a", "m") },
            ],
            at: 1_000,
            order: &[2, 1, 0],
        },
    ];
    for case in cases {
        let mut admission = Admission::default();
        let room = FixedRoom::default();
        let refused = hold_all(&mut admission, &room, &case.calls);
        assert!(refused.is_empty(), "{}", case.name);
        let now = after(case.at);
        let mut round = admission.round(Scope::All, &room, now);
        let mut order = Vec::new();
        while let Some(entry) = admission.next_turn(&mut round, &room, now) {
            order.push(entry.call.id);
        }
        assert_eq!(order, case.order, "{}", case.name);
    }
}

/// Guards against calls that wait for longer than before where they have no
/// target, and against waits that leave no time to run.
#[test]
fn a_wait_ends_in_time() {
    struct Case {
        name: &'static str,
        call: SimCall,
        cause: WaitCause,
        /// Whether the pace at which places become free is known.
        is_paced: bool,
        ends_ms: u64,
    }
    let plain = SimCall { target_ms: 0, ..draft("a", "m") };
    let cases = [
        Case {
            name: "no target, long deadline",
            call: plain.clone(),
            cause: WaitCause::Place,
            is_paced: true,
            ends_ms: 1_500,
        },
        Case {
            name: "no target, short deadline",
            call: SimCall { timeout_ms: 4_000, ..plain.clone() },
            cause: WaitCause::Place,
            is_paced: true,
            ends_ms: 800,
        },
        Case {
            name: "no target, model missing",
            call: SimCall { timeout_ms: 4_000, ..plain },
            cause: WaitCause::Model,
            is_paced: true,
            ends_ms: 800,
        },
        Case {
            name: "urgent, pace unknown",
            call: draft("a", "m"),
            cause: WaitCause::Place,
            is_paced: false,
            ends_ms: 1_500,
        },
        Case {
            name: "urgent, pace known",
            call: draft("a", "m"),
            cause: WaitCause::Place,
            is_paced: true,
            ends_ms: 4_000,
        },
        Case {
            name: "batch",
            call: batch("a", "m"),
            cause: WaitCause::Yield,
            is_paced: false,
            ends_ms: 7_500,
        },
        Case {
            name: "model missing: until the longest load would have ended",
            call: draft("a", "m"),
            cause: WaitCause::Model,
            is_paced: false,
            ends_ms: 4_500,
        },
        Case {
            name: "model missing, short deadline",
            call: SimCall { timeout_ms: 4_000, ..draft("a", "m") },
            cause: WaitCause::Model,
            is_paced: false,
            ends_ms: 2_800,
        },
        Case {
            name: "no runner at all",
            call: draft("a", "m"),
            cause: WaitCause::Runner,
            is_paced: true,
            ends_ms: 1_500,
        },
    ];
    for Case { name, call, cause, is_paced, ends_ms } in cases {
        let mut admission = Admission::default();
        let room = Room { places: 12, taken: 15 };
        let room = FixedRoom { room, ..FixedRoom::default() };
        if is_paced {
            admission.note_held("advisor", Duration::from_millis(1_200));
        }
        let sim = Sim::new(Vec::new(), false);
        let entry = admission.arrive(sim.ticket(&call, NOW), call, NOW);
        let held = admission.hold(entry, cause, &room, NOW);
        assert!(matches!(held, Waiting::Held { .. }), "{name}");
        // The end is known half a turn, 40 ms, before.
        let before = admission.review(&room, after(ends_ms - 41));
        assert!(before.is_empty(), "{name}: {:?}", before[0].reason);
        let ended = admission.review(&room, after(ends_ms));
        assert_eq!(ended.len(), 1, "{name}");
        assert!(admission.is_empty(), "{name}");
    }
}

/// Guards against calls that are held although their turn comes too late, and
/// against batch calls that fill the memory of a host.
#[test]
fn a_call_is_refused_at_once_if_its_wait_would_be_in_vain() {
    struct Case {
        name: &'static str,
        call: SimCall,
        calls: usize,
        bytes: u64,
        taken: u32,
        /// Calls that wait at the end, and why the others don't.
        waiting: usize,
        reason: &'static str,
    }
    let cases = [
        Case {
            // Each turn takes 1,200 ms / 15, so 50 turns take 4 s.
            name: "turns within the limit of the wait",
            call: draft("a", "m"),
            calls: 60,
            bytes: 2_000,
            taken: 15,
            waiting: 50,
            reason: "too_late",
        },
        Case {
            name: "few places",
            call: draft("a", "m"),
            calls: 10,
            bytes: 2_000,
            taken: 1,
            waiting: 3,
            reason: "too_late",
        },
        Case {
            name: "number of batch calls",
            call: batch("a", "m"),
            calls: 300,
            bytes: 2_000,
            taken: 1_000,
            waiting: 256,
            reason: "crowded",
        },
        Case {
            name: "memory of batch calls",
            call: batch("a", "m"),
            calls: 20,
            bytes: 1 << 20,
            taken: 1_000,
            waiting: 8,
            reason: "crowded",
        },
    ];
    for case in cases {
        let Case { name, call, calls, bytes, taken, waiting, reason } = case;
        let mut admission = Admission::default();
        let room = Room { places: 12, taken };
        let room = FixedRoom { room, ..FixedRoom::default() };
        admission.note_held("advisor", Duration::from_millis(1_200));
        let call = SimCall { bytes, timeout_ms: 10_000, ..call };
        let calls = vec![call; calls];
        let refused = hold_all(&mut admission, &room, &calls);
        assert_eq!(admission.len(), waiting, "{name}");
        assert!(refused.iter().all(|one| *one == reason), "{name}");
    }
}

/// Guards against calls that are sent when their callers have no use for the
/// answers any more, as when a host goes on after a pause.
#[test]
fn a_call_past_its_deadline_gets_no_place() {
    let mut admission = Admission::default();
    let room = FixedRoom::default();
    let short = SimCall { timeout_ms: 3_000, ..draft("a", "m") };
    let calls = [short, draft("a", "m")];
    assert!(hold_all(&mut admission, &room, &calls).is_empty());
    let now = after(3_000);
    let mut round = admission.round(Scope::All, &room, now);
    let first = admission.next_turn(&mut round, &room, now).unwrap();
    assert_eq!(first.call.id, 1);
    assert!(admission.next_turn(&mut round, &room, now).is_none());
    assert_eq!(admission.review(&room, now).len(), 1);
}

/// Guards against rounds that try every waiting call at each freed place,
/// which a host with a tenth of a core can't afford.
#[test]
fn a_freed_place_is_offered_only_to_calls_that_it_can_serve() {
    let mut admission = Admission::default();
    let room = FixedRoom::default();
    let mut calls = vec![draft("a", "m"); 100];
    calls.extend(vec![draft("a", "n"); 100]);
    assert!(hold_all(&mut admission, &room, &calls).is_empty());
    let now = after(300);
    let mut round = admission.round(Scope::Runner("n"), &room, now);
    let mut tried = Vec::new();
    while let Some(entry) = admission.next_turn(&mut round, &room, now) {
        admission.note_failure(&mut round, &entry);
        tried.push(entry.call.model.clone());
        let cause = WaitCause::Place;
        let held = admission.hold(entry, cause, &room, now);
        assert!(matches!(held, Waiting::Held { begins: false }));
    }
    // The first call got no place, so no other one that needs as much does.
    assert_eq!(tried, ["n"]);
    assert_eq!(admission.len(), 200);
    let mut round = admission.round(Scope::Runner("o"), &room, now);
    assert!(admission.next_turn(&mut round, &room, now).is_none());
}

/// Guards against refused callers that are told to return when their time is
/// over, all at once, or later than callers without targets were before.
#[test]
fn a_refused_caller_returns_in_time() {
    struct Case {
        name: &'static str,
        call: SimCall,
        expected_ms: Option<u64>,
        dice: f64,
        returns_ms: u64,
    }
    let case = |name, expected_ms, dice, returns_ms| Case {
        name,
        call: draft("a", "m"),
        expected_ms,
        dice,
        returns_ms,
    };
    let cases = [
        case("no estimate, earliest", None, 0.0, 75),
        case("no estimate, latest", None, 1.0, 225),
        case("estimate, earliest", Some(1_000), 0.0, 500),
        case("estimate, latest", Some(1_000), 1.0, 1_500),
        case("never beyond a third", Some(60_000), 1.0, 3_333),
        case("spread below a third", Some(60_000), 0.0, 1_666),
        Case {
            call: SimCall { target_ms: 0, ..draft("a", "m") },
            ..case("no target", Some(1_000), 0.7, 150)
        },
    ];
    for Case { name, call, expected_ms, dice, returns_ms } in cases {
        let ticket = Sim::new(Vec::new(), false).ticket(&call, NOW);
        let expected = expected_ms.map(Duration::from_millis);
        let at = retry_at(&ticket, expected, dice, NOW);
        assert_eq!(NOW.until(at).as_millis() as u64, returns_ms, "{name}");
    }
}

/// Guards against customers that gather credit while they send nothing and
/// then take all places.
#[test]
fn idle_customers_gather_no_credit() {
    let mut fair = FairShares::default();
    for customer in ["a", "b"] {
        fair.note_arrival(customer, NOW);
    }
    for step in 0..100 {
        let now = after(step * 100);
        fair.note_arrival("a", now);
        fair.charge("a", 700, now);
    }
    let now = after(10_000);
    fair.note_arrival("b", now);
    fair.note_arrival("c", now);
    let [a, b, c] = ["a", "b", "c"].map(|name| fair.served(name));
    assert!(a == 70_000.0 && b == a && c == a, "{a} {b} {c}");
    fair.charge("a", 700, now);
    assert!(fair.served("b") < fair.served("a"));
}

/// Guards against batch calls that take the last places before urgent calls
/// come, and against batch calls that wait where no urgent ones come.
#[test]
fn batch_calls_leave_room_only_to_urgent_ones() {
    struct Case {
        name: &'static str,
        /// Time since an urgent call came, if one did.
        urgent_ms: Option<u64>,
        waited_ms: u64,
        taken: u32,
        obstacle: Option<WaitCause>,
    }
    let case = |name, urgent_ms, waited_ms, taken, obstacle| Case {
        name,
        urgent_ms,
        waited_ms,
        taken,
        obstacle,
    };
    let yields = Some(WaitCause::Yield);
    let cases = [
        case("no urgent calls", None, 0, 11, None),
        case("urgent calls, little room", Some(100), 0, 9, yields),
        case("urgent calls, room", Some(100), 0, 8, None),
        case("urgent calls long ago", Some(5_000), 0, 11, None),
        case("urgent calls, aged", Some(100), 6_000, 11, None),
    ];
    for Case { name, urgent_ms, waited_ms, taken, obstacle } in cases {
        let mut admission = Admission::default();
        let room = Room { places: 12, taken };
        let room = FixedRoom { room, ..FixedRoom::default() };
        let sim = Sim::new(vec![SimRunner::new(&["m"], 12, 1_200)], false);
        let now = after(10_000);
        let before = |ms| now.before(Duration::from_millis(ms));
        if let Some(urgent_ms) = urgent_ms {
            let at = before(urgent_ms);
            let began = at.0 - START;
            let call = SimCall { began, ..draft("a", "m") };
            admission.arrive(sim.ticket(&call, at), call, at);
        }
        let at = before(waited_ms);
        let call = SimCall { began: at.0 - START, ..batch("b", "m") };
        let entry = admission.arrive(sim.ticket(&call, at), call, at);
        assert_eq!(admission.obstacle(&entry, &room, now), obstacle, "{name}");
    }
}
