//! The keys of the settings file with their permitted values.

use std::ops::RangeInclusive;

/// Permitted values of `timing.heartbeat_milliseconds`.
pub const HEARTBEAT_MILLISECONDS: RangeInclusive<u64> = 50..=10_000;
/// Permitted values of `timing.lease_milliseconds`.
pub const LEASE_MILLISECONDS: RangeInclusive<u64> = 500..=60_000;
/// Permitted values of `timing.election_milliseconds`.
pub const ELECTION_MILLISECONDS: RangeInclusive<u64> = 100..=10_000;
/// Permitted values of `timing.stop_seconds`.
pub const STOP_SECONDS: RangeInclusive<u64> = 1..=86_400;
/// Permitted values of `limits.operator_requests`.
pub const OPERATOR_REQUESTS: RangeInclusive<u64> = 1..=1_024;
/// Permitted values of `limits.receive_buffer_bytes`.
pub const RECEIVE_BUFFER_BYTES: RangeInclusive<u64> = 65_536..=67_108_864;

/// A key with its permitted values and its default.
#[derive(Clone, Copy, Debug)]
pub struct KeyDescription {
    /// The key with its section, such as `node.zone`.
    pub key: &'static str,
    /// Description of the permitted values.
    pub allowed: &'static str,
    /// The default value; empty if the key has none.
    pub default: &'static str,
}

const ADDRESS: &str = "an IPv4 address and port such as 127.0.0.1:7400";
const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";

const fn key(key: &'static str, allowed: &'static str, default: &'static str) -> KeyDescription {
    KeyDescription {
        key,
        allowed,
        default,
    }
}

/// All keys, in the order in which they are documented.
pub const KEYS: &[KeyDescription] = &[
    key("node.name", NAME, ""),
    key("node.zone", NAME, ""),
    key("node.data_folder", "the path of a folder", ""),
    key(
        "cluster.key_file",
        "the path of a file with 32 hexadecimal digits",
        "",
    ),
    key("cluster.replicas.name", NAME, ""),
    key("cluster.replicas.control", ADDRESS, ""),
    key("cluster.replicas.operator", ADDRESS, ""),
    key(
        "cluster.replicas",
        "1, 3 or 5 tables with name, control and operator",
        "",
    ),
    key("addresses.control", ADDRESS, "127.0.0.1:0"),
    key("addresses.data", ADDRESS, "127.0.0.1:0"),
    key("addresses.admin", ADDRESS, "127.0.0.1:0"),
    key("addresses.operator", ADDRESS, "127.0.0.1:0"),
    key("addresses.fabric", ADDRESS, ""),
    key("platform.list_url", "a URL that begins with http://", ""),
    key("backends.health_path", "a path that begins with /", ""),
    key(
        "timing.heartbeat_milliseconds",
        "a whole number from 50 to 10000",
        "1000",
    ),
    key(
        "timing.lease_milliseconds",
        "a whole number from 500 to 60000, at least three heartbeats",
        "6000",
    ),
    key(
        "timing.election_milliseconds",
        "a whole number from 100 to 10000",
        "1000",
    ),
    key(
        "timing.stop_seconds",
        "a whole number from 1 to 86400",
        "3600",
    ),
    key(
        "limits.operator_requests",
        "a whole number from 1 to 1024",
        "64",
    ),
    key(
        "limits.receive_buffer_bytes",
        "a whole number from 65536 to 67108864",
        "4194304",
    ),
    key("log.format", "\"terminal\" or \"json\"", "\"terminal\""),
    key(
        "log.level",
        "\"debug\", \"info\", \"warning\" or \"error\"",
        "\"info\"",
    ),
];

/// Returns the description of the permitted values of a key; empty for an unknown key.
pub fn allowed(key: &str) -> &'static str {
    KEYS.iter()
        .find(|description| description.key == key)
        .map_or("", |description| description.allowed)
}
