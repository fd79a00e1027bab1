//! Configurations: what operators replace, how changes reach balancers in parts,
//! and the routes as balancers use them.

pub(crate) mod change_assembly;
pub(crate) mod configuration;
pub(crate) mod configuration_state;
pub(crate) mod replacements;
pub(crate) mod route_table;
