//! Converts the records of the log file to and from the entries of the log.

use std::path::Path;

use petrellatch_core::consensus::{LogEntry, LogIndex};
use petrellatch_proto::consensus::{LogRecord, LogRecordBody};
use prost::Message;

use crate::error::StorageError;
use crate::record_log::StoredRecord;

/// The entries that result from the records of a log file.
#[derive(Debug)]
pub(crate) struct ReplayedLog {
    /// The entries after the snapshot, with consecutive indices.
    pub(crate) entries: Vec<LogEntry>,
    /// Whether the file also contains entries that the snapshot covers.
    pub(crate) has_covered_entries: bool,
}

/// Encodes a record that appends `entry`.
pub(crate) fn append_record(entry: &LogEntry) -> Vec<u8> {
    let body = LogRecordBody::Append(entry.into());
    LogRecord { body: Some(body) }.encode_to_vec()
}

/// Encodes a record that removes the entry at `index` and all later ones.
pub(crate) fn truncate_record(index: LogIndex) -> Vec<u8> {
    let body = LogRecordBody::TruncateFrom(index);
    LogRecord { body: Some(body) }.encode_to_vec()
}

/// Replays the records of the log file at `path` and returns the entries after
/// a snapshot whose last entry is at `snapshot_index`. Returns
/// [`StorageError::Damaged`] if a record can't be decoded or entries are missing.
pub(crate) fn replay(
    path: &Path,
    records: &[StoredRecord],
    snapshot_index: LogIndex,
) -> Result<ReplayedLog, StorageError> {
    let mut entries: Vec<LogEntry> = Vec::new();
    let mut has_covered_entries = false;
    for record in records {
        let damaged = |reason| StorageError::Damaged {
            path: path.to_path_buf(),
            offset: record.offset,
            reason,
        };
        let decoded = LogRecord::decode(record.payload.as_slice());
        let decoded = decoded.map_err(|_| damaged("the record cannot be decoded"))?;
        match decoded.body {
            Some(LogRecordBody::Append(message)) => {
                let entry = LogEntry::try_from(message);
                let entry = entry.map_err(|_| damaged("the entry cannot be decoded"))?;
                let index = entry.position.index;
                let last = entries.last().map(|entry| entry.position.index);
                if last.is_some_and(|last| index != last + 1) {
                    return Err(damaged(
                        "the entry's index doesn't follow the previous entry's",
                    ));
                }
                if last.is_none() && index > snapshot_index + 1 {
                    return Err(damaged(
                        "entries between the snapshot and this one are missing",
                    ));
                }
                has_covered_entries |= index <= snapshot_index;
                entries.push(entry);
            }
            Some(LogRecordBody::TruncateFrom(index)) => {
                entries.retain(|entry| entry.position.index < index);
            }
            None => return Err(damaged("the record is empty")),
        }
    }
    entries.retain(|entry| entry.position.index > snapshot_index);
    Ok(ReplayedLog {
        entries,
        has_covered_entries,
    })
}
