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
const AGENTS_PER_SAVE_INTERVAL: usize = 2_000;
/// The same for balancers: what is remembered of them is only a hint.
const BALANCER_SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// What was asked to be saved so long ago is on the disk.
const ASSUMED_WRITE_TIME: Duration = Duration::from_millis(100);
/// An agent reports to all replicas; so many of them tell it where the group is,
/// so that it is told although two of them are lost.
const NOTIFYING_REPLICAS: usize = 3;

/// The daemons of the former life, and what is on disk.
#[derive(Debug)]
pub(crate) struct DaemonStore {
    /// Daemons that have not been told in this life.
    unnotified: SavedDaemons,
    /// What was asked to be saved last, and when.
    saved: SavedDaemons,
    saved_at: Timestamp,
    /// The agents that were saved before that.
    saved_previously: Vec<u64>,
    next_save_at: Timestamp,
    next_balancer_save_at: Timestamp,
}

impl DaemonStore {
    pub(crate) fn new(now: Timestamp) -> Self {
        DaemonStore {
            unnotified: SavedDaemons::default(),
            saved: SavedDaemons::default(),
            saved_at: now,
            saved_previously: Vec::new(),
            next_save_at: now + SAVE_INTERVAL,
            next_balancer_save_at: now + BALANCER_SAVE_INTERVAL,
        }
    }

    /// The agents that are saved.
    pub(crate) fn saved_agents(&self) -> &[u64] {
        &self.saved.agents
    }

    /// Takes what a former life saved. Returns whether it could be read.
    pub(crate) fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = SavedDaemons::decode(bytes) else {
            return false;
        };
        self.unnotified = saved.clone();
        self.saved = saved;
        self.saved.agents.sort_unstable();
        self.saved_previously = self.saved.agents.clone();
        true
    }

    /// Whether the next life will know of an agent.
    pub(crate) fn is_saved(&self, now: Timestamp, agent: u64) -> bool {
        let is_written = now.saturating_since(self.saved_at) >= ASSUMED_WRITE_TIME;
        let written = match is_written {
            true => &self.saved.agents,
            false => &self.saved_previously,
        };
        // What is saved is in order.
        self.saved.agents.binary_search(&agent).is_ok() && written.binary_search(&agent).is_ok()
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.next_save_at
    }

    /// What to save, if that is due and `current` differs from what is saved. A
    /// replica that hears nobody may be cut off; it keeps what it has.
    pub(crate) fn save(
        &mut self,
        now: Timestamp,
        current: impl FnOnce() -> SavedDaemons,
    ) -> Option<Vec<u8>> {
        if now < self.next_save_at {
            return None;
        }
        let current = current();
        let intervals = current.agents.len() / AGENTS_PER_SAVE_INTERVAL + 1;
        self.next_save_at = now + SAVE_INTERVAL * intervals as u32;
        let is_empty = current == SavedDaemons::default();
        let is_due = current.agents != self.saved.agents || now >= self.next_balancer_save_at;
        if !is_due || current == self.saved || is_empty {
            return None;
        }
        self.next_balancer_save_at = now + BALANCER_SAVE_INTERVAL;
        self.saved_at = now;
        let previous = std::mem::replace(&mut self.saved, current);
        self.saved_previously = previous.agents;
        Some(self.saved.encode_to_vec())
    }

    /// The balancers that this replica tells where the group is. Each is told once in a
    /// life.
    pub(crate) fn take_unnotified_balancers(&mut self) -> Vec<SocketAddrV4> {
        let unnotified = std::mem::take(&mut self.unnotified.balancers);
        unnotified.into_iter().map(unpack_address).collect()
    }

    /// At most `limit` agents that this replica, one of `replicas`, tells where the
    /// group is. Each is told once in a life.
    pub(crate) fn take_unnotified_agents(
        &mut self,
        own: u64,
        replicas: &[u64],
        limit: usize,
    ) -> Vec<u64> {
        let mut notified = Vec::new();
        while notified.len() < limit
            && let Some(agent) = self.unnotified.agents.pop()
        {
            if is_assigned(agent, own, replicas, NOTIFYING_REPLICAS) {
                notified.push(agent);
            }
        }
        notified
    }

    pub(crate) fn has_unnotified_agents(&self) -> bool {
        !self.unnotified.agents.is_empty()
    }
}

/// Packs the addresses of daemons.
pub(crate) fn to_saved_daemons(
    balancers: Vec<SocketAddrV4>,
    agents: impl IntoIterator<Item = u64>,
) -> SavedDaemons {
    SavedDaemons {
        balancers: balancers.into_iter().map(pack_address).collect(),
        agents: agents.into_iter().collect(),
    }
}
