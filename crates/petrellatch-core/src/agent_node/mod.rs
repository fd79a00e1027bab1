//! The agent: the process beside one or more back ends.
//!
//! [`AgentNode`] joins the link to the control group, the admission of new
//! flows and the open flows. It is told of control messages, of datagrams with
//! caller packets and of what happens on the connections to back ends; it
//! answers with [`AgentOutput`] values, which its driver carries out.
//!
//! Guarantees:
//!
//! - bytes of a flow go to one back end only, and a caller gets bytes of that
//!   back end only;
//! - a packet is used only for the service whose address it carries, and only
//!   if it is meant for this life of the agent;
//! - the caller's connection is accepted only after the connection to the back
//!   end came about, so that a flow whose back end can't be reached can still
//!   go to another one;
//! - a flow is refused as not run only if no byte of it was handed over to the
//!   back end; after that it is reset;
//! - an agent that leaves admits nothing and serves its flows to their end.
//!
//! ```
//! use petrellatch_core::agent_node::{AgentNode, AgentSettings};
//! use petrellatch_core::identity::{Incarnation, NodeId};
//! use petrellatch_core::node::NodeIdentity;
//! use petrellatch_core::Timestamp;
//! use petrellatch_proto::record::NodeRole;
//!
//! let identity = NodeIdentity {
//!     name: "agent-1".to_owned(),
//!     node: NodeId::from_name("agent-1"),
//!     incarnation: Incarnation(7),
//!     zone: "zone-a".to_owned(),
//!     role: NodeRole::Agent,
//!     control: "127.0.0.1:7001".parse().unwrap(),
//!     data: "127.0.0.1:7002".parse().unwrap(),
//! };
//! let settings = AgentSettings::default();
//! let mut agent = AgentNode::new(Timestamp::ZERO, settings, identity, 1, None);
//! agent.begin_stop(Timestamp::from_millis(5));
//! while let Some(output) = agent.poll_output() {
//!     // The driver carries it out.
//!     drop(output);
//! }
//! ```

mod admit;
mod agent_counters;
mod agent_directory;
mod agent_output;
mod agent_settings;
mod backend_events;
mod control_messages;
mod ended_flows;
mod flow_activity;
mod flow_table;
mod hunts;
mod local_backend;
mod maintenance;
mod node;
mod open_flow;
mod packets;
mod probes;
mod refused_hunts;
mod service_state;
mod view_changes;

#[cfg(test)]
mod tests;

pub use agent_counters::AgentCounters;
pub use agent_output::{AgentOutput, BackendEvent, FlowId};
pub use agent_settings::AgentSettings;
pub use node::AgentNode;
