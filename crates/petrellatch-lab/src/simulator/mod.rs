//! A deterministic simulator of a whole fleet.
//!
//! It drives the same state machines as the daemons on one virtual clock and
//! one event queue. A run is determined by its scenario and seed.

pub mod checkers;
pub mod command;
pub mod engine;
pub mod mutation;
pub mod runner;
pub mod scenario;
pub mod scenarios;
pub mod schedule;
pub mod workload;
pub mod world;
