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
pub type ResidencyList = Vec<(String, Vec<HeldModel>)>;

/// Tellings in a row that name a runner that has changed.
const CHANGE_REPEATS: u64 = 3;
/// Bytes of a telling from which no more runners are named: it fits into one
/// frame, of which a fragment can't be lost.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Bytes a second that tellings may take of the host's link: a fifth of a
/// link of 10 Mbit/s, the slowest of the deployments.
const MAX_BYTES_PER_SECOND: f64 = 250_000.0;
/// Time between two tellings while nothing changes; the others hear by them
/// that the host lives.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// What was told of one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnnouncedRunner {
    models: Vec<HeldModel>,
    /// Tellings that name it still.
    repeats: u64,
    /// Number of the last telling that named it.
    sequence: u64,
}

/// Which runners a telling names first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SendPriority {
    /// Named in the last telling, and to be repeated.
    Repeated,
    /// Changed, and not named since.
    Changed,
    /// Told as often as it has to be.
    Unchanged,
}

impl AnnouncedRunner {
    fn priority(&self, last_sequence: u64) -> SendPriority {
        match self.repeats {
            0 => SendPriority::Unchanged,
            _ if 0 < self.sequence && self.sequence == last_sequence => {
                SendPriority::Repeated
            }
            _ => SendPriority::Changed,
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
///     EpochMillis, placement::ResidencyBroadcast, roster::HeldModel,
/// };
///
/// let bend = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
/// let mut broadcast = ResidencyBroadcast::default();
/// broadcast.update(vec![("i-1".to_owned(), vec![bend])]);
/// let (sequence, held) = broadcast.poll(8, EpochMillis(0)).unwrap();
/// assert_eq!((sequence, held.len()), (1, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResidencyBroadcast {
    runners: SortedTable<String, AnnouncedRunner>,
    sequence: u64,
    /// Point from which the next telling may go out.
    allowed_at: EpochMillis,
    /// Point at which it goes out though nothing has changed.
    heartbeat_at: EpochMillis,
}

impl ResidencyBroadcast {
    /// Takes over what runners hold now.
    pub fn update(&mut self, held: ResidencyList) {
        let mut former = std::mem::take(&mut self.runners);
        for (runner, models) in held {
            let entry = match former.remove(&runner) {
                Some(entry) if entry.models == models => entry,
                former => {
                    let sequence = former.map_or(0, |entry| entry.sequence);
                    AnnouncedRunner {
                        models,
                        repeats: CHANGE_REPEATS,
                        sequence,
                    }
                }
            };
            self.runners.insert(runner, entry);
        }
    }

    /// Begins anew, after a time without the right to order. The fencing
    /// number may be the same, so listeners are shown a gap.
    pub fn restart(&mut self) {
        let sequence = self.sequence + CHANGE_REPEATS;
        *self =
            ResidencyBroadcast { sequence, ..ResidencyBroadcast::default() };
    }

    /// Tells whether what a runner holds now was told, at least once.
    pub fn is_announced(&self, runner: &str) -> bool {
        let entry = self.runners.get(runner);
        entry.is_none_or(|entry| entry.repeats < CHANGE_REPEATS)
    }

    /// Has the next telling go out as soon as it may.
    pub fn send_soon(&mut self) {
        self.heartbeat_at = EpochMillis::default();
    }

    /// Returns the telling that is due, if one is, with its number;
    /// `listeners` is how many hosts it goes to.
    pub fn poll(
        &mut self,
        receivers: usize,
        now: EpochMillis,
    ) -> Option<(u64, ResidencyList)> {
        let changed = self.runners.values().any(|entry| 0 < entry.repeats);
        if now < self.allowed_at || (!changed && now < self.heartbeat_at) {
            return None;
        }
        let last = self.sequence;
        self.sequence += 1;
        let mut queue: Vec<(SendPriority, u64, String)> = self
            .runners
            .iter()
            .map(|(runner, entry)| {
                (entry.priority(last), entry.sequence, runner.clone())
            })
            .collect();
        queue.sort_unstable();
        let mut held = Vec::new();
        let mut bytes = 0;
        for (priority, _, runner) in queue {
            let Some(entry) = self.runners.get_mut(&runner) else { continue };
            bytes += encoded_len(&runner, &entry.models);
            let full = MAX_MESSAGE_BYTES < bytes && !held.is_empty();
            if full && priority != SendPriority::Repeated {
                break;
            }
            entry.repeats = entry.repeats.saturating_sub(1);
            entry.sequence = self.sequence;
            held.push((runner, entry.models.clone()));
        }
        let cost_bytes = bytes * receivers;
        let pause =
            Duration::from_secs_f64(cost_bytes as f64 / MAX_BYTES_PER_SECOND);
        self.allowed_at = now.after(pause);
        self.heartbeat_at = now.after(HEARTBEAT_PERIOD.max(pause));
        Some((self.sequence, held))
    }
}

/// Bytes that a runner takes in a telling: each text has its length before
/// it, as has each list.
fn encoded_len(runner: &str, models: &[HeldModel]) -> usize {
    let models = models.iter().map(|held| {
        let adapters = held.adapters.iter().map(|name| 1 + name.len());
        2 + held.name.len() + adapters.sum::<usize>()
    });
    2 + runner.len() + models.sum::<usize>()
}

/// How a telling follows on those heard before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceStatus {
    /// What was told before still holds.
    Next,
    /// A change may have been missed.
    Gap,
    /// It was overtaken, and says nothing new.
    Stale,
}

/// Counts the tellings of the hosts that order, as a listener hears them.
///
/// # Examples
///
/// ```
/// use celerylead::placement::{SequenceTracker, SequenceStatus};
///
/// let mut tracker = SequenceTracker::default();
/// assert_eq!(tracker.observe(4, 7), SequenceStatus::Gap);
/// assert_eq!(tracker.observe(4, 10), SequenceStatus::Next);
/// assert_eq!(tracker.observe(4, 9), SequenceStatus::Stale);
/// // A change may have been told in the three between.
/// assert_eq!(tracker.observe(4, 14), SequenceStatus::Gap);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SequenceTracker {
    fencing: u64,
    /// Number of the last telling heard.
    sequence: u64,
}

impl SequenceTracker {
    /// Takes a telling under a fencing number into account.
    pub fn observe(&mut self, fencing: u64, sequence: u64) -> SequenceStatus {
        let former = *self;
        if (fencing, sequence) <= (former.fencing, former.sequence) {
            return SequenceStatus::Stale;
        }
        *self = SequenceTracker { fencing, sequence };
        let same_lease = fencing == former.fencing;
        if same_lease && sequence <= former.sequence + CHANGE_REPEATS {
            SequenceStatus::Next
        } else {
            SequenceStatus::Gap
        }
    }
}
