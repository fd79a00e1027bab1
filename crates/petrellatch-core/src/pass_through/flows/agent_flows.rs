//! The flows that pass through an agent.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use super::flow_demand::FlowDemand;
use super::recorded_flow::RecordedFlow;
use super::restart_probe::ProbedFlow;
use crate::pass_through::packet::{FlowId, PacketView};

/// How far a caller's acknowledgement may be ahead of the first sequence
/// number of the back end that it belongs to.
pub(crate) const SEQUENCE_WINDOW: u32 = 1 << 22;
/// An opening packet that the back end has not answered by then is forgotten.
const OPENING_LIMIT: Duration = Duration::from_millis(1_600);
/// A flow that its caller has not opened by then takes no slot any more.
const HALF_OPEN_LIMIT: Duration = Duration::from_millis(100);
/// A flow that its back end has ended is forgotten after resting for this: by then the
/// back end has sent copies of the end, unless it was acknowledged. One that only its
/// caller has ended is kept: data before the end may be lost, and the back end waits for
/// it. If it were forgotten, a copy of that data would be tried at strange back ends.
const ENDED_LIMIT: Duration = Duration::from_secs(3);
/// A request without an answer counts as busy for at most this long.
const BUSY_LIMIT: Duration = Duration::from_secs(10);

/// One flow.
#[derive(Clone, Debug)]
pub(crate) struct AgentFlow {
    /// Who sent its packets last.
    pub(crate) last_balancer: Option<SocketAddrV4>,
    /// First sequence number of the back end, if it answered here.
    pub(crate) sequence: Option<u32>,
    /// The caller has acknowledged the back end's answer.
    pub(crate) open: bool,
    /// What the caller acknowledged last, if it has acknowledged anything.
    pub(crate) acknowledged: Option<u32>,
    /// The caller's latest packet without data. The back end returns it if it does not
    /// have the flow.
    pub(crate) probe_packet: Option<Vec<u8>>,
    /// The back end has spoken on it in this life of the agent.
    backend_has_spoken: bool,
    /// A request waits for its answer.
    busy: bool,
    caller_has_ended: bool,
    backend_has_ended: bool,
    pub(crate) created_at: Timestamp,
    /// What its request waits for.
    request: RequestState,
    pub(crate) last_active_at: Timestamp,
}

/// Where the request of a flow is at the back end, as far as its agent can tell: a
/// back end works on as many as it has slots, in the order in which they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// There is none, or its answer has begun.
    None,
    /// It waits for a slot.
    Waiting,
    /// It has a slot since then.
    Working { since: Timestamp },
}

impl AgentFlow {
    /// Whether the back end has a request of it that it has not begun to answer.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.request != RequestState::None && !self.has_ended()
    }

    /// Whether its caller has opened it, and neither end has ended it.
    pub(crate) fn is_open(&self) -> bool {
        self.open && !self.has_ended()
    }

    /// Whether it is open and the back end has shown that it has it, or had: balancers may
    /// hand over packets of a flow that lives at another back end.
    pub(crate) fn is_confirmed_open(&self) -> bool {
        self.is_open() && (self.sequence.is_some() || self.backend_has_spoken)
    }

    /// Whether an acknowledgement goes on from what is known of the flow.
    fn goes_on(&self, acknowledged: u32) -> bool {
        let known = self.acknowledged.or(self.sequence);
        known.is_none_or(|known| acknowledged.wrapping_sub(known) < SEQUENCE_WINDOW)
    }

    /// Whether one of its ends has ended it: no new request comes.
    fn has_ended(&self) -> bool {
        self.caller_has_ended || self.backend_has_ended
    }

    /// Whether it is this flow, and was not opened anew since.
    pub(crate) fn is_same_connection(&self, flow: &RecordedFlow) -> bool {
        self.sequence.is_none_or(|known| known == flow.sequence)
    }

    /// Whether a packet with this acknowledgement belongs to the back end.
    pub(crate) fn owns_ack(&self, acknowledged: u32) -> bool {
        match self.sequence {
            Some(sequence) => acknowledged.wrapping_sub(sequence) < SEQUENCE_WINDOW,
            None => self.open,
        }
    }
}

/// All flows of one agent, with the number of those that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct AgentFlows {
    flows: HashMap<FlowId, AgentFlow>,
    busy: u32,
    /// Flows that are open and have not ended.
    open_flows: u32,
    demand: FlowDemand,
    /// Requests that have a slot.
    working: u32,
    /// Flows with requests that wait for one, in the order in which they came. Some
    /// may wait no more.
    waiting: VecDeque<FlowId>,
    /// Flows whose callers have not opened them, with the end of their claim
    /// to a slot, in that order.
    half_open: VecDeque<(Timestamp, FlowId)>,
}

impl AgentFlows {
    pub(crate) fn get(&self, flow: FlowId) -> Option<&AgentFlow> {
        self.flows.get(&flow)
    }

    pub(crate) fn in_flight_requests(&self) -> u32 {
        self.busy
    }

    /// Flows that are open and have not ended, also those that rest.
    pub(crate) fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Slots that the flows kept busy in the last seconds, in thousandths of a slot.
    pub(crate) fn demand_millislots(&self, now: Timestamp) -> u32 {
        self.demand.millislots(now)
    }

    /// Frees the slots of flows that their callers did not open in time.
    pub(crate) fn release_half_open(&mut self, now: Timestamp) {
        while let Some((limit, id)) = self.half_open.front().copied() {
            if now < limit {
                return;
            }
            self.half_open.pop_front();
            if self.flows.get(&id).is_some_and(|flow| !flow.open) {
                self.set_busy(id, false);
            }
        }
    }

    /// How many flows their back end has not ended.
    pub(crate) fn unclosed(&self) -> usize {
        let has_ended = |flow: &&AgentFlow| flow.backend_has_ended;
        self.flows.len() - self.flows.values().filter(has_ended).count()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&FlowId, &AgentFlow)> {
        self.flows.iter()
    }

    /// Notes a packet from the caller's side. The back end works on `capacity`
    /// requests at once.
    pub(crate) fn note_from_caller(
        &mut self,
        now: Timestamp,
        id: FlowId,
        balancer: SocketAddrV4,
        packet: CallerPacket,
        capacity: u32,
    ) {
        let flow = self.entry(now, id);
        flow.last_active_at = now;
        flow.last_balancer = Some(balancer);
        match packet {
            CallerPacket::Syn => {
                self.set_busy(id, true);
                self.half_open.push_back((now + HALF_OPEN_LIMIT, id));
            }
            CallerPacket::Established => self.open(id),
            CallerPacket::Request => {
                self.open(id);
                self.set_busy(id, true);
                self.begin_request(now, id, capacity);
            }
            CallerPacket::Fin => {
                self.end(now, id, |flow| flow.caller_has_ended = true);
            }
            CallerPacket::Reset => {
                self.end(now, id, |flow| flow.backend_has_ended = true);
            }
        }
    }

    /// Keeps what a reset of the flow, or a question to its back end, needs later.
    /// `packet` is of the caller, and not an opening one. Old copies, and packets of a flow
    /// that another back end answered under the same address and port, change nothing.
    pub(crate) fn note_acknowledged(&mut self, id: FlowId, view: &PacketView, packet: &[u8]) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if !view.ack || !flow.goes_on(view.ack_number) {
            return;
        }
        flow.acknowledged = Some(view.ack_number);
        if view.data_bytes == 0 && !view.fin && !view.rst {
            flow.probe_packet = Some(packet.to_vec());
        }
    }

    /// Notes a packet from the back end. Returns how long it worked on a request,
    /// with the packet of its answer that comes first.
    pub(crate) fn note_from_backend(
        &mut self,
        now: Timestamp,
        id: FlowId,
        packet: BackendPacket,
    ) -> Option<Duration> {
        if let BackendPacket::SynAck { sequence } = packet {
            self.begin_anew(now, id, sequence);
        }
        let flow = self.entry(now, id);
        flow.last_active_at = now;
        flow.backend_has_spoken = true;
        match packet {
            BackendPacket::SynAck { sequence } => flow.sequence = Some(sequence),
            BackendPacket::Established => self.open(id),
            BackendPacket::Response => {
                self.open(id);
                let time = self.finish_request(now, id);
                self.set_busy(id, false);
                return time;
            }
            BackendPacket::Fin => {
                // The last packet of an answer often overtakes the others.
                let time = self.finish_request(now, id);
                self.end(now, id, |flow| flow.backend_has_ended = true);
                return time;
            }
        }
        None
    }

    /// Forgets what was known of an earlier flow under the same address and port, as the back
    /// end answers an opening packet, and not with the number of that flow.
    fn begin_anew(&mut self, now: Timestamp, id: FlowId, sequence: u32) {
        let is_another = |flow: &AgentFlow| {
            let was_opened = flow.sequence.is_some() || flow.open || flow.has_ended();
            was_opened && flow.sequence != Some(sequence)
        };
        if !self.flows.get(&id).is_some_and(is_another) {
            return;
        }
        let balancer = self.remove(now, id).and_then(|flow| flow.last_balancer);
        self.entry(now, id).last_balancer = balancer;
        self.set_busy(id, true);
        self.half_open.push_back((now + HALF_OPEN_LIMIT, id));
    }

    /// Notes that the back end has a request. Further packets of it change nothing.
    fn begin_request(&mut self, now: Timestamp, id: FlowId, capacity: u32) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.request != RequestState::None || !flow.busy {
            return;
        }
        if self.working < capacity {
            flow.request = RequestState::Working { since: now };
            self.working += 1;
            self.demand.note_busy(now, self.working);
        } else {
            flow.request = RequestState::Waiting;
            self.waiting.push_back(id);
        }
    }

    /// Notes that the back end is done with a request: the one that has waited
    /// longest takes its slot. Returns how long it was worked on.
    fn finish_request(&mut self, now: Timestamp, id: FlowId) -> Option<Duration> {
        let flow = self.flows.get_mut(&id)?;
        let request = std::mem::replace(&mut flow.request, RequestState::None);
        let RequestState::Working { since } = request else {
            return None;
        };
        self.working -= 1;
        while let Some(next) = self.waiting.pop_front() {
            if let Some(flow) = self.flows.get_mut(&next)
                && flow.request == RequestState::Waiting
            {
                flow.request = RequestState::Working { since: now };
                self.working += 1;
                break;
            }
        }
        self.demand.note_busy(now, self.working);
        Some(now.saturating_since(since))
    }

    /// Open flows of the back end that are younger than `lifetime`, with packets that the back end returns
    /// if it does not have them.
    pub(crate) fn flows_to_probe(&self, now: Timestamp, lifetime: Duration) -> Vec<ProbedFlow> {
        let is_young = |flow: &AgentFlow| now.saturating_since(flow.created_at) < lifetime;
        let open = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_confirmed_open() && is_young(flow));
        let probed = |(id, flow): (&FlowId, &AgentFlow)| {
            let acknowledged = flow.acknowledged?;
            Some(ProbedFlow {
                flow: RecordedFlow {
                    id: *id,
                    sequence: flow.sequence.unwrap_or(acknowledged),
                    acknowledged,
                },
                seen_at: flow.created_at,
                probe_packet: Some(flow.probe_packet.clone()?),
            })
        };
        open.filter_map(probed).collect()
    }

    /// Takes over a flow that a former life of the agent recorded. Returns whether it was
    /// not known.
    pub(crate) fn take_over(&mut self, now: Timestamp, recorded: RecordedFlow) -> bool {
        if self.flows.contains_key(&recorded.id) {
            return false;
        }
        let flow = self.entry(now, recorded.id);
        flow.sequence = Some(recorded.sequence);
        flow.acknowledged = Some(recorded.acknowledged);
        self.open(recorded.id);
        true
    }

    /// Keeps a packet without data that the caller of a flow has sent to a former life of
    /// the agent, unless there is a later one.
    pub(crate) fn note_probe_packet(&mut self, id: FlowId, packet: &[u8]) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.probe_packet.get_or_insert_with(|| packet.to_vec());
        }
    }

    pub(crate) fn remove(&mut self, now: Timestamp, id: FlowId) -> Option<AgentFlow> {
        self.finish_request(now, id);
        self.set_busy(id, false);
        let flow = self.flows.remove(&id)?;
        self.open_flows -= u32::from(flow.is_open());
        Some(flow)
    }

    /// Forgets flows that are over, or that rested for `idle_limit`.
    pub(crate) fn expire(&mut self, now: Timestamp, idle_limit: Duration) {
        let rest = |flow: &AgentFlow| now.saturating_since(flow.last_active_at);
        let limit = |flow: &AgentFlow| match flow {
            flow if flow.backend_has_ended => ENDED_LIMIT,
            flow if !flow.open => OPENING_LIMIT,
            _ => idle_limit,
        };
        let stuck = |flow: &AgentFlow| flow.busy && rest(flow) >= BUSY_LIMIT;
        let is_over = |flow: &AgentFlow| rest(flow) >= limit(flow);
        let over: Vec<FlowId> = self.ids(is_over).collect();
        let stuck: Vec<FlowId> = self.ids(stuck).collect();
        for id in stuck {
            self.finish_request(now, id);
            self.set_busy(id, false);
        }
        for id in over {
            self.remove(now, id);
        }
        let flows = &self.flows;
        let waits = |id: &FlowId| {
            let flow = flows.get(id);
            flow.is_some_and(|flow| flow.request == RequestState::Waiting)
        };
        self.waiting.retain(waits);
    }

    fn ids(&self, wanted: impl Fn(&AgentFlow) -> bool) -> impl Iterator<Item = FlowId> {
        let flows = self.flows.iter();
        let wanted = flows.filter(move |(_, flow)| wanted(flow));
        wanted.map(|(id, _)| *id)
    }

    fn entry(&mut self, now: Timestamp, id: FlowId) -> &mut AgentFlow {
        self.flows.entry(id).or_insert(AgentFlow {
            last_balancer: None,
            sequence: None,
            open: false,
            acknowledged: None,
            probe_packet: None,
            backend_has_spoken: false,
            busy: false,
            caller_has_ended: false,
            backend_has_ended: false,
            created_at: now,
            request: RequestState::None,
            last_active_at: now,
        })
    }

    fn open(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get_mut(&id) {
            let was_open = flow.is_open();
            flow.open = true;
            self.open_flows += u32::from(flow.is_open() && !was_open);
        }
    }

    /// Notes that an end of a flow has ended it, the one that `note_end` says.
    fn end(&mut self, now: Timestamp, id: FlowId, note_end: impl FnOnce(&mut AgentFlow)) {
        self.finish_request(now, id);
        self.set_busy(id, false);
        if let Some(flow) = self.flows.get_mut(&id) {
            self.open_flows -= u32::from(flow.is_open());
            note_end(flow);
        }
    }

    fn set_busy(&mut self, id: FlowId, busy: bool) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.busy == busy || (busy && flow.has_ended()) {
            return;
        }
        flow.busy = busy;
        if busy {
            self.busy += 1;
        } else {
            self.busy -= 1;
        }
    }
}

/// What a packet from the caller's side means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerPacket {
    Syn,
    Established,
    Request,
    Fin,
    /// The caller gives it up: its back end forgets it at once.
    Reset,
}

/// What a packet from the back end means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendPacket {
    SynAck { sequence: u32 },
    Established,
    Response,
    Fin,
}
