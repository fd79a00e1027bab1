//! Configurations: what operators replace, how changes reach balancers in parts,
//! and the routes as balancers use them.

pub(crate) mod configuration;
pub(crate) mod configuration_state;
pub(crate) mod pending_replacements;
pub(crate) mod reassembly;
pub(crate) mod route_table;
