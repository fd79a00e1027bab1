//! Which agents the replicas remember of their former lives: one that has started
//! asks the others, and tells those agents that it is there.

use super::*;

/// Between two questions to replicas that have not told what they remember: others may
/// start a little later.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// So often they are asked. Then agents have reported by themselves, or a replica
/// that did not start again has told its whole directory.
const MAX_REQUESTS: u32 = 100;
/// Agents in one message.
const AGENTS_PER_MESSAGE: usize = 1_000;
/// Agents of the former life that are told at once: each answers to all replicas.
const MAX_NOTIFIED_PER_ROUND: usize = 256;
/// Between two rounds while agents are left that have not been told.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// When to ask and tell next.
#[derive(Debug)]
pub(super) struct SavedAgentsExchange {
    request_at: Option<Timestamp>,
    requests: u32,
    notify_at: Option<Timestamp>,
}

impl SavedAgentsExchange {
    pub(super) fn new(now: Timestamp) -> Self {
        SavedAgentsExchange {
            request_at: Some(now),
            requests: 0,
            notify_at: None,
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.request_at.into_iter().chain(self.notify_at).min()
    }

    /// Lets the agents of the former life be told from now on.
    pub(super) fn schedule_notifications(&mut self, now: Timestamp) {
        self.notify_at = Some(now);
    }
}

impl ConfigurationNode {
    /// Asks the other replicas which agents they remember.
    pub(super) fn request_saved_agents(&mut self, now: Timestamp) {
        if self
            .saved_agents_exchange
            .request_at
            .is_none_or(|at| now < at)
        {
            return;
        }
        let is_needed = !self.announced_complete && self.daemons.expected().awaits_saved_lists();
        if !is_needed || self.saved_agents_exchange.requests == MAX_REQUESTS {
            self.saved_agents_exchange.request_at = None;
            return;
        }
        self.saved_agents_exchange.requests += 1;
        self.saved_agents_exchange.request_at = Some(now + REQUEST_INTERVAL);
        let own = address_of_node_id(self.replica.id().node);
        let expected = self.daemons.expected();
        let peers = self.member_addresses().into_iter();
        let peers = peers.filter(|peer| *peer != own && !expected.has_complete_list(*peer));
        for peer in peers.collect::<Vec<_>>() {
            let subscribe = Subscribe {
                wants_saved_agents: true,
                ..Subscribe::default()
            };
            self.send(peer, PassThroughBody::Subscribe(subscribe));
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
    pub(super) fn send_saved_agents(&mut self, now: Timestamp, to: SocketAddrV4) {
        let has_saved_list = self.daemons.expected().has_saved_list();
        if !has_saved_list && !self.daemons.is_complete(now) {
            return;
        }
        let agents: Vec<u64> = self.daemons.agents_to_save().into_iter().collect();
        let status = GroupStatus {
            saved_agent_count: agents.len() as u32,
            ..self.group_status(now)
        };
        for agents in agents.chunks(AGENTS_PER_MESSAGE) {
            let status = GroupStatus {
                saved_agents: agents.to_vec(),
                ..status.clone()
            };
            self.send(to, PassThroughBody::GroupStatus(status));
        }
    }

    /// Takes what another replica remembers.
    pub(super) fn note_saved_agents(&mut self, from: SocketAddrV4, status: &GroupStatus) {
        let is_member = self.member_addresses().contains(&from);
        if status.saved_agent_count > 0 && is_member {
            let expected = self.daemons.expected_mut();
            let (agents, count) = (&status.saved_agents, status.saved_agent_count);
            expected.handle_saved_agents(from, status.directory_revision, agents, count);
        }
    }

    /// Tells agents of the former life where the group is, and that this replica has not
    /// heard them.
    pub(super) fn notify_saved_agents(&mut self, now: Timestamp) {
        if self
            .saved_agents_exchange
            .notify_at
            .is_none_or(|at| now < at)
        {
            return;
        }
        self.saved_agents_exchange.notify_at = None;
        let status = self.group_status(now);
        if !status.has_leader {
            return;
        }
        let own = self.replica.id().node.0;
        let store = &mut self.daemon_store;
        let agents = store.take_unnotified_agents(own, &status.replicas, MAX_NOTIFIED_PER_ROUND);
        if store.has_unnotified_agents() {
            self.saved_agents_exchange.notify_at = Some(now + ROUND_INTERVAL);
        }
        for agent in agents {
            let status = GroupStatus {
                wants_report: self.daemons.expected().is_awaited(agent),
                ..status.clone()
            };
            self.send(unpack_address(agent), PassThroughBody::GroupStatus(status));
        }
    }
}
