//! Exchange of saved agents after a start: a replica requests the lists of the other
//! replicas, and notifies the saved agents that it is running.

use super::*;

/// Interval between requests to replicas that have not sent their list: they may start a
/// little later.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests. By then agents have reported by themselves, or a replica that
/// has not restarted has sent its complete directory.
const MAX_REQUESTS: u32 = 100;
/// Number of agents in one message.
const AGENTS_PER_MESSAGE: usize = 1_000;
/// Maximum number of saved agents that are notified per round, since each replies to all
/// replicas.
const MAX_NOTIFIED_PER_ROUND: usize = 256;
/// Interval between rounds while agents are left to notify.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Times of the next request to replicas, and of the next notification of agents.
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

    /// Starts to notify the saved agents.
    pub(super) fn schedule_notifications(&mut self, now: Timestamp) {
        self.notify_at = Some(now);
    }
}

impl ConfigurationNode {
    /// Requests the lists of saved agents of the other replicas, if that is due and still
    /// needed.
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

    /// Sends another replica the agents that this one saves. If this replica has loaded no
    /// saved list, it sends nothing until its directory is complete.
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

    /// Takes a part of the list that another replica has saved.
    pub(super) fn note_saved_agents(&mut self, from: SocketAddrV4, status: &GroupStatus) {
        let is_member = self.member_addresses().contains(&from);
        if status.saved_agent_count > 0 && is_member {
            let expected = self.daemons.expected_mut();
            let (agents, count) = (&status.saved_agents, status.saved_agent_count);
            expected.handle_saved_agents(from, status.directory_revision, agents, count);
        }
    }

    /// Sends saved agents the addresses of the replicas, and requests a report from those
    /// that this replica has not seen since its start.
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
