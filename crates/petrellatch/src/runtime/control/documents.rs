//! Converts the control node's responses into the documents of the API.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use petrellatch_core::cluster::ClusterView;
use petrellatch_core::consensus::{MemberRole, ReplicaId};
use petrellatch_core::control::{
    ClusterStatus, Configuration, ControlNode, MemberStatus, OperatorError, OperatorResponse,
    ReplicaStatus,
};
use petrellatch_core::identity::{Incarnation, NodeId, ServiceId};
use petrellatch_core::policy::{BackendExplanation, Explanation};
use petrellatch_proto::record::{MemberState, NodeRole, Record, ServiceRecord};

use crate::api;
use crate::http::HttpResponse;
use crate::settings::ReplicaSettings;

/// Maximum number of names in the list of lagging members.
const MAX_LISTED_NAMES: usize = 32;

/// The document in the response to a request that succeeded.
pub(super) enum OperatorDocument {
    /// The change was accepted.
    Changed(api::ChangeAccepted),
    /// The configuration, not converted from its records yet.
    Configuration(Configuration),
    /// The status.
    Status(api::StatusDocument),
    /// Progress of a version.
    Progress(api::ProgressDocument),
    /// What a policy decides for each back end of a service.
    Explanation(api::PolicyExplanation),
    /// The policy is valid.
    PolicyAccepted,
    /// The change of the replica set has started.
    ReplicasChanging,
}

impl OperatorDocument {
    /// Creates the HTTP response. The thread that waits for the response calls
    /// this, so that a large document does not block the event loop.
    pub(super) fn into_response(self) -> HttpResponse {
        match self {
            OperatorDocument::Changed(accepted) => HttpResponse::document(&accepted),
            OperatorDocument::Configuration(configuration) => {
                HttpResponse::document(&configuration_document(&configuration))
            }
            OperatorDocument::Status(status) => HttpResponse::document(&status),
            OperatorDocument::Progress(progress) => HttpResponse::document(&progress),
            OperatorDocument::Explanation(explanation) => HttpResponse::document(&explanation),
            OperatorDocument::PolicyAccepted => {
                HttpResponse::document(&api::PolicyCheck { sound: true })
            }
            OperatorDocument::ReplicasChanging => {
                HttpResponse::document(&api::ReplicasChanging { started: true })
            }
        }
    }
}

/// The document that a status is converted into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusDocumentKind {
    /// The full status.
    Full,
    /// The progress of one version.
    Progress {
        /// The version; `None` for the newest.
        version: Option<u64>,
    },
}

/// Names and operator addresses of the control replicas.
pub(super) struct ReplicaDirectory {
    replicas: BTreeMap<NodeId, (String, Option<SocketAddrV4>)>,
}

impl ReplicaDirectory {
    /// Reads them from the settings.
    pub(super) fn new(replicas: &[ReplicaSettings]) -> Self {
        let entry = |replica: &ReplicaSettings| {
            let node = NodeId::from_name(&replica.name);
            (node, (replica.name.clone(), replica.operator))
        };
        ReplicaDirectory {
            replicas: replicas.iter().map(entry).collect(),
        }
    }

    /// Creates the document for a response of the control node.
    pub(super) fn describe(
        &self,
        response: OperatorResponse,
        status_kind: StatusDocumentKind,
        node: &ControlNode,
    ) -> OperatorDocument {
        let view = node.state().view();
        match response {
            OperatorResponse::Changed(accepted) => {
                let version = accepted.version;
                OperatorDocument::Changed(api::ChangeAccepted { version })
            }
            OperatorResponse::Configuration(configuration) => {
                OperatorDocument::Configuration(configuration)
            }
            OperatorResponse::Status(status) => match status_kind {
                StatusDocumentKind::Full => {
                    OperatorDocument::Status(self.status_document(status, node))
                }
                StatusDocumentKind::Progress { version } => {
                    OperatorDocument::Progress(progress_document(&status, version))
                }
            },
            OperatorResponse::Explanation(explanations) => {
                OperatorDocument::Explanation(explanation_document(&explanations, view))
            }
            OperatorResponse::PolicyAccepted => OperatorDocument::PolicyAccepted,
            OperatorResponse::ReplicasChanging => OperatorDocument::ReplicasChanging,
        }
    }

    /// Creates the error body for an error of the control node.
    pub(super) fn describe_error(&self, error: OperatorError) -> api::ErrorDocument {
        let mut document = api::ErrorDocument::new(error.kind, error.message);
        let leader = error.leader.and_then(|node| self.replicas.get(&node));
        let operator = leader.and_then(|(_, operator)| *operator);
        document.error.leader = operator.map(|address| address.to_string());
        document.error.current_version = error.config_version;
        if let Some(wait) = error.retry_after {
            document.error.retry_after_ms = u64::try_from(wait.as_millis()).ok();
        }
        document
    }

    fn name(&self, node: NodeId) -> String {
        match self.replicas.get(&node) {
            Some((name, _)) => name.clone(),
            None => format!("node {node}"),
        }
    }

    fn status_document(&self, status: ClusterStatus, node: &ControlNode) -> api::StatusDocument {
        let view = node.state().view();
        let announced = node.replica().announced_replicas();
        let unsettled: BTreeSet<&str> = status.unsettled.iter().map(String::as_str).collect();
        let services = view.services().map(|service| {
            let settled = !unsettled.contains(service.name.as_str());
            service_status(service, settled, view)
        });
        let membership = node.replica().membership();
        let replicas = status.replicas.iter().map(|replica| {
            let member = membership.member(replica.node);
            let incarnation = member.map_or(Incarnation(0), |it| it.replica.incarnation);
            self.replica(replica, incarnation)
        });
        api::StatusDocument {
            leader: self.name(status.leader),
            term: status.term,
            version: status.version,
            configuration_version: status.config_version,
            replicas: replicas.collect(),
            announced: announced.iter().map(|it| self.announced(it)).collect(),
            members: status.members.iter().map(member_status).collect(),
            evacuated_zones: evacuated_zones(view),
            services: services.collect(),
        }
    }

    fn announced(&self, replica: &ReplicaId) -> api::AnnouncedReplica {
        api::AnnouncedReplica {
            name: self.name(replica.node),
            incarnation: format!("{:016x}", replica.incarnation.0),
        }
    }

    fn replica(&self, status: &ReplicaStatus, incarnation: Incarnation) -> api::ReplicaStatus {
        let role = match status.role {
            MemberRole::Voter => "voter",
            MemberRole::JoiningVoter => "joining",
            MemberRole::Learner => "learner",
        };
        let silent = status.silent_for.map(|silence| silence.as_millis());
        api::ReplicaStatus {
            name: self.name(status.node),
            incarnation: format!("{:016x}", incarnation.0),
            role: role.to_string(),
            durable_index: status.durable_index,
            silent_ms: silent.and_then(|silence| u64::try_from(silence).ok()),
        }
    }
}

fn progress_document(status: &ClusterStatus, version: Option<u64>) -> api::ProgressDocument {
    let version = version.unwrap_or(status.version);
    let is_behind = |member: &&MemberStatus| member.version.is_none_or(|it| it < version);
    let lagging = || status.members.iter().filter(is_behind);
    api::ProgressDocument {
        version,
        newest: status.version,
        in_force: status.is_in_force(version),
        lagging_count: lagging().count(),
        lagging: lagging()
            .take(MAX_LISTED_NAMES)
            .map(|member| member.name.clone())
            .collect(),
    }
}

fn member_status(member: &MemberStatus) -> api::MemberStatus {
    let role = match member.role {
        NodeRole::Control => "control",
        NodeRole::Balancer => "balancer",
        NodeRole::Agent => "agent",
    };
    let state = match member.state {
        _ if member.suspected => "suspected",
        MemberState::Leaving => "leaving",
        _ => "live",
    };
    api::MemberStatus {
        name: member.name.clone(),
        role: role.to_string(),
        zone: member.zone.clone(),
        state: state.to_string(),
        version: member.version.unwrap_or(0),
    }
}

fn evacuated_zones(view: &ClusterView) -> Vec<String> {
    let evacuated = view.backends().filter(|backend| backend.evacuated);
    let zones: BTreeSet<&str> = evacuated.map(|backend| backend.zone.as_str()).collect();
    zones.into_iter().map(str::to_owned).collect()
}

fn service_status(
    service: &ServiceRecord,
    settled: bool,
    view: &ClusterView,
) -> api::ServiceStatus {
    let id = ServiceId(service.id);
    let placement = view.placement(id);
    let newest = placement.and_then(|placement| placement.generations.last());
    let weight = |backend: u64| {
        let shares = newest.map_or(&[][..], |generation| &generation.shares);
        let share = shares.iter().find(|share| share.backend == backend);
        share.map_or(0, |share| share.weight)
    };
    let backends = view.backends_of(id).map(|backend| api::BackendShare {
        name: backend.name.clone(),
        weight: weight(backend.id),
        draining: backend.draining,
        evacuated: backend.evacuated,
    });
    api::ServiceStatus {
        name: service.name.clone(),
        generation: newest.map_or(0, |generation| generation.number),
        settled,
        backends: backends.collect(),
    }
}

fn configuration_document(configuration: &Configuration) -> api::Configuration {
    let mut document = api::Document::default();
    let mut names = BTreeMap::new();
    let records = || {
        configuration
            .records
            .iter()
            .filter_map(|it| it.put.as_ref())
    };
    for record in records() {
        if let Record::Service(service) = record {
            names.insert(service.id, service.name.as_str());
        }
    }
    for record in records() {
        match record {
            Record::Service(service) => document.services.push(service.into()),
            Record::Policy(policy) => document.policies.push(policy.into()),
            Record::Backend(backend) => {
                let service = names.get(&backend.service).copied().unwrap_or_default();
                let backend = api::BackendDocument::from_record(service, backend);
                document.backends.push(backend);
            }
            Record::Member(_) | Record::Placement(_) => {}
        }
    }
    api::Configuration {
        version: configuration.config_version,
        document,
    }
}

fn explanation_document(
    explanations: &[BackendExplanation],
    view: &ClusterView,
) -> api::PolicyExplanation {
    let service = explanations
        .iter()
        .filter_map(|it| view.backend(it.backend))
        .find_map(|backend| view.service(ServiceId(backend.service)));
    let (service, policy) = match service {
        Some(service) => (service.name.clone(), service.policy.clone()),
        None => (String::new(), String::new()),
    };
    api::PolicyExplanation {
        service,
        policy,
        backends: explanations.iter().map(decision).collect(),
    }
}

fn decision(explanation: &BackendExplanation) -> api::PolicyDecision {
    let weight = match &explanation.explanation {
        Explanation::Weighted { share, .. } => Some(*share),
        Explanation::NotEligible { .. } | Explanation::Failed { .. } => None,
    };
    api::PolicyDecision {
        backend: explanation.name.clone(),
        eligible: weight.is_some(),
        weight: weight.unwrap_or(0),
        reason: explanation.explanation.to_string(),
    }
}
