//! What can go wrong with files.

use std::io;
use std::path::{Path, PathBuf};

use snafu::Snafu;

/// Why a data folder or file couldn't be read or written.
#[derive(Debug, Snafu)]
pub enum StorageError {
    /// The operating system reported an error.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    Io {
        /// What was being done, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The disk or quota is full.
    #[snafu(display("no space left for {}: {source}", path.display()))]
    DiskFull {
        /// The file.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// Stored data is damaged. The replica must not start from it; an
    /// operator may remove the folder, and the node comes back as a replica
    /// that lost its disk.
    #[snafu(display("{} is damaged at offset {offset}: {reason}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damaged record begins, in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A file of a formatted folder is gone, a folder with data has lost its
    /// format file, or the log was deleted while it was open.
    #[snafu(display("{} is missing from a folder that holds data", path.display()))]
    MissingFile {
        /// The file.
        path: PathBuf,
    },
    /// The folder belongs to another cluster.
    #[snafu(display("{} belongs to cluster {found}, not {expected}", path.display()))]
    WrongCluster {
        /// The folder.
        path: PathBuf,
        /// The cluster that was asked for.
        expected: u64,
        /// The cluster that the folder belongs to.
        found: u64,
    },
    /// The folder was written by another version of the software.
    #[snafu(display("{} has the unknown layout version {version}", path.display()))]
    UnknownVersion {
        /// The folder.
        path: PathBuf,
        /// The version found.
        version: u32,
    },
    /// Another process uses the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    FolderInUse {
        /// The folder.
        path: PathBuf,
    },
    /// An earlier write failed; what is on disk is known again only after the
    /// folder is opened anew.
    #[snafu(display("an earlier write to {} failed; open it again", path.display()))]
    Unusable {
        /// The folder.
        path: PathBuf,
    },
}

/// Turns an error of the operating system into a [`StorageError`].
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
