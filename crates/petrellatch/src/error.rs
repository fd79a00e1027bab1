//! Errors of the programs.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use petrellatch_core::ErrorKind;
use petrellatch_storage::StorageError;
use snafu::Snafu;

use crate::settings::SettingsProblem;

/// Why a program failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ProgramError {
    /// The command line is invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// The problem.
        message: String,
    },
    /// The settings are invalid; every problem is listed.
    #[snafu(display("{}", join_lines(problems)))]
    Settings {
        /// All problems.
        problems: Vec<SettingsProblem>,
    },
    /// An address can't be bound.
    #[snafu(display("can't open {address} for {purpose}: {source}"))]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP server can't be started.
    #[snafu(display("can't open {address} for {purpose}: {message}"))]
    BindHttp {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddrV4,
        /// The reason.
        message: String,
    },
    /// The data folder can't be used.
    #[snafu(display("can't use {}: {source}", path.display()))]
    DataFolder {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The replica's data folder can't be read or written.
    #[snafu(display("{source}"))]
    Storage {
        /// The problem.
        source: StorageError,
    },
    /// Stored data is damaged.
    #[snafu(display("{}: {message}", path.display()))]
    Damaged {
        /// The file or folder.
        path: PathBuf,
        /// The problem.
        message: String,
    },
    /// The event loop or a thread of the program can't continue.
    #[snafu(display("can't {action}: {source}"))]
    System {
        /// What was attempted.
        action: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The system refused a request of an operator, or could not be reached.
    #[snafu(display("{}: {message}", kind.response().name))]
    Request {
        /// The kind.
        kind: ErrorKind,
        /// The explanation.
        message: String,
    },
}

impl ProgramError {
    /// Returns the kind, which decides the exit code.
    pub fn kind(&self) -> ErrorKind {
        match self {
            ProgramError::Usage { .. } | ProgramError::Settings { .. } => {
                ErrorKind::InvalidSettings
            }
            ProgramError::Bind { .. } | ProgramError::BindHttp { .. } => {
                ErrorKind::AddressUnavailable
            }
            ProgramError::DataFolder { .. } => ErrorKind::StorageFailed,
            ProgramError::Storage { source } => storage_kind(source),
            ProgramError::Damaged { .. } => ErrorKind::StorageDamaged,
            ProgramError::System { .. } => ErrorKind::Internal,
            ProgramError::Request { kind, .. } => *kind,
        }
    }
}

fn storage_kind(error: &StorageError) -> ErrorKind {
    match error {
        StorageError::Damaged { .. } | StorageError::MissingFile { .. } => {
            ErrorKind::StorageDamaged
        }
        StorageError::WrongCluster { .. } | StorageError::UnknownVersion { .. } => {
            ErrorKind::InvalidSettings
        }
        StorageError::Io { .. }
        | StorageError::DiskFull { .. }
        | StorageError::FolderInUse { .. }
        | StorageError::Unusable { .. } => ErrorKind::StorageFailed,
    }
}

fn join_lines(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
