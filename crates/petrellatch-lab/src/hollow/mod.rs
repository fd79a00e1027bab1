//! Many hollow daemons against real control replicas, to measure capacity.
//!
//! A hollow daemon is a [`DaemonLink`](petrellatch_core::dissemination::DaemonLink)
//! with a UDP socket of its own: it registers, sends heartbeats with loads,
//! follows the replicated state and, as a balancer, relays it. It has no data
//! path, and it keeps the version of the view only; the records are held once
//! for the whole process (see `HollowView`). What a
//! full copy costs a daemon is measured by `full_copy`.
//!
//! The control replicas are
//! [`ControlNode`](petrellatch_core::control::ControlNode)s with data folders
//! on disk and UDP sockets, each driven by a thread.

mod arrivals;
mod command;
mod control_replica;
mod fleet;
mod full_copy;
mod hollow_daemon;
mod hollow_view;
mod measurement;
mod operator;
mod options;
mod orders;
mod process_figures;
mod report;
#[cfg(test)]
mod tests;
mod traffic;
mod udp;
mod worker;

pub use command::run;
pub use fleet::FleetPlan;
pub use options::HollowOptions;
