//! What surrounds the fleet: callers, back ends and what they say to each
//! other.

pub mod backend;
pub mod protocol;
