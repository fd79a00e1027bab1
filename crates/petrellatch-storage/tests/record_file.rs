//! Tests of the file of records, with damage of every kind.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;

use assert_matches::assert_matches;
use petrellatch_storage::{OpenedRecords, RecordFile, StorageError};
use tempfile::TempDir;

/// A device of Linux on which every write finds the disk full.
const FULL_DEVICE: &str = "/dev/full";

fn scratch() -> (TempDir, PathBuf) {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let path = scratch.path().join("records");
    (scratch, path)
}

fn record(number: u8) -> Vec<u8> {
    vec![number; 20]
}

/// A file with three records.
fn filled() -> (TempDir, PathBuf) {
    let (scratch, path) = scratch();
    let OpenedRecords {
        mut file,
        records,
        failure,
    } = RecordFile::open(&path);
    assert!(records.is_empty() && failure.is_none());
    file.append(&[record(1), record(2)]).expect("it appends");
    file.append(&[record(3)]).expect("it appends");
    (scratch, path)
}

#[test]
fn what_was_appended_is_found_again() {
    let (_scratch, path) = filled();
    let opened = RecordFile::open(&path);
    assert_eq!(opened.records, [record(1), record(2), record(3)]);
    assert!(opened.failure.is_none());
}

#[test]
fn a_replacement_leaves_nothing_of_before() {
    let (_scratch, path) = filled();
    let mut file = RecordFile::open(&path).file;
    file.replace(&[record(9)]).expect("it replaces");
    file.append(&[record(10)]).expect("it appends");
    assert_eq!(RecordFile::open(&path).records, [record(9), record(10)]);
}

#[test]
fn a_torn_tail_is_cut_off_at_any_place() {
    let (_scratch, path) = filled();
    let bytes = fs::read(&path).expect("it is there");
    let last = bytes.len() - 32;
    for length in last..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("it writes");
        let mut opened = RecordFile::open(&path);
        assert!(opened.failure.is_none(), "{length}");
        assert_eq!(opened.records, [record(1), record(2)], "{length}");
        opened.file.append(&[record(4)]).expect("it appends");
        let records = RecordFile::open(&path).records;
        assert_eq!(records, [record(1), record(2), record(4)], "{length}");
    }
}

#[test]
fn a_damaged_file_is_empty_until_it_is_made_anew() {
    let (_scratch, path) = filled();
    let mut bytes = fs::read(&path).expect("it is there");
    bytes[25] ^= 1;
    for damaged in [bytes, b"something else".to_vec()] {
        fs::write(&path, damaged).expect("it writes");
        let mut opened = RecordFile::open(&path);
        assert_matches!(opened.failure, Some(StorageError::Damaged { .. }));
        assert!(opened.records.is_empty());
        assert_matches!(
            opened.file.append(&[record(5)]),
            Err(StorageError::Unusable { .. })
        );
        opened.file.replace(&[record(5)]).expect("it replaces");
        opened.file.append(&[record(6)]).expect("it appends");
        assert_eq!(RecordFile::open(&path).records, [record(5), record(6)]);
    }
}

#[test]
fn a_full_disk_is_told_and_nothing_is_appended_after_it() {
    let (scratch, path) = filled();
    let mut file = RecordFile::open(&path).file;
    let temporary = scratch.path().join("records.tmp");
    symlink(FULL_DEVICE, &temporary).expect("a link");
    assert_matches!(
        file.replace(&[record(7)]),
        Err(StorageError::DiskFull { .. })
    );
    assert_matches!(
        file.append(&[record(7)]),
        Err(StorageError::Unusable { .. })
    );
    let records = RecordFile::open(&path).records;
    assert_eq!(records, [record(1), record(2), record(3)], "the old ones");
    fs::remove_file(&temporary).expect("it is there");
    file.replace(&[record(8)]).expect("there is room again");
    assert_eq!(RecordFile::open(&path).records, [record(8)]);
}

#[test]
fn a_file_that_was_deleted_is_noticed() {
    let (_scratch, path) = filled();
    let mut file = RecordFile::open(&path).file;
    fs::remove_file(&path).expect("it is there");
    assert_matches!(
        file.append(&[record(4)]),
        Err(StorageError::MissingFile { .. })
    );
    assert_matches!(
        file.append(&[record(4)]),
        Err(StorageError::Unusable { .. })
    );
    file.replace(&[record(4)]).expect("it replaces");
    assert_eq!(RecordFile::open(&path).records, [record(4)]);
}
