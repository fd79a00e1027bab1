//! Assembly of a snapshot from its chunks.

use std::hash::Hasher;

use petrellatch_proto::consensus::SnapshotChunk;
use siphasher::sip::SipHasher13;

use super::entry::LogPosition;
use super::membership::Membership;
use super::persistence::Snapshot;

/// A snapshot that is received in chunks.
#[derive(Debug)]
pub(super) struct SnapshotAssembly {
    position: LogPosition,
    membership: Membership,
    total_bytes: u64,
    digest: u64,
    data: Vec<u8>,
}

impl SnapshotAssembly {
    /// Starts to assemble the snapshot that `chunk` belongs to. `None` if the
    /// chunk is malformed.
    pub(super) fn start(chunk: &SnapshotChunk) -> Option<Self> {
        let membership = chunk.membership.as_ref()?;
        Some(SnapshotAssembly {
            position: position_of(chunk),
            membership: Membership::try_from(membership).ok()?,
            total_bytes: chunk.total_bytes,
            digest: chunk.digest,
            data: Vec::new(),
        })
    }

    /// Whether `chunk` belongs to this snapshot. The digest is compared as well,
    /// since replicas may encode the same state differently.
    pub(super) fn matches(&self, chunk: &SnapshotChunk) -> bool {
        self.position == position_of(chunk)
            && self.total_bytes == chunk.total_bytes
            && self.digest == chunk.digest
    }

    /// Appends the data of a chunk if it is the next one needed.
    pub(super) fn add(&mut self, chunk: &SnapshotChunk) {
        if chunk.offset == self.next_offset() {
            self.data.extend_from_slice(&chunk.data);
        }
    }

    /// Offset of the next data needed, in bytes.
    pub(super) fn next_offset(&self) -> u64 {
        self.data.len() as u64
    }

    pub(super) fn is_complete(&self) -> bool {
        self.next_offset() >= self.total_bytes
    }

    /// Returns the snapshot, or `None` if its data is corrupt.
    pub(super) fn finish(self) -> Option<Snapshot> {
        let intact = self.next_offset() == self.total_bytes && digest(&self.data) == self.digest;
        intact.then_some(Snapshot {
            position: self.position,
            membership: self.membership,
            data: self.data,
        })
    }
}

/// Digest of a snapshot's data.
pub(super) fn digest(data: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(data);
    hasher.finish()
}

fn position_of(chunk: &SnapshotChunk) -> LogPosition {
    LogPosition {
        term: chunk.entry_term,
        index: chunk.index,
    }
}
