//! The router's view of prompt parts that crash runners: the ledger, and the
//! log lines and metrics of what it finds.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use super::{
    router_port::{CompletedCall, QueuedCall},
    trace::TraceVerdict,
};
use crate::{
    clock::EpochMillis,
    customer::HostLiveness,
    membership,
    metrics::HostMetrics,
    quarantine::{
        EvidenceReport, KeptVerdict, LedgerEvent, PartAdmission, PartId,
        PromptParts, RunnerSign, SuspectLedger, VerdictRow,
    },
    request::{Refusal, RefusalCode},
    roster::RunnerStart,
};

/// Time from the start of a host in which the others have told it which suspected
/// parts were sound.
const LEARNING_TIME: Duration = Duration::from_millis(2_000);

/// Shortest time after which a caller may return whose prompt has a part under
/// suspicion: the time in which a probe mostly ends.
const MIN_SUSPENSION_WAIT: Duration = Duration::from_millis(1_000);

/// The ledger of one host.
pub(super) struct QuarantineDesk {
    host: String,
    ledger: SuspectLedger,
    kept: watch::Sender<Vec<KeptVerdict>>,
    metrics: HostMetrics,
}

impl QuarantineDesk {
    pub(super) fn new(
        host: &str,
        kept: watch::Sender<Vec<KeptVerdict>>,
        metrics: HostMetrics,
        now: EpochMillis,
    ) -> QuarantineDesk {
        let mut ledger = SuspectLedger::new(rand::random(), now);
        ledger.learn_until(now.after(LEARNING_TIME));
        QuarantineDesk { host: host.to_owned(), ledger, kept, metrics }
    }

    /// Decides whether a call may be sent to a runner, for the first time or
    /// again. Returns the part to probe, if the call may be sent as a probe.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that may not.
    pub(super) fn check(
        &mut self,
        call: &QueuedCall,
        hosts: &HostLiveness,
        now: EpochMillis,
    ) -> Result<Option<PartId>, Refusal> {
        let requirements = &call.requirements;
        let parts = &requirements.parts;
        let own = self.host.as_str();
        let is_prober = |part: PartId| {
            let fleet = hosts.live(now).chain([own]);
            membership::best_host(fleet, &part.to_string()) == Some(own)
        };
        let probed = match self.ledger.admit(parts, is_prober, now) {
            PartAdmission::Admit => None,
            PartAdmission::Probe(part) => Some(part),
            PartAdmission::Reject(part) => {
                let verdict = self.ledger.verdict(part, now);
                return Err(refusal(part, verdict, now));
            }
            PartAdmission::Await(part) => {
                let verdict = self.ledger.verdict(part, now);
                return Err(suspension(
                    part,
                    verdict,
                    MIN_SUSPENSION_WAIT,
                    now,
                ));
            }
        };
        if requirements.sent && !self.ledger.allows_further_send(parts) {
            let message = "a part of the prompt may have ended the runner";
            let code = RefusalCode::RunnerFailed;
            return Err(Refusal::not_run(code, message));
        }
        Ok(probed)
    }

    /// Notes that a call with these parts was sent as the probe of a part.
    pub(super) fn begin_probe(
        &mut self,
        part: PartId,
        parts: &PromptParts,
        now: EpochMillis,
    ) {
        let others = self.ledger.others_of(part);
        tracing::info!(event = "part_probed", part = %part, %others, %parts);
        self.ledger.begin_probe(part, parts, now);
    }

    /// Notes what the end of a call tells.
    pub(super) fn note_end(
        &mut self,
        completed: &CompletedCall,
        now: EpochMillis,
    ) {
        let trace = &completed.trace;
        if trace.refused {
            let start = completed.choice.start();
            let sign = RunnerSign::Refused;
            let events = self.ledger.record_sign(&start, sign, now, now);
            self.announce(&events, now);
        }
        if trace.parts.is_empty() {
            return;
        }
        let clock = (Instant::now(), now);
        let events = match trace.verdict(completed.end, clock) {
            TraceVerdict::Sound => self.ledger.record_sound(&trace.parts, now),
            TraceVerdict::Witness(witness) => {
                let start = completed.choice.start();
                self.metrics.crash_witnesses.inc();
                tracing::info!(
                    event = "crash_witnessed",
                    runner = start.id,
                    born = start.born,
                    parts = %witness.parts,
                    begun = witness.begun,
                    sent_ago_ms = witness.sent_at.until(now).as_millis() as u64,
                );
                self.ledger.record_crash(&start, &witness, now)
            }
            TraceVerdict::Unframed(witness) => {
                let start = completed.choice.start();
                self.ledger.record_unframed(&start, &witness, now);
                self.ledger.record_neutral(&trace.parts, now);
                return;
            }
            TraceVerdict::Neutral => {
                self.ledger.record_neutral(&trace.parts, now);
                return;
            }
        };
        self.announce(&events, now);
    }

    /// Notes that a runner answered a call that was sent at `sent_at`.
    pub(super) fn note_answer(
        &mut self,
        start: &RunnerStart,
        sent_at: Instant,
        now: EpochMillis,
    ) {
        let at = now.before(sent_at.elapsed());
        let sign = RunnerSign::Answered;
        let events = self.ledger.record_sign(start, sign, at, now);
        self.announce(&events, now);
    }

    /// Notes an answer that goes on.
    pub(super) fn note_sound(
        &mut self,
        parts: &PromptParts,
        now: EpochMillis,
    ) {
        let events = self.ledger.record_sound(parts, now);
        self.announce(&events, now);
    }

    /// Applies what another host reports.
    pub(super) fn merge(&mut self, report: &EvidenceReport, now: EpochMillis) {
        let events = self.ledger.merge(report, now);
        self.announce(&events, now);
    }

    /// Adopts the verdicts that the hosts' rows keep.
    pub(super) fn adopt(&mut self, kept: &[KeptVerdict], now: EpochMillis) {
        let report = EvidenceReport::of_kept(kept, now);
        self.merge(&report, now);
    }

    /// Returns what the other hosts should be told.
    pub(super) fn report(
        &mut self,
        hosts: usize,
        now: EpochMillis,
    ) -> EvidenceReport {
        let (report, events) = self.ledger.report(hosts, now);
        self.announce(&events, now);
        report
    }

    /// Returns the time at which [`news`](Self::news) is due.
    pub(super) fn news_at(&self) -> Option<EpochMillis> {
        self.ledger.tell_at()
    }

    /// Returns what all other hosts should be told at once, if that is due.
    pub(super) fn news(
        &mut self,
        hosts: usize,
        now: EpochMillis,
    ) -> Option<EvidenceReport> {
        if self.ledger.tell_at().is_none_or(|at| now < at) {
            return None;
        }
        self.ledger.begin_telling(now);
        Some(self.report(hosts, now))
    }

    /// Returns the verdicts in force.
    pub(super) fn verdicts(&self, now: EpochMillis) -> Vec<VerdictRow> {
        self.ledger.verdicts(now).collect()
    }

    /// Ends the verdict on a part; returns whether there was one.
    pub(super) fn lift(&mut self, part: PartId, now: EpochMillis) -> bool {
        let events = self.ledger.lift(part, now);
        self.announce(&events, now);
        !events.is_empty()
    }

    /// Logs changes of the verdicts and updates the metrics.
    fn announce(&self, events: &[LedgerEvent], now: EpochMillis) {
        if events.is_empty() {
            return;
        }
        for event in events {
            match event {
                LedgerEvent::Rejected(row) => self.log_verdict(row, "own"),
                LedgerEvent::Adopted(row) => self.log_verdict(row, "host"),
                LedgerEvent::Cleared(part) => {
                    tracing::info!(event = "part_cleared", part = %part);
                }
                LedgerEvent::Dropped(part) => {
                    tracing::info!(event = "part_forgotten", part = %part);
                }
                LedgerEvent::Excluded(part) => {
                    tracing::info!(event = "part_excluded", part = %part);
                }
                LedgerEvent::TableFull(part) => {
                    tracing::warn!(event = "part_verdicts_full", part = %part);
                }
            }
        }
        let count = self.ledger.verdicts(now).count();
        self.metrics.rejected_parts.set(count as i64);
        self.keep(now);
    }

    /// Publishes the verdicts that are to be kept, if others are in force.
    fn keep(&self, now: EpochMillis) {
        let kept = self.ledger.kept_verdicts(now);
        self.kept.send_if_modified(|former| {
            let key = |verdict: &KeptVerdict| {
                (verdict.part, verdict.terms, verdict.others.clone())
            };
            let is_same = former.iter().map(key).eq(kept.iter().map(key));
            *former = kept;
            !is_same
        });
    }

    fn log_verdict(&self, row: &VerdictRow, source: &str) {
        tracing::warn!(
            event = "part_rejected",
            part = %row.part,
            source,
            trials = row.trials,
            terms = row.terms,
            sent_ago_ms = row.sent_ago_ms,
            left_ms = row.left_ms,
            others = %self.ledger.others_of(row.part),
            was_sound = self.ledger.was_sound(row.part),
        );
    }
}

/// Returns the refusal of a call with this part in its prompt. Callers don't
/// return after a final refusal, so it takes a verdict that a probe has confirmed.
fn refusal(
    part: PartId,
    verdict: Option<VerdictRow>,
    now: EpochMillis,
) -> Refusal {
    if !verdict.is_some_and(|row| row.is_confirmed()) {
        let left = verdict.map_or(0, |row| row.left_ms);
        let wait = Duration::from_millis(left).max(MIN_SUSPENSION_WAIT);
        return suspension(part, verdict, wait, now);
    }
    let message = format!(
        "part {part} of the prompt crashes backend servers; the request was \
         not run and must not be sent again"
    );
    Refusal::not_run(RefusalCode::PromptRejected, &message).verdict(verdict)
}

/// Returns the refusal of a call that may be served after `wait`.
fn suspension(
    part: PartId,
    verdict: Option<VerdictRow>,
    wait: Duration,
    now: EpochMillis,
) -> Refusal {
    let message = format!(
        "part {part} of the prompt may crash backend servers; the request was \
         not run"
    );
    Refusal::not_run(RefusalCode::PromptSuspended, &message)
        .retry_at(Some(now.after(wait)))
        .verdict(verdict)
}
