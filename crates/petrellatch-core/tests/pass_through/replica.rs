//! Test support: a single replica of the group that holds the configuration.

use std::net::SocketAddrV4;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{Membership, PersistentState, ReplicaId, ReplicaStart};
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationNodeSettings, node_id_of_address,
};

/// Starts the replica at `address` of a group whose only founder is the replica at `founder`.
pub fn start_replica(
    now: Timestamp,
    address: SocketAddrV4,
    founder: SocketAddrV4,
) -> ConfigurationNode {
    start_replica_with(now, address, founder, ConfigurationNodeSettings::default())
}

/// Like [`start_replica`], with settings.
pub fn start_replica_with(
    now: Timestamp,
    address: SocketAddrV4,
    founder: SocketAddrV4,
    settings: ConfigurationNodeSettings,
) -> ConfigurationNode {
    let id = |address| ReplicaId {
        node: node_id_of_address(address),
        incarnation: Incarnation(node_id_of_address(address).0),
    };
    let start = ReplicaStart {
        id: id(address).node,
        incarnation: id(address).incarnation,
        seed: 1,
        persisted: PersistentState::default(),
        bootstrap: Some(Membership::of_voters([id(founder)])),
    };
    ConfigurationNode::new(now, settings, start)
}
