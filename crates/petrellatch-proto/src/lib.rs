//! Messages that the processes of petrellatch exchange.
//!
//! All messages are `prost` structures written by hand with derive macros, so
//! the build needs no protocol compiler. [`envelope::Envelope`] carries every
//! control message between two processes; [`data::DataDatagram`] carries one
//! caller packet between balancers and agents; [`record`] holds the records of
//! the replicated state, which are also what dissemination carries;
//! [`seal::ClusterKey`] authenticates both kinds of datagram.

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

/// The largest encoded control message, in bytes. It fits one UDP datagram.
pub const MAX_CONTROL_MESSAGE_BYTES: usize = 60_000;
