//! The tasks that follow the platform's store.
//!
//! One task follows the operator's configuration, the other, in
//! [`super::registry`], the runners' registry. Each owns its position in the
//! feed of its table. The feed of the configuration is read by long polls, as
//! it changes rarely. While the store is unavailable, a host asks its seeds
//! (other hosts): for the catalog at each failure, for the roster only if it
//! knows no runner.
//!
//! An answer may never arrive although its connection stays open. A poll is
//! therefore given up early enough for its table to be read again within the
//! recovery time that the platform allows this host after a fault.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use rand::seq::SliceRandom as _;
use tokio::{sync::watch, task::JoinSet};

use super::{
    CatalogWatch, RosterWatch, control,
    evacuations::{EvacuationEvent, EvacuationPort},
    registry::{self, RevisionFeed, ZoneFeed},
};
use crate::{
    catalog::{EvacuationList, RevisionEvidence, ServiceCatalog},
    clock::{EpochMillis, HostClock},
    membership::{PeerContact, RegistryContact, RevisionNews},
    metrics::HostMetrics,
    port::{
        ANSWER_TIMEOUT, EdgeCodec, RowChange, StoreError, StorePort,
        StoreReading, StoreTable,
    },
    store_version::StoreVersion,
};

/// Time reserved to connect and read again after a poll without an answer.
const RECONNECT_MARGIN: Duration = Duration::from_millis(500);
/// Shortest wait of a poll, even if the recovery time that the platform allows
/// is shorter: each poll costs a store call.
const MIN_POLL_WAIT: Duration = Duration::from_millis(500);
/// Wait of a poll that the news of the zone's reader guards; well within the
/// store's history, which the next poll continues.
const GUARDED_POLL_WAIT: Duration = Duration::from_secs(10);
/// Base of the exponential back-off after failed store calls. The base doubles
/// with each failure, the first one included, up to [`MAX_BACKOFF`].
const BASE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest back-off after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Seeds that a host asks at once when the store may lack the latest revision; a
/// bound on the load of a large fleet in which all hosts ask.
const MAX_SEEDS_ASKED: usize = 8;

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
    /// Time after the operator's write from which nothing may be sent to an
    /// evacuated zone.
    pub(crate) evacuation_time: Duration,
    /// Takes in which zones are evacuated.
    pub(crate) evacuations: EvacuationPort,
}

impl<C> WatcherSetup<C> {
    /// Returns the age from which the last word of the store no longer shows
    /// that a revision is the newest: the wait of two polls, as the word is as old
    /// as the start of its poll, and the time for their answers.
    pub(super) fn evidence_limit(&self) -> Duration {
        (self.poll_wait() + RECONNECT_MARGIN) * 2
    }

    /// Returns the longest wait of a poll that still leaves time to read the
    /// table again within the recovery time.
    pub(super) fn poll_wait(&self) -> Duration {
        let spent = ANSWER_TIMEOUT + RECONNECT_MARGIN;
        let limit = self.recovery_time.min(self.evacuation_time);
        limit.saturating_sub(spent).max(MIN_POLL_WAIT)
    }
}

/// Values that the tasks publish to other tasks.
pub(crate) struct WatcherViews {
    pub(crate) catalog: CatalogWatch,
    pub(crate) evidence: EvidenceView,
    pub(crate) roster: RosterWatch,
    pub(crate) contact: watch::Receiver<RegistryContact>,
}

/// Starts the tasks of the configuration and the registry.
pub(crate) fn start<C: EdgeCodec>(
    setup: &WatcherSetup<C>,
    zone_feed: ZoneFeed,
) -> WatcherViews {
    let (catalog, catalog_receiver) = watch::channel(None);
    let (roster, roster_receiver) = watch::channel(None);
    let (contact, contact_receiver) =
        watch::channel(RegistryContact::default());
    let (news, news_receiver) = watch::channel(RevisionNews::default());
    let (evidence, evidence_receiver) =
        watch::channel(RevisionEvidence::default());
    let evidence_view = EvidenceView {
        own: evidence_receiver,
        news: news_receiver.clone(),
        limit: setup.evidence_limit(),
    };
    let revisions = RevisionFeed {
        catalog: catalog_receiver.clone(),
        evidence: evidence_view.own.clone(),
        news,
    };
    let configuration = ConfigurationTask {
        feed: FeedPosition::new(StoreTable::Configuration),
        setup: setup.clone(),
        news: news_receiver,
        catalog,
        evidence,
    };
    crate::tasks::spawn(configuration.run());
    registry::start(setup, zone_feed, revisions, contact, roster);
    WatcherViews {
        catalog: catalog_receiver,
        evidence: evidence_view,
        roster: roster_receiver,
        contact: contact_receiver,
    }
}

/// What this host's own reads and the reader of its zone say of the newest
/// revision.
#[derive(Clone)]
pub(crate) struct EvidenceView {
    own: watch::Receiver<RevisionEvidence>,
    news: watch::Receiver<RevisionNews>,
    limit: Duration,
}

impl EvidenceView {
    /// Returns whether `revision` is known to be the newest one.
    pub(crate) fn shows_newest(
        &self,
        revision: u64,
        now: EpochMillis,
    ) -> bool {
        self.current().shows_newest(revision, now, self.limit)
    }

    /// Returns all that is known now.
    pub(crate) fn current(&self) -> RevisionEvidence {
        let mut evidence = *self.own.borrow();
        let news = *self.news.borrow();
        if news.is_newest {
            evidence.confirm(news.revision, news.known_at);
        } else {
            evidence.hear(news.revision);
        }
        evidence
    }
}

/// A position in the feed of a table.
pub(super) struct FeedPosition {
    table: StoreTable,
    /// Version after which changes are to be read; `None` while the whole
    /// table has to be read.
    pub(super) after: Option<StoreVersion>,
    pub(super) failures: u32,
    /// Latest era of the store in which the table was read; `None` before.
    era: Option<u16>,
    /// Start of the last successful step.
    read_at: Option<EpochMillis>,
}

/// Result of a step along a feed.
pub(super) enum FeedStep {
    /// All rows of the table.
    Snapshot(StoreReading),
    /// All rows of the table after the store came back from an older copy, which
    /// may lack the latest changes.
    Restored(StoreReading),
    /// Rows that have changed since the position.
    Changes(StoreReading),
}

impl FeedStep {
    pub(super) fn reading(&self) -> &StoreReading {
        match self {
            FeedStep::Snapshot(reading)
            | FeedStep::Restored(reading)
            | FeedStep::Changes(reading) => reading,
        }
    }
}

impl FeedPosition {
    pub(super) fn new(table: StoreTable) -> FeedPosition {
        FeedPosition {
            table,
            after: None,
            failures: 0,
            era: None,
            read_at: None,
        }
    }

    /// Returns whether the store is known to have come back from an older copy
    /// at some time, so that it may lack what it acknowledged.
    pub(super) fn may_lack_changes(&self) -> bool {
        self.era.is_some_and(|era| 0 < era)
    }

    /// Reads the changes since the position, or the whole table if there is no
    /// position. An answer of a later era doesn't continue the position, as the
    /// store has issued its versions anew; the table is then read as a whole. An
    /// answer of an earlier era is a late one, and is dropped. After a failed
    /// step, doesn't wait for changes, so that the next answer shows at once that
    /// the store is back.
    pub(super) async fn step<C>(
        &mut self,
        setup: &WatcherSetup<C>,
        wait: Duration,
    ) -> Result<FeedStep, StoreError> {
        let (store, began) = (&setup.store, setup.clock.now());
        let wait = if 0 < self.failures { Duration::ZERO } else { wait };
        let step = match self.after {
            None => {
                let read = store.read(self.table).await;
                read.and_then(|reading| self.snapshot(reading))
            }
            Some(after) => {
                let read = store.follow(self.table, after, wait).await;
                read.and_then(|reading| changes(after, reading))
            }
        };
        let now = setup.clock.now();
        match &step {
            Ok(step) => {
                let version = step.reading().version;
                if let FeedStep::Restored(_) = step {
                    setup.metrics.store_returns.inc();
                    tracing::warn!(
                        event = "store_restored",
                        source = self.name(),
                        former_era = self.era,
                        %version,
                    );
                }
                setup.metrics.note_reading(self.name(), now);
                self.read_at = Some(began);
                self.after = Some(version);
                self.era = Some(version.era());
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
                    after = self.after.map(tracing::field::display),
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

    /// Classifies a reading of the whole table.
    fn snapshot(&self, reading: StoreReading) -> Result<FeedStep, StoreError> {
        let era = reading.version.era();
        match self.era {
            Some(known) if era < known => Err(earlier_era()),
            Some(known) if known < era => Ok(FeedStep::Restored(reading)),
            _ => Ok(FeedStep::Snapshot(reading)),
        }
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
    pub(super) fn backoff(&self) -> Duration {
        let doubled = BASE_BACKOFF * 2_u32.pow(self.failures.min(8));
        doubled.min(MAX_BACKOFF).mul_f64(rand::random_range(0.7..1.0))
    }
}

/// Classifies a reading of the changes after a version.
fn changes(
    after: StoreVersion,
    reading: StoreReading,
) -> Result<FeedStep, StoreError> {
    match reading.version.era().cmp(&after.era()) {
        Ordering::Less => Err(earlier_era()),
        Ordering::Equal => Ok(FeedStep::Changes(reading)),
        Ordering::Greater => Err(StoreError::HistoryDropped),
    }
}

fn earlier_era() -> StoreError {
    let reason = "the answer is of an earlier era of the store";
    StoreError::Refused(anyhow::anyhow!(reason))
}

struct ConfigurationTask<C> {
    setup: WatcherSetup<C>,
    feed: FeedPosition,
    /// The revision that another host of the zone has.
    news: watch::Receiver<RevisionNews>,
    catalog: watch::Sender<Option<Arc<ServiceCatalog>>>,
    evidence: watch::Sender<RevisionEvidence>,
}

impl<C: EdgeCodec> ConfigurationTask<C> {
    async fn run(mut self) {
        loop {
            let Some(step) = self.poll().await else { continue };
            if let Ok(step) = &step {
                self.tell_evacuations(step).await;
            }
            match step {
                Ok(step) => self.adopt_step(&step).await,
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

    /// Polls the feed. While the zone's reader has the same revision and knows it
    /// to be the newest, its word shows that a poll is lost, so the poll may be
    /// long; it is then given up, and `None` returned, once the reader says
    /// otherwise or its word is no longer current.
    async fn poll(&mut self) -> Option<Result<FeedStep, StoreError>> {
        let clock = self.setup.clock.clone();
        let news = *self.news.borrow_and_update();
        let is_current = clock.now() < news.current_until();
        let own = revision(self.catalog.borrow().as_deref());
        if !is_current || !news.is_newest || own != news.revision {
            let wait = self.setup.poll_wait();
            return Some(self.feed.step(&self.setup, wait).await);
        }
        let step = self.feed.step(&self.setup, GUARDED_POLL_WAIT);
        tokio::select! {
            step = step => Some(step),
            () = outdated(&mut self.news, own, &clock) => None,
        }
    }

    /// Adopts the newest catalog of a step. A store that came back from a copy
    /// may lack the latest revision until the operator writes it again. The seeds
    /// are then asked too: by a host that starts, before it serves under an older
    /// revision, and by any host that sees the return or hears of a newer one.
    async fn adopt_step(&self, step: &FeedStep) {
        let is_start = self.catalog.borrow().is_none();
        if is_start && self.feed.may_lack_changes() {
            self.fetch_from_seeds().await;
        }
        step.reading().rows.iter().for_each(|row| self.adopt(row));
        let own = revision(self.catalog.borrow().as_deref());
        if let Some(read_at) = self.feed.read_at {
            self.evidence.send_modify(|known| known.confirm(own, read_at));
        }
        let is_behind =
            self.feed.may_lack_changes() && own < self.news.borrow().revision;
        if is_behind || matches!(step, FeedStep::Restored(_)) {
            self.fetch_from_seeds().await;
        }
        if self.catalog.borrow().is_none() {
            tokio::time::sleep(BASE_BACKOFF).await;
        }
    }

    /// Passes on which zones are evacuated by a reading, before its catalog is
    /// in force: a host that starts then sends nothing to such a zone.
    async fn tell_evacuations(&self, step: &FeedStep) {
        let port = &self.setup.evacuations;
        let reading = step.reading();
        let zone = |key| self.setup.codec.evacuated_zone(key);
        if let FeedStep::Snapshot(_) | FeedStep::Restored(_) = step {
            let zones = reading.rows.iter().filter_map(|row| match row {
                RowChange::Written(row) => {
                    Some((zone(&row.key)?.to_owned(), row.version))
                }
                RowChange::Removed { .. } => None,
            });
            let (zones, version) = (zones.collect(), reading.version);
            port.send(EvacuationEvent::Table { zones, version }).await;
        } else {
            for row in &reading.rows {
                let (key, version, is_evacuated) = match row {
                    RowChange::Written(row) => (&row.key, row.version, true),
                    RowChange::Removed { key, version } => {
                        (key, *version, false)
                    }
                };
                let Some(zone) = zone(key) else { continue };
                let zone = zone.to_owned();
                let row = EvacuationEvent::Row { zone, version, is_evacuated };
                port.send(row).await;
            }
        }
        port.applied().await;
    }

    fn adopt(&self, row: &RowChange) {
        let RowChange::Written(row) = row else { return };
        match self.setup.codec.read_catalog(&row.key, &row.value) {
            Ok(Some(catalog)) => {
                self.adopt_catalog(catalog, "store");
                self.evidence.send_modify(|known| known.record_decoding(true));
            }
            Ok(None) => {}
            Err(error) => {
                self.evidence
                    .send_modify(|known| known.record_decoding(false));
                tracing::warn!(
                    event = "configuration_unreadable",
                    row = row.key,
                    version = %row.version,
                    error = format!("{error:#}"),
                );
            }
        }
    }

    /// Adopts a catalog unless its revision is as old as the current one or
    /// older.
    fn adopt_catalog(&self, catalog: ServiceCatalog, source: &str) {
        let current_revision = revision(self.catalog.borrow().as_deref());
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
        self.evidence.send_modify(|known| known.hear(catalog.revision));
        self.catalog.send_replace(Some(Arc::new(catalog)));
    }

    /// Asks a random seed for its catalog, from which a host that restarts
    /// while the store is unavailable can serve.
    async fn fetch_from_seed(&self) {
        let Some(seed) = pick_seed(&self.setup.seeds) else { return };
        let snapshot = SeedSnapshot::fetch(seed).await;
        self.adopt_snapshot(snapshot, seed).await;
    }

    /// Asks several seeds for their catalogs at once, and adopts the newest.
    async fn fetch_from_seeds(&self) {
        let mut seeds = self.setup.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let mut fetches = JoinSet::new();
        for seed in seeds.into_iter().take(MAX_SEEDS_ASKED) {
            fetches.spawn(
                async move { (SeedSnapshot::fetch(&seed).await, seed) },
            );
        }
        while let Some(fetched) = fetches.join_next().await {
            if let Ok((snapshot, seed)) = fetched {
                self.adopt_snapshot(snapshot, &seed).await;
            }
        }
    }

    async fn adopt_snapshot(&self, snapshot: SeedSnapshot, seed: &str) {
        if let Some(list) = snapshot.evacuations {
            let port = &self.setup.evacuations;
            port.send(EvacuationEvent::Told(list)).await;
            port.applied().await;
        }
        match snapshot.catalog {
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

/// What a seed knows of the operator's settings.
struct SeedSnapshot {
    evacuations: Option<EvacuationList>,
    catalog: anyhow::Result<Option<ServiceCatalog>>,
}

impl SeedSnapshot {
    async fn fetch(seed: &str) -> SeedSnapshot {
        let (evacuations, catalog) = tokio::join!(
            control::fetch_evacuations(seed),
            control::fetch_catalog(seed),
        );
        // A seed of a version without the evacuations sends something else.
        SeedSnapshot { evacuations: evacuations.ok().flatten(), catalog }
    }
}

/// Returns the revision of a catalog; 0 if none is known.
pub(super) fn revision(catalog: Option<&ServiceCatalog>) -> u64 {
    catalog.map_or(0, |catalog| catalog.revision)
}

/// Waits until the news isn't that `own` is the newest revision, or isn't current.
async fn outdated(
    news: &mut watch::Receiver<RevisionNews>,
    own: u64,
    clock: &HostClock,
) {
    loop {
        let latest = *news.borrow_and_update();
        let left = clock.now().until(latest.current_until());
        if !latest.is_newest || own != latest.revision || left.is_zero() {
            return;
        }
        tokio::select! {
            Ok(()) = news.changed() => {}
            () = tokio::time::sleep(left) => {}
        }
    }
}

pub(super) fn pick_seed(seeds: &[String]) -> Option<&String> {
    if seeds.is_empty() {
        return None;
    }
    seeds.get(rand::random_range(0..seeds.len()))
}
