//! The pass-through tier: balancers forward the packets of a flow to an agent, which delivers
//! them to a back end that terminates the flow itself. The back end's packets go from the agent
//! straight to the caller.
//!
//! Unlike the tier that terminates callers' flows (`agent_node`), this one needs no leases. A
//! flow is established only at the back end whose sequence number the caller acknowledges, so
//! SYN-ACKs of two back ends for one SYN do no harm, and each back end is the authority on
//! which flows it owns.
//!
//! * A [`PassThroughBalancer`] chooses the agent of a new flow and keeps the choice in a flow
//!   cache, which may be lost.
//! * A [`PassThroughAgent`] admits new flows to its back end, by the exact load and by what the
//!   back end has registered.
//! * A [`ConfigurationNode`] is a replica of the group that holds the configuration. It also
//!   distributes the directory of agents.

mod admission;
mod agent;
mod balancer;
mod choice;
mod configuration_node;
mod digest;
mod flows;
mod group;
mod latency;
mod link;
mod output;
mod packet;
mod policies;
mod routes;

pub use admission::registration::{Registration, RegistrationRefusal};
pub use admission::warm_up_limiter::WarmUpBounds;
pub use agent::{
    PassThroughAgent, PassThroughAgentCounters, PassThroughAgentLatencies, PassThroughAgentSettings,
};
pub use balancer::{
    PassThroughBalancer, PassThroughBalancerCounters, PassThroughBalancerLatencies,
    PassThroughBalancerSettings,
};
pub use configuration_node::{
    ConfigurationNode, ConfigurationNodeLatencies, ConfigurationNodeSettings, ConfigurationOutput,
    ConfigurationRequest, ConfigurationResponse, ZoneCommandRefusal, address_of_node_id,
    node_id_of_address,
};
pub use digest::{backend_digest, service_digest};
pub use flows::flow_record_recovery::RecoveryOutcome;
pub use flows::flow_recorder::{FlowRecordSettings, FlowRecorderStats};
pub use group::evacuations::Evacuations;
pub use group::flow_record_store::FlowRecordStoreStats;
pub use group::known_replicas::KnownReplicas;
pub use group::record_file_write::RecordFileWrite;
pub use latency::LatencyHistogram;
pub use link::link_queue::LinkCounters;
pub use output::PassThroughOutput;
pub use packet::{FlowId, PacketCodec, PacketView};
pub use policies::active_policies::PolicyStats;
pub use policies::placement_policies::{
    MAX_PLACEMENT_POLICIES, MAX_POLICY_BYTES, PlacementPolicies, PolicyRefusal,
};
pub use policies::policy_check::{ExplainedBackend, ExplainedPolicy};
pub use routes::configuration::{Configuration, ConfigurationError};
pub use routes::route_table::{RequestClass, RouteTable};
