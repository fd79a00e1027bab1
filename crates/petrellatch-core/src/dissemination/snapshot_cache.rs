//! Snapshots cut into parts, kept for children that fetch them.

use std::collections::VecDeque;

use petrellatch_proto::dissemination::SnapshotPart;
use petrellatch_proto::record::RecordChange;
use prost::Message;

use super::disseminated_view::DisseminatedView;

/// Target size of the records in one part, in encoded bytes. A single record
/// that is larger has a part of its own.
pub(super) const SNAPSHOT_PART_BYTES: usize = 8 * 1024;

/// Snapshots kept: the newest, and the one before it that some children may
/// still be fetching.
const KEPT_SNAPSHOTS: usize = 2;

/// One snapshot in parts.
#[derive(Clone, Debug)]
struct CutSnapshot {
    version: u64,
    parts: Vec<Vec<RecordChange>>,
}

/// The newest snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotCache {
    snapshots: VecDeque<CutSnapshot>,
}

impl SnapshotCache {
    /// Adds the snapshot of `view`, unless it is there already.
    pub(super) fn insert(&mut self, view: &impl DisseminatedView) {
        let version = view.version();
        if self.newest_version() == Some(version) {
            return;
        }
        let parts = cut(view.records());
        self.snapshots.push_back(CutSnapshot { version, parts });
        if self.snapshots.len() > KEPT_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// The version of the newest snapshot.
    pub(super) fn newest_version(&self) -> Option<u64> {
        self.snapshots.back().map(|snapshot| snapshot.version)
    }

    /// How many parts the snapshot of this version has, if it is kept.
    pub(super) fn part_count(&self, version: u64) -> Option<u32> {
        let count = self.find(version)?.parts.len();
        u32::try_from(count).ok()
    }

    /// Returns one part.
    pub(super) fn part(&self, version: u64, part: u32) -> Option<SnapshotPart> {
        let snapshot = self.find(version)?;
        let records = snapshot.parts.get(part as usize)?.clone();
        Some(SnapshotPart {
            version,
            part,
            parts: self.part_count(version)?,
            records,
        })
    }

    fn find(&self, version: u64) -> Option<&CutSnapshot> {
        self.snapshots
            .iter()
            .find(|snapshot| snapshot.version == version)
    }
}

fn cut(records: Vec<RecordChange>) -> Vec<Vec<RecordChange>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for record in records {
        let size = record.encoded_len();
        let is_full = bytes > 0 && bytes + size > SNAPSHOT_PART_BYTES;
        if is_full {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = parts.last_mut() {
            last.push(record);
        }
    }
    parts
}
