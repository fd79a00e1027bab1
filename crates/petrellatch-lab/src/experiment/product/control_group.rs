//! The control replicas of a run.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{Membership, PersistentState, ReplicaId, ReplicaStart};
use petrellatch_core::control::{ControlNode, ControlPeer, ControlSettings};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;

/// Control replicas.
pub(super) const CONTROLS: usize = 3;

/// The port for control messages on every machine.
pub(super) const CONTROL_PORT: u16 = 7_001;

/// The incarnation of all data folders, which are never lost here.
const FOLDER: Incarnation = Incarnation(1);

pub(super) fn control_name(number: usize) -> String {
    format!("control-{number}")
}

pub(super) fn control_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(number + 1).unwrap_or(u8::MAX))
}

/// Returns the control addresses of all replicas.
pub(super) fn control_addresses() -> Vec<SocketAddrV4> {
    (0..CONTROLS)
        .map(|number| SocketAddrV4::new(control_ip(number), CONTROL_PORT))
        .collect()
}

/// Starts a replica of a new group.
pub(super) fn start(now: Timestamp, seed: u64, identity: NodeIdentity) -> ControlNode {
    let nodes = (0..CONTROLS).map(|number| NodeId::from_name(&control_name(number)));
    let voters = nodes.clone().map(|node| ReplicaId {
        node,
        incarnation: FOLDER,
    });
    let start = ReplicaStart {
        id: identity.node,
        incarnation: FOLDER,
        seed,
        persisted: PersistentState::default(),
        bootstrap: Some(Membership::of_voters(voters)),
    };
    let peers = nodes.zip(control_addresses());
    let settings = ControlSettings {
        peers: peers
            .map(|(node, control)| ControlPeer { node, control })
            .collect(),
        ..ControlSettings::default()
    };
    ControlNode::new(now, settings, identity, start)
}
