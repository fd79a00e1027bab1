//! A file of records that the process can do without, unlike those of the
//! replicated log: a damaged file is read as empty.

use std::path::{Path, PathBuf};

use crate::error::StorageError;
use crate::record_log::{RecordLog, read_log, rewrite_log};

/// A file of records, which can be appended to or replaced as a whole. After an error,
/// appending fails until [`RecordFile::replace`] has rewritten the file.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    log: Option<RecordLog>,
}

/// Result of opening a record file.
#[derive(Debug)]
pub struct OpenedRecords {
    /// The file.
    pub file: RecordFile,
    /// The records of the file, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
    /// Reason why the records couldn't be read, if any. [`RecordFile::replace`] then
    /// rewrites the file.
    pub failure: Option<StorageError>,
}

impl RecordFile {
    /// Opens the file at `path`, and creates it if it doesn't exist. A torn tail is cut
    /// off; a file with other damage is treated as empty and reported in
    /// [`OpenedRecords::failure`].
    pub fn open(path: impl Into<PathBuf>) -> OpenedRecords {
        let path = path.into();
        let (records, log, failure) = match read(&path) {
            Ok((records, log)) => (records, log, None),
            Err(error) => (Vec::new(), None, Some(error)),
        };
        OpenedRecords {
            file: RecordFile { path, log },
            records,
            failure,
        }
    }

    /// Appends records and returns once they are synced.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let Some(mut log) = self.log.take() else {
            return Err(StorageError::Unusable {
                path: self.path.clone(),
            });
        };
        records.iter().for_each(|record| log.buffer_record(record));
        log.commit()?;
        self.log = Some(log);
        Ok(())
    }

    /// Replaces all records and returns once the new ones are synced. After a crash the
    /// file holds either the old or the new records.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        self.log = None;
        let records = records.iter().map(Vec::as_slice);
        self.log = Some(rewrite_log(&self.path, records)?);
        Ok(())
    }
}

fn read(path: &Path) -> Result<(Vec<Vec<u8>>, Option<RecordLog>), StorageError> {
    let Some(content) = read_log(path)? else {
        let log = rewrite_log(path, [])?;
        return Ok((Vec::new(), Some(log)));
    };
    let log = RecordLog::open(path, content.intact_bytes)?;
    let records = content.records.into_iter().map(|record| record.payload);
    Ok((records.collect(), Some(log)))
}
