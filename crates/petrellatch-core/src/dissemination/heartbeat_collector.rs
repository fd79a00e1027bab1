//! Combines the heartbeats of many daemons on their way up.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::dissemination::{Heartbeat, HeartbeatEntry};
use prost::Message;

use crate::identity::NodeId;
use crate::time::Timestamp;

use super::link_settings::HEARTBEAT_COMBINE_INTERVAL;

/// Target size of one combined heartbeat, in encoded bytes.
const HEARTBEAT_BATCH_BYTES: usize = 8 * 1024;

/// How long the first entry after an idle time waits for others.
const COLLECT_DELAY: Duration = Duration::from_millis(20);

/// Entries that wait to be passed on, the newest of each daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatCollector {
    waiting: BTreeMap<NodeId, HeartbeatEntry>,
    due: Option<Timestamp>,
    last_flush: Option<Timestamp>,
}

impl HeartbeatCollector {
    /// Takes an entry that is newer than those before it.
    pub(super) fn insert(&mut self, now: Timestamp, mut entry: HeartbeatEntry) {
        let node = NodeId(entry.node);
        if let Some(waiting) = self.waiting.remove(&node) {
            merge(&waiting, &mut entry);
        }
        self.waiting.insert(node, entry);
        let distance = self.last_flush.map(|at| at + HEARTBEAT_COMBINE_INTERVAL);
        let earliest = (now + COLLECT_DELAY).max(distance.unwrap_or(now));
        self.due.get_or_insert(earliest);
    }

    /// When the entries are passed on.
    pub(super) fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// Returns what is to be passed on now.
    pub(super) fn handle_timeout(&mut self, now: Timestamp) -> Vec<Heartbeat> {
        if self.due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.due = None;
        self.last_flush = Some(now);
        let entries = std::mem::take(&mut self.waiting).into_values();
        into_batches(entries)
    }
}

/// Carries over loads that only the older entry of a daemon reports.
fn merge(older: &HeartbeatEntry, newer: &mut HeartbeatEntry) {
    if older.incarnation != newer.incarnation {
        return;
    }
    for load in &older.loads {
        let known = newer
            .loads
            .iter()
            .any(|other| other.backend == load.backend);
        if !known {
            newer.loads.push(*load);
        }
    }
}

fn into_batches(entries: impl Iterator<Item = HeartbeatEntry>) -> Vec<Heartbeat> {
    let mut batches: Vec<Heartbeat> = Vec::new();
    let mut bytes = HEARTBEAT_BATCH_BYTES;
    for entry in entries {
        let size = entry.encoded_len();
        if bytes + size > HEARTBEAT_BATCH_BYTES {
            batches.push(Heartbeat::default());
            bytes = 0;
        }
        bytes += size;
        if let Some(batch) = batches.last_mut() {
            batch.entries.push(entry);
        }
    }
    batches
}
