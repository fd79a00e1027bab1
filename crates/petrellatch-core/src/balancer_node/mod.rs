//! The balancer: takes caller packets from the fabric and passes them on.
//!
//! [`BalancerNode`] joins the link to the control group, which also serves
//! other daemons as a relay, with the [`Router`](crate::routing::Router). It
//! keeps no state per flow.
//!
//! Guarantees: it passes on nothing until its view holds everything that was
//! committed when it first asked after its start, so that a restarted balancer
//! never acts on old rules; a stored copy of the view only shortens the way
//! there. A balancer may stop at any time without harm to a flow.
//!
//! ```
//! use petrellatch_core::balancer_node::{BalancerNode, BalancerSettings};
//! use petrellatch_core::identity::{Incarnation, NodeId};
//! use petrellatch_core::node::NodeIdentity;
//! use petrellatch_core::Timestamp;
//! use petrellatch_proto::record::NodeRole;
//!
//! let identity = NodeIdentity {
//!     name: "balancer-1".to_owned(),
//!     node: NodeId::from_name("balancer-1"),
//!     incarnation: Incarnation(7),
//!     zone: "zone-a".to_owned(),
//!     role: NodeRole::Balancer,
//!     control: "127.0.0.1:7001".parse().unwrap(),
//!     data: "127.0.0.1:7002".parse().unwrap(),
//! };
//! let settings = BalancerSettings::default();
//! let mut balancer = BalancerNode::new(Timestamp::ZERO, settings, identity, 1, None);
//! assert!(!balancer.is_ready());
//! assert!(balancer.handle_packet(Timestamp::ZERO, b"no packet").is_none());
//! ```

mod balancer_counters;
mod balancer_output;
mod balancer_settings;
mod node;

#[cfg(test)]
mod tests;

pub use balancer_counters::BalancerCounters;
pub use balancer_output::BalancerOutput;
pub use balancer_settings::BalancerSettings;
pub use node::BalancerNode;
