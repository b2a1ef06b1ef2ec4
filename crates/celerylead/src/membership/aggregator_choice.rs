//! Choice of the aggregator that a host follows.
//!
//! Every host ranks the hosts of each zone by the same rule, so that they agree
//! without a message. They disagree while they know different hosts or hear
//! different ones; a host then follows the best one of those that it hears.
//!
//! A host may be absent according to one aggregator only because it follows
//! another one. Absent hosts are therefore passed over when someone has to take
//! over, but keep their rank, and are sent digests as long as they are listed: or
//! two halves of a zone would each take the other half for gone, for good.

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
    /// Whether the followed aggregator doesn't hear it.
    pub is_absent: bool,
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
///     is_absent: false,
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
    /// Hosts of each zone, best first, each with whether it is absent.
    ranked: SortedTable<String, Vec<(String, bool)>>,
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

    /// Replaces the hosts that can be aggregators: this one, and all others that
    /// are listed.
    pub fn set_candidates<'a>(
        &mut self,
        candidates: impl Iterator<Item = AggregatorCandidate<'a>>,
    ) {
        type Ranked<'a> = (u32, u64, &'a str, bool);
        let mut zones: SortedTable<&str, Vec<Ranked<'_>>> =
            SortedTable::default();
        self.hosts = 0;
        for candidate in candidates {
            let AggregatorCandidate { host, zone, core_permille, is_absent } =
                candidate;
            self.hosts += 1;
            let weight = rendezvous_weight(host, AGGREGATOR_ROLE);
            let hosts = zones.entry(zone, Vec::new);
            hosts.push((core_permille, weight, host, is_absent));
        }
        self.ranked = SortedTable::default();
        for (zone, hosts) in zones.iter_mut() {
            hosts.sort_unstable_by(|one, other| other.cmp(one));
            let ranked = hosts.iter().map(|(_, _, host, is_absent)| {
                ((*host).to_owned(), *is_absent)
            });
            self.ranked.insert((*zone).to_owned(), ranked.collect());
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
        self.present_rank() < CANDIDATES
    }

    /// Returns whether this host is to be the aggregator of its zone.
    pub fn leads(&self, now: EpochMillis) -> bool {
        let rank = self.present_rank();
        if CANDIDATES <= rank {
            return false;
        }
        let better = self.followed.as_ref();
        let better = better.filter(|(followed, _)| {
            self.rank(followed) < self.rank(&self.own)
        });
        let quiet_since = match better {
            Some((_, heard_at)) => *heard_at,
            // Follows itself or one that ranks lower.
            None if self.followed.is_some() || rank == 0 => return true,
            None => self.started_at,
        };
        let lower = rank.saturating_sub(1) as u32;
        let patience = FOLLOW_TIMEOUT + RANK_DELAY * lower;
        quiet_since.after(patience) <= now
    }

    /// Returns the other hosts of the zone that need this host's digest: the
    /// aggregator that it follows and those that may take over.
    pub fn targets(&self, now: EpochMillis) -> Vec<&str> {
        let mut targets = self.successors(&self.own_zone);
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
            None => self.successors(zone),
        }
    }

    /// Iterates over the zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.ranked.keys().map(String::as_str)
    }

    /// Returns the hosts of a zone that may be its aggregator: the best ones that
    /// aren't absent, and the best ones of all.
    fn successors(&self, zone: &str) -> Vec<&str> {
        let listed = self.hosts_of(zone).iter();
        let present = listed.clone().filter(|(_, is_absent)| !is_absent);
        let mut hosts: Vec<&str> = Vec::new();
        for (host, _) in present.take(STANDBYS).chain(listed.take(STANDBYS)) {
            if !hosts.contains(&host.as_str()) {
                hosts.push(host);
            }
        }
        hosts
    }

    fn hosts_of(&self, zone: &str) -> &[(String, bool)] {
        self.ranked.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the rank of a host of this zone, from 0; hosts that aren't
    /// listed come last.
    fn rank(&self, host: &str) -> usize {
        let listed = self.hosts_of(&self.own_zone).iter();
        let found = listed.enumerate().find(|(_, (name, _))| name == host);
        found.map_or(usize::MAX, |(rank, _)| rank)
    }

    /// Returns the rank of this host among those of its zone that aren't absent.
    fn present_rank(&self) -> usize {
        let listed = self.hosts_of(&self.own_zone).iter();
        let mut present =
            listed.filter(|(host, is_absent)| !is_absent || *host == self.own);
        let found = present.position(|(host, _)| *host == self.own);
        found.unwrap_or(usize::MAX)
    }
}
