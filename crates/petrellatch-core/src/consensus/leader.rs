//! The leader's side of replication: proposals, sending, commits.

use petrellatch_proto::consensus::{AppendRequest, AppendResponse, ConsensusBody};

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{EntryPayload, LogEntry, LogIndex, LogPosition, Term};
use super::leadership::Leadership;
use super::membership::{Member, MemberRole, ReplicaId};
use super::output::ProposeError;
use super::progress::{Progress, ReplicationState};
use super::replica::{Replica, RoleState};
use super::settings::MAX_COMMAND_BYTES;

/// Size of uncommitted entries above which proposals are refused, in bytes.
const MAX_UNCOMMITTED_BYTES: usize = 8 * 1024 * 1024;

impl Replica {
    /// Proposes a command. It is committed only when it is emitted as
    /// [`ReplicaOutput::Apply`] with the returned position.
    ///
    /// # Errors
    ///
    /// Fails if this replica isn't the leader or is transferring leadership, if
    /// the command is too large, or if too much is uncommitted.
    pub fn propose(
        &mut self,
        now: Timestamp,
        command: Vec<u8>,
    ) -> Result<LogPosition, ProposeError> {
        self.observe_clock(now);
        if !matches!(self.role_state, RoleState::Leader(_)) || self.is_transferring() {
            return Err(self.not_leader().into());
        }
        if command.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::CommandTooLarge {
                bytes: command.len(),
                limit: MAX_COMMAND_BYTES,
            });
        }
        let bytes = self.log.bytes_after(self.commit_index);
        if bytes > MAX_UNCOMMITTED_BYTES {
            return Err(ProposeError::Overloaded { bytes });
        }
        let position = self.append_entry(EntryPayload::Command(command));
        self.own_proposals.insert(position.index, position.term);
        Ok(position)
    }

    /// Whether this replica leads and a quorum responded so recently, by its
    /// own clock and with the margin for clock drift, that no other leader can
    /// have been elected. Leases may be granted only while this is true.
    pub fn is_leader_with_quorum(&self, now: Timestamp) -> bool {
        let RoleState::Leader(leadership) = &self.role_state else {
            return false;
        };
        if self.settings.mutations.skip_quorum_check {
            return true;
        }
        let now = self.now.max(now);
        let contact = self.quorum_contact(leadership, now);
        let valid = contact.is_some_and(|at| now < at + self.settings.quorum_validity());
        valid && self.commit_index >= leadership.first_index
    }

    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append_entry(&mut self, payload: EntryPayload) -> LogPosition {
        let position = LogPosition {
            term: self.hard_state.term,
            index: self.log.last_index() + 1,
        };
        let entry = LogEntry { position, payload };
        self.append_to_log(entry);
        position
    }

    /// When the leader steps down unless a quorum responds before.
    pub(super) fn step_down_deadline(&self, leadership: &Leadership) -> Timestamp {
        let contact = self.quorum_contact(leadership, self.now);
        let contact = contact.map_or(leadership.since, |at| at.max(leadership.since));
        contact + self.settings.quorum_validity()
    }

    pub(super) fn heartbeat_is_due(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(leadership) => self.now >= leadership.next_heartbeat,
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                false
            }
        }
    }

    /// Sends a heartbeat to every peer and allows lost messages to be sent
    /// again.
    pub(super) fn send_heartbeats(&mut self) {
        let next_heartbeat = self.now + self.settings.heartbeat_interval;
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return;
        };
        leadership.next_heartbeat = next_heartbeat;
        for progress in leadership.peers.values_mut() {
            progress.allow_retry();
        }
        for peer in self.peer_nodes() {
            self.send_heartbeat(peer);
        }
    }

    /// Sends missing entries to the peers, as far as flow control allows.
    pub(super) fn replicate(&mut self) {
        self.start_requested_round();
        for peer in self.peer_nodes() {
            self.replicate_to(peer);
        }
    }

    pub(super) fn handle_append_response(
        &mut self,
        sender: ReplicaId,
        term: Term,
        response: &AppendResponse,
    ) {
        if !self.is_current_member(sender) {
            return;
        }
        self.observe_term(term);
        if term != self.hard_state.term {
            return;
        }
        let hint = response.hint_index.min(response.refused_index);
        let possible_match = self.log.last_possible_match(hint, response.hint_term);
        let sent_at = Timestamp::from_micros(response.sent_at_micros).min(self.now);
        let Some(progress) = self.progress_of(sender) else {
            return;
        };
        progress.record_contact(sent_at, response.round);
        if response.accepted {
            progress.record_match(response.match_index);
        } else {
            progress.record_refusal(response.refused_index, possible_match);
        }
        self.advance_commit();
        self.apply_committed();
        self.promote_if_caught_up(sender);
        self.continue_transfer();
    }

    /// Advances the commit index to the last entry of this term that is durable
    /// at a quorum.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leadership) = &self.role_state else {
            return;
        };
        let own_index = self.own_durable_index();
        let match_of = |member: &Member| match leadership.peers.get(&member.replica.node) {
            Some(progress) => progress.match_index,
            None if member.replica == self.id => own_index,
            None => 0,
        };
        let counts_learners = self.settings.mutations.learner_counts_as_voter;
        let membership = self.memberships.current();
        let members = membership.members().iter();
        let counting = members.filter(|member| counts_learners || member.role == MemberRole::Voter);
        let mut matches: Vec<LogIndex> = counting.map(match_of).collect();
        matches.sort_unstable_by(|left, right| right.cmp(left));
        let index = matches.get(membership.quorum_size() - 1);
        let index = index.copied().unwrap_or(0);
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if is_own_term && index > self.commit_index {
            self.commit_index = index;
            self.step_down_if_removed();
        }
    }

    /// Nodes of the other members; empty unless this replica leads.
    fn peer_nodes(&self) -> Vec<NodeId> {
        match &self.role_state {
            RoleState::Leader(leadership) => leadership.peers.keys().copied().collect(),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                Vec::new()
            }
        }
    }

    /// Progress of the member with exactly this incarnation.
    pub(super) fn progress_of(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return None;
        };
        if self.settings.mutations.ignore_incarnation {
            return leadership.peers.get_mut(&replica.node);
        }
        leadership.progress_of(replica)
    }

    /// The latest time for which a quorum, this replica included, has responded
    /// to messages sent at or after it. `None` if no quorum responded in this
    /// term.
    fn quorum_contact(&self, leadership: &Leadership, now: Timestamp) -> Option<Timestamp> {
        let contact_of = |voter: ReplicaId| match leadership.peers.get(&voter.node) {
            Some(progress) => progress.last_contact,
            None => (voter == self.id).then_some(now),
        };
        let membership = self.memberships.current();
        let mut contacts: Vec<Option<Timestamp>> = membership.voters().map(contact_of).collect();
        contacts.sort_unstable_by(|left, right| right.cmp(left));
        contacts
            .get(membership.quorum_size() - 1)
            .copied()
            .flatten()
    }

    fn step_down_if_removed(&mut self) {
        let removal_committed = self.memberships.current_index() <= self.commit_index;
        if removal_committed && !self.membership().contains(self.id) {
            // Sends the commit index to the peers before stepping down.
            self.send_heartbeats();
            self.become_follower();
            self.leader = None;
        }
    }

    fn replicate_to(&mut self, peer: NodeId) {
        loop {
            let last_index = self.log.last_index();
            let Some(progress) = self.progress_on(peer) else {
                return;
            };
            if matches!(progress.state, ReplicationState::Snapshot(_)) {
                self.send_snapshot_chunk(peer);
                return;
            }
            let has_unsent_entries = progress.next_index <= last_index;
            if !has_unsent_entries || !progress.may_send_entries() {
                return;
            }
            self.send_entries(peer);
        }
    }

    fn send_heartbeat(&mut self, peer: NodeId) {
        let Some(progress) = self.progress_on(peer) else {
            return;
        };
        let previous_index = match progress.state {
            // All logs match at index 0, so this is a plain heartbeat.
            ReplicationState::Snapshot(_) => 0,
            ReplicationState::Probe { .. } | ReplicationState::Replicate { .. } => {
                progress.next_index - 1
            }
        };
        let previous_term = self.log.term_at(previous_index).unwrap_or(0);
        let in_log = previous_index == 0 || previous_index >= self.log.base_index();
        if in_log {
            let previous = LogPosition {
                term: previous_term,
                index: previous_index,
            };
            self.send_append(peer, previous, Vec::new());
        } else {
            self.start_snapshot(peer);
            self.send_append(peer, LogPosition::default(), Vec::new());
        }
    }

    fn send_entries(&mut self, peer: NodeId) {
        let Some(progress) = self.progress_on(peer) else {
            return;
        };
        let first = progress.next_index;
        let Some(previous_term) = self.log.term_at(first - 1) else {
            self.start_snapshot(peer);
            return;
        };
        let limit = self.settings.batch_limit_bytes();
        let entries = self.log.batch_from(first, limit);
        let last = first + entries.len() as u64 - 1;
        let previous = LogPosition {
            term: previous_term,
            index: first - 1,
        };
        self.send_append(peer, previous, entries);
        if let Some(progress) = self.progress_on(peer) {
            progress.record_sent(last);
        }
    }

    fn send_append(&mut self, peer: NodeId, previous: LogPosition, entries: Vec<LogEntry>) {
        let RoleState::Leader(leadership) = &self.role_state else {
            return;
        };
        let Some(progress) = leadership.peers.get(&peer) else {
            return;
        };
        let replica = progress.replica;
        let request = AppendRequest {
            previous_index: previous.index,
            previous_term: previous.term,
            entries: entries.iter().map(Into::into).collect(),
            commit_index: self.commit_index,
            round: leadership.round,
            sent_at_micros: self.now.as_micros(),
        };
        self.send(replica, ConsensusBody::AppendRequest(request));
    }

    /// Progress of the member on `node`, whatever its incarnation.
    pub(super) fn progress_on(&mut self, node: NodeId) -> Option<&mut Progress> {
        match &mut self.role_state {
            RoleState::Leader(leadership) => leadership.peers.get_mut(&node),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                None
            }
        }
    }
}
