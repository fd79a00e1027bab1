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
use super::replica::{Part, Replica};

/// How much later than the one before it each further rank stands, in election
/// timeouts: a sync and the way of a vote request.
const TIMEOUTS_BETWEEN_RANKS: f64 = 0.1;
/// How long a pre-candidate counts after it was heard, in election timeouts;
/// longer than between two of its pre-votes.
const TIMEOUTS_OF_RIVAL: f64 = 0.5;
/// How long a voter leaves a candidate to itself after its vote, in election
/// timeouts.
const TIMEOUTS_OF_HOLD: f64 = 0.3;
/// In so many terms a voter votes by these rules. If they got no leader, syncs
/// or messages take too long for the short waits, and it goes on with the
/// ordinary ones.
const MAX_TERMS_AT_START: usize = 2;

/// What a voter knows before it has heard a leader.
#[derive(Debug, Default)]
pub(super) struct StartOfGroup {
    /// Voters that asked for pre-votes in this life.
    rivals: BTreeMap<NodeId, Rival>,
    /// Since when a quorum would vote for this replica.
    quorum_since: Option<Timestamp>,
    /// When it voted last.
    voted_at: Option<Timestamp>,
    /// Voters that denied this candidate their vote.
    denied: BTreeSet<NodeId>,
    /// Terms of this life in which it voted.
    terms: BTreeSet<Term>,
}

#[derive(Clone, Copy, Debug)]
struct Rival {
    position: LogPosition,
    term: Term,
    heard_at: Timestamp,
}

impl Replica {
    /// Whether voters may elect at once, and this life has neither heard a
    /// leader nor voted in vain too often.
    pub(super) fn is_starting(&self) -> bool {
        let may_elect = self.settings.elects_at_start && self.last_leader_contact.is_none();
        may_elect && self.start_of_group.terms.len() <= MAX_TERMS_AT_START
    }

    /// Notes a voter that asks for pre-votes. Returns whether it has to be asked
    /// as well: it is new, or may answer differently in its new term.
    pub(super) fn note_rival(
        &mut self,
        rival: ReplicaId,
        term: Term,
        position: LogPosition,
    ) -> bool {
        if !self.is_starting() || !self.membership().is_voter(rival) {
            return false;
        }
        if self.hard_state.voted_for == Some(rival) && term >= self.hard_state.term {
            // It has given up the term of that vote.
            self.start_of_group.voted_at = None;
        }
        let heard_at = self.now;
        let rival_now = Rival {
            position,
            term,
            heard_at,
        };
        let before = self.start_of_group.rivals.insert(rival.node, rival_now);
        before.is_none_or(|before| before.term != term || !self.is_present(&before))
    }

    /// Whether this replica leaves a candidate that it voted for to itself.
    pub(super) fn holds_back(&self) -> bool {
        let limit = self.settings.election_timeout.mul_f64(TIMEOUTS_OF_HOLD);
        let is_recent = |at| self.now.saturating_since(at) < limit;
        self.is_starting() && self.start_of_group.voted_at.is_some_and(is_recent)
    }

    /// Notes a vote in the current term, for itself or another.
    pub(super) fn note_own_vote(&mut self) {
        if !self.is_starting() {
            return;
        }
        self.start_of_group.voted_at = Some(self.now);
        self.start_of_group.terms.insert(self.hard_state.term);
    }

    /// Lets others be elected: the candidate of the last vote has given up.
    pub(super) fn forget_own_vote(&mut self) {
        self.start_of_group.voted_at = None;
    }

    /// Whether this pre-candidate must take over the term of a voter that it
    /// can't elect, because that voter denies any lower one.
    pub(super) fn needs_term_of(&self, rival: ReplicaId, position: LogPosition) -> bool {
        let is_pre_candidate = matches!(self.part, Part::PreCandidate { .. });
        let waits = is_pre_candidate && self.start_of_group.quorum_since.is_none();
        waits && self.is_starting() && self.counts(rival) && position < self.log.last_position()
    }

    /// Whether this pre-candidate has a quorum and only waits for its turn.
    pub(super) fn awaits_turn(&self) -> bool {
        let is_pre_candidate = matches!(self.part, Part::PreCandidate { .. });
        is_pre_candidate && self.start_of_group.quorum_since.is_some()
    }

    /// Forgets what belonged to a former candidacy.
    pub(super) fn reset_candidacy(&mut self) {
        self.start_of_group.quorum_since = None;
        self.start_of_group.denied.clear();
    }

    pub(super) fn note_pre_vote_quorum(&mut self) {
        let now = self.now;
        self.start_of_group.quorum_since.get_or_insert(now);
    }

    /// When this pre-candidate may ask for votes, if a quorum would vote for it.
    pub(super) fn candidacy_at(&self) -> Option<Timestamp> {
        let since = self.start_of_group.quorum_since?;
        if !self.is_starting() {
            return Some(since);
        }
        let wait = TIMEOUTS_BETWEEN_RANKS * self.rank() as f64;
        Some(since + self.settings.election_timeout.mul_f64(wait))
    }

    /// Pre-candidates that go first.
    fn rank(&self) -> usize {
        let own = (
            self.log.last_position(),
            self.hard_state.term,
            Reverse(self.id.node),
        );
        let key = |node: &NodeId, rival: &Rival| (rival.position, rival.term, Reverse(*node));
        let rivals = self.start_of_group.rivals.iter();
        let present = rivals.filter(|(_, rival)| self.is_present(rival));
        present
            .filter(|(node, rival)| key(node, rival) > own)
            .count()
    }

    /// Notes that a voter refused this candidate, which gives up at once if the
    /// voters that have started can't elect it any more.
    pub(super) fn note_denial(&mut self, voter: NodeId) {
        let Part::Candidate { granted } = &self.part else {
            return;
        };
        let mut present = granted.clone();
        present.insert(self.id.node);
        self.start_of_group.denied.insert(voter);
        let start = &self.start_of_group;
        let rivals = start.rivals.iter();
        let heard = rivals.filter(|(_, rival)| self.is_present(rival));
        present.extend(heard.map(|(node, _)| *node));
        let left = present.difference(&start.denied).copied().collect();
        if self.is_starting() && !self.is_quorum(&left) {
            self.lose_election(ElectionLoss::Denied);
            self.start_pre_vote();
        }
    }

    fn is_present(&self, rival: &Rival) -> bool {
        let limit = self.settings.election_timeout.mul_f64(TIMEOUTS_OF_RIVAL);
        self.now.saturating_since(rival.heard_at) < limit
    }
}
