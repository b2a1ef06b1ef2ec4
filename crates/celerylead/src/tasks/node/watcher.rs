//! The tasks that follow the platform's store.
//!
//! One task follows the operator's configuration, the other the runners'
//! registry. Each owns its position in the feed of its table. The feed of the
//! configuration is read by long polls, as it changes rarely. The feed of the
//! registry is read at a steady pace, since many runners write to it and each
//! answer has a cost. While the store is unavailable, a host asks its seeds
//! (other hosts): for the catalog at each failure, for the roster only if it
//! knows no runner.
//!
//! An answer may never arrive although its connection stays open. A poll is
//! therefore given up early enough for its table to be read again within the
//! recovery time that the platform allows this host after a fault.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{CatalogWatch, RosterWatch, control};
use crate::{
    catalog::ServiceCatalog,
    clock::{EpochMillis, HostClock},
    membership::{PeerContact, RegistryContact},
    metrics::HostMetrics,
    port::{
        ANSWER_TIMEOUT, EdgeCodec, RowChange, StoreError, StorePort,
        StoreReading, StoreTable,
    },
    roster::{RosterChange, RunnerFacts, RunnerRoster},
};

/// Time reserved to connect and read again after a poll without an answer.
const RECONNECT_MARGIN: Duration = Duration::from_millis(500);
/// Shortest wait of a poll, even if the recovery time that the platform allows
/// is shorter: each poll costs a store call.
const MIN_POLL_WAIT: Duration = Duration::from_millis(500);
/// Pause between two reads of the registry's feed.
const REGISTRY_PAUSE: Duration = Duration::from_millis(600);
/// Base of the exponential back-off after failed store calls. The base doubles
/// with each failure, the first one included, up to [`MAX_BACKOFF`].
const BASE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest back-off after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Configuration and handles with which the tasks are started.
#[derive(Clone)]
pub(crate) struct WatcherSetup<C> {
    pub(crate) codec: C,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) metrics: HostMetrics,
    /// Control addresses of other hosts to ask while the store is unavailable.
    pub(crate) seeds: Vec<String>,
    /// Contact of the other hosts with the registry, as they report it.
    pub(crate) peer_contact: watch::Receiver<PeerContact>,
    /// Time after a fault of the store or the network from which the platform
    /// expects this host to keep its bounds again.
    pub(crate) recovery_time: Duration,
}

impl<C> WatcherSetup<C> {
    /// Returns the longest wait of a poll that still leaves time to read the
    /// table again within the recovery time.
    fn poll_wait(&self) -> Duration {
        let spent = ANSWER_TIMEOUT + RECONNECT_MARGIN;
        self.recovery_time.saturating_sub(spent).max(MIN_POLL_WAIT)
    }
}

/// Values that the tasks publish to other tasks.
pub(crate) struct WatcherViews {
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) contact: watch::Receiver<RegistryContact>,
}

/// Starts the tasks of the configuration and the registry.
pub(crate) fn start<C: EdgeCodec>(setup: &WatcherSetup<C>) -> WatcherViews {
    let (catalog, catalog_receiver) = watch::channel(None);
    let (roster, roster_receiver) = watch::channel(None);
    let (contact, contact_receiver) =
        watch::channel(RegistryContact::default());
    let configuration = ConfigurationTask {
        feed: FeedPosition::new(StoreTable::Configuration),
        setup: setup.clone(),
        catalog,
    };
    let registry = RegistryTask {
        feed: FeedPosition::new(StoreTable::Registry),
        setup: setup.clone(),
        entries: RunnerRoster::default(),
        contact,
        gap_began: None,
        roster,
    };
    crate::tasks::spawn(configuration.run());
    crate::tasks::spawn(registry.run());
    WatcherViews {
        catalog: catalog_receiver,
        roster: roster_receiver,
        contact: contact_receiver,
    }
}

/// A position in the feed of a table.
struct FeedPosition {
    table: StoreTable,
    /// Version after which changes are to be read; `None` while the whole
    /// table has to be read.
    after: Option<u64>,
    failures: u32,
    /// Start of the last successful step.
    read_at: Option<EpochMillis>,
}

/// Result of a step along a feed.
enum FeedStep {
    /// All rows of the table.
    Snapshot(StoreReading),
    /// Rows that have changed since the position.
    Changes(StoreReading),
}

impl FeedPosition {
    fn new(table: StoreTable) -> FeedPosition {
        FeedPosition { table, after: None, failures: 0, read_at: None }
    }

    /// Reads the changes since the position, or the whole table if there is no
    /// position. After a failed step, doesn't wait for changes, so that the
    /// next answer shows at once that the store is back.
    async fn step<C>(
        &mut self,
        setup: &WatcherSetup<C>,
        wait: Duration,
    ) -> Result<FeedStep, StoreError> {
        let (store, began) = (&setup.store, setup.clock.now());
        let wait = if 0 < self.failures { Duration::ZERO } else { wait };
        let step = match self.after {
            None => store.read(self.table).await.map(FeedStep::Snapshot),
            Some(after) => {
                let read = store.follow(self.table, after, wait).await;
                read.map(FeedStep::Changes)
            }
        };
        let now = setup.clock.now();
        match &step {
            Ok(FeedStep::Snapshot(reading) | FeedStep::Changes(reading)) => {
                setup.metrics.note_reading(self.name(), now);
                self.read_at = Some(began);
                self.after = Some(reading.version);
                self.failures = 0;
            }
            Err(fault) => {
                setup.metrics.platform_errors.inc();
                let age = self.read_at.map(|at| at.until(now));
                tracing::info!(
                    event = "store_failed",
                    source = self.name(),
                    took_ms = began.until(now).as_millis() as u64,
                    reading_ms = age.map(|age| age.as_millis() as u64),
                    after = self.after,
                    error = %fault,
                );
                if matches!(fault, StoreError::HistoryDropped) {
                    self.after = None;
                } else {
                    self.failures += 1;
                }
            }
        }
        step
    }

    /// Returns the name of the table in logs and metrics.
    fn name(&self) -> &'static str {
        match self.table {
            StoreTable::Configuration => "configuration",
            StoreTable::Registry => "registry",
            StoreTable::Hosts => "hosts",
            StoreTable::Leases => "leases",
        }
    }

    /// Returns the wait before the next step after a failed one.
    fn backoff(&self) -> Duration {
        let doubled = BASE_BACKOFF * 2_u32.pow(self.failures.min(8));
        doubled.min(MAX_BACKOFF).mul_f64(rand::random_range(0.7..1.0))
    }
}

struct ConfigurationTask<C> {
    setup: WatcherSetup<C>,
    feed: FeedPosition,
    catalog: watch::Sender<Option<Arc<ServiceCatalog>>>,
}

impl<C: EdgeCodec> ConfigurationTask<C> {
    async fn run(mut self) {
        loop {
            let wait = self.setup.poll_wait();
            let step = self.feed.step(&self.setup, wait).await;
            match step {
                Ok(
                    FeedStep::Snapshot(reading) | FeedStep::Changes(reading),
                ) => {
                    reading.rows.iter().for_each(|row| self.adopt(row));
                    if self.catalog.borrow().is_none() {
                        tokio::time::sleep(BASE_BACKOFF).await;
                    }
                }
                Err(StoreError::HistoryDropped) => {}
                Err(_) => {
                    let pause = tokio::time::sleep(self.feed.backoff());
                    tokio::join!(self.fetch_from_seed(), pause);
                }
            }
            if self.catalog.is_closed() {
                return;
            }
        }
    }

    fn adopt(&self, row: &RowChange) {
        let RowChange::Written(row) = row else { return };
        match self.setup.codec.read_catalog(&row.key, &row.value) {
            Ok(Some(catalog)) => self.adopt_catalog(catalog, "store"),
            Ok(None) => {}
            Err(error) => tracing::warn!(
                event = "configuration_unreadable",
                row = row.key,
                version = row.version,
                error = format!("{error:#}"),
            ),
        }
    }

    /// Adopts a catalog unless its revision is as old as the current one or
    /// older.
    fn adopt_catalog(&self, catalog: ServiceCatalog, source: &str) {
        let current_revision = self
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |catalog| catalog.revision);
        if catalog.revision <= current_revision {
            return;
        }
        tracing::info!(
            event = "configuration_adopted",
            revision = catalog.revision,
            former = current_revision,
            source,
        );
        self.setup.metrics.revision.set(catalog.revision as i64);
        self.catalog.send_replace(Some(Arc::new(catalog)));
    }

    /// Asks a random seed for its catalog, from which a host that restarts
    /// while the store is unavailable can serve.
    async fn fetch_from_seed(&self) {
        let Some(seed) = pick_seed(&self.setup.seeds) else { return };
        match control::fetch_catalog(seed).await {
            Ok(Some(catalog)) => self.adopt_catalog(catalog, seed),
            Ok(None) => {}
            Err(error) => tracing::debug!(
                event = "seed_failed",
                seed,
                error = format!("{error:#}"),
            ),
        }
    }
}

struct RegistryTask<C> {
    setup: WatcherSetup<C>,
    feed: FeedPosition,
    entries: RunnerRoster,
    contact: watch::Sender<RegistryContact>,
    /// Time of the last answer before a gap in the contact with the registry;
    /// set while entries may be missing only because they lapsed in the gap.
    gap_began: Option<EpochMillis>,
    roster: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
}

impl<C: EdgeCodec> RegistryTask<C> {
    async fn run(mut self) {
        loop {
            let began = self.setup.clock.now();
            let wait = self.until_expiry().min(self.setup.poll_wait());
            let step = self.feed.step(&self.setup, wait).await;
            let pause = match step {
                Ok(step) => {
                    self.note_answer(began);
                    self.adopt(step);
                    REGISTRY_PAUSE
                }
                Err(StoreError::HistoryDropped) => Duration::ZERO,
                Err(_) => {
                    let retry_at = Instant::now() + self.feed.backoff();
                    self.fetch_from_seed().await;
                    retry_at.saturating_duration_since(Instant::now())
                }
            };
            self.expire();
            tokio::time::sleep(pause.min(self.until_expiry())).await;
            self.expire();
            if self.roster.is_closed() {
                return;
            }
        }
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

    fn adopt(&mut self, step: FeedStep) {
        let now = self.setup.clock.now();
        match step {
            FeedStep::Snapshot(reading) => {
                let listed = reading.rows.iter().filter_map(|row| match self
                    .change(row)
                {
                    RosterChange::Listed(facts) => Some(facts),
                    RosterChange::Withdrawn(_) => None,
                });
                let listed = listed.collect();
                self.entries.replace(listed, now);
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

    /// Converts a row of the registry into a change of the roster. A runner
    /// whose row can't be decoded is withdrawn.
    fn change(&self, row: &RowChange) -> RosterChange {
        let row = match row {
            RowChange::Written(row) => row,
            RowChange::Removed(id) => {
                return RosterChange::Withdrawn(id.clone());
            }
        };
        match self.setup.codec.read_runner(&row.key, &row.value) {
            Ok(facts) => RosterChange::Listed(facts),
            Err(error) => {
                tracing::warn!(
                    event = "registry_entry_unreadable",
                    runner = row.key,
                    version = row.version,
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
        for facts in facts {
            let known = former.iter().find(|previous| previous.id == facts.id);
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
        for previous in former.iter() {
            if !facts.iter().any(|facts| facts.id == previous.id) {
                tracing::info!(event = "runner_gone", runner = previous.id);
            }
        }
    }

    /// Adopts the roster of a random seed if no runner is known.
    async fn fetch_from_seed(&mut self) {
        if 0 < self.entries.facts().count() {
            return;
        }
        let Some(seed) = pick_seed(&self.setup.seeds) else { return };
        let Ok(facts) = control::fetch_roster(seed).await else { return };
        if !facts.is_empty() {
            tracing::info!(event = "roster_adopted", source = seed);
            self.entries.replace(facts, self.setup.clock.now());
            self.publish();
        }
    }
}

fn pick_seed(seeds: &[String]) -> Option<&String> {
    if seeds.is_empty() {
        return None;
    }
    seeds.get(rand::random_range(0..seeds.len()))
}
