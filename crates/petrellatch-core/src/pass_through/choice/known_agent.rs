//! A balancer's state of one agent, and the cost of placing a flow there.

use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, LoadMessage};

use super::expected_completion::{
    completion_millis, default_processing_millis, processing_millis, waiting_millis,
};
use super::service_load::ServiceLoad;
use crate::pass_through::policies::backend_profile::{BackendCondition, BackendProfile};
use crate::time::Timestamp;

/// Half-life of a reported number of in-flight requests, as these requests complete.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(120);
/// Cost of an agent in another zone, as a fraction of the service's mean processing
/// time: traffic between zones is expensive, and callers hardly notice a response that
/// takes a third longer.
const OTHER_ZONE_COST_FRACTION: f64 = 0.3;
/// Cost of an agent that has just started and has not seen its back end yet, in
/// milliseconds. This and the costs below are longer than any request takes, so that
/// they rank the agents.
const STARTING_COST: f64 = 500_000.0;
/// Cost of a deprioritized agent, in milliseconds. Only agents that are ejected or
/// suspected rank lower.
pub(super) const DEPRIORITIZED_COST: f64 = 750_000.0;
/// Cost of a suspected agent, in milliseconds. It ranks last.
const SUSPECTED_COST: f64 = 1_000_000.0;
/// An agent with a flow query that has had no reply for this time relays no queries:
/// one round of queries takes as long.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// An agent with a flow query that has had no reply for this time is regarded as absent,
/// and its back end with it. A planned restart of an agent takes less.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a balancer knows about one agent.
#[derive(Debug)]
pub(crate) struct KnownAgent {
    /// Digest of its service.
    pub(crate) service: u64,
    pub(crate) state: AgentState,
    /// Digest of its zone.
    pub(crate) zone: u64,
    pub(crate) incarnation: u64,
    /// Sequence number of its latest report.
    pub(crate) sequence: u64,
    /// When it sent its latest report, or another message to this balancer.
    pub(crate) reported_at: Timestamp,
    /// When its latest message came, or the latest update in which a replica lists it.
    pub(crate) last_seen_at: Timestamp,
    /// When the oldest flow query without a reply was sent.
    pub(crate) unanswered_since: Option<Timestamp>,
    pub(crate) load: LoadMessage,
    pub(crate) load_at: Timestamp,
    /// New flows offered to it since its latest load message.
    pub(crate) flows_since_report: u32,
    /// Consecutive offers without a reply.
    pub(crate) timeouts: u32,
    pub(crate) suspected_until: Timestamp,
    /// Until then it ranks after the other agents.
    pub(crate) deprioritized_until: Timestamp,
    /// Until then its back end is ejected, by the agent's own load message.
    pub(crate) ejected_until: Timestamp,
    pub(crate) profile: BackendProfile,
    /// Increases with each change of the profile or the state.
    pub(crate) profile_revision: u64,
    /// Increases with each change of anything that a policy reads.
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

    /// Updates the agent's state and the back end's profile, where they have changed.
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

    /// Whether its back end is ejected, as it fails requests.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// What a policy reads besides the profile.
    pub(crate) fn condition(&self, now: Timestamp) -> BackendCondition {
        BackendCondition {
            state: self.state,
            load: self.load,
            flows_since_report: self.flows_since_report,
            is_ejected: self.is_ejected(now),
        }
    }

    /// Whether a flow search must wait for its reply. An agent counts as absent, along with
    /// its back end, if it has not replied for [`ABSENCE_TIMEOUT`], or if its current
    /// incarnation has not seen its back end yet.
    pub(crate) fn is_expected(&self, now: Timestamp, replies_on_time: bool) -> bool {
        let is_absent = |since| now.saturating_since(since) >= ABSENCE_TIMEOUT;
        !replies_on_time || (self.has_backend() && !self.unanswered_since.is_some_and(is_absent))
    }

    /// Whether no flow query to it is overdue, its back end is known, and it is not
    /// suspected.
    pub(crate) fn answers_queries(&self, now: Timestamp) -> bool {
        self.has_backend() && now >= self.suspected_until && !self.is_silent(now)
    }

    /// Whether a flow query has had no reply for as long as a round takes.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let is_overdue = |since| now.saturating_since(since) >= REPLY_TIMEOUT;
        self.unanswered_since.is_some_and(is_overdue)
    }

    /// Whether its current incarnation has seen its back end.
    pub(crate) fn has_backend(&self) -> bool {
        matches!(self.state, AgentState::Ready | AgentState::Draining)
    }

    /// The cost of placing a flow there, in milliseconds: the expected time of its requests,
    /// and penalties for the agent's state and for another zone than `zone`.
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

    /// The expected time until the responses to a new flow's requests, in milliseconds. For
    /// services with short flows it follows from the in-flight requests, for services with
    /// long-lived flows from the demand of the open flows.
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

    /// Mean number of slots that the open flows, the flows offered since the load message
    /// and a new one keep busy. `relative_processing` is the back end's processing time
    /// relative to the service's. As the demand of a flow is not known when it starts, a new
    /// flow counts with the service's mean, and the open flows together count with at least
    /// that mean each.
    fn expected_demand(&self, relative_processing: f64, service_load: &ServiceLoad) -> f64 {
        let flow_demand = service_load.flow_demand() * relative_processing;
        let reported = f64::from(self.load.demand_millislots) / 1_000.0;
        let offered = f64::from(self.flows_since_report);
        let flows = f64::from(self.load.open_flows) + offered;
        (reported + offered * flow_demand).max(flows * flow_demand) + flow_demand
    }

    /// Estimated in-flight requests: those of the latest load message and the flows offered
    /// since, halved every [`LOAD_HALF_LIFE`].
    fn expected_requests(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.load_at);
        let half_lives = age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let requests = f64::from(self.load.in_flight_requests) + f64::from(self.flows_since_report);
        requests * 0.5_f64.powf(half_lives)
    }
}
