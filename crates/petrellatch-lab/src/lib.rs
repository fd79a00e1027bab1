//! Stand-ins for everything around petrellatch: callers, the packet fabric,
//! back ends and the platform's list of machines.
//!
//! They serve the loopback fleet, the integration tests and, where they are
//! free of input and output (see [`caller::CallerEndpoint`]), the simulator.

pub mod backend;
pub mod bench;
pub mod caller;
pub mod experiment;
pub mod fabric;
pub mod platform;
pub mod simulator;
pub mod support;
