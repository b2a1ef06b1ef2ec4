//! The tasks that follow the platform's store.
//!
//! One follows the operator's configuration, one the runners' registry. Each
//! owns its position in the feed. The configuration's feed is a long poll,
//! as it changes rarely; the registry's is read at a steady pace, since many
//! runners write there and each answer costs. While the store is silent, and
//! nothing is known, a host asks its seeds.
//!
//! An answer may never come though its connection stays open. A poll is
//! therefore given up early enough that its table is read anew within the
//! time after a disturbance from which the platform counts on this host.

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

/// Time kept free to connect and read again after a poll without an answer.
const RECONNECT_TIME: Duration = Duration::from_millis(500);
/// Shortest wait of a poll, whatever the platform's bound: each costs a call.
const SHORTEST_POLL: Duration = Duration::from_millis(500);
/// Pause between two readings of the registry's feed.
const REGISTRY_PAUSE: Duration = Duration::from_millis(600);
/// First wait after a failed call, doubled up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after a failed call.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// What the tasks are started with.
#[derive(Clone)]
pub(crate) struct WatcherSetup<C> {
    pub(crate) codec: C,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) metrics: HostMetrics,
    /// Control addresses to ask while the store is silent.
    pub(crate) seeds: Vec<String>,
    /// What other hosts tell of their contact with the registry.
    pub(crate) peers: watch::Receiver<PeerContact>,
    /// Time after a disturbance from which the platform counts on this host.
    pub(crate) contact: Duration,
}

impl<C> WatcherSetup<C> {
    /// Longest wait of a poll that is given up in time.
    fn poll_wait(&self) -> Duration {
        let spent = ANSWER_TIMEOUT + RECONNECT_TIME;
        self.contact.saturating_sub(spent).max(SHORTEST_POLL)
    }
}

/// What the tasks show to others.
pub(crate) struct WatcherViews {
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) contact: watch::Receiver<RegistryContact>,
}

/// Starts both tasks.
pub(crate) fn start<C: EdgeCodec>(setup: &WatcherSetup<C>) -> WatcherViews {
    let (catalog, catalog_seen) = watch::channel(None);
    let (roster, roster_seen) = watch::channel(None);
    let (contact, contact_seen) = watch::channel(RegistryContact::default());
    let configuration = ConfigurationTask {
        feed: FeedPosition::new(StoreTable::Configuration),
        setup: setup.clone(),
        catalog,
    };
    let registry = RegistryTask {
        feed: FeedPosition::new(StoreTable::Registry),
        setup: setup.clone(),
        list: RunnerRoster::default(),
        contact,
        gap_began: None,
        roster,
    };
    crate::tasks::spawn(configuration.run());
    crate::tasks::spawn(registry.run());
    WatcherViews {
        catalog: catalog_seen,
        roster: roster_seen,
        contact: contact_seen,
    }
}

/// A position in the feed of a table.
struct FeedPosition {
    table: StoreTable,
    /// Version after which changes are to be read; none before the first
    /// whole reading.
    after: Option<u64>,
    failures: u32,
    /// Point at which the last answered step was begun.
    read_at: Option<EpochMillis>,
}

/// What a step along a feed gave.
enum FeedStep {
    /// All rows of the table.
    Whole(StoreReading),
    /// Rows that have changed.
    Changes(StoreReading),
}

impl FeedPosition {
    fn new(table: StoreTable) -> FeedPosition {
        FeedPosition { table, after: None, failures: 0, read_at: None }
    }

    /// Reads on, or the whole table where the position is lost. After a
    /// failed step it doesn't wait for changes: the next answer tells at once
    /// that the store is back.
    async fn step<C>(
        &mut self,
        setup: &WatcherSetup<C>,
        wait: Duration,
    ) -> Result<FeedStep, StoreError> {
        let (store, began) = (&setup.store, setup.clock.now());
        let wait = if 0 < self.failures { Duration::ZERO } else { wait };
        let step = match self.after {
            None => store.read(self.table).await.map(FeedStep::Whole),
            Some(after) => {
                let read = store.follow(self.table, after, wait).await;
                read.map(FeedStep::Changes)
            }
        };
        let now = setup.clock.now();
        match &step {
            Ok(FeedStep::Whole(reading) | FeedStep::Changes(reading)) => {
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

    /// Name of the table in logs and metrics.
    fn name(&self) -> &'static str {
        match self.table {
            StoreTable::Configuration => "configuration",
            StoreTable::Registry => "registry",
            StoreTable::Hosts => "hosts",
            StoreTable::Leases => "leases",
        }
    }

    /// Wait before the next step after a failed one.
    fn backoff(&self) -> Duration {
        let doubled = FIRST_BACKOFF * 2_u32.pow(self.failures.min(8));
        doubled.min(LONGEST_BACKOFF).mul_f64(rand::random_range(0.7..1.0))
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
                Ok(FeedStep::Whole(reading) | FeedStep::Changes(reading)) => {
                    reading.rows.iter().for_each(|row| self.adopt(row));
                    if self.catalog.borrow().is_none() {
                        tokio::time::sleep(FIRST_BACKOFF).await;
                    }
                }
                Err(StoreError::HistoryDropped) => {}
                Err(_) => {
                    let pause = tokio::time::sleep(self.feed.backoff());
                    tokio::join!(self.ask_seed(), pause);
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

    /// Adopts a catalog; an older revision than the one held never is.
    fn adopt_catalog(&self, catalog: ServiceCatalog, source: &str) {
        let held =
            self.catalog.borrow().as_ref().map_or(0, |held| held.revision);
        if catalog.revision <= held {
            return;
        }
        tracing::info!(
            event = "configuration_adopted",
            revision = catalog.revision,
            former = held,
            source,
        );
        self.setup.metrics.revision.set(catalog.revision as i64);
        self.catalog.send_replace(Some(Arc::new(catalog)));
    }

    /// Asks a seed for its catalog; a host that was restarted while the
    /// store is away starts from there.
    async fn ask_seed(&self) {
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
    list: RunnerRoster,
    contact: watch::Sender<RegistryContact>,
    /// Last answer before a gap, while entries may only have lapsed in it.
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
                    let again = Instant::now() + self.feed.backoff();
                    self.ask_seed().await;
                    again.saturating_duration_since(Instant::now())
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

    /// Time until the next entry is gone; waits end by then.
    fn until_expiry(&self) -> Duration {
        let now = self.setup.clock.now();
        let next = self.list.next_expiry().map(|at| now.until(at));
        next.unwrap_or(Duration::MAX)
    }

    fn expire(&mut self) {
        let now = self.setup.clock.now();
        let covered = self
            .gap_began
            .is_some_and(|began| self.setup.peers.borrow().covers(began, now));
        let mut changed = self.list.expire(now);
        if covered {
            self.gap_began = None;
            tracing::info!(event = "registry_was_steady");
            changed |= self.list.registry_was_steady();
        }
        if changed {
            self.show();
        }
    }

    /// Notes that the store answered a call that began at `began`; where it
    /// was silent before, entries that are missing now may have lapsed.
    fn note_answer(&mut self, began: EpochMillis) {
        let now = self.setup.clock.now();
        let mut gap = None;
        self.contact.send_modify(|contact| {
            gap = contact.record_answer(began, now);
        });
        let Some(last) = gap else { return };
        let away_ms = last.until(now).as_millis() as u64;
        tracing::info!(event = "registry_returned", away_ms);
        self.list.registry_returned(now);
        self.gap_began = Some(last);
    }

    fn adopt(&mut self, step: FeedStep) {
        let now = self.setup.clock.now();
        match step {
            FeedStep::Whole(reading) => {
                let listed = reading.rows.iter().filter_map(|row| match self
                    .change(row)
                {
                    RosterChange::Listed(facts) => Some(facts),
                    RosterChange::Withdrawn(_) => None,
                });
                let listed = listed.collect();
                self.list.replace(listed, now);
                self.show();
            }
            FeedStep::Changes(reading) => {
                if reading.rows.is_empty() {
                    return;
                }
                for row in &reading.rows {
                    let change = self.change(row);
                    self.list.change(change, now);
                }
                self.show();
            }
        }
    }

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

    fn show(&self) {
        let facts: Vec<RunnerFacts> = self.list.facts().cloned().collect();
        self.log_changes(&facts);
        self.roster.send_replace(Some(Arc::new(facts)));
    }

    /// Logs which runners came, went or began to leave.
    fn log_changes(&self, facts: &[RunnerFacts]) {
        let former = self.roster.borrow().clone().unwrap_or_default();
        for facts in facts {
            let known = former.iter().find(|held| held.id == facts.id);
            let same = known.is_some_and(|held| {
                held.leaving == facts.leaving && held.is_same_start(facts)
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
        for held in former.iter() {
            if !facts.iter().any(|facts| facts.id == held.id) {
                tracing::info!(event = "runner_gone", runner = held.id);
            }
        }
    }

    /// Takes over a seed's roster where none was ever read.
    async fn ask_seed(&mut self) {
        if 0 < self.list.facts().count() {
            return;
        }
        let Some(seed) = pick_seed(&self.setup.seeds) else { return };
        let Ok(facts) = control::fetch_roster(seed).await else { return };
        if !facts.is_empty() {
            tracing::info!(event = "roster_adopted", source = seed);
            self.list.replace(facts, self.setup.clock.now());
            self.show();
        }
    }
}

fn pick_seed(seeds: &[String]) -> Option<&String> {
    if seeds.is_empty() {
        return None;
    }
    seeds.get(rand::random_range(0..seeds.len()))
}
