//! What the replicas have told an agent since its start, and what that proves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::GroupStatus;

/// The latest answer of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaAnswer {
    remembers_agents: bool,
    knows_previous_incarnation: bool,
    departures_are_complete: bool,
    saved_departures: BTreeSet<u64>,
}

/// The latest answer of each replica to the reports of one incarnation of an agent.
///
/// Replicas restart, and some lose their disks, so that a single answer proves little. A departure
/// stands once a majority has saved it, and any other majority includes a replica that has. That
/// an agent is new is known only if all members say so.
#[derive(Debug, Default)]
pub(crate) struct ReplicaAnswers {
    answers: BTreeMap<SocketAddrV4, ReplicaAnswer>,
}

impl ReplicaAnswers {
    /// Notes the status that a replica sent in reply to a report of this incarnation.
    pub(crate) fn note(&mut self, from: SocketAddrV4, status: &GroupStatus) {
        let departures = status.departures.as_deref();
        let saved = departures.map_or(&[][..], |departures| &departures.saved);
        let answer = ReplicaAnswer {
            remembers_agents: status.remembers_agents,
            knows_previous_incarnation: status.knows_previous_incarnation,
            departures_are_complete: departures.is_some_and(|it| it.is_complete),
            saved_departures: saved.iter().copied().collect(),
        };
        self.answers.insert(from, answer);
    }

    /// Whether no agent had this address within the lifetime of a flow: every member remembers
    /// all agents of that time, and none knows a previous incarnation.
    pub(crate) fn prove_first_incarnation(&self, members: &[SocketAddrV4]) -> bool {
        let is_first =
            |answer: &ReplicaAnswer| answer.remembers_agents && !answer.knows_previous_incarnation;
        !members.is_empty() && self.count(members, is_first) == members.len()
    }

    /// Whether the replicas that have answered know every departure that was acknowledged at the
    /// agent's address.
    pub(crate) fn know_all_departures(&self, members: &[SocketAddrV4]) -> bool {
        self.is_majority(members, |answer| answer.departures_are_complete)
    }

    /// Whether a majority has saved all of these departures.
    pub(crate) fn have_saved(&self, members: &[SocketAddrV4], departures: &[u64]) -> bool {
        let has_saved = |answer: &ReplicaAnswer| {
            let mut departures = departures.iter();
            departures.all(|it| answer.saved_departures.contains(it))
        };
        self.is_majority(members, has_saved)
    }

    fn is_majority(
        &self,
        members: &[SocketAddrV4],
        is_counted: impl Fn(&ReplicaAnswer) -> bool,
    ) -> bool {
        self.count(members, is_counted) * 2 > members.len()
    }

    fn count(
        &self,
        members: &[SocketAddrV4],
        is_counted: impl Fn(&ReplicaAnswer) -> bool,
    ) -> usize {
        let answers = members.iter().filter_map(|it| self.answers.get(it));
        answers.filter(|answer| is_counted(answer)).count()
    }
}
