//! Messages by which the lease holder tells the other hosts what the runners
//! hold.
//!
//! Every message costs as many datagrams as there are hosts, from the sender or,
//! in a large fleet, from the aggregators that pass it on. In a large fleet,
//! a host that sent the full state on each change would saturate its own link,
//! and could then neither renew its lease nor receive answers to its orders in
//! time. A message therefore contains few runners: first the changed ones,
//! each in several consecutive messages because a datagram may be lost, then
//! those whose last message is the oldest. The more a message costs, the later
//! the next one is sent.
//!
//! Messages have sequence numbers. If a receiver has missed fewer consecutive
//! messages than the number of times a change is repeated, everything that it
//! received before still holds.

use std::time::Duration;

use crate::{clock::EpochMillis, roster::HeldModel, sorted::SortedTable};

/// Models and adapters that runners hold, by runner identity.
pub type ResidencyList = Vec<(String, Vec<HeldModel>)>;

/// Number of consecutive messages that contain a changed runner.
const CHANGE_REPEATS: u64 = 3;
/// Size in bytes above which no more runners are added to a message, except
/// runners that are due to be repeated. A message of this size fits into one
/// frame, so it can't lose a fragment.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Bandwidth for messages, in bytes per second, while that of the sender's link
/// isn't known: a fifth of a link of 10 Mbit/s.
const DEFAULT_BYTES_PER_SECOND: u64 = 250_000;
/// Most bytes per second of messages that a host spends on a fast link; each
/// message also costs every receiver processor time.
const MAX_BYTES_PER_SECOND: u64 = 1_000_000;
/// Part of a link that messages may take.
const LINK_PART: u64 = 5;
/// Time between two messages while nothing changes. These messages are the
/// heartbeat by which other hosts know that the lease holder is alive.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);

/// How messages reach the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BroadcastFanout {
    /// Most copies of a message that one host sends.
    pub copies: usize,
    /// Bandwidth that this host may use for them, in bytes per second.
    pub bytes_per_second: u64,
}

impl BroadcastFanout {
    /// Returns the fan-out of a host that sends `copies` over a link of this
    /// bandwidth, in kbit/s.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::placement::BroadcastFanout;
    ///
    /// let fanout = BroadcastFanout::over_link(58, 20_000);
    /// assert_eq!(fanout.bytes_per_second, 500_000);
    /// ```
    pub fn over_link(copies: usize, link_kbps: u32) -> BroadcastFanout {
        let bytes = u64::from(link_kbps) * 1_000 / 8 / LINK_PART;
        let bytes_per_second = bytes.min(MAX_BYTES_PER_SECOND);
        BroadcastFanout { copies, bytes_per_second }
    }

    /// Returns the fan-out of a host that sends `copies` over a link of unknown
    /// bandwidth.
    pub fn direct(copies: usize) -> BroadcastFanout {
        let bytes_per_second = DEFAULT_BYTES_PER_SECOND;
        BroadcastFanout { copies, bytes_per_second }
    }
}

/// What was sent about one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnnouncedRunner {
    models: Vec<HeldModel>,
    /// Number of further messages that have to contain the runner.
    repeats: u64,
    /// Sequence number of the last message that contained the runner.
    sequence: u64,
}

/// Order in which runners are added to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SendPriority {
    /// Contained in the last message, and due to be repeated.
    Repeated,
    /// Changed, and in no message since.
    Changed,
    /// Repeated as often as necessary.
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

/// Messages of one host, from the time at which it takes over the orders
/// lease.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{
///     EpochMillis,
///     placement::{BroadcastFanout, ResidencyBroadcast},
///     roster::HeldModel,
/// };
///
/// let bend = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
/// let mut broadcast = ResidencyBroadcast::default();
/// let fanout = BroadcastFanout::direct(8);
/// broadcast.update(vec![("i-1".to_owned(), vec![bend])]);
/// let (sequence, held) = broadcast.poll(fanout, EpochMillis(0)).unwrap();
/// assert_eq!((sequence, held.len()), (1, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResidencyBroadcast {
    runners: SortedTable<String, AnnouncedRunner>,
    sequence: u64,
    /// Earliest time of the next message.
    allowed_at: EpochMillis,
    /// Time of the next message if nothing changes.
    heartbeat_at: EpochMillis,
}

impl ResidencyBroadcast {
    /// Updates what the runners hold.
    pub fn update(&mut self, residency: ResidencyList) {
        let mut former = std::mem::take(&mut self.runners);
        for (runner, models) in residency {
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

    /// Starts again after a time without the orders lease. The fencing token
    /// may be the same as before, so the sequence number skips a few to show
    /// receivers a gap.
    pub fn restart(&mut self) {
        let sequence = self.sequence + CHANGE_REPEATS;
        *self =
            ResidencyBroadcast { sequence, ..ResidencyBroadcast::default() };
    }

    /// Returns whether the current state of a runner was sent at least once.
    pub fn is_announced(&self, runner: &str) -> bool {
        let entry = self.runners.get(runner);
        entry.is_none_or(|entry| entry.repeats < CHANGE_REPEATS)
    }

    /// Returns the number of runners whose current state wasn't sent yet.
    pub fn unannounced(&self) -> usize {
        let entries = self.runners.values();
        entries.filter(|entry| entry.repeats == CHANGE_REPEATS).count()
    }

    /// Schedules the next message for the earliest allowed time.
    pub fn send_soon(&mut self) {
        self.heartbeat_at = EpochMillis::default();
    }

    /// Returns the message that is due, if any, with its sequence number.
    pub fn poll(
        &mut self,
        fanout: BroadcastFanout,
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
        let mut residency = Vec::new();
        let mut bytes = 0;
        for (priority, _, runner) in queue {
            let Some(entry) = self.runners.get_mut(&runner) else { continue };
            bytes += encoded_len(&runner, &entry.models);
            let full = MAX_MESSAGE_BYTES < bytes && !residency.is_empty();
            if full && priority != SendPriority::Repeated {
                break;
            }
            entry.repeats = entry.repeats.saturating_sub(1);
            entry.sequence = self.sequence;
            residency.push((runner, entry.models.clone()));
        }
        let cost_bytes = (bytes * fanout.copies) as f64;
        let bytes_per_second = fanout.bytes_per_second.max(1) as f64;
        let pause = Duration::from_secs_f64(cost_bytes / bytes_per_second);
        self.allowed_at = now.after(pause);
        self.heartbeat_at = now.after(HEARTBEAT_PERIOD.max(pause));
        Some((self.sequence, residency))
    }
}

/// Returns the encoded size of a runner in a message, in bytes. Each string
/// and each list is preceded by its length.
fn encoded_len(runner: &str, models: &[HeldModel]) -> usize {
    let models = models.iter().map(|model| {
        let adapters = model.adapters.iter().map(|name| 1 + name.len());
        2 + model.name.len() + adapters.sum::<usize>()
    });
    2 + runner.len() + models.sum::<usize>()
}

/// How the sequence number of a message compares with the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceStatus {
    /// What was received before still holds.
    Next,
    /// A change may have been missed.
    Gap,
    /// A newer message was received before; this one contains nothing new.
    Stale,
}

/// Tracks the sequence numbers of a receiver's messages from lease holders.
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
/// // A change may have been sent in the three messages between.
/// assert_eq!(tracker.observe(4, 14), SequenceStatus::Gap);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SequenceTracker {
    fencing: u64,
    /// Sequence number of the last message received.
    sequence: u64,
}

impl SequenceTracker {
    /// Records a message sent under a fencing token, and returns how its
    /// sequence number compares with the last one.
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
