//! Tests with a real folder.

use std::fs;
use std::time::Duration;

use mio::{Events, Poll, Token};

use super::*;

/// By then the thread has written, or never will.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

struct WriterHarness {
    poll: Poll,
    writer: FlowRecordWriter,
}

fn start(path: &std::path::Path) -> WriterHarness {
    let poll = Poll::new().expect("a poll");
    let waker = Waker::new(poll.registry(), Token(0)).expect("a waker");
    let file = RecordFile::open(path).file;
    let writer = FlowRecordWriter::start(file, Arc::new(waker)).expect("it starts");
    WriterHarness { poll, writer }
}

impl WriterHarness {
    /// Writes, and waits until the thread wakes the event loop.
    fn write(&mut self, request: FlowRecordWrite) -> Result<(), StorageError> {
        self.writer.write(request);
        let mut events = Events::with_capacity(1);
        loop {
            if let Some(result) = self.writer.poll() {
                return result;
            }
            let polled = self.poll.poll(&mut events, Some(WRITE_TIMEOUT));
            polled.expect("it polls");
            assert!(!events.is_empty(), "nobody woke the event loop");
        }
    }
}

#[test]
fn written_records_are_loaded_after_a_restart() {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let path = flow_record_path(scratch.path());
    let mut harness = start(&path);
    let append = |number| FlowRecordWrite::Append(vec![vec![number]]);
    harness.write(append(1)).expect("it appends");
    harness.write(append(2)).expect("it appends");
    assert_eq!(RecordFile::open(&path).records, [[1], [2]]);
    let replace = FlowRecordWrite::Replace(vec![vec![3]]);
    harness.write(replace).expect("it replaces");
    assert_eq!(RecordFile::open(&path).records, [[3]]);
}

#[test]
fn a_missing_folder_is_an_error_and_a_replacement_succeeds_once_it_exists_again() {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let folder = scratch.path().join("data");
    fs::create_dir(&folder).expect("it is new");
    let path = flow_record_path(&folder);
    let mut harness = start(&path);
    fs::remove_dir_all(&folder).expect("it is there");
    let append = || FlowRecordWrite::Append(vec![vec![1]]);
    let replace = || FlowRecordWrite::Replace(vec![vec![1]]);
    assert!(harness.write(append()).is_err());
    assert!(harness.write(append()).is_err(), "it stays unusable");
    assert!(harness.write(replace()).is_err());
    fs::create_dir(&folder).expect("it is gone");
    harness.write(replace()).expect("it replaces");
    assert_eq!(RecordFile::open(&path).records, [[1]]);
}
