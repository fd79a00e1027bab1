//! Which agents the replicas remember of their former lives: one that has started
//! asks the others, and tells those agents that it is there.

use super::*;

/// Between two questions to replicas that have not told what they remember: others may
/// start a little later.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// So often they are asked. Then agents have reported by themselves, or a replica
/// that did not start again has told its whole directory.
const MAX_ASKS: u32 = 100;
/// Agents in one message.
const AGENTS_PER_MESSAGE: usize = 1_000;
/// Agents of the former life that are told at once: each answers to all replicas.
const TOLD_AT_ONCE: usize = 256;
/// Between two rounds while agents are left that have not been told.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// When to ask and tell next.
#[derive(Debug)]
pub(super) struct MemoryExchange {
    ask_at: Option<Timestamp>,
    asks: u32,
    tell_at: Option<Timestamp>,
}

impl MemoryExchange {
    pub(super) fn new(now: Timestamp) -> Self {
        MemoryExchange {
            ask_at: Some(now),
            asks: 0,
            tell_at: None,
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.ask_at.into_iter().chain(self.tell_at).min()
    }

    /// Lets the agents of the former life be told from now on.
    pub(super) fn tell_agents(&mut self, now: Timestamp) {
        self.tell_at = Some(now);
    }
}

impl ConfigurationNode {
    /// Asks the other replicas which agents they remember.
    pub(super) fn ask_for_memories(&mut self, now: Timestamp) {
        if self.memory_exchange.ask_at.is_none_or(|at| now < at) {
            return;
        }
        let is_needed = !self.told_whole && self.followers.expected().lacks_memories();
        if !is_needed || self.memory_exchange.asks == MAX_ASKS {
            self.memory_exchange.ask_at = None;
            return;
        }
        self.memory_exchange.asks += 1;
        self.memory_exchange.ask_at = Some(now + ASK_INTERVAL);
        let own = address_of_node_id(self.replica.id().node);
        let expected = self.followers.expected();
        let peers = self.member_addresses().into_iter();
        let peers = peers.filter(|peer| *peer != own && !expected.has_told_all(*peer));
        for peer in peers.collect::<Vec<_>>() {
            let follow = Subscribe {
                wants_saved_agents: true,
                ..Subscribe::default()
            };
            self.send(peer, PassThroughBody::Subscribe(follow));
        }
    }

    fn member_addresses(&self) -> Vec<SocketAddrV4> {
        let members = self.replica.membership().members().iter();
        members
            .map(|it| address_of_node_id(it.replica.node))
            .collect()
    }

    /// Tells another replica which agents this one remembers. One that has lost its
    /// memory says nothing until it has heard them all.
    pub(super) fn tell_remembered(&mut self, now: Timestamp, to: SocketAddrV4) {
        let remembers = self.followers.expected().has_memory();
        if !remembers && !self.followers.is_whole(now) {
            return;
        }
        let agents: Vec<u64> = self.followers.agents_to_remember().into_iter().collect();
        let group = GroupStatus {
            saved_agent_count: agents.len() as u32,
            ..self.group(now)
        };
        for agents in agents.chunks(AGENTS_PER_MESSAGE) {
            let group = GroupStatus {
                saved_agents: agents.to_vec(),
                ..group.clone()
            };
            self.send(to, PassThroughBody::GroupStatus(group));
        }
    }

    /// Takes what another replica remembers.
    pub(super) fn note_remembered(&mut self, from: SocketAddrV4, group: &GroupStatus) {
        let is_member = self.member_addresses().contains(&from);
        if group.saved_agent_count > 0 && is_member {
            let expected = self.followers.expected_mut();
            let (agents, count) = (&group.saved_agents, group.saved_agent_count);
            expected.handle_told(from, group.directory_revision, agents, count);
        }
    }

    /// Tells agents of the former life where the group is, and that this replica has not
    /// heard them.
    pub(super) fn tell_former_agents(&mut self, now: Timestamp) {
        if self.memory_exchange.tell_at.is_none_or(|at| now < at) {
            return;
        }
        self.memory_exchange.tell_at = None;
        let group = self.group(now);
        if !group.has_leader {
            return;
        }
        let own = self.replica.id().node.0;
        let memory = &mut self.daemon_memory;
        let told = memory.take_untold_agents(own, &group.replicas, TOLD_AT_ONCE);
        if memory.has_untold_agents() {
            self.memory_exchange.tell_at = Some(now + ROUND_INTERVAL);
        }
        for agent in told {
            let group = GroupStatus {
                wants_report: self.followers.expected().is_awaited(agent),
                ..group.clone()
            };
            self.send(unpack_address(agent), PassThroughBody::GroupStatus(group));
        }
    }
}
