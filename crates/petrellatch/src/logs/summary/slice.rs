//! The counts of one slice of time.

use std::collections::{BTreeMap, BTreeSet};

use petrellatch_core::EventKind;

use super::column::{Column, counts, number};
use crate::logs::LogLine;

/// Maximum number of names in each set of a slice; beyond it the size of the set is a
/// lower bound. 512 agents are more than half of the thousand of the largest deployment.
const MAX_NAMES: usize = 512;

/// Maximum number of reasons of lost elections per slice; there are three reasons.
const MAX_LOSS_REASONS: usize = 8;

/// The counts of a slice, with the data that distinguishes the causes.
#[derive(Clone, Debug, Default)]
pub(super) struct Slice {
    counts: [u64; Column::ALL.len()],
    /// Number of lines of any kind.
    pub(super) lines: u64,
    /// Suspected agents, as numbers of their addresses.
    pub(super) suspected: BTreeSet<u32>,
    /// Balancers that suspected agents or refused flows, as numbers of their names.
    pub(super) balancers: BTreeSet<u32>,
    /// Maximum number of agents without a reply in a search that was blocked only by
    /// absent agents.
    pub(super) missing: u64,
    /// Maximum number of agents whose back ends did not own the flow in such a search.
    pub(super) not_owned: u64,
    /// Maximum number of agents of a service that a balancer knew when it refused a flow.
    pub(super) agents: u64,
    /// Maximum number of these agents whose back ends were cold.
    pub(super) cold: u64,
    /// Balancers whose links became congested, as numbers of their names.
    pub(super) congested_links: BTreeSet<u32>,
    /// Lost elections by reason.
    pub(super) elections_lost: BTreeMap<String, u64>,
    /// Times of the first and the last lost election, in milliseconds since 1970.
    pub(super) election_loss_period: Option<(u64, u64)>,
    /// Maximum time, in milliseconds, that a congested link needed to send its queue.
    pub(super) link_wait: u64,
}

impl Slice {
    /// Counts a line. `node` and `agent` are the numbers of the names in the line.
    pub(super) fn add(&mut self, kind: EventKind, line: &LogLine, node: u32, agent: Option<u32>) {
        for (column, count) in counts(kind, line) {
            self.counts[column as usize] += count;
            match column {
                Column::BlockedByAbsent => {
                    self.missing = self.missing.max(number(line, "missing").unwrap_or(0));
                    self.not_owned = self.not_owned.max(number(line, "lacks").unwrap_or(0));
                }
                Column::ElectionLost => self.note_lost_election(line),
                Column::Suspected => insert(&mut self.suspected, agent),
                Column::LinkCongested => {
                    insert(&mut self.congested_links, Some(node));
                    self.link_wait = self.link_wait.max(number(line, "wait").unwrap_or(0));
                }
                _ => {}
            }
        }
        if matches!(kind, EventKind::FlowRefused | EventKind::AgentSuspected) {
            insert(&mut self.balancers, Some(node));
            self.agents = self.agents.max(number(line, "agents").unwrap_or(0));
            self.cold = self.cold.max(number(line, "cold").unwrap_or(0));
        }
    }

    /// Adds the counts of another slice.
    pub(super) fn merge(&mut self, other: &Slice) {
        for (own, more) in self.counts.iter_mut().zip(other.counts) {
            *own += more;
        }
        self.lines += other.lines;
        self.missing = self.missing.max(other.missing);
        self.not_owned = self.not_owned.max(other.not_owned);
        self.agents = self.agents.max(other.agents);
        self.cold = self.cold.max(other.cold);
        self.link_wait = self.link_wait.max(other.link_wait);
        for (reason, count) in &other.elections_lost {
            *self.elections_lost.entry(reason.clone()).or_default() += count;
        }
        self.extend_election_loss_period(other.election_loss_period);
        for name in &other.congested_links {
            insert(&mut self.congested_links, Some(*name));
        }
        for name in &other.suspected {
            insert(&mut self.suspected, Some(*name));
        }
        for name in &other.balancers {
            insert(&mut self.balancers, Some(*name));
        }
    }

    fn note_lost_election(&mut self, line: &LogLine) {
        let reason = line.value("reason").unwrap_or("-");
        if self.elections_lost.len() < MAX_LOSS_REASONS {
            *self.elections_lost.entry(reason.to_owned()).or_default() += 1;
        }
        self.extend_election_loss_period(line.millis().map(|at| (at, at)));
    }

    fn extend_election_loss_period(&mut self, more: Option<(u64, u64)>) {
        let both = self.election_loss_period.into_iter().chain(more);
        self.election_loss_period =
            both.reduce(|one, other| (one.0.min(other.0), one.1.max(other.1)));
    }

    pub(super) fn count(&self, column: Column) -> u64 {
        self.counts[column as usize]
    }

    /// Number of flows refused for any reason but a missing route.
    pub(super) fn refused(&self) -> u64 {
        let reasons = [
            Column::RefusedFull,
            Column::RefusedLate,
            Column::RefusedUnknown,
            Column::RefusedOther,
        ];
        reasons.iter().map(|column| self.count(*column)).sum()
    }
}

fn insert(names: &mut BTreeSet<u32>, name: Option<u32>) {
    if names.len() < MAX_NAMES {
        names.extend(name);
    }
}
