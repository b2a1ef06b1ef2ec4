//! Division of a customer's rate among the hosts.
//!
//! A customer's rate and burst apply to all hosts together. They are divided
//! into parts, two for each availability zone, and each part has at most one
//! holder. The parts of a customer are one row of the table service, which
//! is changed by compare-and-set. The sum of the parts never exceeds the
//! customer's rate.
//!
//! * The *elastic* part belongs to its holder only while the holder's lease
//!   is live, so it moves soon after the holder is gone.
//! * The *standing* part stays with its holder for much longer, so that a
//!   zone that is cut off from the platform can continue to serve requests.
//!
//! A host that shrinks a part applies the smaller size before it writes the
//! row; a host that grows a part writes the row first. A part taken over
//! from a holder that may have spent it starts with an empty bucket. The
//! bound `rate × window + burst` therefore holds across both changes. A host
//! that leaves names the next holders of its parts in the write that releases
//! its lease, so that no part is without a holder for the time of a poll. A
//! host that holds no part of a customer's rate requests tokens from the holders
//! for each request.

use serde::{Deserialize, Serialize};

use super::limiter::PartBalance;
use crate::{
    clock::ClockBound,
    membership::{HostLease, HostTag, best_host},
    sorted::SortedTable,
};

/// A whole rate, in parts per million.
pub const WHOLE_PPM: u64 = 1_000_000;

/// How long a part stays with a holder that doesn't renew its lease.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PartKind {
    /// The part stays until the holder's lease has lapsed.
    Elastic,
    /// The part stays until the holder's standing deadline.
    Standing,
}

impl PartKind {
    /// Both kinds.
    pub const ALL: [PartKind; 2] = [PartKind::Elastic, PartKind::Standing];

    /// Returns the name of the kind in operators' output.
    pub fn name(self) -> &'static str {
        match self {
            PartKind::Elastic => "elastic",
            PartKind::Standing => "standing",
        }
    }
}

/// The host that holds a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartHolder {
    /// Name and incarnation of the host.
    pub tag: HostTag,
    /// Address at which other hosts request tokens from the holder.
    pub address: String,
}

/// A part of a customer's rate and burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SharePart {
    /// Availability zone that the part is for.
    pub zone: String,
    /// How long the part stays with a holder that doesn't renew its lease.
    pub kind: PartKind,
    /// Size of the part, in millionths of the whole.
    pub ppm: u64,
    /// The host that holds the part, if any.
    pub holder: Option<PartHolder>,
    /// Whether the part may start with a full bucket: since the customer was
    /// created, the part has had at most one holder and hasn't grown.
    pub fresh: bool,
}

/// Table row of a customer's parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareRow {
    /// Name of the customer.
    pub customer: String,
    /// The parts, sorted by zone and kind.
    pub parts: Vec<SharePart>,
}

/// The division into parts that the settings ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareTarget {
    /// The availability zones, sorted.
    pub zones: Vec<String>,
    /// Percentage of a rate that goes to the standing parts.
    pub standing_percent: u64,
}

impl ShareTarget {
    /// Returns the size in millionths that a zone's part of `kind` should
    /// have.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::customer::share::{PartKind, ShareTarget};
    ///
    /// let target = ShareTarget {
    ///     zones: vec!["kgn".to_owned(), "spt".to_owned()],
    ///     standing_percent: 40,
    /// };
    /// assert_eq!(target.ppm("kgn", PartKind::Standing), 200_000);
    /// assert_eq!(target.ppm("kgn", PartKind::Elastic), 300_000);
    /// assert_eq!(target.ppm("elsewhere", PartKind::Elastic), 0);
    /// ```
    pub fn ppm(&self, zone: &str, kind: PartKind) -> u64 {
        let known =
            self.zones.binary_search_by(|name| name.as_str().cmp(zone));
        if known.is_err() {
            return 0;
        }
        let percent = match kind {
            PartKind::Standing => self.standing_percent.min(100),
            PartKind::Elastic => 100 - self.standing_percent.min(100),
        };
        WHOLE_PPM * percent / 100 / self.zones.len() as u64
    }
}

/// A host that claims parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareClaimant<'a> {
    /// Name and incarnation of the host.
    pub tag: &'a HostTag,
    /// Availability zone of the host.
    pub zone: &'a str,
    /// Address at which other hosts reach the host.
    pub address: &'a str,
}

/// A change of a row that a host wants to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareClaim {
    /// The row to write.
    pub row: ShareRow,
    /// Hosts whose lease rows must be unchanged when the row is written.
    pub depends_on: Vec<String>,
}

/// Leases of the hosts in the claimant's zone, by host name.
pub type ZoneLeases = SortedTable<String, HostLease>;

impl ShareRow {
    /// Creates the first row of a customer, with all parts at their target
    /// size, without holders and with their bursts unspent.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::customer::share::{ShareRow, ShareTarget};
    ///
    /// let zones = vec!["kgn".to_owned()];
    /// let target = ShareTarget { zones, standing_percent: 50 };
    /// let row = ShareRow::initial("parish", &target);
    /// assert_eq!(row.parts.len(), 2);
    /// assert_eq!(row.sum(), 1_000_000);
    /// ```
    pub fn initial(customer: &str, target: &ShareTarget) -> ShareRow {
        let mut row =
            ShareRow { customer: customer.to_owned(), parts: Vec::new() };
        for zone in &target.zones {
            for kind in PartKind::ALL {
                row.parts.push(SharePart {
                    zone: zone.clone(),
                    kind,
                    ppm: target.ppm(zone, kind),
                    holder: None,
                    fresh: true,
                });
            }
        }
        row
    }

    /// Returns the sum of the parts' sizes, in millionths of the whole.
    pub fn sum(&self) -> u64 {
        self.parts.iter().map(|part| part.ppm).sum()
    }

    /// Returns the change that the claimant should write, if there is one.
    ///
    /// The claimant takes the vacant parts of its own zone for which it is
    /// the preferred holder, and resizes the parts that it holds to the size
    /// that the settings ask for.
    pub fn claim(
        &self,
        claimant: &ShareClaimant<'_>,
        target: &ShareTarget,
        leases: &ZoneLeases,
        now: ClockBound,
    ) -> Option<ShareClaim> {
        let mut claim =
            ShareClaim { row: self.clone(), depends_on: Vec::new() };
        claim.row.add_missing(claimant.zone, target);
        for index in 0..claim.row.parts.len() {
            let part = &claim.row.parts[index];
            if part.zone != claimant.zone {
                continue;
            }
            if !part.is_held_by(claimant.tag) {
                let preferred =
                    preferred_holder(&self.customer, part.kind, leases, now);
                let is_preferred =
                    preferred == Some(claimant.tag.host.as_str());
                if !is_preferred || !part.is_vacant(leases, now) {
                    continue;
                }
                claim.take(index, claimant);
            }
            claim.resize(index, target);
        }
        (claim.row != *self).then_some(claim)
    }

    /// Returns the row in which the parts of a host that is leaving belong to
    /// the hosts that are preferred next, with the names of these hosts;
    /// `None` if the host holds no part or no other host is live.
    ///
    /// The host that is leaving must not use its parts any more. The row may
    /// be written only while the lease rows of the named hosts are unchanged.
    pub fn hand_over(
        &self,
        from: &HostTag,
        leases: &ZoneLeases,
        now: ClockBound,
    ) -> Option<ShareClaim> {
        let mut claim =
            ShareClaim { row: self.clone(), depends_on: Vec::new() };
        let mut others = leases.clone();
        others.remove(&from.host);
        for part in &mut claim.row.parts {
            if !part.is_held_by(from) {
                continue;
            }
            let next =
                preferred_holder(&self.customer, part.kind, &others, now);
            let lease = next.and_then(|host| others.get(host))?;
            if !claim.depends_on.contains(&lease.tag.host) {
                claim.depends_on.push(lease.tag.host.clone());
            }
            part.fresh = false;
            part.holder = Some(PartHolder {
                tag: lease.tag.clone(),
                address: lease.peer_address.clone(),
            });
        }
        (claim.row != *self).then_some(claim)
    }

    /// Adds the parts of a zone that is new to this customer, with size 0.
    fn add_missing(&mut self, zone: &str, target: &ShareTarget) {
        for kind in PartKind::ALL {
            let key = (zone, kind);
            let index = self.parts.binary_search_by(|part| {
                (part.zone.as_str(), part.kind).cmp(&key)
            });
            let Err(index) = index else { continue };
            if target.ppm(zone, kind) == 0 {
                continue;
            }
            let part = SharePart {
                zone: zone.to_owned(),
                kind,
                ppm: 0,
                holder: None,
                fresh: false,
            };
            self.parts.insert(index, part);
        }
    }
}

impl ShareClaim {
    /// Returns whether the claim gives the part of this balance, in `zone`, to
    /// the host incarnation `tag`.
    pub fn gives(
        &self,
        balance: &PartBalance,
        zone: &str,
        tag: &HostTag,
    ) -> bool {
        self.row.customer == balance.customer
            && self.row.parts.iter().any(|part| {
                part.zone == zone
                    && part.kind == balance.kind
                    && part.is_held_by(tag)
            })
    }

    /// Assigns a part to the claimant. The row may be written only while the
    /// lease row of the former holder is unchanged.
    fn take(&mut self, index: usize, claimant: &ShareClaimant<'_>) {
        let part = &mut self.row.parts[index];
        if let Some(former) = &part.holder {
            self.depends_on.push(former.tag.host.clone());
            part.fresh = false;
        }
        part.holder = Some(PartHolder {
            tag: claimant.tag.clone(),
            address: claimant.address.to_owned(),
        });
    }

    /// Resizes a part to its target. A part grows only as far as the sum of
    /// all parts stays within the customer's rate.
    fn resize(&mut self, index: usize, target: &ShareTarget) {
        let sum = self.row.sum();
        let part = &mut self.row.parts[index];
        let wanted = target.ppm(&part.zone, part.kind);
        if wanted <= part.ppm {
            part.ppm = wanted;
            return;
        }
        let free = WHOLE_PPM.saturating_sub(sum);
        let grown = wanted.min(part.ppm + free);
        if part.ppm < grown {
            part.ppm = grown;
            part.fresh = false;
        }
    }
}

impl SharePart {
    /// Returns whether the host incarnation `tag` holds the part.
    pub fn is_held_by(&self, tag: &HostTag) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.tag == *tag)
    }

    /// Returns whether no host can use the part any more.
    ///
    /// A part whose holder has no lease row isn't vacant, as the state of the
    /// holder is unknown. A later incarnation of the holder registers only
    /// after the lease of the earlier one has lapsed, which proves that the
    /// earlier process is gone.
    fn is_vacant(&self, leases: &ZoneLeases, now: ClockBound) -> bool {
        let Some(holder) = &self.holder else { return true };
        let Some(lease) = leases.get(&holder.tag.host) else { return false };
        if holder.tag.incarnation < lease.tag.incarnation {
            return true;
        }
        match self.kind {
            PartKind::Elastic => lease.has_lapsed(now),
            PartKind::Standing => lease.has_standing_lapsed(now),
        }
    }
}

/// Returns the live host of a zone that should hold the customer's part of
/// `kind`. The preferred holder is chosen separately for each kind, so that
/// the loss of one host rarely affects both parts.
fn preferred_holder<'a>(
    customer: &str,
    kind: PartKind,
    leases: &'a ZoneLeases,
    now: ClockBound,
) -> Option<&'a str> {
    let live = leases
        .iter()
        .filter(|(_, lease)| lease.is_live(now))
        .map(|(host, _)| host.as_str());
    best_host(live, &format!("{customer}/{}", kind.name()))
}
