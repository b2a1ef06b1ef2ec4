//! The part of the gossip task that exchanges state through aggregators.
//!
//! A host sends its digest to the aggregator of its zone and to those that may
//! take over. The aggregator tells each host of its zone the total of all other
//! hosts, the aggregators of the other zones the sums of its zone, and the lease
//! holder the zone's demand.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    gossip::{GossipTask, evidence_messages},
    gossip_port::PlacerEvent,
    router_port::{RouterEvent, RouterReport},
};
use crate::{
    clock::EpochMillis,
    membership::{
        AggregateSource, AggregatorCandidate, AggregatorChoice,
        AggregatorSeat, FleetDigest, GossipTick, HostDigest, HostMessage,
        HostRow, Publishing, ZoneAggregator,
    },
    placement::BroadcastFanout,
};

/// Bandwidth that is assumed for an aggregator whose row doesn't tell it.
const DEFAULT_LINK_KBPS: u32 = 10_000;
/// Time between two bursts of paced datagrams.
const BURST_PERIOD: Duration = Duration::from_millis(4);
/// Most bytes in a burst: queues on the way drop the end of larger ones.
const MAX_BURST_BYTES: usize = 16_000;
/// Most digests that wait for their burst; the oldest are dropped.
const MAX_DIGESTS: usize = 512;
/// Most datagrams with the registry's changes that wait for their burst. A host
/// that misses one has to read the registry itself.
const MAX_EXCERPTS: usize = 4_096;

/// What this host knows of aggregators, and the sums if it may be one.
pub(super) struct AggregationDesk {
    pub(super) choice: AggregatorChoice,
    seat: Option<AggregatorSeat>,
    source: AggregateSource,
    zone: String,
    /// Messages of this round that go to every host, encoded.
    news: Vec<Bytes>,
    /// Hosts that weren't heard according to the last digest followed.
    absent: Vec<String>,
    /// Datagrams that are sent in small bursts, digests first.
    digests: VecDeque<(SocketAddr, Bytes)>,
    excerpts: VecDeque<(SocketAddr, Bytes)>,
    /// Bytes in a burst: half of what the link carries until the next one.
    burst_bytes: usize,
    next_burst_at: Instant,
}

impl AggregationDesk {
    pub(super) fn new(
        row: &HostRow,
        min_hosts: usize,
        now: EpochMillis,
    ) -> AggregationDesk {
        let source = AggregateSource {
            host: row.host.clone(),
            incarnation: row.incarnation,
        };
        let link = row.capacity.map(|capacity| capacity.link_kbps);
        let link = link.unwrap_or(DEFAULT_LINK_KBPS) as usize;
        // 1 kbit/s is one bit a millisecond.
        let carried = link / 8 * BURST_PERIOD.as_millis() as usize;
        AggregationDesk {
            choice: AggregatorChoice::new(
                &row.host, &row.zone, min_hosts, now,
            ),
            seat: None,
            source,
            zone: row.zone.clone(),
            news: Vec::new(),
            absent: Vec::new(),
            digests: VecDeque::new(),
            excerpts: VecDeque::new(),
            burst_bytes: (carried / 2).min(MAX_BURST_BYTES),
            next_burst_at: Instant::now(),
        }
    }

    /// Returns the time of the next burst, if there is anything to send.
    pub(super) fn next_burst_at(&self) -> Option<Instant> {
        let is_idle = self.digests.is_empty() && self.excerpts.is_empty();
        (!is_idle).then_some(self.next_burst_at)
    }

    /// Queues a message for these recipients.
    fn post(&mut self, message: &HostMessage, recipients: &[SocketAddr]) {
        let Some(bytes) = encode(message) else { return };
        let (queue, limit) = match message {
            HostMessage::Registry(_) => (&mut self.excerpts, MAX_EXCERPTS),
            _ => (&mut self.digests, MAX_DIGESTS),
        };
        let datagrams =
            recipients.iter().map(|address| (*address, bytes.clone()));
        queue.extend(datagrams);
        let outdated = queue.len().saturating_sub(limit);
        if 0 < outdated {
            queue.drain(..outdated);
            tracing::info!(event = "datagrams_outdated", outdated);
        }
    }

    /// Returns the next datagram to send.
    fn next_datagram(&mut self) -> Option<(SocketAddr, Bytes)> {
        self.digests.pop_front().or_else(|| self.excerpts.pop_front())
    }

    fn seat_mut(&mut self, now: EpochMillis) -> &mut AggregatorSeat {
        let (zone, source) = (&self.zone, &self.source);
        self.seat.get_or_insert_with(|| {
            AggregatorSeat::new(zone, source.clone(), now)
        })
    }

    /// Takes the seat or gives it up, as the choice says. `listed` is the number
    /// of known hosts of the zone.
    fn update_seat(&mut self, listed: usize, now: EpochMillis) {
        if !self.choice.is_candidate() {
            self.seat = None;
            return;
        }
        let leads = self.choice.leads(now);
        self.seat_mut(now);
        let Some(seat) = self.seat.take() else { return };
        let (seat, change) = seat.update(leads, listed, now);
        self.seat = Some(seat);
        if let Some(change) = change {
            tracing::info!(event = "zone_aggregator", ?change, listed);
        }
    }

    /// Returns whether this host is the aggregator of its zone.
    pub(super) fn is_publishing(&self) -> bool {
        matches!(self.seat, Some(AggregatorSeat::Publishing(_)))
    }

    fn publishing(&mut self) -> Option<&mut ZoneAggregator<Publishing>> {
        self.seat.as_mut()?.publishing()
    }
}

impl GossipTask {
    /// Returns whether digests go through aggregators.
    pub(super) fn aggregates(&self) -> bool {
        self.aggregation.choice.aggregates(self.setup.clock.now())
    }

    /// Sends what this tick includes: the digest of this host once a round, and
    /// the sums if this host is the aggregator of its zone.
    pub(super) async fn exchange_sums(&mut self, tick: GossipTick) {
        if tick.begins_round() {
            self.send_member_digest().await;
        }
        self.send_news(tick).await;
        let now = self.setup.clock.now();
        let zone = &self.setup.row.zone;
        let listed = self.hosts.values().filter(|host| host.zone == *zone);
        let listed = listed.count() + 1;
        self.aggregation.update_seat(listed, now);
        if self.aggregation.publishing().is_some() {
            self.publish_sums(tick, now).await;
        }
    }

    async fn send_member_digest(&mut self) {
        let Some(report) = self.report().await else { return };
        let RouterReport { digest, departures, evidence } = report;
        let now = self.setup.clock.now();
        let demand = Some(self.demand.clone());
        let digest = HostDigest { demand, ..digest };
        let targets = self.aggregation.choice.targets(now);
        let targets = self.addresses_of(&targets);
        self.send(&HostMessage::Member(digest.clone()), &targets).await;
        let earlier: Vec<SocketAddr> = self
            .hosts
            .values()
            .filter(|host| host.capacity.is_none())
            .map(|host| host.address)
            .collect();
        self.send(&HostMessage::Digest(digest.clone()), &earlier).await;
        if self.aggregation.choice.is_candidate() {
            self.aggregation.seat_mut(now).record_member(digest, now);
        }
        let mut news = Vec::new();
        if !departures.is_empty() {
            news.extend(encode(&HostMessage::Departing(departures)));
        }
        if !evidence.is_empty() {
            let messages = evidence_messages(evidence);
            news.extend(messages.filter_map(|message| encode(&message)));
        }
        self.aggregation.news = news;
    }

    /// Sends the news of this round to the hosts that this tick includes.
    async fn send_news(&self, tick: GossipTick) {
        if self.aggregation.news.is_empty() {
            return;
        }
        let zone = &self.setup.row.zone;
        let hosts = self.hosts.values().enumerate();
        let included: Vec<SocketAddr> = hosts
            .filter(|(index, host)| tick.includes(*index, host.zone == *zone))
            .map(|(_, host)| host.address)
            .collect();
        for bytes in &self.aggregation.news {
            self.send_bytes(bytes, &included).await;
        }
    }

    async fn publish_sums(&mut self, tick: GossipTick, now: EpochMillis) {
        let own_zone = self.setup.row.zone.clone();
        let zones: Vec<String> =
            self.aggregation.choice.zones().map(str::to_owned).collect();
        let zones = zones.iter().filter(|zone| **zone != own_zone);
        let listed = self.hosts.iter();
        let listed = listed.filter(|(_, host)| host.zone == own_zone);
        let listed = listed.map(|(name, _)| name.as_str());
        let Some(sums) = self.aggregation.publishing() else { return };
        let total =
            sums.total(listed.clone(), zones.clone().map(String::as_str), now);
        let mut digests: Vec<(SocketAddr, FleetDigest)> = Vec::new();
        for (index, (name, host)) in self.hosts.iter().enumerate() {
            let is_known = host.capacity.is_some();
            let is_included =
                host.zone == own_zone && tick.includes(index, true);
            if is_known && is_included {
                let digest = sums.fleet_digest(&total, name, now);
                digests.push((host.address, digest));
            }
        }
        let begins_round = tick.begins_round();
        let own = begins_round.then(|| {
            let own = &self.setup.row.host;
            let digest = sums.fleet_digest(&total, own, now);
            (digest, sums.zone_digest(listed, now), sums.parts(now))
        });
        for (address, digest) in digests {
            self.aggregation.post(&HostMessage::Fleet(digest), &[address]);
        }
        let Some((digest, zone_digest, parts)) = own else { return };
        let choice = &self.aggregation.choice;
        let carriers = zones.flat_map(|zone| choice.carriers(zone, now));
        let carriers = self.addresses_of(&carriers.collect::<Vec<_>>());
        self.aggregation.post(&HostMessage::Zone(zone_digest), &carriers);
        let holder = self.lease_holder.clone();
        let is_own = holder.as_ref() == Some(&self.setup.row.host);
        let remote = holder.and_then(|holder| self.hosts.get(&holder));
        let remote = remote.map(|host| host.address);
        for part in parts {
            if is_own {
                let _ = self.placer.try_send(PlacerEvent::Part(part));
            } else if let Some(address) = remote {
                self.aggregation.post(&HostMessage::Part(part), &[address]);
            }
        }
        self.follow(digest).await;
    }

    /// Applies the digest of an aggregator, if this host follows it.
    pub(super) async fn follow(&mut self, digest: FleetDigest) {
        let at = self.setup.clock.now();
        let former = self.aggregation.choice.followed().map(str::to_owned);
        if !self.aggregation.choice.admit(&digest.source.host, at) {
            return;
        }
        if former.as_ref() != Some(&digest.source.host) {
            let aggregator = digest.source.host.as_str();
            tracing::info!(event = "aggregator_followed", aggregator, former);
        }
        let mut absent = Vec::new();
        for (name, host) in self.hosts.iter_mut() {
            let is_absent = digest.silent_zones.contains(&host.zone)
                || digest.silent.binary_search(name).is_ok();
            if is_absent {
                absent.push(name.clone());
            } else {
                host.last_digest_at = Instant::now();
            }
        }
        if absent != self.aggregation.absent {
            tracing::info!(event = "hosts_absent", absent = absent.len());
            self.aggregation.absent.clone_from(&absent);
            self.rank_hosts();
        }
        let steady_ms = digest.registry_steady_ms;
        self.setup.peer_contact.send_modify(|peer_contact| {
            peer_contact.record_report(steady_ms, at);
        });
        let digest = Box::new(digest);
        let event = RouterEvent::FleetDigest { digest, absent, at };
        let _ = self.router.sender.send(event).await;
    }

    /// Records a message that reached this host as an aggregator.
    pub(super) fn receive_digest(&mut self, message: HostMessage) {
        let now = self.setup.clock.now();
        match message {
            HostMessage::Member(digest) => {
                match self.hosts.get_mut(&digest.host) {
                    Some(host) => {
                        host.last_digest_at = Instant::now();
                    }
                    None => self.note_unknown_host(&digest.host),
                }
                self.aggregation.choice.record_use(now);
                self.aggregation.seat_mut(now).record_member(digest, now);
            }
            HostMessage::Zone(digest) => {
                let choice = &mut self.aggregation.choice;
                choice.record_source(&digest.zone, &digest.source.host, now);
                self.aggregation.seat_mut(now).record_zone(digest, now);
            }
            HostMessage::Part(part) => {
                let choice = &mut self.aggregation.choice;
                choice.record_source(&part.zone, &part.host, now);
                let _ = self.placer.try_send(PlacerEvent::Part(part));
            }
            _ => {}
        }
    }

    /// Sends the datagrams of one burst.
    pub(super) async fn send_burst(&mut self) {
        let mut left = self.aggregation.burst_bytes;
        while let Some((address, bytes)) = self.aggregation.next_datagram() {
            self.send_bytes(&bytes, &[address]).await;
            let Some(rest) = left.checked_sub(bytes.len()) else { break };
            left = rest;
        }
        self.aggregation.next_burst_at = Instant::now() + BURST_PERIOD;
    }

    /// Passes a message on to the other hosts of this zone.
    pub(super) fn forward(&mut self, message: &HostMessage) {
        let neighbours = self.neighbours();
        self.aggregation.post(message, &neighbours);
    }

    /// Delivers a message to each host of the fleet but this one.
    pub(super) async fn send_to_all(&mut self, message: &HostMessage) {
        let now = self.setup.clock.now();
        if !self.aggregates() {
            self.send(message, &self.addresses()).await;
            return;
        }
        let choice = &self.aggregation.choice;
        let own = self.setup.row.host.as_str();
        let carriers =
            choice.zones().flat_map(|zone| choice.carriers(zone, now));
        let carriers: Vec<&str> = carriers.collect();
        let is_carrier = carriers.contains(&own);
        let carriers: Vec<&str> =
            carriers.into_iter().filter(|host| *host != own).collect();
        let carriers = self.addresses_of(&carriers);
        if is_carrier {
            self.forward(message);
        }
        let forward = HostMessage::Forward(Box::new(message.clone()));
        self.send(&forward, &carriers).await;
        let earlier = self.hosts.values();
        let earlier = earlier.filter(|host| host.capacity.is_none());
        let earlier: Vec<SocketAddr> =
            earlier.map(|host| host.address).collect();
        self.send(message, &earlier).await;
    }

    /// Returns the addresses of the other hosts of this zone.
    pub(super) fn neighbours(&self) -> Vec<SocketAddr> {
        let zone = &self.setup.row.zone;
        let hosts = self.hosts.values();
        let hosts = hosts.filter(|host| host.zone == *zone);
        hosts.map(|host| host.address).collect()
    }

    fn addresses_of(&self, names: &[&str]) -> Vec<SocketAddr> {
        let hosts = names.iter().filter_map(|name| self.hosts.get(*name));
        hosts.map(|host| host.address).collect()
    }

    /// Ranks the hosts that may be aggregators, after the list of hosts or of
    /// absent ones has changed.
    pub(super) fn rank_hosts(&mut self) {
        let row = &self.setup.row;
        let own = row.capacity.map(|capacity| AggregatorCandidate {
            host: &row.host,
            zone: &row.zone,
            core_permille: capacity.core_permille,
            is_absent: false,
        });
        let absent = &self.aggregation.absent;
        let others = self.hosts.iter().filter_map(|(name, host)| {
            let capacity = host.capacity?;
            Some(AggregatorCandidate {
                host: name,
                zone: &host.zone,
                core_permille: capacity.core_permille,
                is_absent: absent.binary_search(name).is_ok(),
            })
        });
        self.aggregation.choice.set_candidates(others.chain(own));
        let hosts = &self.hosts;
        if let Some(seat) = &mut self.aggregation.seat {
            let own = &self.setup.row.host;
            seat.retain_members(|host| {
                host == own || hosts.get(host).is_some()
            });
        }
    }

    /// Tells the placer how its messages reach the other hosts, and whether it
    /// may take the orders lease.
    pub(super) fn update_placer(&self) {
        let now = self.setup.clock.now();
        let choice = &self.aggregation.choice;
        let may_order = !self.aggregates() || choice.is_candidate();
        self.setup.may_order.send_if_modified(|known| {
            std::mem::replace(known, may_order) != may_order
        });
        let fanout = if self.aggregates() {
            let hosts = self.hosts.values();
            let largest = choice.zones().map(|zone| {
                hosts.clone().filter(|host| host.zone == zone).count()
            });
            let carriers =
                choice.zones().flat_map(|zone| choice.carriers(zone, now));
            let links = carriers.map(|name| {
                let known = self.hosts.get(name).map(|host| host.capacity);
                let capacity = known.unwrap_or(self.setup.row.capacity);
                capacity.map_or(DEFAULT_LINK_KBPS, |known| known.link_kbps)
            });
            let slowest = links.min().unwrap_or(DEFAULT_LINK_KBPS);
            BroadcastFanout::over_link(largest.max().unwrap_or(0), slowest)
        } else {
            BroadcastFanout::direct(self.live_hosts().count() + 1)
        };
        self.setup.fanout.send_if_modified(|known| {
            let changed = *known != fanout;
            *known = fanout;
            changed
        });
    }
}

fn encode(message: &HostMessage) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(message);
    let log = |error: &postcard::Error| {
        tracing::error!(event = "message_unwritable", %error);
    };
    encoded.inspect_err(log).ok().map(Bytes::from)
}
