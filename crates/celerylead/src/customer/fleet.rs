//! Rate limit of a customer over all hosts, from totals that the hosts report
//! to each other.
//!
//! Each host keeps a token bucket of the whole rate and debits its own
//! spending at once. The hosts report their total spending to each other
//! several times a second, and each host debits the growth of the others'
//! totals. Between two reports the hosts together may spend more than the
//! rate allows; the excess becomes a debt in every bucket, so later calls
//! wait for it.
//!
//! A host that sends no reports is debited its even share of the rate for as
//! long as it is silent. On both sides of a network partition the even
//! shares add up to the rate. When a silent host reports again, its spending
//! beyond the share already debited is debited too; a share that it didn't
//! use isn't refunded.
//!
//! In a large fleet an aggregator reports one total of all other hosts. Another
//! aggregator counts from another start, so what the others spent between the
//! reports of the two isn't known, and is taken to be all that the rate yielded.
//!
//! A bucket starts empty and adopts the level in the first report that holds
//! one, and any lower one in the first report of each other host. If no host
//! reports a level, all hosts were started together, and the bucket fills at the
//! rate: what the hosts spent before isn't known, and a burst at each start would
//! exceed the rate. The last spending of a process that has ended, after its
//! last report, is taken for that between its last two reports.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{catalog::TokenRate, clock::EpochMillis, sorted::SortedTable};

/// Longest time for which one call may keep its customer's other calls out.
const MAX_DEBT_TIME: Duration = Duration::from_secs(60);
/// Time without a report after which a host is silent and is debited its
/// even share. Hosts of the same zone report every 200 ms, so the loss of two
/// of their reports is tolerated; hosts of other zones report every 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which the level of a new bucket counts as known if no host has
/// reported one. A report across zones takes 400 ms at most.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(450);

/// The last total that another host reported for a customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ReportedTotal {
    /// Incarnation of the host's process; each one counts from zero.
    incarnation: u64,
    total: i64,
    /// Units spent between the last two reports.
    growth: f64,
    /// Units debited for the host since this report, while it was silent.
    assumed: f64,
}

/// The last total of all other hosts that an aggregator reported.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ReportedSum {
    /// Incarnation of the aggregator's process.
    source: u64,
    total: i64,
    reported_at: EpochMillis,
    /// Units debited for silent hosts since this report.
    assumed: f64,
}

/// Token bucket of one customer's rate over all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetBucket {
    rate: TokenRate,
    /// Units that may be spent; negative while units are owed, for example
    /// after other hosts spent them.
    level: f64,
    refilled_at: EpochMillis,
    /// Time from which the level counts as known if no host has reported one;
    /// `None` once it does.
    assume_level_at: Option<EpochMillis>,
    /// Units that this host has spent since its start.
    spent: i64,
    /// Number of earlier buckets of the customer on this host.
    generation: u64,
    reported: SortedTable<String, ReportedTotal>,
    reported_sum: Option<ReportedSum>,
}

impl FleetBucket {
    /// Creates an empty bucket.
    pub fn empty(rate: TokenRate, now: EpochMillis) -> FleetBucket {
        FleetBucket {
            rate,
            level: 0.0,
            refilled_at: now,
            assume_level_at: Some(now.after(LEVEL_TIMEOUT)),
            spent: 0,
            generation: 0,
            reported: SortedTable::default(),
            reported_sum: None,
        }
    }

    /// Lets the bucket go on from the total of an earlier one.
    pub(super) fn continuing(
        mut self,
        spent: i64,
        generation: u64,
    ) -> FleetBucket {
        self.spent = spent;
        self.generation = generation;
        self
    }

    /// Returns the number of earlier buckets of the customer on this host.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the units that this host has spent since its start.
    pub fn spent(&self) -> i64 {
        self.spent
    }

    /// Changes the rate and the burst. A smaller burst cuts the level at once.
    pub fn resize(&mut self, rate: TokenRate) {
        self.rate = rate;
        self.level = self.level.min(rate.burst as f64);
    }

    /// Takes all of `cost`, or returns the time to retry at.
    ///
    /// A full bucket admits a call that costs more than the burst, and the
    /// call leaves a debt. It never admits a call of an
    /// [exceeded limit](Self::exceeded_limit).
    ///
    /// # Errors
    ///
    /// Returns the time at which the bucket will hold enough, 60 seconds
    /// ahead at most.
    pub fn take(
        &mut self,
        cost: u64,
        hosts: &HostLiveness,
        now: EpochMillis,
    ) -> Result<(), EpochMillis> {
        self.refill(hosts, now);
        let admissible = self.exceeded_limit(cost).is_none();
        let needed = cost.min(self.rate.burst) as f64;
        if admissible && needed <= self.level {
            self.level -= cost as f64;
            self.spent = self.spent.saturating_add(units(cost));
            return Ok(());
        }
        let per_second = (self.rate.per_second as f64).max(1.0);
        let seconds = (needed - self.level) / per_second;
        Err(now.after(Duration::from_secs_f64(seconds.clamp(0.0, 60.0))))
    }

    /// Returns the highest cost of a call, if `cost` is above it: the burst
    /// and what the rate yields in 60 seconds. A larger call would keep all
    /// later ones of the customer out for longer than that.
    pub fn exceeded_limit(&self, cost: u64) -> Option<u64> {
        let yielded =
            self.rate.per_second.saturating_mul(MAX_DEBT_TIME.as_secs());
        let limit = self.rate.burst.saturating_add(yielded);
        (limit < cost).then_some(limit)
    }

    /// Refunds the cost of a call that certainly didn't run.
    pub(super) fn refund(&mut self, cost: u64) {
        self.level = (self.level + cost as f64).min(self.rate.burst as f64);
        self.spent = self.spent.saturating_sub(units(cost));
    }

    /// Debits the growth of the total that another host reports, and adopts
    /// the reported level if the level of this bucket isn't known yet.
    pub fn record_total(
        &mut self,
        host: &str,
        incarnation: u64,
        total: i64,
        level: Option<i64>,
    ) {
        if let Some(level) = level
            && self.assume_level_at.take().is_some()
        {
            self.level = level as f64;
        }
        let fresh =
            ReportedTotal { incarnation, total, growth: 0.0, assumed: 0.0 };
        let Some(last) = self.reported.get_mut(host) else {
            // Spending before a host's first report isn't debited here, but
            // the host's own level includes it.
            self.reported.insert(host.to_owned(), fresh);
            if let Some(level) = level {
                self.level = self.level.min(level as f64);
            }
            return;
        };
        let grown = if last.incarnation == incarnation {
            total.saturating_sub(last.total) as f64
        } else {
            // The former process has ended without a report of its last spending.
            total as f64 + last.growth.max(0.0)
        };
        self.level -= (grown - last.assumed).max(grown.min(0.0));
        *last = ReportedTotal { growth: grown, ..fresh };
    }

    /// Debits the growth of the total of all other hosts that an aggregator
    /// reports. Between the reports of two aggregators, the others are taken
    /// to have spent the whole rate.
    pub fn record_sum(
        &mut self,
        source: u64,
        total: i64,
        level: Option<i64>,
        now: EpochMillis,
    ) {
        if let Some(level) = level
            && self.assume_level_at.take().is_some()
        {
            self.level = level as f64;
        }
        let fresh =
            ReportedSum { source, total, reported_at: now, assumed: 0.0 };
        let Some(last) = self.reported_sum.replace(fresh) else { return };
        let grown = if last.source == source {
            total.saturating_sub(last.total) as f64
        } else {
            let gap = last.reported_at.until(now).as_secs_f64();
            self.rate.per_second as f64 * gap
        };
        self.level -= (grown - last.assumed).max(grown.min(0.0));
    }

    /// Returns the units that may be spent, as of the last refill. A negative
    /// level is a debt.
    pub fn level(&self) -> i64 {
        self.level as i64
    }

    /// Returns the rate in units per second.
    pub fn per_second(&self) -> u64 {
        self.rate.per_second
    }

    /// Returns the level to report to other hosts, or `None` while it isn't
    /// known.
    pub fn known_level(&self) -> Option<i64> {
        self.assume_level_at.is_none().then_some(self.level as i64)
    }

    /// Adds the tokens gained since the last refill, less an equal share for
    /// each silent host, which is assumed to use it.
    fn refill(&mut self, hosts: &HostLiveness, now: EpochMillis) {
        if self.assume_level_at.is_some_and(|at| at <= now) {
            self.assume_level_at = None;
        }
        let seconds = self.refilled_at.until(now).as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        self.refilled_at = now;
        let gained = self.rate.per_second as f64 * seconds;
        let share = gained / hosts.count() as f64;
        let mut silent = 0.0;
        for host in hosts.silent(now) {
            silent += share;
            if let Some(sum) = &mut self.reported_sum {
                sum.assumed += share;
            } else if let Some(reported) = self.reported.get_mut(host) {
                reported.assumed += share;
            }
        }
        let level = self.level + gained - silent;
        self.level = level.min(self.rate.burst as f64);
    }
}

/// Liveness of the other hosts, from the time of the last report of each.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, customer::HostLiveness};
///
/// let mut liveness = HostLiveness::default();
/// liveness.add_host("front-2");
/// assert_eq!(liveness.count(), 2);
/// assert_eq!(liveness.silent(EpochMillis(5_000)).count(), 1);
/// liveness.record_report("front-2", EpochMillis(5_000));
/// assert_eq!(liveness.silent(EpochMillis(5_100)).count(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostLiveness {
    hosts: SortedTable<String, EpochMillis>,
}

impl HostLiveness {
    /// Adds a host, which is silent until its first report.
    pub fn add_host(&mut self, host: &str) {
        self.hosts.entry(host.to_owned(), EpochMillis::default);
    }

    /// Records a report of a host.
    pub fn record_report(&mut self, host: &str, now: EpochMillis) {
        self.hosts.insert(host.to_owned(), now);
    }

    /// Records a report on all hosts but the `absent` ones, which are sorted.
    pub fn record_reports(&mut self, absent: &[String], now: EpochMillis) {
        for (host, reported_at) in self.hosts.iter_mut() {
            if absent.binary_search(host).is_err() {
                *reported_at = now;
            }
        }
    }

    /// Removes a host that is gone for good.
    pub fn remove_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Returns the number of hosts, including this one.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns whether a host has reported less than `span` ago.
    pub fn is_heard(
        &self,
        host: &str,
        span: Duration,
        now: EpochMillis,
    ) -> bool {
        let reported_at = self.hosts.get(host);
        reported_at.is_some_and(|at| now < at.after(span))
    }

    /// Iterates over the other hosts that have reported lately.
    pub fn live(&self, now: EpochMillis) -> impl Iterator<Item = &str> {
        self.hosts
            .iter()
            .filter(move |(_, reported_at)| {
                now < reported_at.after(SILENCE_TIMEOUT)
            })
            .map(|(host, _)| host.as_str())
    }

    /// Iterates over the hosts whose last report is too old at `now`.
    pub fn silent(&self, now: EpochMillis) -> impl Iterator<Item = &str> {
        self.hosts
            .iter()
            .filter(move |(_, reported_at)| {
                reported_at.after(SILENCE_TIMEOUT) <= now
            })
            .map(|(host, _)| host.as_str())
    }
}

/// Converts a cost to the unit of the totals.
fn units(cost: u64) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX)
}
