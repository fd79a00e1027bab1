//! What an agent counts.

use std::collections::BTreeMap;

use crate::admission::RefusalReason;
use crate::routing::DropReason;

/// Counters of one agent since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Datagrams with a caller packet that arrived.
    pub packets: u64,
    /// Packets that were passed on to another agent.
    pub forwarded: u64,
    /// Packets that were dropped, by reason.
    pub drops: BTreeMap<DropReason, u64>,
    /// New flows that were admitted here.
    pub admitted: u64,
    /// New flows that were passed to another back end.
    pub hunted: u64,
    /// New flows that other agents passed here and that were admitted.
    pub hunted_in: u64,
    /// New flows that were refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Resets that answered a packet of an unknown flow.
    pub resets: u64,
    /// Flows that were reset because their back end failed after it got bytes.
    pub broken: u64,
    /// Flows that ended.
    pub ended: u64,
    /// Connections to back ends that failed.
    pub connect_failures: u64,
}

impl AgentCounters {
    /// Counts a dropped packet.
    pub(super) fn count_drop(&mut self, reason: DropReason) {
        *self.drops.entry(reason).or_default() += 1;
    }

    /// Counts a refused flow.
    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }
}
