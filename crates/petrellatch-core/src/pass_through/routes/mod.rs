//! The configuration, its replicated state, the transfer of changes to balancers in
//! parts, and the balancers' route table.

pub(crate) mod configuration;
pub(crate) mod configuration_state;
pub(crate) mod pending_replacements;
pub(crate) mod reassembly;
pub(crate) mod route_table;
