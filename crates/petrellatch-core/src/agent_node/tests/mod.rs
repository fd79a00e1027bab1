//! Tests of agents and balancers together, on a virtual clock.

mod caller;
mod control_stub;
mod world;

mod failures;
mod handover;
mod serving;
