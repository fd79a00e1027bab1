//! Elections: pre-vote, votes and the timers that start them.

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
        let waits = leads || self.awaits_turn();
        !waits && self.may_campaign() && self.now >= self.election_deadline
    }

    /// Asks the voters whether they would elect this replica. The term stays,
    /// so that a replica that was cut off disturbs nobody when it returns.
    pub(super) fn start_pre_vote(&mut self) {
        if matches!(self.part, Part::Candidate { .. }) {
            self.lose_election(ElectionLoss::NoAnswer);
        }
        self.reset_candidacy();
        let granted = BTreeSet::from([self.id.node]);
        self.part = Part::PreCandidate { granted };
        self.leader = None;
        self.reset_pre_vote_timer();
        for voter in self.other_voters() {
            self.ask_for_pre_vote(voter);
        }
        self.evaluate_election();
    }

    fn ask_for_pre_vote(&mut self, voter: ReplicaId) {
        let last = self.log.last_position();
        let request = PreVoteRequest {
            proposed_term: self.hard_state.term + 1,
            last_index: last.index,
            last_term: last.term,
        };
        self.send_durably(voter, ConsensusBody::PreVoteRequest(request));
    }

    /// Asks a voter that has just started for what this replica needs.
    fn ask_newcomer(&mut self, voter: ReplicaId, term: Term) {
        match self.part {
            Part::PreCandidate { .. } => self.ask_for_pre_vote(voter),
            // A voter of a higher term could only end this candidacy.
            Part::Candidate { .. } if term <= self.hard_state.term => {
                self.ask_for_vote(voter, false);
            }
            Part::Candidate { .. } => {}
            Part::Follower | Part::Leader(_) => {}
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
        let must_be_asked = self.note_rival(sender, sender_term, last);
        if self.needs_term_of(sender, last) {
            self.observe_term_at_start(sender_term);
        }
        if must_be_asked {
            self.ask_newcomer(sender, sender_term);
        }
        let held_back = self.holds_back();
        let granted = !self.hears_leader()
            && request.proposed_term > self.hard_state.term
            && last >= self.log.last_position()
            && !held_back;
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
        if self.holds_back() {
            // It answers what this replica asked before it voted.
            return;
        }
        self.observe_term_at_start(term);
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
            // A pre-candidate that waits for its turn waits no more.
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
        if !self.counts(sender) {
            return;
        }
        self.observe_term_at_start(term);
        if term != self.hard_state.term {
            return;
        }
        if !response.granted {
            self.note_denial(sender.node);
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
            Part::PreCandidate { granted } if self.is_quorum(granted) => {
                self.note_pre_vote_quorum();
                self.stand_if_due();
            }
            Part::Candidate { granted } if self.is_quorum(granted) => self.become_leader(),
            _ => {}
        }
    }

    /// Asks for votes if a quorum would grant them and nobody else goes first.
    pub(super) fn stand_if_due(&mut self) {
        let is_pre_candidate = matches!(self.part, Part::PreCandidate { .. });
        let is_due = self.candidacy_at().is_some_and(|at| self.now >= at);
        if is_pre_candidate && is_due {
            self.start_election(false);
        }
    }

    /// Enters a higher term that an answer told. Voters that start ask again at
    /// once: the answers to what they asked are void.
    fn observe_term_at_start(&mut self, term: Term) {
        let is_higher = term > self.hard_state.term;
        self.observe_term(term);
        if is_higher && self.is_starting() && self.may_campaign() {
            self.start_pre_vote();
        }
    }

    /// Ends a candidacy, if there is one. Another candidate may still win the
    /// term, so the loss is reported with the next one.
    pub(super) fn lose_election(&mut self, reason: ElectionLoss) {
        if matches!(self.part, Part::Candidate { .. }) {
            self.part = Part::Follower;
            self.forget_own_vote();
            self.lost_election = Some(reason);
        }
    }

    /// Reports a lost candidacy at the end of its term, unless a leader of that
    /// term was heard.
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

    /// Asks for votes in the next term. `transferred` says that the leader of
    /// this term has stepped down in favour of this replica.
    pub(super) fn start_election(&mut self, transferred: bool) {
        self.report_lost_election();
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.id),
        };
        self.writes.note_hard_state();
        self.part = Part::Candidate {
            granted: BTreeSet::new(),
        };
        self.reset_candidacy();
        self.note_own_vote();
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
        for voter in voters {
            self.ask_for_vote(voter, transferred);
        }
    }

    fn ask_for_vote(&mut self, voter: ReplicaId, transferred: bool) {
        let last = self.log.last_position();
        let request = VoteRequest {
            last_index: last.index,
            last_term: last.term,
            transferred,
        };
        self.send_durably(voter, ConsensusBody::VoteRequest(request));
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
