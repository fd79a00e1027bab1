//! Errors of the storage layer.

use std::io;
use std::path::{Path, PathBuf};

use snafu::Snafu;

/// Reason why a data folder or file couldn't be read or written.
#[derive(Debug, Snafu)]
pub enum StorageError {
    /// The operating system reported an error.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    Io {
        /// The failed operation, in words that fit between "cannot" and the path.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The disk or quota is full.
    #[snafu(display("no space left for {}: {source}", path.display()))]
    DiskFull {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Stored data is damaged. The replica must not start from it. An operator
    /// may remove the folder; the node then rejoins as a replica that lost its
    /// disk.
    #[snafu(display("{} is damaged at offset {offset}: {reason}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the damaged record in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// A file of a formatted folder is missing, a folder with data has no
    /// format file, or a log file was deleted while it was open.
    #[snafu(display("{} is missing from a folder that holds data", path.display()))]
    MissingFile {
        /// The missing file.
        path: PathBuf,
    },
    /// The folder belongs to another cluster.
    #[snafu(display("{} belongs to cluster {found}, not {expected}", path.display()))]
    WrongCluster {
        /// The folder.
        path: PathBuf,
        /// The cluster that the caller expects.
        expected: u64,
        /// The cluster that the folder belongs to.
        found: u64,
    },
    /// The folder has a layout version that this version of the software
    /// doesn't support.
    #[snafu(display("{} has the unsupported layout version {version}", path.display()))]
    UnknownVersion {
        /// The folder.
        path: PathBuf,
        /// The layout version of the folder.
        version: u32,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    FolderInUse {
        /// The folder.
        path: PathBuf,
    },
    /// An earlier write or open failed, so the content on disk is unknown. A
    /// [`LogStore`](crate::LogStore) must be opened again; a
    /// [`RecordFile`](crate::RecordFile) must be replaced.
    #[snafu(display("{} can't be written because an earlier write or open failed", path.display()))]
    Unusable {
        /// The folder or file.
        path: PathBuf,
    },
}

/// Returns a function that converts an I/O error into a [`StorageError`].
pub(crate) fn io_error(
    operation: &'static str,
    path: &Path,
) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.to_path_buf();
    move |source| match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
            StorageError::DiskFull { path, source }
        }
        _ => StorageError::Io {
            operation,
            path,
            source,
        },
    }
}
