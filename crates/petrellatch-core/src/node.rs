//! What a process knows about itself.

use std::net::SocketAddrV4;

use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{MemberRecord, MemberState, NodeRole};

use crate::identity::{Incarnation, NodeId};

/// The identity of one life of a process, from its settings and the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The configured name, unique in the cluster.
    pub name: String,
    /// Derived from the name.
    pub node: NodeId,
    /// Drawn at random when the process started.
    pub incarnation: Incarnation,
    /// The zone where it runs.
    pub zone: String,
    /// Its job.
    pub role: NodeRole,
    /// Where it receives control messages.
    pub control: SocketAddrV4,
    /// Where it receives caller packets; of no meaning for control replicas.
    pub data: SocketAddrV4,
}

impl NodeIdentity {
    /// Returns the record that registers this life as a member.
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

    /// Puts `body` into an envelope from this node. `recipient` is the node
    /// that is meant, or none if only its address is known.
    pub fn envelope(&self, recipient: Option<NodeId>, body: Body) -> Envelope {
        Envelope {
            sender: self.node.0,
            incarnation: self.incarnation.0,
            recipient: recipient.map_or(0, |node| node.0),
            body: Some(body),
        }
    }

    /// Returns whether `envelope` is meant for this node.
    pub fn is_recipient(&self, envelope: &Envelope) -> bool {
        envelope.recipient == 0 || envelope.recipient == self.node.0
    }
}
