//! The members of the group and their roles.

use snafu::Snafu;

use crate::identity::{Incarnation, NodeId};

use super::NotLeader;

/// Maximum number of removed replicas that a membership keeps. Older ones are
/// dropped and could announce themselves again, which is safe but useless.
const MAX_RETIRED_REPLICAS: usize = 32;

/// Maximum number of members of one group.
pub const MAX_MEMBERS: usize = 16;

/// A node with the incarnation of its data folder. A node that lost its folder
/// returns as a different replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId {
    /// The node.
    pub node: NodeId,
    /// Incarnation of the data folder, drawn when it was formatted.
    pub incarnation: Incarnation,
}

/// Role of a member in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberRole {
    /// Counts towards quorums and may become leader.
    Voter,
    /// Only receives the log.
    Learner,
    /// Receives the log; the leader promotes it to voter once it has durably
    /// caught up.
    JoiningVoter,
}

/// One member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The replica.
    pub replica: ReplicaId,
    /// Its role.
    pub role: MemberRole,
}

/// The members of a group, at most one replica per node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Membership {
    members: Vec<Member>,
    retired: Vec<ReplicaId>,
}

/// A requested membership change. Every change affects at most one voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that only receives the log.
    AddLearner(ReplicaId),
    /// Adds a replica as a learner and promotes it once it has caught up.
    AddVoter(ReplicaId),
    /// Promotes a learner that has durably caught up to voter.
    Promote(NodeId),
    /// Removes a member.
    Remove(NodeId),
}

/// Why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MembershipError {
    /// This replica isn't the leader.
    #[snafu(display("{source}"), context(false))]
    ChangeNotLeader {
        /// The replica that may be the leader.
        source: NotLeader,
    },
    /// An earlier change or the first entry of the term isn't committed yet.
    #[snafu(display("an earlier membership change or the term start is not committed yet"))]
    ChangeInProgress,
    /// The node isn't a member.
    #[snafu(display("node {node} is no member"))]
    UnknownMember {
        /// The node of the request.
        node: NodeId,
    },
    /// The node is already a member.
    #[snafu(display("node {node} is a member already"))]
    AlreadyMember {
        /// The node of the request.
        node: NodeId,
    },
    /// The learner has not durably caught up with the committed entries.
    #[snafu(display("learner {node} has not caught up"))]
    NotCaughtUp {
        /// The node of the request.
        node: NodeId,
    },
    /// The group would lose its last voter.
    #[snafu(display("the last voter cannot be removed"))]
    LastVoter,
    /// The group already has [`MAX_MEMBERS`] members.
    #[snafu(display("the group is full"))]
    GroupFull,
}

impl Membership {
    /// Creates a membership of these members. The last one wins if several
    /// have the same node.
    pub fn new(members: impl IntoIterator<Item = Member>) -> Self {
        let mut membership = Membership::default();
        for member in members {
            membership.insert(member);
        }
        membership
    }

    /// Creates a membership in which all these replicas are voters.
    pub fn of_voters(replicas: impl IntoIterator<Item = ReplicaId>) -> Self {
        let voter = |replica| Member {
            replica,
            role: MemberRole::Voter,
        };
        Membership::new(replicas.into_iter().map(voter))
    }

    pub(super) fn from_parts(members: Vec<Member>, retired: Vec<ReplicaId>) -> Self {
        let mut membership = Membership::new(members);
        membership.retired = retired;
        membership
    }

    /// All members, ordered by node.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Replicas that were removed or replaced, oldest first.
    pub fn retired(&self) -> &[ReplicaId] {
        &self.retired
    }

    /// The members that count towards quorums.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let is_voter = |member: &&Member| member.role == MemberRole::Voter;
        self.members
            .iter()
            .filter(is_voter)
            .map(|member| member.replica)
    }

    /// Number of voters in a quorum.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The member on this node.
    pub fn member(&self, node: NodeId) -> Option<Member> {
        let position = self.position(node).ok()?;
        Some(self.members[position])
    }

    /// Whether this replica, with exactly this incarnation, is a member.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.member(replica.node)
            .is_some_and(|member| member.replica == replica)
    }

    /// Whether this replica, with exactly this incarnation, is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.member(replica.node)
            .is_some_and(|member| member.replica == replica && member.role == MemberRole::Voter)
    }

    /// Whether this replica was removed or replaced.
    pub fn is_retired(&self, replica: ReplicaId) -> bool {
        self.retired.contains(&replica)
    }

    /// The membership after `change`.
    pub(super) fn changed(&self, change: MembershipChange) -> Result<Membership, MembershipError> {
        match change {
            MembershipChange::AddLearner(replica) => self.added(replica, MemberRole::Learner),
            MembershipChange::AddVoter(replica) => self.added(replica, MemberRole::JoiningVoter),
            MembershipChange::Promote(node) => self.promoted(node),
            MembershipChange::Remove(node) => self.removed(node),
        }
    }

    /// The membership in which `successor` replaces the replica on the same
    /// node. The successor of a voter is a learner until it has caught up.
    pub(super) fn replaced(&self, successor: ReplicaId) -> Result<Membership, MembershipError> {
        let node = successor.node;
        let previous = self.member(node);
        let previous = previous.ok_or(MembershipError::UnknownMember { node })?;
        let mut next = self.clone();
        next.retire(previous.replica);
        let role = match previous.role {
            MemberRole::Learner => MemberRole::Learner,
            MemberRole::Voter | MemberRole::JoiningVoter => MemberRole::JoiningVoter,
        };
        next.insert(Member {
            replica: successor,
            role,
        });
        Ok(next)
    }

    fn added(&self, replica: ReplicaId, role: MemberRole) -> Result<Membership, MembershipError> {
        let node = replica.node;
        if self.member(node).is_some() {
            return Err(MembershipError::AlreadyMember { node });
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err(MembershipError::GroupFull);
        }
        let mut next = self.clone();
        next.retired.retain(|retired| *retired != replica);
        next.insert(Member { replica, role });
        Ok(next)
    }

    fn promoted(&self, node: NodeId) -> Result<Membership, MembershipError> {
        let member = self.member(node);
        let mut member = member.ok_or(MembershipError::UnknownMember { node })?;
        if member.role == MemberRole::Voter {
            return Err(MembershipError::AlreadyMember { node });
        }
        member.role = MemberRole::Voter;
        let mut next = self.clone();
        next.insert(member);
        Ok(next)
    }

    fn removed(&self, node: NodeId) -> Result<Membership, MembershipError> {
        let member = self.member(node);
        let member = member.ok_or(MembershipError::UnknownMember { node })?;
        let mut next = self.clone();
        next.members.retain(|other| other.replica.node != node);
        next.retire(member.replica);
        if next.voters().next().is_none() {
            return Err(MembershipError::LastVoter);
        }
        Ok(next)
    }

    fn insert(&mut self, member: Member) {
        match self.position(member.replica.node) {
            Ok(position) => self.members[position] = member,
            Err(position) => self.members.insert(position, member),
        }
    }

    fn retire(&mut self, replica: ReplicaId) {
        self.retired.push(replica);
        if self.retired.len() > MAX_RETIRED_REPLICAS {
            self.retired.remove(0);
        }
    }

    fn position(&self, node: NodeId) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&node, |member| member.replica.node)
    }
}
