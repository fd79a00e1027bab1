//! What a replica keeps on disk, and how it asks for it to be written.

use std::sync::Arc;

use super::entry::{LogEntry, LogIndex, LogPosition, Term};
use super::membership::{Membership, ReplicaId};

/// The state that must be on disk before any message that depends on it
/// leaves the replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Receiver of this replica's vote in `term`.
    pub voted_for: Option<ReplicaId>,
}

/// The application's state after the entry at `position`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot covers. Index 0 is the state before the
    /// first entry.
    pub position: LogPosition,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The application's state, opaque to the replica.
    pub data: Vec<u8>,
}

/// Everything read back from disk at start.
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

/// A write that the driver must make durable. The parts are applied in the
/// order of the fields; the request counts only when all of it is synced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistRequest {
    /// To be handed back to `Replica::handle_persisted` once all is synced.
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

    /// Applies a request in memory, as a disk would: the effect that
    /// `petrellatch-storage` has on its files. Simulated disks use it.
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
