//! One agent as a balancer knows it, and what it costs to choose it.

use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, LoadMessage};

use super::expected_completion::{
    completion_millis, default_processing_millis, processing_millis, waiting_millis,
};
use super::service_load::ServiceLoad;
use crate::pass_through::policies::backend_profile::{BackendCondition, BackendProfile};
use crate::time::Timestamp;

/// A load figure loses half of its weight in this time, since the requests
/// behind it come to their ends.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(120);
/// What an agent of another zone costs, as a part of the service's mean time of work:
/// traffic between zones is dear, and a caller hardly notices an answer that takes a
/// third longer.
const OTHER_ZONE_COST_FRACTION: f64 = 0.3;
/// What an agent costs whose back end was not heard yet, in milliseconds. This and the
/// costs below are longer than any request takes: they put agents in an order.
const STARTING_COST: f64 = 500_000.0;
/// What an agent costs that is avoided, as it declined for a reason that lasts: it comes
/// after all others but those that fail or are suspected. In milliseconds.
pub(super) const DEPRIORITIZED_COST: f64 = 750_000.0;
/// What a suspected agent costs, in milliseconds: it comes after all others.
const SUSPECTED_COST: f64 = 1_000_000.0;
/// An agent that has not answered a question for flows by then asks no others:
/// a round of questions takes so long.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// An agent that has not answered a question for flows by then is gone, and its
/// back end with it; one that is restarted as planned is back earlier.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One agent.
#[derive(Debug)]
pub(crate) struct KnownAgent {
    pub(crate) service: u64,
    pub(crate) state: AgentState,
    /// Digest of its zone.
    pub(crate) zone: u64,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    /// When it made its latest report, or sent something else.
    pub(crate) reported_at: Timestamp,
    /// When it was heard last, or a replica said last that it is there.
    pub(crate) last_seen_at: Timestamp,
    /// Since when it has not answered questions for flows.
    pub(crate) unanswered_since: Option<Timestamp>,
    pub(crate) load: LoadMessage,
    pub(crate) load_at: Timestamp,
    /// Opening packets sent since the load was told.
    pub(crate) flows_since_report: u32,
    pub(crate) timeouts: u32,
    pub(crate) suspected_until: Timestamp,
    /// Until then it is asked after the others.
    pub(crate) deprioritized_until: Timestamp,
    /// Until then its back end is left out, by its own word.
    pub(crate) ejected_until: Timestamp,
    pub(crate) profile: BackendProfile,
    /// Rises with each change of the profile or the state.
    pub(crate) profile_revision: u64,
    /// Rises with each change of anything that a policy reads.
    pub(crate) load_revision: u64,
}

impl KnownAgent {
    pub(crate) fn note_load(&mut self, now: Timestamp, load: LoadMessage) {
        self.load = load;
        self.load_at = now;
        self.flows_since_report = 0;
        self.load_revision += 1;
        self.ejected_until = now + Duration::from_millis(u64::from(load.ejected_millis));
    }

    pub(crate) fn note_flow_sent(&mut self) {
        self.flows_since_report += 1;
        self.load_revision += 1;
    }

    /// Takes the back end's profile and the agent's state, if they differ.
    pub(crate) fn note_profile(&mut self, state: AgentState, profile: BackendProfile) {
        self.note_state(state);
        let profile = profile.with_stable_start(&self.profile);
        if self.profile != profile {
            self.profile = profile;
            self.profile_revision += 1;
            self.load_revision += 1;
        }
    }

    pub(crate) fn note_state(&mut self, state: AgentState) {
        if self.state != state {
            self.state = state;
            self.profile_revision += 1;
            self.load_revision += 1;
        }
    }

    /// Whether its back end is left out, as it fails requests.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// What a policy reads of it beside the profile.
    pub(crate) fn condition(&self, now: Timestamp) -> BackendCondition {
        BackendCondition {
            state: self.state,
            load: self.load,
            flows_since_report: self.flows_since_report,
            is_ejected: self.is_ejected(now),
        }
    }

    /// Whether it answers questions for flows, unless it is just restarted. One
    /// that has not heard of its back end in its present life counts as gone with
    /// that if it does not answer.
    pub(crate) fn is_expected(&self, now: Timestamp, replies_on_time: bool) -> bool {
        let is_absent = |since| now.saturating_since(since) >= ABSENCE_TIMEOUT;
        !replies_on_time || (self.has_backend() && !self.unanswered_since.is_some_and(is_absent))
    }

    /// Whether it has answered all questions so far, and is not suspected.
    pub(crate) fn answers_queries(&self, now: Timestamp) -> bool {
        self.has_backend() && now >= self.suspected_until && !self.is_silent(now)
    }

    /// Whether it has left a question unanswered for as long as a round takes.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let is_overdue = |since| now.saturating_since(since) >= REPLY_TIMEOUT;
        self.unanswered_since.is_some_and(is_overdue)
    }

    /// Whether it has heard of its back end in its present life.
    pub(crate) fn has_backend(&self) -> bool {
        matches!(self.state, AgentState::Ready | AgentState::Draining)
    }

    /// What it costs to place a flow there, in milliseconds: how long its requests are
    /// likely to take, and what speaks against the agent for a balancer in `zone`.
    pub(crate) fn cost(&self, now: Timestamp, zone: u64, service_load: &ServiceLoad) -> f64 {
        let mean_processing = default_processing_millis(service_load.processing_millis());
        let mut cost = self.expected_millis(now, service_load);
        if self.zone != zone {
            cost += mean_processing * OTHER_ZONE_COST_FRACTION;
        }
        if self.state == AgentState::Starting {
            cost += STARTING_COST;
        }
        if now < self.deprioritized_until {
            cost += DEPRIORITIZED_COST;
        }
        if now < self.suspected_until {
            cost += SUSPECTED_COST;
        }
        cost
    }

    /// How long the requests of a new flow are likely to take until their answers, in
    /// milliseconds: by the requests in hand as far as flows are short, and by what the
    /// open flows need as far as they live long.
    fn expected_millis(&self, now: Timestamp, service_load: &ServiceLoad) -> f64 {
        let slots = self.load.slots;
        let processing = processing_millis(&self.load, service_load.processing_millis());
        let mean_processing = default_processing_millis(service_load.processing_millis());
        let requests = self.expected_requests(now);
        let short_flow_millis = completion_millis(processing, requests, slots);
        let demand = self.expected_demand(processing / mean_processing, service_load);
        let long_flow_millis = completion_millis(mean_processing, demand, slots);
        let weight = service_load.demand_weight();
        let wait = waiting_millis(processing, requests, slots);
        short_flow_millis * (1.0 - weight) + (long_flow_millis + wait) * weight
    }

    /// Slots that the open flows, those sent since and a new one need in the mean, on a
    /// back end whose work takes this many times as long as usual. A flow that has just
    /// come has not shown what it needs: it counts as one like the others.
    fn expected_demand(&self, relative_processing: f64, service_load: &ServiceLoad) -> f64 {
        let new_flow = service_load.flow_demand() * relative_processing;
        let reported = f64::from(self.load.demand_millislots) / 1_000.0;
        let offered = f64::from(self.flows_since_report);
        let flows = f64::from(self.load.open_flows) + offered;
        (reported + offered * new_flow).max(flows * new_flow) + new_flow
    }

    /// Requests in hand, as far as old news and what was sent since tell.
    fn expected_requests(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.load_at);
        let half_lives = age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let requests = f64::from(self.load.in_flight_requests) + f64::from(self.flows_since_report);
        requests * 0.5_f64.powf(half_lives)
    }
}
