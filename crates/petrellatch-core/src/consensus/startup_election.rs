//! Elections of voters that start together, for example after a loss of power.
//!
//! A voter that has heard no leader in this life asks for pre-votes as soon as
//! it starts. That tells the others that it is there: each of them asks it in
//! turn, so the last voter of a quorum sets the election off. All of them may
//! then have a quorum of pre-votes at once, so they stand in the order of their
//! rank: the longest log first, then the highest term, then the lowest node. The
//! start is over once a voter has voted in vain in some terms.
//! Nothing of this is needed for safety, which rests on terms, logs and durable
//! votes alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{LogPosition, Term};
use super::membership::ReplicaId;
use super::output::ElectionLoss;
use super::replica::{Replica, RoleState};

/// How much later than the one before it each further rank stands, in election
/// timeouts: a sync and the way of a vote request.
const RANK_DELAY_IN_TIMEOUTS: f64 = 0.1;
/// How long a pre-candidate counts after it was heard, in election timeouts;
/// longer than between two of its pre-votes.
const PRE_CANDIDATE_TTL_IN_TIMEOUTS: f64 = 0.5;
/// How long a voter leaves a candidate to itself after its vote, in election
/// timeouts.
const CANDIDATE_GRACE_IN_TIMEOUTS: f64 = 0.3;
/// In so many terms a voter votes by these rules. If they got no leader, syncs
/// or messages take too long for the short waits, and it goes on with the
/// ordinary ones.
const MAX_STARTUP_TERMS: usize = 2;

/// What a voter knows before it has heard a leader.
#[derive(Debug, Default)]
pub(super) struct StartupElection {
    /// Voters that asked for pre-votes in this life.
    competitors: BTreeMap<NodeId, CompetingPreCandidate>,
    /// Since when a quorum would vote for this replica.
    pre_vote_quorum_since: Option<Timestamp>,
    /// When it voted last.
    last_vote_at: Option<Timestamp>,
    /// Voters that denied this candidate their vote.
    denied: BTreeSet<NodeId>,
    /// Terms of this life in which it voted.
    voted_terms: BTreeSet<Term>,
}

#[derive(Clone, Copy, Debug)]
struct CompetingPreCandidate {
    position: LogPosition,
    term: Term,
    last_seen: Timestamp,
}

impl Replica {
    /// Whether voters may elect at once, and this life has neither heard a
    /// leader nor voted in vain too often.
    pub(super) fn in_startup_election(&self) -> bool {
        let may_elect = self.settings.elects_at_start && self.last_leader_contact.is_none();
        may_elect && self.startup_election.voted_terms.len() <= MAX_STARTUP_TERMS
    }

    /// Notes a voter that asks for pre-votes. Returns whether it has to be asked
    /// as well: it is new, or may answer differently in its new term.
    pub(super) fn note_pre_candidate(
        &mut self,
        competitor: ReplicaId,
        term: Term,
        position: LogPosition,
    ) -> bool {
        if !self.in_startup_election() || !self.membership().is_voter(competitor) {
            return false;
        }
        if self.hard_state.voted_for == Some(competitor) && term >= self.hard_state.term {
            // It has given up the term of that vote.
            self.startup_election.last_vote_at = None;
        }
        let last_seen = self.now;
        let current = CompetingPreCandidate {
            position,
            term,
            last_seen,
        };
        let previous = self
            .startup_election
            .competitors
            .insert(competitor.node, current);
        previous.is_none_or(|previous| previous.term != term || !self.is_alive(&previous))
    }

    /// Whether this replica leaves a candidate that it voted for to itself.
    pub(super) fn defers_to_candidate(&self) -> bool {
        let limit = self
            .settings
            .election_timeout
            .mul_f64(CANDIDATE_GRACE_IN_TIMEOUTS);
        let is_recent = |at| self.now.saturating_since(at) < limit;
        self.in_startup_election() && self.startup_election.last_vote_at.is_some_and(is_recent)
    }

    /// Notes a vote in the current term, for itself or another.
    pub(super) fn note_own_vote(&mut self) {
        if !self.in_startup_election() {
            return;
        }
        self.startup_election.last_vote_at = Some(self.now);
        self.startup_election
            .voted_terms
            .insert(self.hard_state.term);
    }

    /// Lets others be elected: the candidate of the last vote has given up.
    pub(super) fn stop_deferring_to_candidate(&mut self) {
        self.startup_election.last_vote_at = None;
    }

    /// Whether this pre-candidate must take over the term of a voter that it
    /// can't elect, because that voter denies any lower one.
    pub(super) fn must_adopt_term_of(&self, competitor: ReplicaId, position: LogPosition) -> bool {
        let is_pre_candidate = matches!(self.role_state, RoleState::PreCandidate { .. });
        let waits = is_pre_candidate && self.startup_election.pre_vote_quorum_since.is_none();
        waits
            && self.in_startup_election()
            && self.is_current_member(competitor)
            && position < self.log.last_position()
    }

    /// Whether this pre-candidate has a quorum and only waits for its turn.
    pub(super) fn waits_for_rank_delay(&self) -> bool {
        let is_pre_candidate = matches!(self.role_state, RoleState::PreCandidate { .. });
        is_pre_candidate && self.startup_election.pre_vote_quorum_since.is_some()
    }

    /// Forgets what belonged to a former candidacy.
    pub(super) fn reset_candidacy(&mut self) {
        self.startup_election.pre_vote_quorum_since = None;
        self.startup_election.denied.clear();
    }

    pub(super) fn note_pre_vote_quorum(&mut self) {
        let now = self.now;
        self.startup_election
            .pre_vote_quorum_since
            .get_or_insert(now);
    }

    /// When this pre-candidate may ask for votes, if a quorum would vote for it.
    pub(super) fn candidacy_due_at(&self) -> Option<Timestamp> {
        let since = self.startup_election.pre_vote_quorum_since?;
        if !self.in_startup_election() {
            return Some(since);
        }
        let wait = RANK_DELAY_IN_TIMEOUTS * self.rank() as f64;
        Some(since + self.settings.election_timeout.mul_f64(wait))
    }

    /// Pre-candidates that go first.
    fn rank(&self) -> usize {
        let own = (
            self.log.last_position(),
            self.hard_state.term,
            Reverse(self.id.node),
        );
        let key = |node: &NodeId, competitor: &CompetingPreCandidate| {
            (competitor.position, competitor.term, Reverse(*node))
        };
        let competitors = self.startup_election.competitors.iter();
        let live = competitors.filter(|(_, competitor)| self.is_alive(competitor));
        live.filter(|(node, competitor)| key(node, competitor) > own)
            .count()
    }

    /// Notes that a voter refused this candidate, which gives up at once if the
    /// voters that have started can't elect it any more.
    pub(super) fn note_denial(&mut self, voter: NodeId) {
        let RoleState::Candidate { granted } = &self.role_state else {
            return;
        };
        let mut possible_voters = granted.clone();
        possible_voters.insert(self.id.node);
        self.startup_election.denied.insert(voter);
        let start = &self.startup_election;
        let competitors = start.competitors.iter();
        let other = competitors.filter(|(_, competitor)| self.is_alive(competitor));
        possible_voters.extend(other.map(|(node, _)| *node));
        let remaining = possible_voters.difference(&start.denied).copied().collect();
        if self.in_startup_election() && !self.is_quorum(&remaining) {
            self.end_candidacy(ElectionLoss::Denied);
            self.start_pre_vote();
        }
    }

    fn is_alive(&self, competitor: &CompetingPreCandidate) -> bool {
        let limit = self
            .settings
            .election_timeout
            .mul_f64(PRE_CANDIDATE_TTL_IN_TIMEOUTS);
        self.now.saturating_since(competitor.last_seen) < limit
    }
}
