//! Paced sending over the link of a balancer's machine, for links that carry less than callers
//! send at peak times.
//!
//! A congested link drops packets. The sender of a dropped packet waits for 200 ms or more and
//! sends it over the same link again. So a balancer sends no faster than its link carries, and
//! keeps the rest in its own queue, in which no flow blocks another.

pub(crate) mod fair_queue;
pub(crate) mod link_pacer;
pub(crate) mod link_queue;
