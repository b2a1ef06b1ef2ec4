//! Messages to the router, and the handles with which other tasks send them.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{links::LinkTerm, trace::CallTrace};
use crate::{
    clock::EpochMillis,
    customer::ChargeState,
    membership::{FleetDigest, HostDigest},
    model::ModelName,
    placement::ModelDemand,
    port::{HttpLink, LinkReuse},
    quarantine::{
        EvidenceReport, KeptVerdict, PartId, PromptParts, VerdictRow,
    },
    relay::{
        CallEnd, CallRequirements, PickFault, RelayChoice, RunnerNotice,
        SentCall,
    },
    request::{Refusal, RefusalCode, RetryClaim, RetryGrant},
    roster::RunnerStart,
    tasks::{MAILBOX_CAPACITY, MAX_IN_FLIGHT},
};

/// Longest time that a call waits for its model or for a free slot.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(1_500);
/// Share of the time to its deadline that a call may wait for a runner.
const QUEUE_WAIT_SHARE: f64 = 0.2;

/// Message to the router.
pub(crate) enum RouterEvent {
    /// Choose a runner for a call.
    Route(Box<QueuedCall>),
    /// A runner has sent the head of an answer, with this notice, to a call
    /// that was sent to it at `sent_at`.
    AnswerHead { start: RunnerStart, notice: RunnerNotice, sent_at: Instant },
    /// The first part of a successful answer has arrived, or the whole answer to
    /// a plain call.
    FirstEvent { start: RunnerStart, sent: SentCall },
    /// Pace of a stream of a runner, in microseconds per event.
    StreamPace { runner: String, model: String, pace_us: u64 },
    /// An answer has gone on for so long that these parts of its prompt can't
    /// crash a runner.
    SoundAnswer(PromptParts),
    /// Evidence of another host, received at `at`.
    Evidence { report: Box<EvidenceReport>, at: EpochMillis },
    /// Request for the verdicts on parts of prompts.
    ReadVerdicts(oneshot::Sender<Vec<VerdictRow>>),
    /// End the verdict on a part; replies whether there was one.
    LiftVerdict(PartId, oneshot::Sender<bool>),
    /// Digest of another host, received at `at`.
    Digest { digest: Box<HostDigest>, at: EpochMillis },
    /// What all other hosts but the `absent` ones do, which are sorted, received
    /// at `at`.
    FleetDigest {
        digest: Box<FleetDigest>,
        absent: Vec<String>,
        at: EpochMillis,
    },
    /// Another host was told by these runners that they are leaving.
    Departing(Vec<RunnerStart>),
    /// These runners refused another host a connection.
    Unreachable(Vec<RunnerStart>),
    /// Another host has joined.
    HostAdded { host: String, zone: String },
    /// Another host was removed.
    HostRemoved(String),
    /// The list of hosts was read and its changes were sent. Holds what the rows
    /// keep for a process that starts, after the first reading.
    HostsListed { kept: Option<KeptState> },
    /// The claims of retries are written, or may not be.
    ClaimsWritten(bool),
    /// Models and adapters held by some runners, as the lease holder reports
    /// them, and whether its earlier reports on the other runners are still
    /// valid.
    RunnerModels {
        runner_models: Vec<(String, Vec<ModelName>)>,
        others_unchanged: bool,
    },
    /// Request for what the other hosts are to know.
    ReadReport(oneshot::Sender<RouterReport>),
    /// Request for the demand of this host's calls.
    ReadDemand(oneshot::Sender<ModelDemand>),
}

/// What the hosts' rows keep for a process that starts.
pub(crate) struct KeptState {
    /// Claims of retries by earlier processes of this host.
    pub(super) claims: Vec<RetryClaim>,
    /// Verdicts in the rows of all hosts.
    pub(super) verdicts: Vec<KeptVerdict>,
}

/// What the other hosts are to know of the router's state.
pub(crate) struct RouterReport {
    /// Digest of this host, without the demand.
    pub(super) digest: HostDigest,
    /// Runners that told this host a moment ago that they are leaving.
    pub(super) departures: Vec<RunnerStart>,
    /// Evidence and verdicts on parts of prompts.
    pub(super) evidence: EvidenceReport,
}

/// A call that waits for the choice of its runner.
pub(crate) struct QueuedCall {
    pub(super) requirements: CallRequirements,
    pub(super) charge: ChargeState,
    /// Limit of the wait of a call without a target.
    pub(super) wait_until: EpochMillis,
    /// Why the call got no runner when it was last tried.
    pub(super) fault: Option<PickFault>,
    /// The further send that was granted to the call.
    pub(super) retry: Option<RetryGrant>,
    pub(super) reply: oneshot::Sender<Result<RelaySlot, Refusal>>,
    /// Room for the report of the call's end.
    pub(super) seat: SlotSeat,
}

/// Room in the router's mailbox for the report of a call's end, reserved before
/// the call gets a runner, so that its end never waits.
pub(super) struct SlotSeat {
    sender: mpsc::Sender<RouterEvent>,
    permit: mpsc::OwnedPermit<CompletedCall>,
}

/// How a routed call ended. `link` is its connection with the term for which it
/// may be used again.
pub(super) struct CompletedCall {
    pub(super) choice: RelayChoice,
    pub(super) head_reported: bool,
    pub(super) end: CallEnd,
    pub(super) trace: CallTrace,
    pub(super) link: Option<(HttpLink, LinkTerm)>,
}

/// Handle with which other tasks send messages to the router.
#[derive(Clone)]
pub(crate) struct RouterPort {
    pub(crate) sender: mpsc::Sender<RouterEvent>,
    completion_sender: mpsc::Sender<CompletedCall>,
}

/// Guard of a call that counts as in flight at its runner. If it is dropped
/// without an end, the call ends as [`CallEnd::Neutral`].
pub(crate) struct RelaySlot {
    pub(crate) choice: RelayChoice,
    /// Idle connection to the runner, and whether it is certain to be open.
    pub(crate) link: Option<(HttpLink, bool)>,
    /// The charge of the call, which hasn't run yet.
    pub(crate) charge: ChargeState,
    sender: mpsc::Sender<RouterEvent>,
    head_reported: bool,
    first_event_reported: bool,
    trace: CallTrace,
    permit: Option<mpsc::OwnedPermit<CompletedCall>>,
}

impl RelaySlot {
    /// Creates the guard of a call that was counted at the chosen runner. `link`
    /// is an idle connection to it, if there is one.
    pub(super) fn new(
        choice: RelayChoice,
        link: Option<(HttpLink, bool)>,
        seat: SlotSeat,
        parts: &PromptParts,
        charge: ChargeState,
    ) -> RelaySlot {
        RelaySlot {
            choice,
            link,
            charge,
            sender: seat.sender,
            head_reported: false,
            first_event_reported: false,
            trace: CallTrace::of(parts),
            permit: Some(seat.permit),
        }
    }

    /// Reports that the head of the answer has been received. If the mailbox
    /// of the router is full, the end of the call reports it, unless the head
    /// carries a notice, which can't wait for that.
    pub(crate) async fn head_received(&mut self, notice: RunnerNotice) {
        self.trace.begun = true;
        let start = self.choice.start();
        let sent_at = self.trace.sent_at.unwrap_or_else(Instant::now);
        let event = RouterEvent::AnswerHead { start, notice, sent_at };
        self.head_reported = if notice.is_empty() {
            self.sender.try_send(event).is_ok()
        } else {
            self.sender.send(event).await.is_ok()
        };
    }

    /// Notes that the call is about to be written to its runner.
    pub(crate) fn note_send(&mut self) {
        self.trace.sent_at = Some(Instant::now());
    }

    /// Notes that the runner's address refused a connection.
    pub(crate) fn note_refused(&mut self) {
        self.trace.refused = true;
    }

    /// Notes that nothing but the end of the connection ends the answer.
    pub(crate) fn note_unframed(&mut self) {
        self.trace.is_unframed = true;
    }

    /// Notes that a part of a successful answer's body arrived. Reports the first
    /// one, and once that the answer goes on; a lost report of the latter is made
    /// up for by the end of the call.
    pub(crate) fn note_frame(&mut self) {
        if !std::mem::replace(&mut self.first_event_reported, true) {
            let (start, sent) = (self.choice.start(), self.choice.sent);
            let event = RouterEvent::FirstEvent { start, sent };
            let _ = self.sender.try_send(event);
        }
        if self.trace.note_frame(Instant::now()) {
            let parts = self.trace.parts.clone();
            let event = RouterEvent::SoundAnswer(parts);
            let _ = self.sender.try_send(event);
        }
    }

    /// Ends the call. `link` is its connection, which becomes idle, with what the
    /// runner announced about its further use.
    pub(crate) fn finish(
        mut self,
        end: CallEnd,
        link: Option<(HttpLink, LinkReuse)>,
    ) {
        self.complete(end, link);
    }

    /// Reports the pace of a stream in flight. A lost report is made up for by
    /// the next one.
    pub(crate) fn report_pace(&self, pace_us: u64) {
        let _ = self.sender.try_send(RouterEvent::StreamPace {
            runner: self.choice.runner.clone(),
            model: self.choice.model().to_owned(),
            pace_us,
        });
    }

    /// Reports the end of the call to the router, once.
    fn complete(&mut self, end: CallEnd, link: Option<(HttpLink, LinkReuse)>) {
        let Some(permit) = self.permit.take() else { return };
        let (choice, head_reported) =
            (self.choice.clone(), self.head_reported);
        let trace = std::mem::take(&mut self.trace);
        let now = Instant::now();
        let link = link.and_then(|(link, reuse)| {
            Some((link, LinkTerm::begin(reuse, now)?))
        });
        permit.send(CompletedCall { choice, head_reported, end, trace, link });
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.complete(CallEnd::Neutral, None);
    }
}

impl RouterPort {
    /// Waits until the router has chosen a runner for a call, or has refused
    /// the call. The slot holds the charge once it is taken; a refusal gives it
    /// back.
    pub(crate) async fn route(
        &self,
        requirements: &CallRequirements,
        charge: ChargeState,
        now: EpochMillis,
    ) -> Result<RelaySlot, Refusal> {
        let permit = self.completion_sender.clone().reserve_owned().await;
        let permit = permit.map_err(|_| shutting_down())?;
        let seat = SlotSeat { sender: self.sender.clone(), permit };
        let left = now.until(requirements.deadline).mul_f64(QUEUE_WAIT_SHARE);
        let event = |reply| {
            RouterEvent::Route(Box::new(QueuedCall {
                requirements: requirements.clone(),
                charge,
                wait_until: now.after(left.min(MAX_QUEUE_WAIT)),
                fault: None,
                retry: None,
                reply,
                seat,
            }))
        };
        let routed = crate::tasks::ask(&self.sender, event).await;
        routed.ok_or_else(shutting_down)?
    }
}

/// Creates the handle and the mailboxes of the task.
pub(crate) fn mailbox() -> (RouterPort, RouterInbox) {
    let (sender, events) = mpsc::channel(MAILBOX_CAPACITY);
    let (completion_sender, completions) = mpsc::channel(MAX_IN_FLIGHT);
    (
        RouterPort { sender, completion_sender },
        RouterInbox { events, completions },
    )
}

/// The receiving ends of the mailboxes.
pub(crate) struct RouterInbox {
    pub(super) events: mpsc::Receiver<RouterEvent>,
    pub(super) completions: mpsc::Receiver<CompletedCall>,
}

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
