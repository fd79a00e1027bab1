//! Messages between replicas and daemons: membership of the replica group, and
//! subscriptions to updates.

use super::{PolicySet, ZoneStatuses};

/// Zone of a replica. The leader takes it into account when it selects members.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaZone {
    /// Name of the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
}

/// A balancer's poll for updates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    /// Incarnation of the balancer.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Configuration version that the balancer has; zero for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// If not zero, requests a [`VersionConfirmed`] with this identifier from the leader.
    #[prost(uint64, tag = "3")]
    pub confirmation_id: u64,
    /// Ends the subscription.
    #[prost(bool, tag = "4")]
    pub unsubscribe: bool,
    /// Revision of this replica's directory that the balancer has.
    #[prost(uint64, tag = "5")]
    pub directory_revision: u64,
    /// Requests missing parts of the configuration. A balancer requests them from one replica
    /// only.
    #[prost(bool, tag = "6")]
    pub wants_configuration: bool,
    /// Requests the directory, and each further change of it and of the configuration.
    #[prost(bool, tag = "7")]
    pub wants_updates: bool,
    /// Latest [`super::ZoneStatuses::index`] that the balancer has received.
    #[prost(uint64, tag = "8")]
    pub evacuations_index: u64,
    /// Set by another replica: requests the receiver's saved agents.
    #[prost(bool, tag = "9")]
    pub wants_saved_agents: bool,
    /// Latest [`PolicySet::index`] that the balancer has received.
    #[prost(uint64, tag = "10")]
    pub policies_index: u64,
}

/// Members of the replica group, and the state of the sending replica.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupStatus {
    /// Addresses of the members.
    #[prost(fixed64, repeated, tag = "1")]
    pub replicas: Vec<u64>,
    /// Log index of the membership; it never decreases.
    #[prost(uint64, tag = "2")]
    pub membership_index: u64,
    /// Configuration version of the sender.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Revision of the sender's directory. Revisions of different replicas and incarnations
    /// differ.
    #[prost(uint64, tag = "4")]
    pub directory_revision: u64,
    /// To an agent: [`super::Report::draining_backends`] of its previous incarnations.
    #[prost(fixed64, repeated, tag = "5")]
    pub draining_backends: Vec<u64>,
    /// Whether the sender is the leader or has contact to it, and so receives updates in time.
    #[prost(bool, tag = "6")]
    pub has_leader: bool,
    /// Address of the leader, if the sender knows it; otherwise zero.
    #[prost(fixed64, tag = "7")]
    pub leader: u64,
    /// To an agent: the interval between reports that the sender can handle, in milliseconds.
    /// It grows with the number of agents.
    #[prost(uint32, tag = "8")]
    pub report_interval_millis: u32,
    /// Whether the sender's directory contains every running agent: the sender has waited for
    /// as long as agents take to report, or has copied a complete directory.
    #[prost(bool, tag = "9")]
    pub directory_is_complete: bool,
    /// To an agent: whether the sender knows a previous incarnation at the agent's address.
    #[prost(bool, tag = "10")]
    pub knows_previous_incarnation: bool,
    /// To an agent: whether the sender has received a report of the agent's current incarnation.
    #[prost(bool, tag = "11")]
    pub has_report: bool,
    /// Zone statuses, if the receiver may not have the latest ones.
    #[prost(message, optional, tag = "12")]
    pub zones: Option<ZoneStatuses>,
    /// To an agent: sequence number of the report that this message acknowledges.
    #[prost(uint64, tag = "13")]
    pub acknowledged_report: u64,
    /// To an agent: whether the sender has saved the agent's address on disk.
    #[prost(bool, tag = "14")]
    pub agent_is_saved: bool,
    /// To an agent: requests a report, as the sender has received none since its own start.
    #[prost(bool, tag = "15")]
    pub wants_report: bool,
    /// To a replica that requested it: some of the sender's saved agents.
    #[prost(fixed64, repeated, tag = "16")]
    pub saved_agents: Vec<u64>,
    /// Total number of the sender's saved agents.
    #[prost(uint32, tag = "17")]
    pub saved_agent_count: u32,
    /// To a balancer: the placement policies, if it may not have the latest ones.
    #[prost(message, optional, tag = "18")]
    pub policies: Option<PolicySet>,
    /// To an agent: [`super::Report::serving_backend`] of its previous incarnation, if any back
    /// ends are draining.
    #[prost(fixed64, tag = "19")]
    pub serving_backend: u64,
    /// To an agent: what the sender knows of `draining_backends`.
    #[prost(message, optional, boxed, tag = "20")]
    pub departures: Option<Box<DepartureStatus>>,
    /// To an agent: whether the sender remembers every agent that has reported to it within the
    /// lifetime of a flow. A replica that restarted can't say so for that time.
    #[prost(bool, tag = "23")]
    pub remembers_agents: bool,
    /// To an agent: the incarnation of the agent that this message is for; zero if it is for any.
    #[prost(fixed64, tag = "24")]
    pub agent_incarnation: u64,
}

/// Replica to agent: the departures of back ends that the replica knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DepartureStatus {
    /// Time since the replica knows of each of [`GroupStatus::draining_backends`], in
    /// milliseconds.
    #[prost(uint32, repeated, tag = "1")]
    pub ages_millis: Vec<u32>,
    /// Those of [`GroupStatus::draining_backends`] that the replica has synced to its disk.
    #[prost(fixed64, repeated, tag = "2")]
    pub saved: Vec<u64>,
    /// Whether the replica's disk has every departure that was ever reported to it and may still
    /// matter. A replica that lost its disk can't say so for some time.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// See [`super::DepartureRequest::probe_packet`].
    #[prost(bytes = "vec", tag = "4")]
    pub probe_packet: Vec<u8>,
}

/// Replica's file of departures: one record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SavedDepartures {
    /// Address of the agent; zero in the record that marks the file as complete.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Digest of the agent's service.
    #[prost(fixed64, tag = "2")]
    pub service: u64,
    /// Digests of back end incarnations that have left, the latest last.
    #[prost(fixed64, repeated, tag = "3")]
    pub backends: Vec<u64>,
    /// Whether the file has every departure that was reported to the replica.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
    /// See [`super::DepartureRequest::probe_packet`].
    #[prost(bytes = "vec", tag = "5")]
    pub probe_packet: Vec<u8>,
}

/// Daemons that a replica saves on disk, to send them the group's addresses after a
/// restart. The list may be outdated and is used only as a hint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SavedDaemons {
    /// Addresses of balancers that were subscribed to the replica.
    #[prost(fixed64, repeated, tag = "1")]
    pub balancers: Vec<u64>,
    /// Addresses of agents that reported to the replica.
    #[prost(fixed64, repeated, tag = "2")]
    pub agents: Vec<u64>,
}

/// Result of a quorum read: the newest version at a time after the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionConfirmed {
    /// See [`Subscribe::confirmation_id`].
    #[prost(uint64, tag = "1")]
    pub confirmation_id: u64,
    /// Configuration version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Zone statuses at that time, if any zone command was ever applied.
    #[prost(message, optional, tag = "3")]
    pub zones: Option<ZoneStatuses>,
    /// Placement policies at that time, if any change was ever applied.
    #[prost(message, optional, tag = "4")]
    pub policies: Option<PolicySet>,
}
