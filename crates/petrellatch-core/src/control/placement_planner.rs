//! Decides on placements while this replica leads.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use petrellatch_proto::command::{CommandKind, SetPlacement, SettlePlacement};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, PlacementRecord, Record, ServiceRecord, ShareRecord,
};

use crate::cluster::ClusterView;
use crate::event::{Event, EventKind};
use crate::identity::{Incarnation, NodeId, ServiceId};
use crate::membership::MemberTracker;
use crate::time::Timestamp;

use super::limits::MAX_GENERATIONS;
use super::policy_cache::PolicyCache;
use super::service_input::{self, LoadMemory, ServiceInput};
use super::share_decision::{self, ShareDecision};

/// Generations of one service that are listed before optional changes wait
/// for the oldest to settle.
pub const PLANNED_GENERATIONS: usize = 4;

/// Time between two looks at the inputs.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two placement changes of a service.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two placement changes of a service for load reports or
/// age alone.
const LOAD_CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// A new leader changes placements only for the loss of a member in this time,
/// until it has heard of the members' loads.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// How long the outcome of a proposal is awaited before it is repeated.
const PROPOSAL_PATIENCE: Duration = Duration::from_secs(1);

/// Something for the leader to do.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlannerOutput {
    /// Propose a command.
    Propose(CommandKind),
    /// Something for the log.
    Event(Event),
}

/// What is remembered about one service.
#[derive(Debug, Default)]
struct ServicePlan {
    loads: LoadMemory,
    input: Option<ServiceInput>,
    decision: ShareDecision,
    /// The input of the last proposed generation.
    placed_input: Option<ServiceInput>,
    changed_at: Option<Timestamp>,
    proposed_at: Option<Timestamp>,
    settle_proposed_at: Option<Timestamp>,
    /// The version that set the newest generation, or a later one.
    placed_version: u64,
    newest_generation: u64,
    receives_nothing: bool,
}

/// Turns policies, members and loads into placement generations, and settles
/// generations that have taken effect.
#[derive(Debug)]
pub(super) struct PlacementPlanner {
    policies: PolicyCache,
    plans: BTreeMap<ServiceId, ServicePlan>,
    next_plan: Timestamp,
    learned_at: Timestamp,
    outputs: VecDeque<PlannerOutput>,
}

impl PlacementPlanner {
    /// Starts when a replica became leader.
    pub(super) fn new(now: Timestamp, view: &ClusterView) -> Self {
        let mut planner = PlacementPlanner {
            policies: PolicyCache::default(),
            plans: BTreeMap::new(),
            next_plan: now,
            learned_at: now + LEARNING_TIME,
            outputs: VecDeque::new(),
        };
        for placement in view.placements() {
            planner.note_placement(view.version(), placement);
        }
        planner
    }

    /// Follows a change of the replicated state.
    pub(super) fn handle_applied(&mut self, now: Timestamp, delta: &Delta, view: &ClusterView) {
        for change in &delta.changes {
            if let Some(Record::Placement(placement)) = &change.put {
                self.note_placement(delta.version, placement);
            }
        }
        self.plans.retain(|id, _| view.service(*id).is_some());
        self.next_plan = now;
    }

    /// Looks at the inputs if that is due.
    pub(super) fn handle_timeout(
        &mut self,
        now: Timestamp,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        for service in view.services() {
            self.plan(now, service, view, tracker);
            self.settle(now, ServiceId(service.id), view, tracker);
        }
    }

    pub(super) fn poll_timeout(&self) -> Timestamp {
        self.next_plan
    }

    pub(super) fn poll_output(&mut self) -> Option<PlannerOutput> {
        self.outputs.pop_front()
    }

    /// Whether the newest generation of every service is the only one.
    pub(super) fn unsettled_services(view: &ClusterView) -> Vec<ServiceId> {
        let listed = view.placements();
        listed
            .filter(|placement| placement.generations.len() > 1)
            .map(|placement| ServiceId(placement.service))
            .collect()
    }

    fn note_placement(&mut self, version: u64, placement: &PlacementRecord) {
        let newest = placement.generations.last().map_or(0, |it| it.number);
        let plan = self.plans.entry(ServiceId(placement.service)).or_default();
        if newest != plan.newest_generation {
            plan.newest_generation = newest;
            plan.placed_version = version;
            plan.proposed_at = None;
        }
        plan.settle_proposed_at = None;
    }

    fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceRecord,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        let id = ServiceId(service.id);
        let plan = self.plans.entry(id).or_default();
        let input = service_input::collect(now, service, view, tracker, &mut plan.loads);
        if plan.input != input {
            let policy = input.as_ref().and_then(|it| self.policies.get(&it.policy));
            plan.decision = match &input {
                Some(input) => share_decision::decide(policy, input),
                None => ShareDecision::default(),
            };
            plan.input = input;
        }
        if let Some(event) = plan.observe_emptiness(service, view) {
            self.outputs.push_back(PlannerOutput::Event(event));
        }
        let placement = view.placement(id);
        let is_learning = now < self.learned_at && !plan.knows_loads(tracker);
        if let Some(generation) = plan.next_generation(now, is_learning, placement, view) {
            let command = CommandKind::SetPlacement(SetPlacement {
                service: service.id,
                generation,
            });
            self.outputs.push_back(PlannerOutput::Propose(command));
        }
    }

    fn settle(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        let Some(placement) = view.placement(service) else {
            return;
        };
        let Some(plan) = self.plans.get_mut(&service) else {
            return;
        };
        let is_waiting = is_recent(now, plan.settle_proposed_at);
        if is_waiting || !has_settled(placement, plan.placed_version, view, tracker) {
            return;
        }
        plan.settle_proposed_at = Some(now);
        let command = CommandKind::SettlePlacement(SettlePlacement {
            service: service.0,
            generation: plan.newest_generation,
        });
        self.outputs.push_back(PlannerOutput::Propose(command));
    }
}

impl ServicePlan {
    /// Returns the generation to propose now, if one is needed and allowed.
    fn next_generation(
        &mut self,
        now: Timestamp,
        is_learning: bool,
        placement: Option<&PlacementRecord>,
        view: &ClusterView,
    ) -> Option<GenerationRecord> {
        let generations = placement.map_or(&[][..], |it| &it.generations);
        let current = generations.last().map_or(&[][..], |it| &it.shares);
        let is_needed = current != self.decision.shares;
        if !is_needed || is_recent(now, self.proposed_at) {
            return None;
        }
        let has_lost_member = current.iter().any(|share| !is_live(share, view));
        let listed_limit = if has_lost_member {
            MAX_GENERATIONS
        } else {
            PLANNED_GENERATIONS
        };
        let is_early = self.changed_at.is_some_and(|at| at + self.pause() > now);
        let is_damped = is_early || is_learning;
        if generations.len() >= listed_limit || (is_damped && !has_lost_member) {
            return None;
        }
        self.proposed_at = Some(now);
        self.changed_at = Some(now);
        self.placed_input = self.input.clone();
        Some(GenerationRecord {
            number: self.newest_generation + 1,
            shares: self.decision.shares.clone(),
        })
    }

    /// Whether all agents concerned have reported to this leader.
    fn knows_loads(&self, tracker: &MemberTracker) -> bool {
        let candidates = self.input.iter().flat_map(|input| &input.candidates);
        candidates
            .map(|candidate| candidate.node)
            .all(|node| tracker.has_reported_loads(node))
    }

    /// The least time since the last change, longer if only loads differ.
    fn pause(&self) -> Duration {
        let (Some(placed), Some(input)) = (&self.placed_input, &self.input) else {
            return CHANGE_INTERVAL;
        };
        let same_policy = placed.policy == input.policy;
        let same_places = placed.candidates.len() == input.candidates.len()
            && placed
                .candidates
                .iter()
                .zip(&input.candidates)
                .all(|(left, right)| left.is_same_place(right));
        if same_policy && same_places {
            LOAD_CHANGE_INTERVAL
        } else {
            CHANGE_INTERVAL
        }
    }

    /// Reports once that a service with back ends can't receive new flows.
    fn observe_emptiness(&mut self, service: &ServiceRecord, view: &ClusterView) -> Option<Event> {
        let has_backends = view.backends_of(ServiceId(service.id)).next().is_some();
        let receives_nothing = has_backends && self.decision.shares.is_empty();
        let is_news = receives_nothing && !self.receives_nothing;
        self.receives_nothing = receives_nothing;
        is_news.then(|| Event::new(EventKind::NoEligibleBackend, service.name.clone()))
    }
}

/// Whether older generations can be forgotten: every owner of the newest
/// generation is live, has it in force and has taken over its buckets, and
/// every live owner of an older generation has the newest in force, so that it
/// admits nothing by an older one any more.
fn has_settled(
    placement: &PlacementRecord,
    placed_version: u64,
    view: &ClusterView,
    tracker: &MemberTracker,
) -> bool {
    let Some((newest, older)) = placement.generations.split_last() else {
        return false;
    };
    let service = ServiceId(placement.service);
    let owns = |share: &&ShareRecord| share.receives();
    let owners_settled = newest.shares.iter().filter(owns).all(|share| {
        is_live(share, view) && tracker.is_settled(NodeId(share.node), service, placed_version)
    });
    let former = older.iter().flat_map(|generation| &generation.shares);
    let former_know = former.filter(|share| is_live(share, view)).all(|share| {
        let version = tracker.reported_version(NodeId(share.node));
        version.is_some_and(|version| version >= placed_version)
    });
    !older.is_empty() && owners_settled && former_know
}

fn is_live(share: &ShareRecord, view: &ClusterView) -> bool {
    view.is_member(NodeId(share.node), Incarnation(share.incarnation))
}

fn is_recent(now: Timestamp, proposed_at: Option<Timestamp>) -> bool {
    proposed_at.is_some_and(|at| at + PROPOSAL_PATIENCE > now)
}
