//! What a replica remembers of daemons from one life to the next.
//!
//! After a loss of power balancers and agents know only the replicas that their
//! settings name, and these may start later than the others. So a replica that
//! hears a leader again tells the daemons of its former life where the group is.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{RememberedDaemons, pack_address, unpack_address};
use prost::Message;

use crate::time::Timestamp;

use super::agent_replicas::is_chosen;

/// Between two looks at whether daemons changed: a write takes the disk from the
/// log for some 15 ms, and what is told is only a hint.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// An agent reports to all replicas; so many of them tell it where the group is,
/// so that it is told although two of them are lost.
const TOLD_BY: usize = 3;

/// The daemons of the former life, and what is on disk.
#[derive(Debug)]
pub(crate) struct DaemonMemory {
    /// Daemons that have not been told in this life.
    untold: RememberedDaemons,
    saved: RememberedDaemons,
    save_at: Timestamp,
}

impl DaemonMemory {
    pub(crate) fn new(now: Timestamp) -> Self {
        DaemonMemory {
            untold: RememberedDaemons::default(),
            saved: RememberedDaemons::default(),
            save_at: now + SAVE_INTERVAL,
        }
    }

    /// Takes what a former life saved. Returns whether it could be read.
    pub(crate) fn recall(&mut self, bytes: &[u8]) -> bool {
        let Ok(saved) = RememberedDaemons::decode(bytes) else {
            return false;
        };
        self.untold = saved.clone();
        self.saved = saved;
        true
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.save_at
    }

    /// What to save, if that is due and `current` differs from what is saved. A
    /// replica that hears nobody may be cut off; it keeps what it has.
    pub(crate) fn save(
        &mut self,
        now: Timestamp,
        current: impl FnOnce() -> RememberedDaemons,
    ) -> Option<Vec<u8>> {
        if now < self.save_at {
            return None;
        }
        self.save_at = now + SAVE_INTERVAL;
        let current = current();
        let hears_nobody = current == RememberedDaemons::default();
        if current == self.saved || hears_nobody {
            return None;
        }
        self.saved = current;
        Some(self.saved.encode_to_vec())
    }

    /// The daemons that this replica, one of `replicas`, tells where the group
    /// is. Each is told once in a life.
    pub(crate) fn take_untold(&mut self, own: u64, replicas: &[u64]) -> Vec<SocketAddrV4> {
        let untold = std::mem::take(&mut self.untold);
        let agents = untold.agents.into_iter();
        let agents = agents.filter(|agent| is_chosen(*agent, own, replicas, TOLD_BY));
        let daemons = untold.balancers.into_iter().chain(agents);
        daemons.map(unpack_address).collect()
    }
}

/// Packs the addresses of daemons.
pub(crate) fn remembered(
    balancers: Vec<SocketAddrV4>,
    agents: impl Iterator<Item = u64>,
) -> RememberedDaemons {
    RememberedDaemons {
        balancers: balancers.into_iter().map(pack_address).collect(),
        agents: agents.collect(),
    }
}
