//! Agents that a replica expects to report after its start.
//!
//! Each running agent either is saved by most replicas, or is new and reports often. So a
//! directory has every running agent once it has all agents that a majority of the replicas
//! have saved, and a short time for new agents has passed. Without a saved list, or if a
//! saved agent stays away, the longest report interval of all agents has to pass.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// A new agent has reported by then, even if two of its reports are lost.
const NEW_AGENT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an agent that stays away is expected.
const AWAITED_TTL: Duration = Duration::from_secs(60);

/// Agents that this replica and others saved in their previous incarnations.
#[derive(Debug, Default)]
pub(crate) struct ExpectedAgents {
    started_at: Timestamp,
    /// Whether this replica has loaded a list of saved agents.
    has_saved_list: bool,
    /// Highest number of agents, saved or seen, when a list was added.
    count: usize,
    /// Members of the replica group; zero while unknown.
    members: usize,
    /// Saved agents that have not been seen since the start.
    awaited: BTreeSet<u64>,
    /// Agents that have been seen since the start.
    seen: BTreeSet<u64>,
    /// Lists of other replicas that have arrived in part.
    partial_lists: BTreeMap<SocketAddrV4, PartialList>,
    /// Other replicas whose list has arrived completely.
    complete_lists: BTreeSet<SocketAddrV4>,
}

/// Part of another replica's list of saved agents.
#[derive(Debug, Default)]
struct PartialList {
    /// Directory revision of the sender: parts of different revisions don't belong together.
    revision: u64,
    agents: BTreeSet<u64>,
}

impl ExpectedAgents {
    pub(crate) fn new(now: Timestamp) -> Self {
        ExpectedAgents {
            started_at: now,
            ..ExpectedAgents::default()
        }
    }

    /// Adds this replica's own saved agents.
    pub(crate) fn load_saved(&mut self, agents: &[u64]) {
        self.has_saved_list = !agents.is_empty();
        self.add_expected(agents.iter().copied());
    }

    pub(crate) fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes a part of the list of `count` agents that another replica has saved.
    pub(crate) fn handle_saved_agents(
        &mut self,
        from: SocketAddrV4,
        revision: u64,
        agents: &[u64],
        count: u32,
    ) {
        if self.complete_lists.contains(&from) {
            return;
        }
        let partial_list = self.partial_lists.entry(from).or_default();
        if partial_list.revision != revision {
            partial_list.revision = revision;
            partial_list.agents.clear();
        }
        partial_list.agents.extend(agents);
        if partial_list.agents.len() < count as usize {
            return;
        }
        let agents = std::mem::take(&mut partial_list.agents);
        self.partial_lists.remove(&from);
        self.complete_lists.insert(from);
        self.add_expected(agents.into_iter());
    }

    fn add_expected(&mut self, agents: impl Iterator<Item = u64>) {
        for agent in agents {
            if !self.seen.contains(&agent) {
                self.awaited.insert(agent);
            }
        }
        self.count = self.count.max(self.awaited.len() + self.seen.len());
    }

    /// Notes that an agent is in the directory.
    pub(crate) fn note_seen(&mut self, agent: u64) {
        self.awaited.remove(&agent);
        self.seen.insert(agent);
    }

    /// Whether this replica still needs the lists of other replicas, so that it has those of
    /// a majority.
    pub(crate) fn awaits_saved_lists(&self) -> bool {
        self.has_saved_list && !self.has_majority()
    }

    pub(crate) fn has_complete_list(&self, replica: SocketAddrV4) -> bool {
        self.complete_lists.contains(&replica)
    }

    /// Whether all running agents are in the directory. `new_agent_interval` is the report
    /// interval of a new agent.
    pub(crate) fn are_all_seen(&self, now: Timestamp, new_agent_interval: Duration) -> bool {
        self.has_saved_list
            && self.has_majority()
            && self.awaited.is_empty()
            && now >= self.complete_at(new_agent_interval)
    }

    /// When all new agents have reported, even if two of their reports are lost: after a
    /// little more than three report intervals, and [`NEW_AGENT_TIMEOUT`] at the earliest.
    pub(crate) fn complete_at(&self, new_agent_interval: Duration) -> Timestamp {
        self.started_at + NEW_AGENT_TIMEOUT.max(new_agent_interval * 10 / 3)
    }

    pub(crate) fn has_saved_list(&self) -> bool {
        self.has_saved_list
    }

    /// Highest number of agents, saved or seen, when a list was added.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Saved agents that have not been seen since the start.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = u64> + '_ {
        self.awaited.iter().copied()
    }

    pub(crate) fn is_awaited(&self, agent: u64) -> bool {
        self.awaited.contains(&agent)
    }

    /// No longer expects agents that stay away.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        if now.saturating_since(self.started_at) >= AWAITED_TTL {
            self.awaited.clear();
            self.seen.clear();
            // All running agents have reported by now.
            self.has_saved_list = false;
        }
    }

    fn has_majority(&self) -> bool {
        let lists = self.complete_lists.len() + 1;
        self.members > 0 && lists * 2 > self.members
    }
}
