//! Reads and writes the files of a data folder, including the folder's identity.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use petrellatch_core::consensus::{HardState, Snapshot};
use petrellatch_core::identity::Incarnation;
use petrellatch_proto::consensus::{FormatRecord, HardStateRecord, SnapshotRecord};
use prost::Message;

use crate::atomic_file::{AtomicFile, sync_folder_of};
use crate::error::{StorageError, io_error};

/// Version of the folder's layout.
const LAYOUT_VERSION: u32 = 1;

/// The cluster and replica that a data folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FolderIdentity {
    /// The cluster.
    pub cluster: u64,
    /// The replica's incarnation. A new random one must be drawn for every
    /// folder that may have to be formatted.
    pub incarnation: Incarnation,
}

/// The files of one data folder, locked for this process.
#[derive(Debug)]
pub(crate) struct DataFolder {
    path: PathBuf,
    /// Holds the folder's lock, which is released when the file is closed.
    _lock: File,
    format: AtomicFile,
    hard_state: AtomicFile,
    snapshot: AtomicFile,
}

impl DataFolder {
    /// Creates the folder if it doesn't exist, and locks it.
    pub(crate) fn lock(path: &Path) -> Result<Self, StorageError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        sync_folder_of(path)?;
        let lock_path = path.join("lock");
        let lock = File::create(&lock_path).map_err(io_error("create", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(StorageError::FolderInUse {
                    path: path.to_path_buf(),
                });
            }
            Err(TryLockError::Error(error)) => {
                return Err(io_error("lock", &lock_path)(error));
            }
        }
        Ok(DataFolder {
            path: path.to_path_buf(),
            _lock: lock,
            format: AtomicFile::new(path.join("format")),
            hard_state: AtomicFile::new(path.join("hard-state")),
            snapshot: AtomicFile::new(path.join("snapshot")),
        })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn log_path(&self) -> PathBuf {
        self.path.join("log")
    }

    /// Returns the error for a folder that holds data but lacks the file at `path`.
    pub(crate) fn missing(&self, path: &Path) -> StorageError {
        StorageError::MissingFile {
            path: path.to_path_buf(),
        }
    }

    pub(crate) fn missing_format(&self) -> StorageError {
        self.missing(self.format.path())
    }

    /// Reads the folder's identity; `None` if the folder isn't formatted.
    pub(crate) fn read_identity(&self) -> Result<Option<FolderIdentity>, StorageError> {
        let Some(bytes) = self.format.read()? else {
            return Ok(None);
        };
        let record = FormatRecord::decode(bytes.as_slice());
        let record = record.map_err(|_| self.format.damaged("the file cannot be decoded"))?;
        if record.version != LAYOUT_VERSION {
            return Err(StorageError::UnknownVersion {
                path: self.path.clone(),
                version: record.version,
            });
        }
        Ok(Some(FolderIdentity {
            cluster: record.cluster,
            incarnation: Incarnation(record.incarnation),
        }))
    }

    pub(crate) fn write_identity(&self, identity: FolderIdentity) -> Result<(), StorageError> {
        let record = FormatRecord {
            version: LAYOUT_VERSION,
            cluster: identity.cluster,
            incarnation: identity.incarnation.0,
        };
        self.format.replace(&record.encode_to_vec())
    }

    pub(crate) fn read_hard_state(&self) -> Result<Option<HardState>, StorageError> {
        let Some(bytes) = self.hard_state.read()? else {
            return Ok(None);
        };
        let record = HardStateRecord::decode(bytes.as_slice());
        let record = record.map_err(|_| self.hard_state.damaged("the file cannot be decoded"))?;
        Ok(Some(HardState::from(&record)))
    }

    /// Reads the hard state of a formatted folder. A missing file is an error.
    pub(crate) fn require_hard_state(&self) -> Result<HardState, StorageError> {
        let hard_state = self.read_hard_state()?;
        hard_state.ok_or_else(|| self.missing(self.hard_state.path()))
    }

    pub(crate) fn write_hard_state(&self, hard_state: &HardState) -> Result<(), StorageError> {
        let record = HardStateRecord::from(hard_state);
        self.hard_state.replace(&record.encode_to_vec())
    }

    pub(crate) fn read_snapshot(&self) -> Result<Option<Snapshot>, StorageError> {
        let Some(bytes) = self.snapshot.read()? else {
            return Ok(None);
        };
        let record = SnapshotRecord::decode(bytes.as_slice()).ok();
        let snapshot = record.and_then(|record| Snapshot::try_from(record).ok());
        let snapshot = snapshot.ok_or_else(|| self.snapshot.damaged("the file cannot be decoded"));
        snapshot.map(Some)
    }

    pub(crate) fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let record = SnapshotRecord::from(snapshot);
        self.snapshot.replace(&record.encode_to_vec())
    }
}
