//! Read access to the state of a replica.

use crate::identity::NodeId;

use super::entry::{LogIndex, LogPosition, Term};
use super::membership::{Membership, ReplicaId};
use super::output::{NotLeader, PeerProgress, Role};
use super::replica::{Replica, RoleState};

impl Replica {
    /// The replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The replica's current role.
    pub fn role(&self) -> Role {
        match self.role_state {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, if known. It may already have been
    /// replaced.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Index of the last entry that was emitted to the application.
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Position of the last entry of the log, committed or not.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// The membership in effect, committed or not.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// Index of the entry that set the membership in effect. Increases with every
    /// committed change.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.current_index()
    }

    /// Replication progress of the other members; empty unless this replica
    /// leads.
    pub fn peer_progress(&self) -> Vec<PeerProgress> {
        match &self.role_state {
            RoleState::Leader(leadership) => leadership.peer_progress(),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                Vec::new()
            }
        }
    }

    /// Replicas that announced themselves to this leader and whose nodes aren't
    /// members. An operator may add them.
    pub fn announced_replicas(&self) -> Vec<ReplicaId> {
        match &self.role_state {
            RoleState::Leader(leadership) => leadership.announced_replicas(),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                Vec::new()
            }
        }
    }

    pub(super) fn not_leader(&self) -> NotLeader {
        let others = |leader: &NodeId| *leader != self.id.node;
        NotLeader {
            hint: self.leader.filter(others),
        }
    }
}
