//! Settings of the processes of the pass-through tier.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use petrellatch_core::pass_through::{FlowRecordSettings, WarmUpBounds};

/// Permitted values of the flow record settings.
pub mod flow_record_bounds {
    use std::ops::RangeInclusive;
    use std::time::Duration;

    /// Permitted minimum ages of a recorded flow. Zero disables recording.
    pub const MIN_FLOW_AGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
    /// Permitted maximum numbers of flows that an agent records.
    pub const MAX_FLOWS: RangeInclusive<usize> = 1..=65_536;
    /// Permitted memory limits of the records at a replica, in bytes.
    pub const MAX_BYTES: RangeInclusive<usize> = 65_536..=268_435_456;
    /// Minimum number of replicas that keep a record. With a single replica the record
    /// would be lost together with it.
    pub const MIN_RECORD_REPLICAS: usize = 2;
    /// Default memory limit of the records at a replica, in bytes.
    pub const DEFAULT_MAX_BYTES: usize = 16 * 1024 * 1024;
}

/// Settings of a process: those of every role, and those of its own role.
#[derive(Clone, Debug, PartialEq)]
pub struct PassThroughSettings {
    /// Name of the node, used in logs.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address for messages between processes (UDP).
    pub message_address: SocketAddrV4,
    /// Message addresses of some replicas of the replica group.
    pub seeds: Vec<SocketAddrV4>,
    /// How long a flow may be idle before its state may be dropped. It is also the
    /// maximum lifetime of a flow: an agent that has run for longer knows all flows of
    /// its back end.
    pub flow_ttl: Duration,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
    /// Role of the process, with its settings.
    pub role: PassThroughRole,
}

/// The role of a process, with the settings of this role.
#[derive(Clone, Debug, PartialEq)]
pub enum PassThroughRole {
    /// Receives callers' packets and forwards them to agents.
    Balancer(BalancerRoleSettings),
    /// Runs beside a back end, admits flows and delivers their packets to it.
    Agent(AgentRoleSettings),
    /// Stores the configuration as a member of the replica group.
    Replica(ReplicaRoleSettings),
}

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerRoleSettings {
    /// Address that receives callers' packets (UDP). Packets to callers are sent to the
    /// same port number.
    pub packet_address: SocketAddrV4,
    /// Address that serves the readiness (HTTP).
    pub readiness_address: SocketAddrV4,
    /// Capacity of the machine's link in each direction, in bytes per second, if known.
    pub link_bytes_per_second: Option<u64>,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentRoleSettings {
    /// Service of the back end.
    pub service: String,
    /// Address that receives packets from the back end (UDP).
    pub backend_packet_address: SocketAddrV4,
    /// Address of the back end, to which packets are delivered (UDP).
    pub backend_address: SocketAddrV4,
    /// Port number to which packets to callers are sent.
    pub caller_port: u16,
    /// Address that receives the back end's registrations (HTTP).
    pub registration_address: SocketAddrV4,
    /// Address that serves the readiness (HTTP), if it is not the registration address.
    pub readiness_address: Option<SocketAddrV4>,
    /// Whether the whole system, and not only this process, starts for the first time.
    pub first_start: bool,
    /// Usual interval between registrations of the back end.
    pub registration_interval: Duration,
    /// Limits of the flow rate of a back end during warm-up.
    pub warm_up_bounds: WarmUpBounds,
    /// Settings of the flow record that replicas keep for the agent.
    pub flow_record: FlowRecordSettings,
}

/// Settings of a configuration replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaRoleSettings {
    /// Address that serves operators (HTTP). All replicas use the same port number.
    pub operator_address: SocketAddrV4,
    /// Folder of the log and the other files.
    pub data_folder: PathBuf,
    /// Whether the whole replica group starts for the first time. The seeds are its
    /// founding members.
    pub first_start: bool,
    /// Number of replicas that may be lost at the same time.
    pub max_lost_replicas: usize,
    /// Number of zones that may be lost at the same time.
    pub max_lost_zones: usize,
    /// Number of regions that the replica group may span.
    pub region_count: usize,
    /// Names of all zones, which operators may evacuate.
    pub zones: BTreeSet<String>,
    /// Fraction of a CPU that the process may use.
    pub cpu_quota: f64,
    /// Memory limit of the flow records, in bytes.
    pub max_flow_record_bytes: usize,
}
