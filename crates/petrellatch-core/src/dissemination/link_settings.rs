//! Settings of a [`DaemonLink`](super::DaemonLink).

use std::net::SocketAddrV4;
use std::time::Duration;

use super::relay_settings::RelaySettings;

/// Time between two heartbeats of a daemon.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two heartbeats that a daemon sends ahead of time, and
/// the time over which a relay combines heartbeats.
pub const HEARTBEAT_COMBINE_INTERVAL: Duration = Duration::from_millis(200);

/// Deliberate faults for the lab. Each breaks a guarantee, so that tests can
/// show that the checkers notice. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisseminationMutations {
    /// Updates and snapshots of older versions are applied too.
    pub apply_older_versions: bool,
    /// A daemon takes its stored or empty view for current at start.
    pub skip_current_check: bool,
    /// A lease counts from the arrival of the answer, not from the sending of
    /// the heartbeat.
    pub lease_from_arrival: bool,
}

/// How a daemon keeps in touch with the control group.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Control addresses of the control replicas, the last resort for parents.
    pub controls: Vec<SocketAddrV4>,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// A parent that gave no answer to heartbeats for so long is left.
    pub parent_silence_limit: Duration,
    /// The first request is sent within this time after the start, at random.
    pub start_jitter: Duration,
    /// Greatest delay before the first repetition of a request.
    pub retry_base: Duration,
    /// Greatest delay before any repetition of a request.
    pub retry_limit: Duration,
    /// Whether this daemon serves children; balancers do.
    pub relay: Option<RelaySettings>,
    /// Deliberate faults for the lab.
    pub mutations: DisseminationMutations,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            controls: Vec::new(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            parent_silence_limit: Duration::from_secs(3),
            start_jitter: Duration::from_millis(250),
            retry_base: Duration::from_millis(400),
            retry_limit: Duration::from_secs(4),
            relay: None,
            mutations: DisseminationMutations::default(),
        }
    }
}
