//! Flows that are passed through: balancers and agents hand the packets of a
//! flow to a back end that ends the flow itself, and its answers go straight
//! to the caller.
//!
//! Beside the tier that ends callers' flows (`agent_node`), this one needs no
//! leases: a flow opens only at the back end whose sequence number the caller
//! acknowledges, so two back ends that answer one opening packet are harmless,
//! and the back end itself knows which flows it has.
//!
//! * A [`PassThroughBalancer`] chooses the agent of a new flow and remembers
//!   it as a hint that may be lost.
//! * A [`PassThroughAgent`] admits to the back end beside it, by its exact
//!   load and by what the back end said of itself.
//! * A [`ConfigurationNode`] is a replica of the group that holds the
//!   configuration, and passes on which agents there are.

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

pub use admission::cold_admission::WarmUpBounds;
pub use admission::registration::{Registration, RegistrationRefusal};
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
pub use group::flow_record_store::{FlowRecordStoreStats, FlowRecordWrite};
pub use group::known_replicas::KnownReplicas;
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
