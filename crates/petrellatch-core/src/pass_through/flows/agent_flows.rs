//! Flow table of an agent: connection states, in-flight requests and busy slots.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use super::flow_demand::FlowDemand;
use super::recorded_flow::RecordedFlow;
use super::restart_probe::ProbedFlow;
use crate::pass_through::packet::{FlowId, PacketView};

/// Distance from the back end's initial sequence number within which a caller's
/// acknowledgement number belongs to the same connection, in bytes.
pub(crate) const SEQUENCE_WINDOW: u32 = 1 << 22;
/// A SYN that the back end hasn't accepted is forgotten after this time.
const OPENING_LIMIT: Duration = Duration::from_millis(1_600);
/// A flow whose caller hasn't completed the handshake by then no longer counts as an
/// in-flight request.
const HALF_OPEN_LIMIT: Duration = Duration::from_millis(100);
/// Idle time after which a flow closed by its back end is forgotten. By then the back end
/// has retransmitted its FIN, unless that was acknowledged. A flow that only its caller has
/// closed is kept: if data before the FIN was lost, the back end still waits for it, and
/// without the entry its retransmission would be delivered speculatively to other back ends.
const ENDED_LIMIT: Duration = Duration::from_secs(3);
/// Idle time after which a request without a response no longer counts as in flight.
const BUSY_LIMIT: Duration = Duration::from_secs(10);

/// State of one flow.
#[derive(Clone, Debug)]
pub(crate) struct AgentFlow {
    /// Balancer that forwarded the latest packet.
    pub(crate) last_balancer: Option<SocketAddrV4>,
    /// Initial sequence number of the back end, if its SYN-ACK was seen or a flow record has it.
    pub(crate) sequence: Option<u32>,
    /// Whether the handshake is complete.
    pub(crate) open: bool,
    /// Latest acknowledgement number of the caller, if any.
    pub(crate) acknowledged: Option<u32>,
    /// Latest data-less packet of the caller. A back end that doesn't own the flow returns it.
    pub(crate) probe_packet: Option<Vec<u8>>,
    /// Whether this incarnation of the agent has seen a packet of the back end.
    backend_has_spoken: bool,
    /// Whether the flow counts as an in-flight request.
    busy: bool,
    caller_has_ended: bool,
    backend_has_ended: bool,
    pub(crate) created_at: Timestamp,
    /// State of its request at the back end.
    request: RequestState,
    pub(crate) last_active_at: Timestamp,
}

/// State of a flow's request at the back end, as far as the agent can tell: a back end
/// processes as many requests as it has slots, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// There is none, or its response has started.
    None,
    /// Queued for a slot.
    Waiting,
    /// In a slot since this time.
    Working { since: Timestamp },
}

impl AgentFlow {
    /// Whether the back end has a request of this flow and hasn't started its response.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.request != RequestState::None && !self.has_ended()
    }

    /// Whether the handshake is complete and neither end has closed the flow.
    pub(crate) fn is_open(&self) -> bool {
        self.open && !self.has_ended()
    }

    /// Whether the flow is open and the back end has shown that it owns it, or did once.
    /// Balancers may forward packets of flows that another back end owns.
    pub(crate) fn is_confirmed_open(&self) -> bool {
        self.is_open() && (self.sequence.is_some() || self.backend_has_spoken)
    }

    /// Whether an acknowledgement number continues those seen on the flow so far.
    fn goes_on(&self, acknowledged: u32) -> bool {
        let known = self.acknowledged.or(self.sequence);
        known.is_none_or(|known| acknowledged.wrapping_sub(known) < SEQUENCE_WINDOW)
    }

    /// Whether either end has closed the flow, so that no new request follows.
    fn has_ended(&self) -> bool {
        self.caller_has_ended || self.backend_has_ended
    }

    /// Whether this is the recorded connection, and not a later one between the same endpoints.
    pub(crate) fn is_same_connection(&self, flow: &RecordedFlow) -> bool {
        self.sequence.is_none_or(|known| known == flow.sequence)
    }

    /// Whether a packet with this acknowledgement number belongs to the back end's connection.
    pub(crate) fn owns_ack(&self, acknowledged: u32) -> bool {
        match self.sequence {
            Some(sequence) => acknowledged.wrapping_sub(sequence) < SEQUENCE_WINDOW,
            None => self.open,
        }
    }
}

/// All flows of one agent, with counts of in-flight requests and busy slots.
#[derive(Debug, Default)]
pub(crate) struct AgentFlows {
    flows: HashMap<FlowId, AgentFlow>,
    busy: u32,
    /// Number of open flows.
    open_flows: u32,
    demand: FlowDemand,
    /// Number of requests that have a slot.
    working: u32,
    /// Flows whose requests are queued for a slot, in order of arrival. Some may no longer be
    /// queued.
    waiting: VecDeque<FlowId>,
    /// Half-open flows with the ends of their handshake timeouts, in that order.
    half_open: VecDeque<(Timestamp, FlowId)>,
}

impl AgentFlows {
    pub(crate) fn get(&self, flow: FlowId) -> Option<&AgentFlow> {
        self.flows.get(&flow)
    }

    pub(crate) fn in_flight_requests(&self) -> u32 {
        self.busy
    }

    /// Number of open flows, including idle ones.
    pub(crate) fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Mean number of slots that the flows kept busy in the last seconds, in thousandths of a
    /// slot.
    pub(crate) fn demand_millislots(&self, now: Timestamp) -> u32 {
        self.demand.millislots(now)
    }

    /// Stops counting flows as in flight whose callers didn't complete the handshake in time.
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

    /// Number of flows that their back end hasn't closed.
    pub(crate) fn unclosed(&self) -> usize {
        let has_ended = |flow: &&AgentFlow| flow.backend_has_ended;
        self.flows.len() - self.flows.values().filter(has_ended).count()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&FlowId, &AgentFlow)> {
        self.flows.iter()
    }

    /// Records a packet of the caller. The back end processes up to `slots` requests at once.
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

    /// Records the acknowledgement number and the probe packet, which a later reset or restart
    /// probe of the flow needs. `packet` is a caller's packet other than a SYN. Old duplicates,
    /// and packets of a connection between the same endpoints that another back end accepted,
    /// have no effect.
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

    /// Records a packet of the back end. If it is the first packet of a response, returns the
    /// processing time of the request.
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
                // The last packet of a response often arrives before the others.
                let time = self.finish_request(now, id);
                self.end(now, id, |flow| flow.backend_has_ended = true);
                return time;
            }
        }
        None
    }

    /// Forgets an earlier connection between the same endpoints when the back end accepts a SYN
    /// with another initial sequence number.
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

    /// Records that the back end has a request. Further packets of it have no effect.
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

    /// Records that the back end has finished a request and gives its slot to the request that
    /// has been queued longest. Returns the processing time.
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

    /// Open flows of the back end that were first seen less than `flow_ttl` ago, with their
    /// probe packets.
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

    /// Takes over a flow from the record of the agent's previous incarnation. Returns whether
    /// the flow was unknown.
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

    /// Sets the probe packet of a flow to one that the agent's previous incarnation received,
    /// unless there is a later one.
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

    /// Forgets flows that are closed, that were never opened, or that were idle for
    /// `idle_limit`.
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

    /// Closes a flow; `mark_closed` sets which end has closed it.
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

/// Meaning of a caller's packet for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerPacket {
    Syn,
    Established,
    Request,
    Fin,
    /// The caller aborts the flow, and its back end forgets it at once.
    Reset,
}

/// Meaning of a back end's packet for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendPacket {
    SynAck { sequence: u32 },
    Established,
    Response,
    Fin,
}
