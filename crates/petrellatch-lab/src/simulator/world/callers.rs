//! All callers of a run.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::flow::PacketView;
use rand::RngExt;

use super::caller_flow::CallerFlow;
use super::fleet_plan::{FleetPlan, LoadPlan};
use crate::caller::CallerState;
use crate::simulator::engine::VirtualTime;
use crate::simulator::engine::random::Random;
use crate::simulator::workload::protocol::AttemptId;

/// How often a request is tried at most.
const MAX_ATTEMPTS: u32 = 6;

/// The least time before a refused request is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ports of one caller address.
const PORTS: u64 = 30_000;

/// One request, whatever the number of its tries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPlan {
    /// The number of the service.
    pub service_index: usize,
    /// The service's name.
    pub service: &'static str,
    /// Whether it may not run twice.
    pub unrepeatable: bool,
    /// Bytes of the request's body.
    pub upload_bytes: u32,
    /// Bytes of the answer's body.
    pub answer_bytes: u32,
    /// Milliseconds between two pieces of the answer.
    pub pace_millis: u32,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer to this try arrived.
    Answered {
        /// Who answered.
        backend: String,
    },
    /// It was refused as not run.
    NotRun {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// No connection came about, so no byte of the request was sent.
    NotConnected,
    /// The connection failed before the answer was whole.
    Broken(CallerState),
    /// Bytes arrived that are not the answer to this try.
    ForeignAnswer,
}

/// One try that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Which.
    pub id: AttemptId,
    /// The number of the service.
    pub service: usize,
    /// Whether the request may not run twice.
    pub unrepeatable: bool,
    /// When it was opened.
    pub opened: VirtualTime,
    /// When its outcome was known.
    pub ended: VirtualTime,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// The callers.
pub struct Callers {
    flows: BTreeMap<SocketAddrV4, CallerFlow>,
    requests: Vec<(RequestPlan, u32)>,
    records: Vec<AttemptRecord>,
    opened: u64,
    random: Random,
    resets_are_refusals: bool,
}

impl AttemptRecord {
    /// Returns whether the whole answer arrived.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::Answered { .. })
    }

    /// Returns whether the caller saw its flow break.
    pub fn is_broken(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Broken(_) | AttemptOutcome::ForeignAnswer
        )
    }
}

impl Callers {
    /// Starts without any.
    pub fn new(random: Random) -> Self {
        Callers {
            flows: BTreeMap::new(),
            requests: Vec::new(),
            records: Vec::new(),
            opened: 0,
            random,
            resets_are_refusals: false,
        }
    }

    /// Takes late resets for refusals from now on.
    pub fn take_resets_for_refusals(&mut self) {
        self.resets_are_refusals = true;
    }

    /// Returns all tries that ended.
    pub fn records(&self) -> &[AttemptRecord] {
        &self.records
    }

    /// Returns the tries that go on.
    pub fn unfinished(&self) -> impl Iterator<Item = &CallerFlow> {
        self.flows.values().filter(|flow| flow.outcome.is_none())
    }

    /// Draws the time until the next request of a service.
    pub fn next_arrival(&mut self, load: &LoadPlan) -> Duration {
        let uniform: f64 = self.random.random_range(0.000_1..1.0);
        Duration::from_secs_f64(-uniform.ln() / load.requests_per_second)
    }

    /// Draws a request; returns its number.
    pub fn add_request(&mut self, service_index: usize, plan: &FleetPlan) -> u64 {
        let service = &plan.services[service_index];
        let load = service.load;
        let is_long = self.random.random_range(0..100) < load.long_percent;
        let unrepeatable = self.random.random_range(0..100) < load.unrepeatable_percent;
        let upload_bytes = if unrepeatable {
            self.random.random_range(1_000..20_000)
        } else {
            0
        };
        let longest = u32::try_from(load.longest.as_millis()).unwrap_or(u32::MAX);
        let (answer_bytes, pace_millis) = if is_long {
            let pieces = self.random.random_range(4..12_u32);
            (
                pieces * 4_096,
                self.random.random_range(100..=longest.max(1_200) / 12),
            )
        } else {
            (self.random.random_range(100..3_000), 0)
        };
        self.requests.push((
            RequestPlan {
                service_index,
                service: service.name,
                unrepeatable,
                upload_bytes,
                answer_bytes,
                pace_millis,
            },
            0,
        ));
        self.requests.len() as u64 - 1
    }

    /// Opens the next try of a request; returns the caller's address.
    pub fn open(&mut self, now: VirtualTime, request: u64) -> SocketAddrV4 {
        let index = usize::try_from(request).expect("requests fit into memory");
        let (plan, attempts) = &mut self.requests[index];
        let id = AttemptId {
            request,
            attempt: *attempts,
        };
        *attempts += 1;
        let local = local_address(self.opened);
        self.opened += 1;
        let remote = FleetPlan::service_address(plan.service_index);
        let flow = CallerFlow::open(now, plan.clone(), id, local, remote);
        self.flows.insert(local, flow);
        local
    }

    /// Takes a packet; returns the caller that it is for.
    pub fn handle_packet(&mut self, now: VirtualTime, packet: &[u8]) -> Option<SocketAddrV4> {
        let caller = PacketView::parse(packet).ok()?.key.destination;
        let flow = self.flows.get_mut(&caller)?;
        flow.handle_packet(now, packet);
        Some(caller)
    }

    /// Returns a flow.
    pub fn flow_mut(&mut self, caller: SocketAddrV4) -> Option<&mut CallerFlow> {
        self.flows.get_mut(&caller)
    }

    /// Notes the outcome of a flow and forgets it once it is over. Returns
    /// after which time its request is tried again.
    pub fn settle(&mut self, now: VirtualTime, caller: SocketAddrV4) -> Option<(u64, Duration)> {
        let flow = self.flows.get_mut(&caller)?;
        let mut outcome = flow.outcome.clone()?;
        if self.resets_are_refusals && outcome == AttemptOutcome::Broken(CallerState::Reset) {
            outcome = AttemptOutcome::NotRun { retry_after: None };
        }
        let is_new = !std::mem::replace(&mut flow.is_noted, true);
        let id = flow.id;
        let record = AttemptRecord {
            id,
            service: flow.plan.service_index,
            unrepeatable: flow.plan.unrepeatable,
            opened: flow.opened,
            ended: now,
            outcome: outcome.clone(),
        };
        if flow.is_over(now) {
            self.flows.remove(&caller);
        }
        if !is_new {
            return None;
        }
        self.records.push(record);
        let wait = match outcome {
            AttemptOutcome::NotRun { retry_after } => retry_after.unwrap_or(RETRY_DELAY),
            AttemptOutcome::NotConnected => RETRY_DELAY,
            _ => return None,
        };
        let tries_again = id.attempt + 1 < MAX_ATTEMPTS;
        tries_again.then_some((id.request, wait.max(RETRY_DELAY)))
    }
}

fn local_address(opened: u64) -> SocketAddrV4 {
    let host = u32::try_from(opened / PORTS).unwrap_or(u32::MAX);
    let port = 20_000 + u16::try_from(opened % PORTS).unwrap_or(0);
    let first = u32::from(Ipv4Addr::new(10, 200, 0, 1));
    SocketAddrV4::new(Ipv4Addr::from(first + host), port)
}
