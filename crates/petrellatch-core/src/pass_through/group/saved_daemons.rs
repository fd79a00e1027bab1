//! Addresses of balancers and agents that a replica keeps on disk over a restart.
//!
//! After a power loss, balancers and agents know only the replicas in their settings, which
//! may start later than the others. So a replica that has contact with a leader again
//! notifies the saved daemons, which then know the replicas that are running. After a restart
//! a directory counts as complete once the saved agents have reported, so a new agent has to
//! be saved soon after its first report.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{SavedDaemons, pack_address, unpack_address};
use prost::Message;

use crate::time::Timestamp;

use super::replica_assignment::is_assigned;

/// Interval between checks for changed agents, and minimum interval between writes, since a
/// write delays those of the replicated log by about 15 ms.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between checks grows by [`SAVE_INTERVAL`] with each further group of this
/// many agents, since the file grows with them.
const AGENTS_PER_SAVE_INTERVAL: usize = 2_000;
/// Minimum interval between writes if only balancers have changed. Their saved addresses may
/// be out of date: they serve only to notify balancers after a start.
const BALANCER_SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a requested save is assumed to be on disk.
const ASSUMED_WRITE_TIME: Duration = Duration::from_millis(100);
/// Number of replicas that notify each saved agent, so that two of them may be lost. The
/// agent then reports to all replicas.
const NOTIFYING_REPLICAS: usize = 3;

/// Daemons that the previous incarnation saved, and what is on disk now.
#[derive(Debug)]
pub(crate) struct DaemonStore {
    /// Saved daemons that this incarnation has not notified yet.
    unnotified: SavedDaemons,
    /// Daemons of the last requested save; the agents are sorted.
    saved: SavedDaemons,
    /// Time of that request.
    saved_at: Timestamp,
    /// Agents of the save before that one, sorted.
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

    /// Agents of the last requested save.
    pub(crate) fn saved_agents(&self) -> &[u64] {
        &self.saved.agents
    }

    /// Loads what the previous incarnation saved. Returns whether it is readable.
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

    /// Whether an agent is on disk, so that the next incarnation will know it.
    pub(crate) fn is_saved(&self, now: Timestamp, agent: u64) -> bool {
        let is_written = now.saturating_since(self.saved_at) >= ASSUMED_WRITE_TIME;
        let written = match is_written {
            true => &self.saved.agents,
            false => &self.saved_previously,
        };
        // Both lists are sorted.
        self.saved.agents.binary_search(&agent).is_ok() && written.binary_search(&agent).is_ok()
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.next_save_at
    }

    /// The encoded daemons to write, if a save is due and `current` differs from the last
    /// one. An empty list is not saved: the replica may be cut off from its daemons.
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

    /// Takes the saved balancers to notify. Each is notified once per incarnation of the
    /// replica.
    pub(crate) fn take_unnotified_balancers(&mut self) -> Vec<SocketAddrV4> {
        let unnotified = std::mem::take(&mut self.unnotified.balancers);
        unnotified.into_iter().map(unpack_address).collect()
    }

    /// Takes at most `limit` saved agents that replica `own` of `replicas` has to notify. Each
    /// is notified once per incarnation of the replica.
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

/// Packs the addresses of daemons into the saved message.
pub(crate) fn to_saved_daemons(
    balancers: Vec<SocketAddrV4>,
    agents: impl IntoIterator<Item = u64>,
) -> SavedDaemons {
    SavedDaemons {
        balancers: balancers.into_iter().map(pack_address).collect(),
        agents: agents.into_iter().collect(),
    }
}
