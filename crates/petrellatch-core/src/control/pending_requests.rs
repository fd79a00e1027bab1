//! Operator requests that wait for their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::consensus::LogPosition;
use crate::time::Timestamp;

use super::operator::OperatorRequest;

/// A read that waits until leadership is confirmed.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    pub(super) request: OperatorRequest,
}

#[derive(Clone, Debug)]
struct Timed<T> {
    content: T,
    deadline: Timestamp,
}

/// Requests in progress, of a bounded number.
#[derive(Clone, Debug)]
pub(super) struct PendingRequests {
    limit: usize,
    timeout: Duration,
    changes: BTreeMap<LogPosition, Timed<u64>>,
    reads: BTreeMap<u64, Timed<PendingRead>>,
    last_read: u64,
}

impl PendingRequests {
    pub(super) fn new(limit: usize, timeout: Duration) -> Self {
        PendingRequests {
            limit,
            timeout,
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_read: 0,
        }
    }

    /// Whether no further request may be taken, with so many others that wait
    /// for checks.
    pub(super) fn is_full(&self, in_check: usize) -> bool {
        self.changes.len() + self.reads.len() + in_check >= self.limit
    }

    /// Remembers which request a proposal belongs to.
    pub(super) fn insert_change(&mut self, now: Timestamp, position: LogPosition, token: u64) {
        let timed = self.timed(now, token);
        self.changes.insert(position, timed);
    }

    /// Takes the token of the request of a proposal.
    pub(super) fn take_change(&mut self, position: LogPosition) -> Option<u64> {
        Some(self.changes.remove(&position)?.content)
    }

    /// The number that the next read will have.
    pub(super) fn next_read(&self) -> u64 {
        self.last_read + 1
    }

    /// Remembers a read under [`PendingRequests::next_read`].
    pub(super) fn insert_read(&mut self, now: Timestamp, read: PendingRead) {
        self.last_read += 1;
        let timed = self.timed(now, read);
        self.reads.insert(self.last_read, timed);
    }

    /// Takes a read.
    pub(super) fn take_read(&mut self, number: u64) -> Option<PendingRead> {
        Some(self.reads.remove(&number)?.content)
    }

    /// Takes the tokens of all requests whose time is over.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        self.take_where(|deadline| deadline <= now)
    }

    /// Takes the tokens of all requests.
    pub(super) fn take_all(&mut self) -> Vec<u64> {
        self.take_where(|_| true)
    }

    /// When the first request's time is over.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let changes = self.changes.values().map(|timed| timed.deadline);
        let reads = self.reads.values().map(|timed| timed.deadline);
        changes.chain(reads).min()
    }

    fn timed<T>(&self, now: Timestamp, content: T) -> Timed<T> {
        Timed {
            content,
            deadline: now + self.timeout,
        }
    }

    fn take_where(&mut self, is_over: impl Fn(Timestamp) -> bool) -> Vec<u64> {
        let mut tokens = Vec::new();
        self.changes.retain(|_, timed| {
            let over = is_over(timed.deadline);
            tokens.extend(over.then_some(timed.content));
            !over
        });
        self.reads.retain(|_, timed| {
            let over = is_over(timed.deadline);
            tokens.extend(over.then_some(timed.content.token));
            !over
        });
        tokens
    }
}
