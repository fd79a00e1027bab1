//! A replica that starts takes over from another one which agents there are:
//! in a large fleet agents report rarely.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// Between two replicas that are asked.
const INTERVAL: Duration = Duration::from_millis(150);
/// Replicas that are asked at most. If none has a whole directory by then, the
/// whole group starts, and agents report by themselves.
const MAX_TRIES: usize = 8;

/// Whom to ask next, until somebody has answered.
#[derive(Debug)]
pub(super) struct DirectoryFetch {
    due_at: Timestamp,
    tries: usize,
    asked: Option<SocketAddrV4>,
    done: bool,
}

impl DirectoryFetch {
    pub(super) fn new(now: Timestamp) -> Self {
        DirectoryFetch {
            due_at: now,
            tries: 0,
            asked: None,
            done: false,
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.done).then_some(self.due_at)
    }

    /// The replica to ask now, if one is due. All in `peers` get their turn.
    pub(super) fn next(
        &mut self,
        now: Timestamp,
        peers: &BTreeSet<SocketAddrV4>,
    ) -> Option<SocketAddrV4> {
        if self.done || now < self.due_at {
            return None;
        }
        self.due_at = now + INTERVAL;
        let turn = self.tries % peers.len().max(1);
        self.asked = peers.iter().nth(turn).copied();
        self.tries += 1;
        self.done = self.tries > MAX_TRIES;
        self.asked
    }

    /// Whether a directory from this replica is awaited.
    pub(super) fn awaits(&self, from: SocketAddrV4) -> bool {
        self.asked == Some(from)
    }

    /// Notes that a whole directory has come.
    pub(super) fn finish(&mut self) {
        self.done = true;
        self.asked = None;
    }
}
