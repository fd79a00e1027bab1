//! A file that holds one value, which is replaced atomically.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::{StorageError, io_error};
use crate::frame::{Frame, read_frame, write_frame};

/// Magic bytes at the start of every such file, including the layout version.
const MAGIC: &[u8; 8] = b"PLSNAP01";

/// A file that holds one value with a checksum. The value is replaced
/// atomically: after a crash the file holds either the old or the new value.
/// Suitable for any state that a process stores as a whole, such as a daemon's
/// copy of the configuration.
#[derive(Clone, Debug)]
pub struct AtomicFile {
    path: PathBuf,
}

impl AtomicFile {
    /// Creates a handle to the file at `path`, without accessing it. The file
    /// needn't exist yet; its folder must.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        AtomicFile { path: path.into() }
    }

    /// Returns the file's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the value; `None` if the file doesn't exist.
    pub fn read(&self) -> Result<Option<Vec<u8>>, StorageError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error("read", &self.path)(error)),
        };
        let framed = bytes.strip_prefix(MAGIC);
        let framed = framed.ok_or_else(|| self.damaged("the magic bytes are wrong"))?;
        match read_frame(framed) {
            Frame::Intact(payload) => Ok(Some(payload.to_vec())),
            Frame::Truncated | Frame::Unwritten => Err(self.damaged("the file is truncated")),
            Frame::DamagedLength => Err(self.damaged("the checksum of the length is wrong")),
            Frame::DamagedPayload => Err(self.damaged("the checksum of the payload is wrong")),
        }
    }

    /// Replaces the value and returns once the new one is synced. After an
    /// error the file still holds the old value, unless the error came after
    /// the new file was renamed into place: then a later read may return
    /// either value.
    pub fn replace(&self, payload: &[u8]) -> Result<(), StorageError> {
        let mut bytes = Vec::with_capacity(MAGIC.len() + payload.len());
        bytes.extend_from_slice(MAGIC);
        write_frame(&mut bytes, payload);
        replace_file(&self.path, &bytes)
    }

    /// Returns the error for damage of this file.
    pub(crate) fn damaged(&self, reason: &'static str) -> StorageError {
        StorageError::Damaged {
            path: self.path.clone(),
            offset: 0,
            reason,
        }
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it
/// to `path`.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    let temporary = temporary_path(path);
    let mut file = File::create(&temporary).map_err(io_error("create", &temporary))?;
    file.write_all(bytes)
        .map_err(io_error("write", &temporary))?;
    file.sync_all().map_err(io_error("sync", &temporary))?;
    drop(file);
    fs::rename(&temporary, path).map_err(io_error("replace", path))?;
    sync_folder_of(path)
}

/// Syncs the folder that contains `path`, so that a created or renamed file
/// survives a crash.
pub(crate) fn sync_folder_of(path: &Path) -> Result<(), StorageError> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    let folder = parent.unwrap_or(Path::new("."));
    let handle = File::open(folder).map_err(io_error("open", folder))?;
    handle.sync_all().map_err(io_error("sync", folder))
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".tmp");
    PathBuf::from(name)
}
