//! Keeps the flow record of an agent at its record replicas up to date.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{ACKNOWLEDGED_STEP_BYTES, FlowRecordAck, FlowRecordChange};

use super::agent_flows::{AgentFlow, AgentFlows};
use super::closed_flow_columns::to_closed_columns;
use super::recorded_flow::{RecordedBackend, RecordedFlow, to_columns};
use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

/// Number of probe packets in the record. All of them must be returned to show that a back
/// end incarnation has ended: a fourth would shorten the restart probe little, and a single
/// one may get lost.
const MAX_PROBE_PACKETS: usize = 3;
/// A flow is sent again once its acknowledgement has advanced by this many bytes. A caller
/// accepts a reset within its receive window, and this leaves half of the smallest usual
/// window for data in flight.
const MIN_ACK_ADVANCE_BYTES: u32 = 2 * ACKNOWLEDGED_STEP_BYTES;
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
const MAX_CLOSED_FLOWS: usize = 4_096;

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
    revision: u64,
}

/// State of one record replica.
#[derive(Debug, Default)]
struct RecordReplica {
    /// Revision that it has acknowledged; zero for none.
    acknowledged_revision: u64,
    /// Parts of a change that are still to be sent.
    parts: VecDeque<FlowRecordChange>,
    /// Earliest time of the next message.
    next_send_at: Timestamp,
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
    revision: u64,
    /// Whether this incarnation has had anything to record. Until then nothing is sent, so that
    /// the record of the previous incarnation stays.
    has_record: bool,
    backend: RecordedBackend,
    recorded: HashMap<FlowId, Recorded>,
    over_limit: usize,
    /// Closed flows with the revisions that removed them, in that order.
    closed: VecDeque<(u64, FlowId)>,
    /// Oldest revision after which `closed` has all removed flows. A replica with an older one is
    /// sent the complete record.
    closed_since: u64,
    probe_packets: BTreeMap<FlowId, Vec<u8>>,
    probe_packets_revision: u64,
    replicas: BTreeMap<SocketAddrV4, RecordReplica>,
}

impl FlowRecorder {
    pub(crate) fn new(settings: FlowRecordSettings) -> Self {
        FlowRecorder {
            settings,
            revision: 0,
            has_record: false,
            backend: RecordedBackend::default(),
            recorded: HashMap::new(),
            over_limit: 0,
            closed: VecDeque::new(),
            closed_since: 0,
            probe_packets: BTreeMap::new(),
            probe_packets_revision: 0,
            replicas: BTreeMap::new(),
        }
    }

    /// Continues above the revision of the previous incarnation's record.
    pub(crate) fn continue_from(&mut self, revision: u64) {
        if revision >= self.revision {
            self.revision = revision;
            self.closed_since = revision;
        }
    }

    pub(crate) fn stats(&self) -> FlowRecorderStats {
        let replicas = self.replicas.values();
        let is_behind = |replica: &&RecordReplica| replica.acknowledged_revision < self.revision;
        let behind = replicas.clone().filter(is_behind).count();
        FlowRecorderStats {
            recorded: self.recorded.len(),
            over_limit: self.over_limit,
            unacknowledged: if self.has_record { behind } else { 0 },
            full_replicas: replicas.filter(|replica| replica.is_full).count(),
        }
    }

    /// Sets the replicas that keep the record. A new one is sent the complete record.
    pub(crate) fn set_record_replicas(&mut self, replicas: BTreeSet<SocketAddrV4>) {
        self.replicas
            .retain(|address, _| replicas.contains(address));
        for address in replicas {
            self.replicas.entry(address).or_default();
        }
    }

    /// Compares the flows with the record, and creates a new revision if they differ.
    pub(crate) fn note_flows(
        &mut self,
        now: Timestamp,
        backend: RecordedBackend,
        flows: &AgentFlows,
    ) {
        if self.settings.min_flow_age.is_zero() {
            return;
        }
        let next = self.revision + 1;
        let mut changed = self.remove_closed(next, flows);
        changed |= self.update_flows(now, next, flows);
        changed |= self.choose_probe_packets(next, flows);
        let backend_has_changed = self.backend != backend && !self.recorded.is_empty();
        self.backend = backend;
        if changed || backend_has_changed {
            self.revision = next;
            self.has_record = true;
            self.forget_closed();
        }
    }

    fn remove_closed(&mut self, revision: u64, flows: &AgentFlows) -> bool {
        let is_closed = |id: &&FlowId| !flows.get(**id).is_some_and(AgentFlow::is_open);
        let closed_flows: Vec<FlowId> = self.recorded.keys().filter(is_closed).copied().collect();
        for id in &closed_flows {
            self.recorded.remove(id);
            self.closed.push_back((revision, *id));
        }
        !closed_flows.is_empty()
    }

    fn update_flows(&mut self, now: Timestamp, revision: u64, flows: &AgentFlows) -> bool {
        let mut changed = false;
        self.over_limit = 0;
        for (id, flow) in flows.iter() {
            let age = now.saturating_since(flow.created_at);
            if !flow.is_confirmed_open() || age < self.settings.min_flow_age {
                continue;
            }
            let known = self.recorded.get(id).map(|known| known.flow);
            let Some(flow) = recorded_flow(*id, flow, known.as_ref()) else {
                continue;
            };
            if known.is_some_and(|known| !needs_update(&known, &flow)) {
                continue;
            }
            if known.is_none() && self.recorded.len() >= self.settings.max_flows {
                self.over_limit += 1;
                continue;
            }
            self.recorded.insert(*id, Recorded { flow, revision });
            changed = true;
        }
        changed
    }

    /// Replaces the probe packets of closed flows. Prefers the flows that have been idle
    /// longest, since these tend to stay open.
    fn choose_probe_packets(&mut self, revision: u64, flows: &AgentFlows) -> bool {
        let recorded = &self.recorded;
        let before = self.probe_packets.len();
        self.probe_packets.retain(|id, _| recorded.contains_key(id));
        let mut changed = self.probe_packets.len() != before;
        if self.probe_packets.len() < MAX_PROBE_PACKETS.min(recorded.len()) {
            let with_packet = |id: &FlowId| {
                let flow = flows.get(*id)?;
                let packet = flow.probe_packet.as_ref()?;
                Some((flow.last_active_at, *id, packet))
            };
            let unused = recorded.keys();
            let unused = unused.filter(|id| !self.probe_packets.contains_key(*id));
            let mut unused: Vec<_> = unused.filter_map(with_packet).collect();
            unused.sort_unstable();
            let missing = MAX_PROBE_PACKETS - self.probe_packets.len();
            for (_, id, packet) in unused.into_iter().take(missing) {
                self.probe_packets.insert(id, packet.clone());
                changed = true;
            }
        }
        if changed {
            self.probe_packets_revision = revision;
        }
        changed
    }

    /// Forgets closed flows that all replicas have removed, and the oldest ones above the limit.
    fn forget_closed(&mut self) {
        let acknowledged_by_all = self
            .replicas
            .values()
            .map(|replica| replica.acknowledged_revision)
            .min();
        let acknowledged_by_all = acknowledged_by_all.unwrap_or(self.revision);
        while let Some((revision, _)) = self.closed.front()
            && (*revision <= acknowledged_by_all || self.closed.len() > MAX_CLOSED_FLOWS)
        {
            self.closed_since = self.closed_since.max(*revision);
            self.closed.pop_front();
        }
    }

    /// Handles a replica's acknowledgement.
    pub(crate) fn handle_ack(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        own_incarnation: u64,
        ack: &FlowRecordAck,
    ) {
        if ack.incarnation != own_incarnation {
            // The replica has another incarnation's record. A change is only accepted with a higher
            // revision than that.
            self.continue_above(ack.revision);
        }
        let newest = self.revision;
        let Some(replica) = self.replicas.get_mut(&from) else {
            return;
        };
        let is_own = ack.incarnation == own_incarnation && ack.revision <= newest;
        let revision = if is_own { ack.revision } else { 0 };
        replica.is_full = ack.is_full;
        if ack.is_full {
            replica.acknowledged_revision = 0;
            replica.parts.clear();
            let wait = FULL_RETRY * (1 << replica.refusals.min(8));
            replica.resend_at = now + wait.min(MAX_FULL_RETRY);
            replica.refusals += 1;
            return;
        }
        replica.refusals = 0;
        if revision != replica.acknowledged_revision || !is_own {
            replica.acknowledged_revision = revision;
            replica.parts.clear();
            replica.resend_at = now;
            replica.resends = 0;
        }
    }

    /// Makes the next changes complete records with a revision above this one, if the own
    /// revision isn't above it yet.
    fn continue_above(&mut self, revision: u64) {
        if revision >= self.revision {
            self.continue_from(revision);
            self.revision += 1;
            self.closed.clear();
            self.closed_since = self.revision;
        }
    }

    /// Messages to send now, at most one per replica.
    pub(crate) fn poll_messages(
        &mut self,
        now: Timestamp,
        agent: u64,
        incarnation: u64,
    ) -> Vec<(SocketAddrV4, FlowRecordChange)> {
        if !self.has_record {
            return Vec::new();
        }
        let addresses: Vec<SocketAddrV4> = self.replicas.keys().copied().collect();
        let next = |address| {
            Some((
                address,
                self.next_message(now, address, agent, incarnation)?,
            ))
        };
        addresses.into_iter().filter_map(next).collect()
    }

    fn next_message(
        &mut self,
        now: Timestamp,
        address: SocketAddrV4,
        agent: u64,
        incarnation: u64,
    ) -> Option<FlowRecordChange> {
        let newest = self.revision;
        let replica = self.replicas.get(&address)?;
        if now < replica.next_send_at {
            return None;
        }
        if replica.parts.is_empty() {
            let is_check = replica.acknowledged_revision == newest;
            let is_due = match is_check {
                true => now >= replica.check_at && !self.recorded.is_empty(),
                false => now >= replica.resend_at,
            };
            if !is_due {
                return None;
            }
            let parts = self.change_since(replica.acknowledged_revision, agent, incarnation);
            self.replicas.get_mut(&address)?.parts = parts;
        }
        let replica = self.replicas.get_mut(&address)?;
        let part = replica.parts.pop_front()?;
        let bytes = prost::Message::encoded_len(&part);
        replica.next_send_at =
            now + Duration::from_secs(1) * bytes as u32 / BYTES_PER_SECOND as u32;
        if replica.parts.is_empty() {
            let wait = FIRST_RESEND * (1 << replica.resends.min(8));
            replica.resend_at = now + wait.min(MAX_RESEND);
            replica.resends += 1;
            replica.check_at = now + CHECK_INTERVAL;
        }
        Some(part)
    }

    /// Parts of the change from a replica's revision to the newest one.
    fn change_since(
        &self,
        acknowledged_revision: u64,
        agent: u64,
        incarnation: u64,
    ) -> VecDeque<FlowRecordChange> {
        // A change without probe packets keeps those that the replica has, so that only a complete
        // record removes the last one.
        let lost_probe_packets =
            self.probe_packets.is_empty() && self.probe_packets_revision > acknowledged_revision;
        let needs_complete = acknowledged_revision < self.closed_since || lost_probe_packets;
        let base_revision = if needs_complete {
            0
        } else {
            acknowledged_revision
        };
        let put = self.recorded.values();
        let put = put.filter(|recorded| recorded.revision > base_revision);
        let put: Vec<RecordedFlow> = put.map(|recorded| recorded.flow).collect();
        let is_removed = |(revision, id): &&(u64, FlowId)| {
            base_revision > 0 && *revision > base_revision && !self.recorded.contains_key(id)
        };
        let removed = self.closed.iter().filter(is_removed);
        let removed: Vec<FlowId> = removed.map(|(_, id)| *id).collect();
        let mut put = put.chunks(FLOWS_PER_PART);
        let mut removed = removed.chunks(FLOWS_PER_PART);
        let parts = put.len().max(removed.len()).max(1);
        let part = |part| FlowRecordChange {
            agent,
            incarnation,
            backend_incarnation: self.backend.digest,
            backend_started_at_millis: self.backend.started_at_millis.unwrap_or(0),
            base_revision,
            revision: self.revision,
            part: part as u32,
            parts: parts as u32,
            put: to_columns(put.next().unwrap_or_default().iter().copied()),
            removed: to_closed_columns(removed.next().unwrap_or_default()),
            probe_packets: match part {
                0 => self.probe_packets_since(base_revision),
                _ => Vec::new(),
            },
        };
        (0..parts).map(part).collect()
    }

    /// All probe packets, if any has changed: a replica replaces all that it has. The packet of
    /// a closed flow must not stay, since a back end returns it although it hasn't restarted.
    fn probe_packets_since(&self, base_revision: u64) -> Vec<Vec<u8>> {
        match self.probe_packets_revision > base_revision {
            true => self.probe_packets.values().cloned().collect(),
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
    let rounded_down = ahead / ACKNOWLEDGED_STEP_BYTES * ACKNOWLEDGED_STEP_BYTES;
    Some(RecordedFlow {
        id,
        sequence,
        acknowledged: sequence.wrapping_add(rounded_down),
    })
}

/// Whether a flow differs so much from its record that it is sent again.
fn needs_update(known: &RecordedFlow, flow: &RecordedFlow) -> bool {
    let ahead = flow.acknowledged.wrapping_sub(known.acknowledged);
    let has_advanced = (MIN_ACK_ADVANCE_BYTES..1 << 31).contains(&ahead);
    known.sequence != flow.sequence || has_advanced
}
