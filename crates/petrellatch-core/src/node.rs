//! The identity of a process.

use std::net::SocketAddrV4;

use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{MemberRecord, MemberState, NodeRole};

use crate::identity::{Incarnation, NodeId};

/// The identity of one incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The configured name, unique in the cluster.
    pub name: String,
    /// The node's identifier, derived from the name.
    pub node: NodeId,
    /// Drawn at random at the start of the process.
    pub incarnation: Incarnation,
    /// The zone where the process runs.
    pub zone: String,
    /// The role of the process.
    pub role: NodeRole,
    /// The address at which the process receives control messages.
    pub control: SocketAddrV4,
    /// The address at which the process receives caller packets; unused by
    /// control replicas.
    pub data: SocketAddrV4,
}

impl NodeIdentity {
    /// Returns the record that registers this incarnation as a member.
    pub fn member_record(&self) -> MemberRecord {
        MemberRecord {
            node: self.node.0,
            incarnation: self.incarnation.0,
            name: self.name.clone(),
            role: self.role as i32,
            zone: self.zone.clone(),
            control: self.control.into(),
            data: self.data.into(),
            state: MemberState::Live as i32,
        }
    }

    /// Puts `body` into an envelope from this node to `recipient`, which is none
    /// if only the recipient's address is known.
    pub fn envelope(&self, recipient: Option<NodeId>, body: Body) -> Envelope {
        Envelope {
            sender: self.node.0,
            incarnation: self.incarnation.0,
            recipient: recipient.map_or(0, |node| node.0),
            body: Some(body),
        }
    }

    /// Returns whether `envelope` is addressed to this node or names no
    /// recipient.
    pub fn is_recipient(&self, envelope: &Envelope) -> bool {
        envelope.recipient == 0 || envelope.recipient == self.node.0
    }
}
