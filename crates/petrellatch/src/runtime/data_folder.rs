//! The data folder, which holds all files of a process.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::ProgramError;

/// Name of the lock file, which keeps a second process from using the folder.
const LOCK_FILE: &str = "lock";
/// Name of the stored copy of the cluster view.
const VIEW_FILE: &str = "view";
/// Name under which a new copy is written before it is renamed over the old one.
const NEW_VIEW_FILE: &str = "view.new";

/// A data folder, locked by this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it.
    pub fn open(path: &Path) -> Result<Self, ProgramError> {
        fs::create_dir_all(path).map_err(|source| failure(path, source))?;
        let lock_path = path.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|source| failure(&lock_path, source))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataFolder {
                path: path.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => {
                let message = "another process uses this folder";
                let source = io::Error::new(io::ErrorKind::ResourceBusy, message);
                Err(failure(path, source))
            }
            Err(TryLockError::Error(source)) => Err(failure(&lock_path, source)),
        }
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the stored copy of the cluster view, if there is one.
    pub fn read_view(&self) -> Result<Option<Vec<u8>>, ProgramError> {
        let path = self.path.join(VIEW_FILE);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(failure(&path, source)),
        }
    }

    /// Stores a copy of the cluster view. The old copy stays intact until the
    /// new one is synced.
    pub fn write_view(&self, bytes: &[u8]) -> Result<(), ProgramError> {
        let path = self.path.join(VIEW_FILE);
        let new_path = self.path.join(NEW_VIEW_FILE);
        let written = write_synced(&new_path, bytes)
            .and_then(|()| fs::rename(&new_path, &path))
            .and_then(|()| File::open(&self.path)?.sync_all());
        written.map_err(|source| failure(&path, source))
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn failure(path: &Path, source: io::Error) -> ProgramError {
    ProgramError::DataFolder {
        path: path.to_path_buf(),
        source,
    }
}
