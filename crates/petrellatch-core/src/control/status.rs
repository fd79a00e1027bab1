//! Puts together what operators read.

use petrellatch_proto::record::{MemberRecord, MemberState, NodeRole};

use crate::cluster::ClusterView;
use crate::consensus::{Member, Replica};
use crate::identity::{BackendId, Incarnation, NodeId, ServiceId};
use crate::membership::MemberTracker;
use crate::policy::{self, BackendExplanation, Explanation, Policy};
use crate::time::Timestamp;

use super::control_state::ControlState;
use super::operator::{ClusterStatus, MemberStatus, RecordCounts, ReplicaStatus};
use super::placement_planner::PlacementPlanner;
use super::policy_cache::source;
use super::service_input::{self, LoadMemory};

/// Most names in the list of lagging members, and of unsettled services.
const MAX_LISTED_NAMES: usize = 32;

/// Describes the cluster as the leader knows it.
pub(super) fn cluster_status(
    now: Timestamp,
    replica: &Replica,
    state: &ControlState,
    tracker: &MemberTracker,
) -> ClusterStatus {
    let view = state.view();
    let members: Vec<MemberStatus> = view
        .members()
        .map(|member| member_status(member, tracker))
        .collect();
    let is_lagging = |member: &&MemberStatus| member.version.is_none_or(|it| it < view.version());
    let lagging: Vec<&MemberStatus> = members.iter().filter(is_lagging).collect();
    let unsettled = PlacementPlanner::unsettled_services(view);
    let names = unsettled.iter().filter_map(|id| view.service(*id));
    ClusterStatus {
        leader: replica.id().node,
        term: replica.term(),
        version: view.version(),
        config_version: state.config_version(),
        counts: RecordCounts {
            services: view.service_count(),
            backends: view.backend_count(),
            policies: view.policy_count(),
            members: members.len(),
        },
        lagging_count: lagging.len(),
        lagging: lagging
            .iter()
            .take(MAX_LISTED_NAMES)
            .map(|member| member.name.clone())
            .collect(),
        unsettled: names
            .take(MAX_LISTED_NAMES)
            .map(|service| service.name.clone())
            .collect(),
        replicas: replica_statuses(now, replica),
        members,
    }
}

/// Explains what each back end of a service receives. None if there is no
/// such service, or its policy does not compile.
pub(super) fn explain(
    now: Timestamp,
    service: &str,
    view: &ClusterView,
    tracker: &MemberTracker,
) -> Option<Vec<BackendExplanation>> {
    let service = view.service_by_name(service)?;
    let mut loads = LoadMemory::new();
    let input = service_input::collect(now, service, view, tracker, &mut loads)?;
    let policy = Policy::compile(&source(&input.policy)).ok()?;
    let candidates = input.candidates.iter().map(|it| it.reported.clone());
    let candidates: Vec<_> = candidates.collect();
    let mut explanations = policy::shares(&policy, &input.service, &candidates).explanations;
    for backend in view.backends_of(ServiceId(service.id)) {
        if let Err(exclusion) = service_input::find_agent(backend, view, tracker) {
            explanations.push(BackendExplanation {
                backend: BackendId(backend.id),
                name: backend.name.clone(),
                explanation: Explanation::NotEligible {
                    condition: exclusion.explanation().to_owned(),
                },
            });
        }
    }
    explanations.sort_by_key(|explanation| explanation.backend);
    Some(explanations)
}

fn member_status(member: &MemberRecord, tracker: &MemberTracker) -> MemberStatus {
    let node = NodeId(member.node);
    MemberStatus {
        name: member.name.clone(),
        incarnation: Incarnation(member.incarnation),
        role: NodeRole::try_from(member.role).unwrap_or(NodeRole::Agent),
        zone: member.zone.clone(),
        state: MemberState::try_from(member.state).unwrap_or(MemberState::Live),
        version: tracker.reported_version(node),
        suspected: tracker.is_suspected(node),
    }
}

fn replica_statuses(now: Timestamp, replica: &Replica) -> Vec<ReplicaStatus> {
    let progress = replica.peer_progress();
    let status = |member: &Member| {
        let own = member.replica == replica.id();
        let peer = progress.iter().find(|peer| peer.replica == member.replica);
        let last_contact = peer.and_then(|peer| peer.last_contact);
        let contact = if own { Some(now) } else { last_contact };
        ReplicaStatus {
            node: member.replica.node,
            role: member.role,
            durable_index: peer.map_or(replica.commit_index(), |peer| peer.match_index),
            silent_for: contact.map(|at| now.saturating_since(at)),
        }
    };
    replica.membership().members().iter().map(status).collect()
}
