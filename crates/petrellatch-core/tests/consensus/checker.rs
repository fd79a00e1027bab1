//! Checks the guarantees of the log against the observed actions of all replicas.

use std::collections::BTreeMap;

use petrellatch_core::consensus::{LogIndex, ReplicaId, Term};
use petrellatch_core::identity::NodeId;

/// Index and value of an applied command.
pub type Applied = (LogIndex, u64);

/// A violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two replicas were leader in the same term.
    TwoLeaders(Term),
    /// Two replicas reported at the same time to be leader with a quorum.
    TwoQuorumLeaders,
    /// A replica voted for two candidates in the same term.
    DoubleVote(Term),
    /// Two replicas applied different commands at the same index.
    CommittedChanged(LogIndex),
    /// A replica skipped or repeated a committed command.
    OutOfOrder(NodeId, LogIndex),
    /// A read missed a command that was applied before the read was requested.
    StaleRead(u64),
}

/// Records the actions of all replicas and collects the violations.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), NodeId>,
    committed: BTreeMap<LogIndex, u64>,
    /// Last index that was committed when the read was requested, by token.
    min_read_indices: BTreeMap<u64, LogIndex>,
    pub reads_completed: u64,
    pub snapshots_restored: u64,
    pub violations: Vec<Violation>,
}

impl Checker {
    pub fn committed_count(&self) -> usize {
        self.committed.len()
    }

    pub fn is_committed(&self, value: u64) -> bool {
        self.committed.values().any(|committed| *committed == value)
    }

    pub fn leader_elected(&mut self, term: Term, replica: ReplicaId) {
        if *self.leaders.entry(term).or_insert(replica) != replica {
            self.violations.push(Violation::TwoLeaders(term));
        }
    }

    pub fn vote_granted(&mut self, voter: ReplicaId, term: Term, candidate: NodeId) {
        let vote = self.votes.entry((voter, term)).or_insert(candidate);
        if *vote != candidate {
            self.violations.push(Violation::DoubleVote(term));
        }
    }

    pub fn quorum_leaders(&mut self, count: usize) {
        if count > 1 {
            self.violations.push(Violation::TwoQuorumLeaders);
        }
    }

    pub fn applied(&mut self, node: NodeId, state: &[Applied]) {
        let Some(&(index, value)) = state.last() else {
            return;
        };
        if *self.committed.entry(index).or_insert(value) != value {
            self.violations.push(Violation::CommittedChanged(index));
        }
        let before = self.committed.range(..index).next_back();
        let own_before = state.iter().rev().nth(1).map(|applied| applied.0);
        if before.map(|(index, _)| *index) != own_before {
            self.violations.push(Violation::OutOfOrder(node, index));
        }
    }

    pub fn restored(&mut self, node: NodeId, index: LogIndex, state: &[Applied]) {
        self.snapshots_restored += 1;
        let expected = self.committed.range(..=index);
        let expected: Vec<Applied> = expected.map(|(index, value)| (*index, *value)).collect();
        if expected != state {
            self.violations.push(Violation::OutOfOrder(node, index));
        }
    }

    pub fn read_requested(&mut self, token: u64) {
        let newest = self.committed.last_key_value();
        let min_index = newest.map_or(0, |(index, _)| *index);
        self.min_read_indices.insert(token, min_index);
    }

    pub fn read_completed(&mut self, token: u64, state: &[Applied]) {
        self.reads_completed += 1;
        let seen = state.last().map_or(0, |applied| applied.0);
        if seen < self.min_read_indices[&token] {
            self.violations.push(Violation::StaleRead(token));
        }
    }
}
