//! How long a balancer is likely to wait until a place at a full back end is its own.
//!
//! A balancer that is told this with a refusal need not ask before: its question would
//! be refused, and questions and refusals fill the balancers' links.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// A balancer that offered a new flow within this span takes part in the turns. One that
/// pauses between its turns, for a tenth of that at most, stays in.
const MEMORY: Duration = Duration::from_secs(1);
/// Balancers that are remembered; with more the turns are foretold too short.
const MAX_BALANCERS: usize = 1_024;

/// The balancers that have lately offered new flows to an agent.
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

    /// Forgets balancers that offer nothing any more.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.asked_at
            .retain(|_, asked_at| now.saturating_since(*asked_at) < MEMORY);
    }

    /// The time in which one place comes free for each balancer that asks, at a back end
    /// with so many slots that works on a request for so long.
    pub(crate) fn turn(&self, now: Timestamp, work: Duration, slots: u32) -> Duration {
        let asks = |asked_at: &&Timestamp| now.saturating_since(**asked_at) < MEMORY;
        let balancers = self.asked_at.values().filter(asks).count() as u32;
        work.saturating_mul(balancers) / slots.max(1)
    }
}
