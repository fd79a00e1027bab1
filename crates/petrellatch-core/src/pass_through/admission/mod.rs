//! Admission control at an agent: the registrations of its back end, its processing rate, and
//! which new flows it gets.

pub(crate) mod cold_admission;
pub(crate) mod failure_watch;
pub(crate) mod priorities;
pub(crate) mod registration;
pub(crate) mod service_time;
pub(crate) mod turns;
pub(crate) mod waiting_openings;
