//! Persistent state of a replica and the requests that write it.

use std::sync::Arc;

use super::entry::{LogEntry, LogIndex, LogPosition, Term};
use super::membership::{Membership, ReplicaId};

/// Term and vote. They must be on disk before any message that depends on them
/// is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this replica's vote in `term`.
    pub voted_for: Option<ReplicaId>,
}

/// The application's state after the entry at `position`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot covers. Index 0 means the state before the
    /// first entry.
    pub position: LogPosition,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The application's state, opaque to the replica.
    pub data: Vec<u8>,
}

/// State that is read back from disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot, if there is one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, with consecutive indices.
    pub entries: Vec<LogEntry>,
}

/// Number of a [`PersistRequest`]. Later requests have greater tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistTicket(pub u64);

/// A write that the event loop must make durable. The fields are applied in
/// their order; the request is complete only when all of them are synced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// Passed to `Replica::handle_persisted` once everything is synced.
    pub ticket: PersistTicket,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Removes all entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Replaces the snapshot; entries up to its index may be dropped.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

impl PersistentState {
    /// Whether nothing was ever written.
    pub fn is_empty(&self) -> bool {
        *self == PersistentState::default()
    }

    /// Applies a request in memory with the same effect that
    /// `petrellatch-storage` has on its files. Used by simulated disks.
    pub fn apply(&mut self, request: &PersistRequest) {
        if let Some(hard_state) = request.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(from) = request.truncate_from {
            self.entries.retain(|entry| entry.position.index < from);
        }
        if let Some(snapshot) = &request.snapshot {
            let covered = snapshot.position.index;
            self.entries.retain(|entry| entry.position.index > covered);
            self.snapshot = Some(Arc::clone(snapshot));
        }
        self.entries.extend(request.entries.iter().cloned());
    }
}
