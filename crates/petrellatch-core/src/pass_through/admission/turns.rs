//! Expected wait of a balancer until a slot of a full back end frees for it.
//!
//! An agent sends it with a decline, so that the balancer makes no offer before: that would be
//! declined too, and offers and declines fill the balancers' links.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// A balancer that offered a new flow within this time competes for slots. One that backs off,
/// for at most a tenth of this time, still competes.
const MEMORY: Duration = Duration::from_secs(1);
/// Maximum number of balancers that are counted. With more, the expected wait is too short.
const MAX_BALANCERS: usize = 1_024;

/// The balancers that have recently offered new flows to an agent.
#[derive(Debug, Default)]
pub(crate) struct AskingBalancers {
    asked_at: BTreeMap<SocketAddrV4, Timestamp>,
}

impl AskingBalancers {
    /// Notes that a balancer offers a new flow.
    pub(crate) fn note_asked(&mut self, now: Timestamp, balancer: SocketAddrV4) {
        if self.asked_at.len() < MAX_BALANCERS || self.asked_at.contains_key(&balancer) {
            self.asked_at.insert(balancer, now);
        }
    }

    /// Removes balancers that no longer offer new flows.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.asked_at
            .retain(|_, asked_at| now.saturating_since(*asked_at) < MEMORY);
    }

    /// Time in which one slot frees for each competing balancer, at a back end with this
    /// processing time and number of slots.
    pub(crate) fn turn(&self, now: Timestamp, work: Duration, slots: u32) -> Duration {
        let asks = |asked_at: &&Timestamp| now.saturating_since(**asked_at) < MEMORY;
        let balancers = self.asked_at.values().filter(asks).count() as u32;
        work.saturating_mul(balancers) / slots.max(1)
    }
}
