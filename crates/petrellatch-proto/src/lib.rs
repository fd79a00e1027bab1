//! Messages that the processes of petrellatch exchange.
//!
//! All messages are Rust types with `prost` derive macros, so the build needs
//! no protocol compiler. There are two sets of messages:
//!
//! - The tier that terminates callers' flows: [`envelope::Envelope`] carries
//!   every control message between two processes; [`data::DataDatagram`] carries
//!   one caller packet between balancers and agents; [`record`] defines the
//!   records of the replicated state, which dissemination sends to the daemons
//!   (balancers and agents); [`seal::ClusterKey`] authenticates both kinds of
//!   datagram.
//! - The tier that forwards packets without terminating flows:
//!   [`pass_through::PassThroughMessage`] carries every message.
//!
//! Both tiers replicate their configuration with the messages of [`consensus`].

pub mod admission;
pub mod command;
pub mod consensus;
pub mod data;
pub mod dissemination;
pub mod endpoint;
pub mod envelope;
pub mod pass_through;
pub mod record;
pub mod seal;

/// Maximum size of an encoded control message, in bytes. It fits one UDP datagram.
pub const MAX_CONTROL_MESSAGE_BYTES: usize = 60_000;
