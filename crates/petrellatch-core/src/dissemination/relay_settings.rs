//! Settings of a [`Relay`](super::Relay).

use std::time::Duration;

/// Limits of what a relay holds and sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Most children served at once; further subscriptions are not answered,
    /// so that the child tries another parent.
    pub child_limit: usize,
    /// Bytes of updates and snapshots sent per second, over all children.
    pub push_bytes_per_second: u64,
    /// Bytes that may be sent at once after an idle time.
    pub push_burst_bytes: u64,
    /// Most deltas kept of a small view.
    pub delta_limit: usize,
    /// Most encoded bytes of deltas kept of a small view.
    pub delta_bytes_limit: usize,
    /// Most deltas kept of a view with more records than `delta_limit`; never
    /// more than it has records, since a snapshot is smaller then.
    pub large_delta_limit: usize,
    /// Most encoded bytes of deltas kept of such a view.
    pub large_delta_bytes_limit: usize,
    /// A child that sent nothing for so long is forgotten.
    pub child_silence_limit: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        RelaySettings {
            child_limit: 1_024,
            push_bytes_per_second: 1_000_000,
            push_burst_bytes: 64_000,
            delta_limit: 1_024,
            delta_bytes_limit: 1_000_000,
            large_delta_limit: 16_384,
            large_delta_bytes_limit: 4_000_000,
            child_silence_limit: Duration::from_secs(10),
        }
    }
}
