//! The part of the router that gives calls to runners, lets them wait and
//! refuses them. What waits, in which order and for how long is decided by
//! [`Admission`](crate::request::admission::Admission).

use std::time::Duration;

use super::{
    router::RouterTask,
    router_port::{QueuedCall, RelaySlot},
};
use crate::{
    clock::EpochMillis,
    customer::ChargeState,
    metrics::{RefusalLabels, WaitLabels, WaitedLabels},
    model::ModelName,
    relay::{LoadBasis, PickFault, RelayChoice, RelayTable},
    request::{
        Refusal, RefusalCode,
        admission::{
            Entry, Refused, Room, RunnerRoom, Scope, Ticket, WaitCause,
            Waiting, retry_at,
        },
    },
};

/// Time between two requests for the same missing adapter. Requests are
/// repeated because one may be lost.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

impl RunnerRoom<QueuedCall> for RelayTable {
    fn room(&self, call: &QueuedCall, now: EpochMillis) -> Room {
        let load = self.candidate_load(&call.requirements, now);
        let LoadBasis { own, reported, .. } = load.basis;
        Room { places: load.slots, taken: own.saturating_add(reported) }
    }

    fn serves(
        &self,
        runner: &str,
        call: &QueuedCall,
        now: EpochMillis,
    ) -> bool {
        self.may_serve(runner, &call.requirements, now)
    }
}

impl RouterTask {
    /// Gives a call that has just been admitted to a runner, or lets it wait
    /// for one.
    pub(super) fn dispatch(&mut self, call: QueuedCall, now: EpochMillis) {
        let ticket = self.ticket(&call, now);
        let entry = self.admission.arrive(ticket, call, now);
        let obstacle = self.admission.obstacle(&entry, &self.table, now);
        let Some(cause) = obstacle else {
            if let Some((entry, fault)) = self.place(entry, now) {
                self.enqueue(entry, fault, now);
            }
            return;
        };
        let lane = entry.ticket.lane.clone();
        self.hold(entry, cause, now);
        self.run_round(Scope::Lane(&lane), now);
    }

    /// Returns what admission is to know of a call.
    fn ticket(&self, call: &QueuedCall, now: EpochMillis) -> Ticket {
        let ticket = Ticket::of(&call.requirements, call.wait_until, now);
        if self.setup.scheduling.admits_by_class() {
            return ticket;
        }
        // Without a target, a call waits in order of arrival.
        Ticket { target: None, ..ticket }
    }

    /// Gives a call to a runner. Returns the call and the reason if it got
    /// none.
    fn place(
        &mut self,
        entry: Entry<QueuedCall>,
        now: EpochMillis,
    ) -> Option<(Entry<QueuedCall>, PickFault)> {
        if entry.call.reply.is_closed() {
            self.release_retry(&entry.call);
            return None;
        }
        let checked =
            self.quarantine.check(&entry.call, &self.host_liveness, now);
        let probed = match checked {
            Ok(probed) => probed,
            Err(refusal) => {
                self.send_refusal(entry.call, refusal);
                return None;
            }
        };
        let requirements = &entry.call.requirements;
        let choice = match self.table.pick(requirements, &self.catalog, now) {
            Ok(choice) => choice,
            Err(fault) => return Some((entry, fault)),
        };
        if let Some(part) = probed {
            let parts = &requirements.parts;
            self.quarantine.begin_probe(part, parts, now);
        }
        self.admission.note_placed(&entry, now);
        let ticket = &entry.ticket;
        let waited = ticket.arrived.until(now).as_millis() as u64;
        if 0 < waited {
            let labels = WaitedLabels {
                customer: ticket.customer.clone(),
                class: ticket.class(now).text(),
            };
            let waits = &self.setup.metrics.waited_ms;
            waits.get_or_create(&labels).inc_by(waited);
        }
        self.assign(entry.call, choice, now);
        None
    }

    /// Answers a call with the runner chosen for it. If its caller has left, the
    /// guard ends the call wherever it is dropped.
    fn assign(
        &mut self,
        call: QueuedCall,
        choice: RelayChoice,
        now: EpochMillis,
    ) {
        if let Some(grant) = &call.retry {
            let id = call.requirements.id.as_str();
            self.retries.record_sent(id, grant, now);
        }
        if choice.send_by.is_some() {
            self.setup.metrics.cold_sends.inc();
        }
        let link = if call.requirements.profile.idempotent {
            self.links.take_any(&choice.runner)
        } else {
            let link = self.links.take_certain(&choice.runner);
            link.map(|link| (link, true))
        };
        let parts = &call.requirements.parts;
        let slot = RelaySlot::new(choice, link, call.seat, parts, call.charge);
        let _ = call.reply.send(Ok(slot));
    }

    /// Lets a call wait that got no runner, or refuses it if no wait helps.
    fn enqueue(
        &mut self,
        mut entry: Entry<QueuedCall>,
        fault: PickFault,
        now: EpochMillis,
    ) {
        entry.call.fault = Some(fault);
        let requirements = &entry.call.requirements;
        if fault == PickFault::NoAdapter
            && let Some(name) = &requirements.model
            && self.knows_model(&requirements.service, name, now)
        {
            self.request_adapter(name, now);
        }
        match fault {
            PickFault::Paused(end) if entry.ticket.base_until <= end => {
                self.count_refusal(&entry.ticket, fault.text(), now);
                self.refuse_until(entry.call, fault.text(), Some(end));
                return;
            }
            PickFault::Paused(end) | PickFault::Cold(end) => {
                let next = self.retry_waiting_at.map_or(end, |at| at.min(end));
                self.retry_waiting_at = Some(next);
            }
            PickFault::TooLarge => {
                self.count_refusal(&entry.ticket, fault.text(), now);
                self.refuse_until(entry.call, fault.text(), None);
                return;
            }
            PickFault::AllTried => {
                self.count_refusal(&entry.ticket, fault.text(), now);
                self.refuse(entry.call, fault.text(), now);
                return;
            }
            _ => {}
        }
        let cause = match fault {
            PickFault::Full => WaitCause::Place,
            PickFault::NoModel | PickFault::NoAdapter => WaitCause::Model,
            _ => WaitCause::Runner,
        };
        self.hold(entry, cause, now);
    }

    /// Lets a call wait, or refuses it if its wait would be too long.
    fn hold(
        &mut self,
        entry: Entry<QueuedCall>,
        cause: WaitCause,
        now: EpochMillis,
    ) {
        let class = entry.ticket.class(now).text();
        match self.admission.hold(entry, cause, &self.table, now) {
            Waiting::Held { begins } => {
                if begins {
                    let labels = WaitLabels { class, cause: cause.text() };
                    let waits = &self.setup.metrics.waits;
                    waits.get_or_create(&labels).inc();
                }
            }
            Waiting::Refused(refused) => self.refuse_waiting(*refused, now),
        }
        self.show_waiting();
    }

    /// Offers a place that became free at a runner to the calls that it can
    /// serve.
    pub(super) fn offer_place(&mut self, runner: &str, now: EpochMillis) {
        if !self.admission.is_empty() {
            self.run_round(Scope::Runner(runner), now);
            self.show_waiting();
        }
    }

    /// Tries the waiting calls again.
    pub(super) fn retry_waiting(&mut self) {
        self.retry_waiting_at = None;
        if self.admission.is_empty() {
            return;
        }
        let now = self.setup.clock.now();
        self.run_round(Scope::All, now);
        self.show_waiting();
    }

    /// Refuses the waiting calls that get no place in time.
    pub(super) fn review_waiting(&mut self, now: EpochMillis) {
        let has_left = |call: &QueuedCall| call.reply.is_closed();
        for call in self.admission.take_ended(has_left) {
            self.release_retry(&call);
        }
        for refused in self.admission.review(&self.table, now) {
            self.refuse_waiting(refused, now);
        }
        self.show_waiting();
    }

    fn run_round(&mut self, scope: Scope<'_>, now: EpochMillis) {
        let mut round = self.admission.round(scope, &self.table, now);
        while let Some(entry) =
            self.admission.next_turn(&mut round, &self.table, now)
        {
            if let Some((entry, fault)) = self.place(entry, now) {
                self.admission.note_failure(&mut round, &entry);
                self.enqueue(entry, fault, now);
            }
        }
    }

    fn show_waiting(&self) {
        let waiting = self.admission.len();
        self.setup.metrics.waiting.set(waiting as i64);
    }

    /// Refuses a call whose wait is over or would be too long.
    fn refuse_waiting(
        &mut self,
        refused: Refused<QueuedCall>,
        now: EpochMillis,
    ) {
        let Refused { entry, reason, expected, basis } = refused;
        let Entry { ticket, call, cause, .. } = entry;
        let class = ticket.class(now);
        let labels =
            RefusalLabels { class: class.text(), cause: cause.text(), reason };
        self.setup.metrics.refusals.get_or_create(&labels).inc();
        let at = retry_at(&ticket, expected, rand::random(), now);
        let mut text = self.describe_fault(&call, now);
        if ticket.target.is_some() {
            let millis = |span: Duration| span.as_millis();
            let waited = millis(ticket.arrived.until(now));
            let left = millis(now.until(ticket.deadline));
            let expected = expected.map(millis);
            let priority = ticket.priority;
            text = format!(
                "{text}; {reason}: class {}, priority {priority}, waited \
                 {waited} ms for {}, {left} ms left, expected {expected:?} \
                 ms by {basis:?}",
                class.text(),
                cause.text(),
            );
        }
        self.refuse_until(call, &text, Some(at));
    }

    /// Counts the refusal of a call for which no wait helps.
    fn count_refusal(
        &self,
        ticket: &Ticket,
        reason: &'static str,
        now: EpochMillis,
    ) {
        let class = ticket.class(now).text();
        let cause = WaitCause::Runner.text();
        let labels = RefusalLabels { class, cause, reason };
        self.setup.metrics.refusals.get_or_create(&labels).inc();
    }

    /// Returns why no runner was chosen, with the load figures behind it.
    fn describe_fault(&self, call: &QueuedCall, now: EpochMillis) -> String {
        let Some(fault) = call.fault else {
            return "behind other calls".to_owned();
        };
        let text = fault.text();
        if fault != PickFault::Full {
            return text.to_owned();
        }
        let load = self.table.candidate_load(&call.requirements, now);
        let LoadBasis { own, reported, oldest_ms } = load.basis;
        format!(
            "{text}: {} runners with {} slots, {} tokens, {own} calls of \
             this host, {reported} told by others up to {oldest_ms} ms ago",
            load.runners, load.slots, load.tokens,
        )
    }

    /// Requests a missing adapter from the lease holder, at most once per
    /// [`ADAPTER_REQUEST_INTERVAL`] however many calls wait for the adapter.
    fn request_adapter(&mut self, name: &ModelName, now: EpochMillis) {
        let recent =
            |at: &EpochMillis| now < at.after(ADAPTER_REQUEST_INTERVAL);
        if self.requested_adapters.get(name).is_some_and(recent) {
            return;
        }
        self.requested_adapters.retain(|_, at| recent(at));
        self.requested_adapters.insert(name.clone(), now);
        self.setup.gossip.request_adapter(name);
    }

    /// Refuses a call for lack of a runner. The caller may retry a moment
    /// later.
    pub(super) fn refuse(
        &mut self,
        call: QueuedCall,
        reason: &str,
        now: EpochMillis,
    ) {
        let ticket = self.ticket(&call, now);
        let at = retry_at(&ticket, None, rand::random(), now);
        self.refuse_until(call, reason, Some(at));
    }

    /// Refuses a call for lack of a runner. A retry may succeed from
    /// `retry_at`, if ever.
    fn refuse_until(
        &mut self,
        call: QueuedCall,
        reason: &str,
        retry_at: Option<EpochMillis>,
    ) {
        let refusal = Refusal::not_run(RefusalCode::NoRunner, reason);
        self.send_refusal(call, refusal.retry_at(retry_at));
    }

    /// Takes back the retry that was granted to a call, as it gets no runner.
    fn release_retry(&mut self, call: &QueuedCall) {
        if let Some(grant) = &call.retry {
            self.retries.give_back(grant);
        }
    }

    /// Refuses a call, and refunds its charge if one was taken and the call
    /// hasn't run.
    pub(super) fn send_refusal(&mut self, call: QueuedCall, refusal: Refusal) {
        self.release_retry(&call);
        if let ChargeState::Taken(charge) = call.charge {
            self.buckets.refund(charge);
        }
        let _ = call.reply.send(Err(refusal));
    }
}
