//! Sums of the digests of one availability zone.
//!
//! The hosts of a zone are ranked, and the best one that is heard is the
//! *aggregator* of the zone. The next one gets the same digests, so that it can
//! take over at once. Nothing depends on there being exactly one aggregator:
//! two of them publish the same sums, and a host follows the better ranked one.
//!
//! A [`ZoneAggregator`] gathers first. It may publish only once it knows its
//! zone, as a host would take what is missing in a sum for idle.
//!
//! Consumption is counted from the start of the aggregator's process. A host
//! that follows another aggregator than before takes the others' consumption in
//! between for the whole rate, and an aggregator that hears another one of a
//! zone continues at the speed that it knew, so that no change of aggregators
//! lets customers exceed their rates.

use std::time::Duration;

use super::{
    digest::{HostDigest, RunnerLoad, SpentTotal},
    rendezvous::rendezvous_weight,
    zone_digest::{AggregateSource, FleetDigest, ZoneDigest, ZonePart},
};
use crate::{
    clock::EpochMillis, model::ModelName, placement::ModelDemand,
    sorted::SortedTable,
};

/// Time without a digest after which a host or a zone is silent, as for rates.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age from which reported calls are ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);
/// Time after which an aggregator publishes what it knows, although it hears
/// less than half of its zone.
const MAX_GATHER_TIME: Duration = Duration::from_millis(2_000);
/// Time for which an aggregator gathers at least: each host has sent a digest
/// within it.
const MIN_GATHER_TIME: Duration = Duration::from_millis(400);
/// Parts into which names are divided for the lease holder, so that each
/// message fits into a datagram.
const PARTS: u64 = 8;

/// State: digests are gathered, and none is published.
#[derive(Clone, Debug, PartialEq)]
pub struct Gathering {
    since: EpochMillis,
}

/// State: sums are published.
#[derive(Clone, Debug, PartialEq)]
pub struct Publishing;

/// The last digest of a host of the zone.
#[derive(Clone, Debug, PartialEq)]
struct MemberRecord {
    digest: HostDigest,
    heard_at: EpochMillis,
    /// Consumption by customer since the start of this aggregator, and between
    /// the last two digests.
    grown: SortedTable<String, (i64, i64)>,
}

/// The last digest of another zone.
#[derive(Clone, Debug, PartialEq)]
struct ZoneRecord {
    digest: ZoneDigest,
    heard_at: EpochMillis,
    /// Time between the last two digests.
    interval: Duration,
    /// Consumption by customer since the start of this aggregator, and between
    /// the last two digests.
    grown: SortedTable<String, (i64, i64)>,
}

/// Sums over a zone and the other zones, in the state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAggregator<S> {
    zone: String,
    source: AggregateSource,
    sequence: u64,
    members: SortedTable<String, MemberRecord>,
    /// Consumption of the zone by customer since the start of this
    /// aggregator, also by hosts that are forgotten.
    grown: SortedTable<String, i64>,
    zones: SortedTable<String, ZoneRecord>,
    state: S,
}

/// Total over the whole fleet at one moment, from which the share of each
/// recipient is taken off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetTotal {
    registry_steady_ms: u64,
    silent: Vec<String>,
    silent_zones: Vec<String>,
    loads: Vec<RunnerLoad>,
    spent: SortedTable<String, i64>,
}

impl ZoneAggregator<Gathering> {
    /// Creates an aggregator of a zone that knows nothing.
    pub fn new(zone: &str, source: AggregateSource, now: EpochMillis) -> Self {
        ZoneAggregator {
            zone: zone.to_owned(),
            source,
            sequence: 0,
            members: SortedTable::default(),
            grown: SortedTable::default(),
            zones: SortedTable::default(),
            state: Gathering { since: now },
        }
    }

    /// Returns whether the aggregator knows enough to publish of its zone, of
    /// which `listed` hosts are known.
    pub fn knows_zone(&self, listed: usize, now: EpochMillis) -> bool {
        let gathered = self.state.since.until(now);
        let heard = self.live_members(now).len();
        let hears_most = listed <= heard * 2 && MIN_GATHER_TIME <= gathered;
        hears_most || MAX_GATHER_TIME <= gathered
    }

    /// Begins to publish.
    pub fn publish(self) -> ZoneAggregator<Publishing> {
        self.into_state(Publishing)
    }
}

impl ZoneAggregator<Publishing> {
    /// Stops to publish, for another aggregator that ranks better.
    pub fn stand_by(self, now: EpochMillis) -> ZoneAggregator<Gathering> {
        self.into_state(Gathering { since: now })
    }

    /// Returns the sums of the zone, of which the hosts `listed` are known,
    /// sorted.
    pub fn zone_digest<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a str>,
        now: EpochMillis,
    ) -> ZoneDigest {
        self.sequence += 1;
        let members = self.live_members(now);
        let loads = members.iter().flat_map(|member| &member.digest.loads);
        ZoneDigest {
            zone: self.zone.clone(),
            source: self.source.clone(),
            sequence: self.sequence,
            registry_steady_ms: longest_contact(&members),
            silent: self.silent_members(listed, now),
            loads: sum_loads(loads),
            spent: spent_totals(&self.grown),
        }
    }

    /// Returns the total over the fleet. `listed` are the known hosts of the
    /// zone, sorted, and `zones` the other zones.
    pub fn total<'a>(
        &self,
        listed: impl Iterator<Item = &'a str>,
        zones: impl Iterator<Item = &'a str>,
        now: EpochMillis,
    ) -> FleetTotal {
        let mut silent = self.silent_members(listed, now);
        let mut silent_zones: Vec<String> = Vec::new();
        for zone in zones {
            match self.zones.get(zone) {
                Some(record) if !is_silent(record.heard_at, now) => {
                    silent.extend(record.digest.silent.iter().cloned());
                }
                _ => silent_zones.push(zone.to_owned()),
            }
        }
        silent.sort_unstable();
        silent_zones.sort_unstable();
        let fresh_zones: Vec<&ZoneRecord> = self
            .zones
            .values()
            .filter(|record| now < record.heard_at.after(MAX_LOAD_AGE))
            .collect();
        let members = self.live_members(now);
        let member_loads = members.iter().flat_map(|m| &m.digest.loads);
        let zone_loads = fresh_zones.iter().flat_map(|z| &z.digest.loads);
        let zone_contacts =
            fresh_zones.iter().map(|zone| zone.digest.registry_steady_ms);
        let mut spent = self.grown.clone();
        for record in self.zones.values() {
            for (customer, (grown, _)) in record.grown.iter() {
                *spent.entry(customer.clone(), || 0) += grown;
            }
        }
        FleetTotal {
            registry_steady_ms: zone_contacts
                .fold(longest_contact(&members), u64::max),
            silent,
            silent_zones,
            loads: sum_loads(member_loads.chain(zone_loads)),
            spent,
        }
    }

    /// Returns the total without what one host of the zone has reported itself.
    pub fn fleet_digest(
        &self,
        total: &FleetTotal,
        recipient: &str,
        now: EpochMillis,
    ) -> FleetDigest {
        let own = self.members.get(recipient);
        let own_loads = own
            .filter(|member| now < member.heard_at.after(MAX_LOAD_AGE))
            .map_or(&[][..], |member| &member.digest.loads);
        let loads = total.loads.iter().filter_map(|load| {
            let own = own_loads
                .binary_search_by(|own| own.runner.cmp(&load.runner))
                .map(|index| &own_loads[index]);
            let (calls, tokens) =
                own.map_or((0, 0), |own| (own.calls, own.tokens));
            let calls = load.calls.saturating_sub(calls);
            (0 < calls).then(|| RunnerLoad {
                runner: load.runner.clone(),
                calls,
                tokens: load.tokens.saturating_sub(tokens),
                names: Vec::new(),
            })
        });
        let aggregator = self.members.get(&self.source.host);
        let levels = aggregator.map_or(&[][..], |own| &own.digest.spent);
        let spent = total.spent.iter().map(|(customer, grown)| {
            let own = own.and_then(|own| own.grown.get(customer));
            let own = own.map_or(0, |(grown, _)| *grown);
            SpentTotal {
                customer: customer.clone(),
                total: grown.saturating_sub(own),
                level: find_spent(levels, customer).and_then(|s| s.level),
            }
        });
        FleetDigest {
            source: self.source.clone(),
            registry_steady_ms: total.registry_steady_ms,
            silent: total.silent.clone(),
            silent_zones: total.silent_zones.clone(),
            loads: loads.collect(),
            spent: spent.collect(),
        }
    }

    /// Returns what the lease holder has to know of the zone.
    pub fn parts(&self, now: EpochMillis) -> Vec<ZonePart> {
        let members = self.live_members(now);
        let mut demand = ModelDemand::default();
        for member in &members {
            let rates =
                member.digest.demand.iter().flat_map(SortedTable::iter);
            for (name, rate) in rates {
                let sum = demand.entry(name.clone(), || 0);
                *sum = sum.saturating_add(*rate);
            }
        }
        let loads = members.iter().flat_map(|member| &member.digest.loads);
        let uses = merge_names(loads.filter(|load| !load.names.is_empty()));
        let part_of = |name: &str| rendezvous_weight(name, "part") % PARTS;
        let parts = (0..PARTS).map(|part| ZonePart {
            zone: self.zone.clone(),
            host: self.source.host.clone(),
            part: part as u32,
            uses: uses
                .iter()
                .filter(|load| part_of(&load.runner) == part)
                .cloned()
                .collect(),
            demand: demand
                .iter()
                .filter(|(name, _)| part_of(name) == part)
                .map(|(name, rate)| (name.clone(), *rate))
                .collect(),
        });
        parts.collect()
    }
}

impl<S> ZoneAggregator<S> {
    fn into_state<T>(self, state: T) -> ZoneAggregator<T> {
        ZoneAggregator {
            zone: self.zone,
            source: self.source,
            sequence: self.sequence,
            members: self.members,
            grown: self.grown,
            zones: self.zones,
            state,
        }
    }

    /// Records the digest of a host of the zone.
    pub fn record_member(&mut self, digest: HostDigest, now: EpochMillis) {
        let Some(record) = self.members.get_mut(&digest.host) else {
            // Consumption before a host's first digest isn't counted.
            let grown = SortedTable::default();
            let host = digest.host.clone();
            let record = MemberRecord { digest, heard_at: now, grown };
            self.members.insert(host, record);
            return;
        };
        let is_same = record.digest.incarnation == digest.incarnation;
        for spent in &digest.spent {
            let customer = &spent.customer;
            let (sum, last) = record.grown.entry(customer.clone(), || (0, 0));
            let growth = if is_same {
                let former = find_spent(&record.digest.spent, customer);
                let before = former.map_or(0, |former| former.total);
                spent.total.saturating_sub(before)
            } else {
                // The former process has ended without a digest of its last
                // consumption.
                spent.total.saturating_add((*last).max(0))
            };
            *sum = sum.saturating_add(growth);
            *last = growth;
            let zone_sum = self.grown.entry(customer.clone(), || 0);
            *zone_sum = zone_sum.saturating_add(growth);
        }
        record.heard_at = now;
        record.digest = digest;
    }

    /// Records the digest of another zone; returns whether it is new.
    pub fn record_zone(
        &mut self,
        digest: ZoneDigest,
        now: EpochMillis,
    ) -> bool {
        if digest.zone == self.zone {
            return false;
        }
        let Some(record) = self.zones.get_mut(&digest.zone) else {
            let record = ZoneRecord {
                heard_at: now,
                interval: Duration::ZERO,
                grown: SortedTable::default(),
                digest,
            };
            self.zones.insert(record.digest.zone.clone(), record);
            return true;
        };
        let is_same = record.digest.source == digest.source;
        if is_same && digest.sequence <= record.digest.sequence {
            return false;
        }
        let interval = record.heard_at.until(now);
        if is_same {
            record.count_growth(&digest.spent);
        } else {
            record.extrapolate(interval);
        }
        record.interval = interval;
        record.heard_at = now;
        record.digest = digest;
        true
    }

    /// Forgets the hosts that aren't listed any more.
    pub fn retain_members(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.members.retain(|host, _| is_listed(host));
    }

    fn live_members(&self, now: EpochMillis) -> Vec<&MemberRecord> {
        let members = self.members.values();
        let is_live =
            |member: &&MemberRecord| now < member.heard_at.after(MAX_LOAD_AGE);
        members.filter(is_live).collect()
    }

    /// Returns the listed hosts of the zone that aren't heard.
    fn silent_members<'a>(
        &self,
        listed: impl Iterator<Item = &'a str>,
        now: EpochMillis,
    ) -> Vec<String> {
        let is_silent = |host: &&str| {
            let member = self.members.get(*host);
            *host != self.source.host
                && member.is_none_or(|member| is_silent(member.heard_at, now))
        };
        listed.filter(is_silent).map(str::to_owned).collect()
    }
}

impl ZoneRecord {
    /// Counts the growth of the totals of the same source.
    fn count_growth(&mut self, spent: &[SpentTotal]) {
        for SpentTotal { customer, total, .. } in spent {
            let before = find_spent(&self.digest.spent, customer)
                .map_or(0, |former| former.total);
            let growth = total.saturating_sub(before);
            let grown = self.grown.entry(customer.clone(), || (0, 0));
            *grown = (grown.0.saturating_add(growth), growth);
        }
    }

    /// Continues the growth at its last speed over the time up to the first
    /// digest of another source.
    fn extrapolate(&mut self, interval: Duration) {
        let before = self.interval.as_secs_f64();
        if before <= 0.0 {
            return;
        }
        let factor = interval.as_secs_f64() / before;
        for (_, (grown, growth)) in self.grown.iter_mut() {
            let assumed = (*growth as f64 * factor).max(0.0) as i64;
            *grown = grown.saturating_add(assumed);
        }
    }
}

fn is_silent(heard_at: EpochMillis, now: EpochMillis) -> bool {
    heard_at.after(SILENCE_TIMEOUT) <= now
}

/// Returns the longest time for which the registry has answered one of the
/// hosts, in milliseconds.
fn longest_contact(members: &[&MemberRecord]) -> u64 {
    let contacts = members.iter();
    let contacts = contacts.map(|member| member.digest.registry_steady_ms);
    contacts.max().unwrap_or(0)
}

/// Returns the entry of a customer in a list that is sorted by customer.
fn find_spent<'a>(
    spent: &'a [SpentTotal],
    customer: &str,
) -> Option<&'a SpentTotal> {
    let found =
        spent.binary_search_by(|spent| spent.customer.as_str().cmp(customer));
    found.ok().map(|index| &spent[index])
}

/// Adds up calls and tokens by runner; the result is sorted and without names.
fn sum_loads<'a>(
    loads: impl Iterator<Item = &'a RunnerLoad>,
) -> Vec<RunnerLoad> {
    let mut sorted: Vec<&RunnerLoad> = loads.collect();
    sorted.sort_unstable_by(|one, other| one.runner.cmp(&other.runner));
    let groups = sorted.chunk_by(|one, other| one.runner == other.runner);
    let sums = groups.map(|group| RunnerLoad {
        runner: group[0].runner.clone(),
        calls: group.iter().fold(0, |sum, l| l.calls.saturating_add(sum)),
        tokens: group.iter().fold(0, |sum, l| l.tokens.saturating_add(sum)),
        names: Vec::new(),
    });
    sums.collect()
}

/// Merges the names by runner; the result is sorted.
fn merge_names<'a>(
    loads: impl Iterator<Item = &'a RunnerLoad>,
) -> Vec<RunnerLoad> {
    let mut runners: SortedTable<&str, Vec<ModelName>> =
        SortedTable::default();
    for load in loads {
        let names = runners.entry(load.runner.as_str(), Vec::new);
        names.extend(load.names.iter().cloned());
    }
    let rows = runners.iter().map(|(runner, names)| {
        let mut names = names.clone();
        names.sort_unstable();
        names.dedup();
        let runner = (*runner).to_owned();
        RunnerLoad { runner, calls: 0, tokens: 0, names }
    });
    rows.collect()
}

fn spent_totals(spent: &SortedTable<String, i64>) -> Vec<SpentTotal> {
    let totals = spent.iter().map(|(customer, total)| SpentTotal {
        customer: customer.clone(),
        total: *total,
        level: None,
    });
    totals.collect()
}
