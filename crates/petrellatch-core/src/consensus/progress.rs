//! Replication progress of one other member, and its flow control.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::Timestamp;

use super::entry::LogIndex;
use super::membership::ReplicaId;
use super::persistence::Snapshot;

/// Maximum number of append requests to one member without a response.
const MAX_IN_FLIGHT_APPENDS: usize = 16;

/// How entries are sent to a member.
#[derive(Debug)]
pub(super) enum ReplicationState {
    /// Finds the index up to which the logs match, one message at a time.
    Probe {
        /// Whether a message awaits its response.
        sent: bool,
    },
    /// Sends entries without waiting for responses.
    Replicate {
        /// Last index of each message that awaits its response.
        in_flight: VecDeque<LogIndex>,
    },
    /// Sends a snapshot, because the member needs compacted entries.
    Snapshot(SnapshotTransfer),
}

/// State of sending a snapshot to a member.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) digest: u64,
    /// Offset of the data that the member needs next, in bytes.
    pub(super) offset: u64,
    /// Whether the chunk at `offset` awaits its response.
    pub(super) sent: bool,
}

/// Replication progress of one other member, as tracked by the leader.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) replica: ReplicaId,
    /// Highest entry known to be durable at the member.
    pub(super) match_index: LogIndex,
    /// The next entry to send.
    pub(super) next_index: LogIndex,
    pub(super) state: ReplicationState,
    /// Send time of the latest message that the member responded to.
    pub(super) last_contact: Option<Timestamp>,
    /// Highest leadership confirmation round that the member acknowledged.
    pub(super) acknowledged_round: u64,
    /// Index that the member must reach in the current catch-up round.
    catch_up_target: LogIndex,
    catch_up_since: Timestamp,
}

impl Progress {
    pub(super) fn new(replica: ReplicaId, last_index: LogIndex, now: Timestamp) -> Self {
        Progress {
            replica,
            match_index: 0,
            next_index: last_index + 1,
            state: ReplicationState::Probe { sent: false },
            last_contact: None,
            acknowledged_round: 0,
            catch_up_target: last_index,
            catch_up_since: now,
        }
    }

    /// Whether the member has durably caught up: it has all committed entries,
    /// or, since entries may arrive continuously, it took at most `limit` to
    /// reach the commit index at the start of the current round. Starts the
    /// next round when the current one is complete.
    pub(super) fn has_caught_up(
        &mut self,
        now: Timestamp,
        commit_index: LogIndex,
        limit: Duration,
    ) -> bool {
        if self.match_index >= commit_index {
            return true;
        }
        if self.match_index < self.catch_up_target {
            return false;
        }
        let round_time = now.saturating_since(self.catch_up_since);
        self.catch_up_target = commit_index;
        self.catch_up_since = now;
        round_time <= limit
    }

    /// Records a response to a message sent at `sent_at` in `round`.
    pub(super) fn record_contact(&mut self, sent_at: Timestamp, round: u64) {
        self.last_contact = self.last_contact.max(Some(sent_at));
        self.acknowledged_round = self.acknowledged_round.max(round);
    }

    /// Records that the member's log durably matches the leader's up to
    /// `index`.
    pub(super) fn record_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let matched = self.match_index;
        match &mut self.state {
            ReplicationState::Probe { .. } if index + 1 >= self.next_index => {
                self.start_replicating();
            }
            ReplicationState::Probe { .. } => {}
            ReplicationState::Replicate { in_flight } => {
                in_flight.retain(|last| *last > matched);
            }
            ReplicationState::Snapshot(transfer) => {
                if matched >= transfer.snapshot.position.index {
                    self.start_replicating();
                }
            }
        }
    }

    /// Records that the member's log doesn't match at `refused`, and can match
    /// up to `possible_match`.
    pub(super) fn record_refusal(&mut self, refused: LogIndex, possible_match: LogIndex) {
        let stale = match self.state {
            ReplicationState::Probe { .. } => refused + 1 != self.next_index,
            ReplicationState::Replicate { .. } => refused <= self.match_index,
            ReplicationState::Snapshot(_) => true,
        };
        if stale {
            return;
        }
        let next = refused.min(possible_match + 1);
        self.next_index = next.max(self.match_index + 1);
        self.state = ReplicationState::Probe { sent: false };
    }

    pub(super) fn start_snapshot(&mut self, snapshot: Arc<Snapshot>, digest: u64) {
        self.state = ReplicationState::Snapshot(SnapshotTransfer {
            snapshot,
            digest,
            offset: 0,
            sent: false,
        });
    }

    /// Whether another append request with entries may be sent now.
    pub(super) fn may_send_entries(&self) -> bool {
        match &self.state {
            ReplicationState::Probe { sent } => !sent,
            ReplicationState::Replicate { in_flight } => in_flight.len() < MAX_IN_FLIGHT_APPENDS,
            ReplicationState::Snapshot(_) => false,
        }
    }

    /// Records that entries up to `last` or a probe were sent.
    pub(super) fn record_sent(&mut self, last: LogIndex) {
        match &mut self.state {
            ReplicationState::Probe { sent } => *sent = true,
            ReplicationState::Replicate { in_flight } if last >= self.next_index => {
                in_flight.push_back(last);
                self.next_index = last + 1;
            }
            ReplicationState::Replicate { .. } | ReplicationState::Snapshot(_) => {}
        }
    }

    /// Allows a probe or chunk without a response to be sent again.
    pub(super) fn allow_retry(&mut self) {
        match &mut self.state {
            ReplicationState::Probe { sent } => *sent = false,
            ReplicationState::Replicate { .. } => {}
            ReplicationState::Snapshot(transfer) => transfer.sent = false,
        }
    }

    fn start_replicating(&mut self) {
        self.next_index = self.match_index + 1;
        self.state = ReplicationState::Replicate {
            in_flight: VecDeque::new(),
        };
    }
}
