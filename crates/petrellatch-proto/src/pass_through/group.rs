//! Messages between replicas and daemons: who is a member, and who asks for news.

use super::{PolicySet, ZoneStatuses};

/// Where a replica runs. The leader chooses members of the group by it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaZone {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
}

/// A balancer asks for news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Subscribe {
    /// Life of the balancer.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The configuration that it has; zero for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// If not zero, asks the leader for a [`VersionConfirmed`] with this number.
    #[prost(uint64, tag = "3")]
    pub confirmation_id: u64,
    /// The balancer leaves and wants no more news.
    #[prost(bool, tag = "4")]
    pub unsubscribe: bool,
    /// The revision of the directory that it has from this replica.
    #[prost(uint64, tag = "5")]
    pub directory_revision: u64,
    /// It wants what it lacks of the configuration. It asks one replica only.
    #[prost(bool, tag = "6")]
    pub wants_configuration: bool,
    /// It wants the directory and each change of it and of the configuration
    /// from now on.
    #[prost(bool, tag = "7")]
    pub wants_updates: bool,
    /// [`super::ZoneStatuses::index`] as the balancer knows it.
    #[prost(uint64, tag = "8")]
    pub evacuations_index: u64,
    /// Another replica asks which agents the receiver remembers.
    #[prost(bool, tag = "9")]
    pub wants_saved_agents: bool,
    /// [`PolicySet::index`] as the balancer knows it.
    #[prost(uint64, tag = "10")]
    pub policies_index: u64,
}

/// The replicas of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupStatus {
    /// Their addresses.
    #[prost(fixed64, repeated, tag = "1")]
    pub replicas: Vec<u64>,
    /// Index of the membership, which only grows.
    #[prost(uint64, tag = "2")]
    pub membership_index: u64,
    /// The version of the configuration that the sender has.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The revision of the sender's directory. Revisions of different lives
    /// and replicas differ.
    #[prost(uint64, tag = "4")]
    pub directory_revision: u64,
    /// To an agent: what former lives of it reported as
    /// [`super::Report::draining_backends`].
    #[prost(fixed64, repeated, tag = "5")]
    pub draining_backends: Vec<u64>,
    /// Whether the sender hears a leader, or is one, and so has news in time.
    #[prost(bool, tag = "6")]
    pub has_leader: bool,
    /// The leader as the sender knows it; zero for none.
    #[prost(fixed64, tag = "7")]
    pub leader: u64,
    /// To an agent: the time between two reports that the sender bears, in
    /// milliseconds. It grows with the number of agents.
    #[prost(uint32, tag = "8")]
    pub report_interval_millis: u32,
    /// Whether the sender's directory has every agent that runs: it has listened
    /// for as long as agents take to report, or took a whole directory over.
    #[prost(bool, tag = "9")]
    pub directory_is_complete: bool,
    /// To an agent: whether the sender has heard of a former life at its address.
    #[prost(bool, tag = "10")]
    pub knows_previous_incarnation: bool,
    /// To an agent: whether the sender has heard a report of its present life.
    #[prost(bool, tag = "11")]
    pub has_report: bool,
    /// The orders about zones, if the receiver may not know of the latest one.
    #[prost(message, optional, tag = "12")]
    pub zones: Option<ZoneStatuses>,
    /// To an agent: the number of the report that is answered.
    #[prost(uint64, tag = "13")]
    pub acknowledged_report: u64,
    /// To an agent: whether the sender has saved for its next lives that there is
    /// this agent.
    #[prost(bool, tag = "14")]
    pub agent_is_saved: bool,
    /// To an agent: the sender has not heard it in its present life.
    #[prost(bool, tag = "15")]
    pub wants_report: bool,
    /// To a replica that asked for it: some of the agents that the sender remembers.
    #[prost(fixed64, repeated, tag = "16")]
    pub saved_agents: Vec<u64>,
    /// How many these are in all.
    #[prost(uint32, tag = "17")]
    pub saved_agent_count: u32,
    /// To a balancer: the placement policies, if it may not know of the latest change.
    #[prost(message, optional, tag = "18")]
    pub policies: Option<PolicySet>,
}

/// The daemons that a replica remembers from one life to the next, to tell them
/// where the group is. It may be old, and is never more than a hint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SavedDaemons {
    /// Addresses of balancers that were attached to the replica.
    #[prost(fixed64, repeated, tag = "1")]
    pub balancers: Vec<u64>,
    /// Addresses of agents that reported to it.
    #[prost(fixed64, repeated, tag = "2")]
    pub agents: Vec<u64>,
}

/// A quorum confirmed that this was the newest version after the question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionConfirmed {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub confirmation_id: u64,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The orders about zones at that time, if there was ever one.
    #[prost(message, optional, tag = "3")]
    pub zones: Option<ZoneStatuses>,
    /// The placement policies at that time, if there was ever one.
    #[prost(message, optional, tag = "4")]
    pub policies: Option<PolicySet>,
}
