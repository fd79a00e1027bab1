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
const OFFER_TTL: Duration = Duration::from_secs(1);
/// Maximum number of balancers that are counted. With more, the expected wait is too short.
const MAX_BALANCERS: usize = 1_024;

/// The balancers that have recently offered new flows to an agent.
#[derive(Debug, Default)]
pub(crate) struct CompetingBalancers {
    offered_at: BTreeMap<SocketAddrV4, Timestamp>,
}

impl CompetingBalancers {
    /// Notes that a balancer offers a new flow.
    pub(crate) fn note_offer(&mut self, now: Timestamp, balancer: SocketAddrV4) {
        if self.offered_at.len() < MAX_BALANCERS || self.offered_at.contains_key(&balancer) {
            self.offered_at.insert(balancer, now);
        }
    }

    /// Removes balancers that no longer offer new flows.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.offered_at
            .retain(|_, offered_at| now.saturating_since(*offered_at) < OFFER_TTL);
    }

    /// Time in which one slot frees for each competing balancer, at a back end with this
    /// processing time and number of slots.
    pub(crate) fn expected_wait(
        &self,
        now: Timestamp,
        processing_time: Duration,
        slots: u32,
    ) -> Duration {
        let competes = |offered_at: &&Timestamp| now.saturating_since(**offered_at) < OFFER_TTL;
        let balancers = self.offered_at.values().filter(competes).count() as u32;
        processing_time.saturating_mul(balancers) / slots.max(1)
    }
}
