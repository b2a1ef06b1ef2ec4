//! Memory ledger of a runner: what it holds and what it was told to load.
//!
//! A runner has one owner, and the ledger is the owner's row in the table
//! service. Memory is reserved in the row before an order goes out, and an
//! order whose outcome isn't known keeps its memory: also under a later
//! owner, who takes the row over with its orders. So the sum of what is
//! resident and what may still be loaded never exceeds the runner's memory.
//!
//! Each change of owner raises the fencing number. An engine that checks it
//! refuses what an earlier owner sent; for one that doesn't, an order in
//! doubt is held for [`ORDER_QUARANTINE`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::life::RunnerReport;
use crate::{clock::EpochMillis, membership::HostTag};

/// Time after which an order that was not confirmed is taken to be lost, on
/// an engine that ignores fencing numbers. Longer than a packet lives.
pub const ORDER_QUARANTINE: Duration = Duration::from_secs(120);

/// What an order tells a runner to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Unload a model once its requests have ended.
    Unload,
    /// Nothing but to refuse orders under an older fencing number.
    Fence,
}

/// An order to a runner, reserved in its ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerOrder {
    /// Identity of the order.
    pub id: String,
    /// What to do.
    pub kind: OrderKind,
    /// The model.
    pub model: String,
    /// Memory of the model with its adapters, in MB.
    pub size_mb: u64,
    /// Fencing number under which it is sent.
    pub fence: u64,
    /// Reports read from before this point say nothing of the order.
    pub placed: EpochMillis,
    /// Point up to which an order in doubt keeps its memory.
    pub held_until: EpochMillis,
}

/// A report and the point at which its reading began, by the owner's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadReport<'a> {
    /// The report.
    pub report: &'a RunnerReport,
    /// When its reading began.
    pub read_from: EpochMillis,
}

/// Row of a runner in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerLedger {
    /// The runner.
    pub runner: String,
    /// Its owner.
    pub owner: HostTag,
    /// Grows with each change of owner.
    pub fence: u64,
    /// Orders that are not confirmed.
    pub orders: Vec<RunnerOrder>,
}

impl RunnerLedger {
    /// Returns the ledger of a new owner, with the orders of the former one.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{
    ///     EpochMillis, membership::HostTag, runner::RunnerLedger,
    /// };
    ///
    /// let tag = |host: &str| {
    ///     HostTag { host: host.to_owned(), incarnation: 1 }
    /// };
    /// let first =
    ///     RunnerLedger::take_over(None, "r-1", &tag("kgn-1"), EpochMillis(0));
    /// let second = RunnerLedger::take_over(
    ///     Some(&first), "r-1", &tag("kgn-2"), EpochMillis(9),
    /// );
    /// assert_eq!((first.fence, second.fence), (1, 2));
    /// ```
    pub fn take_over(
        former: Option<&RunnerLedger>,
        runner: &str,
        owner: &HostTag,
        now: EpochMillis,
    ) -> RunnerLedger {
        let mut orders =
            former.map(|held| held.orders.clone()).unwrap_or_default();
        for order in &mut orders {
            order.placed = now;
            order.held_until = now.after(ORDER_QUARANTINE);
        }
        RunnerLedger {
            runner: runner.to_owned(),
            owner: owner.clone(),
            fence: former.map_or(0, |held| held.fence) + 1,
            orders,
        }
    }

    /// Returns the memory that is or may come into use, in MB.
    pub fn committed_mb(
        &self,
        report: &RunnerReport,
        size_of: impl Fn(&str) -> u64,
    ) -> u64 {
        let listed: u64 =
            report.models.iter().map(|model| size_of(model)).sum();
        let reserved: u64 = self
            .orders
            .iter()
            .filter(|order| order.kind == OrderKind::Load)
            .filter(|order| !report.models.contains(&order.model))
            .map(|order| order.size_mb)
            .sum();
        // An engine still holds what it is unloading or loading.
        listed.max(report.used_mb) + reserved
    }

    /// Returns the ledger with an order added, to be written before the
    /// order goes out; `None` where the memory doesn't allow it or an order
    /// for the model is out already.
    pub fn reserve(
        &self,
        order: &RunnerOrder,
        memory_mb: u64,
        report: &RunnerReport,
        size_of: impl Fn(&str) -> u64,
    ) -> Option<RunnerLedger> {
        if self.orders.iter().any(|held| held.model == order.model) {
            return None;
        }
        let resident = report.models.contains(&order.model);
        let fits = match order.kind {
            OrderKind::Load => {
                let committed = self.committed_mb(report, size_of);
                !resident && committed + order.size_mb <= memory_mb
            }
            OrderKind::Unload => resident,
            // It takes no memory and needs no reservation.
            OrderKind::Fence => false,
        };
        if !fits {
            return None;
        }
        let mut ledger = self.clone();
        ledger.orders.push(order.clone());
        Some(ledger)
    }

    /// Returns the ledger without the orders that a report confirms or that
    /// can't take effect any more.
    pub fn settled(
        &self,
        read: &ReadReport<'_>,
        now: EpochMillis,
    ) -> RunnerLedger {
        let mut ledger = self.clone();
        ledger.orders.retain(|order| {
            if read.read_from < order.placed {
                return true;
            }
            let resident = read.report.models.contains(&order.model);
            let confirmed = match order.kind {
                OrderKind::Load => resident,
                OrderKind::Unload => !resident,
                OrderKind::Fence => true,
            };
            !confirmed && now < order.held_until
        });
        ledger
    }

    /// Returns the ledger without an order that the runner refused, or that
    /// was never sent.
    pub fn without_order(&self, id: &str) -> RunnerLedger {
        let mut ledger = self.clone();
        ledger.orders.retain(|order| order.id != id);
        ledger
    }

    /// Returns the ledger without the orders of former owners, after an
    /// engine that checks fencing numbers has seen the present one and is
    /// loading nothing.
    pub fn fenced(&self, read: &ReadReport<'_>) -> RunnerLedger {
        let mut ledger = self.clone();
        if read.report.fence != ledger.fence || read.report.loading {
            return ledger;
        }
        ledger.orders.retain(|order| {
            read.read_from < order.placed || order.fence == self.fence
        });
        ledger
    }
}
