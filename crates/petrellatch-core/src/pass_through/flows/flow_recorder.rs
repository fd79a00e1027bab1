//! Keeps the flow record of an agent at its record replicas up to date.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{ACKNOWLEDGED_STEP_BYTES, FlowRecordAck, FlowRecordChange};

use super::agent_flows::{AgentFlow, AgentFlows};
use super::closed_flow_columns::to_closed_columns;
use super::recorded_flow::{RecordedFlow, to_columns};
use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

/// Number of probe packets in the record. All of them must be returned to show that a back
/// end incarnation has ended: a fourth would shorten the restart probe little, and a single
/// one may get lost.
const WITNESSES: usize = 3;
/// A flow is sent again once its acknowledgement has advanced by this many bytes. A caller
/// accepts a reset within its receive window, and this leaves half of the smallest usual
/// window for data in flight.
const RENEWAL_BYTES: u32 = 2 * ACKNOWLEDGED_STEP_BYTES;
/// Flows per part of a change. With the longest encoding of all columns, a part stays below
/// [`petrellatch_proto::pass_through::MAX_PART_BYTES`].
const FLOWS_PER_PART: usize = 170;
/// Rate limit of changes to one record replica, in bytes per second, so that a complete
/// record leaves bandwidth on slow links.
const BYTES_PER_SECOND: usize = 3 * 1024;
/// Delay after which an unacknowledged change is built and sent again. It doubles with each
/// attempt, up to `MAX_RESEND`.
const FIRST_RESEND: Duration = Duration::from_millis(500);
const MAX_RESEND: Duration = Duration::from_secs(8);
/// Interval of checks whether a record replica still has the newest record. A replica that
/// was replaced by an empty machine doesn't know that it lacks the record, and a replica
/// that no longer keeps the record notices that the checks stop.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Delay after which the record is sent again to a record replica without capacity. It
/// doubles with each attempt, up to `MAX_FULL_RETRY`: where many agents find no capacity,
/// their retries must cost little.
const FULL_RETRY: Duration = Duration::from_secs(10);
const MAX_FULL_RETRY: Duration = Duration::from_secs(320);
/// Closed flows that are kept for record replicas that missed their removal. A replica that
/// missed more is sent the complete record.
const MAX_ENDS: usize = 4_096;

/// Settings of an agent's flow record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecordSettings {
    /// Minimum age of recorded flows; zero disables the record. Shorter flows would end before
    /// their record is written.
    pub min_flow_age: Duration,
    /// Maximum number of recorded flows.
    pub max_flows: usize,
    /// Number of replicas that keep the record.
    pub record_replicas: usize,
}

impl Default for FlowRecordSettings {
    fn default() -> Self {
        FlowRecordSettings {
            min_flow_age: Duration::from_secs(1),
            max_flows: 16 * 1024,
            record_replicas: 3,
        }
    }
}

/// Statistics of an agent's flow record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowRecorderStats {
    /// Number of recorded flows.
    pub recorded: usize,
    /// Number of flows that are old enough but exceed [`FlowRecordSettings::max_flows`].
    pub over_limit: usize,
    /// Number of record replicas that haven't acknowledged the newest revision.
    pub unacknowledged: usize,
    /// Number of record replicas without capacity for the record.
    pub full_replicas: usize,
}

#[derive(Debug)]
struct Recorded {
    flow: RecordedFlow,
    /// Revision in which the flow was last changed.
    number: u64,
}

/// State of one record replica.
#[derive(Debug, Default)]
struct Keeper {
    /// Revision that it has acknowledged; zero for none.
    kept: u64,
    /// Parts of a change that are still to be sent.
    parts: VecDeque<FlowRecordChange>,
    /// Earliest time of the next message.
    next_at: Timestamp,
    /// Time from which the sent change counts as lost.
    resend_at: Timestamp,
    resends: u32,
    /// Time of the next check whether it still has the newest revision.
    check_at: Timestamp,
    is_full: bool,
    /// Number of consecutive refusals.
    refusals: u32,
}

/// State machine that sends an agent's flow record to its record replicas.
#[derive(Debug)]
pub(crate) struct FlowRecorder {
    settings: FlowRecordSettings,
    number: u64,
    /// Whether this incarnation has had anything to record. Until then nothing is sent, so that
    /// the record of the previous incarnation stays.
    has_record: bool,
    backend: u64,
    recorded: HashMap<FlowId, Recorded>,
    beyond_limit: usize,
    /// Closed flows with the revisions that removed them, in that order.
    ended: VecDeque<(u64, FlowId)>,
    /// A replica with an older revision is sent the complete record.
    ends_since: u64,
    witnesses: BTreeMap<FlowId, Vec<u8>>,
    witness_number: u64,
    keepers: BTreeMap<SocketAddrV4, Keeper>,
}

impl FlowRecorder {
    pub(crate) fn new(settings: FlowRecordSettings) -> Self {
        FlowRecorder {
            settings,
            number: 0,
            has_record: false,
            backend: 0,
            recorded: HashMap::new(),
            beyond_limit: 0,
            ended: VecDeque::new(),
            ends_since: 0,
            witnesses: BTreeMap::new(),
            witness_number: 0,
            keepers: BTreeMap::new(),
        }
    }

    /// Continues above the revision of the previous incarnation's record.
    pub(crate) fn continue_from(&mut self, number: u64) {
        if number >= self.number {
            self.number = number;
            self.ends_since = number;
        }
    }

    pub(crate) fn stats(&self) -> FlowRecorderStats {
        let keepers = self.keepers.values();
        let is_behind = |keeper: &&Keeper| keeper.kept < self.number;
        let behind = keepers.clone().filter(is_behind).count();
        FlowRecorderStats {
            recorded: self.recorded.len(),
            over_limit: self.beyond_limit,
            unacknowledged: if self.has_record { behind } else { 0 },
            full_replicas: keepers.filter(|keeper| keeper.is_full).count(),
        }
    }

    /// Sets the replicas that keep the record. A new one is sent the complete record.
    pub(crate) fn set_record_replicas(&mut self, keepers: BTreeSet<SocketAddrV4>) {
        self.keepers.retain(|address, _| keepers.contains(address));
        for address in keepers {
            self.keepers.entry(address).or_default();
        }
    }

    /// Compares the flows with the record, and creates a new revision if they differ.
    pub(crate) fn note_flows(&mut self, now: Timestamp, backend: u64, flows: &AgentFlows) {
        if self.settings.min_flow_age.is_zero() {
            return;
        }
        let next = self.number + 1;
        let mut changed = self.drop_ended(next, flows);
        changed |= self.put_flows(now, next, flows);
        changed |= self.choose_witnesses(next, flows);
        let has_other_backend = self.backend != backend && !self.recorded.is_empty();
        self.backend = backend;
        if changed || has_other_backend {
            self.number = next;
            self.has_record = true;
            self.forget_ends();
        }
    }

    fn drop_ended(&mut self, number: u64, flows: &AgentFlows) -> bool {
        let is_over = |id: &&FlowId| !flows.get(**id).is_some_and(AgentFlow::is_open);
        let over: Vec<FlowId> = self.recorded.keys().filter(is_over).copied().collect();
        for id in &over {
            self.recorded.remove(id);
            self.ended.push_back((number, *id));
        }
        !over.is_empty()
    }

    fn put_flows(&mut self, now: Timestamp, number: u64, flows: &AgentFlows) -> bool {
        let mut changed = false;
        self.beyond_limit = 0;
        for (id, flow) in flows.iter() {
            let age = now.saturating_since(flow.created_at);
            if !flow.is_confirmed_open() || age < self.settings.min_flow_age {
                continue;
            }
            let known = self.recorded.get(id).map(|known| known.flow);
            let Some(flow) = recorded_flow(*id, flow, known.as_ref()) else {
                continue;
            };
            if known.is_some_and(|known| !is_renewed(&known, &flow)) {
                continue;
            }
            if known.is_none() && self.recorded.len() >= self.settings.max_flows {
                self.beyond_limit += 1;
                continue;
            }
            self.recorded.insert(*id, Recorded { flow, number });
            changed = true;
        }
        changed
    }

    /// Replaces the probe packets of closed flows. Prefers the flows that have been idle
    /// longest, since these tend to stay open.
    fn choose_witnesses(&mut self, number: u64, flows: &AgentFlows) -> bool {
        let recorded = &self.recorded;
        let before = self.witnesses.len();
        self.witnesses.retain(|id, _| recorded.contains_key(id));
        let mut changed = self.witnesses.len() != before;
        if self.witnesses.len() < WITNESSES.min(recorded.len()) {
            let candidate = |id: &FlowId| {
                let flow = flows.get(*id)?;
                let packet = flow.probe_packet.as_ref()?;
                Some((flow.last_active_at, *id, packet))
            };
            let unused = recorded.keys();
            let unused = unused.filter(|id| !self.witnesses.contains_key(*id));
            let mut unused: Vec<_> = unused.filter_map(candidate).collect();
            unused.sort_unstable();
            let missing = WITNESSES - self.witnesses.len();
            for (_, id, packet) in unused.into_iter().take(missing) {
                self.witnesses.insert(id, packet.clone());
                changed = true;
            }
        }
        if changed {
            self.witness_number = number;
        }
        changed
    }

    /// Forgets closed flows that all replicas have removed, and the oldest ones above the limit.
    fn forget_ends(&mut self) {
        let kept_by_all = self.keepers.values().map(|keeper| keeper.kept).min();
        let kept_by_all = kept_by_all.unwrap_or(self.number);
        while let Some((number, _)) = self.ended.front()
            && (*number <= kept_by_all || self.ended.len() > MAX_ENDS)
        {
            self.ends_since = self.ends_since.max(*number);
            self.ended.pop_front();
        }
    }

    /// Handles a replica's acknowledgement.
    pub(crate) fn handle_ack(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        own_life: u64,
        kept: &FlowRecordAck,
    ) {
        if kept.incarnation != own_life {
            // The replica may have another incarnation's record with a revision that isn't lower.
            self.continue_above(kept.revision);
        }
        let newest = self.number;
        let Some(keeper) = self.keepers.get_mut(&from) else {
            return;
        };
        let is_own = kept.incarnation == own_life && kept.revision <= newest;
        let number = if is_own { kept.revision } else { 0 };
        keeper.is_full = kept.is_full;
        if kept.is_full {
            keeper.kept = 0;
            keeper.parts.clear();
            let wait = FULL_RETRY * (1 << keeper.refusals.min(8));
            keeper.resend_at = now + wait.min(MAX_FULL_RETRY);
            keeper.refusals += 1;
            return;
        }
        keeper.refusals = 0;
        if number != keeper.kept || !is_own {
            keeper.kept = number;
            keeper.parts.clear();
            keeper.resend_at = now;
            keeper.resends = 0;
        }
    }

    fn continue_above(&mut self, number: u64) {
        if number >= self.number {
            self.continue_from(number);
            self.number += 1;
            self.ended.clear();
            self.ends_since = self.number;
        }
    }

    /// Messages to send now, at most one per replica.
    pub(crate) fn poll_messages(
        &mut self,
        now: Timestamp,
        agent: u64,
        life: u64,
    ) -> Vec<(SocketAddrV4, FlowRecordChange)> {
        if !self.has_record {
            return Vec::new();
        }
        let addresses: Vec<SocketAddrV4> = self.keepers.keys().copied().collect();
        let next = |address| Some((address, self.next_message(now, address, agent, life)?));
        addresses.into_iter().filter_map(next).collect()
    }

    fn next_message(
        &mut self,
        now: Timestamp,
        address: SocketAddrV4,
        agent: u64,
        life: u64,
    ) -> Option<FlowRecordChange> {
        let newest = self.number;
        let keeper = self.keepers.get(&address)?;
        if now < keeper.next_at {
            return None;
        }
        if keeper.parts.is_empty() {
            let is_check = keeper.kept == newest;
            let is_due = match is_check {
                true => now >= keeper.check_at && !self.recorded.is_empty(),
                false => now >= keeper.resend_at,
            };
            if !is_due {
                return None;
            }
            let parts = self.change_since(keeper.kept, agent, life);
            self.keepers.get_mut(&address)?.parts = parts;
        }
        let keeper = self.keepers.get_mut(&address)?;
        let part = keeper.parts.pop_front()?;
        let bytes = prost::Message::encoded_len(&part);
        keeper.next_at = now + Duration::from_secs(1) * bytes as u32 / BYTES_PER_SECOND as u32;
        if keeper.parts.is_empty() {
            let wait = FIRST_RESEND * (1 << keeper.resends.min(8));
            keeper.resend_at = now + wait.min(MAX_RESEND);
            keeper.resends += 1;
            keeper.check_at = now + CHECK_INTERVAL;
        }
        Some(part)
    }

    /// Parts of the change from a replica's revision to the newest one.
    fn change_since(&self, kept: u64, agent: u64, life: u64) -> VecDeque<FlowRecordChange> {
        let lost_witnesses = self.witnesses.is_empty() && self.witness_number > kept;
        let needs_whole = kept < self.ends_since || lost_witnesses;
        let base = if needs_whole { 0 } else { kept };
        let put = self.recorded.values();
        let put = put.filter(|recorded| recorded.number > base);
        let put: Vec<RecordedFlow> = put.map(|recorded| recorded.flow).collect();
        let is_removed = |(number, id): &&(u64, FlowId)| {
            base > 0 && *number > base && !self.recorded.contains_key(id)
        };
        let removed = self.ended.iter().filter(is_removed);
        let removed: Vec<FlowId> = removed.map(|(_, id)| *id).collect();
        let mut put = put.chunks(FLOWS_PER_PART);
        let mut removed = removed.chunks(FLOWS_PER_PART);
        let parts = put.len().max(removed.len()).max(1);
        let part = |part| FlowRecordChange {
            agent,
            incarnation: life,
            backend_incarnation: self.backend,
            base_revision: base,
            revision: self.number,
            part: part as u32,
            parts: parts as u32,
            put: to_columns(put.next().unwrap_or_default().iter().copied()),
            removed: to_closed_columns(removed.next().unwrap_or_default()),
            probe_packets: match part {
                0 => self.witnesses_since(base),
                _ => Vec::new(),
            },
        };
        (0..parts).map(part).collect()
    }

    /// All probe packets, if any has changed: a replica replaces all that it has. The packet of
    /// a closed flow must not stay, since a back end returns it although it hasn't restarted.
    fn witnesses_since(&self, base: u64) -> Vec<Vec<u8>> {
        match self.witness_number > base {
            true => self.witnesses.values().cloned().collect(),
            false => Vec::new(),
        }
    }
}

/// A flow as it is recorded. If this incarnation hasn't seen the back end's initial sequence
/// number, the caller's first acknowledgement number takes its place: later packets are
/// ahead of both.
fn recorded_flow(
    id: FlowId,
    flow: &AgentFlow,
    known: Option<&RecordedFlow>,
) -> Option<RecordedFlow> {
    let known = known.map(|known| known.sequence);
    let sequence = flow.sequence.or(known).or(flow.acknowledged)?;
    let ahead = flow.acknowledged.unwrap_or(sequence).wrapping_sub(sequence);
    let told = ahead / ACKNOWLEDGED_STEP_BYTES * ACKNOWLEDGED_STEP_BYTES;
    Some(RecordedFlow {
        id,
        sequence,
        acknowledged: sequence.wrapping_add(told),
    })
}

/// Whether a flow differs so much from its record that it is sent again.
fn is_renewed(known: &RecordedFlow, flow: &RecordedFlow) -> bool {
    let ahead = flow.acknowledged.wrapping_sub(known.acknowledged);
    let has_moved = (RENEWAL_BYTES..1 << 31).contains(&ahead);
    known.sequence != flow.sequence || has_moved
}
