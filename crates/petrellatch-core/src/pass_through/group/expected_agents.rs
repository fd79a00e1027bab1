//! Which agents a replica that has started expects to hear.
//!
//! Each agent that runs either is remembered by most replicas, or it is young and reports
//! often. So a directory has every agent that runs once it has all that most
//! replicas remember, and a short time for young ones is over. Without a memory, or if a
//! remembered agent stays away, the time between two reports of all agents has to pass.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// A young agent has reported by then, although two of its reports are lost.
const NEW_AGENT_TIMEOUT: Duration = Duration::from_millis(200);
/// An agent that stays away is remembered for so long.
const AWAITED_TTL: Duration = Duration::from_secs(60);

/// The agents that this replica and others remember of their former lives.
#[derive(Debug, Default)]
pub(crate) struct ExpectedAgents {
    started_at: Timestamp,
    /// Whether this replica remembers agents.
    has_saved_list: bool,
    /// How many agents were remembered.
    count: usize,
    /// Members of the group; zero as long as that is not known.
    members: usize,
    /// Those that were not heard in this life.
    awaited: BTreeSet<u64>,
    /// Those that were heard in this life.
    seen: BTreeSet<u64>,
    /// What other replicas have told in part.
    partial_lists: BTreeMap<SocketAddrV4, PartialList>,
    /// Other replicas that have told all that they remember.
    complete_lists: BTreeSet<SocketAddrV4>,
}

/// What another replica has told in part.
#[derive(Debug, Default)]
struct PartialList {
    /// Revision of its directory: parts of different ones don't fit together.
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

    /// Takes what this replica remembers.
    pub(crate) fn load_saved(&mut self, agents: &[u64]) {
        self.has_saved_list = !agents.is_empty();
        self.add_expected(agents.iter().copied());
    }

    pub(crate) fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes some of the `count` agents that another replica remembers.
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

    /// Whether other replicas are still to be asked what they remember.
    pub(crate) fn awaits_saved_lists(&self) -> bool {
        self.has_saved_list && !self.has_majority()
    }

    pub(crate) fn has_complete_list(&self, replica: SocketAddrV4) -> bool {
        self.complete_lists.contains(&replica)
    }

    /// Whether all agents that run are in the directory. `young_interval` is the time
    /// between two reports of a young agent.
    pub(crate) fn are_all_seen(&self, now: Timestamp, new_agent_interval: Duration) -> bool {
        self.has_saved_list
            && self.has_majority()
            && self.awaited.is_empty()
            && now >= self.complete_at(new_agent_interval)
    }

    /// When young agents have reported.
    pub(crate) fn complete_at(&self, new_agent_interval: Duration) -> Timestamp {
        self.started_at + NEW_AGENT_TIMEOUT.max(new_agent_interval * 10 / 3)
    }

    pub(crate) fn has_saved_list(&self) -> bool {
        self.has_saved_list
    }

    /// How many agents were remembered.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Those that were not heard in this life.
    pub(crate) fn awaited(&self) -> impl Iterator<Item = u64> + '_ {
        self.awaited.iter().copied()
    }

    pub(crate) fn is_awaited(&self, agent: u64) -> bool {
        self.awaited.contains(&agent)
    }

    /// Forgets those that stay away.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        if now.saturating_since(self.started_at) >= AWAITED_TTL {
            self.awaited.clear();
            self.seen.clear();
            // Time has shown by now which agents there are.
            self.has_saved_list = false;
        }
    }

    fn has_majority(&self) -> bool {
        let lists = self.complete_lists.len() + 1;
        self.members > 0 && lists * 2 > self.members
    }
}
