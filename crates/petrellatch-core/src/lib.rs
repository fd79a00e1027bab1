//! State machines of a layer-4 load balancer, without input or output.
//!
//! All state machines in this crate have the same interface: the event loop
//! passes inputs to `handle_*` methods, always with the current [`Timestamp`],
//! takes outputs from `poll_*` methods, and calls the state machine again at
//! the time that `poll_timeout` returns. A state machine opens no sockets,
//! starts no threads, reads no clock, and draws random numbers only from the
//! seed that it is given. The daemons and the simulator therefore run exactly
//! the same code.

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
