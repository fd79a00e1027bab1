//! The deterministic engine: virtual time, the event queue, process clocks,
//! the network, disks, randomness and the trace.
//!
//! Nothing in here knows what a balancer or a caller is.

pub mod clock;
pub mod disk;
pub mod event_queue;
pub mod network;
pub mod random;
pub mod trace;

pub use clock::{ProcessClock, VirtualTime};
pub use event_queue::EventQueue;
