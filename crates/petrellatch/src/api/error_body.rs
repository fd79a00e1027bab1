//! Error responses of the operator API.

use petrellatch_core::ErrorKind;
use serde::{Deserialize, Serialize};

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ErrorDocument {
    /// The error.
    pub error: ErrorBody,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ErrorBody {
    /// The name of the error kind; see `docs/ERRORS.md`.
    pub kind: String,
    /// A human-readable description.
    pub message: String,
    /// How long to wait before a retry of the same request, in milliseconds;
    /// absent if it must not be retried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The operator address of the leader, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// The active configuration version, for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
}

impl ErrorDocument {
    /// Creates the body for an error kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let answer = kind.response();
        let wait = answer.retry_after.filter(|_| answer.retryable);
        ErrorDocument {
            error: ErrorBody {
                kind: answer.name.to_string(),
                message: message.into(),
                retry_after_ms: wait.map(|wait| wait.as_millis() as u64),
                leader: None,
                current_version: None,
            },
        }
    }
}

/// Finds an error kind by its stable name.
pub fn kind_by_name(name: &str) -> Option<ErrorKind> {
    ErrorKind::ALL
        .into_iter()
        .find(|kind| kind.response().name == name)
}
