//! Several balancers with small links, the agents of one service, and callers that
//! come back when they are refused.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lz4_flex::compress_prepend_size;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowRecordSettings, KnownReplicas, PacketCodec, PacketView, PassThroughAgent,
    PassThroughAgentSettings, PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput,
    Registration,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, DirectoryChange, DirectoryEntry, DirectoryPart,
    ForwardReason, GroupStatus, PassThroughBody, PassThroughMessage, RouteRecord, RouteShare,
    VersionConfirmed, pack_address,
};
use prost::Message;

use super::codec::{TestCodec, empty, encode};
use super::world::{REPLICA, SERVICE, WARM_UP_BOUNDS};

/// A link of 3.7 Mbit/s, in bytes a second.
pub const LINK_BYTES_PER_SECOND: u64 = 462_500;
/// Slots of a back end, and its work on a request.
pub const SLOTS: u32 = 2;
pub const PROCESSING_MICROS: u64 = 33_000;
/// One way, in microseconds.
const WAY: u64 = 500;
/// Packets that would wait for longer at a link are lost.
const LINK_QUEUE: u64 = 1_000_000;
/// Heads of IP and UDP.
const HEADS: usize = 28;
/// A refused caller is back after so long, so often.
const RETRY: u64 = 18_000;
const RETRIES: u32 = 2;
/// Callers send copies of an opening packet after so long.
const COPIES: [u64; 2] = [200_000, 600_000];
const DEADLINE: u64 = 2_000_000;
/// The address of priority 0 is the first, that of priority 1 the next one.
const ROUTES: [SocketAddrV4; 2] = [
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80),
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80),
];

enum Event {
    Arrival {
        priority: usize,
    },
    Again {
        first_at: u64,
        tries: u32,
        priority: usize,
    },
    Open {
        flow: SocketAddrV4,
        copy: u32,
    },
    AtBalancer(usize, Vec<u8>),
    ToBalancer(usize, SocketAddrV4, Box<PassThroughBody>),
    ToAgent(SocketAddrV4, SocketAddrV4, Box<PassThroughBody>),
    Done(SocketAddrV4, PacketView),
    ToCaller(PacketView),
}

struct Call {
    first_at: u64,
    tries: u32,
    balancer: usize,
    priority: usize,
    answered: bool,
    /// Questions to agents for it.
    questions: u32,
}

#[derive(Default)]
struct BackEnd {
    working: u32,
    queue: VecDeque<PacketView>,
}

/// What happened in a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub requests: [u32; 2],
    pub served: [u32; 2],
    pub refused: u32,
    /// For the flows that were refused.
    pub offers: u32,
    pub suspected: u32,
}

pub struct Fleet {
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    bodies: HashMap<usize, Event>,
    balancers: Vec<PassThroughBalancer<TestCodec>>,
    /// When the link of each balancer is free again, to it and from it.
    links: Vec<[u64; 2]>,
    agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
    back_ends: BTreeMap<SocketAddrV4, BackEnd>,
    calls: HashMap<SocketAddrV4, Call>,
    next_caller: u32,
    /// Requests a second of each priority.
    rates: [f64; 2],
    pub seconds: Vec<Second>,
}

impl Fleet {
    pub fn new(balancers: usize, agents: u16) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000_000,
            order: 0,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            balancers: Vec::new(),
            links: vec![[0; 2]; balancers],
            agents: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            calls: HashMap::new(),
            next_caller: 0,
            rates: [0.0; 2],
            seconds: vec![Second::default(); 64],
        };
        let now = fleet.time();
        for index in 0..balancers {
            fleet.balancers.push(new_balancer(now, index as u64));
        }
        for index in 0..agents {
            let [high, low] = index.to_be_bytes();
            let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7000);
            fleet.agents.insert(address, new_agent(now, address));
            fleet.back_ends.insert(address, BackEnd::default());
        }
        for priority in 0..2 {
            fleet.schedule(1_000, Event::Arrival { priority });
        }
        fleet
    }

    /// What all back ends can do, in requests a second.
    pub fn max_request_rate(&self) -> f64 {
        self.agents.len() as f64 * f64::from(SLOTS) * 1e6 / PROCESSING_MICROS as f64
    }

    /// Callers send so many requests a second of each priority, for some seconds.
    pub fn run(&mut self, rates: [f64; 2], seconds: u64) {
        self.rates = rates;
        let end = self.now + seconds * 1_000_000;
        while self.now < end {
            let tick_at = self.now + 1_000;
            while let Some(Reverse((at, ..))) = self.events.peek()
                && *at <= tick_at
            {
                let Some(Reverse((at, _, key))) = self.events.pop() else {
                    break;
                };
                self.now = at;
                let event = self.bodies.remove(&key).expect("scheduled");
                self.handle(event);
            }
            self.now = tick_at;
            self.tick();
        }
    }

    /// All that happened in some seconds since the start.
    pub fn sum(&self, seconds: std::ops::Range<usize>) -> Second {
        let mut sum = Second::default();
        for second in &self.seconds[seconds] {
            for priority in 0..2 {
                sum.requests[priority] += second.requests[priority];
                sum.served[priority] += second.served[priority];
            }
            sum.refused += second.refused;
            sum.offers += second.offers;
            sum.suspected += second.suspected;
        }
        sum
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    fn second(&mut self, at: u64) -> &mut Second {
        &mut self.seconds[(at / 1_000_000) as usize - 1]
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.order += 1;
        let key = self.order as usize;
        let at = self.now + after;
        self.events.push(Reverse((at, self.order, key)));
        self.bodies.insert(key, event);
    }

    /// Sends bytes over the link of a balancer: zero for to it, one for from it.
    fn over_link(&mut self, balancer: usize, direction: usize, bytes: usize, event: Event) {
        let free_at = &mut self.links[balancer][direction];
        let starts = (*free_at).max(self.now);
        if starts - self.now > LINK_QUEUE {
            return;
        }
        *free_at = starts + bytes as u64 * 1_000_000 / LINK_BYTES_PER_SECOND;
        let after = *free_at - self.now + WAY;
        self.schedule(after, event);
    }

    fn tick(&mut self) {
        let now = self.time();
        for index in 0..self.balancers.len() {
            if self.balancers[index].poll_timeout() <= now {
                self.balancers[index].handle_timeout(now);
                self.drain_balancer(index);
            }
        }
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for address in addresses {
            let agent = self.agents.get_mut(&address).expect("known");
            if agent.poll_timeout() <= now {
                agent.handle_timeout(now);
            }
            self.drain_agent(address);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrival { priority } => self.arrive(priority),
            Event::Again {
                first_at,
                tries,
                priority,
            } => {
                self.try_again(first_at, tries, priority);
            }
            Event::Open { flow, copy } => self.open(flow, copy),
            Event::AtBalancer(index, packet) => {
                self.balancers[index].handle_packet(now, &packet);
                self.drain_balancer(index);
            }
            Event::ToBalancer(index, from, body) => {
                self.balancers[index].handle_message(now, from, *body);
                self.drain_balancer(index);
            }
            Event::ToAgent(to, from, body) => {
                let agent = self.agents.get_mut(&to).expect("known");
                agent.handle_message(now, from, *body);
                self.drain_agent(to);
            }
            Event::Done(address, view) => self.finish_work(address, view),
            Event::ToCaller(view) => self.reach_caller(view),
        }
    }

    fn arrive(&mut self, priority: usize) {
        let rate = self.rates[priority];
        let gap = if rate > 0.0 {
            (1e6 / rate) as u64
        } else {
            100_000
        };
        self.schedule(gap.max(1), Event::Arrival { priority });
        if rate == 0.0 {
            return;
        }
        let at = self.now;
        self.second(at).requests[priority] += 1;
        self.try_again(at, 0, priority);
    }

    /// A caller comes, or is back at another balancer.
    fn try_again(&mut self, first_at: u64, tries: u32, priority: usize) {
        self.next_caller += 1;
        let flow = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + self.next_caller), 9000);
        let call = Call {
            first_at,
            tries,
            balancer: self.next_caller as usize % self.balancers.len(),
            priority,
            answered: false,
            questions: 0,
        };
        self.calls.insert(flow, call);
        self.open(flow, 0);
    }

    fn open(&mut self, flow: SocketAddrV4, copy: u32) {
        let Some(call) = self.calls.get(&flow).filter(|call| !call.answered) else {
            return;
        };
        let packet = PacketView {
            syn: true,
            ack_number: copy,
            ..empty(flow, ROUTES[call.priority])
        };
        if let Some(after) = COPIES.get(copy as usize) {
            let before = copy.checked_sub(1).map_or(0, |last| COPIES[last as usize]);
            let copy = copy + 1;
            self.schedule(after - before, Event::Open { flow, copy });
        }
        self.send_packet(&packet);
    }

    fn send_packet(&mut self, view: &PacketView) {
        let Some(call) = self.calls.get(&view.source) else {
            return;
        };
        let index = call.balancer;
        let packet = encode(view);
        self.over_link(index, 0, packet.len(), Event::AtBalancer(index, packet));
    }

    fn drain_balancer(&mut self, index: usize) {
        let from = balancer_address(index);
        while let Some(output) = self.balancers[index].poll_output() {
            match output {
                PassThroughOutput::Send { to, .. } if to == REPLICA => {}
                PassThroughOutput::Send { to, body } => {
                    let bytes = message_bytes(&body);
                    if let PassThroughBody::ForwardedPacket(carry) = &body
                        && carry.reason() != ForwardReason::Deliver
                    {
                        let view = TestCodec.view(&carry.packet).expect("a packet");
                        let call = self.calls.get_mut(&view.source);
                        call.into_iter().for_each(|call| call.questions += 1);
                    }
                    self.over_link(index, 1, bytes, Event::ToAgent(to, from, Box::new(body)));
                }
                PassThroughOutput::ToCaller { packet, .. } => {
                    let view = TestCodec.view(&packet).expect("a packet");
                    self.over_link(index, 1, packet.len(), Event::ToCaller(view));
                }
                PassThroughOutput::Event(event) if event.kind == EventKind::AgentSuspected => {
                    let at = self.now;
                    self.second(at).suspected += 1;
                }
                _ => {}
            }
        }
    }

    fn drain_agent(&mut self, address: SocketAddrV4) {
        while let Some(output) = self
            .agents
            .get_mut(&address)
            .and_then(|it| it.poll_output())
        {
            match output {
                PassThroughOutput::Send { to, body } if to == REPLICA => {
                    if let PassThroughBody::Report(report) = body {
                        let age_millis = 0;
                        self.tell_all(DirectoryEntry { report, age_millis });
                        let heard = GroupStatus {
                            has_report: true,
                            ..GroupStatus::default()
                        };
                        let body = Box::new(PassThroughBody::GroupStatus(heard));
                        self.schedule(WAY, Event::ToAgent(address, REPLICA, body));
                    }
                }
                PassThroughOutput::Send { to, body } if self.agents.contains_key(&to) => {
                    self.schedule(WAY, Event::ToAgent(to, address, Box::new(body)));
                }
                PassThroughOutput::Send { to, body } => {
                    let index = usize::from(to.ip().octets()[3]);
                    let bytes = message_bytes(&body);
                    let event = Event::ToBalancer(index, address, Box::new(body));
                    self.over_link(index, 0, bytes, event);
                }
                PassThroughOutput::ToBackend(packet) => {
                    let view = TestCodec.view(&packet).expect("a packet");
                    self.reach_back_end(address, view);
                }
                PassThroughOutput::ToCaller { packet, .. } => {
                    let view = TestCodec.view(&packet).expect("a packet");
                    self.schedule(WAY, Event::ToCaller(view));
                }
                PassThroughOutput::Event(_) => {}
            }
        }
    }

    fn tell_all(&mut self, entry: DirectoryEntry) {
        let change = DirectoryChange {
            agents: vec![entry],
            removed: Vec::new(),
        };
        let bytes = compress_prepend_size(&change.encode_to_vec());
        self.order += 1;
        let directory = DirectoryPart {
            base_revision: 0,
            revision: self.order,
            part: 0,
            parts: 1,
            bytes,
        };
        let now = self.time();
        for balancer in &mut self.balancers {
            let body = PassThroughBody::DirectoryPart(directory.clone());
            balancer.handle_message(now, REPLICA, body);
        }
    }

    fn reach_back_end(&mut self, address: SocketAddrV4, view: PacketView) {
        if view.is_syn() {
            let answer = PacketView {
                syn: true,
                ack: true,
                sequence_number: first_sequence(address),
                ..empty(view.destination, view.source)
            };
            self.answer(address, &answer);
        } else if view.data_bytes > 0 {
            let back_end = self.back_ends.get_mut(&address).expect("known");
            back_end.queue.push_back(view);
            self.begin_work(address);
        }
    }

    fn begin_work(&mut self, address: SocketAddrV4) {
        let back_end = self.back_ends.get_mut(&address).expect("known");
        if back_end.working < SLOTS
            && let Some(view) = back_end.queue.pop_front()
        {
            back_end.working += 1;
            self.schedule(PROCESSING_MICROS, Event::Done(address, view));
        }
    }

    fn finish_work(&mut self, address: SocketAddrV4, request: PacketView) {
        self.back_ends.get_mut(&address).expect("known").working -= 1;
        let answer = PacketView {
            ack: true,
            data_bytes: 1_000,
            sequence_number: first_sequence(address).wrapping_add(1),
            ..empty(request.destination, request.source)
        };
        self.answer(address, &answer);
        self.begin_work(address);
    }

    fn answer(&mut self, address: SocketAddrV4, view: &PacketView) {
        let now = self.time();
        let agent = self.agents.get_mut(&address).expect("known");
        agent.handle_backend_packet(now, &encode(view));
        self.drain_agent(address);
    }

    fn reach_caller(&mut self, view: PacketView) {
        let now = self.now;
        let flow = view.destination;
        let Some(call) = self.calls.get_mut(&flow) else {
            return;
        };
        let (first_at, tries, priority) = (call.first_at, call.tries, call.priority);
        let questions = call.questions;
        if view.rst {
            self.calls.remove(&flow);
            self.second(now).refused += 1;
            self.second(now).offers += questions;
            if tries < RETRIES && now + RETRY < first_at + DEADLINE {
                let tries = tries + 1;
                let again = Event::Again {
                    first_at,
                    tries,
                    priority,
                };
                self.schedule(RETRY, again);
            }
        } else if view.syn && !call.answered {
            call.answered = true;
            let request = PacketView {
                ack: true,
                ack_number: view.sequence_number.wrapping_add(1),
                data_bytes: 50,
                ..empty(flow, view.source)
            };
            self.send_packet(&request);
        } else if view.data_bytes > 0 {
            let end = PacketView {
                ack: true,
                fin: true,
                ack_number: view.sequence_number,
                ..empty(flow, view.source)
            };
            self.send_packet(&end);
            self.calls.remove(&flow);
            if now <= first_at + DEADLINE {
                self.second(first_at).served[priority] += 1;
            }
        }
    }
}

fn message_bytes(body: &PassThroughBody) -> usize {
    let message = PassThroughMessage {
        body: Some(body.clone()),
    };
    HEADS + message.encoded_len()
}

fn balancer_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, index as u8), 7000)
}

fn first_sequence(agent: SocketAddrV4) -> u32 {
    u32::from(*agent.ip()) << 16
}

fn new_agent(now: Timestamp, address: SocketAddrV4) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start: true,
        report_interval: Duration::from_millis(
            1_500 + u64::from(address.ip().octets()[3]) * 37 % 1_000,
        ),
        silence_limit: Duration::from_secs(600),
        provisional_timeout: Duration::from_secs(2),
        flow_lifetime: Duration::from_secs(60),
        queue_factor: 3,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record: FlowRecordSettings::default(),
    };
    let life = Incarnation(u64::from(u32::from(*address.ip())));
    let contacts = KnownReplicas::new(vec![REPLICA]);
    let mut agent = PassThroughAgent::new(now, settings, TestCodec, life, contacts);
    let call = Registration {
        id: address.to_string(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: 1,
        slots: SLOTS,
        draining: false,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    let taken = agent.handle_registration(now, &call);
    taken.expect("it is of the agent's service");
    agent
}

fn new_balancer(now: Timestamp, index: u64) -> PassThroughBalancer<TestCodec> {
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: Duration::from_secs(1),
        flow_lifetime: Duration::from_secs(60),
        stop_delay: Duration::from_secs(2),
        link_bytes_per_second: Some(LINK_BYTES_PER_SECOND),
    };
    let contacts = KnownReplicas::new(vec![REPLICA]);
    let life = Incarnation(7 + 2 * index);
    let mut balancer = PassThroughBalancer::new(now, settings, TestCodec, life, contacts);
    let route = |priority: usize| RouteRecord {
        address: pack_address(ROUTES[priority]),
        shares: vec![RouteShare {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        latency_objective_millis: 200,
        deadline_millis: 2_000,
        priority: priority as u32,
        ..RouteRecord::default()
    };
    let change = ConfigurationChange {
        version: 3,
        put: vec![route(0), route(1)],
        ..ConfigurationChange::default()
    };
    let part = ConfigurationPart {
        base_version: 0,
        version: 3,
        part: 0,
        parts: 1,
        bytes: compress_prepend_size(&change.encode_to_vec()),
    };
    let confirmed = VersionConfirmed {
        confirmation_id: life.0 | 1,
        version: 3,
        zones: None,
        ..VersionConfirmed::default()
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::Configuration(part));
    balancer.handle_message(now, REPLICA, PassThroughBody::VersionConfirmed(confirmed));
    assert!(balancer.is_ready(now));
    balancer
}
