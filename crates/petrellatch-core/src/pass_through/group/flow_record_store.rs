//! The records of open flows that a replica keeps for agents. They are soft state beside
//! the log: bounded in bytes, and written to a file of their own.

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

/// What a flow takes in memory, in bytes, with its place in a tree that is part full.
const FLOW_BYTES: usize = 64;
/// The same of a record without flows.
const RECORD_BYTES: usize = 512;
/// A record is kept at least so long without word of its agent, which asks for it every
/// 20 s: two questions may get lost.
const LEAST_LIFETIME: Duration = Duration::from_secs(60);
/// Between two writes to the file: what is younger is lost with the power.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// After a write that failed, the next one comes so much later.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The file is made anew once it has grown to so many times what it would then have.
const COMPACTION_FACTOR: usize = 4;
/// A smaller file is left as it is, in bytes.
const SMALL_FILE_BYTES: usize = 64 * 1024;
/// Flows in one part of an answer, so that it stays below
/// [`petrellatch_proto::pass_through::MAX_PART_BYTES`].
const FLOWS_PER_PART: usize = 250;
/// The most parts of a change: what is larger is no change that an agent made.
const MAX_PARTS: u32 = 1_024;

/// Something for the file of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowRecordWrite {
    /// Append these to the file, and sync it.
    Append(Vec<Vec<u8>>),
    /// Make the file anew with these.
    Replace(Vec<Vec<u8>>),
}

/// What a replica keeps, as numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowRecordStoreStats {
    /// Agents that have a record here.
    pub records: usize,
    /// Their flows.
    pub flows: usize,
    /// Bytes in memory, as they count for the limit.
    pub bytes: usize,
    /// Changes that were refused for lack of room, since the start.
    pub refused: u64,
    /// Since the last write that was synced, or since the start.
    pub write_age: Duration,
}

#[derive(Debug, Default)]
struct Kept {
    incarnation: u64,
    backend: u64,
    number: u64,
    /// First sequence number of the back end, and what the caller has acknowledged.
    flows: BTreeMap<FlowId, (u32, u32)>,
    witnesses: Vec<Vec<u8>>,
}

impl Kept {
    fn bytes(&self) -> usize {
        let witnesses: usize = self.witnesses.iter().map(Vec::len).sum();
        RECORD_BYTES + self.flows.len() * FLOW_BYTES + witnesses
    }

    fn apply(&mut self, change: &FlowRecordChange) {
        if change.base_revision == 0 {
            *self = Kept::default();
        }
        self.incarnation = change.incarnation;
        self.backend = change.backend_incarnation;
        self.number = change.revision;
        for id in closed_flows(&change.removed) {
            self.flows.remove(&id);
        }
        for flow in from_columns(&change.put) {
            self.flows
                .insert(flow.id, (flow.sequence, flow.acknowledged));
        }
        if !change.probe_packets.is_empty() {
            self.witnesses.clone_from(&change.probe_packets);
        }
    }

    fn recorded(&self) -> Vec<RecordedFlow> {
        let flows = self.flows.iter();
        let recorded = flows.map(|(id, (sequence, acknowledged))| RecordedFlow {
            id: *id,
            sequence: *sequence,
            acknowledged: *acknowledged,
        });
        recorded.collect()
    }

    /// The record as a change of nothing.
    fn whole(&self, agent: u64) -> FlowRecordChange {
        FlowRecordChange {
            agent,
            incarnation: self.incarnation,
            backend_incarnation: self.backend,
            base_revision: 0,
            revision: self.number,
            part: 0,
            parts: 1,
            put: to_columns(self.recorded()),
            removed: FlowColumns::default(),
            probe_packets: self.witnesses.clone(),
        }
    }
}

/// Parts of a change that is not complete.
#[derive(Debug)]
struct Incomplete {
    incarnation: u64,
    base: u64,
    number: u64,
    parts: BTreeMap<u32, FlowRecordChange>,
    bytes: usize,
}

#[derive(Debug)]
struct AgentRecord {
    heard_at: Timestamp,
    kept: Option<Kept>,
    incomplete: Option<Incomplete>,
}

impl AgentRecord {
    fn hear(&mut self, now: Timestamp) -> &mut Self {
        self.heard_at = now;
        self
    }

    fn bytes(&self) -> usize {
        let kept = self.kept.as_ref().map_or(0, Kept::bytes);
        let incomplete = self.incomplete.as_ref();
        kept + incomplete.map_or(0, |incomplete| incomplete.bytes)
    }
}

/// The records, and what of them is to be written.
#[derive(Debug)]
pub(crate) struct FlowRecords {
    limit_bytes: usize,
    lifetime: Duration,
    agents: BTreeMap<u64, AgentRecord>,
    bytes: usize,
    refused: u64,
    /// Changes that are not in the file.
    unsaved: Vec<Vec<u8>>,
    unsaved_bytes: usize,
    file_bytes: usize,
    must_replace: bool,
    is_writing: bool,
    has_failed: bool,
    save_at: Timestamp,
    saved_at: Timestamp,
}

impl FlowRecords {
    /// Records that take at most `limit_bytes` in memory, each as long as its agent is
    /// heard of within `lifetime`.
    pub(crate) fn new(now: Timestamp, limit_bytes: usize, lifetime: Duration) -> Self {
        FlowRecords {
            limit_bytes,
            lifetime: lifetime.max(LEAST_LIFETIME),
            agents: BTreeMap::new(),
            bytes: 0,
            refused: 0,
            unsaved: Vec::new(),
            unsaved_bytes: 0,
            file_bytes: 0,
            must_replace: false,
            is_writing: false,
            has_failed: false,
            save_at: now + SAVE_INTERVAL,
            saved_at: now,
        }
    }

    pub(crate) fn figures(&self, now: Timestamp) -> FlowRecordStoreStats {
        let kept = self.agents.values().filter_map(|agent| agent.kept.as_ref());
        FlowRecordStoreStats {
            records: kept.clone().count(),
            flows: kept.map(|kept| kept.flows.len()).sum(),
            bytes: self.bytes,
            refused: self.refused,
            write_age: now.saturating_since(self.saved_at),
        }
    }

    /// Takes what a former life wrote, in that order. Returns whether all of it could be
    /// read. The agents count as heard now.
    pub(crate) fn recall(&mut self, now: Timestamp, saved: &[Vec<u8>]) -> bool {
        let mut is_readable = true;
        for bytes in saved {
            self.file_bytes += bytes.len();
            match FlowRecordChange::decode(bytes.as_slice()) {
                Ok(change) => self.take_whole(now, change),
                Err(_) => is_readable = false,
            }
        }
        self.must_replace |= !is_readable;
        is_readable
    }

    fn take_whole(&mut self, now: Timestamp, change: FlowRecordChange) {
        let agent = change.agent;
        if change.revision == 0 {
            self.forget(agent);
            return;
        }
        let known = self.agents.get(&agent).and_then(|it| it.kept.as_ref());
        let number = known.map_or(0, |kept| kept.number);
        if change.base_revision == 0 || (known.is_some() && change.base_revision <= number) {
            self.apply(now, &change);
        }
    }

    /// Takes a part of a change. Returns what to answer, if the agent must know.
    pub(crate) fn handle_change(
        &mut self,
        now: Timestamp,
        change: FlowRecordChange,
    ) -> Option<FlowRecordAck> {
        let agent = change.agent;
        let (incarnation, base) = (change.incarnation, change.base_revision);
        let known = self.agents.get_mut(&agent);
        let known = known.map(|known| known.hear(now));
        let kept = known.and_then(|known| known.kept.as_ref());
        if let Some(kept) = kept
            && kept.number >= change.revision
        {
            // A copy, or a life that does not know of this one.
            return Some(answer(kept.incarnation, kept.number));
        }
        let is_own = kept.is_some_and(|kept| kept.incarnation == incarnation);
        let number = kept.map_or(0, |kept| kept.number);
        if base > 0 && (!is_own || base > number) {
            return Some(answer(incarnation, if is_own { number } else { 0 }));
        }
        let added = change_bytes(&change);
        if self.bytes + added > self.limit_bytes {
            return Some(self.refuse(agent, incarnation));
        }
        let change = self.complete(now, change)?;
        let number = change.revision;
        self.apply(now, &change);
        if self.bytes > self.limit_bytes {
            return Some(self.refuse(agent, incarnation));
        }
        self.note_unsaved(change.encode_to_vec());
        Some(answer(incarnation, number))
    }

    /// Puts a part to those of the same change. Returns all in one once none is missing.
    fn complete(&mut self, now: Timestamp, part: FlowRecordChange) -> Option<FlowRecordChange> {
        if part.parts <= 1 {
            return Some(part);
        }
        if part.part >= part.parts || part.parts > MAX_PARTS {
            return None;
        }
        let agent = part.agent;
        let parts = part.parts as usize;
        self.change_agent(now, agent, |known| {
            let is_same = |it: &Incomplete| {
                (it.incarnation, it.base, it.number)
                    == (part.incarnation, part.base_revision, part.revision)
            };
            if !known.incomplete.as_ref().is_some_and(is_same) {
                known.incomplete = Some(Incomplete {
                    incarnation: part.incarnation,
                    base: part.base_revision,
                    number: part.revision,
                    parts: BTreeMap::new(),
                    bytes: 0,
                });
            }
            let incomplete = known.incomplete.as_mut()?;
            let bytes = change_bytes(&part);
            if incomplete.parts.insert(part.part, part).is_none() {
                incomplete.bytes += bytes;
            }
            if incomplete.parts.len() < parts {
                return None;
            }
            known.incomplete.take().and_then(merge)
        })
    }

    fn apply(&mut self, now: Timestamp, change: &FlowRecordChange) {
        self.change_agent(now, change.agent, |known| {
            known.incomplete = None;
            known.kept.get_or_insert_default().apply(change);
        });
    }

    fn change_agent<T>(
        &mut self,
        now: Timestamp,
        agent: u64,
        change: impl FnOnce(&mut AgentRecord) -> T,
    ) -> T {
        let known = self.agents.entry(agent).or_insert(AgentRecord {
            heard_at: now,
            kept: None,
            incomplete: None,
        });
        let before = known.bytes();
        let result = change(known);
        self.bytes = self.bytes - before + known.bytes();
        result
    }

    /// There is no room: half a record would count as one, so that none is kept.
    fn refuse(&mut self, agent: u64, incarnation: u64) -> FlowRecordAck {
        self.refused += 1;
        self.drop_record(agent);
        FlowRecordAck {
            is_full: true,
            ..answer(incarnation, 0)
        }
    }

    /// Forgets an agent. Returns whether it had a record.
    fn forget(&mut self, agent: u64) -> bool {
        let Some(known) = self.agents.remove(&agent) else {
            return false;
        };
        self.bytes -= known.bytes();
        known.kept.is_some()
    }

    /// Forgets an agent, in the file as well.
    fn drop_record(&mut self, agent: u64) {
        if self.forget(agent) {
            let dropped = FlowRecordChange {
                agent,
                ..FlowRecordChange::default()
            };
            self.note_unsaved(dropped.encode_to_vec());
        }
    }

    /// The record of a former life, in parts.
    pub(crate) fn handle_recall(
        &mut self,
        now: Timestamp,
        question: FlowRecordRequest,
    ) -> Vec<FlowRecordResponse> {
        let known = self.agents.get_mut(&question.agent);
        let known = known.map(|known| known.hear(now));
        let kept = known.and_then(|known| known.kept.as_ref());
        let former = kept.filter(|kept| kept.incarnation != question.incarnation);
        let Some(kept) = former else {
            return vec![FlowRecordResponse {
                incarnation: question.incarnation,
                ..FlowRecordResponse::default()
            }];
        };
        let flows = kept.recorded();
        let parts = flows.len().div_ceil(FLOWS_PER_PART).max(1);
        let part = |part: usize| {
            let flows = flows.chunks(FLOWS_PER_PART).nth(part).unwrap_or_default();
            FlowRecordResponse {
                incarnation: question.incarnation,
                backend_incarnation: kept.backend,
                revision: kept.number,
                part: part as u32,
                parts: parts as u32,
                flows: to_columns(flows.iter().copied()),
                probe_packets: match part {
                    0 => kept.witnesses.clone(),
                    _ => Vec::new(),
                },
            }
        };
        (0..parts).map(part).collect()
    }

    /// Forgets agents that have not been heard of for the lifetime of a flow.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let lifetime = self.lifetime;
        let is_gone = |known: &AgentRecord| now.saturating_since(known.heard_at) >= lifetime;
        let agents = self.agents.iter();
        let gone = agents.filter(|(_, known)| is_gone(known));
        let gone: Vec<u64> = gone.map(|(agent, _)| *agent).collect();
        for agent in gone {
            self.drop_record(agent);
        }
    }

    fn note_unsaved(&mut self, bytes: Vec<u8>) {
        self.unsaved_bytes += bytes.len();
        self.unsaved.push(bytes);
        let whole = self.file_bytes_of_whole().max(SMALL_FILE_BYTES);
        if self.must_replace || self.unsaved_bytes > whole {
            // All records together take less.
            self.must_replace = true;
            self.unsaved.clear();
            self.unsaved_bytes = 0;
        }
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.save_at
    }

    /// What is to be written, if that is due, no write is under way and something changed.
    pub(crate) fn poll_write(&mut self, now: Timestamp) -> Option<FlowRecordWrite> {
        if now < self.save_at {
            return None;
        }
        self.save_at = now + SAVE_INTERVAL;
        let has_changed = self.must_replace || !self.unsaved.is_empty();
        if self.is_writing || !has_changed {
            return None;
        }
        self.is_writing = true;
        let unsaved = std::mem::take(&mut self.unsaved);
        self.file_bytes += std::mem::take(&mut self.unsaved_bytes);
        let has_grown = self.file_bytes > SMALL_FILE_BYTES
            && self.file_bytes > COMPACTION_FACTOR * self.file_bytes_of_whole();
        if !self.must_replace && !has_grown {
            return Some(FlowRecordWrite::Append(unsaved));
        }
        self.must_replace = false;
        let whole = self.agents.iter();
        let whole = whole.filter_map(|(agent, known)| Some(known.kept.as_ref()?.whole(*agent)));
        let whole: Vec<Vec<u8>> = whole.map(|whole| whole.encode_to_vec()).collect();
        self.file_bytes = whole.iter().map(Vec::len).sum();
        Some(FlowRecordWrite::Replace(whole))
    }

    /// About what the file would have if it was made anew: a flow takes a quarter there of
    /// what it takes in memory.
    fn file_bytes_of_whole(&self) -> usize {
        self.bytes / 4
    }

    /// Notes how a write ended. Returns whether it is the first one that failed.
    pub(crate) fn note_written(&mut self, now: Timestamp, succeeded: bool) -> bool {
        self.is_writing = false;
        if succeeded {
            self.saved_at = now;
            self.has_failed = false;
            return false;
        }
        // A part of it may be in the file.
        self.must_replace = true;
        self.save_at = now + RETRY_INTERVAL;
        !std::mem::replace(&mut self.has_failed, true)
    }
}

fn answer(incarnation: u64, number: u64) -> FlowRecordAck {
    FlowRecordAck {
        incarnation,
        revision: number,
        is_full: false,
    }
}

/// What a change takes in memory at most.
fn change_bytes(change: &FlowRecordChange) -> usize {
    let witnesses: usize = change.probe_packets.iter().map(Vec::len).sum();
    let flows = change.put.callers.len() + change.removed.callers.len();
    flows * FLOW_BYTES + witnesses
}

/// All parts in one.
fn merge(incomplete: Incomplete) -> Option<FlowRecordChange> {
    let mut parts = incomplete.parts.into_values();
    let mut whole = parts.next()?;
    let mut put = from_columns(&whole.put);
    let mut removed = closed_flows(&whole.removed);
    for part in parts {
        put.extend(from_columns(&part.put));
        removed.extend(closed_flows(&part.removed));
        whole.probe_packets.extend(part.probe_packets);
    }
    (whole.part, whole.parts) = (0, 1);
    whole.put = to_columns(put);
    whole.removed = to_closed_columns(&removed);
    Some(whole)
}
