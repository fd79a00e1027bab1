//! Where other agents can be reached.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::record::{MemberRecord, NodeRole};

use crate::Timestamp;
use crate::cluster::ClusterView;
use crate::identity::{Incarnation, NodeId};
use crate::routing::AgentIncarnation;

/// How long the address of a life that ended is remembered: a little longer
/// than packets are passed on to it.
const FORMER_TIME: Duration = Duration::from_secs(65);

/// The addresses of one agent life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AgentAddress {
    /// Where it receives control messages.
    pub(super) control: SocketAddrV4,
    /// Where it receives caller packets.
    pub(super) data: SocketAddrV4,
}

/// A life of a node and its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownLife {
    incarnation: Incarnation,
    address: AgentAddress,
}

/// A life that is not a member any more.
#[derive(Clone, Copy, Debug)]
struct FormerLife {
    life: KnownLife,
    until: Timestamp,
}

/// Addresses of all agent lives that are members and, for a while, of the last
/// life of each node that is not one any more: it may be cut off from the
/// control group and still have flows.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentDirectory {
    members: BTreeMap<NodeId, KnownLife>,
    former: BTreeMap<NodeId, FormerLife>,
}

impl AgentDirectory {
    /// Takes over all members of a view.
    pub(super) fn refresh(&mut self, now: Timestamp, view: &ClusterView) {
        let gone = self.members.keys().filter(|it| view.member(**it).is_none());
        let gone: Vec<NodeId> = gone.copied().collect();
        let present = view.members().map(|member| NodeId(member.node));
        for node in gone.into_iter().chain(present) {
            self.update(now, view, node);
        }
    }

    /// Takes over what a view says about one node.
    pub(super) fn update(&mut self, now: Timestamp, view: &ClusterView, node: NodeId) {
        let member = view.member(node);
        let agent = member.filter(|it| it.role() == NodeRole::Agent);
        let present = agent.map(known_life);
        let before = match present {
            Some(present) => self.members.insert(node, present),
            None => self.members.remove(&node),
        };
        if let Some(life) = before.filter(|before| present != Some(*before)) {
            let until = now + FORMER_TIME;
            self.former.insert(node, FormerLife { life, until });
        }
    }

    /// Forgets lives that ended long ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.former.retain(|_, former| former.until > now);
    }

    /// Returns the addresses of a life.
    pub(super) fn find(&self, life: AgentIncarnation) -> Option<AgentAddress> {
        let member = self.members.get(&life.node).copied();
        let former = self.former.get(&life.node).map(|former| former.life);
        [member, former]
            .into_iter()
            .flatten()
            .find(|known| known.incarnation == life.incarnation)
            .map(|known| known.address)
    }

    /// Returns the member life of a node.
    pub(super) fn member(&self, node: NodeId) -> Option<AgentIncarnation> {
        let incarnation = self.members.get(&node)?.incarnation;
        Some(AgentIncarnation { node, incarnation })
    }

    /// Returns how many lives that ended are remembered.
    #[cfg(test)]
    pub(super) fn former_count(&self) -> usize {
        self.former.len()
    }
}

fn known_life(member: &MemberRecord) -> KnownLife {
    KnownLife {
        incarnation: Incarnation(member.incarnation),
        address: AgentAddress {
            control: member.control.into(),
            data: member.data.into(),
        },
    }
}
