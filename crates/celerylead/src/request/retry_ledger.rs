//! Retry budgets of the services at one host.
//!
//! A platform limits the retries of all hosts together to a share of the
//! requests in a window, plus a slack. Each host applies the limit to its own
//! requests and to its part of the slack, so that the sum over all hosts keeps
//! to the limit.
//!
//! A host keeps to it over the ends and starts of its process too. What a
//! process has *saved* is safe to forget: a request adds a share of a retry, up
//! to two retries. Any further retry is [claimed](RetryClaim) beforehand. A new
//! process grants none until it knows the last claims of its host, or until no
//! earlier retry can be in the window.

use std::time::Duration;

use super::{
    allowance::{RetryWindow, WindowCounts},
    retry_claim::{RetryClaim, ServiceClaims},
};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Share of the platform's allowance that the hosts use. The rest covers
/// requests that move from one host to another within a window.
const BUDGET_SHARE: f64 = 0.8;
/// Retries that a service can save at most.
const MAX_SAVED: f64 = 2.0;

/// The platform's retry allowance for each service, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed per request.
    pub share: f64,
    /// Retries allowed beyond `share` in the window.
    pub slack: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

/// State: it isn't known what earlier processes of the host have retried.
#[derive(Clone, Debug, PartialEq)]
pub struct Withheld {
    /// Time from which nothing of that is in a window any more.
    until: EpochMillis,
}

/// State: retries are granted.
#[derive(Clone, Debug, PartialEq)]
pub struct Granting(());

/// Why no retry is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenial {
    /// The limit of the window is reached.
    Spent,
    /// More retries are allowed, but have to be claimed first.
    Unclaimed,
}

/// Figures from which a retry was granted or denied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBasis {
    /// Requests and retries in the window, with the retries that are granted and
    /// haven't left yet.
    pub counts: WindowCounts,
    /// Retries that the window allows to the host.
    pub limit: f64,
}

/// A granted retry that hasn't left yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryGrant {
    service: String,
    granted_at: EpochMillis,
}

impl RetryGrant {
    /// Returns the time at which the retry was granted.
    pub fn granted_at(&self) -> EpochMillis {
        self.granted_at
    }
}

/// Budget of one service.
#[derive(Clone, Debug, PartialEq)]
struct ServiceBudget {
    window: RetryWindow,
    /// Granted retries that haven't left yet.
    reserved: u32,
    saved: f64,
    claims: ServiceClaims,
}

/// The retry budgets of one process, in the state `S`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{
///     EpochMillis,
///     request::{RetryAllowance, RetryDenial, RetryLedger},
/// };
///
/// let window = Duration::from_secs(10);
/// let allowance = RetryAllowance { share: 0.2, slack: 10.0, window };
/// let mut ledger = RetryLedger::new(allowance, EpochMillis(0)).open(&[]);
/// let now = EpochMillis(5_000);
/// (0..8).for_each(|_| ledger.record_request("ledger", now));
/// // The requests have saved one retry; further ones have to be claimed.
/// let mut grant = || ledger.grant("ledger", 2, now).0;
/// assert!(grant().is_ok());
/// assert_eq!(grant(), Err(RetryDenial::Unclaimed));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RetryLedger<S> {
    allowance: RetryAllowance,
    budgets: SortedTable<String, ServiceBudget>,
    state: S,
}

impl RetryLedger<Withheld> {
    /// Creates the ledger of a process that starts at `now`.
    pub fn new(
        allowance: RetryAllowance,
        now: EpochMillis,
    ) -> RetryLedger<Withheld> {
        let until = now.after(allowance.window);
        let budgets = SortedTable::default();
        RetryLedger { allowance, budgets, state: Withheld { until } }
    }

    /// Returns the time from which the ledger can be opened without knowledge of
    /// former claims.
    pub fn until(&self) -> EpochMillis {
        self.state.until
    }

    /// Begins to grant retries. `former` are the claims of earlier processes.
    pub fn open(self, former: &[RetryClaim]) -> RetryLedger<Granting> {
        let RetryLedger { allowance, mut budgets, state } = self;
        let window = allowance.window;
        let started_at = state.until.before(window);
        for claim in former {
            let budget =
                budgets.entry(claim.service.clone(), || new_budget(window));
            let resumed = claim.resume(window, started_at);
            budget.window = resumed.joined(&budget.window);
            budget.claims = ServiceClaims::continued(claim, started_at);
        }
        RetryLedger { allowance, budgets, state: Granting(()) }
    }
}

impl RetryLedger<Granting> {
    /// Grants a retry of a request to a service, if it may be made. `hosts` is
    /// the number of hosts that share the slack; 0 if it isn't known, and then
    /// there is no slack.
    ///
    /// # Errors
    ///
    /// Returns why no retry is granted. The figures come with either result.
    pub fn grant(
        &mut self,
        service: &str,
        hosts: usize,
        now: EpochMillis,
    ) -> (Result<RetryGrant, RetryDenial>, RetryBasis) {
        let basis = self.basis(service, hosts, now);
        let budget = self.budget(service);
        let made = f64::from(basis.counts.retries);
        if basis.limit < made + 1.0 {
            return (Err(RetryDenial::Spent), basis);
        }
        // Rounding may leave a sum of shares slightly below 1.
        if 1.0 - 1e-9 <= budget.saved {
            budget.saved -= 1.0;
        } else if !budget.claims.take(now) {
            return (Err(RetryDenial::Unclaimed), basis);
        }
        budget.reserved += 1;
        let service = service.to_owned();
        (Ok(RetryGrant { service, granted_at: now }), basis)
    }

    /// Begins to claim retries of a service. Returns `false` if no claim is to
    /// be written now.
    pub fn begin_claim(
        &mut self,
        service: &str,
        hosts: usize,
        now: EpochMillis,
    ) -> bool {
        let basis = self.basis(service, hosts, now);
        let window = self.allowance.window;
        let available = basis.limit - f64::from(basis.counts.retries);
        let claims = &mut self.budget(service).claims;
        claims.begin(available.max(0.0) as u32, window, now)
    }

    /// Records whether the claim of a service is written.
    pub fn conclude_claim(
        &mut self,
        service: &str,
        is_written: bool,
        now: EpochMillis,
    ) {
        self.budget(service).claims.conclude(is_written, now);
    }

    /// Returns what a successor of this process needs.
    pub fn claims(&mut self, now: EpochMillis) -> Vec<RetryClaim> {
        let window = self.allowance.window;
        let claims = self.budgets.iter_mut().filter_map(|(name, budget)| {
            let (open, spend_by) = budget.claims.open_claims(window, now)?;
            Some(RetryClaim {
                service: name.clone(),
                retries: open + budget.reserved,
                spend_by,
                earlier: budget.window.summary(now),
            })
        });
        claims.collect()
    }

    /// Counts a granted retry that leaves for a runner.
    pub fn record_sent(&mut self, grant: &RetryGrant, now: EpochMillis) {
        let budget = self.budget(&grant.service);
        budget.reserved = budget.reserved.saturating_sub(1);
        budget.window.record_retry(now);
    }

    /// Takes back a granted retry that will never leave.
    pub fn give_back(&mut self, grant: &RetryGrant) {
        let budget = self.budget(&grant.service);
        budget.reserved = budget.reserved.saturating_sub(1);
        budget.saved = (budget.saved + 1.0).min(MAX_SAVED);
    }

    fn basis(
        &mut self,
        service: &str,
        hosts: usize,
        now: EpochMillis,
    ) -> RetryBasis {
        let RetryAllowance { share, slack, .. } = self.allowance;
        let budget = self.budget(service);
        let mut counts = budget.window.counts(now);
        counts.retries += budget.reserved;
        let slack = if hosts == 0 { 0.0 } else { slack / hosts as f64 };
        let allowed = f64::from(counts.requests) * share + slack;
        RetryBasis { counts, limit: allowed * BUDGET_SHARE }
    }
}

impl<S> RetryLedger<S> {
    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: EpochMillis) {
        let saved = self.allowance.share * BUDGET_SHARE;
        let budget = self.budget(service);
        budget.window.record_request(now);
        budget.saved = (budget.saved + saved).min(MAX_SAVED);
    }

    fn budget(&mut self, service: &str) -> &mut ServiceBudget {
        let window = self.allowance.window;
        self.budgets.entry(service.to_owned(), || new_budget(window))
    }
}

fn new_budget(window: Duration) -> ServiceBudget {
    ServiceBudget {
        window: RetryWindow::new(window),
        reserved: 0,
        saved: 0.0,
        claims: ServiceClaims::default(),
    }
}
