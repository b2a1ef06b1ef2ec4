//! The parts of all customers' rates that one host holds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    bucket::RateBucket,
    share::{PartKind, ShareRow, ShareTarget, WHOLE_PPM},
};
use crate::{
    clock::{ClockBound, EpochMillis},
    membership::{HeldLease, HostLease},
    request::{Refusal, RefusalCode},
    settings::SettingsTree,
    sorted::SortedTable,
};

/// Time for which no other holder is asked after all had too little.
const DRY_TIME: Duration = Duration::from_millis(25);

/// Where tokens were taken from.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TokenSource {
    /// A part held by this host.
    Own(PartKind),
    /// A part held by another host.
    Other(HolderPart),
}

/// A part at the host that holds it.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct HolderPart {
    /// Address of the host for other hosts.
    pub address: String,
    /// Kind of the part.
    pub kind: PartKind,
}

/// Tokens by the kind of part that they are from.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct PartTokens {
    /// From the elastic part.
    pub elastic: u64,
    /// From the standing part.
    pub standing: u64,
}

impl PartTokens {
    /// Returns the tokens in all.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::customer::PartTokens;
    ///
    /// assert_eq!(PartTokens { elastic: 2, standing: 3 }.total(), 5);
    /// ```
    pub fn total(&self) -> u64 {
        self.elastic.saturating_add(self.standing)
    }

    /// Returns the tokens of each kind.
    pub fn by_kind(&self) -> [(PartKind, u64); 2] {
        [
            (PartKind::Elastic, self.elastic),
            (PartKind::Standing, self.standing),
        ]
    }
}

/// Tokens taken for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TakenTokens {
    pieces: SortedTable<TokenSource, u64>,
}

impl TakenTokens {
    /// Adds tokens from a source.
    pub fn insert(&mut self, source: TokenSource, tokens: u64) {
        if 0 < tokens {
            *self.pieces.entry(source, || 0) += tokens;
        }
    }

    /// Adds tokens that were granted by the host at `address`.
    pub fn insert_granted(&mut self, address: &str, granted: PartTokens) {
        for (kind, tokens) in granted.by_kind() {
            let part = HolderPart { address: address.to_owned(), kind };
            self.insert(TokenSource::Other(part), tokens);
        }
    }

    /// Adds tokens that were taken elsewhere.
    pub fn add(&mut self, other: &TakenTokens) {
        for (source, tokens) in other.pieces.iter() {
            self.insert(source.clone(), *tokens);
        }
    }

    /// Returns the tokens in all.
    pub fn total(&self) -> u64 {
        self.pieces.values().sum()
    }

    /// Iterates over the tokens that other hosts granted.
    pub fn granted(&self) -> impl Iterator<Item = (&HolderPart, u64)> {
        self.pieces.iter().filter_map(|(source, tokens)| match source {
            TokenSource::Own(_) => None,
            TokenSource::Other(part) => Some((part, *tokens)),
        })
    }
}

/// A host that holds a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderAddress {
    /// Address for other hosts.
    pub address: String,
    /// Whether it stands in this host's zone.
    pub same_zone: bool,
}

/// One customer at this host.
#[derive(Debug, Default)]
struct CustomerEntry {
    /// Whole rate in tokens a second, and whole burst in tokens.
    rate: u64,
    burst: u64,
    buckets: SortedTable<PartKind, HeldPart>,
    /// Kinds whose fresh part was held once: a second time it is empty.
    opened: Vec<PartKind>,
    holders: Vec<HolderAddress>,
    /// Until when requests of at least so many tokens are refused here.
    dry: Option<(EpochMillis, u64)>,
}

/// A part held here.
#[derive(Debug)]
struct HeldPart {
    ppm: u64,
    bucket: RateBucket,
}

/// The parts of all customers' rates that one host holds.
#[derive(Debug)]
pub struct ShareBook {
    zone: String,
    held: HeldLease,
    target: ShareTarget,
    customers: SortedTable<String, CustomerEntry>,
}

impl ShareBook {
    /// Makes the book of a host in `zone` that holds nothing yet.
    pub fn new(zone: &str) -> ShareBook {
        ShareBook {
            zone: zone.to_owned(),
            held: HeldLease::default(),
            target: ShareTarget { zones: Vec::new(), standing_percent: 0 },
            customers: SortedTable::default(),
        }
    }

    /// Notes that the process runs.
    pub fn tick(&mut self, now: EpochMillis) {
        self.held.tick(now);
    }

    /// Gives up all that is held.
    pub fn give_up(&mut self) {
        self.held.give_up();
    }

    /// Takes over rates, bursts and zones from the settings.
    pub fn adopt(&mut self, tree: &SettingsTree, now: ClockBound) {
        self.target = ShareTarget {
            zones: tree.zones.clone(),
            standing_percent: tree.defaults.standing_percent,
        };
        // A removed customer keeps its entry at rate 0: were it made anew,
        // a burst that was spent would be there again.
        for (name, entry) in self.customers.iter_mut() {
            if tree.customer(name).is_none() {
                entry.rate = 0;
                entry.burst = 0;
                resize(entry, &self.zone, &self.target, now.latest);
            }
        }
        for plan in &tree.customers {
            let entry = self
                .customers
                .entry(plan.name.clone(), CustomerEntry::default);
            entry.rate = plan.values.rate;
            entry.burst = plan.values.burst;
            entry.dry = None;
            resize(entry, &self.zone, &self.target, now.latest);
        }
    }

    /// Takes over what the table says: the own lease, and who holds what.
    pub fn confirm(
        &mut self,
        lease: Option<&HostLease>,
        read_from: EpochMillis,
        rows: &[ShareRow],
        now: ClockBound,
    ) {
        self.held.confirm(lease, read_from, now.latest);
        for row in rows {
            self.confirm_row(lease, row, now);
        }
    }

    fn confirm_row(
        &mut self,
        lease: Option<&HostLease>,
        row: &ShareRow,
        now: ClockBound,
    ) {
        let Some(entry) = self.customers.get_mut(&row.customer) else {
            return;
        };
        entry.holders.clear();
        for kind in PartKind::ALL {
            let mine = row.parts.iter().find(|part| {
                let own = lease.is_some_and(|own| part.is_held_by(&own.tag));
                part.kind == kind && part.zone == self.zone && own
            });
            let Some(part) = mine else {
                entry.buckets.remove(&kind);
                continue;
            };
            let (rate, burst) = sized((entry.rate, entry.burst), part.ppm);
            let full = part.fresh && !entry.opened.contains(&kind);
            let held = entry.buckets.entry(kind, || {
                let make =
                    if full { RateBucket::full } else { RateBucket::empty };
                HeldPart {
                    ppm: part.ppm,
                    bucket: make(rate, burst, now.latest),
                }
            });
            held.ppm = part.ppm;
            if !entry.opened.contains(&kind) {
                entry.opened.push(kind);
            }
        }
        for part in &row.parts {
            let Some(holder) = &part.holder else { continue };
            let own = lease.is_some_and(|own| part.is_held_by(&own.tag));
            let address = HolderAddress {
                address: holder.address.clone(),
                same_zone: part.zone == self.zone,
            };
            if !own && !entry.holders.contains(&address) {
                entry.holders.push(address);
            }
        }
        entry.holders.sort_by_key(|holder| !holder.same_zone);
        resize(entry, &self.zone, &self.target, now.latest);
    }

    /// Takes up to `tokens` for a request from the parts held here.
    ///
    /// # Errors
    ///
    /// Returns a refusal where no holder could have enough: the request is
    /// larger than the whole burst, or the holders had too little a moment
    /// ago.
    pub fn take(
        &mut self,
        customer: &str,
        tokens: u64,
        now: ClockBound,
    ) -> Result<TakenTokens, Refusal> {
        let Some(entry) = self.customers.get_mut(customer) else {
            return Err(Refusal::not_run(
                RefusalCode::NotReady,
                "the customer isn't known to this host yet",
            ));
        };
        if entry.burst < tokens {
            let message = format!(
                "the request may use {tokens} tokens, accepted are up to the \
                 customer's burst of {}",
                entry.burst,
            );
            return Err(Refusal::not_run(
                RefusalCode::BurstTooSmall,
                &message,
            ));
        }
        let dry = entry
            .dry
            .filter(|(until, least)| now.latest < *until && *least <= tokens);
        let mut taken = TakenTokens::default();
        for kind in PartKind::ALL {
            let missing = tokens - taken.total();
            let Some(part) = entry.buckets.get_mut(&kind) else { continue };
            if !usable(&self.held, kind, now) {
                continue;
            }
            let ready = part.bucket.level(now.latest).min(missing);
            if part.bucket.take(ready, now.latest) {
                taken.insert(TokenSource::Own(kind), ready);
            }
        }
        if taken.total() < tokens && dry.is_some() {
            let wait = entry.wait(tokens - taken.total());
            self.give_back(customer, &taken, 0, now);
            return Err(Refusal::not_run(
                RefusalCode::RateLimited,
                "the customer is over its rate",
            )
            .retry_at(Some(now.latest.after(wait))));
        }
        Ok(taken)
    }

    /// Takes up to `tokens` for another host, whole or in part.
    pub fn grant(
        &mut self,
        customer: &str,
        tokens: u64,
        now: ClockBound,
    ) -> PartTokens {
        let mut granted = PartTokens::default();
        let Some(entry) = self.customers.get_mut(customer) else {
            return granted;
        };
        for kind in PartKind::ALL {
            let missing = tokens - granted.total();
            let Some(part) = entry.buckets.get_mut(&kind) else { continue };
            if !usable(&self.held, kind, now) {
                continue;
            }
            let from_part = part.bucket.grant(missing, now.latest);
            match kind {
                PartKind::Elastic => granted.elastic = from_part,
                PartKind::Standing => granted.standing = from_part,
            }
        }
        granted
    }

    /// Hears from another host of what a part of this host granted it:
    /// `ended` tokens are spent or won't be, and `spare` weren't needed.
    pub fn grant_ended(
        &mut self,
        customer: &str,
        kind: PartKind,
        ended: u64,
        spare: u64,
        now: ClockBound,
    ) {
        let entry = self.customers.get_mut(customer);
        let part = entry.and_then(|entry| entry.buckets.get_mut(&kind));
        let Some(part) = part else { return };
        part.bucket.end_grant(ended, now.latest);
        part.bucket.give_back(spare, now.latest);
    }

    /// Gives back what was taken beyond `used`; what was used beyond what
    /// was taken is owed. Returns the tokens to give back to other hosts.
    pub fn give_back(
        &mut self,
        customer: &str,
        taken: &TakenTokens,
        used: u64,
        now: ClockBound,
    ) -> Vec<(HolderPart, u64)> {
        let total = taken.total();
        let mut spare = total.saturating_sub(used);
        let mut elsewhere = Vec::new();
        let Some(entry) = self.customers.get_mut(customer) else {
            return elsewhere;
        };
        for (source, tokens) in taken.pieces.iter() {
            let back = spare.min(*tokens);
            spare -= back;
            match source {
                TokenSource::Own(kind) => {
                    if let Some(part) = entry.buckets.get_mut(kind) {
                        part.bucket.give_back(back, now.latest);
                    }
                }
                TokenSource::Other(part) if 0 < back => {
                    elsewhere.push((part.clone(), back));
                }
                TokenSource::Other(_) => {}
            }
        }
        let owed = used.saturating_sub(total);
        if 0 < owed
            && let Some((_, part)) = entry.buckets.iter_mut().next()
        {
            part.bucket.owe(owed, now.latest);
        }
        elsewhere
    }

    /// Notes that all holders together missed so many tokens.
    pub fn dry(&mut self, customer: &str, missing: u64, now: ClockBound) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.dry = Some((now.latest.after(DRY_TIME), missing));
        }
    }

    /// Returns the parts of a customer's rate that this host may use.
    pub fn usable_parts(
        &self,
        customer: &str,
        now: ClockBound,
    ) -> Vec<PartKind> {
        let Some(entry) = self.customers.get(customer) else {
            return Vec::new();
        };
        let kinds = entry.buckets.keys().copied();
        kinds.filter(|kind| usable(&self.held, *kind, now)).collect()
    }

    /// Returns the other holders of a customer's parts, nearest first.
    pub fn holders(&self, customer: &str) -> Vec<HolderAddress> {
        let entry = self.customers.get(customer);
        entry.map(|entry| entry.holders.clone()).unwrap_or_default()
    }
}

impl CustomerEntry {
    /// Time in which the whole rate brings so many tokens.
    fn wait(&self, tokens: u64) -> Duration {
        let millis = tokens.saturating_mul(1_000) / self.rate.max(1);
        Duration::from_millis(millis)
    }
}

/// Brings the buckets to the smaller of what the table says is held and
/// what the settings ask for: a shrink counts here before it is written.
fn resize(
    entry: &mut CustomerEntry,
    zone: &str,
    target: &ShareTarget,
    now: EpochMillis,
) {
    let whole = (entry.rate, entry.burst);
    for (kind, part) in entry.buckets.iter_mut() {
        let ppm = part.ppm.min(target.ppm(zone, *kind));
        let (rate, burst) = sized(whole, ppm);
        part.bucket.resize(rate, burst, now);
    }
}

/// Rate in millitokens a second and burst in tokens of a part.
fn sized((rate, burst): (u64, u64), ppm: u64) -> (u64, u64) {
    let millis = u128::from(rate) * 1_000 * u128::from(ppm);
    let tokens = u128::from(burst) * u128::from(ppm);
    let whole = u128::from(WHOLE_PPM);
    let clamp = |amount: u128| u64::try_from(amount).unwrap_or(u64::MAX);
    (clamp(millis / whole), clamp(tokens / whole))
}

fn usable(held: &HeldLease, kind: PartKind, now: ClockBound) -> bool {
    match kind {
        PartKind::Elastic => held.is_live(now),
        PartKind::Standing => held.is_standing_live(now),
    }
}
