//! The part of the gossip task that knows the other hosts and whether they are
//! heard.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    gossip::{GossipTask, KnownHost},
    host_rows::{self, HostsReading},
    router_port::RouterEvent,
};
use crate::{
    membership::{
        GONE_SILENCE, HostListing, HostMessage, HostOrigin, is_zone_reader,
    },
    sorted::SortedTable,
};

/// Time between two early reads for the same host that sends digests and has
/// no row yet.
const UNKNOWN_HOST_READ_PERIOD: Duration = Duration::from_millis(2_000);
/// Most hosts without a row that are remembered.
const MAX_UNKNOWN_HOSTS: usize = 64;
/// Most hosts that are known.
const MAX_HOSTS: usize = 4_096;
/// Time without a digest from which a host counts as silent.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_000);

impl GossipTask {
    /// Determines whether this host reads the registry for its zone.
    pub(super) fn choose_reader(&self) {
        let row = &self.setup.row;
        let neighbours = self.live_hosts();
        let neighbours = neighbours.filter(|(_, host)| host.zone == row.zone);
        let neighbours = neighbours.map(|(name, _)| name);
        // An aggregator's link carries the excerpts to a large zone.
        let chosen = if self.aggregates() {
            self.aggregation.is_publishing()
        } else {
            is_zone_reader(&row.host, neighbours)
        };
        self.setup.is_reader.send_if_modified(|is_reader| {
            let changed = *is_reader != chosen;
            if changed {
                tracing::info!(event = "zone_reader", chosen);
            }
            *is_reader = chosen;
            changed
        });
    }

    /// Iterates over the other hosts that aren't silent.
    pub(super) fn live_hosts(
        &self,
    ) -> impl Iterator<Item = (&str, &KnownHost)> {
        let hosts = self.hosts.iter().filter(|(_, host)| {
            host.last_digest_at.elapsed() < LIVENESS_TIMEOUT
        });
        hosts.map(|(name, host)| (name.as_str(), host))
    }

    /// Triggers a read of the table for a host that isn't listed: a new host
    /// receives no messages until the others know its address.
    pub(super) fn note_unknown_host(&mut self, host: &str) {
        let now = Instant::now();
        let known = self.unknown_hosts.get(host).copied();
        let is_new = known.is_none();
        if known.is_some_and(|read_after| now < read_after)
            || (is_new && MAX_UNKNOWN_HOSTS <= self.unknown_hosts.len())
        {
            return;
        }
        tracing::info!(event = "stranger_heard", peer = host);
        let read_after = now + UNKNOWN_HOST_READ_PERIOD;
        self.unknown_hosts.insert(host.to_owned(), read_after);
        self.early_read.notify_one();
    }

    pub(super) async fn adopt(&mut self, reading: HostsReading) {
        let HostsReading { rows, kept } = reading;
        for (row, _) in &rows {
            self.unknown_hosts.remove(&row.host);
        }
        let mut hosts = SortedTable::default();
        for (row, version) in rows {
            if row.host == self.setup.row.host {
                continue;
            }
            let Ok(address) = row.address.parse() else {
                tracing::warn!(event = "host_unreadable", peer = row.host);
                continue;
            };
            if self.hosts.get(&row.host).is_none() {
                tracing::info!(
                    event = "host_known",
                    peer = row.host,
                    peer_zone = row.zone,
                    peer_address = row.address,
                );
                let (host, zone) = (row.host.clone(), row.zone.clone());
                let event = RouterEvent::HostAdded { host, zone };
                let _ = self.router.sender.send(event).await;
            }
            let known = self.hosts.get(&row.host);
            let last_digest_at =
                known.map_or_else(Instant::now, |host| host.last_digest_at);
            let (zone, capacity) = (row.zone, row.capacity);
            let origin = HostOrigin::Listed(version);
            let host =
                KnownHost { zone, address, capacity, origin, last_digest_at };
            hosts.insert(row.host, host);
        }
        for (name, host) in self.hosts.iter() {
            let silence = host.last_digest_at.elapsed();
            if hosts.get(name).is_none()
                && host.origin.outlives_reading(silence)
            {
                hosts.insert(name.clone(), host.clone());
            }
        }
        for host in self.hosts.keys() {
            if hosts.get(host).is_none() {
                tracing::info!(event = "host_gone", peer = host.as_str());
                let event = RouterEvent::HostRemoved(host.clone());
                let _ = self.router.sender.send(event).await;
            }
        }
        let event = RouterEvent::HostsListed { kept };
        let _ = self.router.sender.send(event).await;
        self.hosts = hosts;
        self.has_list = true;
        self.has_read.send_replace(true);
        self.rank_hosts();
        self.log_liveness();
        self.remove_silent_hosts();
    }

    /// Adds hosts that another one tells. A host that introduces itself is
    /// reached at the address that it states.
    pub(super) async fn learn(&mut self, listings: Vec<HostListing>) {
        let mut is_changed = false;
        for listing in listings {
            let is_own = listing.host == self.setup.row.host;
            if is_own || !listing.is_alive() {
                continue;
            }
            let Ok(address) = listing.address.parse() else {
                tracing::warn!(event = "host_unreadable", peer = listing.host);
                continue;
            };
            let silence = Duration::from_millis(listing.silent_ms);
            if let Some(known) = self.hosts.get_mut(&listing.host) {
                if silence.is_zero() {
                    known.address = address;
                }
                continue;
            }
            if MAX_HOSTS <= self.hosts.len() {
                continue;
            }
            tracing::info!(
                event = "host_learnt",
                peer = listing.host,
                peer_zone = listing.zone,
                peer_address = listing.address,
                silent_ms = listing.silent_ms,
            );
            self.unknown_hosts.remove(&listing.host);
            let HostListing { host, zone, capacity, .. } = listing;
            let now = Instant::now();
            let known = KnownHost {
                zone: zone.clone(),
                address,
                capacity,
                origin: HostOrigin::Learnt,
                last_digest_at: now.checked_sub(silence).unwrap_or(now),
            };
            self.hosts.insert(host.clone(), known);
            let event = RouterEvent::HostAdded { host, zone };
            let _ = self.router.sender.send(event).await;
            is_changed = true;
        }
        if is_changed {
            self.note_learnt_change().await;
        }
    }

    /// Forgets hosts that only others have told, once they are silent for long.
    pub(super) async fn forget_silent_learnt(&mut self) {
        let is_gone = |host: &KnownHost| {
            !host.origin.outlives_silence(host.last_digest_at.elapsed())
        };
        let gone = self.hosts.iter().filter(|(_, host)| is_gone(host));
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        if gone.is_empty() {
            return;
        }
        for name in gone {
            tracing::info!(event = "host_gone", peer = name.as_str());
            self.hosts.remove(&name);
            let event = RouterEvent::HostRemoved(name);
            let _ = self.router.sender.send(event).await;
        }
        self.note_learnt_change().await;
    }

    /// Tells the router how many hosts there are now. What is known from hosts
    /// that introduced themselves alone is no list.
    async fn note_learnt_change(&mut self) {
        if self.has_list {
            let event = RouterEvent::HostsListed { kept: None };
            let _ = self.router.sender.send(event).await;
        }
        self.rank_hosts();
    }

    /// Tells all known hosts of this one, while the store turns it away and may
    /// lack its row.
    pub(super) async fn introduce(&self) {
        if *self.has_read.borrow() || !self.has_list {
            return;
        }
        let message = HostMessage::Introduction(self.own_listing());
        self.send(&message, &self.addresses()).await;
    }

    /// Returns the hosts that this one knows, itself included; `None` before it
    /// knows a list.
    pub(super) fn listings(&self) -> Option<Vec<HostListing>> {
        if !self.has_list {
            return None;
        }
        let others = self.hosts.iter().map(|(name, host)| HostListing {
            host: name.clone(),
            zone: host.zone.clone(),
            address: host.address.to_string(),
            capacity: host.capacity,
            // An introduction alone has no silence.
            silent_ms: host.last_digest_at.elapsed().as_millis().max(1) as u64,
        });
        Some(others.chain([self.own_listing()]).collect())
    }

    fn own_listing(&self) -> HostListing {
        let row = &self.setup.row;
        HostListing {
            host: row.host.clone(),
            zone: row.zone.clone(),
            address: row.address.clone(),
            capacity: row.capacity,
            silent_ms: 0,
        }
    }

    /// Logs for each zone how many hosts are known and how many are silent,
    /// after each read of the table.
    fn log_liveness(&self) {
        let silent = |host: &&KnownHost| {
            LIVENESS_TIMEOUT <= host.last_digest_at.elapsed()
        };
        let mut zone_counts: SortedTable<String, (u32, u32)> =
            SortedTable::default();
        for host in self.hosts.values() {
            let zone = zone_counts.entry(host.zone.clone(), || (0, 0));
            zone.0 += 1;
            zone.1 += u32::from(silent(&host));
        }
        for (peer_zone, (known, silent)) in zone_counts.iter() {
            tracing::info!(event = "hosts_heard", peer_zone, known, silent);
        }
    }

    /// Removes the rows of hosts that have been silent for
    /// [`GONE_SILENCE`]. A removed host that is still alive writes its
    /// row again. A host that receives no digest from any other host removes
    /// no row, as it is more likely to be cut off itself.
    fn remove_silent_hosts(&self) {
        let silence = |host: &KnownHost| host.last_digest_at.elapsed();
        let is_alive = |host: &KnownHost| silence(host) < LIVENESS_TIMEOUT;
        if !self.hosts.values().any(is_alive) {
            return;
        }
        for (name, host) in self.hosts.iter() {
            let HostOrigin::Listed(version) = host.origin else { continue };
            if silence(host) < GONE_SILENCE {
                continue;
            }
            tracing::info!(event = "host_removed", peer = name.as_str());
            host_rows::remove_row(&self.setup.store, name, version);
        }
    }
}
