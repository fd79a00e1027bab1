//! An append-only log file of framed records.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::atomic_file::replace_file;
use crate::error::{StorageError, io_error};
use crate::frame::{FRAME_HEADER_BYTES, Frame, read_frame, write_frame};

/// Magic bytes at the start of every log file, including the layout version.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"PLRLOG01";

/// The file operations that a log needs. Tests substitute a failing disk.
pub(crate) trait AppendFile: fmt::Debug + Send {
    /// Appends all bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Syncs all appended bytes to disk.
    fn sync(&mut self) -> io::Result<()>;
    /// Returns whether the file still has a directory entry.
    fn is_linked(&self) -> io::Result<bool>;
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn is_linked(&self) -> io::Result<bool> {
        Ok(self.metadata()?.nlink() > 0)
    }
}

/// A record read from a log file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct StoredRecord {
    /// Offset of the record's frame in the file, in bytes.
    pub(crate) offset: u64,
    pub(crate) payload: Vec<u8>,
}

/// The content of a log file.
#[derive(Debug)]
pub(crate) struct LogContent {
    pub(crate) records: Vec<StoredRecord>,
    /// Size of the intact part, in bytes.
    pub(crate) intact_bytes: u64,
    /// Size of the torn tail after it, in bytes.
    pub(crate) torn_bytes: u64,
}

/// A log file that is open for appending.
#[derive(Debug)]
pub(crate) struct RecordLog {
    path: PathBuf,
    file: Box<dyn AppendFile>,
    buffer: Vec<u8>,
}

impl RecordLog {
    /// Opens an existing file for appending, and cuts off everything after its
    /// first `intact_bytes` bytes.
    pub(crate) fn open(path: &Path, intact_bytes: u64) -> Result<Self, StorageError> {
        let file = OpenOptions::new().append(true).open(path);
        let file = file.map_err(io_error("open", path))?;
        let size = file.metadata().map_err(io_error("inspect", path))?.len();
        if size > intact_bytes {
            file.set_len(intact_bytes)
                .map_err(io_error("cut off the torn tail of", path))?;
            file.sync_all().map_err(io_error("sync", path))?;
        }
        Ok(RecordLog::with_file(path, Box::new(file)))
    }

    pub(crate) fn with_file(path: &Path, file: Box<dyn AppendFile>) -> Self {
        RecordLog {
            path: path.to_path_buf(),
            file,
            buffer: Vec::new(),
        }
    }

    /// Buffers a record for the next [`RecordLog::commit`].
    pub(crate) fn buffer_record(&mut self, payload: &[u8]) {
        write_frame(&mut self.buffer, payload);
    }

    /// Appends the buffered records and returns once they are synced.
    pub(crate) fn commit(&mut self) -> Result<(), StorageError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.buffer);
        let appended = self.file.append(&bytes);
        appended.map_err(io_error("append to", &self.path))?;
        self.file.sync().map_err(io_error("sync", &self.path))?;
        // Writes to a deleted file succeed until it is closed, but are lost then.
        let linked = self.file.is_linked();
        if linked.map_err(io_error("inspect", &self.path))? {
            return Ok(());
        }
        Err(StorageError::MissingFile {
            path: self.path.clone(),
        })
    }
}

/// Replaces the log file by one that holds only the given records.
pub(crate) fn rewrite_log<'a>(
    path: &Path,
    payloads: impl IntoIterator<Item = &'a [u8]>,
) -> Result<RecordLog, StorageError> {
    let mut bytes = LOG_MAGIC.to_vec();
    for payload in payloads {
        write_frame(&mut bytes, payload);
    }
    replace_file(path, &bytes)?;
    RecordLog::open(path, bytes.len() as u64)
}

/// Reads a log file; `None` if the file doesn't exist.
pub(crate) fn read_log(path: &Path) -> Result<Option<LogContent>, StorageError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error("read", path)(error)),
    };
    scan_log(path, &bytes).map(Some)
}

/// Splits the bytes of a log file into records. A truncated record, or zeros up to
/// the end of the file, are a torn tail; other damage is an error.
fn scan_log(path: &Path, bytes: &[u8]) -> Result<LogContent, StorageError> {
    let damaged = |offset: usize, reason| StorageError::Damaged {
        path: path.to_path_buf(),
        offset: offset as u64,
        reason,
    };
    if !bytes.starts_with(LOG_MAGIC) {
        return Err(damaged(0, "the magic bytes are wrong"));
    }
    let mut records = Vec::new();
    let mut offset = LOG_MAGIC.len();
    while offset < bytes.len() {
        match read_frame(&bytes[offset..]) {
            Frame::Intact(payload) => {
                records.push(StoredRecord {
                    offset: offset as u64,
                    payload: payload.to_vec(),
                });
                offset += FRAME_HEADER_BYTES + payload.len();
            }
            Frame::Truncated | Frame::Unwritten => break,
            Frame::DamagedLength => {
                return Err(damaged(offset, "the checksum of the length is wrong"));
            }
            Frame::DamagedPayload => {
                return Err(damaged(offset, "the checksum of the payload is wrong"));
            }
        }
    }
    Ok(LogContent {
        records,
        intact_bytes: offset as u64,
        torn_bytes: (bytes.len() - offset) as u64,
    })
}

#[cfg(test)]
mod tests;
