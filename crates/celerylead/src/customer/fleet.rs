//! A customer's rate over all hosts, by what they tell each other.
//!
//! Each host keeps the whole bucket and books its own spending in it at
//! once. Hosts tell each other their total spending several times a second,
//! and each books what the others' totals grew by. What several hosts spend
//! between two tellings may exceed the rate for that moment; it is owed, so
//! later calls wait for it.
//!
//! A host that isn't heard is booked as spending its even share all the
//! while. On both sides of a cut the even shares add up to the rate. When it
//! is heard again, what it spent beyond its booked share is booked too; a
//! share that it didn't use stays lost.
//!
//! A bucket starts empty and takes over the level that the first host tells.
//! Where nobody tells one, all hosts were started together; it is then filled
//! to a half, as what was spent before isn't known.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{catalog::TokenRate, clock::EpochMillis, sorted::SortedTable};

/// Silence after which a host is booked as spending its even share; three
/// tellings may be lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a new bucket that no host told a level of is filled to a
/// half; a telling across zones takes 400 ms at most.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(450);

/// What a host has told of its spending for a customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ReportedTotal {
    /// Its process; another one counts from zero.
    incarnation: u64,
    total: i64,
    /// Units booked for it since, while it wasn't heard.
    assumed: f64,
}

/// The rate of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetBucket {
    rate: TokenRate,
    /// Units that may be spent; below zero after others spent.
    level: f64,
    refilled_at: EpochMillis,
    /// Point from which a level that nobody told is assumed; none once the
    /// level is known.
    assume_level_at: Option<EpochMillis>,
    /// Units that this host spent since its start.
    spent: i64,
    reported: SortedTable<String, ReportedTotal>,
}

impl FleetBucket {
    /// Makes an empty bucket.
    pub fn empty(rate: TokenRate, now: EpochMillis) -> FleetBucket {
        FleetBucket {
            rate,
            level: 0.0,
            refilled_at: now,
            assume_level_at: Some(now.after(LEVEL_TIMEOUT)),
            spent: 0,
            reported: SortedTable::default(),
        }
    }

    /// Returns the total that this host has spent.
    pub fn spent(&self) -> i64 {
        self.spent
    }

    /// Changes rate and burst; a smaller burst cuts the level at once.
    pub fn resize(&mut self, rate: TokenRate) {
        self.rate = rate;
        self.level = self.level.min(rate.burst as f64);
    }

    /// Takes `cost` whole, or says when to come back.
    ///
    /// A call that needs more than the burst is let in by a full bucket and
    /// leaves a debt.
    ///
    /// # Errors
    ///
    /// Returns the point at which the bucket will hold enough.
    pub fn take(
        &mut self,
        cost: u64,
        hosts: &HostLiveness,
        now: EpochMillis,
    ) -> Result<(), EpochMillis> {
        self.refill(hosts, now);
        let cost = cost as f64;
        let needed = cost.min(self.rate.burst as f64);
        if needed <= self.level {
            self.level -= cost;
            self.spent += cost as i64;
            return Ok(());
        }
        let per_second = (self.rate.per_second as f64).max(1.0);
        let seconds = (needed - self.level) / per_second;
        Err(now.after(Duration::from_secs_f64(seconds.min(60.0))))
    }

    /// Gives back the cost of a call that surely didn't run.
    pub fn refund(&mut self, cost: u64) {
        self.level = (self.level + cost as f64).min(self.rate.burst as f64);
        self.spent -= cost as i64;
    }

    /// Books the total that another host told, and takes over its level
    /// where this host knows none.
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
        let fresh = ReportedTotal { incarnation, total, assumed: 0.0 };
        let Some(last) = self.reported.get_mut(host) else {
            // What it spent before it was first heard is in its own past.
            self.reported.insert(host.to_owned(), fresh);
            return;
        };
        let before =
            if last.incarnation == incarnation { last.total } else { 0 };
        let grown = (total - before) as f64;
        self.level -= (grown - last.assumed).max(grown.min(0.0));
        *last = fresh;
    }

    /// Returns the units that may be spent, as last refilled; below zero
    /// what is owed.
    pub fn level(&self) -> i64 {
        self.level as i64
    }

    /// Returns the rate, in units a second.
    pub fn per_second(&self) -> u64 {
        self.rate.per_second
    }

    /// Returns the level for other hosts, once it is known.
    pub fn known_level(&self) -> Option<i64> {
        self.assume_level_at.is_none().then_some(self.level as i64)
    }

    fn refill(&mut self, hosts: &HostLiveness, now: EpochMillis) {
        if self.assume_level_at.is_some_and(|at| at <= now) {
            self.assume_level_at = None;
            self.level = self.level.max(self.rate.burst as f64 / 2.0);
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
            if let Some(reported) = self.reported.get_mut(host) {
                reported.assumed += share;
            }
        }
        let level = self.level + gained - silent;
        self.level = level.min(self.rate.burst as f64);
    }
}

/// The other hosts, and when each was last heard.
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
/// liveness.mark_heard("front-2", EpochMillis(5_000));
/// assert_eq!(liveness.silent(EpochMillis(5_100)).count(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostLiveness {
    hosts: SortedTable<String, EpochMillis>,
}

impl HostLiveness {
    /// Notes that a host exists.
    pub fn add_host(&mut self, host: &str) {
        self.hosts.entry(host.to_owned(), EpochMillis::default);
    }

    /// Notes that a host was heard.
    pub fn mark_heard(&mut self, host: &str, now: EpochMillis) {
        self.hosts.insert(host.to_owned(), now);
    }

    /// Forgets a host that is gone for good.
    pub fn remove_host(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// Returns the number of hosts, this one among them.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Iterates over the hosts that haven't been heard for a while.
    pub fn silent(&self, now: EpochMillis) -> impl Iterator<Item = &str> {
        self.hosts
            .iter()
            .filter(move |(_, heard)| heard.after(SILENCE_TIMEOUT) <= now)
            .map(|(host, _)| host.as_str())
    }
}
