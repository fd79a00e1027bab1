//! Membership changes, and replacement of a replica that lost its disk.

use petrellatch_proto::consensus::{ConsensusBody, JoinRequest};

use crate::Timestamp;
use crate::identity::{Incarnation, NodeId};

use super::entry::{EntryPayload, LogPosition};
use super::membership::{MemberRole, Membership, MembershipChange, MembershipError, ReplicaId};
use super::replica::{Replica, RoleState};

impl Replica {
    /// Proposes a membership change. Only one change may be uncommitted at a
    /// time. It takes effect at this replica at once, and is final when it is
    /// committed.
    pub fn propose_membership(
        &mut self,
        now: Timestamp,
        change: MembershipChange,
    ) -> Result<LogPosition, MembershipError> {
        self.observe_clock(now);
        if !matches!(self.role_state, RoleState::Leader(_)) {
            return Err(self.not_leader().into());
        }
        if self.change_in_progress() {
            return Err(MembershipError::ChangeInProgress);
        }
        let membership = self.membership().changed(change)?;
        if let MembershipChange::Promote(node) = change
            && !self.has_caught_up(node)
        {
            return Err(MembershipError::NotCaughtUp { node });
        }
        Ok(self.append_membership(membership))
    }

    /// Replaces the nodes that this replica announces itself to, in addition
    /// to the members of its own membership.
    pub fn set_join_targets(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        let own = self.id.node;
        self.join_targets = nodes.into_iter().filter(|node| *node != own).collect();
    }

    pub(super) fn join_is_due(&self) -> bool {
        let leads = matches!(self.role_state, RoleState::Leader(_));
        // A voter may not have received the entry that removed it.
        let may_be_removed = self.settings.readmit_retired && self.leader.is_none();
        let may_announce = !self.may_campaign() || may_be_removed;
        !leads && may_announce && self.now >= self.join_deadline
    }

    pub(super) fn reset_join_timer(&mut self) {
        self.join_deadline = self.random_deadline();
    }

    /// Announces to all known nodes that this replica isn't a voter and receives
    /// nothing from a leader.
    pub(super) fn announce_join(&mut self) {
        const ANY: Incarnation = Incarnation(0);
        self.reset_join_timer();
        let mut nodes = self.join_targets.clone();
        let members = self.membership().members();
        nodes.extend(members.iter().map(|member| member.replica.node));
        nodes.remove(&self.id.node);
        for node in nodes {
            let receiver = ReplicaId {
                node,
                incarnation: ANY,
            };
            self.send(receiver, ConsensusBody::JoinRequest(JoinRequest {}));
        }
    }

    /// Handles the announcement of a replica. If a member's node has another
    /// incarnation, its disk was lost: one committed change removes the old
    /// replica and adds the new one as a learner.
    pub(super) fn handle_join_request(&mut self, sender: ReplicaId) {
        let readmits = self.settings.readmit_retired;
        let membership = self.membership();
        let is_member = membership.contains(sender);
        let is_retired = membership.is_retired(sender);
        let previous = membership.member(sender.node);
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return;
        };
        if is_member || (is_retired && !readmits) {
            return;
        }
        let Some(previous) = previous else {
            leadership.note_announced_replica(sender);
            return;
        };
        if self.change_in_progress() || self.responded_recently(previous.replica) {
            return;
        }
        if let Ok(membership) = self.membership().replaced(sender) {
            self.append_membership(membership);
        }
    }

    /// Promotes a joining voter to voter once it has durably caught up.
    pub(super) fn promote_if_caught_up(&mut self, replica: ReplicaId) {
        let joins = |member: super::Member| member.role == MemberRole::JoiningVoter;
        let joining = self.membership().member(replica.node).is_some_and(joins);
        if !joining || !matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        if self.change_in_progress() || !self.has_caught_up(replica.node) {
            return;
        }
        let change = MembershipChange::Promote(replica.node);
        if let Ok(membership) = self.membership().changed(change) {
            self.append_membership(membership);
        }
    }

    fn append_membership(&mut self, membership: Membership) -> LogPosition {
        self.append_entry(EntryPayload::Membership(membership))
    }

    /// Whether another change must wait until the previous change and the first
    /// entry of the term are committed. Before the latter, a change of an earlier
    /// leader might still be uncommitted.
    fn change_in_progress(&self) -> bool {
        let RoleState::Leader(leadership) = &self.role_state else {
            return true;
        };
        let pending = self.memberships.current_index() > self.commit_index;
        pending || self.commit_index < leadership.first_index
    }

    fn has_caught_up(&mut self, node: NodeId) -> bool {
        let now = self.now;
        let commit_index = self.commit_index;
        let limit = self.settings.election_timeout;
        let progress = self.progress_on(node);
        progress.is_some_and(|progress| progress.has_caught_up(now, commit_index, limit))
    }

    /// Whether the replica responded within the election timeout. If so, its
    /// disk isn't lost, and the announcement comes from another process that
    /// uses the same node.
    fn responded_recently(&self, replica: ReplicaId) -> bool {
        let RoleState::Leader(leadership) = &self.role_state else {
            return false;
        };
        let progress = leadership.peers.get(&replica.node);
        let contact = progress.and_then(|progress| progress.last_contact);
        contact.is_some_and(|at| self.now < at + self.settings.election_timeout)
    }
}
