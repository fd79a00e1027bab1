//! Packets a second of a balancer on one core, beside a bare loop that
//! receives and sends over the same sockets in the same run.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use petrellatch_core::balancer_node::{BalancerNode, BalancerOutput, BalancerSettings};
use petrellatch_core::dissemination::StoredView;
use petrellatch_core::identity::Incarnation;
use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{NodeRole, Record};
use petrellatch_proto::seal::{ClusterKey, KEY_BYTES};

use super::BenchOptions;
use super::control_stub;
use super::figure::Figure;
use super::large_cluster::{CONTROL, LargeCluster, address_of, identity, member, put};
use super::scripted_caller::ScriptedCaller;

/// Services behind the balancer.
const SERVICES: u32 = 100;

/// Bytes that the packets of a run carry.
const PAYLOADS: [usize; 2] = [0, 1_340];

/// How often the two loops take turns.
const ROUNDS: u64 = 3;

/// Threads that send packets, so that the measured loop never waits.
const SENDERS: usize = 2;

/// Packets prepared by each sender.
const PREPARED: usize = 4_096;

/// How many packets are forwarded between two looks at the clock.
const BATCH: u64 = 256;

/// What one loop did.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    packets: u64,
    /// Processor time of the thread.
    busy: Duration,
}

/// Measures both loops with small and large packets, and the memory.
pub fn measure(options: &BenchOptions) -> io::Result<Vec<Figure>> {
    let sink = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let mut node = balancer(port_of(&sink)?);
    let mut figures = Vec::new();
    for payload in PAYLOADS {
        figures.extend(measure_payload(options, &sink, &mut node, payload)?);
    }
    figures.extend(measure_memory(options, &mut node));
    Ok(figures)
}

fn measure_payload(
    options: &BenchOptions,
    sink: &UdpSocket,
    node: &mut BalancerNode,
    payload: usize,
) -> io::Result<Vec<Figure>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_read_timeout(Some(Duration::from_millis(100)))?;
    let to = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port_of(&socket)?);
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| start_sender(sender, to, payload, options.flows, Arc::clone(&stop)))
        .collect();
    let target = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port_of(sink)?);
    let slice = Duration::from_secs(options.seconds);
    let (mut bare, mut balanced) = (Work::default(), Work::default());
    for _ in 0..ROUNDS {
        bare = bare.and(run_bare(&socket, target, slice)?);
        balanced = balanced.and(run_balancer(&socket, node, slice)?);
    }
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    let label = |what: &str| format!("{what}, {} byte packets", payload + 40);
    let share = 100.0 * balanced.rate() / bare.rate();
    Ok(vec![
        Figure::new(label("bare loop"), bare.rate(), "packets a second"),
        Figure::new(label("balancer"), balanced.rate(), "packets a second"),
        Figure::new(label("balancer against bare loop"), share, "%"),
    ])
}

/// Sends packets of many callers through the balancer and looks at its memory.
fn measure_memory(options: &BenchOptions, node: &mut BalancerNode) -> Vec<Figure> {
    let before = Figure::memory("memory before any of these flows");
    let now = Timestamp::from_millis(10_000);
    for number in 0..options.flows {
        let packet = opening(number, 0);
        node.handle_packet(now, &packet);
    }
    let flows = f64::from(options.flows);
    vec![
        before,
        Figure::new("flows through the balancer", flows, ""),
        Figure::memory("memory after them"),
    ]
}

impl Work {
    fn and(self, more: Work) -> Work {
        Work {
            packets: self.packets + more.packets,
            busy: self.busy + more.busy,
        }
    }

    /// Packets for each second of processor time.
    fn rate(self) -> f64 {
        self.packets as f64 / self.busy.as_secs_f64()
    }
}

fn run_bare(socket: &UdpSocket, target: SocketAddrV4, slice: Duration) -> io::Result<Work> {
    let mut buffer = [0; 2_048];
    run_loop(slice, || {
        let (count, _) = socket.recv_from(&mut buffer)?;
        socket.send_to(&buffer[..count], target)?;
        Ok(())
    })
}

fn run_balancer(socket: &UdpSocket, node: &mut BalancerNode, slice: Duration) -> io::Result<Work> {
    let key = ClusterKey::new([7; KEY_BYTES]);
    let mut buffer = [0; 2_048];
    let mut sealed = Vec::new();
    let now = Timestamp::from_millis(5_000);
    run_loop(slice, || {
        let (count, _) = socket.recv_from(&mut buffer)?;
        if let Some((to, datagram)) = node.handle_packet(now, &buffer[..count]) {
            key.seal(&datagram, &mut sealed);
            socket.send_to(&sealed, to)?;
        }
        Ok(())
    })
}

fn run_loop(slice: Duration, mut turn: impl FnMut() -> io::Result<()>) -> io::Result<Work> {
    let end = Instant::now() + slice;
    let started = thread_time()?;
    let mut packets = 0;
    while Instant::now() < end {
        for _ in 0..BATCH {
            turn()?;
        }
        packets += BATCH;
    }
    let busy = thread_time()?.saturating_sub(started);
    Ok(Work { packets, busy })
}

/// Returns the processor time of this thread.
fn thread_time() -> io::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = text.split_whitespace().next();
    let nanoseconds = nanoseconds.and_then(|it| it.parse().ok());
    let nanoseconds = nanoseconds.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Duration::from_nanos(nanoseconds))
}

fn start_sender(
    sender: usize,
    to: SocketAddrV4,
    payload: usize,
    flows: u32,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<io::Result<()>> {
    thread::spawn(move || {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let numbers = (0..PREPARED).map(|it| u32::try_from(it * SENDERS + sender).unwrap_or(0));
        let packets: Vec<Vec<u8>> = numbers.map(|it| opening(it % flows, payload)).collect();
        while !stop.load(Ordering::Relaxed) {
            for packet in &packets {
                socket.send_to(packet, to)?;
            }
        }
        Ok(())
    })
}

/// Returns a packet of a caller with a payload.
fn opening(number: u32, payload: usize) -> Vec<u8> {
    let port = 1_024 + u16::try_from(number % 60_000).unwrap_or(0);
    let host = Ipv4Addr::from_bits(0x0c00_0000 + number / 60_000);
    let source = SocketAddrV4::new(host, port);
    let service = address_of(1 + number % SERVICES);
    ScriptedCaller::new(source, service).send(&vec![0; payload])
}

/// Makes a balancer whose agents all receive packets at one local port.
fn balancer(sink_port: u16) -> BalancerNode {
    let cluster = LargeCluster::new(SERVICES);
    let mut records: Vec<_> = cluster.records().collect();
    let sink = SocketAddrV4::new(Ipv4Addr::LOCALHOST, sink_port);
    for agent in 0..=cluster.backends() / super::large_cluster::BACKENDS_PER_AGENT {
        let mut record = member(agent, Incarnation(1));
        record.data = Endpoint::from(sink);
        records.push(put(Record::Member(record)));
    }
    let mut settings = BalancerSettings::default();
    settings.link.controls = vec![CONTROL];
    let identity = identity("balancer-1", NodeRole::Balancer);
    let version = 1;
    let stored = Some(StoredView { version, records });
    let mut now = Timestamp::from_millis(1);
    let mut node = BalancerNode::new(now, settings, identity, 1, stored);
    while !node.is_ready() {
        now = now + Duration::from_millis(100);
        node.handle_timeout(now);
        while let Some(output) = node.poll_output() {
            if let BalancerOutput::Send { envelope, .. } = output
                && let Some(answer) = control_stub::answer(&envelope, version)
            {
                node.handle_control(now, CONTROL, answer);
            }
        }
    }
    node
}

fn port_of(socket: &UdpSocket) -> io::Result<u16> {
    Ok(socket.local_addr()?.port())
}
