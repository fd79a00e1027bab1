//! Tests of a log on a failing disk.

use assert_matches::assert_matches;

use super::*;

/// A file on a disk that is full after `free_bytes`, or whose sync fails.
#[derive(Debug)]
struct FailingFile {
    free_bytes: usize,
    can_sync: bool,
}

impl AppendFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let free = self.free_bytes.checked_sub(bytes.len());
        self.free_bytes = free.ok_or(io::ErrorKind::StorageFull)?;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if self.can_sync {
            Ok(())
        } else {
            Err(io::Error::other("medium error"))
        }
    }

    fn is_linked(&self) -> io::Result<bool> {
        Ok(true)
    }
}

fn log_on_failing_disk(free_bytes: usize, can_sync: bool) -> RecordLog {
    let file = FailingFile {
        free_bytes,
        can_sync,
    };
    RecordLog::with_file(Path::new("log"), Box::new(file))
}

#[test]
fn append_on_full_disk_returns_disk_full() {
    let mut log = log_on_failing_disk(40, true);
    log.buffer_record(b"first");
    assert_matches!(log.commit(), Ok(()));
    log.buffer_record(&[0; 100]);
    assert_matches!(log.commit(), Err(StorageError::DiskFull { .. }));
}

#[test]
fn failed_sync_returns_io_error() {
    let mut log = log_on_failing_disk(1_000, false);
    log.buffer_record(b"first");
    assert_matches!(
        log.commit(),
        Err(StorageError::Io {
            operation: "sync",
            ..
        })
    );
}
