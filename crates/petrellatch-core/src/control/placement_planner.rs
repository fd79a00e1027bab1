//! Decides on placements while this replica leads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use petrellatch_proto::command::{CommandKind, SetPlacement, SettlePlacement};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{BackendRecord, PlacementRecord, Record, RecordKey, ServiceRecord};

use crate::cluster::ClusterView;
use crate::event::Event;
use crate::identity::{BackendId, NodeId, ServiceId};
use crate::membership::{MemberChange, MemberTracker};
use crate::time::Timestamp;

use super::mutations::ControlMutations;
use super::plan_queue::PlanQueue;
use super::policy_cache::PolicyCache;
use super::service_input;
use super::service_plan::{
    NextStep, PROPOSAL_PATIENCE, ServicePlan, has_lost_owner, has_settled, is_recent,
};
use super::share_decision::{self, ShareDecision};

/// Least time between two passes over the services in line.
const PASS_INTERVAL: Duration = Duration::from_millis(10);

/// Services looked at in one pass. With [`PASS_INTERVAL`] it bounds the part
/// of a processor that planning takes, and for how long it blocks the rest.
const PLANS_OF_PASS: usize = 256;

/// Time between two looks at unsettled services.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Unsettled services looked at in one go.
const SETTLES_OF_PASS: usize = 4_096;

/// A new leader changes placements only for the loss of a member in this time,
/// until it has heard of the members' loads.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Something for the leader to do.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlannerOutput {
    /// Propose a command.
    Propose(CommandKind),
    /// Something for the log.
    Event(Event),
}

/// Turns policies, members and loads into placement generations, and settles
/// generations that have taken effect. Only services of which something has
/// changed are looked at, and only so many at a time.
#[derive(Debug)]
pub(super) struct PlacementPlanner {
    policies: PolicyCache,
    plans: BTreeMap<ServiceId, ServicePlan>,
    service_of_backend: BTreeMap<BackendId, ServiceId>,
    queue: PlanQueue,
    next_pass: Timestamp,
    /// Services with more than one generation.
    unsettled: BTreeSet<ServiceId>,
    /// Where the next look at the unsettled services begins.
    settle_from: ServiceId,
    next_settle: Timestamp,
    learned_at: Timestamp,
    mutations: ControlMutations,
    outputs: VecDeque<PlannerOutput>,
}

impl PlacementPlanner {
    /// Starts when a replica became leader.
    pub(super) fn new(now: Timestamp, view: &ClusterView, mutations: ControlMutations) -> Self {
        let service_of =
            |backend: &BackendRecord| (BackendId(backend.id), ServiceId(backend.service));
        let mut planner = PlacementPlanner {
            policies: PolicyCache::default(),
            plans: BTreeMap::new(),
            service_of_backend: view.backends().map(service_of).collect(),
            queue: PlanQueue::default(),
            next_pass: now,
            unsettled: BTreeSet::new(),
            settle_from: ServiceId(0),
            next_settle: now,
            learned_at: now + LEARNING_TIME,
            mutations,
            outputs: VecDeque::new(),
        };
        for placement in view.placements() {
            planner.note_placement(view.version(), placement);
        }
        for service in view.services() {
            planner.queue.push(ServiceId(service.id));
        }
        planner
    }

    /// Follows a change of the replicated state.
    pub(super) fn handle_applied(&mut self, delta: &Delta, view: &ClusterView) {
        for change in &delta.changes {
            match (&change.put, change.key()) {
                (Some(Record::Placement(placement)), _) => {
                    self.note_placement(delta.version, placement);
                    self.queue.push(ServiceId(placement.service));
                }
                (Some(Record::Backend(backend)), _) => {
                    let service = ServiceId(backend.service);
                    self.service_of_backend
                        .insert(BackendId(backend.id), service);
                    self.queue.push(service);
                }
                (_, Some(key)) => self.follow_key(&key, view),
                (_, None) => {}
            }
        }
    }

    /// Follows changes at members that are not in the replicated state.
    pub(super) fn handle_members(
        &mut self,
        changes: &BTreeMap<NodeId, MemberChange>,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        for (node, change) in changes {
            for backend in view.backends_of_agent(*node) {
                let service = ServiceId(backend.service);
                let matters = match change {
                    MemberChange::Readiness => true,
                    MemberChange::Loads => self.has_other_level(*node, backend, tracker),
                };
                if matters {
                    self.queue.push(service);
                }
            }
        }
    }

    /// Looks at services if that is due.
    pub(super) fn handle_timeout(
        &mut self,
        now: Timestamp,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        self.queue.wake(now);
        if self.next_pass <= now && !self.queue.is_empty() {
            self.next_pass = now + PASS_INTERVAL;
            self.plan_next(now, view, tracker);
        }
        if self.next_settle <= now && !self.unsettled.is_empty() {
            self.next_settle = now + SETTLE_INTERVAL;
            self.settle_next(now, view, tracker);
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let candidates = [
            (!self.queue.is_empty()).then_some(self.next_pass),
            self.queue.next_wakeup(),
            (!self.unsettled.is_empty()).then_some(self.next_settle),
        ];
        candidates.into_iter().flatten().min()
    }

    pub(super) fn poll_output(&mut self) -> Option<PlannerOutput> {
        self.outputs.pop_front()
    }

    /// The services whose newest generation is not the only one.
    pub(super) fn unsettled_services(view: &ClusterView) -> Vec<ServiceId> {
        let listed = view.placements();
        listed
            .filter(|placement| placement.generations.len() > 1)
            .map(|placement| ServiceId(placement.service))
            .collect()
    }

    fn follow_key(&mut self, key: &RecordKey, view: &ClusterView) {
        match key {
            RecordKey::Service(id) | RecordKey::Placement(id) => {
                self.follow_service(ServiceId(*id), view);
            }
            RecordKey::Backend(id) => {
                if let Some(service) = self.service_of_backend.remove(&BackendId(*id)) {
                    self.queue.push(service);
                }
            }
            RecordKey::Policy(name) => {
                for service in view.services_of_policy(name) {
                    self.queue.push(ServiceId(service.id));
                }
            }
            RecordKey::Member(node) => {
                for backend in view.backends_of_agent(NodeId(*node)) {
                    self.queue.push(ServiceId(backend.service));
                }
            }
        }
    }

    fn follow_service(&mut self, service: ServiceId, view: &ClusterView) {
        if view.service(service).is_some() {
            self.queue.push(service);
            return;
        }
        self.plans.remove(&service);
        self.unsettled.remove(&service);
        self.queue.set_wakeup(service, None);
    }

    /// Whether a back end's reports would change the input of its service.
    fn has_other_level(
        &self,
        node: NodeId,
        backend: &BackendRecord,
        tracker: &MemberTracker,
    ) -> bool {
        let id = BackendId(backend.id);
        let Some(load) = tracker.load(node, id) else {
            return false;
        };
        let plan = self.plans.get(&ServiceId(backend.service));
        let known = plan.and_then(|plan| plan.loads.get(&id));
        known.is_none_or(|levels| levels.follow(backend, load) != *levels)
    }

    fn note_placement(&mut self, version: u64, placement: &PlacementRecord) {
        let service = ServiceId(placement.service);
        let newest = placement.generations.last().map_or(0, |it| it.number);
        let plan = self.plans.entry(service).or_default();
        if newest != plan.newest_generation {
            plan.newest_generation = newest;
            plan.placed_version = version;
            plan.proposed_at = None;
        }
        plan.settle_proposed_at = None;
        if placement.generations.len() > 1 {
            self.unsettled.insert(service);
        } else {
            self.unsettled.remove(&service);
        }
    }

    fn plan_next(&mut self, now: Timestamp, view: &ClusterView, tracker: &MemberTracker) {
        for _ in 0..PLANS_OF_PASS {
            let Some(service) = self.queue.pop() else {
                return;
            };
            if let Some(service) = view.service(service) {
                self.plan(now, service, view, tracker);
            }
        }
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
        let learned_at = if plan.knows_loads(tracker) {
            now
        } else {
            self.learned_at
        };
        let step = plan.next_step(now, learned_at, view.placement(id), view);
        let wakeup = self.take_step(now, id, step);
        let age_change = service_input::next_age_change(now, id, view, tracker);
        let wakeup = wakeup.into_iter().chain(age_change).min();
        self.queue.set_wakeup(id, wakeup);
    }

    /// Returns when to look again.
    fn take_step(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        step: NextStep,
    ) -> Option<Timestamp> {
        match step {
            NextStep::Nothing => None,
            NextStep::WaitUntil(at) => Some(at),
            NextStep::Propose(generation) => {
                let command = CommandKind::SetPlacement(SetPlacement {
                    service: service.0,
                    generation,
                });
                self.outputs.push_back(PlannerOutput::Propose(command));
                Some(now + PROPOSAL_PATIENCE)
            }
        }
    }

    /// Looks at unsettled services, so many at a time in turn.
    fn settle_next(&mut self, now: Timestamp, view: &ClusterView, tracker: &MemberTracker) {
        let later = self.unsettled.range(self.settle_from..);
        let earlier = self.unsettled.range(..self.settle_from);
        let services: Vec<ServiceId> = later
            .chain(earlier)
            .take(SETTLES_OF_PASS)
            .copied()
            .collect();
        if let Some(last) = services.last() {
            self.settle_from = ServiceId(last.0.saturating_add(1));
        }
        for service in services {
            self.settle(now, service, view, tracker);
        }
    }

    fn settle(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        view: &ClusterView,
        tracker: &MemberTracker,
    ) {
        let (Some(placement), Some(plan)) = (view.placement(service), self.plans.get_mut(&service))
        else {
            return;
        };
        if has_lost_owner(placement, view) && !is_recent(now, plan.proposed_at) {
            self.queue.push(service);
        }
        let is_waiting = is_recent(now, plan.settle_proposed_at);
        let may_settle = self.mutations.settle_without_reports
            || has_settled(placement, plan.placed_version, view, tracker);
        if is_waiting || !may_settle {
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
