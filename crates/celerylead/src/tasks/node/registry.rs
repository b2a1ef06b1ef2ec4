//! The task that follows the runners' registry.
//!
//! One host of each zone reads the registry's feed, at a steady pace, since
//! many runners write to it and each answer has a cost. The others follow what
//! that host sends them, and read the registry themselves when it doesn't; the
//! rules are in [`crate::membership::FeedExcerpt`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    CatalogWatch, control,
    gossip_port::GossipPort,
    watcher::{FeedPosition, FeedStep, WatcherSetup, pick_seed, revision},
};
use crate::{
    catalog::RevisionEvidence,
    clock::EpochMillis,
    membership::{
        ExcerptRow, ExcerptVerdict, FeedExcerpt, FeedFollower,
        RegistryContact, RevisionNews,
    },
    port::{
        EdgeCodec, RowChange, StoreError, StoreReading, StoreRow, StoreTable,
    },
    roster::{
        ColdEnds, RepeatFilter, RosterChange, RunnerFacts, RunnerRoster,
    },
    sorted::SortedTable,
    store_version::StoreVersion,
};

/// Excerpts that wait for the task; further ones are dropped.
pub(crate) const MAX_EXCERPTS: usize = 64;
/// Pause between two reads of the registry's feed by the reader of a zone.
const READ_PAUSE: Duration = Duration::from_millis(600);
/// Longest wait of the reader for a change. With the pause, the other hosts
/// get an answer well within the age from which they read themselves.
const READER_WAIT: Duration = Duration::from_millis(200);

/// Handles by which the hosts of a zone share the reads of the registry.
pub(crate) struct ZoneFeed {
    /// Whether this host reads the registry for its zone.
    pub(crate) is_reader: watch::Receiver<bool>,
    /// What another host of the zone read from the registry.
    pub(crate) excerpts: mpsc::Receiver<FeedExcerpt>,
    pub(crate) gossip: GossipPort,
}

/// Handles by which the hosts of a zone share the revision of their
/// configuration.
pub(super) struct RevisionFeed {
    /// This host's catalog.
    pub(super) catalog: CatalogWatch,
    /// What this host's own readings show of the newest revision.
    pub(super) evidence: watch::Receiver<RevisionEvidence>,
    /// The revision that another host of the zone has.
    pub(super) news: watch::Sender<RevisionNews>,
}

/// Starts the task.
pub(super) fn start<C: EdgeCodec>(
    setup: &WatcherSetup<C>,
    zone_feed: ZoneFeed,
    revisions: RevisionFeed,
    contact: watch::Sender<RegistryContact>,
    roster: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
) {
    let task = RegistryTask {
        feed: FeedPosition::new(StoreTable::Registry),
        follower: FeedFollower::default(),
        zone_feed,
        revisions,
        last_answer: EpochMillis::default(),
        setup: setup.clone(),
        entries: RunnerRoster::default(),
        repeats: RepeatFilter::default(),
        cold_ends: ColdEnds::default(),
        contact,
        gap_began: None,
        roster,
    };
    crate::tasks::spawn(task.run());
}

struct RegistryTask<C> {
    setup: WatcherSetup<C>,
    feed: FeedPosition,
    follower: FeedFollower,
    zone_feed: ZoneFeed,
    revisions: RevisionFeed,
    /// Time of the last own answer of the store, by the store's clock.
    last_answer: EpochMillis,
    entries: RunnerRoster,
    repeats: RepeatFilter,
    cold_ends: ColdEnds,
    contact: watch::Sender<RegistryContact>,
    /// Time of the last answer before a gap in the contact with the registry;
    /// set while entries may be missing only because they lapsed in the gap.
    gap_began: Option<EpochMillis>,
    roster: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
}

impl<C: EdgeCodec> RegistryTask<C> {
    async fn run(mut self) {
        let mut missed = false;
        loop {
            if !missed {
                self.follow_reader().await;
            }
            let pause = self.read().await;
            self.expire();
            let read_at = Instant::now() + pause;
            missed = !self.follow_until(read_at).await;
            if self.roster.is_closed() {
                return;
            }
        }
    }

    /// Reads the feed once, and returns the pause before the next read.
    async fn read(&mut self) -> Duration {
        let began = self.setup.clock.now();
        let after = self.feed.after;
        let wait = READER_WAIT.min(self.until_expiry());
        let step = self.feed.step(&self.setup, wait).await;
        match step.map(|step| self.without_repeats(step)) {
            Ok(step) => {
                let now = self.setup.clock.now();
                let reading = step.reading();
                self.follower.record_read(reading.store_time, now);
                self.last_answer = reading.store_time;
                if let (Some(after), FeedStep::Changes(_)) = (after, &step)
                    && *self.zone_feed.is_reader.borrow()
                {
                    let excerpts = self.excerpt(after, reading).split();
                    self.zone_feed.gossip.send_excerpts(excerpts);
                }
                self.note_answer(began);
                if let FeedStep::Restored(_) = &step {
                    // Entries may be missing from the copy, however steady the
                    // contact of any host with the registry was.
                    self.gap_began = None;
                }
                self.adopt(&step);
                READ_PAUSE
            }
            Err(StoreError::HistoryDropped) => Duration::ZERO,
            Err(_) => {
                let retry_at = Instant::now() + self.feed.backoff();
                self.fetch_from_seed().await;
                retry_at.saturating_duration_since(Instant::now())
            }
        }
    }

    /// Follows the reader of the zone until this host has to read the registry
    /// itself, or is chosen as the reader.
    async fn follow_reader(&mut self) {
        while self.feed.after.is_some() && !*self.zone_feed.is_reader.borrow()
        {
            let now = self.setup.clock.now();
            let due = self.follower.read_due();
            if due <= now {
                return;
            }
            let read_at = Instant::now() + now.until(due);
            if !self.follow_until(read_at).await {
                return;
            }
        }
    }

    /// Applies excerpts and drops expired entries until `until`, or until this
    /// host's part in reading changes. Returns false as soon as an excerpt was
    /// missed.
    async fn follow_until(&mut self, until: Instant) -> bool {
        loop {
            let expiry_at = Instant::now().checked_add(self.until_expiry());
            let wake = expiry_at.map_or(until, |at| at.min(until));
            tokio::select! {
                Some(excerpt) = self.zone_feed.excerpts.recv() => {
                    if !self.adopt_excerpt(excerpt) {
                        return false;
                    }
                    // A fresh excerpt may have put off the own read.
                    if !*self.zone_feed.is_reader.borrow() {
                        return true;
                    }
                }
                Ok(()) = self.zone_feed.is_reader.changed() => return true,
                Ok(()) = self.revisions.catalog.changed() => {
                    self.send_revision();
                }
                () = tokio::time::sleep_until(wake) => {
                    self.expire();
                    if until <= Instant::now() {
                        return true;
                    }
                }
            }
        }
    }

    /// Sends the new revision of this host's configuration to the zone, if
    /// this host reads for it.
    fn send_revision(&mut self) {
        let Some(after) = self.feed.after else { return };
        if !*self.zone_feed.is_reader.borrow() {
            return;
        }
        let reading = StoreReading {
            rows: Vec::new(),
            version: after,
            store_time: self.last_answer,
        };
        let excerpt = self.excerpt(after, &reading);
        self.zone_feed.gossip.send_excerpts(vec![excerpt]);
    }

    /// Returns a reading of the feed from the position `after` as an excerpt.
    fn excerpt(
        &self,
        after: StoreVersion,
        reading: &StoreReading,
    ) -> FeedExcerpt {
        let rows = reading.rows.iter().map(|row| match row {
            RowChange::Written(row) => ExcerptRow {
                key: row.key.clone(),
                version: row.version,
                value: Some(row.value.to_vec()),
            },
            RowChange::Removed { key, version } => {
                ExcerptRow { key: key.clone(), version: *version, value: None }
            }
        });
        let revision = revision(self.revisions.catalog.borrow().as_deref());
        let now = self.setup.clock.now();
        let limit = self.setup.evidence_limit();
        let evidence = *self.revisions.evidence.borrow();
        FeedExcerpt {
            after,
            version: reading.version,
            store_time: reading.store_time,
            revision,
            is_newest: evidence.shows_newest(revision, now, limit),
            rows: rows.collect(),
        }
    }

    /// Applies an excerpt, and returns false if one before it was missed.
    fn adopt_excerpt(&mut self, excerpt: FeedExcerpt) -> bool {
        let Some(after) = self.feed.after else { return true };
        // The reader's own polls are guarded by nobody.
        if !*self.zone_feed.is_reader.borrow() {
            self.revisions.news.send_replace(self.follower.news(&excerpt));
        }
        match self.follower.admit(after, &excerpt) {
            ExcerptVerdict::Stale => return true,
            ExcerptVerdict::Missed => return false,
            ExcerptVerdict::Apply => {}
        }
        self.note_answer(self.follower.answered_at(&excerpt));
        self.feed.after = Some(excerpt.version);
        let rows = excerpt.rows.into_iter();
        let rows = rows.filter(|row| after < row.version).map(row_change);
        let step = self.without_repeats(FeedStep::Changes(StoreReading {
            rows: rows.collect(),
            version: excerpt.version,
            store_time: excerpt.store_time,
        }));
        self.adopt(&step);
        true
    }

    /// Drops the rows that were written again without a change: they say nothing
    /// new to this host, nor to another one at the same position.
    fn without_repeats(&mut self, mut step: FeedStep) -> FeedStep {
        if let FeedStep::Snapshot(_) | FeedStep::Restored(_) = &step {
            self.repeats = RepeatFilter::default();
        }
        let (FeedStep::Snapshot(reading)
        | FeedStep::Restored(reading)
        | FeedStep::Changes(reading)) = &mut step;
        reading.rows.retain(|row| match row {
            RowChange::Written(row) => {
                self.repeats.admit(&row.key, Some(&row.value))
            }
            RowChange::Removed { key, .. } => self.repeats.admit(key, None),
        });
        step
    }

    /// Returns the time until the next entry expires, which bounds all waits.
    fn until_expiry(&self) -> Duration {
        let now = self.setup.clock.now();
        let next = self.entries.next_expiry().map(|at| now.until(at));
        next.unwrap_or(Duration::MAX)
    }

    /// Drops the lapsed entries whose time is over, or all of them once
    /// another host reports that the registry had no outage.
    fn expire(&mut self) {
        let now = self.setup.clock.now();
        let covered = self.gap_began.is_some_and(|began| {
            self.setup.peer_contact.borrow().covers(began, now)
        });
        let mut changed = self.entries.expire(now);
        if covered {
            self.gap_began = None;
            tracing::info!(event = "registry_was_steady");
            changed |= self.entries.registry_was_steady();
        }
        if changed {
            self.publish();
        }
    }

    /// Records that the store answered a call that began at `began`. After a
    /// gap without answers, entries that are missing now may only have lapsed.
    fn note_answer(&mut self, began: EpochMillis) {
        let now = self.setup.clock.now();
        let mut gap = None;
        self.contact.send_modify(|contact| {
            gap = contact.record_answer(began, now);
        });
        let Some(last) = gap else { return };
        let away_ms = last.until(now).as_millis() as u64;
        tracing::info!(event = "registry_returned", away_ms);
        self.entries.registry_returned(now);
        self.gap_began = Some(last);
    }

    fn adopt(&mut self, step: &FeedStep) {
        let now = self.setup.clock.now();
        match step {
            FeedStep::Snapshot(reading) => {
                let listed = self.listed(reading);
                self.entries.replace(listed, now);
                self.publish();
            }
            FeedStep::Restored(reading) => {
                let listed = self.listed(reading);
                let outdated = self.entries.restore(listed, now);
                outdated.iter().for_each(|id| self.repeats.forget(id));
                self.publish();
            }
            FeedStep::Changes(reading) => {
                if reading.rows.is_empty() {
                    return;
                }
                for row in &reading.rows {
                    let change = self.change(row);
                    self.entries.change(change, now);
                }
                self.publish();
            }
        }
    }

    /// Returns the runners that a reading of the whole registry lists.
    fn listed(&mut self, reading: &StoreReading) -> Vec<RunnerFacts> {
        let rows = reading.rows.iter();
        let listed = rows.filter_map(|row| match self.change(row) {
            RosterChange::Listed(facts) => Some(facts),
            RosterChange::Withdrawn(_) => None,
        });
        listed.collect()
    }

    /// Converts a row of the registry into a change of the roster. A runner
    /// whose row can't be decoded is withdrawn.
    fn change(&mut self, row: &RowChange) -> RosterChange {
        let row = match row {
            RowChange::Written(row) => row,
            RowChange::Removed { key, .. } => {
                self.cold_ends.remove(key);
                return RosterChange::Withdrawn(key.clone());
            }
        };
        let now = self.setup.clock.now();
        match self.setup.codec.read_runner(&row.key, &row.value, now) {
            Ok(mut facts) => {
                if self.cold_ends.settle(row.version, &mut facts) {
                    self.repeats.forget(&row.key);
                }
                RosterChange::Listed(facts)
            }
            Err(error) => {
                tracing::warn!(
                    event = "registry_entry_unreadable",
                    runner = row.key,
                    version = %row.version,
                    error = format!("{error:#}"),
                );
                RosterChange::Withdrawn(row.key.clone())
            }
        }
    }

    fn publish(&self) {
        let facts: Vec<RunnerFacts> = self.entries.facts().cloned().collect();
        self.log_changes(&facts);
        self.roster.send_replace(Some(Arc::new(facts)));
    }

    /// Logs which runners were listed, were restarted, began to leave or are
    /// gone.
    fn log_changes(&self, facts: &[RunnerFacts]) {
        let former = self.roster.borrow().clone().unwrap_or_default();
        let former: SortedTable<&str, &RunnerFacts> =
            former.iter().map(|facts| (facts.id.as_str(), facts)).collect();
        let listed: SortedTable<&str, ()> =
            facts.iter().map(|facts| (facts.id.as_str(), ())).collect();
        for facts in facts {
            let known = former.get(facts.id.as_str());
            let same = known.is_some_and(|previous| {
                previous.leaving == facts.leaving
                    && previous.is_same_start(facts)
            });
            if !same {
                tracing::info!(
                    event = "runner_listed",
                    runner = facts.id,
                    service = facts.service,
                    runner_zone = facts.zone,
                    leaving = facts.leaving,
                );
            }
        }
        for runner in former.keys() {
            if listed.get(runner).is_none() {
                tracing::info!(event = "runner_gone", runner);
            }
        }
    }

    /// Adopts the roster of a random seed if no runner is known.
    async fn fetch_from_seed(&mut self) {
        if 0 < self.entries.facts().count() {
            return;
        }
        let Some(seed) = pick_seed(&self.setup.seeds) else { return };
        let Ok(mut facts) = control::fetch_roster(seed).await else { return };
        if !facts.is_empty() {
            tracing::info!(event = "roster_adopted", source = seed);
            for facts in &mut facts {
                facts.adjust_cold_end(self.setup.clock.now());
            }
            self.entries.replace(facts, self.setup.clock.now());
            self.publish();
        }
    }
}

fn row_change(row: ExcerptRow) -> RowChange {
    let ExcerptRow { key, version, value } = row;
    match value {
        Some(value) => {
            let value = Bytes::from(value);
            RowChange::Written(StoreRow { key, version, value })
        }
        None => RowChange::Removed { key, version },
    }
}
