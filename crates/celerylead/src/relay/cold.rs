//! Division of what a cold runner tolerates among the hosts.
//!
//! A cold runner crashes when it gets more calls in a second than a bound that
//! holds over all hosts. No host coordinates them. Each runner has one owner
//! among the hosts of its zone, by rendezvous hashing, and only the owner
//! sends it calls. Hosts that know different neighbours may disagree on the
//! owner, therefore:
//!
//! * An owner sends at most half of the bound in a second, so that two may
//!   send at a time.
//! * A host takes a runner over only when it hasn't heard the hosts before it
//!   for the contact time, and gives it up as soon as it hears one of them.
//! * A host that hears half of its zone or less sends in proportion to the
//!   part that it hears: the shares of separated parts of a zone add up to
//!   the bound at the most.
//! * A host sends nothing for the contact time after its start, after it
//!   resumed from a pause, and after it lost or regained the contact with its
//!   zone.

use std::time::Duration;

use crate::{
    catalog::ColdSpec, clock::EpochMillis, customer::HostLiveness,
    membership::rendezvous_weight, sorted::SortedTable,
};

/// Period over which the calls of an owner are counted. The platform counts
/// over a second; the rest covers calls that reach the runner closer together
/// than they were chosen.
pub(super) const WINDOW: Duration = Duration::from_millis(1_100);
/// Longest time from the choice of a cold runner to the write of the call.
pub(super) const SEND_MARGIN: Duration = Duration::from_millis(100);
/// Silence of a host from which it doesn't count as heard. Hosts of a zone
/// report every 200 ms, through an aggregator up to 400 ms late.
const HEARD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two observations from which the process counts as paused. The
/// router observes at least every 200 ms.
const PAUSE_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after which a host that just resumed looks again.
const PAUSE_RETRY: Duration = Duration::from_millis(100);

/// Bounds on the calls that reach a cold runner, as the platform sets them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{catalog::ColdSpec, relay::ColdBounds};
///
/// let bounds = ColdBounds {
///     overshoot: 1.5,
///     slack: 5.0,
///     contact: Duration::from_secs(3),
/// };
/// let spec = ColdSpec { span_ms: 3_000, per_second: 18.0 };
/// assert_eq!(bounds.in_a_second(&spec), 32);
/// assert_eq!(bounds.owner_limit(&spec), 16);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdBounds {
    /// Factor on the calls per second that a cold runner tolerates.
    pub overshoot: f64,
    /// Calls in a second that are allowed beyond that product.
    pub slack: f64,
    /// Time for which a host sends nothing to cold runners after its start, a
    /// pause or a partition.
    pub contact: Duration,
}

impl ColdBounds {
    /// Returns the number of calls in a second, from all hosts, that a cold
    /// runner may get.
    pub fn in_a_second(&self, spec: &ColdSpec) -> u32 {
        (spec.per_second * self.overshoot + self.slack) as u32
    }

    /// Returns the number of calls that its owner sends a cold runner within
    /// the counted period: half of the bound, but no more than the runner tolerates.
    pub fn owner_limit(&self, spec: &ColdSpec) -> u32 {
        let tolerated = spec.per_second * WINDOW.as_secs_f64();
        let half = self.in_a_second(spec) / 2;
        half.min((tolerated as u32).max(1))
    }
}

/// What a host knows of the hosts with which it divides the cold runners.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdDivision {
    host: String,
    zone: String,
    bounds: ColdBounds,
    /// Zone of each other host.
    zones: SortedTable<String, String>,
    /// Number of changes of `zones`.
    revision: u64,
    /// Whether the list of hosts is known.
    is_listed: bool,
    /// Hosts of the own zone that are heard and that are known, including
    /// this one, at the last observation.
    view: Option<HostView>,
    quiet_until: EpochMillis,
    observed_at: EpochMillis,
}

/// How many hosts are heard, of those that are known; both include this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostView {
    heard: u32,
    known: u32,
}

impl HostView {
    /// Returns whether more than half of the hosts are heard.
    fn has_contact(self) -> bool {
        self.known <= 1 || self.known < 2 * self.heard
    }
}

impl ColdDivision {
    pub(super) fn new(
        host: &str,
        zone: &str,
        bounds: ColdBounds,
    ) -> ColdDivision {
        ColdDivision {
            host: host.to_owned(),
            zone: zone.to_owned(),
            bounds,
            ..ColdDivision::default()
        }
    }

    pub(super) fn bounds(&self) -> &ColdBounds {
        &self.bounds
    }

    /// Returns the time of the last observation.
    pub(super) fn observed_at(&self) -> EpochMillis {
        self.observed_at
    }

    /// Adds another host.
    pub(super) fn add_host(&mut self, host: &str, zone: &str) {
        self.zones.insert(host.to_owned(), zone.to_owned());
        self.revision += 1;
    }

    /// Removes a host that is gone for good.
    pub(super) fn remove_host(&mut self, host: &str) {
        self.zones.remove(host);
        self.revision += 1;
    }

    /// Records that the list of hosts was read. Before the first reading a
    /// host can't tell whether it is alone.
    pub(super) fn note_listed(&mut self, now: EpochMillis) {
        if !self.is_listed {
            self.is_listed = true;
            self.quiet_until = now.after(self.bounds.contact);
        }
    }

    /// Takes in which hosts are heard at `now`, and whether this process was
    /// paused since the last observation.
    pub(super) fn observe(
        &mut self,
        liveness: &HostLiveness,
        now: EpochMillis,
    ) {
        let paused = self.observed_at.after(PAUSE_LIMIT) < now;
        self.observed_at = self.observed_at.max(now);
        let view = self.view_of(|zone| zone == self.zone, liveness, now);
        let former = self.view.replace(view);
        let changed = former.is_some_and(|former| {
            let kept = former.has_contact() && view.has_contact();
            former != view && !kept
        });
        if paused || changed {
            let until = now.after(self.bounds.contact);
            self.quiet_until = self.quiet_until.max(until);
        }
    }

    /// Counts the hosts of the zones that `includes` names, with this one.
    fn view_of(
        &self,
        includes: impl Fn(&str) -> bool,
        liveness: &HostLiveness,
        now: EpochMillis,
    ) -> HostView {
        let mut view = HostView { heard: 1, known: 1 };
        for (host, zone) in self.zones.iter() {
            if includes(zone) {
                let heard = liveness.is_heard(host, HEARD_TIMEOUT, now);
                view.heard += u32::from(heard);
                view.known += 1;
            }
        }
        view
    }

    /// Returns the time from which cold runners may be sent calls, if that is
    /// after `now`.
    fn quiet_end(&self, now: EpochMillis) -> Option<EpochMillis> {
        if !self.is_listed {
            return Some(EpochMillis(u64::MAX));
        }
        if self.observed_at.after(PAUSE_LIMIT) < now {
            return Some(now.after(PAUSE_RETRY));
        }
        (now < self.quiet_until).then_some(self.quiet_until)
    }

    /// Returns the hosts that come before this one as the owner of a runner;
    /// `None` if this host can't be its owner. A zone without any host leaves
    /// its runners to all hosts.
    fn rivals(&self, runner: &str, zone: &str) -> Option<Vec<String>> {
        let is_own = zone == self.zone;
        if !is_own && self.has_hosts(zone) {
            return None;
        }
        let rank = |host| (rendezvous_weight(host, runner), host);
        let own = rank(self.host.as_str());
        let hosts = self.zones.iter().filter(|(_, of)| !is_own || *of == zone);
        let before = hosts.filter(|(host, _)| own < rank(host.as_str()));
        Some(before.map(|(host, _)| host.clone()).collect())
    }

    fn has_hosts(&self, zone: &str) -> bool {
        self.zones.values().any(|known| known == zone)
    }
}

/// What a host may send to one cold runner.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdGate {
    /// Calls that this host may send within [`WINDOW`]; 0 if it isn't the
    /// owner.
    share: u32,
    /// Times of the calls of the last [`WINDOW`].
    sends: Vec<EpochMillis>,
    /// Hosts that come before this one, as of a revision of the hosts.
    rivals: Option<(u64, Option<Vec<String>>)>,
    /// Whether the runner was sent calls without a bound up to now.
    was_warm: bool,
    /// Time until which such calls may still arrive.
    rest_until: EpochMillis,
}

impl ColdGate {
    /// Creates the gate of a runner that all hosts took for warm before.
    pub(super) fn after_warmth() -> ColdGate {
        ColdGate { was_warm: true, ..ColdGate::default() }
    }

    /// Returns whether this host is the owner of the runner.
    pub(super) fn is_open(&self) -> bool {
        0 < self.share
    }

    /// Determines this host's share of the calls to a runner.
    pub(super) fn refresh(
        &mut self,
        (runner, zone): (&str, &str),
        limits: (u32, u32),
        division: &ColdDivision,
        liveness: &HostLiveness,
        now: EpochMillis,
    ) {
        if std::mem::take(&mut self.was_warm) {
            self.rest_until = now.after(WINDOW);
        }
        let revision = division.revision;
        if self.rivals.as_ref().is_none_or(|(of, _)| *of != revision) {
            self.rivals = Some((revision, division.rivals(runner, zone)));
        }
        let contact = division.bounds.contact;
        let rivals =
            self.rivals.as_ref().and_then(|(_, found)| found.as_ref());
        let is_owner = rivals.is_some_and(|rivals| {
            let mut rivals = rivals.iter();
            !rivals.any(|host| liveness.is_heard(host, contact, now))
        });
        let (owner_limit, bound) = limits;
        self.share = match (is_owner, zone == division.zone) {
            (false, _) => 0,
            (true, true) => {
                let view =
                    division.view.unwrap_or(HostView { heard: 0, known: 1 });
                owner_limit.min(bound * view.heard / view.known)
            }
            (true, false) => {
                let view = division.view_of(|_| true, liveness, now);
                if view.has_contact() { owner_limit } else { 0 }
            }
        };
    }

    /// Returns whether a call may be sent at `now`.
    ///
    /// # Errors
    ///
    /// Returns the time from which to ask again.
    pub(super) fn admit(
        &self,
        division: &ColdDivision,
        now: EpochMillis,
    ) -> Result<(), EpochMillis> {
        if let Some(end) = division.quiet_end(now) {
            return Err(end);
        }
        if self.was_warm {
            return Err(now.after(WINDOW));
        }
        if !self.is_open() {
            return Err(EpochMillis(u64::MAX));
        }
        if now < self.rest_until {
            return Err(self.rest_until);
        }
        let recent = self.sends.iter().filter(|at| now < at.after(WINDOW));
        let count = recent.clone().count();
        let surplus = count.saturating_sub(self.share as usize);
        if count < self.share as usize {
            return Ok(());
        }
        let next = recent.map(|at| at.after(WINDOW)).nth(surplus);
        Err(next.unwrap_or(now))
    }

    /// Counts a call that is sent at `now`.
    pub(super) fn record(&mut self, now: EpochMillis) {
        self.sends.retain(|at| now < at.after(WINDOW));
        self.sends.push(now);
    }
}
