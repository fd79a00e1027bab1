//! All flows of the callers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_core::Timestamp;
use petrellatch_core::flow::PacketView;
use rand::Rng;

use crate::experiment::flow::{CallerFlow, FlowEnd, TRY_LIMIT};
use crate::experiment::measures::{EndedFlow, Machine, Retry};
use crate::experiment::workload::FlowPlan;
use crate::simulator::engine::random::{Random, stream};

/// Flows from one caller address.
const FLOWS_PER_ADDRESS: u64 = 50_000;

/// The first port of callers.
const FIRST_PORT: u64 = 10_000;

/// The first address of callers.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(100, 64, 0, 1);

struct Entry {
    flow: CallerFlow,
    due: Option<Timestamp>,
    machine: Option<Machine>,
}

/// What came of advancing a flow.
pub(super) struct Advance {
    pub(super) packets: Vec<Vec<u8>>,
    /// A new time at which the flow is due.
    pub(super) due: Option<Timestamp>,
    pub(super) ended: Option<EndedFlow>,
}

/// The open flows. Nothing iterates over them, so hash maps keep a run
/// deterministic.
pub(super) struct Callers {
    flows: HashMap<u64, Entry>,
    flow_of_request: HashMap<u64, u64>,
    opened: u64,
    random: Random,
}

impl Callers {
    pub(super) fn new(seed: u64) -> Self {
        Callers {
            flows: HashMap::new(),
            flow_of_request: HashMap::new(),
            opened: 0,
            random: stream(seed, "callers"),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn open(&mut self, now: Timestamp, plan: FlowPlan) -> u64 {
        let number = self.opened;
        self.opened += 1;
        for request in &plan.requests {
            self.flow_of_request.insert(request.id, number);
        }
        let flow = CallerFlow::open(now, self.random.next_u64(), address(number), plan);
        let entry = Entry {
            flow,
            due: None,
            machine: None,
        };
        self.flows.insert(number, entry);
        number
    }

    pub(super) fn is_due(&self, now: Timestamp, flow: u64) -> bool {
        let due = self.flows.get(&flow).and_then(|entry| entry.due);
        due.is_some_and(|due| due <= now)
    }

    /// Returns when the caller first wanted to ask a request.
    pub(super) fn wanted_at(&self, request: u64) -> Option<Timestamp> {
        let flow = self.flow_of_request.get(&request)?;
        Some(self.flows.get(flow)?.flow.wanted_at())
    }

    /// Gives a packet to its flow and returns that.
    pub(super) fn handle_packet(
        &mut self,
        now: Timestamp,
        machine: Machine,
        packet: &[u8],
    ) -> Option<u64> {
        let view = PacketView::parse(packet).ok()?;
        let number = number(view.key.destination)?;
        let entry = self.flows.get_mut(&number)?;
        if !view.resets {
            entry.machine = Some(machine);
        }
        entry.flow.handle_packet(now, packet);
        Some(number)
    }

    pub(super) fn advance(&mut self, now: Timestamp, number: u64) -> Option<Advance> {
        let entry = self.flows.get_mut(&number)?;
        let mut end = entry.flow.advance(now);
        if end.is_some_and(|end| end != FlowEnd::Complete) {
            entry.flow.abort();
        }
        let packets = entry.flow.poll_packets(now);
        if end.is_none() {
            // Sending may be what ends a flow, for instance by a timeout.
            end = entry.flow.advance(now);
        }
        if let Some(end) = end {
            let ended = self.remove(number, end);
            return Some(Advance {
                packets,
                due: None,
                ended,
            });
        }
        let due = entry.flow.poll_timeout(now).map(|due| due.max(now));
        let is_new = due.is_some() && due != entry.due;
        entry.due = due;
        Some(Advance {
            packets,
            due: due.filter(|_| is_new),
            ended: None,
        })
    }

    fn remove(&mut self, number: u64, end: FlowEnd) -> Option<EndedFlow> {
        let entry = self.flows.remove(&number)?;
        let retry = retry(&entry.flow, end);
        let plan = &entry.flow.plan;
        let unanswered = plan.requests.get(entry.flow.answered).map(|it| it.id);
        for request in &plan.requests {
            self.flow_of_request.remove(&request.id);
        }
        Some(EndedFlow {
            end,
            is_accepted: entry.flow.is_accepted(),
            unanswered,
            machine: entry.machine,
            retry,
        })
    }
}

/// Returns what the caller of a refused flow does.
fn retry(flow: &CallerFlow, end: FlowEnd) -> Option<Retry> {
    let was_refused = matches!(end, FlowEnd::Refused | FlowEnd::RefusedByReset);
    let mut plan = flow.plan.clone();
    plan.wanted_at = Some(flow.wanted_at());
    plan.refusals += 1;
    let tries_again = was_refused && flow.answered == 0 && plan.refusals < TRY_LIMIT;
    tries_again.then(|| Retry {
        after: flow.retry_time(),
        plan,
    })
}

fn address(number: u64) -> SocketAddrV4 {
    let host = u32::try_from(number / FLOWS_PER_ADDRESS).unwrap_or(0);
    let port = u16::try_from(FIRST_PORT + number % FLOWS_PER_ADDRESS).unwrap_or(1);
    SocketAddrV4::new(Ipv4Addr::from(u32::from(FIRST_ADDRESS) + host), port)
}

fn number(address: SocketAddrV4) -> Option<u64> {
    let host = u32::from(*address.ip()).checked_sub(u32::from(FIRST_ADDRESS))?;
    let port = u64::from(address.port()).checked_sub(FIRST_PORT)?;
    Some(u64::from(host) * FLOWS_PER_ADDRESS + port)
}
