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
const YOUNG_LIMIT: Duration = Duration::from_millis(200);
/// An agent that stays away is remembered for so long.
const AWAITED_MEMORY: Duration = Duration::from_secs(60);

/// The agents that this replica and others remember of their former lives.
#[derive(Debug, Default)]
pub(crate) struct ExpectedAgents {
    started_at: Timestamp,
    /// Whether this replica remembers agents.
    has_memory: bool,
    /// How many agents were remembered.
    count: usize,
    /// Members of the group; zero as long as that is not known.
    members: usize,
    /// Those that were not heard in this life.
    awaited: BTreeSet<u64>,
    /// Those that were heard in this life.
    heard: BTreeSet<u64>,
    /// What other replicas have told in part.
    told: BTreeMap<SocketAddrV4, ToldAgents>,
    /// Other replicas that have told all that they remember.
    complete: BTreeSet<SocketAddrV4>,
}

/// What another replica has told in part.
#[derive(Debug, Default)]
struct ToldAgents {
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
    pub(crate) fn recall(&mut self, agents: &[u64]) {
        self.has_memory = !agents.is_empty();
        self.expect(agents.iter().copied());
    }

    pub(crate) fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes some of the `count` agents that another replica remembers.
    pub(crate) fn handle_told(
        &mut self,
        from: SocketAddrV4,
        revision: u64,
        agents: &[u64],
        count: u32,
    ) {
        if self.complete.contains(&from) {
            return;
        }
        let told = self.told.entry(from).or_default();
        if told.revision != revision {
            told.revision = revision;
            told.agents.clear();
        }
        told.agents.extend(agents);
        if told.agents.len() < count as usize {
            return;
        }
        let agents = std::mem::take(&mut told.agents);
        self.told.remove(&from);
        self.complete.insert(from);
        self.expect(agents.into_iter());
    }

    fn expect(&mut self, agents: impl Iterator<Item = u64>) {
        for agent in agents {
            if !self.heard.contains(&agent) {
                self.awaited.insert(agent);
            }
        }
        self.count = self.count.max(self.awaited.len() + self.heard.len());
    }

    /// Notes that an agent is in the directory.
    pub(crate) fn note_heard(&mut self, agent: u64) {
        self.awaited.remove(&agent);
        self.heard.insert(agent);
    }

    /// Whether other replicas are still to be asked what they remember.
    pub(crate) fn lacks_memories(&self) -> bool {
        self.has_memory && !self.has_majority()
    }

    pub(crate) fn has_told_all(&self, replica: SocketAddrV4) -> bool {
        self.complete.contains(&replica)
    }

    /// Whether all agents that run are in the directory. `young_interval` is the time
    /// between two reports of a young agent.
    pub(crate) fn are_heard(&self, now: Timestamp, young_interval: Duration) -> bool {
        self.has_memory
            && self.has_majority()
            && self.awaited.is_empty()
            && now >= self.settled_at(young_interval)
    }

    /// When young agents have reported.
    pub(crate) fn settled_at(&self, young_interval: Duration) -> Timestamp {
        self.started_at + YOUNG_LIMIT.max(young_interval * 10 / 3)
    }

    pub(crate) fn has_memory(&self) -> bool {
        self.has_memory
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
        if now.saturating_since(self.started_at) >= AWAITED_MEMORY {
            self.awaited.clear();
            self.heard.clear();
            // Time has shown by now which agents there are.
            self.has_memory = false;
        }
    }

    fn has_majority(&self) -> bool {
        let remembering = self.complete.len() + 1;
        self.members > 0 && remembering * 2 > self.members
    }
}
