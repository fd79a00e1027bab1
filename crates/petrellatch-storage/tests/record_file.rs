//! Tests of the record file: reading back, torn tails, damage, deletion and full
//! disks.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;

use assert_matches::assert_matches;
use petrellatch_storage::{OpenedRecords, RecordFile, StorageError};
use tempfile::TempDir;

/// A Linux device on which every write fails because the disk is full.
const FULL_DEVICE: &str = "/dev/full";

fn scratch() -> (TempDir, PathBuf) {
    let scratch = tempfile::tempdir().expect("temporary folder");
    let path = scratch.path().join("records");
    (scratch, path)
}

/// Returns a record of 20 bytes, which takes 32 in the file with its header.
fn record(number: u8) -> Vec<u8> {
    vec![number; 20]
}

/// Creates a file with three records.
fn file_with_three_records() -> (TempDir, PathBuf) {
    let (scratch, path) = scratch();
    let OpenedRecords {
        mut file,
        records,
        failure,
    } = RecordFile::open(&path);
    assert!(records.is_empty() && failure.is_none());
    file.append(&[record(1), record(2)])
        .expect("append succeeds");
    file.append(&[record(3)]).expect("append succeeds");
    (scratch, path)
}

#[test]
fn reopened_file_returns_the_appended_records() {
    let (_scratch, path) = file_with_three_records();
    let opened = RecordFile::open(&path);
    assert_eq!(opened.records, [record(1), record(2), record(3)]);
    assert!(opened.failure.is_none());
}

#[test]
fn replace_removes_all_earlier_records() {
    let (_scratch, path) = file_with_three_records();
    let mut file = RecordFile::open(&path).file;
    file.replace(&[record(9)]).expect("replace succeeds");
    file.append(&[record(10)]).expect("append succeeds");
    assert_eq!(RecordFile::open(&path).records, [record(9), record(10)]);
}

#[test]
fn torn_tail_of_any_length_is_cut_off() {
    let (_scratch, path) = file_with_three_records();
    let bytes = fs::read(&path).expect("the file exists");
    let last_record = bytes.len() - 32;
    for length in last_record..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("the file is written");
        let mut opened = RecordFile::open(&path);
        assert!(opened.failure.is_none(), "{length}");
        assert_eq!(opened.records, [record(1), record(2)], "{length}");
        opened.file.append(&[record(4)]).expect("append succeeds");
        let records = RecordFile::open(&path).records;
        assert_eq!(records, [record(1), record(2), record(4)], "{length}");
    }
}

#[test]
fn damaged_file_reads_as_empty_and_accepts_no_append_until_replaced() {
    let (_scratch, path) = file_with_three_records();
    let mut bytes = fs::read(&path).expect("the file exists");
    // Damages the payload of the first record, which starts at offset 20.
    bytes[25] ^= 1;
    for damaged in [bytes, b"something else".to_vec()] {
        fs::write(&path, damaged).expect("the file is written");
        let mut opened = RecordFile::open(&path);
        assert_matches!(opened.failure, Some(StorageError::Damaged { .. }));
        assert!(opened.records.is_empty());
        assert_matches!(
            opened.file.append(&[record(5)]),
            Err(StorageError::Unusable { .. })
        );
        opened.file.replace(&[record(5)]).expect("replace succeeds");
        opened.file.append(&[record(6)]).expect("append succeeds");
        assert_eq!(RecordFile::open(&path).records, [record(5), record(6)]);
    }
}

#[test]
fn failed_replace_keeps_the_old_records_and_blocks_appends() {
    let (scratch, path) = file_with_three_records();
    let mut file = RecordFile::open(&path).file;
    // `replace` writes the new records to this path first.
    let temporary = scratch.path().join("records.tmp");
    symlink(FULL_DEVICE, &temporary).expect("the link is created");
    assert_matches!(
        file.replace(&[record(7)]),
        Err(StorageError::DiskFull { .. })
    );
    assert_matches!(
        file.append(&[record(7)]),
        Err(StorageError::Unusable { .. })
    );
    let records = RecordFile::open(&path).records;
    assert_eq!(records, [record(1), record(2), record(3)], "old records");
    fs::remove_file(&temporary).expect("the file exists");
    file.replace(&[record(8)]).expect("replace succeeds");
    assert_eq!(RecordFile::open(&path).records, [record(8)]);
}

#[test]
fn append_to_a_deleted_file_fails_until_it_is_replaced() {
    let (_scratch, path) = file_with_three_records();
    let mut file = RecordFile::open(&path).file;
    fs::remove_file(&path).expect("the file exists");
    assert_matches!(
        file.append(&[record(4)]),
        Err(StorageError::MissingFile { .. })
    );
    assert_matches!(
        file.append(&[record(4)]),
        Err(StorageError::Unusable { .. })
    );
    file.replace(&[record(4)]).expect("replace succeeds");
    assert_eq!(RecordFile::open(&path).records, [record(4)]);
}
