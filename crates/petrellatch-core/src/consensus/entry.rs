//! Entries of the replicated log.

use super::membership::Membership;

/// Raft term. There is at most one leader per term.
pub type Term = u64;

/// Index of an entry in the log. The first entry has index 1.
pub type LogIndex = u64;

/// Identifies an entry: two logs that contain an entry with the same position
/// are identical up to that entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// Term in which the entry was created. Compared first, so that the
    /// greater of two last positions is the more up-to-date log.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryPayload {
    /// Marks the start of a term.
    NoOperation,
    /// A command of the application.
    Command(Vec<u8>),
    /// The complete membership from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Term and index.
    pub position: LogPosition,
    /// Content.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Upper bound of the encoded size in bytes, apart from a fixed envelope.
    pub(super) fn size_bytes(&self) -> usize {
        const ENTRY_OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 32;
        let payload_bytes = match &self.payload {
            EntryPayload::NoOperation => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Membership(membership) => {
                (membership.members().len() + membership.retired().len()) * MEMBER_BYTES
            }
        };
        ENTRY_OVERHEAD_BYTES + payload_bytes
    }
}
