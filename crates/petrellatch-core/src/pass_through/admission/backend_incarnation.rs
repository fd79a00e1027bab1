//! Identity of one incarnation of a back end.

use crate::pass_through::digest::backend_digest;

/// One incarnation of a back end. The next one may have the same name, but shares nothing else
/// with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BackendIncarnation {
    pub(super) id: String,
    /// Start time in milliseconds of the back end's own clock, if it is reported.
    pub(super) started_at_millis: Option<u64>,
}

impl BackendIncarnation {
    pub(super) fn digest(&self) -> u64 {
        backend_digest(&self.id, self.started_at_millis)
    }

    /// Digest of its name alone.
    pub(super) fn name_digest(&self) -> u64 {
        backend_digest(&self.id, None)
    }

    /// Whether it started after another one; `None` unless both report a start time.
    pub(super) fn started_after(&self, other: &BackendIncarnation) -> Option<bool> {
        Some(self.started_at_millis? > other.started_at_millis?)
    }
}
