//! Tests with a real folder and thread.

use std::fs;
use std::time::Duration;

use mio::{Events, Poll, Token};

use super::*;

/// Time limit for one write by the thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

struct WriterHarness {
    poll: Poll,
    writer: RecordFileWriter,
}

fn start(path: &std::path::Path) -> WriterHarness {
    let poll = Poll::new().expect("a poll is created");
    let waker = Waker::new(poll.registry(), Token(0)).expect("a waker is created");
    let file = RecordFile::open(path).file;
    let writer =
        RecordFileWriter::start("records", file, Arc::new(waker)).expect("the writer starts");
    WriterHarness { poll, writer }
}

impl WriterHarness {
    /// Writes, and waits until the thread wakes the event loop.
    fn write(&mut self, request: RecordFileWrite) -> Result<(), StorageError> {
        self.writer.write(request);
        let mut events = Events::with_capacity(1);
        loop {
            if let Some(result) = self.writer.poll() {
                return result;
            }
            let polled = self.poll.poll(&mut events, Some(WRITE_TIMEOUT));
            polled.expect("the poll succeeds");
            assert!(!events.is_empty(), "the thread did not wake the event loop");
        }
    }
}

#[test]
fn written_records_are_loaded_after_a_restart() {
    let scratch = tempfile::tempdir().expect("a temporary folder is created");
    let path = scratch.path().join("flow-records");
    let mut harness = start(&path);
    let append = |number| RecordFileWrite::Append(vec![vec![number]]);
    harness.write(append(1)).expect("the append succeeds");
    harness.write(append(2)).expect("the append succeeds");
    assert_eq!(RecordFile::open(&path).records, [[1], [2]]);
    let replace = RecordFileWrite::Replace(vec![vec![3]]);
    harness.write(replace).expect("the replacement succeeds");
    assert_eq!(RecordFile::open(&path).records, [[3]]);
}

#[test]
fn a_missing_folder_is_an_error_and_a_replacement_succeeds_once_it_exists_again() {
    let scratch = tempfile::tempdir().expect("a temporary folder is created");
    let folder = scratch.path().join("data");
    fs::create_dir(&folder).expect("the folder is created");
    let path = folder.join("flow-records");
    let mut harness = start(&path);
    fs::remove_dir_all(&folder).expect("the folder is removed");
    let append = || RecordFileWrite::Append(vec![vec![1]]);
    let replace = || RecordFileWrite::Replace(vec![vec![1]]);
    assert!(harness.write(append()).is_err());
    assert!(
        harness.write(append()).is_err(),
        "the file stays unusable until it is replaced"
    );
    assert!(harness.write(replace()).is_err());
    fs::create_dir(&folder).expect("the folder is created again");
    harness.write(replace()).expect("the replacement succeeds");
    assert_eq!(RecordFile::open(&path).records, [[1]]);
}
