//! The error kinds and the response that a client gets for each of them.

use std::time::Duration;

/// All kinds of errors that a client of petrellatch can get. A test compares
/// this list with the table in `docs/ERRORS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ErrorKind {
    /// The change was based on an older version than the current one.
    Conflict,
    /// This replica is not the leader; the response names the leader if known.
    NotLeader,
    /// No leader with a quorum is reachable; whether a change that was sent is
    /// accepted is unknown until the client resends it with the same request
    /// id.
    Unavailable,
    /// The request was refused without being executed, to protect the process
    /// from overload.
    Overloaded,
    /// The document or request is larger than allowed.
    TooLarge,
    /// The document or request is malformed or has values out of range.
    Invalid,
    /// A policy does not compile, is too costly or yields an invalid weight.
    InvalidPolicy,
    /// The named record does not exist.
    NotFound,
    /// The deadline passed before the result was known.
    DeadlineExceeded,
    /// A settings file or flag is wrong.
    InvalidSettings,
    /// An address is already in use or can't be bound.
    AddressUnavailable,
    /// Stored data fails its checksum.
    StorageDamaged,
    /// Data could not be written or synced.
    StorageFailed,
    /// A bug in the program.
    Internal,
}

/// The response that a client gets for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The name of the error kind in JSON documents and logs. It never changes.
    pub name: &'static str,
    /// The HTTP status of the operator API.
    pub http_status: u16,
    /// The exit code of the command-line program.
    pub exit_code: i32,
    /// Whether a client may send the same request again.
    pub retryable: bool,
    /// How long a client waits before it sends the request again.
    pub retry_after: Option<Duration>,
}

impl ErrorKind {
    /// All error kinds, in the order of the documentation.
    pub const ALL: [ErrorKind; 14] = [
        ErrorKind::Conflict,
        ErrorKind::NotLeader,
        ErrorKind::Unavailable,
        ErrorKind::Overloaded,
        ErrorKind::TooLarge,
        ErrorKind::Invalid,
        ErrorKind::InvalidPolicy,
        ErrorKind::NotFound,
        ErrorKind::DeadlineExceeded,
        ErrorKind::InvalidSettings,
        ErrorKind::AddressUnavailable,
        ErrorKind::StorageDamaged,
        ErrorKind::StorageFailed,
        ErrorKind::Internal,
    ];

    /// Returns the response that a client gets for this error kind.
    pub const fn response(self) -> ErrorResponse {
        const SOON: Option<Duration> = Some(Duration::from_millis(250));
        const LATER: Option<Duration> = Some(Duration::from_secs(1));
        match self {
            ErrorKind::Conflict => response("conflict", 409, 3, false, None),
            ErrorKind::NotLeader => response("not_leader", 421, 4, true, SOON),
            ErrorKind::Unavailable => response("unavailable", 503, 5, true, LATER),
            ErrorKind::Overloaded => response("overloaded", 429, 6, true, LATER),
            ErrorKind::TooLarge => response("too_large", 413, 7, false, None),
            ErrorKind::Invalid => response("invalid", 400, 8, false, None),
            ErrorKind::InvalidPolicy => response("invalid_policy", 422, 9, false, None),
            ErrorKind::NotFound => response("not_found", 404, 10, false, None),
            ErrorKind::DeadlineExceeded => response("deadline_exceeded", 504, 11, true, SOON),
            ErrorKind::InvalidSettings => response("invalid_settings", 500, 2, false, None),
            ErrorKind::AddressUnavailable => response("address_unavailable", 500, 12, false, None),
            ErrorKind::StorageDamaged => response("storage_damaged", 500, 13, false, None),
            ErrorKind::StorageFailed => response("storage_failed", 507, 14, false, None),
            ErrorKind::Internal => response("internal", 500, 1, false, None),
        }
    }
}

const fn response(
    name: &'static str,
    http_status: u16,
    exit_code: i32,
    retryable: bool,
    retry_after: Option<Duration>,
) -> ErrorResponse {
    ErrorResponse {
        name,
        http_status,
        exit_code,
        retryable,
        retry_after,
    }
}
