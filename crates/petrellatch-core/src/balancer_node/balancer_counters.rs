//! What a balancer counts.

use std::collections::BTreeMap;

use crate::routing::DropReason;

/// Counters of one balancer since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BalancerCounters {
    /// Packets that came from the fabric.
    pub packets: u64,
    /// Packets that were passed on to an agent.
    pub forwarded: u64,
    /// Packets that were dropped, by reason.
    pub drops: BTreeMap<DropReason, u64>,
}
