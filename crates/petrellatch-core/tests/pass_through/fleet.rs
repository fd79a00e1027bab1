//! Test harness: several balancers with slow links, the agents of one service, and callers
//! that retry when they are refused.

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
use super::world::{REPLICA, SERVICE, WARM_UP_BOUNDS, no_departures};

/// Rate of a balancer's link, 3.7 Mbit/s, in bytes per second.
pub const LINK_BYTES_PER_SECOND: u64 = 462_500;
/// Slots of a back end, and its processing time of a request.
pub const SLOTS: u32 = 2;
pub const PROCESSING_MICROS: u64 = 33_000;
/// One-way network delay, in microseconds.
const ONE_WAY_MICROS: u64 = 500;
/// Maximum wait at a link, in microseconds; packets that would wait longer are lost.
const MAX_LINK_WAIT: u64 = 1_000_000;
/// Headers of IP and UDP.
const HEADER_BYTES: usize = 28;
/// Delay after which a refused caller retries, in microseconds, and maximum number of
/// retries.
const RETRY_DELAY: u64 = 18_000;
const MAX_RETRIES: u32 = 2;
/// Times from the first SYN to its retransmissions, in microseconds.
const SYN_RETRANSMISSIONS: [u64; 2] = [200_000, 600_000];
/// Deadline of a request from its first attempt, in microseconds.
const DEADLINE: u64 = 2_000_000;
/// Route addresses by priority.
const ROUTES: [SocketAddrV4; 2] = [
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80),
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80),
];

enum Event {
    Arrival {
        priority: usize,
    },
    Retry {
        first_at: u64,
        retries: u32,
        priority: usize,
    },
    Open {
        flow: SocketAddrV4,
        retransmission: u32,
    },
    PacketToBalancer(usize, Vec<u8>),
    MessageToBalancer(usize, SocketAddrV4, Box<PassThroughBody>),
    MessageToAgent(SocketAddrV4, SocketAddrV4, Box<PassThroughBody>),
    RequestDone(SocketAddrV4, PacketView),
    PacketToCaller(PacketView),
}

struct Attempt {
    first_at: u64,
    retries: u32,
    balancer: usize,
    priority: usize,
    is_accepted: bool,
    /// Number of packets forwarded to agents to have the flow accepted.
    offers: u32,
}

#[derive(Default)]
struct BackEnd {
    busy_slots: u32,
    queue: VecDeque<PacketView>,
}

/// Counters of one second; arrays are indexed by priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    pub requests: [u32; 2],
    pub served: [u32; 2],
    pub refused: u32,
    /// Offers of the flows that were refused.
    pub offers: u32,
    pub suspected: u32,
}

pub struct Fleet {
    now: u64,
    /// Last number that was given to an event or a directory revision. Events that are due at
    /// the same time run in the order of their numbers.
    last_order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    scheduled: HashMap<usize, Event>,
    balancers: Vec<PassThroughBalancer<TestCodec>>,
    /// When the link of each balancer is free again, inbound and outbound.
    links: Vec<[u64; 2]>,
    agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
    back_ends: BTreeMap<SocketAddrV4, BackEnd>,
    attempts: HashMap<SocketAddrV4, Attempt>,
    next_caller: u32,
    /// Requests per second of each priority.
    rates: [f64; 2],
    pub seconds: Vec<SecondStats>,
}

impl Fleet {
    pub fn new(balancers: usize, agents: u16) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000_000,
            last_order: 0,
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            balancers: Vec::new(),
            links: vec![[0; 2]; balancers],
            agents: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            attempts: HashMap::new(),
            next_caller: 0,
            rates: [0.0; 2],
            seconds: vec![SecondStats::default(); 64],
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

    /// Maximum rate of all back ends together, in requests per second.
    pub fn max_request_rate(&self) -> f64 {
        self.agents.len() as f64 * f64::from(SLOTS) * 1e6 / PROCESSING_MICROS as f64
    }

    /// Runs for some seconds, in which callers send this rate of requests per second of each
    /// priority.
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
                let event = self.scheduled.remove(&key).expect("the event is scheduled");
                self.handle(event);
            }
            self.now = tick_at;
            self.tick();
        }
    }

    /// Sum of the counters over some seconds since the start.
    pub fn sum(&self, seconds: std::ops::Range<usize>) -> SecondStats {
        let mut sum = SecondStats::default();
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

    /// Counters of the second that contains this time, in microseconds.
    fn second(&mut self, at: u64) -> &mut SecondStats {
        &mut self.seconds[(at / 1_000_000) as usize - 1]
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.last_order += 1;
        let key = self.last_order as usize;
        let at = self.now + after;
        self.events.push(Reverse((at, self.last_order, key)));
        self.scheduled.insert(key, event);
    }

    /// Sends bytes over the link of a balancer; direction 0 is inbound, 1 is outbound.
    fn send_over_link(&mut self, balancer: usize, direction: usize, bytes: usize, event: Event) {
        let free_at = &mut self.links[balancer][direction];
        let starts = (*free_at).max(self.now);
        if starts - self.now > MAX_LINK_WAIT {
            return;
        }
        *free_at = starts + bytes as u64 * 1_000_000 / LINK_BYTES_PER_SECOND;
        let after = *free_at - self.now + ONE_WAY_MICROS;
        self.schedule(after, event);
    }

    fn tick(&mut self) {
        let now = self.time();
        for index in 0..self.balancers.len() {
            if self.balancers[index].poll_timeout() <= now {
                self.balancers[index].handle_timeout(now);
                self.process_balancer_outputs(index);
            }
        }
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for address in addresses {
            let agent = self.agents.get_mut(&address).expect("the agent exists");
            if agent.poll_timeout() <= now {
                agent.handle_timeout(now);
            }
            self.process_agent_outputs(address);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrival { priority } => self.arrive(priority),
            Event::Retry {
                first_at,
                retries,
                priority,
            } => {
                self.start_attempt(first_at, retries, priority);
            }
            Event::Open {
                flow,
                retransmission,
            } => self.open(flow, retransmission),
            Event::PacketToBalancer(index, packet) => {
                self.balancers[index].handle_packet(now, &packet);
                self.process_balancer_outputs(index);
            }
            Event::MessageToBalancer(index, from, body) => {
                self.balancers[index].handle_message(now, from, *body);
                self.process_balancer_outputs(index);
            }
            Event::MessageToAgent(to, from, body) => {
                let agent = self.agents.get_mut(&to).expect("the agent exists");
                agent.handle_message(now, from, *body);
                self.process_agent_outputs(to);
            }
            Event::RequestDone(address, view) => self.finish_request(address, view),
            Event::PacketToCaller(view) => self.deliver_to_caller(view),
        }
    }

    fn arrive(&mut self, priority: usize) {
        let rate = self.rates[priority];
        let interval = if rate > 0.0 {
            (1e6 / rate) as u64
        } else {
            100_000
        };
        self.schedule(interval.max(1), Event::Arrival { priority });
        if rate == 0.0 {
            return;
        }
        let at = self.now;
        self.second(at).requests[priority] += 1;
        self.start_attempt(at, 0, priority);
    }

    /// Starts the first attempt of a request, or a retry from a new caller address at another
    /// balancer.
    fn start_attempt(&mut self, first_at: u64, retries: u32, priority: usize) {
        self.next_caller += 1;
        let flow = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + self.next_caller), 9000);
        let attempt = Attempt {
            first_at,
            retries,
            balancer: self.next_caller as usize % self.balancers.len(),
            priority,
            is_accepted: false,
            offers: 0,
        };
        self.attempts.insert(flow, attempt);
        self.open(flow, 0);
    }

    fn open(&mut self, flow: SocketAddrV4, retransmission: u32) {
        let Some(attempt) = self
            .attempts
            .get(&flow)
            .filter(|attempt| !attempt.is_accepted)
        else {
            return;
        };
        let packet = PacketView {
            syn: true,
            ack_number: retransmission,
            ..empty(flow, ROUTES[attempt.priority])
        };
        if let Some(after) = SYN_RETRANSMISSIONS.get(retransmission as usize) {
            let before = retransmission
                .checked_sub(1)
                .map_or(0, |last| SYN_RETRANSMISSIONS[last as usize]);
            let retransmission = retransmission + 1;
            self.schedule(
                after - before,
                Event::Open {
                    flow,
                    retransmission,
                },
            );
        }
        self.send_packet(&packet);
    }

    fn send_packet(&mut self, view: &PacketView) {
        let Some(attempt) = self.attempts.get(&view.source) else {
            return;
        };
        let index = attempt.balancer;
        let packet = encode(view);
        self.send_over_link(
            index,
            0,
            packet.len(),
            Event::PacketToBalancer(index, packet),
        );
    }

    fn process_balancer_outputs(&mut self, index: usize) {
        let from = balancer_address(index);
        while let Some(output) = self.balancers[index].poll_output() {
            match output {
                PassThroughOutput::Send { to, .. } if to == REPLICA => {}
                PassThroughOutput::Send { to, body } => {
                    let bytes = message_bytes(&body);
                    if let PassThroughBody::ForwardedPacket(forwarded) = &body
                        && forwarded.reason() != ForwardReason::Deliver
                    {
                        let view = TestCodec.view(&forwarded.packet).expect("a valid packet");
                        let attempt = self.attempts.get_mut(&view.source);
                        attempt.into_iter().for_each(|attempt| attempt.offers += 1);
                    }
                    self.send_over_link(
                        index,
                        1,
                        bytes,
                        Event::MessageToAgent(to, from, Box::new(body)),
                    );
                }
                PassThroughOutput::ToCaller { packet, .. } => {
                    let view = TestCodec.view(&packet).expect("a valid packet");
                    self.send_over_link(index, 1, packet.len(), Event::PacketToCaller(view));
                }
                PassThroughOutput::Event(event) if event.kind == EventKind::AgentSuspected => {
                    let at = self.now;
                    self.second(at).suspected += 1;
                }
                _ => {}
            }
        }
    }

    fn process_agent_outputs(&mut self, address: SocketAddrV4) {
        while let Some(output) = self
            .agents
            .get_mut(&address)
            .and_then(|it| it.poll_output())
        {
            match output {
                PassThroughOutput::Send { to, body } if to == REPLICA => {
                    if let PassThroughBody::Report(report) = body {
                        let age_millis = 0;
                        self.send_to_balancers(DirectoryEntry { report, age_millis });
                        let status = GroupStatus {
                            has_report: true,
                            ..GroupStatus::default()
                        };
                        let body = Box::new(PassThroughBody::GroupStatus(status));
                        self.schedule(
                            ONE_WAY_MICROS,
                            Event::MessageToAgent(address, REPLICA, body),
                        );
                    }
                }
                PassThroughOutput::Send { to, body } if self.agents.contains_key(&to) => {
                    self.schedule(
                        ONE_WAY_MICROS,
                        Event::MessageToAgent(to, address, Box::new(body)),
                    );
                }
                PassThroughOutput::Send { to, body } => {
                    let index = usize::from(to.ip().octets()[3]);
                    let bytes = message_bytes(&body);
                    let event = Event::MessageToBalancer(index, address, Box::new(body));
                    self.send_over_link(index, 0, bytes, event);
                }
                PassThroughOutput::ToBackend(packet) => {
                    let view = TestCodec.view(&packet).expect("a valid packet");
                    self.deliver_to_backend(address, view);
                }
                PassThroughOutput::ToCaller { packet, .. } => {
                    let view = TestCodec.view(&packet).expect("a valid packet");
                    self.schedule(ONE_WAY_MICROS, Event::PacketToCaller(view));
                }
                PassThroughOutput::Event(_) => {}
            }
        }
    }

    fn send_to_balancers(&mut self, entry: DirectoryEntry) {
        let change = DirectoryChange {
            agents: vec![entry],
            removed: Vec::new(),
        };
        let bytes = compress_prepend_size(&change.encode_to_vec());
        self.last_order += 1;
        let directory = DirectoryPart {
            base_revision: 0,
            revision: self.last_order,
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

    fn deliver_to_backend(&mut self, address: SocketAddrV4, view: PacketView) {
        if view.is_syn() {
            let syn_ack = PacketView {
                syn: true,
                ack: true,
                sequence_number: initial_sequence(address),
                ..empty(view.destination, view.source)
            };
            self.send_from_back_end(address, &syn_ack);
        } else if view.data_bytes > 0 {
            let back_end = self.back_ends.get_mut(&address).expect("the agent exists");
            back_end.queue.push_back(view);
            self.start_request(address);
        }
    }

    fn start_request(&mut self, address: SocketAddrV4) {
        let back_end = self.back_ends.get_mut(&address).expect("the agent exists");
        if back_end.busy_slots < SLOTS
            && let Some(view) = back_end.queue.pop_front()
        {
            back_end.busy_slots += 1;
            self.schedule(PROCESSING_MICROS, Event::RequestDone(address, view));
        }
    }

    fn finish_request(&mut self, address: SocketAddrV4, request: PacketView) {
        self.back_ends
            .get_mut(&address)
            .expect("the agent exists")
            .busy_slots -= 1;
        let response = PacketView {
            ack: true,
            data_bytes: 1_000,
            sequence_number: initial_sequence(address).wrapping_add(1),
            ..empty(request.destination, request.source)
        };
        self.send_from_back_end(address, &response);
        self.start_request(address);
    }

    fn send_from_back_end(&mut self, address: SocketAddrV4, view: &PacketView) {
        let now = self.time();
        let agent = self.agents.get_mut(&address).expect("the agent exists");
        agent.handle_backend_packet(now, &encode(view));
        self.process_agent_outputs(address);
    }

    fn deliver_to_caller(&mut self, view: PacketView) {
        let now = self.now;
        let flow = view.destination;
        let Some(attempt) = self.attempts.get_mut(&flow) else {
            return;
        };
        let (first_at, retries, priority) = (attempt.first_at, attempt.retries, attempt.priority);
        let offers = attempt.offers;
        if view.rst {
            self.attempts.remove(&flow);
            self.second(now).refused += 1;
            self.second(now).offers += offers;
            if retries < MAX_RETRIES && now + RETRY_DELAY < first_at + DEADLINE {
                let retries = retries + 1;
                let retry = Event::Retry {
                    first_at,
                    retries,
                    priority,
                };
                self.schedule(RETRY_DELAY, retry);
            }
        } else if view.syn && !attempt.is_accepted {
            attempt.is_accepted = true;
            let request = PacketView {
                ack: true,
                ack_number: view.sequence_number.wrapping_add(1),
                data_bytes: 50,
                ..empty(flow, view.source)
            };
            self.send_packet(&request);
        } else if view.data_bytes > 0 {
            let fin = PacketView {
                ack: true,
                fin: true,
                ack_number: view.sequence_number,
                ..empty(flow, view.source)
            };
            self.send_packet(&fin);
            self.attempts.remove(&flow);
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
    HEADER_BYTES + message.encoded_len()
}

fn balancer_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, index as u8), 7000)
}

fn initial_sequence(agent: SocketAddrV4) -> u32 {
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
        silence_timeout: Duration::from_secs(600),
        provisional_timeout: Duration::from_secs(2),
        flow_ttl: Duration::from_secs(60),
        default_requests_per_slot: 3,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record: FlowRecordSettings::default(),
    };
    let incarnation = Incarnation(u64::from(u32::from(*address.ip())));
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    let mut agent = PassThroughAgent::new(now, settings, TestCodec, incarnation, known_replicas);
    let status = no_departures(REPLICA, incarnation.0);
    agent.handle_message(now, REPLICA, PassThroughBody::GroupStatus(status));
    let registration = Registration {
        id: address.to_string(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: 1,
        slots: SLOTS,
        draining: false,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    let result = agent.handle_registration(now, &registration);
    result.expect("the registration is accepted");
    agent
}

fn new_balancer(now: Timestamp, index: u64) -> PassThroughBalancer<TestCodec> {
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: Duration::from_secs(1),
        flow_ttl: Duration::from_secs(60),
        stop_delay: Duration::from_secs(2),
        link_bytes_per_second: Some(LINK_BYTES_PER_SECOND),
    };
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    let incarnation = Incarnation(7 + 2 * index);
    let mut balancer =
        PassThroughBalancer::new(now, settings, TestCodec, incarnation, known_replicas);
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
        confirmation_id: incarnation.0 | 1,
        version: 3,
        zones: None,
        ..VersionConfirmed::default()
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::Configuration(part));
    balancer.handle_message(now, REPLICA, PassThroughBody::VersionConfirmed(confirmed));
    assert!(balancer.is_ready(now));
    balancer
}
