//! What the placement of one service depends on.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::record::{
    BackendRecord, MemberRecord, MemberState, NodeRole, PolicyRecord, ServiceRecord, ShareRecord,
};

use crate::cluster::ClusterView;
use crate::identity::{BackendId, Incarnation, NodeId, ServiceId};
use crate::membership::MemberTracker;
use crate::policy::{BackendView, HEALTH_SCALE, ServiceView};
use crate::time::Timestamp;

use super::load_level::LoadLevels;
use super::policy_check::service_view;

/// Steps in which a cold back end is ramped up.
const WARM_UP_STEPS: u32 = 8;

/// Ages that policies see, in seconds: the greatest that is not above the
/// actual one. A back end older than the leader's term has the greatest.
const AGE_STEPS: [u64; 9] = [0, 10, 30, 60, 120, 300, 600, 1_800, 3_600];

/// A back end that may receive new flows if the policy allows it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
    /// The back end as reported.
    pub(super) reported: BackendView,
    /// How far it is ramped up, in [`WARM_UP_STEPS`].
    pub(super) warm_up_step: u32,
}

/// The input of one evaluation. Equal inputs give equal shares.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ServiceInput {
    pub(super) service: ServiceView,
    pub(super) policy: PolicyRecord,
    pub(super) candidates: Vec<Candidate>,
    /// Back ends whose agents are there, drained ones included, without
    /// weight.
    pub(super) refusers: Vec<ShareRecord>,
}

/// Loads of the back ends in levels, remembered between evaluations.
pub(super) type LoadMemory = BTreeMap<BackendId, LoadLevels>;

/// Why a back end is no candidate, whatever the policy says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exclusion {
    /// The operator drains it.
    Draining,
    /// Its zone is out of service.
    Evacuated,
    /// Its agent is not registered, or has no lease yet.
    AgentAbsent,
    /// Its agent is leaving.
    AgentLeaving,
}

impl Exclusion {
    /// Explains it to the operator.
    pub(super) fn explanation(self) -> &'static str {
        match self {
            Exclusion::Draining => "the back end is not being drained",
            Exclusion::Evacuated => "the zone is in service",
            Exclusion::AgentAbsent => "the agent is registered and has a lease",
            Exclusion::AgentLeaving => "the agent is not leaving",
        }
    }
}

impl Candidate {
    /// The back end as it would be if it were well and idle.
    pub(super) fn assumed_well(&self) -> BackendView {
        BackendView {
            free_slots: self.reported.slots,
            connections: 0,
            health: HEALTH_SCALE,
            draining: false,
            ..self.reported.clone()
        }
    }

    /// Reduces a weight while the back end is being ramped up.
    pub(super) fn ramp(&self, weight: u32) -> u32 {
        if weight == 0 {
            return 0;
        }
        let ramped = u64::from(weight) * u64::from(self.warm_up_step) / u64::from(WARM_UP_STEPS);
        u32::try_from(ramped).unwrap_or(u32::MAX).max(1)
    }

    /// Whether another candidate differs in more than reports and age.
    pub(super) fn is_same_place(&self, other: &Candidate) -> bool {
        let same_life = self.node == other.node && self.incarnation == other.incarnation;
        let capacity = |view: &BackendView| (view.id, view.slots);
        let same_place = capacity(&self.reported) == capacity(&other.reported)
            && self.reported.zone == other.reported.zone
            && self.reported.labels == other.reported.labels;
        same_life && same_place
    }
}

/// Collects the input for a service. None if its policy is gone.
pub(super) fn collect(
    now: Timestamp,
    service: &ServiceRecord,
    view: &ClusterView,
    tracker: &MemberTracker,
    loads: &mut LoadMemory,
) -> Option<ServiceInput> {
    let mut candidates = Vec::new();
    for record in view.backends_of(ServiceId(service.id)) {
        if let Ok(member) = find_agent(record, view, tracker) {
            candidates.push(candidate(now, record, member, tracker, loads));
        }
    }
    Some(ServiceInput {
        service: service_view(service),
        policy: view.policy(&service.policy)?.clone(),
        candidates,
        refusers: refusers(service, view, tracker),
    })
}

fn refusers(
    service: &ServiceRecord,
    view: &ClusterView,
    tracker: &MemberTracker,
) -> Vec<ShareRecord> {
    let backends = view.backends_of(ServiceId(service.id));
    backends
        .filter_map(|record| {
            let member = find_present_agent(record, view, tracker).ok()?;
            Some(ShareRecord {
                backend: record.id,
                weight: 0,
                node: member.node,
                incarnation: member.incarnation,
            })
        })
        .collect()
}

/// Returns the agent of a back end, or why the back end is no candidate.
pub(super) fn find_agent<'view>(
    record: &BackendRecord,
    view: &'view ClusterView,
    tracker: &MemberTracker,
) -> Result<&'view MemberRecord, Exclusion> {
    if record.draining {
        return Err(Exclusion::Draining);
    }
    if record.evacuated {
        return Err(Exclusion::Evacuated);
    }
    find_present_agent(record, view, tracker)
}

/// Returns the agent of a back end, whether that is drained or not.
fn find_present_agent<'view>(
    record: &BackendRecord,
    view: &'view ClusterView,
    tracker: &MemberTracker,
) -> Result<&'view MemberRecord, Exclusion> {
    let node = NodeId::from_name(&record.agent);
    let member = view.member(node).ok_or(Exclusion::AgentAbsent)?;
    if member.role != NodeRole::Agent as i32 || !tracker.is_ready(node) {
        return Err(Exclusion::AgentAbsent);
    }
    if member.state == MemberState::Leaving as i32 {
        return Err(Exclusion::AgentLeaving);
    }
    Ok(member)
}

fn candidate(
    now: Timestamp,
    record: &BackendRecord,
    member: &MemberRecord,
    tracker: &MemberTracker,
    loads: &mut LoadMemory,
) -> Candidate {
    let node = NodeId(member.node);
    let levels = loads
        .entry(BackendId(record.id))
        .or_insert(LoadLevels::UNKNOWN);
    if let Some(load) = tracker.load(node, BackendId(record.id)) {
        *levels = levels.follow(record, load);
    }
    let age = tracker
        .appeared_at(node)
        .map(|appeared_at| now.saturating_since(appeared_at));
    Candidate {
        node,
        incarnation: Incarnation(member.incarnation),
        reported: backend_view(record, *levels, age),
        warm_up_step: warm_up_step(record, age),
    }
}

/// The back end as a policy sees it.
pub(super) fn backend_view(
    record: &BackendRecord,
    levels: LoadLevels,
    age: Option<Duration>,
) -> BackendView {
    BackendView {
        id: BackendId(record.id),
        name: record.name.clone(),
        zone: record.zone.clone(),
        labels: record.labels.clone(),
        slots: record.slots,
        free_slots: levels.free_slots(record),
        connections: levels.connections(record),
        health: levels.health(),
        draining: levels.draining || record.draining,
        age: age_step(age),
    }
}

/// When the age or the ramp of a back end of a service next takes another
/// step, if nothing else changes.
pub(super) fn next_age_change(
    now: Timestamp,
    service: ServiceId,
    view: &ClusterView,
    tracker: &MemberTracker,
) -> Option<Timestamp> {
    let backends = view.backends_of(service);
    let changes = backends.filter_map(|record| {
        let member = find_agent(record, view, tracker).ok()?;
        let appeared_at = tracker.appeared_at(NodeId(member.node))?;
        let age = now.saturating_since(appeared_at).as_secs();
        let next = next_age_step(age)
            .into_iter()
            .chain(next_warm_up_step(record, age));
        Some(appeared_at + Duration::from_secs(next.min()?))
    });
    changes.min()
}

/// The age at which the next of [`AGE_STEPS`] begins, in seconds.
fn next_age_step(age: u64) -> Option<u64> {
    AGE_STEPS.into_iter().find(|step| *step > age)
}

/// The age at which the next of [`WARM_UP_STEPS`] begins, in seconds.
fn next_warm_up_step(record: &BackendRecord, age: u64) -> Option<u64> {
    let steps = u64::from(WARM_UP_STEPS);
    let whole = u64::from(record.warm_up_seconds);
    let next = (age * steps).checked_div(whole)? + 1;
    (next < steps).then(|| (next * whole).div_ceil(steps))
}

fn age_step(age: Option<Duration>) -> Duration {
    let seconds = age.map_or(u64::MAX, |age| age.as_secs());
    let reached = AGE_STEPS.iter().rev().find(|step| **step <= seconds);
    Duration::from_secs(reached.copied().unwrap_or(0))
}

fn warm_up_step(record: &BackendRecord, age: Option<Duration>) -> u32 {
    let Some(age) = age.filter(|_| record.warm_up_seconds > 0) else {
        return WARM_UP_STEPS;
    };
    let elapsed = age.as_secs() * u64::from(WARM_UP_STEPS) / u64::from(record.warm_up_seconds);
    let step = u32::try_from(elapsed).unwrap_or(WARM_UP_STEPS);
    (step + 1).min(WARM_UP_STEPS)
}
