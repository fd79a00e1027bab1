//! Fast elections among voters that start together, for example after a power
//! loss.
//!
//! A voter that has received nothing from a leader since its start sends
//! pre-vote requests as soon as it starts. The request also shows the other
//! voters that it is running: each of them sends it a request in return, so the
//! voter that completes a quorum triggers the election when it starts. Several
//! voters may then have a quorum of pre-votes at the same time, so they become
//! candidates in the order of their rank: the most up-to-date log first, then
//! the highest term, then the lowest node id. A voter leaves these rules once it
//! has voted in several terms without getting a leader.
//!
//! Safety doesn't depend on these rules: it rests on terms, logs and durable
//! votes alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{LogPosition, Term};
use super::membership::ReplicaId;
use super::output::ElectionLoss;
use super::replica::{Replica, RoleState};

/// Delay between the candidacies of consecutive ranks, in election timeouts:
/// enough for a disk sync and the delivery of a vote request.
const RANK_DELAY_IN_TIMEOUTS: f64 = 0.1;
/// How long a voter counts as running after its last pre-vote request, in
/// election timeouts. Longer than the interval between its pre-votes.
const PRE_CANDIDATE_TTL_IN_TIMEOUTS: f64 = 0.5;
/// How long after its vote a voter denies pre-votes and ignores responses to
/// its own, so that the candidate can win, in election timeouts.
const CANDIDATE_GRACE_IN_TIMEOUTS: f64 = 0.3;
/// A voter leaves the startup rules once it has voted in more terms than this.
/// If these terms got no leader, disk syncs or messages take too long for the
/// short delays, and the ordinary ones apply.
const MAX_STARTUP_TERMS: usize = 2;

/// State of a voter that has not received a message from a leader yet.
#[derive(Debug, Default)]
pub(super) struct StartupElection {
    /// Voters that sent pre-vote requests since this process started.
    competitors: BTreeMap<NodeId, CompetingPreCandidate>,
    /// When a quorum of pre-votes was reached.
    pre_vote_quorum_since: Option<Timestamp>,
    /// Time of the last vote, until its candidate is known to have ended
    /// its candidacy.
    last_vote_at: Option<Timestamp>,
    /// Voters that denied this candidate their votes.
    denied: BTreeSet<NodeId>,
    /// Terms in which this replica voted since the process started.
    voted_terms: BTreeSet<Term>,
}

#[derive(Clone, Copy, Debug)]
struct CompetingPreCandidate {
    position: LogPosition,
    term: Term,
    last_seen: Timestamp,
}

impl Replica {
    /// Whether the startup rules apply: the settings permit them, no leader was
    /// seen since the process started, and not too many terms failed.
    pub(super) fn in_startup_election(&self) -> bool {
        let may_elect = self.settings.elects_at_start && self.last_leader_contact.is_none();
        may_elect && self.startup_election.voted_terms.len() <= MAX_STARTUP_TERMS
    }

    /// Notes a voter that requested a pre-vote. Returns whether it must be sent
    /// a request as well: it has just started, or may decide differently in its
    /// new term.
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
            // The candidate that got this vote has ended its candidacy.
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
        previous.is_none_or(|previous| previous.term != term || !self.is_running(&previous))
    }

    /// Whether this replica voted so recently that it must not support or
    /// start another candidacy.
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

    /// Lets this replica grant pre-votes again, because the candidate of its
    /// last vote has ended its candidacy.
    pub(super) fn stop_deferring_to_candidate(&mut self) {
        self.startup_election.last_vote_at = None;
    }

    /// Whether this pre-candidate must adopt the term of a voter whose log is
    /// less up to date. Such a voter can't get this replica's vote, and denies
    /// requests for terms lower than its own.
    pub(super) fn must_adopt_term_of(&self, competitor: ReplicaId, position: LogPosition) -> bool {
        let is_pre_candidate = matches!(self.role_state, RoleState::PreCandidate { .. });
        let lacks_quorum =
            is_pre_candidate && self.startup_election.pre_vote_quorum_since.is_none();
        lacks_quorum
            && self.in_startup_election()
            && self.is_current_member(competitor)
            && position < self.log.last_position()
    }

    /// Whether this pre-candidate has a quorum of pre-votes and only waits for
    /// the delay of its rank.
    pub(super) fn waits_for_rank_delay(&self) -> bool {
        let is_pre_candidate = matches!(self.role_state, RoleState::PreCandidate { .. });
        is_pre_candidate && self.startup_election.pre_vote_quorum_since.is_some()
    }

    /// Clears the state of a previous candidacy.
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

    /// When this pre-candidate becomes a candidate. `None` without a quorum of
    /// pre-votes.
    pub(super) fn candidacy_due_at(&self) -> Option<Timestamp> {
        let since = self.startup_election.pre_vote_quorum_since?;
        if !self.in_startup_election() {
            return Some(since);
        }
        let wait = RANK_DELAY_IN_TIMEOUTS * self.rank() as f64;
        Some(since + self.settings.election_timeout.mul_f64(wait))
    }

    /// Number of running voters that become candidates before this one.
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
        let running = competitors.filter(|(_, competitor)| self.is_running(competitor));
        running
            .filter(|(node, competitor)| key(node, competitor) > own)
            .count()
    }

    /// Notes that a voter denied its vote. The candidate ends its candidacy
    /// at once if the running voters can no longer elect it.
    pub(super) fn note_denial(&mut self, voter: NodeId) {
        let RoleState::Candidate { granted } = &self.role_state else {
            return;
        };
        let mut possible_voters = granted.clone();
        possible_voters.insert(self.id.node);
        self.startup_election.denied.insert(voter);
        let election = &self.startup_election;
        let competitors = election.competitors.iter();
        let running = competitors.filter(|(_, competitor)| self.is_running(competitor));
        possible_voters.extend(running.map(|(node, _)| *node));
        let remaining = possible_voters
            .difference(&election.denied)
            .copied()
            .collect();
        if self.in_startup_election() && !self.is_quorum(&remaining) {
            self.end_candidacy(ElectionLoss::Denied);
            self.start_pre_vote();
        }
    }

    fn is_running(&self, competitor: &CompetingPreCandidate) -> bool {
        let limit = self
            .settings
            .election_timeout
            .mul_f64(PRE_CANDIDATE_TTL_IN_TIMEOUTS);
        self.now.saturating_since(competitor.last_seen) < limit
    }
}
