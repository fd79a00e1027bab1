//! Opening packets that come before a balancer is current.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

/// Packets that are kept; more are dropped, and their callers repeat them.
const MAX_KEPT: usize = 512;
/// A packet that waited longer is of a caller that has sent a copy since.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// The latest opening packet of each flow. A caller repeats it only twice, so
/// one that is dropped may be the last.
#[derive(Debug, Default)]
pub(super) struct EarlyOpenings {
    packets: BTreeMap<FlowId, (Timestamp, Vec<u8>)>,
}

impl EarlyOpenings {
    pub(super) fn keep(&mut self, now: Timestamp, flow: FlowId, packet: &[u8]) {
        if self.packets.len() < MAX_KEPT || self.packets.contains_key(&flow) {
            self.packets.insert(flow, (now, packet.to_vec()));
        }
    }

    /// Takes out the packets whose callers still wait for an answer.
    pub(super) fn take(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        let packets = std::mem::take(&mut self.packets).into_values();
        let is_fresh =
            |(kept_at, _): &(Timestamp, Vec<u8>)| now.saturating_since(*kept_at) < MAX_WAIT;
        packets.filter(is_fresh).map(|(_, packet)| packet).collect()
    }
}
