//! Admission control at an agent: the registrations of its back end, its processing rate, and
//! which new flows it gets.

pub(crate) mod admission_queue;
mod backend_incarnation;
pub(crate) mod competing_balancers;
mod leaving_backends;
pub(crate) mod outlier_detector;
pub(crate) mod priorities;
pub(crate) mod processing_time;
pub(crate) mod registration;
pub(crate) mod warm_up_limiter;
