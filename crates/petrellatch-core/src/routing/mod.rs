//! Routing of a caller's packet to the agent that admits or owns its flow.
//!
//! A balancer looks up the service by the packet's destination, the bucket by
//! its flow key, and the bucket's owner in the newest generation (version) of
//! the service's placement. It keeps no state per flow, so any balancer may see
//! any packet of a flow.
//!
//! Guarantees: a packet is sent only to the agent that owns the packet's bucket
//! in this balancer's newest view; a packet that can't be routed is dropped
//! with a [`DropReason`]. Tables are computed once for each generation and
//! kept when other records change.
//!
//! ```
//! use petrellatch_core::cluster::ClusterView;
//! use petrellatch_core::identity::NodeId;
//! use petrellatch_core::flow::PacketError;
//! use petrellatch_core::routing::{DropReason, Router};
//!
//! let mut router = Router::new(NodeId::from_name("balancer-1"));
//! router.refresh(&ClusterView::new());
//! let dropped = router.route(b"no packet").err();
//! assert_eq!(dropped, Some(DropReason::Malformed(PacketError::NotIpv4)));
//! ```

mod drop_reason;
mod placed_generation;
mod router;

#[cfg(test)]
mod tests;

pub use drop_reason::DropReason;
pub use placed_generation::{AgentIncarnation, BucketOwner, PlacedGeneration};
pub use router::Router;
