//! What operators ask a control node, and what they get.

use std::time::Duration;

use petrellatch_proto::command::OperatorChange;
use petrellatch_proto::record::{MemberState, NodeRole, RecordChange};
use snafu::Snafu;

use crate::consensus::{LogIndex, MemberRole, MembershipChange, Term};
use crate::error_kind::ErrorKind;
use crate::identity::{Incarnation, NodeId};
use crate::policy::{BackendExplanation, PolicySource};

use super::outcome::{AcceptedChange, ChangeRefusal};

/// A request by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRequest {
    /// Changes the configuration.
    Change(OperatorChange),
    /// Reads the whole configuration.
    ReadConfiguration,
    /// Reads the state of the cluster.
    Status,
    /// Reads the state of the cluster to find out whether a version is in
    /// force everywhere. The client asks again until it is.
    Wait {
        /// The version.
        version: u64,
    },
    /// Says what each back end of a service receives, and why.
    ExplainPolicy {
        /// The service's name.
        service: String,
    },
    /// Checks a policy without effect.
    CheckPolicy {
        /// The policy.
        policy: PolicySource,
        /// The service for whose back ends it is checked; none for those of
        /// all services.
        service: Option<String>,
    },
    /// Changes the set of control replicas.
    ChangeReplicas(MembershipChange),
}

/// The answer to a request that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorResponse {
    /// The change was accepted: it is durable at a quorum.
    Changed(AcceptedChange),
    /// The configuration.
    Configuration(Configuration),
    /// The state of the cluster.
    Status(ClusterStatus),
    /// What each back end receives.
    Explanation(Vec<BackendExplanation>),
    /// The policy is sound.
    PolicyAccepted,
    /// The change of the replicas has begun; see the status for its end.
    ReplicasChanging,
}

/// The answer to a request that was not carried out, or whose outcome is not
/// known.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct OperatorError {
    /// The kind of error.
    pub kind: ErrorKind,
    /// The explanation.
    pub message: String,
    /// After which time the request may be sent again.
    pub retry_after: Option<Duration>,
    /// The replica that may be leader, if it is another one.
    pub leader: Option<NodeId>,
    /// The current configuration version, if the error depends on it.
    pub config_version: Option<u64>,
}

/// All records with their versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The newest version of the records.
    pub version: u64,
    /// The version on which the next change must be based.
    pub config_version: u64,
    /// The records, as puts.
    pub records: Vec<RecordChange>,
}

/// The state of the cluster as its leader knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterStatus {
    /// The leader, which answers.
    pub leader: NodeId,
    /// Its term.
    pub term: Term,
    /// The newest version of the records.
    pub version: u64,
    /// The version of the last accepted operator change.
    pub config_version: u64,
    /// Numbers of records.
    pub counts: RecordCounts,
    /// All balancers and agents.
    pub members: Vec<MemberStatus>,
    /// How many members are not known to have the newest version in force.
    pub lagging_count: usize,
    /// The names of some of them.
    pub lagging: Vec<String>,
    /// The names of services whose placement is not settled.
    pub unsettled: Vec<String>,
    /// The control replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// Numbers of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Services.
    pub services: usize,
    /// Back ends.
    pub backends: usize,
    /// Policies.
    pub policies: usize,
    /// Balancers and agents.
    pub members: usize,
}

/// One balancer or agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its job.
    pub role: NodeRole,
    /// The zone where it runs.
    pub zone: String,
    /// Its state.
    pub state: MemberState,
    /// The version in force there; none if the leader does not know it yet.
    pub version: Option<u64>,
    /// Whether it has been silent for too long.
    pub suspected: bool,
}

/// One control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its node.
    pub node: NodeId,
    /// Its part in the group.
    pub role: MemberRole,
    /// The last entry of the log that is durable there.
    pub durable_index: LogIndex,
    /// How long ago it was last heard of; none if never in this term.
    pub silent_for: Option<Duration>,
}

impl ClusterStatus {
    /// Whether `version` is in force at every member.
    pub fn is_in_force(&self, version: u64) -> bool {
        let has_version = |member: &MemberStatus| member.version.is_some_and(|it| it >= version);
        self.version >= version && self.members.iter().all(has_version)
    }
}

impl OperatorError {
    /// Makes an error with the retry time of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        OperatorError {
            kind,
            message: message.into(),
            retry_after: kind.response().retry_after,
            leader: None,
            config_version: None,
        }
    }

    /// This replica does not lead.
    pub(super) fn not_leader(leader: Option<NodeId>) -> Self {
        let kind = match leader {
            Some(_) => ErrorKind::NotLeader,
            None => ErrorKind::Unavailable,
        };
        OperatorError {
            leader,
            ..OperatorError::new(kind, "this replica does not lead")
        }
    }

    /// The outcome of a request is not known.
    pub(super) fn unknown_outcome() -> Self {
        let message = "the outcome is not known; send the request again with the same id";
        OperatorError::new(ErrorKind::Unavailable, message)
    }
}

impl From<ChangeRefusal> for OperatorError {
    fn from(refusal: ChangeRefusal) -> Self {
        OperatorError {
            config_version: Some(refusal.config_version),
            ..OperatorError::new(refusal.kind, refusal.message)
        }
    }
}
