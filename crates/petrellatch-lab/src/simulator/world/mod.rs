//! A simulated fleet: control replicas, balancers, agents, back ends, callers,
//! operators, the fabric and the platform, on one virtual clock.
//!
//! The processes are the very state machines of the daemons. A [`World`] is
//! determined by its [`FleetPlan`], its schedule and its seed:
//!
//! ```
//! use std::time::Duration;
//! use petrellatch_lab::simulator::schedule::Schedule;
//! use petrellatch_lab::simulator::world::{FleetPlan, World};
//!
//! let mut world = World::new(FleetPlan::small(), Schedule::default(), 1);
//! world.run_until(Duration::from_secs(10));
//! assert!(world.attempts().iter().any(|attempt| attempt.is_answered()));
//! ```

mod caller_flow;
mod callers;
mod control_disk;
mod event;
mod fabric;
mod fault_steps;
mod fleet_plan;
mod invariants;
mod lifecycle;
mod machine;
mod machine_io;
mod operator_steps;
mod operators;
mod server;
mod transport;
#[allow(
    clippy::module_inception,
    reason = "the module is named after its type"
)]
mod world;

pub use callers::{AttemptOutcome, AttemptRecord};
pub use fleet_plan::{FleetPlan, LoadPlan, ServicePlan};
pub use operators::{AnsweredRead, ChangeOutcome, ChangeRecord, Intent};
pub use world::World;
