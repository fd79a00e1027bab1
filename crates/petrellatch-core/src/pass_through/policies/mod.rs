//! Placement policies: which back ends may receive the new flows of a service or route,
//! and what share each receives. Replicas keep them beside the configuration, balancers
//! evaluate them from what agents tell.

pub(crate) mod active_policies;
pub(crate) mod backend_profile;
pub(crate) mod placement_policies;
pub(crate) mod policy_check;
