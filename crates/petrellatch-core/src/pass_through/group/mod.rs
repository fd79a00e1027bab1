//! Members of the replica group, and its state about the balancers and agents (daemons) that
//! it serves: subscriptions, saved addresses, departures, flow records and evacuated zones.

pub(crate) mod daemon_registry;
pub(crate) mod departure_store;
pub(crate) mod evacuations;
pub(crate) mod expected_agents;
pub(crate) mod flow_record_store;
pub(crate) mod known_replicas;
pub(crate) mod membership_manager;
pub(crate) mod preferred_replicas;
pub(crate) mod recent_changes;
pub(crate) mod record_file_write;
pub(crate) mod replica_answers;
pub(crate) mod replica_assignment;
pub(crate) mod saved_daemons;
