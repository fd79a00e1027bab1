//! Placement policies: which back ends may receive the new flows of a service or route,
//! and in which proportions. Replicas store them beside the configuration; balancers
//! evaluate them with the data of agents' reports.

pub(crate) mod active_policies;
pub(crate) mod backend_profile;
pub(crate) mod placement_policies;
pub(crate) mod policy_check;
