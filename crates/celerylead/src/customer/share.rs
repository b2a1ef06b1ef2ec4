//! Division of a customer's rate among the hosts.
//!
//! A customer's rate and burst hold for the whole fleet. They are divided
//! into parts, two for each availability zone, and each part has at most one
//! holder. The parts of a customer are one row of the table service, changed
//! by compare-and-set, and the sum of the parts never exceeds the whole.
//!
//! * The *elastic* part is held by the holder's lease and moves soon after
//!   its holder is gone.
//! * The *standing* part stays with its holder for much longer, so that a
//!   zone cut off from the platform can go on serving.
//!
//! Whoever shrinks a part uses the smaller size before it writes the row;
//! whoever grows one writes first. A part taken over from a holder that may
//! have spent it starts empty, so the bound `rate × window + burst` holds
//! across the change. A host that holds no part of a customer's rate asks
//! the holders for tokens, request by request.

use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockBound,
    membership::{HostLease, HostTag, best_host},
    sorted::SortedTable,
};

/// A whole rate, in parts per million.
pub const WHOLE_PPM: u64 = 1_000_000;

/// How long a part stays with a holder that isn't heard of.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PartKind {
    /// Until the holder's lease has lapsed.
    Elastic,
    /// Until the holder's standing deadline.
    Standing,
}

impl PartKind {
    /// Both kinds.
    pub const ALL: [PartKind; 2] = [PartKind::Elastic, PartKind::Standing];

    /// Returns the kind as operators see it.
    pub fn name(self) -> &'static str {
        match self {
            PartKind::Elastic => "elastic",
            PartKind::Standing => "standing",
        }
    }
}

/// Who holds a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartHolder {
    /// The host in its incarnation.
    pub tag: HostTag,
    /// Address at which other hosts ask it for tokens.
    pub address: String,
}

/// A part of a customer's rate and burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SharePart {
    /// Availability zone that the part is for.
    pub zone: String,
    /// How long it stays with a silent holder.
    pub kind: PartKind,
    /// Its size, in millionths of the whole.
    pub ppm: u64,
    /// Who holds it.
    pub holder: Option<PartHolder>,
    /// Whether nobody has held it since the customer was made: its burst
    /// was never spent.
    pub fresh: bool,
}

/// Row of a customer's parts, sorted by zone and kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareRow {
    /// Customer.
    pub customer: String,
    /// The parts.
    pub parts: Vec<SharePart>,
}

/// The sizes that the settings ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ShareTarget {
    /// The zones, sorted.
    pub zones: Vec<String>,
    /// Part of a rate that stands, in percent.
    pub standing_percent: u64,
}

impl ShareTarget {
    /// Returns the size that the part of `kind` of a zone should have.
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
            self.zones.binary_search_by(|held| held.as_str().cmp(zone));
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

/// The host that looks for parts to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareClaimant<'a> {
    /// The host in its incarnation.
    pub tag: &'a HostTag,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its address for other hosts.
    pub address: &'a str,
}

/// A change of a row that a host wants to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareClaim {
    /// The row to write.
    pub row: ShareRow,
    /// Hosts whose lease rows must be unchanged at the write.
    pub depends_on: Vec<String>,
}

/// Leases of the hosts of the claimant's zone, by host.
pub type ZoneLeases = SortedTable<String, HostLease>;

impl ShareRow {
    /// Makes the first row of a customer: every part there, none held, each
    /// with its burst unspent.
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

    /// Returns the sum of all parts, in millionths of the whole.
    pub fn sum(&self) -> u64 {
        self.parts.iter().map(|part| part.ppm).sum()
    }

    /// Returns the change that the claimant should write, if there is one.
    ///
    /// It takes the parts of its own zone to which it is home and that
    /// nobody holds any more, and brings the parts that it holds to the size
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
                let home =
                    preferred_holder(&self.customer, part.kind, leases, now);
                let mine = home == Some(claimant.tag.host.as_str());
                if !mine || !part.is_vacant(leases, now) {
                    continue;
                }
                claim.take(index, claimant);
            }
            claim.resize(index, target);
        }
        (claim.row != *self).then_some(claim)
    }

    /// Adds the parts of a zone that is new to this customer, at size 0.
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
    /// Tells whether this incarnation of a host holds the part.
    pub fn is_held_by(&self, tag: &HostTag) -> bool {
        self.holder.as_ref().is_some_and(|holder| holder.tag == *tag)
    }

    /// Tells whether nobody can act on the part any more.
    ///
    /// A holder without a lease row is unknown, which is not vacant. A later
    /// incarnation of the holder registers only after the lease before it
    /// has lapsed, and proves that the earlier process is gone.
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

/// Returns the host of the zone that should hold a part. The two kinds have
/// homes of their own, so that one lost host rarely takes both.
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
