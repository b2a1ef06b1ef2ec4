//! Choice of the aggregator that a host follows.
//!
//! Every host ranks the hosts of each zone by the same rule, so that they agree
//! without a message. They disagree while they know different hosts or hear
//! different ones; a host then follows the best one of those that it hears.

use std::time::Duration;

use super::rendezvous::rendezvous_weight;
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Time without a digest of the followed aggregator after which another one is
/// followed: two of its digests were lost.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(450);
/// Further silence that each lower rank waits for before it takes over.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Ranks that take over.
const CANDIDATES: usize = 3;
/// Ranks that are sent digests whether they publish or not.
const STANDBYS: usize = 2;
/// Time without a message of an aggregator after which a host of a small fleet
/// sends its digests to each host itself.
const MODE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Name under which the hosts of a zone are ranked.
const AGGREGATOR_ROLE: &str = "zone-aggregator";

/// A host that can be an aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AggregatorCandidate<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Share of a processor core, in thousandths.
    pub core_permille: u32,
}

/// The aggregators as one host knows them.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     membership::{AggregatorCandidate, AggregatorChoice},
/// };
///
/// let candidate = |host, core_permille| AggregatorCandidate {
///     host,
///     zone: "kgn",
///     core_permille,
/// };
/// let mut choice = AggregatorChoice::new("kgn-1", "kgn", 2, EpochMillis(0));
/// let hosts = [candidate("kgn-1", 90), candidate("kgn-2", 500)];
/// choice.set_candidates(hosts.into_iter());
/// let now = EpochMillis(100);
/// assert!(choice.aggregates(now));
/// assert_eq!(choice.targets(now), ["kgn-2"]);
/// assert!(!choice.leads(now));
/// // The other host is never heard.
/// assert!(choice.leads(EpochMillis(500)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregatorChoice {
    own: String,
    own_zone: String,
    /// Number of hosts from which digests go through aggregators.
    min_hosts: usize,
    hosts: usize,
    /// Hosts of each zone, best first.
    ranked: SortedTable<String, Vec<String>>,
    /// The aggregator that this host follows, and the time at which it was last
    /// heard.
    followed: Option<(String, EpochMillis)>,
    /// Last aggregator heard of each other zone, with the time.
    sources: SortedTable<String, (String, EpochMillis)>,
    /// Time up to which messages of aggregators show that the fleet uses them.
    asked_until: EpochMillis,
    /// Time from which the silence of aggregators counts.
    started_at: EpochMillis,
}

impl AggregatorChoice {
    /// Creates the choice of a host that knows no other one. Digests go through
    /// aggregators in a fleet of `min_hosts` or more.
    pub fn new(
        own: &str,
        own_zone: &str,
        min_hosts: usize,
        now: EpochMillis,
    ) -> AggregatorChoice {
        AggregatorChoice {
            own: own.to_owned(),
            own_zone: own_zone.to_owned(),
            min_hosts,
            hosts: 1,
            ranked: SortedTable::default(),
            followed: None,
            sources: SortedTable::default(),
            asked_until: EpochMillis::default(),
            started_at: now,
        }
    }

    /// Replaces the hosts that can be aggregators: this one, and all others
    /// that aren't known to be silent.
    pub fn set_candidates<'a>(
        &mut self,
        candidates: impl Iterator<Item = AggregatorCandidate<'a>>,
    ) {
        let mut zones: SortedTable<String, Vec<(u32, u64, &str)>> =
            SortedTable::default();
        self.hosts = 0;
        for AggregatorCandidate { host, zone, core_permille } in candidates {
            self.hosts += 1;
            let weight = rendezvous_weight(host, AGGREGATOR_ROLE);
            let hosts = zones.entry(zone.to_owned(), Vec::new);
            hosts.push((core_permille, weight, host));
        }
        self.ranked = SortedTable::default();
        for (zone, hosts) in zones.iter_mut() {
            hosts.sort_unstable_by(|one, other| other.cmp(one));
            let names = hosts.iter().map(|(_, _, host)| (*host).to_owned());
            self.ranked.insert(zone.clone(), names.collect());
        }
    }

    /// Records a message that only hosts of a fleet with aggregators send.
    pub fn record_use(&mut self, now: EpochMillis) {
        self.asked_until = now.after(MODE_TIMEOUT);
    }

    /// Returns whether digests go through aggregators.
    pub fn aggregates(&self, now: EpochMillis) -> bool {
        self.min_hosts <= self.hosts || now < self.asked_until
    }

    /// Records a digest of an aggregator of this host's zone, or of this host
    /// itself; returns whether this host follows it.
    pub fn admit(&mut self, source: &str, now: EpochMillis) -> bool {
        self.record_use(now);
        let follows = match &self.followed {
            Some((followed, at)) => {
                followed == source
                    || at.after(FOLLOW_TIMEOUT) <= now
                    || self.rank(source) < self.rank(followed)
            }
            None => true,
        };
        if follows {
            self.followed = Some((source.to_owned(), now));
        }
        follows
    }

    /// Returns the aggregator that this host follows.
    pub fn followed(&self) -> Option<&str> {
        self.followed.as_ref().map(|(followed, _)| followed.as_str())
    }

    /// Records the aggregator of another zone.
    pub fn record_source(
        &mut self,
        zone: &str,
        source: &str,
        now: EpochMillis,
    ) {
        self.record_use(now);
        self.sources.insert(zone.to_owned(), (source.to_owned(), now));
    }

    /// Returns whether this host ranks high enough to take over.
    pub fn is_candidate(&self) -> bool {
        self.rank(&self.own) < CANDIDATES
    }

    /// Returns whether this host is to be the aggregator of its zone.
    pub fn leads(&self, now: EpochMillis) -> bool {
        let rank = self.rank(&self.own);
        let Some(lower) = rank.checked_sub(1) else { return true };
        if CANDIDATES <= rank {
            return false;
        }
        let patience = FOLLOW_TIMEOUT + RANK_DELAY * lower as u32;
        let quiet_since = match &self.followed {
            Some((followed, at)) if self.rank(followed) < rank => *at,
            // Follows itself or one that ranks lower.
            Some(_) => return true,
            None => self.started_at,
        };
        quiet_since.after(patience) <= now
    }

    /// Returns the other hosts of the zone that need this host's digest: the
    /// aggregator that it follows and those that may take over.
    pub fn targets(&self, now: EpochMillis) -> Vec<&str> {
        let mut targets = self.best(&self.own_zone, STANDBYS);
        if let Some((followed, at)) = &self.followed
            && now < at.after(FOLLOW_TIMEOUT)
            && !targets.contains(&followed.as_str())
        {
            targets.push(followed);
        }
        targets.retain(|host| *host != self.own);
        targets
    }

    /// Returns the hosts that pass a message on to a zone: its aggregator if
    /// it was heard lately, or else those that may be it.
    pub fn carriers(&self, zone: &str, now: EpochMillis) -> Vec<&str> {
        let heard = if zone == self.own_zone {
            self.followed.as_ref()
        } else {
            self.sources.get(zone)
        };
        let heard = heard.filter(|(_, at)| now < at.after(FOLLOW_TIMEOUT));
        match heard {
            Some((source, _)) => vec![source.as_str()],
            None => self.best(zone, STANDBYS),
        }
    }

    /// Iterates over the zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.ranked.keys().map(String::as_str)
    }

    fn best(&self, zone: &str, count: usize) -> Vec<&str> {
        let ranked = self.ranked.get(zone).map_or(&[][..], Vec::as_slice);
        ranked.iter().take(count).map(String::as_str).collect()
    }

    /// Returns the rank of a host of this zone, from 0; hosts that aren't
    /// ranked come last.
    fn rank(&self, host: &str) -> usize {
        let Some(ranked) = self.ranked.get(&self.own_zone) else {
            return usize::MAX;
        };
        let found = ranked.iter().position(|name| name == host);
        found.unwrap_or(usize::MAX)
    }
}
