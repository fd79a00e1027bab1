//! Flows and packets that one agent serves on one core, and the memory of its
//! open flows. Sockets and callers are left out of the time.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentNode, AgentOutput, AgentSettings, BackendEvent, FlowId};
use petrellatch_core::dissemination::StoredView;
use petrellatch_core::flow::PacketView;
use petrellatch_core::identity::Incarnation;
use petrellatch_proto::data::{DataDatagram, ForwardKind};
use petrellatch_proto::record::Record;

use super::BenchOptions;
use super::control_stub;
use super::figure::{Figure, resident_bytes};
use super::large_cluster::{CONTROL, LargeCluster, address_of, agent_identity, put};
use super::scripted_caller::ScriptedCaller;

/// The service and the agent that has a back end of it.
const SERVICE: u32 = 1;
const AGENT: u64 = 0;

/// What callers send and get.
const REQUEST: &[u8] = &[b'q'; 200];
const ANSWER: &[u8] = &[b'a'; 1_000];

/// An agent with one back end that answers every request at once, and what
/// its calls cost.
struct Bench {
    agent: AgentNode,
    now: Timestamp,
    callers: BTreeMap<SocketAddrV4, ScriptedCaller>,
    /// Whole answers that reached callers.
    answered: u64,
    answer_bytes: usize,
    packets: u64,
    time: Duration,
    life: Incarnation,
    backend: u64,
}

/// Measures the agent.
pub fn measure(options: &BenchOptions) -> Vec<Figure> {
    let mut bench = Bench::new();
    let before = resident_bytes();
    for number in 0..options.flows {
        bench.exchange(number);
    }
    let open = bench.agent.open_flows();
    let memory = resident_bytes().saturating_sub(before) as f64 / 1e6;
    let mut figures = vec![
        Figure::new("open flows", open as f64, ""),
        Figure::new("memory that they take", memory, "MB"),
        Figure::memory("memory of the process"),
    ];
    let mut bench = Bench::new();
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut flows = 0;
    while Instant::now() < end {
        let number = flows % options.flows;
        bench.exchange(number);
        bench.end(number);
        flows += 1;
        bench.pass(Duration::from_micros(100));
    }
    let flows = u64::from(flows);
    let unanswered = flows - bench.answered;
    let ended = bench.agent.counters().ended;
    figures.push(Figure::new(
        "short flows without an answer",
        unanswered as f64,
        "",
    ));
    figures.push(Figure::new("short flows that ended", ended as f64, ""));
    figures.push(Figure::rate("short flows", flows, bench.time, "a second"));
    figures.push(Figure::rate(
        "packets of short flows",
        bench.packets,
        bench.time,
        "a second",
    ));
    figures.extend(measure_requests(options));
    figures
}

/// Measures requests on flows that stay open.
fn measure_requests(options: &BenchOptions) -> Vec<Figure> {
    let mut bench = Bench::new();
    for number in 0..options.flows {
        bench.exchange(number);
    }
    (bench.time, bench.packets, bench.answered) = (Duration::ZERO, 0, 0);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut number = 0;
    while Instant::now() < end {
        bench.request(number % options.flows);
        bench.pass(Duration::from_micros(20));
        number += 1;
    }
    let requests = bench.answered;
    vec![
        Figure::rate("requests on open flows", requests, bench.time, "a second"),
        Figure::rate(
            "packets on open flows",
            bench.packets,
            bench.time,
            "a second",
        ),
    ]
}

impl Bench {
    fn new() -> Self {
        let cluster = LargeCluster::new(SERVICE);
        let identity = agent_identity(AGENT);
        let life = identity.incarnation;
        let mut records: Vec<_> = cluster.records().collect();
        let backend = cluster.backends_of(SERVICE).start;
        let mut record = cluster.backend(SERVICE, backend);
        (record.slots, record.connections) = (0, 0);
        records.push(put(Record::Backend(record)));
        let mut placement = cluster.placement(SERVICE, 1);
        placement.generations[0].shares.truncate(1);
        records.push(put(Record::Placement(placement)));
        let mut settings = AgentSettings::default();
        settings.link.controls = vec![CONTROL];
        let version = 1;
        let stored = Some(StoredView { version, records });
        let now = Timestamp::from_millis(1);
        let mut bench = Bench {
            agent: AgentNode::new(now, settings, identity, 1, stored),
            now,
            callers: BTreeMap::new(),
            answered: 0,
            answer_bytes: 0,
            packets: 0,
            time: Duration::ZERO,
            life,
            backend,
        };
        bench.pass(Duration::from_secs(3));
        bench
    }

    /// Lets time pass and does what is due.
    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        if self.agent.poll_timeout().is_some_and(|due| due <= self.now) {
            let now = self.now;
            self.timed(|agent| agent.handle_timeout(now));
            self.drain();
        }
    }

    /// Opens a flow and makes one request on it.
    fn exchange(&mut self, number: u32) {
        let source = source(number);
        let mut caller = ScriptedCaller::new(source, address_of(SERVICE));
        let opening = caller.open();
        self.callers.insert(source, caller);
        self.deliver(opening);
        self.request(number);
    }

    fn request(&mut self, number: u32) {
        let caller = self.callers.get_mut(&source(number));
        let packet = caller.expect("the flow is open").send(REQUEST);
        self.deliver(packet);
        let packet = self.callers[&source(number)].acknowledge();
        self.deliver(packet);
    }

    /// Ends a flow from the caller's side.
    fn end(&mut self, number: u32) {
        let caller = self.callers.get_mut(&source(number));
        let packet = caller.expect("the flow is open").finish();
        self.deliver(packet);
        let packet = self.callers[&source(number)].acknowledge();
        self.deliver(packet);
    }

    fn deliver(&mut self, packet: Vec<u8>) {
        let datagram = DataDatagram {
            service: SERVICE,
            bucket: 0,
            generation: 1,
            backend: self.backend,
            incarnation: self.life.0,
            hops: 0,
            kind: ForwardKind::Placed as i32,
            sender: 1,
            packet,
        };
        let now = self.now;
        self.timed(|agent| agent.handle_datagram(now, datagram));
        self.packets += 1;
        self.drain();
    }

    fn drain(&mut self) {
        while let Some(output) = self.timed(AgentNode::poll_output) {
            match output {
                AgentOutput::Packet(packet) => {
                    self.packets += 1;
                    let source = PacketView::parse(&packet).map(|it| it.key.destination);
                    let caller = source.ok().and_then(|it| self.callers.get_mut(&it));
                    if let Some(caller) = caller {
                        self.answer_bytes += caller.handle_packet(&packet);
                    }
                }
                AgentOutput::Connect { flow, .. } => self.event(flow, BackendEvent::Connected),
                AgentOutput::Write { flow, .. } => {
                    self.event(flow, BackendEvent::Writable);
                    self.event(flow, BackendEvent::Data(ANSWER.to_vec()));
                }
                AgentOutput::Finish { flow } => self.event(flow, BackendEvent::Finished),
                AgentOutput::Send { envelope, .. } => {
                    let version = self.agent.link().view().version();
                    if let Some(answer) = control_stub::answer(&envelope, version) {
                        self.agent.handle_control(self.now, CONTROL, answer);
                    }
                }
                _ => {}
            }
        }
        self.answered += (self.answer_bytes / ANSWER.len()) as u64;
        self.answer_bytes %= ANSWER.len();
    }

    fn event(&mut self, flow: FlowId, event: BackendEvent) {
        let now = self.now;
        self.timed(|agent| agent.handle_backend(now, flow, event));
    }

    /// Adds the time of one call to the agent's time.
    fn timed<T>(&mut self, call: impl FnOnce(&mut AgentNode) -> T) -> T {
        let start = Instant::now();
        let result = call(&mut self.agent);
        self.time += start.elapsed();
        result
    }
}

fn source(number: u32) -> SocketAddrV4 {
    let port = 1_024 + u16::try_from(number % 60_000).unwrap_or(0);
    let host = Ipv4Addr::from_bits(0x0c00_0000 + number / 60_000);
    SocketAddrV4::new(host, port)
}
