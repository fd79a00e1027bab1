//! A file of records beside the log that may be lost.

use std::path::{Path, PathBuf};

use crate::error::StorageError;
use crate::record_log::{RecordLog, read_log, rewrite_log};

/// Records that are appended, or replaced as a whole. After an error the file is made
/// anew by [`RecordFile::replace`]; until then nothing can be appended.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    log: Option<RecordLog>,
}

/// A file as it was found.
#[derive(Debug)]
pub struct OpenedRecords {
    /// The file.
    pub file: RecordFile,
    /// What it holds, in the order in which it was written.
    pub records: Vec<Vec<u8>>,
    /// Why what it holds can't be used, if that is so. It is then made anew by
    /// [`RecordFile::replace`].
    pub failure: Option<StorageError>,
}

impl RecordFile {
    /// Opens a file, or names one that does not exist yet. A torn tail is cut off; a file
    /// that is damaged otherwise counts as empty.
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

    /// Appends records; returns when they are synced.
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

    /// Replaces all records; returns when the new ones are synced. A crash leaves the old
    /// or the new ones.
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
