//! Tests with a real folder.

use std::fs;
use std::time::Duration;

use mio::{Events, Poll, Token};

use super::*;

/// By then the thread has written, or never will.
const PATIENCE: Duration = Duration::from_secs(20);

struct Bench {
    poll: Poll,
    writer: FlowRecordWriter,
}

fn start(path: &std::path::Path) -> Bench {
    let poll = Poll::new().expect("a poll");
    let waker = Waker::new(poll.registry(), Token(0)).expect("a waker");
    let file = RecordFile::open(path).file;
    let writer = FlowRecordWriter::start(file, Arc::new(waker)).expect("it starts");
    Bench { poll, writer }
}

impl Bench {
    /// Writes, and waits until the thread wakes the event loop.
    fn write(&mut self, request: FlowRecordWrite) -> Result<(), StorageError> {
        self.writer.write(request);
        let mut events = Events::with_capacity(1);
        loop {
            if let Some(result) = self.writer.poll() {
                return result;
            }
            let polled = self.poll.poll(&mut events, Some(PATIENCE));
            polled.expect("it polls");
            assert!(!events.is_empty(), "nobody woke the event loop");
        }
    }
}

#[test]
fn what_is_written_is_found_by_the_next_life() {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let path = flow_record_path(scratch.path());
    let mut bench = start(&path);
    let append = |number| FlowRecordWrite::Append(vec![vec![number]]);
    bench.write(append(1)).expect("it appends");
    bench.write(append(2)).expect("it appends");
    assert_eq!(RecordFile::open(&path).records, [[1], [2]]);
    let replace = FlowRecordWrite::Replace(vec![vec![3]]);
    bench.write(replace).expect("it replaces");
    assert_eq!(RecordFile::open(&path).records, [[3]]);
}

#[test]
fn a_folder_that_is_gone_is_told_and_written_again_once_it_is_back() {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let folder = scratch.path().join("data");
    fs::create_dir(&folder).expect("it is new");
    let path = flow_record_path(&folder);
    let mut bench = start(&path);
    fs::remove_dir_all(&folder).expect("it is there");
    let append = || FlowRecordWrite::Append(vec![vec![1]]);
    let replace = || FlowRecordWrite::Replace(vec![vec![1]]);
    assert!(bench.write(append()).is_err());
    assert!(bench.write(append()).is_err(), "it stays unusable");
    assert!(bench.write(replace()).is_err());
    fs::create_dir(&folder).expect("it is gone");
    bench.write(replace()).expect("it replaces");
    assert_eq!(RecordFile::open(&path).records, [[1]]);
}
