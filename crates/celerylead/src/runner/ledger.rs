//! Memory ledger of a runner: the orders whose outcome isn't known yet, and
//! the memory reserved for them.
//!
//! A runner has one owner, and the ledger is the owner's row in the table
//! service. The owner reserves memory in the row before it sends an order.
//! An order whose outcome isn't known keeps its reservation, also under a
//! later owner, which takes the row over with its orders. Thus the sum of
//! the memory of the resident models and of those that may still be loaded
//! never exceeds the runner's memory.
//!
//! Each change of owner raises the fencing token. An engine that checks the
//! token refuses the orders of earlier owners. For an engine that doesn't,
//! an order in doubt keeps its reservation for [`ORDER_QUARANTINE`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::life::RunnerReport;
use crate::{clock::EpochMillis, membership::HostTag};

/// Time after which an unconfirmed order counts as lost, on an engine that
/// ignores fencing tokens. The time is longer than the maximum lifetime of a
/// packet.
pub const ORDER_QUARANTINE: Duration = Duration::from_secs(120);

/// The action that an order requests of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    Load,
    /// Unload a model once its requests have ended.
    Unload,
    /// Refuse orders with an older fencing token from now on, and do nothing
    /// else.
    Fence,
}

/// An order to a runner, for which the runner's ledger reserves memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerOrder {
    /// Id of the order.
    pub id: String,
    /// Action that is requested.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
    /// Memory of the model with its adapters, in MB.
    pub size_mb: u64,
    /// Fencing token that is sent with the order.
    pub fence: u64,
    /// Time of the reservation, or of the last change of owner. A report
    /// whose reading began earlier says nothing about the order.
    pub placed: EpochMillis,
    /// Time until which an order in doubt keeps its reservation.
    pub held_until: EpochMillis,
}

/// A report, and the time on the owner's clock at which its reading began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadReport<'a> {
    /// The report.
    pub report: &'a RunnerReport,
    /// Time at which the reading began.
    pub read_from: EpochMillis,
}

/// The row of a runner in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerLedger {
    /// Name of the runner.
    pub runner: String,
    /// Host that owns the runner.
    pub owner: HostTag,
    /// Fencing token, which grows with each change of owner.
    pub fence: u64,
    /// Orders that aren't confirmed yet.
    pub orders: Vec<RunnerOrder>,
}

impl RunnerLedger {
    /// Returns the ledger of a new owner, with the unconfirmed orders of the
    /// former owner.
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
    /// let first = RunnerLedger::take_over(
    ///     None, "r-1", &tag("kgn-1"), EpochMillis(0),
    /// );
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
            former.map(|ledger| ledger.orders.clone()).unwrap_or_default();
        for order in &mut orders {
            order.placed = now;
            order.held_until = now.after(ORDER_QUARANTINE);
        }
        RunnerLedger {
            runner: runner.to_owned(),
            owner: owner.clone(),
            fence: former.map_or(0, |ledger| ledger.fence) + 1,
            orders,
        }
    }

    /// Returns the memory that is in use or reserved, in MB.
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
        // An engine that is loading or unloading a model still holds memory
        // for it, which `used_mb` counts even if the model isn't listed.
        listed.max(report.used_mb) + reserved
    }

    /// Returns the ledger with an order added, which must be written before
    /// the order is sent. Returns `None` if the memory doesn't suffice, if
    /// another order for the model is unconfirmed, or if the report shows
    /// nothing to do.
    pub fn reserve(
        &self,
        order: &RunnerOrder,
        memory_mb: u64,
        report: &RunnerReport,
        size_of: impl Fn(&str) -> u64,
    ) -> Option<RunnerLedger> {
        if self
            .orders
            .iter()
            .any(|unconfirmed| unconfirmed.model == order.model)
        {
            return None;
        }
        let resident = report.models.contains(&order.model);
        let fits = match order.kind {
            OrderKind::Load => {
                let committed = self.committed_mb(report, size_of);
                !resident && committed + order.size_mb <= memory_mb
            }
            OrderKind::Unload => resident,
            // A fence order takes no memory and needs no reservation.
            OrderKind::Fence => false,
        };
        if !fits {
            return None;
        }
        let mut ledger = self.clone();
        ledger.orders.push(order.clone());
        Some(ledger)
    }

    /// Returns the ledger without the orders that a report confirms, and
    /// without those that can no longer take effect.
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

    /// Returns the ledger without an order that the runner refused or that
    /// was never sent.
    pub fn without_order(&self, id: &str) -> RunnerLedger {
        let mut ledger = self.clone();
        ledger.orders.retain(|order| order.id != id);
        ledger
    }

    /// Returns the ledger without the orders of former owners, if an engine
    /// that checks fencing tokens has seen the current one and has no load
    /// in progress.
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
