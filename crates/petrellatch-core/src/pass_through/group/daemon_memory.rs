//! What a replica remembers of daemons from one life to the next.
//!
//! After a loss of power balancers and agents know only the replicas that their
//! settings name, and these may start later than the others. So a replica that
//! hears a leader again tells the daemons of its former life where the group is.
//! Its directory is whole once the agents of its former life have reported, so new ones
//! are saved soon.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{SavedDaemons, pack_address, unpack_address};
use prost::Message;

use crate::time::Timestamp;

use super::replica_assignment::is_assigned;

/// Between two looks at whether agents changed, and two writes at least: a write takes
/// the disk from the log for some 15 ms.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// That time is longer by itself for each so many agents: the file grows with them.
const AGENTS_PER_INTERVAL: usize = 2_000;
/// The same for balancers: what is remembered of them is only a hint.
const BALANCERS_SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// What was asked to be saved so long ago is on the disk.
const WRITE_LIMIT: Duration = Duration::from_millis(100);
/// An agent reports to all replicas; so many of them tell it where the group is,
/// so that it is told although two of them are lost.
const TOLD_BY: usize = 3;

/// The daemons of the former life, and what is on disk.
#[derive(Debug)]
pub(crate) struct DaemonMemory {
    /// Daemons that have not been told in this life.
    untold: SavedDaemons,
    /// What was asked to be saved last, and when.
    saved: SavedDaemons,
    saved_at: Timestamp,
    /// The agents that were saved before that.
    saved_before: Vec<u64>,
    save_at: Timestamp,
    save_balancers_at: Timestamp,
}

impl DaemonMemory {
    pub(crate) fn new(now: Timestamp) -> Self {
        DaemonMemory {
            untold: SavedDaemons::default(),
            saved: SavedDaemons::default(),
            saved_at: now,
            saved_before: Vec::new(),
            save_at: now + SAVE_INTERVAL,
            save_balancers_at: now + BALANCERS_SAVE_INTERVAL,
        }
    }

    /// The agents that are saved.
    pub(crate) fn saved_agents(&self) -> &[u64] {
        &self.saved.agents
    }

    /// Takes what a former life saved. Returns whether it could be read.
    pub(crate) fn recall(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = SavedDaemons::decode(bytes) else {
            return false;
        };
        self.untold = saved.clone();
        self.saved = saved;
        self.saved.agents.sort_unstable();
        self.saved_before = self.saved.agents.clone();
        true
    }

    /// Whether the next life will know of an agent.
    pub(crate) fn remembers(&self, now: Timestamp, agent: u64) -> bool {
        let is_written = now.saturating_since(self.saved_at) >= WRITE_LIMIT;
        let written = match is_written {
            true => &self.saved.agents,
            false => &self.saved_before,
        };
        // What is saved is in order.
        self.saved.agents.binary_search(&agent).is_ok() && written.binary_search(&agent).is_ok()
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.save_at
    }

    /// What to save, if that is due and `current` differs from what is saved. A
    /// replica that hears nobody may be cut off; it keeps what it has.
    pub(crate) fn save(
        &mut self,
        now: Timestamp,
        current: impl FnOnce() -> SavedDaemons,
    ) -> Option<Vec<u8>> {
        if now < self.save_at {
            return None;
        }
        let current = current();
        let steps = current.agents.len() / AGENTS_PER_INTERVAL + 1;
        self.save_at = now + SAVE_INTERVAL * steps as u32;
        let hears_nobody = current == SavedDaemons::default();
        let is_due = current.agents != self.saved.agents || now >= self.save_balancers_at;
        if !is_due || current == self.saved || hears_nobody {
            return None;
        }
        self.save_balancers_at = now + BALANCERS_SAVE_INTERVAL;
        self.saved_at = now;
        let before = std::mem::replace(&mut self.saved, current);
        self.saved_before = before.agents;
        Some(self.saved.encode_to_vec())
    }

    /// The balancers that this replica tells where the group is. Each is told once in a
    /// life.
    pub(crate) fn take_untold_balancers(&mut self) -> Vec<SocketAddrV4> {
        let untold = std::mem::take(&mut self.untold.balancers);
        untold.into_iter().map(unpack_address).collect()
    }

    /// At most `limit` agents that this replica, one of `replicas`, tells where the
    /// group is. Each is told once in a life.
    pub(crate) fn take_untold_agents(
        &mut self,
        own: u64,
        replicas: &[u64],
        limit: usize,
    ) -> Vec<u64> {
        let mut told = Vec::new();
        while told.len() < limit
            && let Some(agent) = self.untold.agents.pop()
        {
            if is_assigned(agent, own, replicas, TOLD_BY) {
                told.push(agent);
            }
        }
        told
    }

    pub(crate) fn has_untold_agents(&self) -> bool {
        !self.untold.agents.is_empty()
    }
}

/// Packs the addresses of daemons.
pub(crate) fn remembered(
    balancers: Vec<SocketAddrV4>,
    agents: impl IntoIterator<Item = u64>,
) -> SavedDaemons {
    SavedDaemons {
        balancers: balancers.into_iter().map(pack_address).collect(),
        agents: agents.into_iter().collect(),
    }
}
