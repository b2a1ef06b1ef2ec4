//! What the host that orders tells the others of what runners hold.
//!
//! Every change costs as many datagrams as there are hosts, so a host that
//! told everything at each change would fill its own link in a large fleet,
//! and then neither renew its lease nor get answers to its orders in time. A
//! telling therefore names few runners: those that have changed, each in
//! several tellings in a row as a datagram may be lost, then those that were
//! told longest ago. The more it costs, the later is the next one.
//!
//! Tellings are numbered. A listener that has missed fewer in a row than a
//! change is repeated knows that everything it was told before still holds.

use std::time::Duration;

use crate::{clock::EpochMillis, roster::HeldModel, sorted::SortedTable};

/// What runners hold, by their identity.
pub type HeldList = Vec<(String, Vec<HeldModel>)>;

/// Tellings in a row that name a runner that has changed.
const TELL_REPEATS: u64 = 3;
/// Bytes of a telling from which no more runners are named: it fits into one
/// frame, of which a fragment can't be lost.
const TELL_BYTES: usize = 1_200;
/// Bytes a second that tellings may take of the host's link: a fifth of a
/// link of 10 Mbit/s, the slowest of the deployments.
const TELL_RATE: f64 = 250_000.0;
/// Time between two tellings while nothing changes; the others hear by them
/// that the host lives.
const TELL_PERIOD: Duration = Duration::from_millis(1_000);

/// What was told of one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ToldRunner {
    models: Vec<HeldModel>,
    /// Tellings that name it still.
    repeats: u64,
    /// Number of the last telling that named it.
    round: u64,
}

/// Which runners a telling names first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TellRank {
    /// Named in the last telling, and to be repeated.
    Repeated,
    /// Changed, and not named since.
    Changed,
    /// Told as often as it has to be.
    Settled,
}

impl ToldRunner {
    fn rank(&self, last_round: u64) -> TellRank {
        match self.repeats {
            0 => TellRank::Settled,
            _ if 0 < self.round && self.round == last_round => {
                TellRank::Repeated
            }
            _ => TellRank::Changed,
        }
    }
}

/// The tellings of one host, from its taking over.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{
///     EpochMillis, placement::HeldTelling, roster::HeldModel,
/// };
///
/// let bend = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
/// let mut telling = HeldTelling::default();
/// telling.note(vec![("i-1".to_owned(), vec![bend])]);
/// let (round, held) = telling.next(8, EpochMillis(0)).unwrap();
/// assert_eq!((round, held.len()), (1, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldTelling {
    runners: SortedTable<String, ToldRunner>,
    round: u64,
    /// Point from which the next telling may go out.
    free_at: EpochMillis,
    /// Point at which it goes out though nothing has changed.
    due_at: EpochMillis,
}

impl HeldTelling {
    /// Takes over what runners hold now.
    pub fn note(&mut self, held: HeldList) {
        let mut former = std::mem::take(&mut self.runners);
        for (runner, models) in held {
            let told = match former.remove(&runner) {
                Some(told) if told.models == models => told,
                former => {
                    let round = former.map_or(0, |told| told.round);
                    ToldRunner { models, repeats: TELL_REPEATS, round }
                }
            };
            self.runners.insert(runner, told);
        }
    }

    /// Begins anew, after a time without the right to order. The fencing
    /// number may be the same, so listeners are shown a gap.
    pub fn restart(&mut self) {
        let round = self.round + TELL_REPEATS;
        *self = HeldTelling { round, ..HeldTelling::default() };
    }

    /// Tells whether what a runner holds now was told, at least once.
    pub fn is_told(&self, runner: &str) -> bool {
        let told = self.runners.get(runner);
        told.is_none_or(|told| told.repeats < TELL_REPEATS)
    }

    /// Has the next telling go out as soon as it may.
    pub fn hurry(&mut self) {
        self.due_at = EpochMillis::default();
    }

    /// Returns the telling that is due, if one is, with its number;
    /// `listeners` is how many hosts it goes to.
    pub fn next(
        &mut self,
        listeners: usize,
        now: EpochMillis,
    ) -> Option<(u64, HeldList)> {
        let changed = self.runners.values().any(|told| 0 < told.repeats);
        if now < self.free_at || (!changed && now < self.due_at) {
            return None;
        }
        let last = self.round;
        self.round += 1;
        let mut order: Vec<(TellRank, u64, String)> = self
            .runners
            .iter()
            .map(|(runner, told)| {
                (told.rank(last), told.round, runner.clone())
            })
            .collect();
        order.sort_unstable();
        let mut held = Vec::new();
        let mut bytes = 0;
        for (rank, _, runner) in order {
            let Some(told) = self.runners.get_mut(&runner) else { continue };
            bytes += written_bytes(&runner, &told.models);
            let full = TELL_BYTES < bytes && !held.is_empty();
            if full && rank != TellRank::Repeated {
                break;
            }
            told.repeats = told.repeats.saturating_sub(1);
            told.round = self.round;
            held.push((runner, told.models.clone()));
        }
        let cost = bytes * listeners;
        let pause = Duration::from_secs_f64(cost as f64 / TELL_RATE);
        self.free_at = now.after(pause);
        self.due_at = now.after(TELL_PERIOD.max(pause));
        Some((self.round, held))
    }
}

/// Bytes that a runner takes in a telling: each text has its length before
/// it, as has each list.
fn written_bytes(runner: &str, models: &[HeldModel]) -> usize {
    let models = models.iter().map(|held| {
        let adapters = held.adapters.iter().map(|name| 1 + name.len());
        2 + held.name.len() + adapters.sum::<usize>()
    });
    2 + runner.len() + models.sum::<usize>()
}

/// How a telling follows on those heard before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldWord {
    /// What was told before still holds.
    Next,
    /// A change may have been missed.
    Gap,
    /// It was overtaken, and says nothing new.
    Older,
}

/// Counts the tellings of the hosts that order, as a listener hears them.
///
/// # Examples
///
/// ```
/// use celerylead::placement::{HeldHearing, HeldWord};
///
/// let mut hearing = HeldHearing::default();
/// assert_eq!(hearing.heard(4, 7), HeldWord::Gap);
/// assert_eq!(hearing.heard(4, 10), HeldWord::Next);
/// assert_eq!(hearing.heard(4, 9), HeldWord::Older);
/// // A change may have been told in the three between.
/// assert_eq!(hearing.heard(4, 14), HeldWord::Gap);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldHearing {
    fencing: u64,
    /// Number of the last telling heard.
    round: u64,
}

impl HeldHearing {
    /// Takes a telling under a fencing number into account.
    pub fn heard(&mut self, fencing: u64, round: u64) -> HeldWord {
        let former = *self;
        if (fencing, round) <= (former.fencing, former.round) {
            return HeldWord::Older;
        }
        *self = HeldHearing { fencing, round };
        let known = fencing == former.fencing;
        if known && round <= former.round + TELL_REPEATS {
            HeldWord::Next
        } else {
            HeldWord::Gap
        }
    }
}
