//! Heartbeats of one daemon: numbering, times of sending, loads to report.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::dissemination::{BackendLoad, HeartbeatEntry, HeartbeatReplyEntry};

use crate::node::NodeIdentity;
use crate::time::Timestamp;

use super::link_output::AgentReport;
use super::link_settings::HEARTBEAT_COMBINE_INTERVAL;

/// Heartbeats whose answers are still awaited; older ones are forgotten, so
/// that a later answer to them grants nothing.
const MAX_UNANSWERED: usize = 32;

/// Every so many heartbeats all loads are sent, for the sake of a new leader.
const FULL_LOAD_PERIOD: u64 = 16;

/// A heartbeat that was sent.
#[derive(Clone, Debug)]
struct SentHeartbeat {
    at: Timestamp,
    loads: Vec<BackendLoad>,
}

/// Decides when a heartbeat is due and what is in it.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatSchedule {
    interval: Duration,
    sequence: u64,
    last_sent: Option<Timestamp>,
    due: Timestamp,
    registered: bool,
    leader_term: u64,
    report: AgentReport,
    confirmed_loads: BTreeMap<u64, BackendLoad>,
    unanswered: BTreeMap<u64, SentHeartbeat>,
}

impl HeartbeatSchedule {
    /// The first heartbeat is due at `due`.
    pub(super) fn new(due: Timestamp, interval: Duration) -> Self {
        HeartbeatSchedule {
            interval,
            sequence: 0,
            last_sent: None,
            due,
            registered: false,
            leader_term: 0,
            report: AgentReport::default(),
            confirmed_loads: BTreeMap::new(),
            unanswered: BTreeMap::new(),
        }
    }

    /// When the next heartbeat is due.
    pub(super) fn due(&self) -> Timestamp {
        self.due
    }

    /// Whether the daemon reported that this life admits nothing any more.
    pub(super) fn is_stopped(&self) -> bool {
        self.report.stopped
    }

    /// Brings the next heartbeat forward, but keeps a distance to the last.
    pub(super) fn hasten(&mut self, now: Timestamp) {
        let earliest = match self.last_sent {
            Some(last) => last + HEARTBEAT_COMBINE_INTERVAL,
            None => self.due,
        };
        self.due = self.due.min(earliest.max(now));
    }

    /// Takes the report for the next heartbeats. A life that has stopped
    /// stays stopped.
    pub(super) fn set_report(&mut self, now: Timestamp, report: AgentReport) {
        let was_stopped = self.report.stopped;
        let urgent = report.unsettled != self.report.unsettled
            || report.leaving != self.report.leaving
            || report.stopped != was_stopped;
        self.report = report;
        self.report.stopped |= was_stopped;
        if urgent {
            self.hasten(now);
        }
    }

    /// Starts the numbering of another life of the daemon.
    pub(super) fn begin_life(&mut self, now: Timestamp) {
        self.sequence = 0;
        self.registered = false;
        self.report.stopped = false;
        self.unanswered.clear();
        self.confirmed_loads.clear();
        self.hasten(now);
    }

    /// Makes the heartbeat that is sent now.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        identity: &NodeIdentity,
        version: u64,
    ) -> HeartbeatEntry {
        self.sequence += 1;
        self.last_sent = Some(now);
        self.due = now + self.interval;
        if self.sequence.is_multiple_of(FULL_LOAD_PERIOD) {
            self.confirmed_loads.clear();
        }
        let loads = self.changed_loads();
        self.remember(now, loads.clone());
        HeartbeatEntry {
            node: identity.node.0,
            incarnation: identity.incarnation.0,
            sequence: self.sequence,
            version,
            registration: (!self.registered).then(|| identity.member_record()),
            unsettled: self.report.unsettled.iter().map(|id| id.0).collect(),
            loads,
            stopped: self.report.stopped,
            leaving: self.report.leaving,
        }
    }

    /// Takes the answer to a heartbeat of this life. Returns when it was
    /// sent, or none if that is not known (any more).
    pub(super) fn handle_answer(
        &mut self,
        now: Timestamp,
        answer: &HeartbeatReplyEntry,
    ) -> Option<Timestamp> {
        let sent = self.unanswered.remove(&answer.sequence)?;
        let is_new_leader = answer.term > self.leader_term;
        if is_new_leader || self.registered != answer.registered {
            self.leader_term = self.leader_term.max(answer.term);
            self.registered = answer.registered;
            self.confirmed_loads.clear();
            self.hasten(now);
            // The answered heartbeat is the first to this leader; what it said
            // is confirmed below, and the rest is sent with the next.
        }
        for load in sent.loads {
            self.confirmed_loads.insert(load.backend, load);
        }
        Some(sent.at)
    }

    fn changed_loads(&self) -> Vec<BackendLoad> {
        let changed = |load: &&BackendLoad| self.confirmed_loads.get(&load.backend) != Some(*load);
        self.report.loads.iter().filter(changed).copied().collect()
    }

    fn remember(&mut self, now: Timestamp, loads: Vec<BackendLoad>) {
        let sent = SentHeartbeat { at: now, loads };
        self.unanswered.insert(self.sequence, sent);
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_first();
        }
    }
}
