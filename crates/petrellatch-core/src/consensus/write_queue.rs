//! Pending disk writes, and outputs that are deferred until they are durable.

use std::collections::VecDeque;
use std::sync::Arc;

use super::entry::LogIndex;
use super::log::Log;
use super::output::ReplicaOutput;
use super::persistence::{HardState, PersistRequest, PersistTicket, Snapshot};

/// Collects changes for the next write. Only one write is outstanding at a time;
/// changes made meanwhile go into the next one, so that a slow disk gets fewer,
/// larger writes.
#[derive(Debug)]
pub(super) struct WriteQueue {
    next_ticket: PersistTicket,
    outstanding: Option<OutstandingWrite>,
    hard_state_changed: bool,
    snapshot: Option<Arc<Snapshot>>,
    truncate_from: Option<LogIndex>,
    /// Index of the first entry that isn't part of a write yet.
    unwritten_from: LogIndex,
    /// Index of the last durable entry.
    durable_index: LogIndex,
    deferred: VecDeque<DeferredOutput>,
}

#[derive(Debug)]
struct OutstandingWrite {
    ticket: PersistTicket,
    last_index: LogIndex,
    has_hard_state: bool,
}

#[derive(Debug)]
struct DeferredOutput {
    release_after: PersistTicket,
    output: ReplicaOutput,
}

impl WriteQueue {
    /// Creates a queue for a log that is durable up to `last_index`.
    pub(super) fn new(last_index: LogIndex) -> Self {
        WriteQueue {
            next_ticket: PersistTicket(1),
            outstanding: None,
            hard_state_changed: false,
            snapshot: None,
            truncate_from: None,
            unwritten_from: last_index + 1,
            durable_index: last_index,
            deferred: VecDeque::new(),
        }
    }

    pub(super) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Whether the term and the vote are durable.
    pub(super) fn hard_state_is_durable(&self) -> bool {
        let outstanding = self.outstanding.as_ref();
        let in_write = outstanding.is_some_and(|write| write.has_hard_state);
        !self.hard_state_changed && !in_write
    }

    pub(super) fn note_hard_state(&mut self) {
        self.hard_state_changed = true;
    }

    pub(super) fn note_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
    }

    /// Notes that the log was truncated from `index` on.
    pub(super) fn note_truncation(&mut self, index: LogIndex) {
        let last_kept = index.saturating_sub(1);
        self.durable_index = self.durable_index.min(last_kept);
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.last_index = outstanding.last_index.min(last_kept);
        }
        if index < self.unwritten_from {
            self.unwritten_from = index;
            let earlier = self.truncate_from.unwrap_or(index);
            self.truncate_from = Some(earlier.min(index));
        }
    }

    /// Notes that the whole log was replaced by a snapshot up to `index`.
    pub(super) fn note_replaced_log(&mut self, index: LogIndex) {
        self.durable_index = 0;
        if let Some(outstanding) = &mut self.outstanding {
            outstanding.last_index = 0;
        }
        self.unwritten_from = index + 1;
        self.truncate_from = Some(index + 1);
    }

    /// The write after which all changes noted so far are durable. `None` if
    /// they are durable already.
    pub(super) fn barrier(&self, log: &Log) -> Option<PersistTicket> {
        if self.has_changes(log) {
            return Some(self.next_ticket);
        }
        self.outstanding.as_ref().map(|write| write.ticket)
    }

    pub(super) fn defer(&mut self, release_after: PersistTicket, output: ReplicaOutput) {
        self.deferred.push_back(DeferredOutput {
            release_after,
            output,
        });
    }

    /// Returns the next write, unless one is outstanding or nothing changed.
    pub(super) fn next_request(
        &mut self,
        hard_state: HardState,
        log: &Log,
    ) -> Option<PersistRequest> {
        if self.outstanding.is_some() || !self.has_changes(log) {
            return None;
        }
        let request = PersistRequest {
            ticket: self.next_ticket,
            hard_state: self.hard_state_changed.then_some(hard_state),
            truncate_from: self.truncate_from.take(),
            snapshot: self.snapshot.take(),
            entries: log.entries_from(self.unwritten_from),
        };
        self.outstanding = Some(OutstandingWrite {
            ticket: self.next_ticket,
            last_index: log.last_index(),
            has_hard_state: self.hard_state_changed,
        });
        self.next_ticket = PersistTicket(self.next_ticket.0 + 1);
        self.hard_state_changed = false;
        self.unwritten_from = log.last_index() + 1;
        Some(request)
    }

    /// Notes that all writes up to `ticket` are durable and returns the outputs
    /// deferred until then.
    pub(super) fn complete(&mut self, ticket: PersistTicket) -> Vec<ReplicaOutput> {
        let completed = self.outstanding.take_if(|write| write.ticket <= ticket);
        let Some(write) = completed else {
            return Vec::new();
        };
        self.durable_index = self.durable_index.max(write.last_index);
        let released = self
            .deferred
            .partition_point(|deferred| deferred.release_after <= write.ticket);
        let released = self.deferred.drain(..released);
        released.map(|deferred| deferred.output).collect()
    }

    fn has_changes(&self, log: &Log) -> bool {
        self.hard_state_changed
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || self.unwritten_from <= log.last_index()
    }
}
