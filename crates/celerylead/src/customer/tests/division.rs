//! The division of a rate, under random interleavings of everything that a
//! fleet may do: readings that arrive late, writes that lose a race, clocks
//! that differ, pauses, deaths, and rates that change.

use std::time::Duration;

use proptest::prelude::{
    Just, Strategy, prop, prop_assert, prop_oneof, proptest,
};

use crate::{
    clock::{ClockBound, EpochMillis, MAX_CLOCK_SKEW},
    customer::{
        ShareBook,
        share::{
            PartKind, ShareClaimant, ShareRow, ShareTarget, WHOLE_PPM,
            ZoneLeases,
        },
    },
    membership::{HostLease, HostTag, LeasePhase},
    settings::{SettingsTree, parse},
};

const TTL: Duration = Duration::from_millis(4_000);
const HOLD: Duration = Duration::from_millis(30_000);
/// Longest time between a grant and its use.
const GRANT_USE: u64 = 500;
const ZONES: [&str; 3] = ["kgn", "kgn", "spt"];
const BURST: u64 = 1_000;
const RATES: [u64; 2] = [100, 200];

/// One thing that happens. Hosts are numbered as their zones.
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    Wait(u64),
    /// A host writes its lease.
    Renew(usize),
    /// A host reads the table; the answer is on its way.
    Read(usize),
    /// The answer arrives, and the host writes what it claims.
    Arrive(usize),
    Charge(usize, u64),
    /// A host takes all that it can.
    Empty(usize),
    /// The first host asks the second, and spends after some milliseconds.
    Ask(usize, usize, u64, u64),
    /// A holder hears of the grants that were spent by now.
    Hear(usize),
    Freeze(usize),
    Wake(usize),
    /// The host's process dies and a new one starts in its place.
    Restart(usize),
    Release(usize),
    /// A host adopts one of the settings.
    Adopt(usize, usize),
}

/// What a host read.
#[derive(Clone)]
struct Reading {
    from: EpochMillis,
    row: Option<ShareRow>,
    row_version: u64,
    leases: Vec<Option<(HostLease, u64)>>,
}

struct Host {
    /// Difference of its clock from true time, in milliseconds.
    offset: i64,
    nonce: u64,
    frozen: bool,
    book: ShareBook,
    target: ShareTarget,
    reading: Option<Reading>,
}

struct World {
    now: u64,
    row: Option<ShareRow>,
    row_version: u64,
    leases: Vec<Option<(HostLease, u64)>>,
    hosts: Vec<Host>,
    trees: Vec<SettingsTree>,
    /// Tokens admitted, with their time.
    admitted: Vec<(u64, u64)>,
    /// Grants of which the holder hasn't heard that they are spent.
    spent: Vec<SpentGrant>,
    versions: u64,
    /// Breaks a rule on purpose, to see the check fail.
    reckless: Recklessness,
}

/// A grant on its way to be spent.
#[derive(Clone, Copy)]
struct SpentGrant {
    holder: usize,
    kind: PartKind,
    tokens: u64,
    at: u64,
}

/// A rule that a world doesn't keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recklessness {
    None,
    /// Claims don't wait until a lease has lapsed.
    EarlyClaim,
    /// A part that was taken over starts with its whole burst.
    FullTakeover,
}

impl World {
    fn new(offsets: &[i64], reckless: Recklessness) -> World {
        let trees: Vec<SettingsTree> =
            RATES.iter().map(|r| tree(*r)).collect();
        let hosts = offsets
            .iter()
            .zip(ZONES)
            .enumerate()
            .map(|(place, (offset, zone))| {
                let mut book = ShareBook::new(zone);
                let bound = bound(10_000, *offset);
                book.adopt(&trees[0], bound);
                Host {
                    offset: *offset,
                    nonce: place as u64,
                    frozen: false,
                    book,
                    target: target(),
                    reading: None,
                }
            })
            .collect();
        World {
            now: 10_000,
            row: None,
            row_version: 0,
            leases: vec![None; ZONES.len()],
            hosts,
            trees,
            admitted: Vec::new(),
            spent: Vec::new(),
            versions: 0,
            reckless,
        }
    }

    fn step(&mut self, step: FleetStep) {
        match step {
            FleetStep::Wait(millis) => self.wait(millis),
            FleetStep::Wake(place) => self.hosts[place].frozen = false,
            FleetStep::Freeze(place) => self.hosts[place].frozen = true,
            FleetStep::Restart(place) => self.restart(place),
            FleetStep::Renew(place) if self.runs(place) => self.renew(place),
            FleetStep::Read(place) if self.runs(place) => self.read(place),
            FleetStep::Arrive(place) if self.runs(place) => self.arrive(place),
            FleetStep::Empty(place) if self.runs(place) => {
                self.charge(place, BURST);
            }
            FleetStep::Charge(place, tokens) if self.runs(place) => {
                self.charge(place, tokens);
            }
            FleetStep::Ask(asker, holder, tokens, delay)
                if self.runs(asker) && self.runs(holder) =>
            {
                self.ask(holder, tokens, delay);
            }
            FleetStep::Hear(place) if self.runs(place) => self.hear(place),
            FleetStep::Release(place) if self.runs(place) => {
                self.release(place);
            }
            FleetStep::Adopt(place, tree) if self.runs(place) => {
                let bound = self.bound(place);
                let tree = self.trees[tree].clone();
                self.hosts[place].book.adopt(&tree, bound);
            }
            _ => {}
        }
    }

    fn runs(&self, place: usize) -> bool {
        !self.hosts[place].frozen
    }

    fn bound(&self, place: usize) -> ClockBound {
        bound(self.now, self.hosts[place].offset)
    }

    /// Time passes; the processes that run note it every half second.
    fn wait(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 500);
            for place in 0..self.hosts.len() {
                let clock = self.bound(place).latest;
                let host = &mut self.hosts[place];
                if !host.frozen {
                    host.book.tick(clock.before(MAX_CLOCK_SKEW));
                }
            }
        }
    }

    fn restart(&mut self, place: usize) {
        self.versions += 1;
        let host = &mut self.hosts[place];
        host.book = ShareBook::new(ZONES[place]);
        host.book.adopt(&self.trees[0], bound(self.now, host.offset));
        host.nonce = 100 + self.versions;
        host.frozen = false;
        host.reading = None;
    }

    fn renew(&mut self, place: usize) {
        let bound = self.bound(place);
        let nonce = self.hosts[place].nonce;
        let incarnation = match &self.leases[place] {
            None => 1,
            Some((lease, _)) if lease.nonce == nonce => lease.tag.incarnation,
            Some((lease, _)) if lease.has_lapsed(bound) => {
                lease.tag.incarnation + 1
            }
            Some(_) => return,
        };
        let released =
            self.leases[place].as_ref().is_some_and(|(lease, _)| {
                lease.nonce == nonce && lease.phase == LeasePhase::Released
            });
        if released {
            return;
        }
        let deadline = bound.earliest.after(TTL);
        let lease = HostLease {
            tag: HostTag { host: host_name(place), incarnation },
            nonce,
            zone: ZONES[place].to_owned(),
            peer_address: host_name(place),
            deadline,
            standing_deadline: deadline.after(HOLD),
            revision: 1,
            phase: LeasePhase::Serving,
            demand: Default::default(),
        };
        self.versions += 1;
        self.leases[place] = Some((lease, self.versions));
    }

    fn read(&mut self, place: usize) {
        let from = self.bound(place).earliest.after(MAX_CLOCK_SKEW);
        self.hosts[place].reading = Some(Reading {
            from,
            row: self.row.clone(),
            row_version: self.row_version,
            leases: self.leases.clone(),
        });
    }

    fn arrive(&mut self, place: usize) {
        let Some(reading) = self.hosts[place].reading.take() else { return };
        let bound = self.bound(place);
        let host = &mut self.hosts[place];
        let own = reading.leases[place].as_ref().map(|(lease, _)| lease);
        let own = own.filter(|lease| lease.nonce == host.nonce).cloned();
        let rows: Vec<ShareRow> = reading.row.iter().cloned().collect();
        host.book.confirm(own.as_ref(), reading.from, &rows, bound);
        let Some(own) = own.filter(|own| own.is_live(bound)) else { return };
        let (first, row) = match &reading.row {
            Some(row) => (false, row.clone()),
            None => (true, ShareRow::first("parish", &host.target)),
        };
        let claimant = ShareClaimant {
            tag: &own.tag,
            zone: ZONES[place],
            address: &own.peer_address,
        };
        let mut leases = ZoneLeases::default();
        for (other, lease) in reading.leases.iter().enumerate() {
            let Some((lease, _)) = lease else { continue };
            if ZONES[other] != ZONES[place] {
                continue;
            }
            let mut lease = lease.clone();
            if self.reckless == Recklessness::EarlyClaim && other != place {
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
        self.commit(place, &reading, written);
    }

    /// Writes a row if nothing that it depends on was written since.
    fn commit(&mut self, place: usize, reading: &Reading, row: ShareRow) {
        let version = |lease: &Option<(HostLease, u64)>| {
            lease.as_ref().map_or(0, |(_, version)| *version)
        };
        let changed = (0..self.leases.len()).any(|other| {
            ZONES[other] == ZONES[place]
                && version(&self.leases[other])
                    != version(&reading.leases[other])
        });
        if changed || self.row_version != reading.row_version {
            return;
        }
        let mut row = row;
        if self.reckless == Recklessness::FullTakeover {
            row.parts.iter_mut().for_each(|part| part.fresh = true);
        }
        self.versions += 1;
        self.row_version = self.versions;
        self.row = Some(row);
    }

    fn charge(&mut self, place: usize, tokens: u64) {
        let bound = self.bound(place);
        let book = &mut self.hosts[place].book;
        if let Ok(taken) = book.take("parish", tokens, bound) {
            self.admitted.push((self.now, taken.total()));
        }
    }

    fn ask(&mut self, holder: usize, tokens: u64, delay: u64) {
        let bound = self.bound(holder);
        let book = &mut self.hosts[holder].book;
        let granted = book.grant("parish", tokens, bound);
        let at = self.now + delay;
        self.admitted.push((at, granted.total()));
        for (kind, tokens) in granted.by_kind() {
            self.spent.push(SpentGrant { holder, kind, tokens, at });
        }
    }

    fn hear(&mut self, place: usize) {
        let bound = self.bound(place);
        let now = self.now;
        let book = &mut self.hosts[place].book;
        self.spent.retain(|grant| {
            if grant.holder != place || now < grant.at {
                return true;
            }
            let SpentGrant { kind, tokens, .. } = *grant;
            book.grant_ended("parish", kind, tokens, 0, bound);
            false
        });
    }

    fn release(&mut self, place: usize) {
        self.hosts[place].book.give_up();
        let nonce = self.hosts[place].nonce;
        self.versions += 1;
        let version = self.versions;
        if let Some((lease, held)) = &mut self.leases[place]
            && lease.nonce == nonce
        {
            lease.phase = LeasePhase::Released;
            *held = version;
        }
    }

    /// Returns a part that two hosts would use now, frozen ones included:
    /// they could wake at this moment.
    fn contested(&self) -> Option<(&'static str, PartKind)> {
        let mut used: Vec<(&'static str, PartKind)> = Vec::new();
        for (place, host) in self.hosts.iter().enumerate() {
            let bound = self.bound(place);
            for kind in host.book.usable_parts("parish", bound) {
                let part = (ZONES[place], kind);
                if used.contains(&part) {
                    return Some(part);
                }
                used.push(part);
            }
        }
        None
    }

    /// Returns a window in which more was admitted than rate and burst
    /// allow: its length and the tokens.
    fn excess(&self) -> Option<(u64, u64)> {
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

fn host_name(place: usize) -> String {
    format!("host-{place}")
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
        6 => host.clone().prop_map(FleetStep::Arrive),
        4 => host.clone().prop_map(FleetStep::Empty),
        4 => (host.clone(), 1_u64..600)
            .prop_map(|(host, tokens)| FleetStep::Charge(host, tokens)),
        3 => (host.clone(), host.clone(), 1_u64..600, 0..GRANT_USE).prop_map(
            |(asker, holder, tokens, delay)| {
                FleetStep::Ask(asker, holder, tokens, delay)
            }
        ),
        2 => host.clone().prop_map(FleetStep::Hear),
        1 => host.clone().prop_map(FleetStep::Freeze),
        2 => host.clone().prop_map(FleetStep::Wake),
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

/// Says what is wrong in a world after steps.
fn wrong(
    offsets: &[i64],
    steps: &[FleetStep],
    reckless: Recklessness,
) -> Option<String> {
    let mut world = World::new(offsets, reckless);
    for step in steps {
        world.step(*step);
        if world.row.as_ref().is_some_and(|row| WHOLE_PPM < row.sum()) {
            return Some("the parts exceed the whole".to_owned());
        }
        if let Some(part) = world.contested() {
            return Some(format!("two hosts use {part:?} after {step:?}"));
        }
    }
    let (window, tokens) = world.excess()?;
    Some(format!("{tokens} tokens in {window} ms"))
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
        let wrong = wrong(&offsets, &steps, Recklessness::None);
        prop_assert!(wrong.is_none(), "{wrong:?}");
    }
}

/// Steps that a careful fleet takes safely and a reckless one doesn't.
struct RecklessCase {
    reckless: Recklessness,
    steps: &'static [FleetStep],
}

#[test]
fn reckless_worlds_are_found_out() {
    use FleetStep::{Arrive, Empty, Read, Release, Renew};
    let cases = [
        RecklessCase {
            reckless: Recklessness::EarlyClaim,
            steps: &[
                Renew(0),
                Read(0),
                Arrive(0),
                Read(0),
                Arrive(0),
                Renew(1),
                Read(1),
                Arrive(1),
                Read(1),
                Arrive(1),
            ],
        },
        RecklessCase {
            reckless: Recklessness::FullTakeover,
            steps: &[
                Renew(0),
                Renew(2),
                Read(0),
                Arrive(0),
                Read(2),
                Arrive(2),
                Read(0),
                Arrive(0),
                Read(2),
                Arrive(2),
                Empty(0),
                Empty(2),
                Release(0),
                Renew(1),
                Read(1),
                Arrive(1),
                Read(1),
                Arrive(1),
                Empty(1),
            ],
        },
    ];
    for case in cases {
        let found = |reckless| wrong(&[0, 0, 0], case.steps, reckless);
        assert_eq!(found(Recklessness::None), None);
        assert!(found(case.reckless).is_some(), "{:?}", case.reckless);
    }
}
