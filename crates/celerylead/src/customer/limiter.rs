//! Rate limits of all customers on one host, enforced on the parts of their
//! rates that the host holds.

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

/// Time for which a customer's requests are refused without asking other
/// holders, after all holders together had too few tokens.
const EXHAUSTED_TIME: Duration = Duration::from_millis(25);

/// Time for which a balance waits for the table to show that this host holds
/// the part.
const BALANCE_TIME: Duration = Duration::from_millis(2_000);

/// What is left in the bucket of a part whose holder hands it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartBalance {
    /// Name of the customer.
    pub customer: String,
    /// Kind of the part.
    pub kind: PartKind,
    /// Tokens that can be taken.
    pub level: u64,
    /// Tokens that were granted to other hosts and may still be spent.
    pub granted: u64,
}

/// Part of a rate from which tokens were taken.
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

/// A part of a customer's rate on the host that holds it.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct HolderPart {
    /// Address at which other hosts reach the holder.
    pub address: String,
    /// Kind of the part.
    pub kind: PartKind,
}

/// Numbers of tokens by the kind of part that they come from.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct PartTokens {
    /// Tokens from the elastic part.
    pub elastic: u64,
    /// Tokens from the standing part.
    pub standing: u64,
}

impl PartTokens {
    /// Returns the number of tokens of both kinds together.
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

    /// Returns the number of tokens of each kind.
    pub fn by_kind(&self) -> [(PartKind, u64); 2] {
        [
            (PartKind::Elastic, self.elastic),
            (PartKind::Standing, self.standing),
        ]
    }
}

/// Tokens taken for one request, by the part that they come from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TakenTokens {
    by_source: SortedTable<TokenSource, u64>,
}

impl TakenTokens {
    /// Adds tokens from a source.
    pub fn insert(&mut self, source: TokenSource, tokens: u64) {
        if 0 < tokens {
            *self.by_source.entry(source, || 0) += tokens;
        }
    }

    /// Adds tokens that were granted by the host at `address`.
    pub fn insert_granted(&mut self, address: &str, granted: PartTokens) {
        for (kind, tokens) in granted.by_kind() {
            let part = HolderPart { address: address.to_owned(), kind };
            self.insert(TokenSource::Other(part), tokens);
        }
    }

    /// Adds all tokens of `other`.
    pub fn add(&mut self, other: &TakenTokens) {
        for (source, tokens) in other.by_source.iter() {
            self.insert(source.clone(), *tokens);
        }
    }

    /// Returns the number of tokens from all sources together.
    pub fn total(&self) -> u64 {
        self.by_source.values().sum()
    }

    /// Iterates over the numbers of tokens that other hosts granted.
    pub fn granted(&self) -> impl Iterator<Item = (&HolderPart, u64)> {
        self.by_source.iter().filter_map(|(source, tokens)| match source {
            TokenSource::Own(_) => None,
            TokenSource::Other(part) => Some((part, *tokens)),
        })
    }
}

/// A host that holds a part of a customer's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderAddress {
    /// Address at which other hosts reach the holder.
    pub address: String,
    /// Whether the holder is in this host's availability zone.
    pub same_zone: bool,
}

/// State of one customer on this host.
#[derive(Debug, Default)]
struct CustomerEntry {
    /// Whole rate in tokens per second, and whole burst in tokens.
    rate: u64,
    burst: u64,
    buckets: SortedTable<PartKind, HeldPart>,
    /// Kinds of part that this host has held before. A fresh part of one of
    /// these kinds starts with an empty bucket, as the burst may have been
    /// spent.
    previously_held: Vec<PartKind>,
    holders: Vec<HolderAddress>,
    /// Set after all holders together had too few tokens: until this time,
    /// a request for at least this many tokens is refused if the parts held
    /// here don't cover it.
    exhausted: Option<(EpochMillis, u64)>,
}

/// A part of a customer's rate that this host holds.
#[derive(Debug)]
struct HeldPart {
    ppm: u64,
    bucket: RateBucket,
}

/// Rate limiter over the parts of all customers' rates that one host holds.
#[derive(Debug)]
pub struct ShareLimiter {
    zone: String,
    lease: HeldLease,
    has_given_up: bool,
    /// Balances of parts that were handed over to this host and that the table
    /// hasn't shown yet, with the time until which they are kept.
    balances: Vec<(EpochMillis, PartBalance)>,
    target: ShareTarget,
    customers: SortedTable<String, CustomerEntry>,
}

impl ShareLimiter {
    /// Creates the limiter of a host in `zone` that holds no part yet.
    pub fn new(zone: &str) -> ShareLimiter {
        ShareLimiter {
            zone: zone.to_owned(),
            lease: HeldLease::default(),
            has_given_up: false,
            balances: Vec::new(),
            target: ShareTarget { zones: Vec::new(), standing_percent: 0 },
            customers: SortedTable::default(),
        }
    }

    /// Records that the process is running. The lease check uses this to
    /// detect long pauses of the process.
    pub fn tick(&mut self, now: EpochMillis) {
        self.lease.tick(now);
    }

    /// Gives up the host's lease, and with it the use of all parts.
    /// Returns the balances of the parts, for their next holders.
    pub fn give_up(&mut self, now: ClockBound) -> Vec<PartBalance> {
        let mut balances = Vec::new();
        for (customer, entry) in self.customers.iter_mut() {
            for (kind, part) in entry.buckets.iter_mut() {
                if !is_usable(&self.lease, *kind, now) {
                    continue;
                }
                let (level, granted) = part.bucket.balance(now.latest);
                let customer = customer.clone();
                let kind = *kind;
                balances.push(PartBalance { customer, kind, level, granted });
            }
        }
        self.has_given_up = true;
        self.lease.give_up();
        balances
    }

    /// Takes over the balances of parts that another host has handed over to
    /// this one. A balance counts once the table shows the part here.
    pub fn inherit(&mut self, balances: &[PartBalance], now: ClockBound) {
        let until = now.latest.after(BALANCE_TIME);
        self.balances.retain(|(until, _)| now.latest < *until);
        for balance in balances {
            let PartBalance { customer, kind, level, granted } = balance;
            let entry = self.customers.get_mut(customer);
            let part = entry.and_then(|entry| entry.buckets.get_mut(kind));
            match part {
                Some(part) => {
                    part.bucket.inherit(*level, *granted, now.latest);
                }
                None => self.balances.push((until, balance.clone())),
            }
        }
    }

    /// Returns whether the host has given up its parts, as it is leaving.
    pub fn has_given_up(&self) -> bool {
        self.has_given_up
    }

    /// Adopts rates, bursts and zones from the settings.
    pub fn adopt(&mut self, tree: &SettingsTree, now: ClockBound) {
        self.target = ShareTarget {
            zones: tree.zones.clone(),
            standing_percent: tree.defaults.standing_percent,
        };
        // A removed customer keeps its entry, at rate 0. If the customer came
        // back with a new entry, a burst that was already spent would be
        // available again.
        for (name, entry) in self.customers.iter_mut() {
            if tree.customer(name).is_none() {
                entry.rate = 0;
                entry.burst = 0;
                resize(entry, &self.zone, &self.target, now.latest);
            }
        }
        for customer in &tree.customers {
            let entry = self
                .customers
                .entry(customer.name.clone(), CustomerEntry::default);
            entry.rate = customer.values.rate;
            entry.burst = customer.values.burst;
            entry.exhausted = None;
            resize(entry, &self.zone, &self.target, now.latest);
        }
    }

    /// Updates the host's lease and the holders of all parts from rows of the
    /// table. The read that returned the rows began at `read_from`.
    pub fn confirm(
        &mut self,
        lease: Option<&HostLease>,
        read_from: EpochMillis,
        rows: &[ShareRow],
        now: ClockBound,
    ) {
        self.lease.confirm(lease, read_from, now.latest);
        for row in rows {
            self.confirm_row(lease, row, now);
        }
    }

    /// Adopts the parts of one customer's rate that this host holds, and the
    /// addresses of the other holders.
    fn confirm_row(
        &mut self,
        lease: Option<&HostLease>,
        row: &ShareRow,
        now: ClockBound,
    ) {
        let Some(entry) = self.customers.get_mut(&row.customer) else {
            return;
        };
        let balances = &mut self.balances;
        entry.holders.clear();
        for kind in PartKind::ALL {
            let own_part = row.parts.iter().find(|part| {
                let own = lease.is_some_and(|own| part.is_held_by(&own.tag));
                part.kind == kind && part.zone == self.zone && own
            });
            let Some(part) = own_part else {
                entry.buckets.remove(&kind);
                continue;
            };
            let (rate, burst) =
                scale_to_ppm((entry.rate, entry.burst), part.ppm);
            let full = part.fresh && !entry.previously_held.contains(&kind);
            let held_part = entry.buckets.entry(kind, || {
                let make =
                    if full { RateBucket::full } else { RateBucket::empty };
                HeldPart {
                    ppm: part.ppm,
                    bucket: make(rate, burst, now.latest),
                }
            });
            held_part.ppm = part.ppm;
            let is_of_part = |(until, balance): &mut (_, PartBalance)| {
                now.latest < *until
                    && balance.customer == row.customer
                    && balance.kind == kind
            };
            for (_, balance) in balances.extract_if(.., is_of_part) {
                let PartBalance { level, granted, .. } = balance;
                held_part.bucket.inherit(level, granted, now.latest);
            }
            if !entry.previously_held.contains(&kind) {
                entry.previously_held.push(kind);
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
    /// Returns a refusal if the customer isn't known to this host, if the
    /// request is larger than the customer's whole burst, or if this host
    /// has too few tokens for it and all holders together had too few a
    /// moment ago.
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
        let exhausted = entry
            .exhausted
            .filter(|(until, least)| now.latest < *until && *least <= tokens);
        let mut taken = TakenTokens::default();
        for kind in PartKind::ALL {
            let missing = tokens - taken.total();
            let Some(part) = entry.buckets.get_mut(&kind) else { continue };
            if !is_usable(&self.lease, kind, now) {
                continue;
            }
            let ready = part.bucket.level(now.latest).min(missing);
            if part.bucket.take(ready, now.latest) {
                taken.insert(TokenSource::Own(kind), ready);
            }
        }
        if taken.total() < tokens && exhausted.is_some() {
            let wait = entry.wait(tokens - taken.total());
            self.refund(customer, &taken, 0, now);
            return Err(Refusal::not_run(
                RefusalCode::RateLimited,
                "the customer is over its rate",
            )
            .retry_at(Some(now.latest.after(wait))));
        }
        Ok(taken)
    }

    /// Grants up to `tokens` to another host, from the parts held here.
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
            if !is_usable(&self.lease, kind, now) {
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

    /// Settles a grant from a part of this host, as reported by the host that
    /// received it: `ended` tokens were spent or won't be spent any more, and
    /// `spare` tokens weren't needed and return to the bucket.
    pub fn settle_grant(
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
        part.bucket.settle_grant(ended, now.latest);
        part.bucket.refund(spare, now.latest);
    }

    /// Refunds the tokens that were taken beyond `used`, or debits the tokens
    /// that were used beyond those taken. Returns the tokens to refund to
    /// other hosts.
    pub fn refund(
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
        for (source, tokens) in taken.by_source.iter() {
            let back = spare.min(*tokens);
            spare -= back;
            match source {
                TokenSource::Own(kind) => {
                    if let Some(part) = entry.buckets.get_mut(kind) {
                        part.bucket.refund(back, now.latest);
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
            part.bucket.debit(owed, now.latest);
        }
        elsewhere
    }

    /// Records that all holders together lacked `missing` tokens for a
    /// request. For a short time, requests for at least `missing` tokens that
    /// the parts held here don't cover are refused without asking other
    /// holders.
    pub fn note_exhausted(
        &mut self,
        customer: &str,
        missing: u64,
        now: ClockBound,
    ) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.exhausted =
                Some((now.latest.after(EXHAUSTED_TIME), missing));
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
        kinds.filter(|kind| is_usable(&self.lease, *kind, now)).collect()
    }

    /// Returns the other hosts that hold parts of a customer's rate, those in
    /// this host's zone first.
    pub fn holders(&self, customer: &str) -> Vec<HolderAddress> {
        let entry = self.customers.get(customer);
        entry.map(|entry| entry.holders.clone()).unwrap_or_default()
    }
}

impl CustomerEntry {
    /// Returns the time in which the whole rate yields `tokens`.
    fn wait(&self, tokens: u64) -> Duration {
        let millis = tokens.saturating_mul(1_000) / self.rate.max(1);
        Duration::from_millis(millis)
    }
}

/// Resizes the buckets to the smaller of the size in the table and the size
/// that the settings ask for, so that a smaller size applies here before it
/// is written to the table.
fn resize(
    entry: &mut CustomerEntry,
    zone: &str,
    target: &ShareTarget,
    now: EpochMillis,
) {
    let total = (entry.rate, entry.burst);
    for (kind, part) in entry.buckets.iter_mut() {
        let ppm = part.ppm.min(target.ppm(zone, *kind));
        let (rate, burst) = scale_to_ppm(total, ppm);
        part.bucket.resize(rate, burst, now);
    }
}

/// Returns the rate in millitokens per second and the burst in tokens of a
/// part of `ppm` millionths, for a total rate and burst in tokens.
fn scale_to_ppm((rate, burst): (u64, u64), ppm: u64) -> (u64, u64) {
    let millis = u128::from(rate) * 1_000 * u128::from(ppm);
    let tokens = u128::from(burst) * u128::from(ppm);
    let whole_ppm = u128::from(WHOLE_PPM);
    let clamp = |amount: u128| u64::try_from(amount).unwrap_or(u64::MAX);
    (clamp(millis / whole_ppm), clamp(tokens / whole_ppm))
}

/// Returns whether the host's lease allows the use of a part of this kind.
fn is_usable(lease: &HeldLease, kind: PartKind, now: ClockBound) -> bool {
    match kind {
        PartKind::Elastic => lease.is_live(now),
        PartKind::Standing => lease.is_standing_live(now),
    }
}
