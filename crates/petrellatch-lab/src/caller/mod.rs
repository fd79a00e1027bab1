//! The caller: an I/O-free TCP client of one flow, and a load generator that
//! sends HTTP requests and checks every answer.

pub mod client;
pub mod endpoint;
pub mod load;
pub mod options;
pub mod packet_queue;
pub mod request;
pub mod tally;

pub use endpoint::{CallerEndpoint, CallerState, ReadStatus};
pub use options::CallerOptions;
