//! Stores a replica's persistent state in a data folder.

use std::path::Path;
use std::sync::Arc;

use petrellatch_core::consensus::{
    HardState, LogEntry, PersistRequest, PersistTicket, PersistentState, Snapshot,
};

use crate::data_folder::{DataFolder, FolderIdentity};
use crate::error::StorageError;
use crate::log_replay::{append_record, replay, truncate_record};
use crate::record_log::{LogContent, RecordLog, read_log, rewrite_log};

/// Persistent state of a replica, in a data folder that is locked for this
/// process.
#[derive(Debug)]
pub struct LogStore {
    folder: DataFolder,
    identity: FolderIdentity,
    log: RecordLog,
    /// Index of the last entry that the snapshot covers; zero without a snapshot.
    snapshot_index: u64,
    /// Set at the start of a write and cleared when it succeeds.
    failed: bool,
}

/// Result of opening a data folder.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store, ready for writing.
    pub store: LogStore,
    /// The state that the folder holds.
    pub state: PersistentState,
    /// Size of the torn tail that was cut off the log, in bytes.
    pub torn_bytes: u64,
    /// Whether this call formatted the folder.
    pub formatted: bool,
}

impl LogStore {
    /// Opens a folder. A missing or empty one is formatted with
    /// `new_identity`; an existing one must belong to the same cluster and
    /// keeps its incarnation, see [`LogStore::identity`].
    ///
    /// Fails if the folder is in use by another process, belongs to another
    /// cluster, or is damaged other than by a torn tail of the log.
    pub fn open(path: &Path, new_identity: FolderIdentity) -> Result<OpenedStore, StorageError> {
        let folder = DataFolder::lock(path)?;
        let found = folder.read_identity()?;
        let formatted = found.is_none();
        let identity = match found {
            Some(identity) => identity,
            None => format(&folder, new_identity)?,
        };
        if identity.cluster != new_identity.cluster {
            return Err(StorageError::WrongCluster {
                path: path.to_path_buf(),
                expected: new_identity.cluster,
                found: identity.cluster,
            });
        }
        let hard_state = folder.require_hard_state()?;
        let snapshot = folder.read_snapshot()?;
        let snapshot_index = index_of_snapshot(snapshot.as_ref());
        let content = require_log(&folder)?;
        let log_path = folder.log_path();
        let replayed = replay(&log_path, &content.records, snapshot_index)?;
        let log = if replayed.has_covered_entries {
            // The process crashed after writing a snapshot and before removing
            // the entries that it covers. Appending new entries after these
            // could leave a gap in the log, which counts as damage.
            rewrite_entries(&folder, &replayed.entries)?
        } else {
            RecordLog::open(&log_path, content.intact_bytes)?
        };
        let store = LogStore {
            folder,
            identity,
            log,
            snapshot_index,
            failed: false,
        };
        let state = PersistentState {
            hard_state,
            snapshot: snapshot.map(Arc::new),
            entries: replayed.entries,
        };
        Ok(OpenedStore {
            store,
            state,
            torn_bytes: content.torn_bytes,
            formatted,
        })
    }

    /// Returns the cluster and replica that the folder belongs to.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Writes a request and returns its ticket once all of it is synced. After
    /// an error no part of the request is acknowledged, and the store refuses
    /// further writes until the folder is opened again.
    pub fn write(&mut self, request: &PersistRequest) -> Result<PersistTicket, StorageError> {
        if self.failed {
            return Err(StorageError::Unusable {
                path: self.folder.path().to_path_buf(),
            });
        }
        self.failed = true;
        self.write_parts(request)?;
        self.failed = false;
        Ok(request.ticket)
    }

    fn write_parts(&mut self, request: &PersistRequest) -> Result<(), StorageError> {
        if let Some(hard_state) = &request.hard_state {
            self.folder.write_hard_state(hard_state)?;
        }
        if let Some(index) = request.truncate_from {
            self.log.buffer_record(&truncate_record(index));
        }
        if let Some(snapshot) = &request.snapshot {
            // Entries that conflict with the snapshot must be removed before
            // the snapshot is written.
            self.log.commit()?;
            self.write_snapshot(snapshot)?;
        }
        for entry in &request.entries {
            self.log.buffer_record(&append_record(entry));
        }
        self.log.commit()
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.folder.write_snapshot(snapshot)?;
        let previous_index = self.snapshot_index;
        self.snapshot_index = snapshot.position.index;
        let content = require_log(&self.folder)?;
        // The log file still continues from the previous snapshot.
        let replayed = replay(&self.folder.log_path(), &content.records, previous_index)?;
        let mut entries = replayed.entries;
        entries.retain(|entry| entry.position.index > self.snapshot_index);
        self.log = rewrite_entries(&self.folder, &entries)?;
        Ok(())
    }
}

/// Formats a folder. The format file is written last, so that after a crash
/// during formatting the folder can be formatted again. A folder without format
/// file that holds data is refused.
fn format(folder: &DataFolder, identity: FolderIdentity) -> Result<FolderIdentity, StorageError> {
    let hard_state = folder.read_hard_state()?.unwrap_or_default();
    let snapshot = folder.read_snapshot()?;
    let log = read_log(&folder.log_path())?;
    let has_records = log.is_some_and(|log| !log.records.is_empty());
    if has_records || snapshot.is_some() || hard_state != HardState::default() {
        return Err(folder.missing_format());
    }
    rewrite_entries(folder, &[])?;
    folder.write_hard_state(&hard_state)?;
    folder.write_identity(identity)?;
    Ok(identity)
}

/// Returns the index of the last entry that a snapshot covers, or zero without a
/// snapshot.
fn index_of_snapshot(snapshot: Option<&Snapshot>) -> u64 {
    snapshot.map_or(0, |snapshot| snapshot.position.index)
}

fn require_log(folder: &DataFolder) -> Result<LogContent, StorageError> {
    let path = folder.log_path();
    read_log(&path)?.ok_or_else(|| folder.missing(&path))
}

fn rewrite_entries(folder: &DataFolder, entries: &[LogEntry]) -> Result<RecordLog, StorageError> {
    let records: Vec<Vec<u8>> = entries.iter().map(append_record).collect();
    let payloads = records.iter().map(Vec::as_slice);
    rewrite_log(&folder.log_path(), payloads)
}
