//! Where other agents can be reached.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::record::NodeRole;

use crate::cluster::ClusterView;
use crate::identity::{Incarnation, NodeId};
use crate::routing::AgentLife;

/// The addresses of one agent life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AgentAddress {
    /// Where it receives control messages.
    pub(super) control: SocketAddrV4,
    /// Where it receives caller packets.
    pub(super) data: SocketAddrV4,
}

/// Addresses of all agent lives that are members, and of the last life of each
/// node that is not one any more: it may be cut off from the control group and
/// still have flows.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentDirectory {
    members: BTreeMap<AgentLife, AgentAddress>,
    former: BTreeMap<NodeId, (AgentLife, AgentAddress)>,
}

impl AgentDirectory {
    /// Takes over a newer view.
    pub(super) fn refresh(&mut self, view: &ClusterView) {
        let agents = view.members().filter(|it| it.role() == NodeRole::Agent);
        let members = agents
            .map(|member| {
                let life = AgentLife {
                    node: NodeId(member.node),
                    incarnation: Incarnation(member.incarnation),
                };
                let address = AgentAddress {
                    control: member.control.into(),
                    data: member.data.into(),
                };
                (life, address)
            })
            .collect();
        let before = std::mem::replace(&mut self.members, members);
        for (life, address) in before {
            if !self.members.contains_key(&life) {
                self.former.insert(life.node, (life, address));
            }
        }
    }

    /// Returns the addresses of a life.
    pub(super) fn find(&self, life: AgentLife) -> Option<AgentAddress> {
        let member = self.members.get(&life).copied();
        member.or_else(|| {
            let (former, address) = self.former.get(&life.node)?;
            (*former == life).then_some(*address)
        })
    }

    /// Returns the member life of a node.
    pub(super) fn member(&self, node: NodeId) -> Option<AgentLife> {
        let mut lives = self.members.keys();
        lives.find(|life| life.node == node).copied()
    }
}
