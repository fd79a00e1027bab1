//! The flows that pass through an agent.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use super::packet::FlowId;

/// How far a caller's acknowledgement may be ahead of the first sequence
/// number of the back end that it belongs to.
const SEQUENCE_WINDOW: u32 = 1 << 22;
/// An opening packet that the back end has not answered by then is forgotten.
const OPENING_LIMIT: Duration = Duration::from_millis(1_600);
/// A flow that its caller has not opened by then takes no slot any more.
const HALF_OPEN_LIMIT: Duration = Duration::from_millis(100);
/// A flow that both ends may have left is forgotten after this.
const ENDED_LIMIT: Duration = Duration::from_secs(3);
/// A request without an answer counts as busy for at most this long.
const BUSY_LIMIT: Duration = Duration::from_secs(10);

/// One flow.
#[derive(Clone, Debug)]
pub(super) struct AgentFlow {
    /// Who sent its packets last.
    pub(super) balancer: Option<SocketAddrV4>,
    /// First sequence number of the back end, if it answered here.
    pub(super) sequence: Option<u32>,
    /// The caller has acknowledged the back end's answer.
    pub(super) open: bool,
    /// A request waits for its answer.
    busy: bool,
    /// One end has ended it.
    ended: bool,
    pub(super) created_at: Timestamp,
    /// Since when a request is worked on that found a slot free.
    working_since: Option<Timestamp>,
    active_at: Timestamp,
}

impl AgentFlow {
    /// Whether a packet with this acknowledgement belongs to the back end.
    pub(super) fn owns(&self, acknowledged: u32) -> bool {
        match self.sequence {
            Some(sequence) => acknowledged.wrapping_sub(sequence) < SEQUENCE_WINDOW,
            None => self.open,
        }
    }
}

/// All flows of one agent, with the number of those that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct AgentFlows {
    flows: HashMap<FlowId, AgentFlow>,
    busy: u32,
    /// Flows whose callers have not opened them, with the end of their claim
    /// to a slot, in that order.
    half_open: VecDeque<(Timestamp, FlowId)>,
}

impl AgentFlows {
    pub(super) fn get(&self, flow: FlowId) -> Option<&AgentFlow> {
        self.flows.get(&flow)
    }

    pub(super) fn busy(&self) -> u32 {
        self.busy
    }

    /// Frees the slots of flows that their callers did not open in time.
    pub(super) fn release_half_open(&mut self, now: Timestamp) {
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

    /// How many flows have not ended.
    pub(super) fn unfinished(&self) -> usize {
        self.flows.values().filter(|flow| !flow.ended).count()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&FlowId, &AgentFlow)> {
        self.flows.iter()
    }

    /// Notes a packet from the caller's side. The back end works on `capacity`
    /// requests at once.
    pub(super) fn note_from_caller(
        &mut self,
        now: Timestamp,
        id: FlowId,
        balancer: SocketAddrV4,
        packet: CallerPacket,
        capacity: u32,
    ) {
        let flow = self.entry(now, id);
        flow.active_at = now;
        flow.balancer = Some(balancer);
        match packet {
            CallerPacket::Opening => {
                self.set_busy(id, true);
                self.half_open.push_back((now + HALF_OPEN_LIMIT, id));
            }
            CallerPacket::Established => self.open(id),
            CallerPacket::Request => {
                self.open(id);
                self.set_busy(id, true);
                self.begin_work(now, id, capacity);
            }
            CallerPacket::End => self.end(id),
        }
    }

    /// Notes a packet from the back end. Returns how long it worked on a
    /// request that found a slot free, with the first packet of its answer.
    pub(super) fn note_from_backend(
        &mut self,
        now: Timestamp,
        id: FlowId,
        packet: BackendPacket,
    ) -> Option<Duration> {
        let flow = self.entry(now, id);
        flow.active_at = now;
        match packet {
            BackendPacket::OpeningAnswer { sequence } => flow.sequence = Some(sequence),
            BackendPacket::Established => flow.open = true,
            BackendPacket::Answer => {
                flow.open = true;
                let since = flow.working_since.take();
                self.set_busy(id, false);
                return since.map(|since| now.saturating_since(since));
            }
            BackendPacket::End => self.end(id),
        }
        None
    }

    /// Notes that the back end has a request, if it can work on it at once.
    fn begin_work(&mut self, now: Timestamp, id: FlowId, capacity: u32) {
        let finds_slot = self.busy <= capacity;
        if let Some(flow) = self.flows.get_mut(&id)
            && finds_slot
            && flow.busy
        {
            flow.working_since.get_or_insert(now);
        }
    }

    pub(super) fn remove(&mut self, id: FlowId) -> Option<AgentFlow> {
        self.set_busy(id, false);
        self.flows.remove(&id)
    }

    /// Forgets flows that are over, or that rested for `idle_limit`.
    pub(super) fn expire(&mut self, now: Timestamp, idle_limit: Duration) {
        let rest = |flow: &AgentFlow| now.saturating_since(flow.active_at);
        let limit = |flow: &AgentFlow| match flow {
            flow if flow.ended => ENDED_LIMIT,
            flow if !flow.open => OPENING_LIMIT,
            _ => idle_limit,
        };
        for flow in self.flows.values_mut() {
            if flow.busy && rest(flow) >= BUSY_LIMIT {
                flow.busy = false;
            }
        }
        self.flows.retain(|_, flow| rest(flow) < limit(flow));
        self.busy = self.flows.values().filter(|flow| flow.busy).count() as u32;
    }

    fn entry(&mut self, now: Timestamp, id: FlowId) -> &mut AgentFlow {
        self.flows.entry(id).or_insert(AgentFlow {
            balancer: None,
            sequence: None,
            open: false,
            busy: false,
            ended: false,
            created_at: now,
            working_since: None,
            active_at: now,
        })
    }

    fn open(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.open = true;
        }
    }

    fn end(&mut self, id: FlowId) {
        self.set_busy(id, false);
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.ended = true;
        }
    }

    fn set_busy(&mut self, id: FlowId, busy: bool) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.busy == busy || (busy && flow.ended) {
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
pub(super) enum CallerPacket {
    Opening,
    Established,
    Request,
    End,
}

/// What a packet from the back end means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendPacket {
    OpeningAnswer { sequence: u32 },
    Established,
    Answer,
    End,
}
