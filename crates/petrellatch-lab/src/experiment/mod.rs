//! Experiments: the product beside its baselines, on the same callers, the
//! same back ends and the same faults.
//!
//! A run has one virtual clock and is determined by its deployment, seed and
//! variant. The product's variants run the daemons' own state machines; the
//! baselines are in [`baseline`]. Callers and back ends speak real TCP packets
//! in every variant.

pub mod baseline;
pub mod churn;
pub mod command;
pub mod deployment;
pub mod emulator;
pub mod flow;
pub mod measures;
pub mod product;
pub mod report;
pub mod server;
pub mod system;
pub mod variant;
pub mod workload;
