//! Writes to a file of records beside the replicated log.

/// A write to a file of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordFileWrite {
    /// Append these encoded records to the file, and sync it.
    Append(Vec<Vec<u8>>),
    /// Replace the contents of the file with these encoded records, and sync it.
    Replace(Vec<Vec<u8>>),
}
