//! Elections: pre-vote, votes and the timers that start them.

use std::collections::BTreeSet;

use petrellatch_proto::consensus::{
    ConsensusBody, PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse,
};

use crate::identity::NodeId;

use super::entry::{EntryPayload, LogPosition, Term};
use super::leadership::Leadership;
use super::membership::ReplicaId;
use super::persistence::HardState;
use super::replica::{Part, Replica};

/// Between two requests of a candidate for the same vote, in election
/// timeouts.
const TIMEOUTS_BETWEEN_REQUESTS: f64 = 0.2;

impl Replica {
    /// Whether this replica is a voter, as far as it knows.
    pub(super) fn may_campaign(&self) -> bool {
        self.membership().is_voter(self.id)
    }

    pub(super) fn reset_election_timer(&mut self) {
        self.election_deadline = self.random_deadline();
    }

    pub(super) fn election_is_due(&self) -> bool {
        let leads = matches!(self.part, Part::Leader(_));
        !leads && self.may_campaign() && self.now >= self.election_deadline
    }

    /// Asks the voters whether they would elect this replica. The term stays,
    /// so that a replica that was cut off disturbs nobody when it returns.
    pub(super) fn start_pre_vote(&mut self) {
        let granted = BTreeSet::from([self.id.node]);
        self.part = Part::PreCandidate { granted };
        self.leader = None;
        self.reset_pre_vote_timer();
        let last = self.log.last_position();
        let request = PreVoteRequest {
            proposed_term: self.hard_state.term + 1,
            last_index: last.index,
            last_term: last.term,
        };
        for voter in self.other_voters() {
            self.send_durably(voter, ConsensusBody::PreVoteRequest(request.clone()));
        }
        self.evaluate_election();
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
        let granted = !self.hears_leader()
            && request.proposed_term > self.hard_state.term
            && last >= self.log.last_position();
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
        if !self.counts(sender) {
            return;
        }
        self.observe_term(term);
        let awaited = response.proposed_term == self.hard_state.term + 1;
        if let Part::PreCandidate { granted } = &mut self.part
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
        if self.hears_leader() && !request.transferred {
            return;
        }
        self.observe_term(term);
        let granted = term == self.hard_state.term && self.would_vote_for(sender, request);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(sender);
            self.writes.note_hard_state();
        }
        if granted {
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
        if !self.counts(sender) {
            return;
        }
        self.observe_term(term);
        if term != self.hard_state.term || !response.granted {
            return;
        }
        if let Part::Candidate { granted } = &mut self.part {
            granted.insert(sender.node);
            self.evaluate_election();
        }
    }

    /// Counts a candidate's vote for itself, which must be durable like any
    /// other.
    pub(super) fn count_own_vote(&mut self) {
        let vote_is_durable = self.writes.barrier(&self.log).is_none();
        let own = self.id.node;
        if let Part::Candidate { granted } = &mut self.part
            && vote_is_durable
        {
            granted.insert(own);
            self.evaluate_election();
        }
    }

    /// Whether the sender's votes and acknowledgements count at all: it must
    /// be a member with exactly this incarnation.
    pub(super) fn counts(&self, sender: ReplicaId) -> bool {
        if self.settings.mutations.ignore_incarnation {
            return self.membership().member(sender.node).is_some();
        }
        self.membership().contains(sender)
    }

    /// Whether a leader was heard from so recently that no other one may be
    /// elected with this replica's help.
    fn hears_leader(&self) -> bool {
        let leads = matches!(self.part, Part::Leader(_));
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

    /// Moves on if a quorum agreed.
    fn evaluate_election(&mut self) {
        match &self.part {
            Part::PreCandidate { granted } if self.is_quorum(granted) => self.start_election(false),
            Part::Candidate { granted } if self.is_quorum(granted) => self.become_leader(),
            _ => {}
        }
    }

    /// Whether these nodes contain a quorum of voters.
    pub(super) fn is_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let membership = self.membership();
        let voters = membership.voters();
        let count = voters.filter(|voter| nodes.contains(&voter.node)).count();
        count >= membership.quorum_size()
    }

    /// Asks for votes in the next term. `transferred` says that the leader of
    /// this term has stepped down in favour of this replica.
    pub(super) fn start_election(&mut self, transferred: bool) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.id),
        };
        self.writes.note_hard_state();
        self.part = Part::Candidate {
            granted: BTreeSet::new(),
        };
        self.reset_election_timer();
        self.ask_for_votes(transferred);
    }

    /// Asks the voters who have not voted for this candidate. A request may
    /// get lost, or come before its voter has started.
    fn ask_for_votes(&mut self, transferred: bool) {
        let Part::Candidate { granted } = &self.part else {
            return;
        };
        let is_missing = |voter: &ReplicaId| !granted.contains(&voter.node);
        let voters: Vec<ReplicaId> = self.other_voters().into_iter().filter(is_missing).collect();
        let interval = self
            .settings
            .election_timeout
            .mul_f64(TIMEOUTS_BETWEEN_REQUESTS);
        self.ask_again_at = self.now + interval;
        let last = self.log.last_position();
        let request = VoteRequest {
            last_index: last.index,
            last_term: last.term,
            transferred,
        };
        for voter in voters {
            self.send_durably(voter, ConsensusBody::VoteRequest(request.clone()));
        }
    }

    /// Repeats what a candidate asked for, if that is due.
    pub(super) fn repeat_vote_requests(&mut self) {
        let is_candidate = matches!(self.part, Part::Candidate { .. });
        if is_candidate && self.now >= self.ask_again_at {
            self.ask_for_votes(false);
        }
    }

    fn become_leader(&mut self) {
        let first_index = self.log.last_index() + 1;
        let mut leadership = Leadership::new(self.now, first_index);
        let membership = self.memberships.current();
        leadership.follow_membership(self.id, membership, self.log.last_index(), self.now);
        self.part = Part::Leader(leadership);
        self.leader = Some(self.id.node);
        self.append_entry(EntryPayload::NoOperation);
        self.send_heartbeats();
    }
}
