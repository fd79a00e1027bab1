//! Tests of agents and balancers together, on a virtual clock.

mod caller;
mod control_stub;
mod world;

mod duplicates;
mod failures;
mod handover;
mod health;
mod refusals;
mod service_time;
mod serving;
mod view_changes;
