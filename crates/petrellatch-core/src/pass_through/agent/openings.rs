//! New flows: which of them are admitted, which are queued, and which are declined.

use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, DeclineReason, FlowQueued, PassThroughBody};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::admission::waiting_openings::{Opening, Pace};
use crate::pass_through::flows::agent_flows::CallerPacket;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Handles an offer of a new flow. The flow is admitted, queued if it may be and is likely
    /// to get a slot in time, or declined.
    pub(super) fn handle_opening(&mut self, now: Timestamp, opening: Opening) {
        self.flows.release_half_open(now);
        let is_copy = self.flows.get(opening.flow).is_some();
        let is_late = self.is_late(opening.objective, opening.age);
        let slots = self.registration.capacity();
        let pace = self.pace();
        let yields = self.waiting.must_yield(opening.priority);
        let limit = match opening.may_queue && !is_late && !yields {
            false => slots,
            true => self.queue_limit(opening.objective, opening.age),
        };
        let refusal = match is_copy {
            true => self.refusal_by_state(now),
            false => self.refusal(now, &opening, limit),
        };
        match refusal {
            None => self.admit(now, opening),
            Some(DeclineReason::Full)
                if opening.may_queue && self.waiting.add(now, &opening, pace) =>
            {
                self.tell_waiting(now, &opening);
            }
            Some(reason) => self.decline_opening(now, &opening, reason),
        }
    }

    fn decline_opening(&mut self, now: Timestamp, opening: &Opening, reason: DeclineReason) {
        if reason == DeclineReason::Full {
            self.counters.note_full(opening.priority);
        }
        self.decline(now, opening.balancer, opening.flow, reason);
    }

    /// Admits a new flow, and delivers its SYN to the back end.
    fn admit(&mut self, now: Timestamp, opening: Opening) {
        if self.registration.may_be_cold(now) {
            self.cold_admission.note_admitted(now);
        }
        self.counters.admitted += 1;
        self.registration.note_offered(now);
        self.failure_watch.note_admitted(now);
        self.tried.forget(opening.flow);
        self.former.forget(opening.flow);
        let capacity = self.registration.capacity();
        let meaning = CallerPacket::Syn;
        self.flows
            .note_from_caller(now, opening.flow, opening.balancer, meaning, capacity);
        self.outputs
            .push_back(PassThroughOutput::ToBackend(opening.packet));
    }

    /// Whether the response to a request will miss its latency objective, `age` after the first
    /// SYN. A fresh flow is never late.
    fn is_late(&self, objective: Duration, age: Duration) -> bool {
        let left = objective.saturating_sub(age);
        !objective.is_zero() && !age.is_zero() && left <= self.service_time.mean()
    }

    /// Limit on in-flight requests with which a request can still meet its latency objective,
    /// `age` after the first SYN.
    fn queue_limit(&self, objective: Duration, age: Duration) -> u32 {
        let left = objective.saturating_sub(age);
        let unknown = self.settings.queue_factor;
        let capacity = self.registration.capacity();
        self.service_time.queue_limit(left, capacity, unknown)
    }

    /// Admits queued flows as far as there is capacity, and declines those that have expired.
    /// Flows that can still meet their latency objectives have the same limit as fresh ones;
    /// late ones get the slots that are left.
    pub(super) fn serve_waiting(&mut self, now: Timestamp) {
        if self.waiting.is_empty() {
            return;
        }
        let pace = self.pace();
        for opening in self.waiting.take_expired(now, pace) {
            self.decline_opening(now, &opening, DeclineReason::Full);
        }
        self.flows.release_half_open(now);
        while let Some(opening) = self.next_waiting(now, pace) {
            let refusal = self.refusal(now, &opening, u32::MAX);
            self.waiting.remove(now, &opening, refusal.is_none(), pace);
            match refusal {
                None => self.admit(now, opening),
                Some(reason) => self.decline_opening(now, &opening, reason),
            }
        }
    }

    /// The queued flow that is admitted now, if there is one. A flow whose response would be
    /// late with the present number of in-flight requests stays queued, and doesn't block
    /// others.
    fn next_waiting(&self, now: Timestamp, pace: Pace) -> Option<Opening> {
        let busy = self.flows.in_flight_requests();
        self.waiting.first(now, pace, |opening, age| {
            let limit = match self.is_late(opening.objective, age) {
                // A late flow still goes before less urgent ones.
                true if self.waiting.has_less_urgent(opening.priority) => {
                    self.queue_limit(opening.objective, Duration::ZERO)
                }
                true => pace.slots,
                false => self.queue_limit(opening.objective, age),
            };
            busy < limit.max(pace.slots)
        })
    }

    fn pace(&self) -> Pace {
        Pace {
            slots: self.registration.capacity(),
            work: self.service_time.known_mean(),
        }
    }

    fn tell_waiting(&mut self, now: Timestamp, opening: &Opening) {
        self.counters.waiting += 1;
        let age = opening.age.as_millis();
        let busy = self.flows.in_flight_requests();
        let subject = format!("flow={} age={age} busy={busy}", opening.flow);
        self.emit_event(EventKind::FlowWaits, subject);
        let waiting = FlowQueued {
            flow: opening.flow.into(),
            load: self.load_message(now),
        };
        self.send(opening.balancer, PassThroughBody::FlowQueued(waiting));
    }

    /// Why a new flow is not admitted, if `limit` bounds the in-flight requests; `None` if it
    /// is.
    fn refusal(&mut self, now: Timestamp, opening: &Opening, limit: u32) -> Option<DeclineReason> {
        if let Some(reason) = self.refusal_by_state(now) {
            return Some(reason);
        }
        if self.is_evacuated() {
            return Some(DeclineReason::Evacuated);
        }
        // If all others are full, a back end that fails some requests is better than none.
        let takes_failures = opening.despite_failures || opening.may_queue;
        if !takes_failures && self.failure_watch.declines(now) {
            return Some(DeclineReason::Failing);
        }
        if self.flows.in_flight_requests() >= limit {
            return Some(DeclineReason::Full);
        }
        let is_cold = self.registration.may_be_cold(now);
        let bears_more = !is_cold || self.cold_admission.admits(now);
        (!bears_more).then_some(DeclineReason::Cold)
    }

    fn refusal_by_state(&self, now: Timestamp) -> Option<DeclineReason> {
        match self.state(now) {
            AgentState::Unavailable => Some(DeclineReason::NoBackend),
            AgentState::Draining => Some(DeclineReason::Draining),
            AgentState::Ready | AgentState::Starting => None,
        }
    }
}
