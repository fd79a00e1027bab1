//! A replica's data folder.

use std::path::Path;
use std::sync::Arc;

use petrellatch_core::consensus::{
    HardState, LogEntry, PersistRequest, PersistTicket, PersistentState, Snapshot,
};

use crate::data_folder::{DataFolder, FolderIdentity};
use crate::error::StorageError;
use crate::log_replay::{append_record, replay, truncate_record};
use crate::record_log::{LogContent, RecordLog, read_log, rewrite_log};

/// Writes what a replica asks for. One process uses a folder at a time.
#[derive(Debug)]
pub struct LogStore {
    folder: DataFolder,
    identity: FolderIdentity,
    log: RecordLog,
    /// Last entry that the snapshot covers.
    snapshot_index: u64,
    failed: bool,
}

/// A data folder that was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// For writing.
    pub store: LogStore,
    /// Everything that was read back.
    pub state: PersistentState,
    /// Size of the torn tail that was cut off the log, in bytes.
    pub torn_bytes: u64,
    /// Whether the folder was formatted just now.
    pub formatted: bool,
}

impl LogStore {
    /// Opens a folder. A missing or empty one is formatted with
    /// `new_identity`; an existing one must belong to the same cluster and
    /// keeps its incarnation, see [`LogStore::identity`].
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
            // A crash came between a snapshot and the removal of what it
            // covers. Later entries must not follow the old ones.
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

    /// Whom the folder belongs to.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Writes a request and returns its ticket once all of it is synced. After
    /// an error nothing of the request counts, and the store refuses further
    /// writes until the folder is opened again.
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
            // Entries that contradict the snapshot must be gone before it
            // stands.
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
        let replayed = replay(&self.folder.log_path(), &content.records, previous_index)?;
        let mut entries = replayed.entries;
        entries.retain(|entry| entry.position.index > self.snapshot_index);
        self.log = rewrite_entries(&self.folder, &entries)?;
        Ok(())
    }
}

/// Formats a folder. The format file comes last, so that a crash before it
/// leaves a folder that can be formatted again.
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
