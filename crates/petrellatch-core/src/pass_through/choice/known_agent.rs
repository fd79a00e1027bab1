//! One agent as a balancer knows it, and what it costs to choose it.

use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, LoadMessage};

use super::expected_completion::{
    completion_millis, usual_work_millis, waiting_millis, work_millis,
};
use super::service_pattern::ServicePattern;
use crate::pass_through::policies::backend_profile::{BackendCondition, BackendProfile};
use crate::time::Timestamp;

/// A load figure loses half of its weight in this time, since the requests
/// behind it come to their ends.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(120);
/// What an agent of another zone costs, as a part of the service's mean time of work:
/// traffic between zones is dear, and a caller hardly notices an answer that takes a
/// third longer.
const OTHER_ZONE_SHARE: f64 = 0.3;
/// What an agent costs whose back end was not heard yet, in milliseconds. This and the
/// costs below are longer than any request takes: they put agents in an order.
const STARTING_COST: f64 = 500_000.0;
/// What an agent costs that is avoided, as it declined for a reason that lasts: it comes
/// after all others but those that fail or are suspected. In milliseconds.
pub(super) const AVOIDED_COST: f64 = 750_000.0;
/// What a suspected agent costs, in milliseconds: it comes after all others.
const SUSPECT_COST: f64 = 1_000_000.0;
/// An agent that has not answered a question for flows by then asks no others:
/// a round of questions takes so long.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// An agent that has not answered a question for flows by then is gone, and its
/// back end with it; one that is restarted as planned is back earlier.
const ABSENCE_LIMIT: Duration = Duration::from_millis(1_500);

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
    pub(crate) heard_at: Timestamp,
    /// Since when it has not answered questions for flows.
    pub(crate) unanswered_since: Option<Timestamp>,
    pub(crate) load: LoadMessage,
    pub(crate) load_at: Timestamp,
    /// Opening packets sent since the load was told.
    pub(crate) sent_since: u32,
    pub(crate) misses: u32,
    pub(crate) suspect_until: Timestamp,
    /// Until then it is asked after the others.
    pub(crate) avoided_until: Timestamp,
    /// Until then its back end is left out, by its own word.
    pub(crate) left_out_until: Timestamp,
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
        self.sent_since = 0;
        self.load_revision += 1;
        self.left_out_until = now + Duration::from_millis(u64::from(load.ejected_millis));
    }

    pub(crate) fn note_sent(&mut self) {
        self.sent_since += 1;
        self.load_revision += 1;
    }

    /// Takes the back end's profile and the agent's state, if they differ.
    pub(crate) fn note_profile(&mut self, state: AgentState, profile: BackendProfile) {
        self.note_state(state);
        let profile = profile.steadied_by(&self.profile);
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
    pub(crate) fn is_left_out(&self, now: Timestamp) -> bool {
        now < self.left_out_until
    }

    /// What a policy reads of it beside the profile.
    pub(crate) fn condition(&self, now: Timestamp) -> BackendCondition {
        BackendCondition {
            state: self.state,
            load: self.load,
            sent_since: self.sent_since,
            is_left_out: self.is_left_out(now),
        }
    }

    /// Whether it answers questions for flows, unless it is just restarted. One
    /// that has not heard of its back end in its present life counts as gone with
    /// that if it does not answer.
    pub(crate) fn is_expected(&self, now: Timestamp, in_time: bool) -> bool {
        let is_absent = |since| now.saturating_since(since) >= ABSENCE_LIMIT;
        !in_time || (self.has_backend() && !self.unanswered_since.is_some_and(is_absent))
    }

    /// Whether it has answered all questions so far, and is not suspected.
    pub(crate) fn answers_questions(&self, now: Timestamp) -> bool {
        self.has_backend() && now >= self.suspect_until && !self.is_silent(now)
    }

    /// Whether it has left a question unanswered for as long as a round takes.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let is_overdue = |since| now.saturating_since(since) >= ANSWER_LIMIT;
        self.unanswered_since.is_some_and(is_overdue)
    }

    /// Whether it has heard of its back end in its present life.
    pub(crate) fn has_backend(&self) -> bool {
        matches!(self.state, AgentState::Ready | AgentState::Draining)
    }

    /// What it costs to place a flow there, in milliseconds: how long its requests are
    /// likely to take, and what speaks against the agent for a balancer in `zone`.
    pub(crate) fn cost(&self, now: Timestamp, zone: u64, pattern: &ServicePattern) -> f64 {
        let usual = usual_work_millis(pattern.work_millis());
        let mut cost = self.expected_millis(now, pattern);
        if self.zone != zone {
            cost += usual * OTHER_ZONE_SHARE;
        }
        if self.state == AgentState::Starting {
            cost += STARTING_COST;
        }
        if now < self.avoided_until {
            cost += AVOIDED_COST;
        }
        if now < self.suspect_until {
            cost += SUSPECT_COST;
        }
        cost
    }

    /// How long the requests of a new flow are likely to take until their answers, in
    /// milliseconds: by the requests in hand as far as flows are short, and by what the
    /// open flows need as far as they live long.
    fn expected_millis(&self, now: Timestamp, pattern: &ServicePattern) -> f64 {
        let slots = self.load.slots;
        let work = work_millis(&self.load, pattern.work_millis());
        let usual = usual_work_millis(pattern.work_millis());
        let requests = self.expected_requests(now);
        let soon = completion_millis(work, requests, slots);
        let needed = self.expected_demand(work / usual, pattern);
        let lasting = completion_millis(usual, needed, slots);
        let weight = pattern.demand_weight();
        let waiting = waiting_millis(work, requests, slots);
        soon * (1.0 - weight) + (lasting + waiting) * weight
    }

    /// Slots that the open flows, those sent since and a new one need in the mean, on a
    /// back end whose work takes this many times as long as usual. A flow that has just
    /// come has not shown what it needs: it counts as one like the others.
    fn expected_demand(&self, relative_work: f64, pattern: &ServicePattern) -> f64 {
        let of_one = pattern.flow_demand() * relative_work;
        let told = f64::from(self.load.demand_millislots) / 1_000.0;
        let sent = f64::from(self.sent_since);
        let flows = f64::from(self.load.open_flows) + sent;
        (told + sent * of_one).max(flows * of_one) + of_one
    }

    /// Requests in hand, as far as old news and what was sent since tell.
    fn expected_requests(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.load_at);
        let half_lives = age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let known = f64::from(self.load.in_flight_requests) + f64::from(self.sent_since);
        known * 0.5_f64.powf(half_lives)
    }
}
