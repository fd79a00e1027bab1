//! Puts a snapshot together from its parts.

use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::SnapshotPart;
use petrellatch_proto::record::RecordChange;

/// Most parts of one snapshot; with parts of 8 KiB that is 32 MiB.
pub(super) const MAX_SNAPSHOT_PARTS: u32 = 4_096;

/// Most missing parts asked for in one request.
const MAX_REQUESTED_PARTS: usize = 64;

/// The parts of one snapshot that have arrived so far.
#[derive(Clone, Debug)]
pub(super) struct SnapshotAssembly {
    /// Who sent the first part.
    source: SocketAddrV4,
    version: u64,
    parts: Vec<Option<Vec<RecordChange>>>,
    missing: usize,
}

impl SnapshotAssembly {
    /// Starts with the first part that arrived. Returns none if the part is
    /// not well formed.
    pub(super) fn start(source: SocketAddrV4, part: &SnapshotPart) -> Option<Self> {
        let sound = part.parts <= MAX_SNAPSHOT_PARTS && part.part < part.parts;
        if !sound {
            return None;
        }
        let count = part.parts as usize;
        let mut assembly = SnapshotAssembly {
            source,
            version: part.version,
            parts: vec![None; count],
            missing: count,
        };
        assembly.insert(part);
        Some(assembly)
    }

    /// Returns the version of the snapshot.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether a part of another snapshot takes the place of this one: it is
    /// newer, or the parent in use has nothing newer and did not send what is
    /// here. That parent is asked for the missing parts, but knows only its
    /// own snapshots.
    pub(super) fn is_replaced_by(
        &self,
        parent: Option<SocketAddrV4>,
        from: SocketAddrV4,
        part: &SnapshotPart,
    ) -> bool {
        let is_from_new_parent = parent == Some(from) && self.source != from;
        part.version > self.version || (part.version < self.version && is_from_new_parent)
    }

    /// Takes a part. Parts of other snapshots are ignored.
    pub(super) fn insert(&mut self, part: &SnapshotPart) {
        let same = part.version == self.version && part.parts as usize == self.parts.len();
        if !same {
            return;
        }
        let Some(slot) = self.parts.get_mut(part.part as usize) else {
            return;
        };
        if slot.is_none() {
            *slot = Some(part.records.clone());
            self.missing -= 1;
        }
    }

    /// Returns whether all parts have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Returns the first missing parts.
    pub(super) fn missing_parts(&self) -> Vec<u32> {
        let numbered = (0..).zip(&self.parts);
        numbered
            .filter(|(_, records)| records.is_none())
            .map(|(number, _)| number)
            .take(MAX_REQUESTED_PARTS)
            .collect()
    }

    /// Returns all records in the order of the parts.
    pub(super) fn into_records(self) -> Vec<RecordChange> {
        self.parts.into_iter().flatten().flatten().collect()
    }
}
