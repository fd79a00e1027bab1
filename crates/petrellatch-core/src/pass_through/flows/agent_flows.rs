//! Flow table of an agent: connection states, in-flight requests and busy slots.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use super::acknowledgements::{KnownSequence, is_ahead};
use super::flow_demand::FlowDemand;
use super::recorded_flow::RecordedFlow;
use super::restart_probe::ProbedFlow;
use crate::pass_through::packet::{FlowId, PacketView};

/// Idle time after which a flow is forgotten whose SYN wasn't accepted or whose handshake
/// wasn't completed.
const SYN_TTL: Duration = Duration::from_millis(1_600);
/// A flow whose caller hasn't completed the handshake by then no longer counts as an
/// in-flight request.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle time after which a flow closed by its back end is forgotten. By then the back end
/// has retransmitted its FIN, unless that was acknowledged. A flow that only its caller has
/// closed is kept: if data before the FIN was lost, the back end still waits for it, and
/// without the entry its retransmission would be delivered speculatively to other back ends.
const CLOSED_TTL: Duration = Duration::from_secs(3);
/// Idle time after which a request without a response no longer counts as in flight.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// Sequence number that follows the latest packet of the back end, if one was seen.
    sent: Option<u32>,
    /// Latest data-less packet of the caller. A back end that doesn't own the flow returns it.
    pub(crate) probe_packet: Option<Vec<u8>>,
    /// Whether this incarnation of the agent has seen a packet of the back end.
    has_backend_packet: bool,
    /// Whether the flow counts as an in-flight request.
    in_flight: bool,
    closed_by_caller: bool,
    closed_by_backend: bool,
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
    Queued,
    /// In a slot since this time.
    Processing { since: Timestamp },
}

impl AgentFlow {
    /// Whether the back end has a request of this flow and hasn't started its response.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.request != RequestState::None && !self.is_closed()
    }

    /// Whether the handshake is complete and neither end has closed the flow.
    pub(crate) fn is_open(&self) -> bool {
        self.open && !self.is_closed()
    }

    /// Whether the flow is open and the back end has shown that it owns it, or did once. Packets
    /// of the caller don't show that: balancers may forward those of another back end's flows.
    pub(crate) fn is_confirmed_open(&self) -> bool {
        self.is_open() && (self.sequence.is_some() || self.has_backend_packet)
    }

    /// Whether an acknowledgement number continues those seen on the flow so far.
    fn continues_acks(&self, acknowledged: u32) -> bool {
        let Some(known) = self.acknowledged.or(self.sequence) else {
            return true;
        };
        // What is known may be the record of a previous incarnation of the agent, after which the
        // flow has moved on.
        let is_outdated = |sent: &u32| !is_ahead(*sent, known);
        let sent = self.sent.filter(is_outdated);
        is_ahead(acknowledged, known) || sent.is_some_and(|sent| is_ahead(sent, acknowledged))
    }

    /// Whether either end has closed the flow, so that no new request follows.
    fn is_closed(&self) -> bool {
        self.closed_by_caller || self.closed_by_backend
    }

    /// Whether this is the recorded connection, and not a later one between the same endpoints.
    pub(crate) fn is_same_connection(&self, flow: &RecordedFlow) -> bool {
        self.sequence.is_none_or(|known| known == flow.sequence)
    }

    /// Whether a packet with this acknowledgement number is likely to belong to the back end's
    /// connection. As long as its initial sequence number is unknown, every packet of an open flow
    /// is.
    pub(crate) fn owns_ack(&self, acknowledged: u32) -> bool {
        let Some(initial) = self.sequence else {
            return self.open;
        };
        let known = KnownSequence {
            initial,
            latest: self.acknowledged.unwrap_or(initial),
        };
        let is_close_to_sent = |sent| is_ahead(sent, acknowledged) || is_ahead(acknowledged, sent);
        known.is_close(acknowledged) || self.sent.is_some_and(is_close_to_sent)
    }
}

/// All flows of one agent, with counts of in-flight requests and busy slots.
#[derive(Debug, Default)]
pub(crate) struct AgentFlows {
    flows: HashMap<FlowId, AgentFlow>,
    in_flight_requests: u32,
    /// Number of open flows.
    open_flows: u32,
    demand: FlowDemand,
    /// Number of requests that have a slot.
    busy_slots: u32,
    /// Flows whose requests are queued for a slot, in order of arrival. Some may no longer be
    /// queued.
    queued: VecDeque<FlowId>,
    /// Half-open flows with the ends of their handshake timeouts, in that order.
    half_open: VecDeque<(Timestamp, FlowId)>,
}

impl AgentFlows {
    pub(crate) fn get(&self, flow: FlowId) -> Option<&AgentFlow> {
        self.flows.get(&flow)
    }

    pub(crate) fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests
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
        while let Some((timeout, id)) = self.half_open.front().copied() {
            if now < timeout {
                return;
            }
            self.half_open.pop_front();
            if self.flows.get(&id).is_some_and(|flow| !flow.open) {
                self.set_in_flight(id, false);
            }
        }
    }

    /// Number of flows that their back end hasn't closed.
    pub(crate) fn unclosed(&self) -> usize {
        let is_closed = |flow: &&AgentFlow| flow.closed_by_backend;
        self.flows.len() - self.flows.values().filter(is_closed).count()
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
        slots: u32,
    ) {
        let flow = self.entry(now, id);
        flow.last_active_at = now;
        flow.last_balancer = Some(balancer);
        match packet {
            CallerPacket::Syn => {
                self.set_in_flight(id, true);
                self.half_open.push_back((now + HANDSHAKE_TIMEOUT, id));
            }
            CallerPacket::Established => self.mark_open(id),
            CallerPacket::Request => {
                self.mark_open(id);
                self.set_in_flight(id, true);
                self.start_request(now, id, slots);
            }
            CallerPacket::Fin => {
                self.close(now, id, |flow| flow.closed_by_caller = true);
            }
            CallerPacket::Reset => {
                self.close(now, id, |flow| flow.closed_by_backend = true);
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
        if !view.ack || !flow.continues_acks(view.ack_number) {
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
            self.forget_if_reopened(now, id, sequence);
        }
        let flow = self.entry(now, id);
        flow.last_active_at = now;
        flow.has_backend_packet = true;
        match packet {
            BackendPacket::SynAck { sequence } => flow.sequence = Some(sequence),
            BackendPacket::Established => self.mark_open(id),
            BackendPacket::Response => {
                self.mark_open(id);
                let processing_time = self.finish_request(now, id);
                self.set_in_flight(id, false);
                return processing_time;
            }
            BackendPacket::Fin => {
                // The last packet of a response often arrives before the others.
                let processing_time = self.finish_request(now, id);
                self.close(now, id, |flow| flow.closed_by_backend = true);
                return processing_time;
            }
        }
        None
    }

    /// Records the sequence number that follows a packet of the back end.
    pub(crate) fn note_sent(&mut self, id: FlowId, next_sequence: u32) {
        if let Some(flow) = self.flows.get_mut(&id) {
            let is_retransmission =
                |sent: u32| sent != next_sequence && is_ahead(sent, next_sequence);
            if !flow.sent.is_some_and(is_retransmission) {
                flow.sent = Some(next_sequence);
            }
        }
    }

    /// Forgets an earlier connection between the same endpoints when the back end accepts a SYN
    /// with another initial sequence number.
    fn forget_if_reopened(&mut self, now: Timestamp, id: FlowId, sequence: u32) {
        let is_other_connection = |flow: &AgentFlow| {
            let was_opened = flow.sequence.is_some() || flow.open || flow.is_closed();
            was_opened && flow.sequence != Some(sequence)
        };
        if !self.flows.get(&id).is_some_and(is_other_connection) {
            return;
        }
        let balancer = self.remove(now, id).and_then(|flow| flow.last_balancer);
        self.entry(now, id).last_balancer = balancer;
        self.set_in_flight(id, true);
        self.half_open.push_back((now + HANDSHAKE_TIMEOUT, id));
    }

    /// Records that the back end has a request. Further packets of it have no effect.
    fn start_request(&mut self, now: Timestamp, id: FlowId, slots: u32) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.request != RequestState::None || !flow.in_flight {
            return;
        }
        if self.busy_slots < slots {
            flow.request = RequestState::Processing { since: now };
            self.busy_slots += 1;
            self.demand.note_busy(now, self.busy_slots);
        } else {
            flow.request = RequestState::Queued;
            self.queued.push_back(id);
        }
    }

    /// Records that the back end has finished a request and gives its slot to the request that
    /// has been queued longest. Returns the processing time.
    fn finish_request(&mut self, now: Timestamp, id: FlowId) -> Option<Duration> {
        let flow = self.flows.get_mut(&id)?;
        let request = std::mem::replace(&mut flow.request, RequestState::None);
        let RequestState::Processing { since } = request else {
            return None;
        };
        self.busy_slots -= 1;
        while let Some(next) = self.queued.pop_front() {
            if let Some(flow) = self.flows.get_mut(&next)
                && flow.request == RequestState::Queued
            {
                flow.request = RequestState::Processing { since: now };
                self.busy_slots += 1;
                break;
            }
        }
        self.demand.note_busy(now, self.busy_slots);
        Some(now.saturating_since(since))
    }

    /// Open flows of the back end that were first seen less than `flow_ttl` ago, with their
    /// probe packets.
    pub(crate) fn flows_to_probe(&self, now: Timestamp, flow_ttl: Duration) -> Vec<ProbedFlow> {
        let is_recent = |flow: &AgentFlow| now.saturating_since(flow.created_at) < flow_ttl;
        let confirmed = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.is_confirmed_open() && is_recent(flow));
        let to_probed = |(id, flow): (&FlowId, &AgentFlow)| {
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
        confirmed.filter_map(to_probed).collect()
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
        self.mark_open(recorded.id);
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
        self.set_in_flight(id, false);
        let flow = self.flows.remove(&id)?;
        self.open_flows -= u32::from(flow.is_open());
        Some(flow)
    }

    /// Forgets flows that are closed, that were never opened, or that were idle for
    /// `idle_ttl`.
    pub(crate) fn expire(&mut self, now: Timestamp, idle_ttl: Duration) {
        let idle_time = |flow: &AgentFlow| now.saturating_since(flow.last_active_at);
        let ttl = |flow: &AgentFlow| match flow {
            flow if flow.closed_by_backend => CLOSED_TTL,
            flow if !flow.open => SYN_TTL,
            _ => idle_ttl,
        };
        let is_stuck = |flow: &AgentFlow| flow.in_flight && idle_time(flow) >= REQUEST_TIMEOUT;
        let is_expired = |flow: &AgentFlow| idle_time(flow) >= ttl(flow);
        let expired: Vec<FlowId> = self.ids(is_expired).collect();
        let stuck: Vec<FlowId> = self.ids(is_stuck).collect();
        for id in stuck {
            self.finish_request(now, id);
            self.set_in_flight(id, false);
        }
        for id in expired {
            self.remove(now, id);
        }
        let flows = &self.flows;
        let is_queued = |id: &FlowId| {
            let flow = flows.get(id);
            flow.is_some_and(|flow| flow.request == RequestState::Queued)
        };
        self.queued.retain(is_queued);
    }

    fn ids(&self, is_selected: impl Fn(&AgentFlow) -> bool) -> impl Iterator<Item = FlowId> {
        let flows = self.flows.iter();
        let selected = flows.filter(move |(_, flow)| is_selected(flow));
        selected.map(|(id, _)| *id)
    }

    fn entry(&mut self, now: Timestamp, id: FlowId) -> &mut AgentFlow {
        self.flows.entry(id).or_insert(AgentFlow {
            last_balancer: None,
            sequence: None,
            open: false,
            acknowledged: None,
            sent: None,
            probe_packet: None,
            has_backend_packet: false,
            in_flight: false,
            closed_by_caller: false,
            closed_by_backend: false,
            created_at: now,
            request: RequestState::None,
            last_active_at: now,
        })
    }

    fn mark_open(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get_mut(&id) {
            let was_open = flow.is_open();
            flow.open = true;
            self.open_flows += u32::from(flow.is_open() && !was_open);
        }
    }

    /// Closes a flow; `mark_closed` sets which end has closed it.
    fn close(&mut self, now: Timestamp, id: FlowId, mark_closed: impl FnOnce(&mut AgentFlow)) {
        self.finish_request(now, id);
        self.set_in_flight(id, false);
        if let Some(flow) = self.flows.get_mut(&id) {
            self.open_flows -= u32::from(flow.is_open());
            mark_closed(flow);
        }
    }

    fn set_in_flight(&mut self, id: FlowId, in_flight: bool) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.in_flight == in_flight || (in_flight && flow.is_closed()) {
            return;
        }
        flow.in_flight = in_flight;
        if in_flight {
            self.in_flight_requests += 1;
        } else {
            self.in_flight_requests -= 1;
        }
    }
}

/// Meaning of a caller's packet for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerPacket {
    Syn,
    /// A packet without data, such as the acknowledgement that completes the handshake.
    Established,
    /// A packet with data.
    Request,
    Fin,
    /// The caller aborts the flow, and its back end forgets it at once.
    Reset,
}

/// Meaning of a back end's packet for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendPacket {
    SynAck {
        sequence: u32,
    },
    /// A packet without data, such as an acknowledgement.
    Established,
    /// A packet with data.
    Response,
    Fin,
}
