//! Settings of the processes.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use petrellatch_core::pass_through::{WarmUpBounds, FlowRecordSettings};

/// What the settings of the record of open flows may be.
pub mod flow_record_bounds {
    use std::ops::RangeInclusive;
    use std::time::Duration;

    /// Age of the flows that are recorded.
    pub const AGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
    /// The most flows that an agent records.
    pub const MOST_FLOWS: RangeInclusive<usize> = 1..=65_536;
    /// What the records may take at a replica, in bytes.
    pub const BYTES: RangeInclusive<usize> = 65_536..=268_435_456;
    /// Replicas that keep a record, at least: with one the record is lost with it.
    pub const LEAST_KEEPERS: usize = 2;
    /// What the records may take at a replica unless it is set, in bytes.
    pub const DEFAULT_BYTES: usize = 16 * 1024 * 1024;
}

/// What every process needs, and what its role needs.
#[derive(Clone, Debug, PartialEq)]
pub struct PassThroughSettings {
    /// Name of the node, for logs.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it exchanges messages with other processes (UDP).
    pub messages: SocketAddrV4,
    /// Message addresses of some replicas of the control group.
    pub seeds: Vec<SocketAddrV4>,
    /// How long a flow may rest, or last, before it may be forgotten.
    pub flow_lifetime: Duration,
    /// The longest that a planned stop may take.
    pub stop_limit: Duration,
    /// The role.
    pub role: PassThroughRole,
}

/// The role of a process, with its addresses.
#[derive(Clone, Debug, PartialEq)]
pub enum PassThroughRole {
    /// Takes callers' packets.
    Balancer(BalancerAddresses),
    /// Beside a back end.
    Agent(AgentAddresses),
    /// Holds the configuration.
    Replica(ReplicaAddresses),
}

/// Addresses of a balancer, and what it can't observe of its link and callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerAddresses {
    /// Callers' packets (UDP). Callers get packets at the same port.
    pub packets: SocketAddrV4,
    /// Readiness (HTTP).
    pub readiness: SocketAddrV4,
    /// What the machine's link carries each way, in bytes a second; none if that
    /// is not known.
    pub link_bytes_per_second: Option<u64>,
}

/// Addresses of an agent, and what it can't observe of the back end beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentAddresses {
    /// The service of the back end.
    pub service: String,
    /// The back end's packets (UDP).
    pub from_backend: SocketAddrV4,
    /// The back end (UDP).
    pub backend: SocketAddrV4,
    /// The port at which callers get packets.
    pub caller_port: u16,
    /// The back end's registrations (HTTP).
    pub registrations: SocketAddrV4,
    /// Readiness (HTTP), if it has an address of its own.
    pub readiness: Option<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// About how often a back end registers again.
    pub registration_interval: Duration,
    /// What a back end that warms up may get.
    pub cold_bounds: WarmUpBounds,
    /// The record of open flows that replicas keep.
    pub flow_record: FlowRecordSettings,
}

/// Addresses and files of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaAddresses {
    /// Operators (HTTP). All replicas serve them at the same port.
    pub operators: SocketAddrV4,
    /// The data folder.
    pub data_folder: PathBuf,
    /// Whether the whole group starts for the first time. Its seeds found it.
    pub first_start: bool,
    /// How many machines may be lost at once.
    pub losses: usize,
    /// How many zones may be lost at once.
    pub zone_losses: usize,
    /// Regions that the group may stretch over.
    pub regions: usize,
    /// All zones, which operators may take out of service.
    pub zones: BTreeSet<String>,
    /// How much of a processor the process may use.
    pub processor_share: f64,
    /// What the records of open flows may take in memory, in bytes.
    pub flow_record_bytes: usize,
}
