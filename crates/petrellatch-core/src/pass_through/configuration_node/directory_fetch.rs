//! A starting replica fetches the directory of agents from another one, because agents of a
//! large fleet report rarely.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// Interval between requests to different replicas.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of requests after the first one. If no replica has sent a complete
/// directory by then, the whole group is starting, and agents report by themselves.
const MAX_ATTEMPTS: usize = 8;

/// Selects the replica to ask next, until one has sent a complete directory.
#[derive(Debug)]
pub(super) struct DirectoryFetch {
    due_at: Timestamp,
    attempts: usize,
    source: Option<SocketAddrV4>,
    is_done: bool,
}

impl DirectoryFetch {
    pub(super) fn new(now: Timestamp) -> Self {
        DirectoryFetch {
            due_at: now,
            attempts: 0,
            source: None,
            is_done: false,
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.is_done).then_some(self.due_at)
    }

    /// The replica to ask now, if a request is due. The requests go to all `peers` in turn.
    pub(super) fn next(
        &mut self,
        now: Timestamp,
        peers: &BTreeSet<SocketAddrV4>,
    ) -> Option<SocketAddrV4> {
        if self.is_done || now < self.due_at {
            return None;
        }
        self.due_at = now + REQUEST_INTERVAL;
        let turn = self.attempts % peers.len().max(1);
        self.source = peers.iter().nth(turn).copied();
        self.attempts += 1;
        self.is_done = self.attempts > MAX_ATTEMPTS;
        self.source
    }

    /// Whether a directory from this replica is awaited.
    pub(super) fn awaits(&self, from: SocketAddrV4) -> bool {
        self.source == Some(from)
    }

    /// Notes that a complete directory has arrived.
    pub(super) fn finish(&mut self) {
        self.is_done = true;
        self.source = None;
    }
}
