//! Flow records that a replica keeps for agents. They are soft state beside the replicated
//! log: bounded in bytes, and written to a file of their own.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    FlowColumns, FlowRecordAck, FlowRecordChange, FlowRecordRequest, FlowRecordResponse,
};
use prost::Message;

use crate::pass_through::flows::closed_flow_columns::{closed_flows, to_closed_columns};
use crate::pass_through::flows::recorded_flow::{RecordedFlow, from_columns, to_columns};
use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::record_file_write::RecordFileWrite;

/// Memory of a flow in bytes, with its entry in a partly filled B-tree.
const FLOW_BYTES: usize = 64;
/// Memory of a record without flows, in bytes.
const RECORD_BYTES: usize = 512;
/// Minimum time that a record is kept without a message of its agent, which requests it every
/// 20 s: two requests may get lost.
const MIN_TTL: Duration = Duration::from_secs(60);
/// Interval between writes to the file. A power loss loses the changes of that time.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the next write after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The file is rewritten once it exceeds its compacted size by this factor.
const COMPACTION_FACTOR: usize = 4;
/// Files up to this size, in bytes, are not compacted.
const SMALL_FILE_BYTES: usize = 64 * 1024;
/// Flows in one part of a response, so that it stays below
/// [`petrellatch_proto::pass_through::MAX_PART_BYTES`].
const FLOWS_PER_PART: usize = 250;
/// Maximum number of parts of a change. No agent sends more.
const MAX_PARTS: u32 = 1_024;

/// Statistics of the flow records that a replica keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowRecordStoreStats {
    /// Number of agents that have a record.
    pub records: usize,
    /// Number of flows in all records.
    pub flows: usize,
    /// Estimated memory in bytes, which counts towards the limit.
    pub bytes: usize,
    /// Number of changes refused since the start because of the memory limit.
    pub refused: u64,
    /// Time since the last synced write, or since the start if there was none.
    pub write_age: Duration,
}

#[derive(Debug, Default)]
struct StoredFlowRecord {
    incarnation: u64,
    backend_incarnation: u64,
    backend_started_at_millis: u64,
    revision: u64,
    /// Initial sequence number of the back end, and last acknowledgement number of the caller.
    flows: BTreeMap<FlowId, (u32, u32)>,
    probe_packets: Vec<Vec<u8>>,
}

impl StoredFlowRecord {
    fn bytes(&self) -> usize {
        let probe_packets: usize = self.probe_packets.iter().map(Vec::len).sum();
        RECORD_BYTES + self.flows.len() * FLOW_BYTES + probe_packets
    }

    fn apply(&mut self, change: &FlowRecordChange) {
        if change.base_revision == 0 {
            *self = StoredFlowRecord::default();
        }
        self.incarnation = change.incarnation;
        self.backend_incarnation = change.backend_incarnation;
        self.backend_started_at_millis = change.backend_started_at_millis;
        self.revision = change.revision;
        for id in closed_flows(&change.removed) {
            self.flows.remove(&id);
        }
        for flow in from_columns(&change.put) {
            self.flows
                .insert(flow.id, (flow.sequence, flow.acknowledged));
        }
        if !change.probe_packets.is_empty() {
            self.probe_packets.clone_from(&change.probe_packets);
        }
    }

    fn to_recorded_flows(&self) -> Vec<RecordedFlow> {
        let flows = self.flows.iter();
        let recorded = flows.map(|(id, (sequence, acknowledged))| RecordedFlow {
            id: *id,
            sequence: *sequence,
            acknowledged: *acknowledged,
        });
        recorded.collect()
    }

    /// The record as a change to an empty one.
    fn to_full_change(&self, agent: u64) -> FlowRecordChange {
        FlowRecordChange {
            agent,
            incarnation: self.incarnation,
            backend_incarnation: self.backend_incarnation,
            backend_started_at_millis: self.backend_started_at_millis,
            base_revision: 0,
            revision: self.revision,
            part: 0,
            parts: 1,
            put: to_columns(self.to_recorded_flows()),
            removed: FlowColumns::default(),
            probe_packets: self.probe_packets.clone(),
        }
    }
}

/// Received parts of a change that is not complete yet.
#[derive(Debug)]
struct IncompleteChange {
    incarnation: u64,
    base_revision: u64,
    revision: u64,
    parts: BTreeMap<u32, FlowRecordChange>,
    bytes: usize,
}

#[derive(Debug)]
struct AgentEntry {
    last_seen_at: Timestamp,
    record: Option<StoredFlowRecord>,
    incomplete: Option<IncompleteChange>,
}

impl AgentEntry {
    fn note_seen(&mut self, now: Timestamp) -> &mut Self {
        self.last_seen_at = now;
        self
    }

    fn bytes(&self) -> usize {
        let record = self.record.as_ref().map_or(0, StoredFlowRecord::bytes);
        let incomplete = self.incomplete.as_ref();
        record + incomplete.map_or(0, |incomplete| incomplete.bytes)
    }
}

/// The records of all agents, and their changes that are not in the file yet.
#[derive(Debug)]
pub(crate) struct FlowRecordStore {
    max_bytes: usize,
    ttl: Duration,
    agents: BTreeMap<u64, AgentEntry>,
    bytes: usize,
    refused: u64,
    /// Encoded changes that are not in the file yet.
    unsaved: Vec<Vec<u8>>,
    unsaved_bytes: usize,
    file_bytes: usize,
    must_replace: bool,
    is_writing: bool,
    last_write_failed: bool,
    next_write_at: Timestamp,
    written_at: Timestamp,
}

impl FlowRecordStore {
    /// Creates a store that takes at most `max_bytes` in memory. A record expires after `ttl`
    /// without a message of its agent, but not before [`MIN_TTL`].
    pub(crate) fn new(now: Timestamp, max_bytes: usize, ttl: Duration) -> Self {
        FlowRecordStore {
            max_bytes,
            ttl: ttl.max(MIN_TTL),
            agents: BTreeMap::new(),
            bytes: 0,
            refused: 0,
            unsaved: Vec::new(),
            unsaved_bytes: 0,
            file_bytes: 0,
            must_replace: false,
            is_writing: false,
            last_write_failed: false,
            next_write_at: now + SAVE_INTERVAL,
            written_at: now,
        }
    }

    pub(crate) fn stats(&self, now: Timestamp) -> FlowRecordStoreStats {
        let records = self
            .agents
            .values()
            .filter_map(|agent| agent.record.as_ref());
        FlowRecordStoreStats {
            records: records.clone().count(),
            flows: records.map(|record| record.flows.len()).sum(),
            bytes: self.bytes,
            refused: self.refused,
            write_age: now.saturating_since(self.written_at),
        }
    }

    /// Loads the changes that the previous incarnation wrote, in their order. Returns whether
    /// all are readable. The agents count as seen now.
    pub(crate) fn load(&mut self, now: Timestamp, saved: &[Vec<u8>]) -> bool {
        let mut is_readable = true;
        for bytes in saved {
            self.file_bytes += bytes.len();
            match FlowRecordChange::decode(bytes.as_slice()) {
                Ok(change) => self.load_change(now, change),
                Err(_) => is_readable = false,
            }
        }
        self.must_replace |= !is_readable;
        is_readable
    }

    fn load_change(&mut self, now: Timestamp, change: FlowRecordChange) {
        let agent = change.agent;
        if change.revision == 0 {
            self.remove_from_memory(agent);
            return;
        }
        let record = self.agents.get(&agent).and_then(|it| it.record.as_ref());
        let revision = record.map_or(0, |it| it.revision);
        if change.base_revision == 0 || (record.is_some() && change.base_revision <= revision) {
            self.apply(now, &change);
        }
    }

    /// Takes a part of a change. Returns the acknowledgement to send, if there is one.
    pub(crate) fn handle_change(
        &mut self,
        now: Timestamp,
        change: FlowRecordChange,
    ) -> Option<FlowRecordAck> {
        let agent = change.agent;
        let (incarnation, base_revision) = (change.incarnation, change.base_revision);
        let entry = self.agents.get_mut(&agent);
        let entry = entry.map(|entry| entry.note_seen(now));
        let record = entry.and_then(|entry| entry.record.as_ref());
        if let Some(record) = record
            && record.revision >= change.revision
        {
            // A duplicate, or a change of an incarnation that does not know this record.
            return Some(ack(record.incarnation, record.revision));
        }
        let is_own = record.is_some_and(|record| record.incarnation == incarnation);
        let revision = record.map_or(0, |record| record.revision);
        if base_revision > 0 && (!is_own || base_revision > revision) {
            return Some(ack(incarnation, if is_own { revision } else { 0 }));
        }
        let added = max_change_bytes(&change);
        if self.bytes + added > self.max_bytes {
            return Some(self.refuse(agent, incarnation));
        }
        let change = self.add_part(now, change)?;
        let revision = change.revision;
        self.apply(now, &change);
        if self.bytes > self.max_bytes {
            return Some(self.refuse(agent, incarnation));
        }
        self.note_unsaved(change.encode_to_vec());
        Some(ack(incarnation, revision))
    }

    /// Adds a part to the others of its change. Returns the merged change once it is
    /// complete.
    fn add_part(&mut self, now: Timestamp, part: FlowRecordChange) -> Option<FlowRecordChange> {
        if part.parts <= 1 {
            return Some(part);
        }
        if part.part >= part.parts || part.parts > MAX_PARTS {
            return None;
        }
        let agent = part.agent;
        let parts = part.parts as usize;
        self.update_agent(now, agent, |entry| {
            let is_same = |it: &IncompleteChange| {
                (it.incarnation, it.base_revision, it.revision)
                    == (part.incarnation, part.base_revision, part.revision)
            };
            if !entry.incomplete.as_ref().is_some_and(is_same) {
                entry.incomplete = Some(IncompleteChange {
                    incarnation: part.incarnation,
                    base_revision: part.base_revision,
                    revision: part.revision,
                    parts: BTreeMap::new(),
                    bytes: 0,
                });
            }
            let incomplete = entry.incomplete.as_mut()?;
            let bytes = max_change_bytes(&part);
            if incomplete.parts.insert(part.part, part).is_none() {
                incomplete.bytes += bytes;
            }
            if incomplete.parts.len() < parts {
                return None;
            }
            entry.incomplete.take().and_then(merge_parts)
        })
    }

    fn apply(&mut self, now: Timestamp, change: &FlowRecordChange) {
        self.update_agent(now, change.agent, |entry| {
            entry.incomplete = None;
            entry.record.get_or_insert_default().apply(change);
        });
    }

    fn update_agent<T>(
        &mut self,
        now: Timestamp,
        agent: u64,
        change: impl FnOnce(&mut AgentEntry) -> T,
    ) -> T {
        let entry = self.agents.entry(agent).or_insert(AgentEntry {
            last_seen_at: now,
            record: None,
            incomplete: None,
        });
        let before = entry.bytes();
        let result = change(entry);
        self.bytes = self.bytes - before + entry.bytes();
        result
    }

    /// Refuses a change over the memory limit. The record is removed, since a partial one
    /// would be taken for a complete one.
    fn refuse(&mut self, agent: u64, incarnation: u64) -> FlowRecordAck {
        self.refused += 1;
        self.remove_record(agent);
        FlowRecordAck {
            is_full: true,
            ..ack(incarnation, 0)
        }
    }

    /// Removes an agent from memory. Returns whether it had a record.
    fn remove_from_memory(&mut self, agent: u64) -> bool {
        let Some(entry) = self.agents.remove(&agent) else {
            return false;
        };
        self.bytes -= entry.bytes();
        entry.record.is_some()
    }

    /// Removes an agent from memory and from the file.
    fn remove_record(&mut self, agent: u64) {
        if self.remove_from_memory(agent) {
            let removal = FlowRecordChange {
                agent,
                ..FlowRecordChange::default()
            };
            self.note_unsaved(removal.encode_to_vec());
        }
    }

    /// The record of the agent's previous incarnation, in parts; one empty part if there is
    /// none.
    pub(crate) fn handle_request(
        &mut self,
        now: Timestamp,
        request: FlowRecordRequest,
    ) -> Vec<FlowRecordResponse> {
        let entry = self.agents.get_mut(&request.agent);
        let entry = entry.map(|entry| entry.note_seen(now));
        let record = entry.and_then(|entry| entry.record.as_ref());
        let previous = record.filter(|record| record.incarnation != request.incarnation);
        let Some(record) = previous else {
            return vec![FlowRecordResponse {
                incarnation: request.incarnation,
                ..FlowRecordResponse::default()
            }];
        };
        let flows = record.to_recorded_flows();
        let parts = flows.len().div_ceil(FLOWS_PER_PART).max(1);
        let part = |part: usize| {
            let flows = flows.chunks(FLOWS_PER_PART).nth(part).unwrap_or_default();
            FlowRecordResponse {
                incarnation: request.incarnation,
                backend_incarnation: record.backend_incarnation,
                backend_started_at_millis: record.backend_started_at_millis,
                revision: record.revision,
                part: part as u32,
                parts: parts as u32,
                flows: to_columns(flows.iter().copied()),
                probe_packets: match part {
                    0 => record.probe_packets.clone(),
                    _ => Vec::new(),
                },
            }
        };
        (0..parts).map(part).collect()
    }

    /// Removes agents that have sent no message for the lifetime of a record.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let ttl = self.ttl;
        let is_expired = |entry: &AgentEntry| now.saturating_since(entry.last_seen_at) >= ttl;
        let agents = self.agents.iter();
        let expired = agents.filter(|(_, entry)| is_expired(entry));
        let expired: Vec<u64> = expired.map(|(agent, _)| *agent).collect();
        for agent in expired {
            self.remove_record(agent);
        }
    }

    fn note_unsaved(&mut self, bytes: Vec<u8>) {
        self.unsaved_bytes += bytes.len();
        self.unsaved.push(bytes);
        let limit = self.compacted_file_bytes().max(SMALL_FILE_BYTES);
        if self.must_replace || self.unsaved_bytes > limit {
            // All records together take fewer bytes than the unsaved changes.
            self.must_replace = true;
            self.unsaved.clear();
            self.unsaved_bytes = 0;
        }
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.next_write_at
    }

    /// The next write, if it is due, none is in progress and something has changed.
    pub(crate) fn poll_write(&mut self, now: Timestamp) -> Option<RecordFileWrite> {
        if now < self.next_write_at {
            return None;
        }
        self.next_write_at = now + SAVE_INTERVAL;
        let has_changed = self.must_replace || !self.unsaved.is_empty();
        if self.is_writing || !has_changed {
            return None;
        }
        self.is_writing = true;
        let unsaved = std::mem::take(&mut self.unsaved);
        self.file_bytes += std::mem::take(&mut self.unsaved_bytes);
        let has_grown = self.file_bytes > SMALL_FILE_BYTES
            && self.file_bytes > COMPACTION_FACTOR * self.compacted_file_bytes();
        if !self.must_replace && !has_grown {
            return Some(RecordFileWrite::Append(unsaved));
        }
        self.must_replace = false;
        let full = self.agents.iter();
        let full =
            full.filter_map(|(agent, entry)| Some(entry.record.as_ref()?.to_full_change(*agent)));
        let full: Vec<Vec<u8>> = full.map(|full| full.encode_to_vec()).collect();
        self.file_bytes = full.iter().map(Vec::len).sum();
        Some(RecordFileWrite::Replace(full))
    }

    /// Estimated size of the file after compaction, in bytes: a flow takes a quarter there of
    /// what it takes in memory.
    fn compacted_file_bytes(&self) -> usize {
        self.bytes / 4
    }

    /// Notes the result of a write. Returns whether it is the first failure since the last
    /// success.
    pub(crate) fn note_written(&mut self, now: Timestamp, succeeded: bool) -> bool {
        self.is_writing = false;
        if succeeded {
            self.written_at = now;
            self.last_write_failed = false;
            return false;
        }
        // The file may contain a part of the failed write.
        self.must_replace = true;
        self.next_write_at = now + RETRY_INTERVAL;
        !std::mem::replace(&mut self.last_write_failed, true)
    }
}

fn ack(incarnation: u64, revision: u64) -> FlowRecordAck {
    FlowRecordAck {
        incarnation,
        revision,
        is_full: false,
    }
}

/// Upper bound of the memory that a change takes, in bytes.
fn max_change_bytes(change: &FlowRecordChange) -> usize {
    let probe_packets: usize = change.probe_packets.iter().map(Vec::len).sum();
    let flows = change.put.callers.len() + change.removed.callers.len();
    flows * FLOW_BYTES + probe_packets
}

/// Merges all parts of a change into one.
fn merge_parts(incomplete: IncompleteChange) -> Option<FlowRecordChange> {
    let mut parts = incomplete.parts.into_values();
    let mut full = parts.next()?;
    let mut put = from_columns(&full.put);
    let mut removed = closed_flows(&full.removed);
    for part in parts {
        put.extend(from_columns(&part.put));
        removed.extend(closed_flows(&part.removed));
        full.probe_packets.extend(part.probe_packets);
    }
    (full.part, full.parts) = (0, 1);
    full.put = to_columns(put);
    full.removed = to_closed_columns(&removed);
    Some(full)
}
