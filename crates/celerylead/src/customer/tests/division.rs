//! Property test of the division of a rate among hosts, under random
//! interleavings of delayed reads, failed compare-and-set writes, clock skew,
//! process pauses, crashes, grants and changes of the rate. No two hosts may
//! use the same part, the parts may not exceed the whole, and no window may
//! admit more tokens than the rate and the burst allow.

use std::time::Duration;

use proptest::prelude::{
    Just, Strategy, prop, prop_assert, prop_oneof, proptest,
};

use crate::{
    clock::{ClockBound, EpochMillis, MAX_CLOCK_SKEW},
    customer::{
        ShareLimiter,
        share::{
            PartKind, ShareClaimant, ShareRow, ShareTarget, WHOLE_PPM,
            ZoneLeases,
        },
    },
    membership::{HostLease, HostTag, LeasePhase},
    settings::{SettingsTree, parse},
};

const TTL: Duration = Duration::from_millis(4_000);
const STANDING_HOLD: Duration = Duration::from_millis(30_000);
/// Upper bound of the time between a grant and its use.
const MAX_GRANT_DELAY_MS: u64 = 500;
const ZONES: [&str; 3] = ["kgn", "kgn", "spt"];
const BURST: u64 = 1_000;
const RATES: [u64; 2] = [100, 200];

/// One step of a simulation. A host is given by its index in [`ZONES`].
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A host writes its lease row.
    Renew(usize),
    /// A host reads the table; the result hasn't arrived yet.
    Read(usize),
    /// The result of the read arrives, and the host writes its claim.
    Claim(usize),
    /// A host takes tokens for a request.
    Charge(usize, u64),
    /// A host takes all tokens that it can.
    TakeAll(usize),
    /// The first host requests tokens from the second one, and spends the
    /// grant after this many milliseconds.
    RequestGrant(usize, usize, u64, u64),
    /// A holder settles its grants that were spent by now.
    Settle(usize),
    /// A host's process stops running for a while.
    Pause(usize),
    Resume(usize),
    /// A host's process crashes, and a new process starts in its place.
    Restart(usize),
    /// A host releases its lease.
    Release(usize),
    /// A host adopts the settings with this index.
    Adopt(usize, usize),
}

/// Rows that a host read from the table.
#[derive(Clone)]
struct Reading {
    from: EpochMillis,
    row: Option<ShareRow>,
    row_version: u64,
    leases: Vec<Option<(HostLease, u64)>>,
}

struct Host {
    /// Offset of the host's clock from true time, in milliseconds.
    offset: i64,
    nonce: u64,
    paused: bool,
    limiter: ShareLimiter,
    target: ShareTarget,
    reading: Option<Reading>,
}

impl Host {
    fn bound(&self, now: u64) -> ClockBound {
        bound(now, self.offset)
    }
}

struct Simulation {
    now: u64,
    row: Option<ShareRow>,
    row_version: u64,
    leases: Vec<Option<(HostLease, u64)>>,
    hosts: Vec<Host>,
    trees: Vec<SettingsTree>,
    /// Times in milliseconds and numbers of tokens admitted.
    admitted: Vec<(u64, u64)>,
    /// Grants that their holders haven't settled yet.
    unsettled: Vec<UnsettledGrant>,
    last_version: u64,
    /// Rule that the simulation breaks on purpose, so that its check fails.
    broken_rule: BrokenRule,
}

/// A grant that its holder hasn't settled yet.
#[derive(Clone, Copy)]
struct UnsettledGrant {
    holder: usize,
    kind: PartKind,
    tokens: u64,
    at: u64,
}

/// A rule that a simulation breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    None,
    /// Claims don't wait until the holder's lease has lapsed.
    EarlyClaim,
    /// A part that was taken over starts with a full bucket.
    FullTakeover,
}

impl Simulation {
    fn new(offsets: &[i64], broken_rule: BrokenRule) -> Simulation {
        let trees: Vec<SettingsTree> =
            RATES.iter().map(|r| tree(*r)).collect();
        let hosts = offsets
            .iter()
            .zip(ZONES)
            .enumerate()
            .map(|(index, (offset, zone))| {
                let mut limiter = ShareLimiter::new(zone);
                let bound = bound(10_000, *offset);
                limiter.adopt(&trees[0], bound);
                Host {
                    offset: *offset,
                    nonce: index as u64,
                    paused: false,
                    limiter,
                    target: target(),
                    reading: None,
                }
            })
            .collect();
        Simulation {
            now: 10_000,
            row: None,
            row_version: 0,
            leases: vec![None; ZONES.len()],
            hosts,
            trees,
            admitted: Vec::new(),
            unsettled: Vec::new(),
            last_version: 0,
            broken_rule,
        }
    }

    fn step(&mut self, step: FleetStep) {
        match step {
            FleetStep::Wait(millis) => self.wait(millis),
            FleetStep::Resume(index) => self.hosts[index].paused = false,
            FleetStep::Pause(index) => self.hosts[index].paused = true,
            FleetStep::Restart(index) => self.restart(index),
            FleetStep::Renew(index) if self.runs(index) => self.renew(index),
            FleetStep::Read(index) if self.runs(index) => self.read(index),
            FleetStep::Claim(index) if self.runs(index) => self.claim(index),
            FleetStep::TakeAll(index) if self.runs(index) => {
                self.charge(index, BURST);
            }
            FleetStep::Charge(index, tokens) if self.runs(index) => {
                self.charge(index, tokens);
            }
            FleetStep::RequestGrant(asker, holder, tokens, delay)
                if self.runs(asker) && self.runs(holder) =>
            {
                self.request_grant(holder, tokens, delay);
            }
            FleetStep::Settle(index) if self.runs(index) => self.settle(index),
            FleetStep::Release(index) if self.runs(index) => {
                self.release(index);
            }
            FleetStep::Adopt(index, tree) if self.runs(index) => {
                let bound = self.bound(index);
                let tree = self.trees[tree].clone();
                self.hosts[index].limiter.adopt(&tree, bound);
            }
            _ => {}
        }
    }

    fn runs(&self, index: usize) -> bool {
        !self.hosts[index].paused
    }

    fn bound(&self, index: usize) -> ClockBound {
        bound(self.now, self.hosts[index].offset)
    }

    /// Advances the time; processes that aren't paused tick every 500 ms.
    fn wait(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 500);
            for index in 0..self.hosts.len() {
                let clock = self.bound(index).latest;
                let host = &mut self.hosts[index];
                if !host.paused {
                    host.limiter.tick(clock.before(MAX_CLOCK_SKEW));
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.last_version += 1;
        let host = &mut self.hosts[index];
        host.limiter = ShareLimiter::new(ZONES[index]);
        host.limiter.adopt(&self.trees[0], bound(self.now, host.offset));
        host.nonce = 100 + self.last_version;
        host.paused = false;
        host.reading = None;
    }

    fn renew(&mut self, index: usize) {
        let bound = self.bound(index);
        let nonce = self.hosts[index].nonce;
        let incarnation = match &self.leases[index] {
            None => 1,
            Some((lease, _)) if lease.nonce == nonce => lease.tag.incarnation,
            Some((lease, _)) if lease.has_lapsed(bound) => {
                lease.tag.incarnation + 1
            }
            Some(_) => return,
        };
        let released =
            self.leases[index].as_ref().is_some_and(|(lease, _)| {
                lease.nonce == nonce && lease.phase == LeasePhase::Released
            });
        if released {
            return;
        }
        let deadline = bound.earliest.after(TTL);
        let lease = HostLease {
            tag: HostTag { host: host_name(index), incarnation },
            nonce,
            zone: ZONES[index].to_owned(),
            peer_address: host_name(index),
            deadline,
            standing_deadline: deadline.after(STANDING_HOLD),
            revision: 1,
            phase: LeasePhase::Serving,
            demand: Default::default(),
        };
        self.last_version += 1;
        self.leases[index] = Some((lease, self.last_version));
    }

    fn read(&mut self, index: usize) {
        let from = self.bound(index).earliest.after(MAX_CLOCK_SKEW);
        self.hosts[index].reading = Some(Reading {
            from,
            row: self.row.clone(),
            row_version: self.row_version,
            leases: self.leases.clone(),
        });
    }

    fn claim(&mut self, index: usize) {
        let Some(reading) = self.hosts[index].reading.take() else { return };
        let bound = self.bound(index);
        let host = &mut self.hosts[index];
        let own = reading.leases[index].as_ref().map(|(lease, _)| lease);
        let own = own.filter(|lease| lease.nonce == host.nonce).cloned();
        let rows: Vec<ShareRow> = reading.row.iter().cloned().collect();
        host.limiter.confirm(own.as_ref(), reading.from, &rows, bound);
        let Some(own) = own.filter(|own| own.is_live(bound)) else { return };
        let (first, row) = match &reading.row {
            Some(row) => (false, row.clone()),
            None => (true, ShareRow::initial("parish", &host.target)),
        };
        let claimant = ShareClaimant {
            tag: &own.tag,
            zone: ZONES[index],
            address: &own.peer_address,
        };
        let mut leases = ZoneLeases::default();
        for (other, lease) in reading.leases.iter().enumerate() {
            let Some((lease, _)) = lease else { continue };
            if ZONES[other] != ZONES[index] {
                continue;
            }
            let mut lease = lease.clone();
            if self.broken_rule == BrokenRule::EarlyClaim && other != index {
                lease.phase = LeasePhase::Released;
            }
            leases.insert(host_name(other), lease);
        }
        let claim = row.claim(&claimant, &host.target, &leases, bound);
        let written = match claim {
            Some(claim) => claim.row,
            None if first => row,
            None => return,
        };
        self.commit(index, &reading, written);
    }

    /// Writes a row if no row that it depends on changed since the read.
    fn commit(&mut self, index: usize, reading: &Reading, row: ShareRow) {
        let version = |lease: &Option<(HostLease, u64)>| {
            lease.as_ref().map_or(0, |(_, version)| *version)
        };
        let changed = (0..self.leases.len()).any(|other| {
            ZONES[other] == ZONES[index]
                && version(&self.leases[other])
                    != version(&reading.leases[other])
        });
        if changed || self.row_version != reading.row_version {
            return;
        }
        let mut row = row;
        if self.broken_rule == BrokenRule::FullTakeover {
            row.parts.iter_mut().for_each(|part| part.fresh = true);
        }
        self.last_version += 1;
        self.row_version = self.last_version;
        self.row = Some(row);
    }

    fn charge(&mut self, index: usize, tokens: u64) {
        let bound = self.bound(index);
        let limiter = &mut self.hosts[index].limiter;
        if let Ok(taken) = limiter.take("parish", tokens, bound) {
            self.admitted.push((self.now, taken.total()));
        }
    }

    fn request_grant(&mut self, holder: usize, tokens: u64, delay: u64) {
        let bound = self.bound(holder);
        let limiter = &mut self.hosts[holder].limiter;
        let granted = limiter.grant("parish", tokens, bound);
        let at = self.now + delay;
        self.admitted.push((at, granted.total()));
        for (kind, tokens) in granted.by_kind() {
            self.unsettled.push(UnsettledGrant { holder, kind, tokens, at });
        }
    }

    fn settle(&mut self, index: usize) {
        let bound = self.bound(index);
        let now = self.now;
        let limiter = &mut self.hosts[index].limiter;
        self.unsettled.retain(|grant| {
            if grant.holder != index || now < grant.at {
                return true;
            }
            let UnsettledGrant { kind, tokens, .. } = *grant;
            limiter.settle_grant("parish", kind, tokens, 0, bound);
            false
        });
    }

    /// A host releases its lease and hands its parts over, in one write.
    fn release(&mut self, index: usize) {
        let bound = self.bound(index);
        let balances = self.hosts[index].limiter.give_up(bound);
        let nonce = self.hosts[index].nonce;
        let own = self.leases[index].as_ref().map(|(lease, _)| lease);
        let own = own.filter(|lease| lease.nonce == nonce);
        if let (Some(own), Some(row)) = (own, &self.row) {
            let mut leases = ZoneLeases::default();
            for (other, lease) in self.leases.iter().enumerate() {
                if let Some((lease, _)) = lease
                    && ZONES[other] == ZONES[index]
                {
                    leases.insert(host_name(other), lease.clone());
                }
            }
            if let Some(claim) = row.hand_over(&own.tag, &leases, bound) {
                for (other, host) in self.hosts.iter_mut().enumerate() {
                    let Some((lease, _)) = &self.leases[other] else {
                        continue;
                    };
                    let given = balances.iter().filter(|balance| {
                        claim.gives(balance, ZONES[index], &lease.tag)
                    });
                    let given: Vec<_> = given.cloned().collect();
                    // A paused process reads the message when it resumes.
                    if !host.paused && lease.nonce == host.nonce {
                        host.limiter.inherit(&given, host.bound(self.now));
                    }
                }
                self.last_version += 1;
                self.row_version = self.last_version;
                self.row = Some(claim.row);
            }
        }
        self.last_version += 1;
        let version = self.last_version;
        if let Some((lease, row_version)) = &mut self.leases[index]
            && lease.nonce == nonce
        {
            lease.phase = LeasePhase::Released;
            *row_version = version;
        }
    }

    /// Returns a part that two hosts would use now. Paused hosts count, as
    /// they could resume at this moment.
    fn contested_part(&self) -> Option<(&'static str, PartKind)> {
        let mut used: Vec<(&'static str, PartKind)> = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let bound = self.bound(index);
            for kind in host.limiter.usable_parts("parish", bound) {
                let part = (ZONES[index], kind);
                if used.contains(&part) {
                    return Some(part);
                }
                used.push(part);
            }
        }
        None
    }

    /// Returns the length in milliseconds and the admitted tokens of a window
    /// that exceeds the rate and the burst.
    fn exceeded_window(&self) -> Option<(u64, u64)> {
        let rate = RATES.into_iter().max().unwrap();
        let mut admitted = self.admitted.clone();
        admitted.sort_unstable();
        for (first, (start, _)) in admitted.iter().enumerate() {
            let mut sum = 0;
            for (at, tokens) in &admitted[first..] {
                sum += tokens;
                let window = at - start;
                if BURST * 1_000 + rate * window < sum * 1_000 {
                    return Some((window, sum));
                }
            }
        }
        None
    }
}

fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn bound(now: u64, offset: i64) -> ClockBound {
    ClockBound::around(EpochMillis(now.saturating_add_signed(offset)))
}

fn target() -> ShareTarget {
    let zones = vec!["kgn".to_owned(), "spt".to_owned()];
    ShareTarget { zones, standing_percent: 50 }
}

fn tree(rate: u64) -> SettingsTree {
    let text = format!(
        "[[region]]\nname = \"jm-south\"\n\
         [[zone]]\nname = \"kgn\"\nregion = \"jm-south\"\n\
         [[zone]]\nname = \"spt\"\nregion = \"jm-south\"\n\
         [[customer]]\nname = \"parish\"\n\
         set = {{ rate = {rate}, burst = {BURST} }}\n"
    );
    parse(&text).unwrap()
}

fn steps() -> impl Strategy<Value = Vec<FleetStep>> {
    let host = 0..ZONES.len();
    let step = prop_oneof![
        4 => (1_u64..800).prop_map(FleetStep::Wait),
        1 => prop_oneof![Just(5_000_u64), Just(36_000)]
            .prop_map(FleetStep::Wait),
        4 => host.clone().prop_map(FleetStep::Renew),
        5 => host.clone().prop_map(FleetStep::Read),
        6 => host.clone().prop_map(FleetStep::Claim),
        4 => host.clone().prop_map(FleetStep::TakeAll),
        4 => (host.clone(), 1_u64..600)
            .prop_map(|(host, tokens)| FleetStep::Charge(host, tokens)),
        3 => (
            host.clone(),
            host.clone(),
            1_u64..600,
            0..MAX_GRANT_DELAY_MS,
        )
            .prop_map(|(asker, holder, tokens, delay)| {
                FleetStep::RequestGrant(asker, holder, tokens, delay)
            }),
        2 => host.clone().prop_map(FleetStep::Settle),
        1 => host.clone().prop_map(FleetStep::Pause),
        2 => host.clone().prop_map(FleetStep::Resume),
        1 => host.clone().prop_map(FleetStep::Restart),
        1 => host.clone().prop_map(FleetStep::Release),
        1 => (host, 0..RATES.len())
            .prop_map(|(host, tree)| FleetStep::Adopt(host, tree)),
    ];
    prop::collection::vec(step, 1..300)
}

fn offsets() -> impl Strategy<Value = Vec<i64>> {
    let skew = i64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap();
    prop::collection::vec(-skew..=skew, ZONES.len())
}

/// Runs a simulation and describes the first violated property, if any.
fn violation(
    offsets: &[i64],
    steps: &[FleetStep],
    broken_rule: BrokenRule,
) -> Option<String> {
    let mut simulation = Simulation::new(offsets, broken_rule);
    for step in steps {
        simulation.step(*step);
        if simulation.row.as_ref().is_some_and(|row| WHOLE_PPM < row.sum()) {
            return Some("the sum of the parts exceeds the whole".to_owned());
        }
        if let Some(part) = simulation.contested_part() {
            return Some(format!(
                "two hosts use part {part:?} after {step:?}"
            ));
        }
    }
    let (window, tokens) = simulation.exceeded_window()?;
    Some(format!("{tokens} tokens were admitted in {window} ms"))
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..Default::default()
    })]

    #[test]
    fn parts_never_exceed_the_whole(offsets in offsets(), steps in steps()) {
        let violation = violation(&offsets, &steps, BrokenRule::None);
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}

/// Steps that are safe, but that violate a property once a rule is broken.
struct BrokenRuleCase {
    broken_rule: BrokenRule,
    steps: &'static [FleetStep],
}

#[test]
fn broken_rules_are_detected() {
    use FleetStep::{Claim, Read, Release, Renew, TakeAll};
    let cases = [
        BrokenRuleCase {
            broken_rule: BrokenRule::EarlyClaim,
            steps: &[
                Renew(0),
                Read(0),
                Claim(0),
                Read(0),
                Claim(0),
                Renew(1),
                Read(1),
                Claim(1),
                Read(1),
                Claim(1),
            ],
        },
        BrokenRuleCase {
            broken_rule: BrokenRule::FullTakeover,
            steps: &[
                Renew(0),
                Renew(2),
                Read(0),
                Claim(0),
                Read(2),
                Claim(2),
                Read(0),
                Claim(0),
                Read(2),
                Claim(2),
                TakeAll(0),
                TakeAll(2),
                Release(0),
                Renew(1),
                Read(1),
                Claim(1),
                Read(1),
                Claim(1),
                TakeAll(1),
            ],
        },
    ];
    for case in cases {
        let found =
            |broken_rule| violation(&[0, 0, 0], case.steps, broken_rule);
        assert_eq!(found(BrokenRule::None), None);
        assert!(found(case.broken_rule).is_some(), "{:?}", case.broken_rule);
    }
}
