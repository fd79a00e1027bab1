//! Coordination for a layer-4 load balancer, without input or output.
//!
//! Every state machine in this crate follows the same shape: it is told what
//! happened (`handle_*`, always with the current [`Timestamp`]), it is asked
//! what it wants to do (`poll_*`), and it says when it wants to be called
//! again (`poll_timeout`). It opens no socket, starts no thread, reads no
//! clock and draws randomness only from a seed that it was given. The daemons
//! and the simulator therefore run exactly the same code.

pub mod admission;
pub mod agent_node;
pub mod balancer_node;
pub mod cluster;
pub mod consensus;
pub mod control;
pub mod dissemination;
pub mod error_kind;
pub mod event;
pub mod flow;
pub mod identity;
pub mod membership;
pub mod node;
pub mod pass_through;
pub mod placement;
pub mod policy;
pub mod routing;
pub mod time;

pub use error_kind::ErrorKind;
pub use event::{Event, EventKind};
pub use time::Timestamp;
