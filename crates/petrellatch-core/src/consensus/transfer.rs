//! Leadership that is handed over before a planned stop.

use petrellatch_proto::consensus::{ConsensusBody, TransferRequest};

use crate::Timestamp;

use super::membership::ReplicaId;
use super::output::NotLeader;
use super::replica::{Replica, RoleState};

impl Replica {
    /// Hands leadership to the voter that has the whole log, as soon as there
    /// is one and everything proposed is committed. Until then proposals are
    /// refused. If that takes longer than an election timeout this replica
    /// goes on leading.
    ///
    /// The leader steps down before it asks the other one to take over. So it
    /// is sure of its quorum no more when the other one is elected, although
    /// the voters don't wait until they have missed it.
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

    /// Stops leading without a successor, for example because the own disk
    /// does not answer. The other voters elect one of them once they miss the
    /// heartbeats.
    pub fn resign(&mut self, now: Timestamp) {
        self.observe_clock(now);
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.become_follower();
            self.leader = None;
        }
    }

    /// Whether this leader waits for somebody to hand over to.
    pub fn is_transferring(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(leadership) => leadership.transfer_deadline.is_some(),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                false
            }
        }
    }

    /// Hands over if somebody is ready to take over, or gives up.
    pub(super) fn continue_transfer(&mut self) {
        if !self.is_transferring() {
            return;
        }
        if let Some(successor) = self.transfer_target() {
            self.transfer_to(successor);
        } else if let RoleState::Leader(leadership) = &mut self.role_state {
            let is_over = leadership
                .transfer_deadline
                .is_some_and(|at| at <= self.now);
            if is_over {
                leadership.transfer_deadline = None;
            }
        }
    }

    /// The voter that has the whole log and answered last.
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

    fn transfer_to(&mut self, successor: ReplicaId) {
        if !self.settings.mutations.lead_on_after_transfer {
            self.become_follower();
        } else if let RoleState::Leader(leadership) = &mut self.role_state {
            leadership.transfer_deadline = None;
        }
        self.leader = Some(successor.node);
        let request = TransferRequest {};
        self.send(successor, ConsensusBody::TransferRequest(request));
    }

    /// The leader asks this replica to take over. A request of an earlier
    /// term, or of somebody who does not lead, has no effect.
    pub(super) fn handle_transfer_request(&mut self, sender: ReplicaId, term: u64) {
        let is_follower = matches!(self.role_state, RoleState::Follower);
        let from_leader = self.leader == Some(sender.node) && term == self.hard_state.term;
        if is_follower && from_leader && self.is_current_member(sender) && self.may_campaign() {
            self.start_election(true);
            self.leader = None;
        }
    }
}
