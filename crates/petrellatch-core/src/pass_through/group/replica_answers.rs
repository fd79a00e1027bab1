//! What the replicas have told an agent since its start, and what that proves.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::GroupStatus;

/// The latest answer of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaAnswer {
    remembers_agents: bool,
    knows_previous_incarnation: bool,
}

/// The latest answer of each replica to the reports of one incarnation of an agent.
///
/// Replicas restart, so that a single answer proves little. That an agent is new is known only if
/// all members say so.
#[derive(Debug, Default)]
pub(crate) struct ReplicaAnswers {
    answers: BTreeMap<SocketAddrV4, ReplicaAnswer>,
}

impl ReplicaAnswers {
    /// Notes the status that a replica sent in reply to a report of this incarnation.
    pub(crate) fn note(&mut self, from: SocketAddrV4, status: &GroupStatus) {
        let answer = ReplicaAnswer {
            remembers_agents: status.remembers_agents,
            knows_previous_incarnation: status.knows_previous_incarnation,
        };
        self.answers.insert(from, answer);
    }

    /// Whether no agent had this address within the lifetime of a flow: every member remembers
    /// all agents of that time, and none knows a previous incarnation.
    pub(crate) fn prove_first_incarnation(&self, members: &[SocketAddrV4]) -> bool {
        let is_first =
            |answer: &ReplicaAnswer| answer.remembers_agents && !answer.knows_previous_incarnation;
        let mut answers = members.iter().map(|it| self.answers.get(it));
        !members.is_empty() && answers.all(|answer| answer.is_some_and(is_first))
    }
}
