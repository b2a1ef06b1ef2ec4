mod retries;

use super::{
    FairQueue, Refusal, RefusalCode, Request, RequestId, RouteQuery,
    RouteTable, RunOutcome, RunResult, UnsentProof,
};
use crate::{
    clock::EpochMillis,
    runner::RunnerReport,
    settings::{SettingsState, parse},
};

/// Attempts of a request until it is refused, and the expected outcome.
struct LifeCase {
    name: &'static str,
    idempotent: bool,
    /// For each attempt before the refusal, whether the request was written
    /// to the runner.
    tries: &'static [bool],
    outcome: RunOutcome,
}

#[test]
fn a_refusal_says_not_run_only_where_nothing_was_written() {
    let cases = [
        LifeCase {
            name: "no attempt was written",
            idempotent: true,
            tries: &[false, false],
            outcome: RunOutcome::NotRun,
        },
        LifeCase {
            name: "the only attempt was written",
            idempotent: true,
            tries: &[true],
            outcome: RunOutcome::OutcomeUnknown,
        },
        LifeCase {
            name: "an earlier attempt was written",
            idempotent: true,
            tries: &[true, false],
            outcome: RunOutcome::OutcomeUnknown,
        },
        LifeCase {
            name: "the first of several attempts was written",
            idempotent: true,
            tries: &[true, false, false],
            outcome: RunOutcome::OutcomeUnknown,
        },
    ];
    for case in cases {
        let id = RequestId::new("kgn-1", 1, 1);
        let mut request = Request::received(id, case.idempotent).admitted();
        for written in case.tries {
            let sent = request.sent("runner-1");
            request = if *written {
                sent.run_again().expect("an idempotent request may run again")
            } else {
                sent.returned_unsent(UnsentProof(()))
            };
        }
        let refusal = Refusal::not_run(RefusalCode::NoRunner, "none");
        let refusal = request.refused(refusal);
        assert_eq!(refusal.outcome, case.outcome, "{}", case.name);
    }
}

#[test]
fn a_request_that_is_not_idempotent_never_runs_again() {
    let id = RequestId::new("kgn-1", 1, 1);
    let sent = Request::received(id, false).admitted().sent("runner-1");
    let sent = sent.run_again().expect_err("the request isn't idempotent");
    let refusal = sent.failed(RefusalCode::RunnerFailed, "reset");
    assert_eq!(refusal.outcome, RunOutcome::OutcomeUnknown);
}

fn table() -> RouteTable {
    let text = "\
        [[region]]\nname = \"r\"\n\
        [[zone]]\nname = \"kgn\"\nregion = \"r\"\n\
        [[zone]]\nname = \"spt\"\nregion = \"r\"\n\
        [[group]]\nname = \"g\"\nkind = \"model\"\nset = { slots = 2 }\n\
        [[runner]]\nname = \"a\"\ngroup = \"g\"\nzone = \"kgn\"\n\
        address = \"127.0.0.1:1\"\n\
        [[runner]]\nname = \"b\"\ngroup = \"g\"\nzone = \"spt\"\n\
        address = \"127.0.0.1:2\"\n";
    let state = SettingsState::default();
    let mut table = RouteTable::new("kgn");
    table.adopt(&state, &parse(text).unwrap());
    let report = RunnerReport {
        models: vec!["m".to_owned()],
        ..RunnerReport::default()
    };
    table.report("a", &report, EpochMillis(0));
    table.report("b", &report, EpochMillis(0));
    table
}

fn query(tokens: u64) -> RouteQuery {
    RouteQuery {
        group: "g".to_owned(),
        model: Some("m".parse().unwrap()),
        tokens,
        tried: Vec::new(),
        reruns: 0,
    }
}

#[test]
fn the_runner_with_the_earliest_end_is_chosen() {
    let mut table = table();
    let pick =
        |table: &mut RouteTable| table.pick(&query(100)).unwrap().runner;
    // The runner in the host's own zone is chosen first, and the runner in
    // the other zone once the first one has tokens reserved.
    assert_eq!(pick(&mut table), "a");
    assert_eq!(pick(&mut table), "b");
    let mut fast = RouteTable::default();
    std::mem::swap(&mut fast, &mut table);
    for _ in 0..2 {
        let choice = fast.pick(&query(100)).unwrap();
        let millis = if choice.runner == "a" { 1_000 } else { 100 };
        let result = RunResult::Complete { tokens: 100, millis };
        fast.end_request(&choice, result, EpochMillis(0));
    }
    // The learned speed of b is now ten times that of a.
    assert_eq!(fast.explain(&query(100)).len(), 2);
    assert_eq!(pick(&mut fast), "b");
}

#[test]
fn full_and_tried_runners_are_not_chosen() {
    let mut table = table();
    let chosen: Vec<_> =
        std::iter::from_fn(|| table.pick(&query(1))).collect();
    assert_eq!(chosen.len(), 4, "two runners of two slots");
    table.end_request(&chosen[0], RunResult::Neutral, EpochMillis(0));
    let mut again = query(1);
    again.tried.push(chosen[0].runner.clone());
    assert_eq!(table.pick(&again), None);
    assert_eq!(table.pick(&query(1)).unwrap().runner, chosen[0].runner);
}

#[test]
fn a_failing_runner_is_ejected_and_comes_back() {
    let mut table = table();
    for _ in 0..3 {
        let mut other = query(1);
        other.tried.push("b".to_owned());
        let choice = table.pick(&other).unwrap();
        table.end_request(&choice, RunResult::Failed, EpochMillis(1_000));
    }
    assert_eq!(table.serving().count(), 1);
    let report = RunnerReport {
        models: vec!["m".to_owned()],
        ..RunnerReport::default()
    };
    table.report("a", &report, EpochMillis(2_999));
    assert_eq!(table.serving().count(), 1, "the runner is still ejected");
    table.report("a", &report, EpochMillis(3_000));
    assert_eq!(table.serving().count(), 2);
}

/// Guards against a customer with 100 waiting requests that delays the single
/// request of another customer.
#[test]
fn a_flooding_customer_waits_behind_its_own_requests() {
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push("flood", ("flood", number), EpochMillis(100));
    }
    queue.charge("flood", 10, 1);
    queue.push("small", ("small", 0), EpochMillis(100));
    let (first, _) = queue.pop(|_| true).unwrap();
    assert_eq!(first, "flood", "a returning customer starts level, not ahead");
    queue.charge("flood", 10, 1);
    let (second, _) = queue.pop(|_| true).unwrap();
    assert_eq!(second, "small");
    assert_eq!(queue.expire(EpochMillis(100)).len(), 99);
    assert!(queue.is_empty());
}

#[test]
fn a_status_implies_not_run_only_where_nothing_ran() {
    struct Case {
        code: RefusalCode,
        outcome: RunOutcome,
        status: u16,
    }
    let cases = [
        Case {
            code: RefusalCode::NoRunner,
            outcome: RunOutcome::NotRun,
            status: 503,
        },
        Case {
            code: RefusalCode::NoRunner,
            outcome: RunOutcome::OutcomeUnknown,
            status: 502,
        },
        Case {
            code: RefusalCode::RateLimited,
            outcome: RunOutcome::OutcomeUnknown,
            status: 502,
        },
        Case {
            code: RefusalCode::RunnerTimeout,
            outcome: RunOutcome::OutcomeUnknown,
            status: 504,
        },
    ];
    for Case { code, outcome, status } in cases {
        let refusal = Refusal {
            code,
            outcome,
            message: String::new(),
            retry_at: None,
            verdict: None,
        };
        assert_eq!(refusal.status(), status, "{code:?} {outcome:?}");
    }
}
