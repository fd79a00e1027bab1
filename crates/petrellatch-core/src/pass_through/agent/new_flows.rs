//! New flows: which of them are admitted, which are queued, and which are declined.

use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, DeclineReason, FlowQueued, PassThroughBody};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::admission::admission_queue::{NewFlow, ProcessingRate};
use crate::pass_through::flows::agent_flows::CallerPacket;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Handles an offer of a new flow. The flow is admitted, queued if it may be and is likely
    /// to get a slot in time, or declined.
    pub(super) fn handle_new_flow(&mut self, now: Timestamp, new_flow: NewFlow) {
        self.flows.release_half_open(now);
        let is_retransmission = self.flows.get(new_flow.flow).is_some();
        let is_late = self.is_late(new_flow.latency_objective, new_flow.syn_age);
        let slots = self.registration.slots();
        let rate = self.processing_rate();
        let must_yield = self.admission_queue.must_yield(new_flow.priority);
        let limit = match new_flow.may_queue && !is_late && !must_yield {
            false => slots,
            true => self.queue_limit(new_flow.latency_objective, new_flow.syn_age),
        };
        let decline_reason = match is_retransmission {
            true => self.decline_reason_by_state(now),
            false => self.decline_reason(now, &new_flow, limit),
        };
        match decline_reason {
            None => self.admit(now, new_flow),
            Some(DeclineReason::Full)
                if new_flow.may_queue && self.admission_queue.add(now, &new_flow, rate) =>
            {
                self.send_flow_queued(now, &new_flow);
            }
            Some(reason) => self.decline_new_flow(now, &new_flow, reason),
        }
    }

    fn decline_new_flow(&mut self, now: Timestamp, new_flow: &NewFlow, reason: DeclineReason) {
        if reason == DeclineReason::Full {
            self.counters.note_declined_full(new_flow.priority);
        }
        self.decline(now, new_flow.balancer, new_flow.flow, reason);
    }

    /// Admits a new flow, and delivers its SYN to the back end.
    fn admit(&mut self, now: Timestamp, new_flow: NewFlow) {
        if self.registration.may_be_cold(now) {
            self.warm_up_limiter.note_admitted(now);
        }
        self.counters.admitted += 1;
        self.registration.note_syn_delivered(now);
        self.outlier_detector.note_admitted(now);
        self.speculative_deliveries.forget(new_flow.flow);
        self.previous.forget(new_flow.flow);
        let slots = self.registration.slots();
        let packet_kind = CallerPacket::Syn;
        self.flows
            .note_from_caller(now, new_flow.flow, new_flow.balancer, packet_kind, slots);
        self.outputs
            .push_back(PassThroughOutput::ToBackend(new_flow.packet));
    }

    /// Whether the response to a request will miss its latency objective, `age` after the first
    /// SYN. A fresh flow is never late.
    fn is_late(&self, latency_objective: Duration, age: Duration) -> bool {
        let left = latency_objective.saturating_sub(age);
        !latency_objective.is_zero() && !age.is_zero() && left <= self.processing_time.mean()
    }

    /// Limit on in-flight requests with which a request can still meet its latency objective,
    /// `age` after the first SYN.
    fn queue_limit(&self, latency_objective: Duration, age: Duration) -> u32 {
        let left = latency_objective.saturating_sub(age);
        let default_per_slot = self.settings.default_requests_per_slot;
        let slots = self.registration.slots();
        self.processing_time
            .queue_limit(left, slots, default_per_slot)
    }

    /// Admits queued flows as far as there is capacity, and declines those that have expired.
    /// Flows that can still meet their latency objectives have the same limit as fresh ones;
    /// late ones get the slots that are left.
    pub(super) fn serve_queue(&mut self, now: Timestamp) {
        if self.admission_queue.is_empty() {
            return;
        }
        let rate = self.processing_rate();
        for new_flow in self.admission_queue.take_expired(now, rate) {
            self.decline_new_flow(now, &new_flow, DeclineReason::Full);
        }
        self.flows.release_half_open(now);
        while let Some(new_flow) = self.next_queued(now, rate) {
            let decline_reason = self.decline_reason(now, &new_flow, u32::MAX);
            self.admission_queue
                .remove(now, &new_flow, decline_reason.is_none(), rate);
            match decline_reason {
                None => self.admit(now, new_flow),
                Some(reason) => self.decline_new_flow(now, &new_flow, reason),
            }
        }
    }

    /// The queued flow that is admitted now, if there is one. A flow whose response would be
    /// late with the present number of in-flight requests stays queued, and doesn't block
    /// others.
    fn next_queued(&self, now: Timestamp, rate: ProcessingRate) -> Option<NewFlow> {
        let in_flight = self.flows.in_flight_requests();
        self.admission_queue.next(now, rate, |new_flow, age| {
            let limit = match self.is_late(new_flow.latency_objective, age) {
                // A late flow still goes before flows of lower priorities.
                true if self.admission_queue.has_lower_priority(new_flow.priority) => {
                    self.queue_limit(new_flow.latency_objective, Duration::ZERO)
                }
                true => rate.slots,
                false => self.queue_limit(new_flow.latency_objective, age),
            };
            in_flight < limit.max(rate.slots)
        })
    }

    fn processing_rate(&self) -> ProcessingRate {
        ProcessingRate {
            slots: self.registration.slots(),
            processing_time: self.processing_time.known_mean(),
        }
    }

    fn send_flow_queued(&mut self, now: Timestamp, new_flow: &NewFlow) {
        self.counters.waiting += 1;
        let age = new_flow.syn_age.as_millis();
        let in_flight = self.flows.in_flight_requests();
        let subject = format!("flow={} age={age} busy={in_flight}", new_flow.flow);
        self.emit_event(EventKind::FlowWaits, subject);
        let queued = FlowQueued {
            flow: new_flow.flow.into(),
            load: self.load_message(now),
        };
        self.send(new_flow.balancer, PassThroughBody::FlowQueued(queued));
    }

    /// Why a new flow is not admitted, if `limit` bounds the in-flight requests; `None` if it
    /// is.
    fn decline_reason(
        &mut self,
        now: Timestamp,
        new_flow: &NewFlow,
        limit: u32,
    ) -> Option<DeclineReason> {
        if let Some(reason) = self.decline_reason_by_state(now) {
            return Some(reason);
        }
        if self.is_evacuated() {
            return Some(DeclineReason::Evacuated);
        }
        // If all others are full, a back end that fails some requests is better than none.
        let ignores_ejection = new_flow.ignore_ejection || new_flow.may_queue;
        if !ignores_ejection && self.outlier_detector.is_ejecting(now) {
            return Some(DeclineReason::Failing);
        }
        if self.flows.in_flight_requests() >= limit {
            return Some(DeclineReason::Full);
        }
        let is_cold = self.registration.may_be_cold(now);
        let has_capacity = !is_cold || self.warm_up_limiter.admits(now);
        (!has_capacity).then_some(DeclineReason::Cold)
    }

    fn decline_reason_by_state(&self, now: Timestamp) -> Option<DeclineReason> {
        match self.state(now) {
            AgentState::Unavailable => Some(DeclineReason::NoBackend),
            AgentState::Draining => Some(DeclineReason::Draining),
            // The back end may be one that is leaving.
            AgentState::Ready | AgentState::Starting if !self.departures_are_known() => {
                Some(DeclineReason::NoBackend)
            }
            AgentState::Ready | AgentState::Starting => None,
        }
    }
}
