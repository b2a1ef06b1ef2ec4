//! Callers that send at a constant rate, and a check of the tokens they used.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::client::{Answer, chat};

/// The load of one customer.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    pub(crate) key: &'static str,
    /// Addresses of the hosts, used in rotation.
    pub(crate) hosts: Vec<String>,
    pub(crate) requests_per_second: f64,
    pub(crate) duration: Duration,
    pub(crate) max_tokens: u64,
}

/// One request and its result; times are milliseconds since the start of the
/// load.
#[derive(Clone, Debug)]
pub(crate) struct LoadRecord {
    pub(crate) sent_ms: u64,
    pub(crate) ended_ms: u64,
    /// `None` where the connection failed.
    pub(crate) answer: Option<Answer>,
}

impl LoadRecord {
    pub(crate) fn is_ok(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }

    pub(crate) fn code(&self) -> String {
        self.answer.as_ref().map(Answer::code).unwrap_or_default()
    }

    /// Returns the tokens that the request used.
    pub(crate) fn tokens(&self) -> u64 {
        let Some(answer) = &self.answer else { return 0 };
        answer.json()["usage"]["total_tokens"].as_u64().unwrap_or(0)
    }
}

/// Sends the requests of a plan and returns all of them.
pub(crate) async fn run_load(plan: &LoadPlan) -> Vec<LoadRecord> {
    let start = Instant::now();
    let pause = Duration::from_secs_f64(1.0 / plan.requests_per_second);
    let mut period = tokio::time::interval(pause);
    let mut calls = JoinSet::new();
    let mut request_number = 0;
    while start.elapsed() < plan.duration {
        period.tick().await;
        let host = plan.hosts[request_number % plan.hosts.len()].clone();
        request_number += 1;
        let request = chat(plan.key, "outline", plan.max_tokens, false);
        calls.spawn(async move {
            let sent_ms = millis(start);
            let answer = crate::client::call(&host, request).await.ok();
            LoadRecord { sent_ms, ended_ms: millis(start), answer }
        });
    }
    let mut records = calls.join_all().await;
    records.sort_by_key(|record| record.sent_ms);
    records
}

/// Returns a description of a window with more tokens than rate and burst
/// allow, if there is one. A request counts in a window only if it was both
/// sent and ended in it, so that it was certainly admitted in it.
pub(crate) fn find_rate_excess(
    records: &[LoadRecord],
    rate: u64,
    burst: u64,
) -> Option<String> {
    let mut by_end: Vec<&LoadRecord> =
        records.iter().filter(|record| record.is_ok()).collect();
    by_end.sort_by_key(|record| record.ended_ms);
    for first in &by_end {
        let mut sum = 0;
        let inside =
            by_end.iter().filter(|record| first.sent_ms <= record.sent_ms);
        for record in inside {
            sum += record.tokens();
            let window = record.ended_ms - first.sent_ms;
            if burst * 1_000 + rate * window < sum * 1_000 {
                return Some(format!("{sum} tokens in {window} ms"));
            }
        }
    }
    None
}

fn millis(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
