//! Whether an acknowledgement number belongs to a known connection, and not to another one
//! between the same endpoints.
//!
//! The other connection has another initial sequence number, which is likely to be far away. So
//! the comparison is a hint: a number that is close may belong to the other connection, and one
//! that is far away to a part of this connection that wasn't seen.

/// Distance in bytes from the known part of a connection within which a number is close.
const SEQUENCE_WINDOW: u32 = 1 << 22;

/// The part of a back end's sequence numbers that is known of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownSequence {
    /// Initial sequence number.
    pub(crate) initial: u32,
    /// The latest number that the caller is known to have acknowledged. It moves on with the
    /// connection, and wraps.
    pub(crate) latest: u32,
}

impl KnownSequence {
    /// Whether a caller's acknowledgement number is likely to belong to the connection.
    pub(crate) fn is_close(&self, acknowledged: u32) -> bool {
        let known_advance = self.latest.wrapping_sub(self.initial);
        let advance = acknowledged.wrapping_sub(self.initial);
        is_ahead(self.latest, acknowledged)
            || advance < known_advance.saturating_add(SEQUENCE_WINDOW)
    }
}

/// Whether `later` is at most [`SEQUENCE_WINDOW`] ahead of `earlier`.
pub(crate) fn is_ahead(later: u32, earlier: u32) -> bool {
    later.wrapping_sub(earlier) < SEQUENCE_WINDOW
}

#[cfg(test)]
mod tests;
