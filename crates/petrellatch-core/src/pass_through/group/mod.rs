//! The group of replicas and the daemons around it: who is a member, who asks whom
//! for news, and which zones are out of service.

pub(crate) mod daemon_registry;
pub(crate) mod evacuations;
pub(crate) mod expected_agents;
pub(crate) mod flow_record_store;
pub(crate) mod known_replicas;
pub(crate) mod membership_manager;
pub(crate) mod preferred_replicas;
pub(crate) mod recent_changes;
pub(crate) mod replica_assignment;
pub(crate) mod saved_daemons;
