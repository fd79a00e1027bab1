//! Elections: pre-votes, votes and the timers that start them.

use std::collections::BTreeSet;

use petrellatch_proto::consensus::{
    ConsensusBody, PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse,
};

use crate::identity::NodeId;

use super::entry::{EntryPayload, LogPosition, Term};
use super::leadership::Leadership;
use super::membership::ReplicaId;
use super::output::{ElectionLoss, ReplicaOutput};
use super::persistence::HardState;
use super::replica::{Replica, RoleState};

/// Interval between a candidate's requests for the same vote, in election
/// timeouts.
const VOTE_RETRY_INTERVAL_IN_TIMEOUTS: f64 = 0.2;

impl Replica {
    /// Whether this replica is a voter of the membership in its own log.
    pub(super) fn may_campaign(&self) -> bool {
        self.membership().is_voter(self.id)
    }

    pub(super) fn reset_election_timer(&mut self) {
        self.election_deadline = self.random_deadline();
    }

    pub(super) fn election_is_due(&self) -> bool {
        let leads = matches!(self.role_state, RoleState::Leader(_));
        let is_blocked = leads || self.waits_for_rank_delay();
        !is_blocked && self.may_campaign() && self.now >= self.election_deadline
    }

    /// Asks the voters whether they would vote for this replica. The term isn't
    /// incremented, so that a replica that returns from a network partition
    /// doesn't depose the leader.
    pub(super) fn start_pre_vote(&mut self) {
        if matches!(self.role_state, RoleState::Candidate { .. }) {
            self.end_candidacy(ElectionLoss::NoAnswer);
        }
        self.reset_candidacy();
        let granted = BTreeSet::from([self.id.node]);
        self.role_state = RoleState::PreCandidate { granted };
        self.leader = None;
        self.reset_pre_vote_timer();
        for voter in self.other_voters() {
            self.request_pre_vote(voter);
        }
        self.evaluate_election();
    }

    fn request_pre_vote(&mut self, voter: ReplicaId) {
        let last = self.log.last_position();
        let request = PreVoteRequest {
            proposed_term: self.hard_state.term + 1,
            last_index: last.index,
            last_term: last.term,
        };
        self.send_durably(voter, ConsensusBody::PreVoteRequest(request));
    }

    /// Sends a voter that has just started the request that fits this
    /// replica's role.
    fn request_from_started_voter(&mut self, voter: ReplicaId, term: Term) {
        match self.role_state {
            RoleState::PreCandidate { .. } => self.request_pre_vote(voter),
            // The response of a voter in a higher term would end this candidacy.
            RoleState::Candidate { .. } if term <= self.hard_state.term => {
                self.request_vote(voter, false);
            }
            RoleState::Candidate { .. } => {}
            RoleState::Follower | RoleState::Leader(_) => {}
        }
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        sender: ReplicaId,
        sender_term: Term,
        request: &PreVoteRequest,
    ) {
        let last = LogPosition {
            term: request.last_term,
            index: request.last_index,
        };
        let needs_request = self.note_pre_candidate(sender, sender_term, last);
        if self.must_adopt_term_of(sender, last) {
            self.observe_term_and_retry_pre_vote(sender_term);
        }
        if needs_request {
            self.request_from_started_voter(sender, sender_term);
        }
        let defers = self.defers_to_candidate();
        let granted = !self.has_recent_leader_contact()
            && request.proposed_term > self.hard_state.term
            && last >= self.log.last_position()
            && !defers;
        if !granted && sender_term > self.hard_state.term {
            return;
        }
        let response = PreVoteResponse {
            proposed_term: request.proposed_term,
            granted,
        };
        self.send_durably(sender, ConsensusBody::PreVoteResponse(response));
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        sender: ReplicaId,
        term: Term,
        response: &PreVoteResponse,
    ) {
        if !self.is_current_member(sender) {
            return;
        }
        if self.defers_to_candidate() {
            // The response is to a request sent before this replica's last vote.
            return;
        }
        self.observe_term_and_retry_pre_vote(term);
        let awaited = response.proposed_term == self.hard_state.term + 1;
        if let RoleState::PreCandidate { granted } = &mut self.role_state
            && awaited
            && response.granted
        {
            granted.insert(sender.node);
            self.evaluate_election();
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        sender: ReplicaId,
        term: Term,
        request: &VoteRequest,
    ) {
        if self.has_recent_leader_contact() && !request.transferred {
            return;
        }
        self.observe_term(term);
        let granted = term == self.hard_state.term && self.would_vote_for(sender, request);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(sender);
            self.writes.note_hard_state();
        }
        if granted {
            // A pre-candidate that waits for its rank delay drops its candidacy.
            self.reset_candidacy();
            self.note_own_vote();
            self.reset_election_timer();
        }
        let response = VoteResponse { granted };
        self.send_durably(sender, ConsensusBody::VoteResponse(response));
    }

    pub(super) fn handle_vote_response(
        &mut self,
        sender: ReplicaId,
        term: Term,
        response: &VoteResponse,
    ) {
        if !self.is_current_member(sender) {
            return;
        }
        self.observe_term_and_retry_pre_vote(term);
        if term != self.hard_state.term {
            return;
        }
        if !response.granted {
            self.note_denial(sender.node);
            return;
        }
        if let RoleState::Candidate { granted } = &mut self.role_state {
            granted.insert(sender.node);
            self.evaluate_election();
        }
    }

    /// Counts a candidate's vote for itself once it is durable, as required of
    /// any vote.
    pub(super) fn count_own_vote(&mut self) {
        let vote_is_durable = self.writes.barrier(&self.log).is_none();
        let own = self.id.node;
        if let RoleState::Candidate { granted } = &mut self.role_state
            && vote_is_durable
        {
            granted.insert(own);
            self.evaluate_election();
        }
    }

    /// Whether the sender is a member with exactly this incarnation. Votes and
    /// acknowledgements of any other replica are ignored.
    pub(super) fn is_current_member(&self, sender: ReplicaId) -> bool {
        if self.settings.mutations.ignore_incarnation {
            return self.membership().member(sender.node).is_some();
        }
        self.membership().contains(sender)
    }

    /// Whether a message from a leader arrived within the election timeout, so
    /// that this replica must not vote for another one.
    fn has_recent_leader_contact(&self) -> bool {
        let leads = matches!(self.role_state, RoleState::Leader(_));
        let is_recent = |at| self.now.saturating_since(at) < self.settings.election_timeout;
        leads || self.last_leader_contact.is_some_and(is_recent)
    }

    fn would_vote_for(&self, candidate: ReplicaId, request: &VoteRequest) -> bool {
        let last = LogPosition {
            term: request.last_term,
            index: request.last_index,
        };
        let vote = self.hard_state.voted_for;
        vote.is_none_or(|voted| voted == candidate) && last >= self.log.last_position()
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let others = |replica: &ReplicaId| *replica != self.id;
        self.membership().voters().filter(others).collect()
    }

    /// Advances to candidate or leader if a quorum has granted its votes.
    fn evaluate_election(&mut self) {
        match &self.role_state {
            RoleState::PreCandidate { granted } if self.is_quorum(granted) => {
                self.note_pre_vote_quorum();
                self.start_election_if_due();
            }
            RoleState::Candidate { granted } if self.is_quorum(granted) => self.become_leader(),
            _ => {}
        }
    }

    /// Starts an election if a quorum has granted pre-votes and the delay of
    /// this replica's rank has passed.
    pub(super) fn start_election_if_due(&mut self) {
        let is_pre_candidate = matches!(self.role_state, RoleState::PreCandidate { .. });
        let is_due = self.candidacy_due_at().is_some_and(|at| self.now >= at);
        if is_pre_candidate && is_due {
            self.start_election(false);
        }
    }

    /// Enters a higher term seen in a message. In a startup election the
    /// pre-vote is then repeated at once, because responses to requests of the
    /// lower term no longer count.
    fn observe_term_and_retry_pre_vote(&mut self, term: Term) {
        let is_higher = term > self.hard_state.term;
        self.observe_term(term);
        if is_higher && self.in_startup_election() && self.may_campaign() {
            self.start_pre_vote();
        }
    }

    /// Ends a candidacy, if there is one. Another candidate may still win the
    /// term, so the loss is reported only when the next term begins.
    pub(super) fn end_candidacy(&mut self, reason: ElectionLoss) {
        if matches!(self.role_state, RoleState::Candidate { .. }) {
            self.role_state = RoleState::Follower;
            self.stop_deferring_to_candidate();
            self.lost_election = Some(reason);
        }
    }

    /// Reports a lost candidacy at the end of its term, unless that term got a
    /// leader.
    pub(super) fn report_lost_election(&mut self) {
        if let Some(reason) = self.lost_election.take() {
            let term = self.hard_state.term;
            self.emit(ReplicaOutput::ElectionLost { term, reason });
        }
    }

    /// Whether these nodes contain a quorum of voters.
    pub(super) fn is_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let membership = self.membership();
        let voters = membership.voters();
        let count = voters.filter(|voter| nodes.contains(&voter.node)).count();
        count >= membership.quorum_size()
    }

    /// Starts an election in the next term. `transferred` means that the leader
    /// of the current term has stepped down in favour of this replica.
    pub(super) fn start_election(&mut self, transferred: bool) {
        self.report_lost_election();
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.id),
        };
        self.writes.note_hard_state();
        self.role_state = RoleState::Candidate {
            granted: BTreeSet::new(),
        };
        self.reset_candidacy();
        self.note_own_vote();
        self.reset_election_timer();
        self.request_votes(transferred);
    }

    /// Requests the votes that this candidate is missing. Earlier requests may
    /// have been lost, or have arrived before the voter had started.
    fn request_votes(&mut self, transferred: bool) {
        let RoleState::Candidate { granted } = &self.role_state else {
            return;
        };
        let is_missing = |voter: &ReplicaId| !granted.contains(&voter.node);
        let voters: Vec<ReplicaId> = self.other_voters().into_iter().filter(is_missing).collect();
        let interval = self
            .settings
            .election_timeout
            .mul_f64(VOTE_RETRY_INTERVAL_IN_TIMEOUTS);
        self.vote_retry_at = self.now + interval;
        for voter in voters {
            self.request_vote(voter, transferred);
        }
    }

    fn request_vote(&mut self, voter: ReplicaId, transferred: bool) {
        let last = self.log.last_position();
        let request = VoteRequest {
            last_index: last.index,
            last_term: last.term,
            transferred,
        };
        self.send_durably(voter, ConsensusBody::VoteRequest(request));
    }

    /// Repeats a candidate's vote requests when they are due.
    pub(super) fn repeat_vote_requests(&mut self) {
        let is_candidate = matches!(self.role_state, RoleState::Candidate { .. });
        if is_candidate && self.now >= self.vote_retry_at {
            self.request_votes(false);
        }
    }

    fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let mut leadership = Leadership::new(self.now, first_index);
        let membership = self.memberships.current();
        leadership.apply_membership(self.id, membership, self.log.last_index(), self.now);
        self.role_state = RoleState::Leader(leadership);
        self.leader = Some(self.id.node);
        self.append_entry(EntryPayload::NoOperation);
        self.send_heartbeats();
    }
}
