//! Which open flows of an agent are recorded at replicas, and what each of these has
//! still to be told.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{ACKNOWLEDGED_STEP_BYTES, FlowRecordAck, FlowRecordChange};

use super::agent_flows::{AgentFlow, AgentFlows};
use super::closed_flow_columns::to_closed_columns;
use super::recorded_flow::{RecordedFlow, to_columns};
use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

/// Packets that show whether the life of a back end is over: all must come back, so one
/// more than that shortens the proof by little, and one alone may get lost.
const WITNESSES: usize = 3;
/// An acknowledgement that moved on by this is told: a caller takes a reset within its
/// window, and half of the smallest usual one is left for what is under way.
const RENEWAL_BYTES: u32 = 2 * ACKNOWLEDGED_STEP_BYTES;
/// Flows in one part of a change: with all columns at their longest a part stays below
/// [`petrellatch_proto::pass_through::MAX_PART_BYTES`].
const FLOWS_PER_PART: usize = 170;
/// What a keeper is sent in a second, in bytes, so that a whole record leaves room on
/// thin links.
const BYTES_PER_SECOND: usize = 3 * 1024;
/// A change that a keeper has not acknowledged is made anew after this, and then after
/// twice as long each time, up to the limit.
const FIRST_RESEND: Duration = Duration::from_millis(500);
const MAX_RESEND: Duration = Duration::from_secs(8);
/// A keeper that has the newest record is asked so often whether it still does: one that
/// was replaced by an empty machine does not know that it lacks a record, and one that is
/// no keeper any more notices that nobody asks.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// A keeper without room is asked again after this, and then after twice as long each time,
/// up to the limit: where many agents find no room, their tries must cost little.
const FULL_RETRY: Duration = Duration::from_secs(10);
const MAX_FULL_RETRY: Duration = Duration::from_secs(320);
/// Ends of flows that are remembered for keepers which have missed them. One that has
/// missed more is told the whole record.
const MAX_ENDS: usize = 4_096;

/// Settings of the record of open flows at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRecordSettings {
    /// Flows that have been open for so long are recorded; none if it is zero. Shorter
    /// ones end before their record is written.
    pub min_flow_age: Duration,
    /// The most flows that are recorded.
    pub max_flows: usize,
    /// Replicas that keep the record.
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

/// What an agent has recorded, as numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowRecorderStats {
    /// Flows that are recorded.
    pub recorded: usize,
    /// Flows that are old enough, but beyond the most that are recorded.
    pub over_limit: usize,
    /// Keepers that have not acknowledged the newest record.
    pub unacknowledged: usize,
    /// Keepers that have no room.
    pub full_replicas: usize,
}

#[derive(Debug)]
struct Recorded {
    flow: RecordedFlow,
    /// Number of the record that it is in since it was last changed.
    number: u64,
}

/// What one replica has been told.
#[derive(Debug, Default)]
struct Keeper {
    /// The record that it has; zero for none.
    kept: u64,
    /// Parts under way.
    parts: VecDeque<FlowRecordChange>,
    /// Nothing is sent before.
    next_at: Timestamp,
    /// What was sent counts as lost from then on.
    resend_at: Timestamp,
    resends: u32,
    /// When it is asked whether it still has the newest record.
    check_at: Timestamp,
    is_full: bool,
    /// How often it said so in a row.
    refusals: u32,
}

/// The state machine.
#[derive(Debug)]
pub(crate) struct FlowRecorder {
    settings: FlowRecordSettings,
    number: u64,
    /// Whether this life has had anything to record. Until then there is nothing to tell,
    /// and what is kept of a former life stays.
    has_record: bool,
    backend: u64,
    recorded: HashMap<FlowId, Recorded>,
    beyond_limit: usize,
    /// Flows that ended, with the numbers of the records that lack them, in that order.
    ended: VecDeque<(u64, FlowId)>,
    /// Keepers of an older record are told the whole.
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

    /// Goes on above the number of a former life's record.
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

    /// Replaces the replicas that keep the record. A new one is told the whole.
    pub(crate) fn set_record_replicas(&mut self, keepers: BTreeSet<SocketAddrV4>) {
        self.keepers.retain(|address, _| keepers.contains(address));
        for address in keepers {
            self.keepers.entry(address).or_default();
        }
    }

    /// Compares the flows with the record. What differs makes the next record.
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

    /// Finds witnesses in place of those whose flows ended, first among flows that rest:
    /// they are the ones that stay.
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

    /// Forgets ends that all keepers know, and the oldest beyond a limit.
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

    /// Takes what a keeper says that it has.
    pub(crate) fn handle_ack(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        own_life: u64,
        kept: &FlowRecordAck,
    ) {
        if kept.incarnation != own_life {
            // It has a record of another life under a number that is as high.
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

    /// Messages that are due, one a keeper at most.
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

    /// The parts of what leads from a record that a keeper has to the newest one.
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

    /// All witnesses, if one has changed: a replica replaces all that it has. That of a flow
    /// which has ended must not stay: a back end that lives returns it.
    fn witnesses_since(&self, base: u64) -> Vec<Vec<u8>> {
        match self.witness_number > base {
            true => self.witnesses.values().cloned().collect(),
            false => Vec::new(),
        }
    }
}

/// A flow as it is told. Where this life has not seen the first sequence number, what the
/// caller acknowledged first stands for it: later packets are ahead of both.
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

/// Whether a flow differs so much from its record that it is told anew.
fn is_renewed(known: &RecordedFlow, flow: &RecordedFlow) -> bool {
    let ahead = flow.acknowledged.wrapping_sub(known.acknowledged);
    let has_moved = (RENEWAL_BYTES..1 << 31).contains(&ahead);
    known.sequence != flow.sequence || has_moved
}
