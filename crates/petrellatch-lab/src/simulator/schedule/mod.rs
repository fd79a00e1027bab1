//! What is done to the fleet during a run, and when: faults, planned work and
//! changes by operators.

pub mod action;
pub mod generator;

pub use action::{Action, CutDirection, Fault, OperatorStep, PlannedWork, Schedule, Step, Target};
