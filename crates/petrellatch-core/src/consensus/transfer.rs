//! Leadership transfer before a planned stop.

use petrellatch_proto::consensus::{ConsensusBody, TransferRequest};

use crate::Timestamp;

use super::membership::ReplicaId;
use super::output::NotLeader;
use super::replica::{Replica, RoleState};

impl Replica {
    /// Transfers leadership to a voter that has the complete log, as soon as
    /// there is one and all proposals are applied. Until then proposals are
    /// refused. If that takes longer than an election timeout, the transfer is
    /// abandoned and this replica remains the leader.
    ///
    /// The leader steps down before it requests the target to start an
    /// election. It therefore no longer relies on its quorum when the target is
    /// elected, although the voters grant their votes without waiting for the
    /// election timeout.
    ///
    /// # Errors
    ///
    /// Fails if this replica isn't the leader.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Result<(), NotLeader> {
        self.observe_clock(now);
        let refusal = self.not_leader();
        let deadline = self.now + self.settings.election_timeout;
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return Err(refusal);
        };
        leadership.transfer_deadline = Some(deadline);
        self.continue_transfer();
        Ok(())
    }

    /// Steps down without a transfer, for example because the disk of this
    /// replica doesn't respond. The other voters elect a leader once their
    /// election timeouts expire.
    pub fn resign(&mut self, now: Timestamp) {
        self.observe_clock(now);
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.become_follower();
            self.leader = None;
        }
    }

    /// Whether this leader waits for a voter that is ready for a transfer.
    pub fn is_transferring(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(leadership) => leadership.transfer_deadline.is_some(),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                false
            }
        }
    }

    /// Completes a transfer if a voter is ready, or abandons it at its deadline.
    pub(super) fn continue_transfer(&mut self) {
        if !self.is_transferring() {
            return;
        }
        if let Some(target) = self.transfer_target() {
            self.transfer_to(target);
        } else if let RoleState::Leader(leadership) = &mut self.role_state {
            let has_expired = leadership
                .transfer_deadline
                .is_some_and(|at| at <= self.now);
            if has_expired {
                leadership.transfer_deadline = None;
            }
        }
    }

    /// The voter that has the complete log and responded most recently.
    fn transfer_target(&self) -> Option<ReplicaId> {
        let last_index = self.log.last_index();
        let RoleState::Leader(leadership) = &self.role_state else {
            return None;
        };
        if self.applied_index < last_index {
            return None;
        }
        let peers = leadership.peers.values();
        peers
            .filter(|peer| peer.match_index == last_index)
            .filter(|peer| self.membership().is_voter(peer.replica))
            .max_by_key(|peer| (peer.last_contact, peer.replica))
            .map(|peer| peer.replica)
    }

    fn transfer_to(&mut self, target: ReplicaId) {
        if !self.settings.mutations.lead_on_after_transfer {
            self.become_follower();
        } else if let RoleState::Leader(leadership) = &mut self.role_state {
            leadership.transfer_deadline = None;
        }
        self.leader = Some(target.node);
        let request = TransferRequest {};
        self.send(target, ConsensusBody::TransferRequest(request));
    }

    /// Starts an election on request of the leader. A request of an earlier
    /// term, or of a replica that isn't the leader, has no effect.
    pub(super) fn handle_transfer_request(&mut self, sender: ReplicaId, term: u64) {
        let is_follower = matches!(self.role_state, RoleState::Follower);
        let from_leader = self.leader == Some(sender.node) && term == self.hard_state.term;
        if is_follower && from_leader && self.is_current_member(sender) && self.may_campaign() {
            self.start_election(true);
            self.leader = None;
        }
    }
}
