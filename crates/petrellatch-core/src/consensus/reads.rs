//! Linearizable reads, served after a quorum has confirmed the leadership.

use crate::Timestamp;

use super::leadership::{Leadership, PendingRead};
use super::output::{NotLeader, ReplicaOutput};
use super::replica::{Replica, RoleState};

impl Replica {
    /// Requests a read that sees everything committed before. It results in
    /// [`ReplicaOutput::ReadReady`] after a quorum has confirmed that this
    /// replica still leads, or in [`ReplicaOutput::ReadLost`].
    ///
    /// # Errors
    ///
    /// Fails if this replica isn't the leader.
    pub fn request_read(&mut self, now: Timestamp, token: u64) -> Result<(), NotLeader> {
        self.observe_clock(now);
        let refusal = self.not_leader();
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return Err(refusal);
        };
        // Which entries earlier leaders committed is known only once the first
        // entry of this term is committed.
        let index = self.commit_index.max(leadership.first_index);
        leadership.round_requested = true;
        leadership.reads.push_back(PendingRead {
            token,
            index,
            round: leadership.round + 1,
        });
        self.complete_reads();
        Ok(())
    }

    /// Starts a confirmation round if pending reads need one.
    pub(super) fn start_requested_round(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return;
        };
        if !leadership.round_requested {
            return;
        }
        leadership.round_requested = false;
        leadership.round += 1;
        self.send_heartbeats();
    }

    /// Completes the reads whose round is confirmed and whose index is applied.
    pub(super) fn complete_reads(&mut self) {
        let RoleState::Leader(leadership) = &self.role_state else {
            return;
        };
        let confirmed_round = self.confirmed_round(leadership);
        while let Some(read) = self.take_completable_read(confirmed_round) {
            self.emit(ReplicaOutput::ReadReady {
                token: read.token,
                index: read.index,
            });
        }
    }

    fn take_completable_read(&mut self, confirmed_round: u64) -> Option<PendingRead> {
        let applied_index = self.applied_index;
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return None;
        };
        let read = leadership.reads.front()?;
        let is_completable = read.round <= confirmed_round && read.index <= applied_index;
        if !is_completable {
            return None;
        }
        leadership.reads.pop_front()
    }

    /// The last round that a quorum acknowledged.
    fn confirmed_round(&self, leadership: &Leadership) -> u64 {
        const ALWAYS: u64 = u64::MAX;
        if self.settings.mutations.skip_quorum_check {
            return ALWAYS;
        }
        let membership = self.memberships.current();
        let round_of = |voter: super::ReplicaId| match leadership.peers.get(&voter.node) {
            Some(progress) => progress.acknowledged_round,
            None if voter == self.id => ALWAYS,
            None => 0,
        };
        let mut rounds: Vec<u64> = membership.voters().map(round_of).collect();
        rounds.sort_unstable_by(|left, right| right.cmp(left));
        let round = rounds.get(membership.quorum_size() - 1);
        round.copied().unwrap_or(0)
    }
}
