//! A runner as one host sees it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    call::RelayAsk,
    table::{LoadBasis, RelayChoice},
};
use crate::{
    clock::EpochMillis, model::ModelName, roster::RunnerFacts,
    sorted::SortedTable,
};

/// Weight of a new sample in the mean of a runner's pace.
const PACE_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the mean of a runner's failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Failures in a row after which a runner is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// Time without any head of an answer, while some are due, after which a
/// runner is taken for silent: several times the longest first token.
const SILENCE: Duration = Duration::from_millis(800);
/// First time for which a runner is set aside; doubled each time.
const SET_ASIDE: Duration = Duration::from_millis(500);
/// Longest time for which a runner is set aside.
const MAX_SET_ASIDE_DOUBLINGS: u32 = 4;
/// Age from which what another host told of its calls isn't believed.
const PEER_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// Age from which the word of the host that orders gives way to the roster;
/// it tells at least once a second.
const HELD_AGE: Duration = Duration::from_millis(3_000);

/// How a call at a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// A whole answer; the pace in microseconds is the time of a plain call
    /// or the mean time between events of a stream.
    Whole {
        /// Microseconds.
        pace_us: u64,
    },
    /// The runner answered that it failed.
    Failed,
    /// The runner broke off, answered wrongly or not at all.
    Broken,
    /// No connection to the runner could be opened.
    Unreachable,
    /// The runner turned the call away before running it.
    TurnedAway,
    /// The caller went away, or the end says nothing of the runner.
    Neutral,
}

/// Calls of another host at a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Calls in flight.
    pub(super) calls: u32,
    /// Tokens of these calls.
    pub(super) tokens: u64,
    /// Point at which it was told.
    pub(super) told_at: EpochMillis,
}

/// A runner in the relay table.
#[derive(Clone, Debug)]
pub(super) struct RelayBackend {
    pub(super) facts: RunnerFacts,
    /// What it holds by the word of the host that orders, sorted.
    pub(super) told_held: Vec<ModelName>,
    pub(super) told_held_at: Option<EpochMillis>,
    pub(super) calls: u32,
    pub(super) tokens: u64,
    /// Calls of this host in flight by model and adapter.
    in_use: SortedTable<ModelName, u32>,
    pub(super) peers: SortedTable<String, PeerLoad>,
    /// Mean pace by model in microseconds; the empty name is a plain call.
    pace: SortedTable<String, f64>,
    /// Share of calls that failed lately.
    pub(super) failing: f64,
    failures_in_row: u32,
    set_aside: u32,
    set_aside_until: EpochMillis,
    /// Calls of this host whose answer's head hasn't come.
    unheard: u32,
    /// Point at which the runner was heard last, or the oldest such call
    /// was sent.
    quiet_since: EpochMillis,
}

impl RelayBackend {
    pub(super) fn new(facts: RunnerFacts) -> RelayBackend {
        RelayBackend {
            facts,
            told_held: Vec::new(),
            told_held_at: None,
            calls: 0,
            tokens: 0,
            in_use: SortedTable::default(),
            peers: SortedTable::default(),
            pace: SortedTable::default(),
            failing: 0.0,
            failures_in_row: 0,
            set_aside: 0,
            set_aside_until: EpochMillis::default(),
            unheard: 0,
            quiet_since: EpochMillis::default(),
        }
    }

    /// Calls in flight, of this host and as told by others.
    pub(super) fn load(&self, now: EpochMillis) -> u32 {
        let told = self.fresh_peers(now).map(|load| load.calls);
        self.calls + told.sum::<u32>()
    }

    /// Returns the load by which the runner is judged.
    pub(super) fn basis(&self, now: EpochMillis) -> LoadBasis {
        let mut basis = LoadBasis { own: self.calls, ..LoadBasis::default() };
        for load in self.fresh_peers(now).filter(|load| 0 < load.calls) {
            basis.told += load.calls;
            let age = load.told_at.until(now).as_millis() as u64;
            basis.oldest_ms = basis.oldest_ms.max(age);
        }
        basis
    }

    /// Tokens of the calls in flight.
    pub(super) fn tokens(&self, now: EpochMillis) -> u64 {
        let told = self.fresh_peers(now).map(|load| load.tokens);
        self.tokens + told.sum::<u64>()
    }

    fn fresh_peers(
        &self,
        now: EpochMillis,
    ) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |load| now < load.told_at.after(PEER_LOAD_AGE))
    }

    pub(super) fn pace(&self, model: &str) -> Option<f64> {
        self.pace.get(model).copied()
    }

    pub(super) fn is_set_aside(&self, now: EpochMillis) -> bool {
        let silent = self.quiet_since.after(SILENCE) <= now;
        // A runner that was set aside gets one call until it has answered.
        let probed = 0 < self.set_aside;
        (0 < self.unheard && (silent || probed)) || now < self.set_aside_until
    }

    /// Returns the adapters that calls of this host use, and models that
    /// the host that orders doesn't list any more.
    pub(super) fn names_in_use(&self) -> Vec<ModelName> {
        let told = self.told_held_at.is_some();
        let listed = |name| self.told_held.binary_search(name).is_ok();
        let names = self.in_use.keys();
        let names = names
            .filter(|name| name.adapter.is_some() || (told && !listed(name)));
        names.cloned().collect()
    }

    /// Books a call.
    pub(super) fn begin(&mut self, ask: &RelayAsk, now: EpochMillis) {
        if self.unheard == 0 {
            self.quiet_since = now;
        }
        self.unheard += 1;
        self.calls += 1;
        self.tokens += ask.tokens;
        if let Some(name) = &ask.model {
            *self.in_use.entry(name.clone(), || 0) += 1;
        }
    }

    /// Notes that the head of an answer came.
    pub(super) fn heard(&mut self, now: EpochMillis) {
        self.unheard = self.unheard.saturating_sub(1);
        self.quiet_since = now;
    }

    /// Notes that what was told of it lately still holds.
    pub(super) fn told_again(&mut self, now: EpochMillis) {
        let lately = |at: &EpochMillis| now < at.after(HELD_AGE);
        if self.told_held_at.as_ref().is_some_and(lately) {
            self.told_held_at = Some(now);
        }
    }

    /// Tells whether the runner holds a model and its adapter.
    pub(super) fn holds(&self, name: &ModelName, now: EpochMillis) -> bool {
        let told =
            self.told_held_at.is_some_and(|at| now < at.after(HELD_AGE));
        if told {
            return self.told_held.binary_search(name).is_ok();
        }
        let Some(held) = self.facts.model(&name.model) else { return false };
        let Some(adapter) = &name.adapter else { return true };
        held.adapters.contains(adapter) || self.told_held.contains(name)
    }

    /// Books the end of a call; `heard` tells whether the head of its answer
    /// was noted.
    pub(super) fn end(
        &mut self,
        choice: &RelayChoice,
        heard: bool,
        end: CallEnd,
        now: EpochMillis,
    ) {
        self.calls = self.calls.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(choice.tokens);
        self.end_use(choice);
        if !heard {
            self.unheard = self.unheard.saturating_sub(1);
        }
        match end {
            CallEnd::Whole { pace_us } => {
                self.learn_pace(choice.model(), pace_us);
                self.failing -= FAILURE_WEIGHT * self.failing;
                self.failures_in_row = 0;
                self.set_aside = 0;
            }
            CallEnd::Neutral => {}
            CallEnd::Failed => self.note_failure(),
            CallEnd::Unreachable => self.put_aside(now),
            CallEnd::Broken | CallEnd::TurnedAway => {
                self.note_failure();
                self.failures_in_row += 1;
                if FAILURES_TO_SET_ASIDE <= self.failures_in_row {
                    self.put_aside(now);
                }
            }
        }
    }

    fn end_use(&mut self, choice: &RelayChoice) {
        let Some(name) = &choice.name else { return };
        let Some(calls) = self.in_use.get_mut(name) else { return };
        *calls -= 1;
        if *calls == 0 {
            self.in_use.remove(name);
        }
    }

    /// Takes a pace into the mean for a model.
    pub(super) fn learn_pace(&mut self, model: &str, pace_us: u64) {
        let sample = pace_us as f64;
        let mean = self.pace.entry(model.to_owned(), || sample);
        *mean += PACE_WEIGHT * (sample - *mean);
    }

    fn put_aside(&mut self, now: EpochMillis) {
        if now < self.set_aside_until {
            // One of several calls that met the same fault.
            return;
        }
        let wait = SET_ASIDE * 2_u32.pow(self.set_aside);
        self.set_aside_until = now.after(wait);
        self.set_aside = MAX_SET_ASIDE_DOUBLINGS.min(self.set_aside + 1);
        self.failures_in_row = 0;
    }

    fn note_failure(&mut self) {
        self.failing += FAILURE_WEIGHT * (1.0 - self.failing);
    }
}
