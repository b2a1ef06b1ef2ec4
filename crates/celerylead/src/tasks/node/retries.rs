//! The part of the router that grants retries within the budgets of the
//! services.

use std::{mem, time::Duration};

use tokio::sync::watch;

use super::router_port::QueuedCall;
use crate::{
    clock::EpochMillis,
    metrics::HostMetrics,
    relay::CallRequirements,
    request::{
        Granting, RetryAllowance, RetryBasis, RetryClaim, RetryDenial,
        RetryGrant, RetryLedger, Withheld,
    },
};

/// Longest time that a call waits for a claim to be written.
const MAX_CLAIM_WAIT: Duration = Duration::from_millis(100);

/// The ledger in its state.
enum LedgerSeat {
    /// The claims of earlier processes aren't known.
    Withheld(RetryLedger<Withheld>),
    Granting(RetryLedger<Granting>),
}

/// What is done with a call that is to be sent once more.
pub(super) enum RetryDecision {
    Granted(RetryGrant),
    /// The call waits for a claim that is being written.
    Claiming,
    Denied(&'static str),
}

/// A call that waits for a claim.
struct ParkedCall {
    call: QueuedCall,
    until: EpochMillis,
}

/// The retry budgets, and the calls that wait for a claim.
pub(super) struct RetryKeeper {
    seat: LedgerSeat,
    /// Number of hosts that share the slack; 0 until the list is known.
    hosts: usize,
    /// Service of which a claim is being written.
    claiming: Option<String>,
    claims: watch::Sender<Vec<RetryClaim>>,
    parked: Vec<ParkedCall>,
    metrics: HostMetrics,
}

impl RetryKeeper {
    pub(super) fn new(
        allowance: RetryAllowance,
        claims: watch::Sender<Vec<RetryClaim>>,
        metrics: HostMetrics,
        now: EpochMillis,
    ) -> RetryKeeper {
        RetryKeeper {
            seat: LedgerSeat::Withheld(RetryLedger::new(allowance, now)),
            hosts: 0,
            claiming: None,
            claims,
            parked: Vec::new(),
            metrics,
        }
    }

    /// Begins to grant retries, after those that earlier processes claimed.
    pub(super) fn open(&mut self, former: &[RetryClaim], now: EpochMillis) {
        for RetryClaim { service, retries, spend_by, .. } in former {
            let spend_by_ms = now.until(*spend_by).as_millis() as u64;
            tracing::info!(
                event = "former_retries",
                service,
                retries,
                spend_by_ms,
            );
        }
        if let LedgerSeat::Withheld(ledger) = &self.seat {
            self.seat = LedgerSeat::Granting(ledger.clone().open(former));
        }
    }

    /// Records the number of hosts that share the slack.
    pub(super) fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Counts a call that wasn't sent yet.
    pub(super) fn record_request(&mut self, service: &str, now: EpochMillis) {
        match &mut self.seat {
            LedgerSeat::Withheld(ledger) => {
                ledger.record_request(service, now);
            }
            LedgerSeat::Granting(ledger) => {
                ledger.record_request(service, now);
            }
        }
    }

    /// Decides on a further send of a call.
    pub(super) fn decide(
        &mut self,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> RetryDecision {
        if let LedgerSeat::Withheld(ledger) = &self.seat
            && ledger.until() <= now
        {
            self.open(&[], now);
        }
        let LedgerSeat::Granting(ledger) = &mut self.seat else {
            self.log(call, "withheld", None);
            return RetryDecision::Denied("earlier retries aren't known");
        };
        let (granted, basis) = ledger.grant(&call.service, self.hosts, now);
        let (outcome, decision) = match granted {
            Ok(grant) => ("granted", RetryDecision::Granted(grant)),
            Err(RetryDenial::Unclaimed) if self.claim(&call.service, now) => {
                ("claiming", RetryDecision::Claiming)
            }
            Err(_) => {
                let reason = "the budget of further sends is spent";
                ("denied", RetryDecision::Denied(reason))
            }
        };
        self.log(call, outcome, Some(basis));
        decision
    }

    /// Returns whether a claim is being written, after which retries of a
    /// service may be granted. Begins one if there is none.
    fn claim(&mut self, service: &str, now: EpochMillis) -> bool {
        if self.claiming.is_some() {
            return true;
        }
        let LedgerSeat::Granting(ledger) = &mut self.seat else {
            return false;
        };
        if !ledger.begin_claim(service, self.hosts, now) {
            return false;
        }
        self.claiming = Some(service.to_owned());
        self.claims.send_replace(ledger.claims(now));
        true
    }

    /// Ends the claim in flight; returns the calls that waited for it.
    pub(super) fn conclude_claim(
        &mut self,
        is_written: bool,
        now: EpochMillis,
    ) -> Vec<QueuedCall> {
        if let Some(service) = self.claiming.take()
            && let LedgerSeat::Granting(ledger) = &mut self.seat
        {
            ledger.conclude_claim(&service, is_written, now);
            tracing::info!(event = "retries_claimed", service, is_written);
        }
        let parked = mem::take(&mut self.parked);
        parked.into_iter().map(|parked| parked.call).collect()
    }

    /// Lets a call wait for the claim in flight.
    pub(super) fn park(&mut self, call: QueuedCall, now: EpochMillis) {
        let until = call.wait_until.min(now.after(MAX_CLAIM_WAIT));
        self.parked.push(ParkedCall { call, until });
    }

    /// Returns the calls that have waited for a claim for too long.
    pub(super) fn take_overdue(
        &mut self,
        now: EpochMillis,
    ) -> Vec<QueuedCall> {
        let overdue = self.parked.extract_if(.., |call| call.until <= now);
        overdue.map(|parked| parked.call).collect()
    }

    /// Returns the time at which a call has waited for a claim for too long.
    pub(super) fn next_overdue_at(&self) -> Option<EpochMillis> {
        self.parked.iter().map(|parked| parked.until).min()
    }

    /// Counts a granted retry that leaves for a runner.
    pub(super) fn record_sent(
        &mut self,
        id: &str,
        grant: &RetryGrant,
        now: EpochMillis,
    ) {
        if let LedgerSeat::Granting(ledger) = &mut self.seat {
            ledger.record_sent(grant, now);
        }
        let waited_ms = grant.granted_at().until(now).as_millis() as u64;
        tracing::info!(event = "retry_sent", request_id = id, waited_ms);
    }

    /// Takes back a granted retry that will never leave.
    pub(super) fn give_back(&mut self, grant: &RetryGrant) {
        if let LedgerSeat::Granting(ledger) = &mut self.seat {
            ledger.give_back(grant);
        }
    }

    fn log(
        &self,
        call: &CallRequirements,
        outcome: &'static str,
        basis: Option<RetryBasis>,
    ) {
        tracing::info!(
            event = "retry_decided",
            request_id = call.id.as_str(),
            service = call.service,
            outcome,
            requests = basis.map(|basis| basis.counts.requests),
            retries = basis.map(|basis| basis.counts.retries),
            limit = basis.map(|basis| basis.limit),
            hosts = self.hosts,
        );
        self.metrics.count_retry(&call.service, outcome);
    }
}
