//! The caller: an I/O-free TCP client of one flow, and a load generator that
//! sends HTTP requests and checks every answer.

pub mod endpoint;
pub mod packet_queue;

pub use endpoint::{CallerEndpoint, CallerState, ReadStatus};
