//! The back-end stand-in: an HTTP/1.1 server with a limited number of slots,
//! answers that a caller can check, and a record of what it ran.

pub mod admission;
pub mod connection;
pub mod control;
pub mod executions;
pub mod options;
pub mod response;
pub mod server;
pub mod service_time;

pub use options::BackendOptions;
pub use server::{BackendServer, run};
