//! Retry budgets of one host, and of a fleet whose hosts start again.

use std::time::Duration;

use super::super::{
    Granting, RetryAllowance, RetryClaim, RetryDenial, RetryGrant, RetryLedger,
};
use crate::clock::EpochMillis;

const WINDOW: Duration = Duration::from_secs(10);
const SERVICE: &str = "ledger";

/// Grants a retry, with a claim that is written at once if one is needed.
fn claim_and_grant(
    ledger: &mut RetryLedger<Granting>,
    hosts: usize,
    now: EpochMillis,
) -> Result<RetryGrant, RetryDenial> {
    let granted = ledger.grant(SERVICE, hosts, now).0;
    if granted == Err(RetryDenial::Unclaimed)
        && ledger.begin_claim(SERVICE, hosts, now)
    {
        ledger.conclude_claim(SERVICE, true, now);
        return ledger.grant(SERVICE, hosts, now).0;
    }
    granted
}

/// Returns the most of these sorted times that lie in a window.
fn most_in_window(times: &[EpochMillis]) -> usize {
    let counts = times.iter().enumerate().map(|(index, first)| {
        let until = first.after(WINDOW);
        times[index..].partition_point(|at| *at < until)
    });
    counts.max().unwrap_or(0)
}

/// Guards against retries that are refused during a fault although the
/// requests of the window allow them, and against windows with more retries
/// than the platform allows.
#[test]
fn retries_may_use_the_whole_window_but_no_more() {
    struct Case {
        name: &'static str,
        /// Requests per second; each request from `from` to `to` seconds asks
        /// for a retry.
        per_second: u64,
        from: u64,
        to: u64,
        /// Least number of retries to be granted.
        granted: usize,
    }
    let cases = [
        // 16 for the 100 requests of 10 seconds, plus the slack of 2.
        Case {
            name: "a short burst of retries",
            per_second: 10,
            from: 20,
            to: 22,
            granted: 18,
        },
        Case {
            name: "few requests",
            per_second: 1,
            from: 20,
            to: 30,
            granted: 3,
        },
        // The allowance of three windows.
        Case {
            name: "a long fault",
            per_second: 10,
            from: 20,
            to: 50,
            granted: 48,
        },
        Case {
            name: "a fault at the start",
            per_second: 10,
            from: 0,
            to: 1,
            granted: 3,
        },
    ];
    for Case { name, per_second, from, to, granted } in cases {
        // The hosts use four fifths of it: 0.16 and 2.
        let allowance =
            RetryAllowance { share: 0.2, slack: 2.5, window: WINDOW };
        let ledger = RetryLedger::new(allowance, EpochMillis(0));
        let mut ledger = ledger.open(&[]);
        let mut spent = Vec::new();
        for tick in 0..60 * per_second {
            let at = EpochMillis(tick * 1_000 / per_second);
            ledger.record_request(SERVICE, at);
            let wanted = (from * 1_000..to * 1_000).contains(&at.0);
            if wanted && let Ok(grant) = claim_and_grant(&mut ledger, 1, at) {
                ledger.record_sent(&grant, at);
                spent.push(at);
            }
        }
        assert!(granted <= spent.len(), "{name}: {}", spent.len());
        // The platform allows a fifth of the requests, plus the slack.
        let allowed = 0.2 * 10.0 * per_second as f64 + 2.0;
        assert!(most_in_window(&spent) as f64 <= allowed, "{name}");
    }
}

/// Guards against retries that a host makes once more, as the process that made
/// them has ended: in the sum over a fleet they exceed the platform's allowance.
#[test]
fn retries_of_a_fleet_whose_hosts_start_again_stay_within_the_window() {
    const HOSTS: usize = 8;
    /// Time between two requests at a host.
    const PERIOD_MS: u64 = 80;
    /// Retries that a request asks for.
    const TRIES: usize = 3;
    const ALLOWANCE: RetryAllowance =
        RetryAllowance { share: 0.2, slack: 50.0, window: WINDOW };
    struct Case {
        name: &'static str,
        /// Time from which requests fail, in milliseconds.
        fails_from: u64,
        /// Times at which `killed` hosts end and start again, after a moment.
        kills: &'static [u64],
        killed: usize,
        /// Time from which the store is away: no row can be read or written.
        away_from: u64,
        /// Least number of retries in the worst window.
        least: usize,
    }
    let case = Case {
        name: "no host starts again",
        fails_from: 15_000,
        kills: &[],
        killed: HOSTS,
        away_from: u64::MAX,
        least: 180,
    };
    let cases = [
        Case { name: "all once", kills: &[15_600], ..case },
        Case {
            name: "all in series",
            kills: &[15_300, 16_800, 18_300, 19_800, 21_300, 22_800],
            ..case
        },
        Case {
            name: "all in series from the start of traffic",
            fails_from: 3_000,
            kills: &[4_000, 5_500, 7_000, 8_500, 10_000],
            least: 90,
            ..case
        },
        Case {
            name: "half in series",
            kills: &[15_300, 16_300, 17_300, 18_300, 19_300, 20_300, 21_300],
            killed: HOSTS / 2,
            ..case
        },
        Case {
            name: "all before the fault",
            kills: &[14_900],
            least: 120,
            ..case
        },
        Case {
            name: "long after the begin of the fault",
            fails_from: 2_000,
            kills: &[20_000, 25_000],
            ..case
        },
        Case {
            name: "all while the store is away",
            kills: &[15_600, 17_000],
            away_from: 15_500,
            ..case
        },
        Case {
            name: "half, and the store is away before the fault",
            kills: &[14_000, 16_000],
            killed: HOSTS / 2,
            away_from: 13_000,
            least: 60,
            ..case
        },
        case,
    ];
    for case in cases {
        let start = |now| RetryLedger::new(ALLOWANCE, now);
        let mut rows: Vec<Vec<RetryClaim>> = vec![Vec::new(); HOSTS];
        let mut ledgers: Vec<_> =
            (0..HOSTS).map(|_| start(EpochMillis(0)).open(&[])).collect();
        // Hosts that start again, with the time from which they grant retries.
        let mut withheld: Vec<Option<EpochMillis>> = vec![None; HOSTS];
        let mut spent = Vec::new();
        for tick in 0..40_000 / 10 {
            let now = EpochMillis(tick * 10);
            let is_away = case.away_from <= now.0;
            for host in 0..HOSTS {
                if case.kills.contains(&now.0) && host < case.killed {
                    let started = start(now);
                    withheld[host] = is_away.then(|| started.until());
                    let former = if is_away { &[][..] } else { &rows[host] };
                    ledgers[host] = started.open(former);
                }
                if !(now.0 + host as u64 * 10).is_multiple_of(PERIOD_MS) {
                    continue;
                }
                let ledger = &mut ledgers[host];
                ledger.record_request(SERVICE, now);
                if now.0 < case.fails_from
                    || withheld[host].is_some_and(|until| now < until)
                {
                    continue;
                }
                for _ in 0..TRIES {
                    let granted = ledger.grant(SERVICE, HOSTS, now).0;
                    if granted == Err(RetryDenial::Unclaimed)
                        && ledger.begin_claim(SERVICE, HOSTS, now)
                    {
                        if !is_away {
                            rows[host] = ledger.claims(now);
                        }
                        ledger.conclude_claim(SERVICE, !is_away, now);
                    }
                    let granted = granted
                        .or_else(|_| ledger.grant(SERVICE, HOSTS, now).0);
                    if let Ok(grant) = granted {
                        ledger.record_sent(&grant, now);
                        spent.push(now);
                    }
                }
            }
        }
        let requests = HOSTS as f64 * 10_000.0 / PERIOD_MS as f64;
        let allowed = ALLOWANCE.share * requests + ALLOWANCE.slack;
        let most = most_in_window(&spent);
        assert!(most as f64 <= allowed, "{}: {most} of {allowed}", case.name);
        assert!(case.least <= most, "{}: only {most}", case.name);
    }
}

/// Guards against retries that are counted when they are granted and arrive in
/// a later window, after a wait for a runner, and against granted ones that
/// never leave and stay counted.
#[test]
fn a_granted_retry_counts_from_when_it_leaves() {
    struct Case {
        name: &'static str,
        /// Time at which the retries that were granted at 20 s leave, in
        /// milliseconds; `None` if they never do.
        leaves_at: Option<u64>,
        /// Time at which further retries are asked for.
        asks_at: u64,
        /// Whether they are granted.
        granted: bool,
    }
    let case = Case {
        name: "left at once, within the window",
        leaves_at: Some(20_000),
        asks_at: 29_900,
        granted: false,
    };
    let cases = [
        Case {
            name: "left at once, after the window",
            asks_at: 31_400,
            granted: true,
            ..case
        },
        Case {
            name: "left late, within the window from then",
            leaves_at: Some(21_500),
            asks_at: 31_400,
            ..case
        },
        Case {
            name: "never left",
            leaves_at: None,
            asks_at: 21_500,
            granted: true,
        },
        case,
    ];
    for Case { name, leaves_at, asks_at, granted } in cases {
        let allowance =
            RetryAllowance { share: 0.2, slack: 0.0, window: WINDOW };
        let ledger = RetryLedger::new(allowance, EpochMillis(0));
        let mut ledger = ledger.open(&[]);
        let mut grants = Vec::new();
        for at in (0..=asks_at).step_by(100).map(EpochMillis) {
            ledger.record_request(SERVICE, at);
            if at == EpochMillis(20_000) {
                while let Ok(grant) = claim_and_grant(&mut ledger, 1, at) {
                    grants.push(grant);
                }
                assert_eq!(grants.len(), 16, "{name}");
            }
            if Some(at.0) == leaves_at {
                grants.iter().for_each(|g| ledger.record_sent(g, at));
            }
        }
        if leaves_at.is_none() {
            grants.iter().for_each(|grant| ledger.give_back(grant));
        }
        let now = EpochMillis(asks_at);
        let mut again = 0;
        while claim_and_grant(&mut ledger, 1, now).is_ok() {
            again += 1;
        }
        assert_eq!(10 <= again, granted, "{name}: {again}");
    }
}

/// Guards against a host that takes its row for another's and writes it again
/// and again: what it writes is what it reads.
#[test]
fn claims_are_read_as_they_were_written() {
    let allowance = RetryAllowance { share: 0.2, slack: 50.0, window: WINDOW };
    let mut ledger = RetryLedger::new(allowance, EpochMillis(0)).open(&[]);
    for at in (0..20_000).step_by(50).map(EpochMillis) {
        ledger.record_request(SERVICE, at);
        if let Ok(grant) = claim_and_grant(&mut ledger, 1, at) {
            ledger.record_sent(&grant, at);
        }
    }
    let claims = ledger.claims(EpochMillis(20_000));
    assert!(!claims.is_empty());
    for claim in claims {
        let written = claim.at_clock(|at| at.after(WINDOW));
        let row = serde_json::to_vec(&written).unwrap();
        let read: RetryClaim = serde_json::from_slice(&row).unwrap();
        assert_eq!(read, written);
    }
}
