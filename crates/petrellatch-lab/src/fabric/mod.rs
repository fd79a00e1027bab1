//! The fabric stand-in: sprays the packets of every flow at random over the
//! live balancers, impairs them as told, and has an edge through which an
//! ordinary TCP client can be a caller.

pub mod admin;
pub mod balancers;
pub mod counters;
pub mod edge;
pub mod edge_flow;
pub mod impairment;
pub mod options;
pub mod outcomes;
pub mod packet;
pub mod routes;
pub mod server;
pub mod source_addresses;

pub use options::FabricOptions;
pub use server::{FabricServer, run};
