//! The link of a balancer's machine: what goes out when, if it carries less than callers
//! send at once.
//!
//! A link that is full drops what comes. The sender of a dropped packet waits for 200 ms and
//! more, and sends it over the same link again. So a balancer sends no faster than its link
//! carries, and keeps the rest in a queue of its own, where no flow holds up another.

pub(crate) mod fair_queue;
pub(crate) mod link_pacer;
pub(crate) mod link_queue;
