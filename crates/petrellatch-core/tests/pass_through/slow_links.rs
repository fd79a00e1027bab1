//! Uploads and lookups through one balancer with a slow link.
//!
//! The link drops datagrams beyond its buffer. Callers have a window of sixteen packets, and
//! retransmit a lost one after 200 ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::pass_through::{PacketView, PassThroughOutput};
use petrellatch_proto::pass_through::{PassThroughBody, PassThroughMessage};
use prost::Message;

use super::codec::{empty, encode, encode_with_data};
use super::world::{BALANCER, FIRST_OWN_PORT, MILLI, ROUTE, World, caller, initial_sequence};

const AGENTS: u8 = 8;
const SLOTS: u32 = 4;
/// Size of a link's buffer, as the time to transmit it.
const BUFFER: Duration = Duration::from_millis(50);
/// Bytes of a datagram in addition to its data: Ethernet frame with preamble and interframe
/// gap, and headers of IP and UDP.
const HEADER_BYTES: usize = 38 + 28;
const MAGIC_BYTES: usize = 4;
const UPLOAD_DATA: u16 = 1_200;
/// Packets of a caller that may be unacknowledged.
const WINDOW: usize = 16;
/// Retransmission timeouts of a caller: the first one, and the limit up to which it doubles.
const MIN_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_600);
/// When a caller retransmits its SYN, after the first one.
const SYN_RETRANSMISSIONS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Number of concurrent uploads.
const UPLOADS: usize = 8;
const LOOKUP_INTERVAL: Duration = Duration::from_millis(25);
const LOOKUP_DATA: u16 = 200;
/// A back end's processing time of a lookup.
const PROCESSING_TIME: Duration = Duration::from_millis(30);
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// The link of the balancer.
struct Link {
    bytes_per_second: f64,
    free_at: Timestamp,
    in_flight: VecDeque<(Timestamp, PassThroughOutput)>,
    dropped: usize,
}

impl Link {
    fn send(&mut self, now: Timestamp, output: PassThroughOutput) {
        let starts_at = self.free_at.max(now);
        if starts_at.saturating_since(now) > BUFFER {
            self.dropped += 1;
            return;
        }
        let seconds = wire_bytes(&output) as f64 / self.bytes_per_second;
        self.free_at = starts_at + Duration::from_secs_f64(seconds);
        self.in_flight.push_back((self.free_at, output));
    }
}

fn wire_bytes(output: &PassThroughOutput) -> usize {
    HEADER_BYTES
        + match output {
            PassThroughOutput::Send { body, .. } => {
                let body = Some(body.clone());
                MAGIC_BYTES + PassThroughMessage { body }.encoded_len()
            }
            PassThroughOutput::ToCaller { packet, .. } => packet.len(),
            _ => 0,
        }
}

/// A caller with one upload or lookup.
struct Caller {
    is_lookup: bool,
    started_at: Timestamp,
    retransmissions: usize,
    agent: Option<SocketAddrV4>,
    arrived: Vec<bool>,
    /// Number of the first packet that has not arrived.
    base: usize,
    sent: usize,
    timeout: Duration,
    timer_at: Timestamp,
    is_recovering: bool,
}

/// A world whose balancer sends through a [`Link`], with callers that upload and look up.
struct LinkTest {
    world: World,
    link: Link,
    callers: BTreeMap<u16, Caller>,
    next_port: u16,
    next_lookup: Timestamp,
    packets_per_upload: usize,
    /// Number of packets of each back end that were already handled.
    handled: BTreeMap<SocketAddrV4, usize>,
    arrived_bytes: usize,
    other_wire_bytes: usize,
    upload_packet_wire_bytes: usize,
    lookup_times: Vec<Duration>,
    uploads_done: usize,
    /// Messages that end the balancer's subscription at a replica.
    unsubscribe_messages: usize,
}

impl LinkTest {
    fn new(megabits: f64, upload_bytes: usize) -> LinkTest {
        let bytes_per_second = megabits * 125_000.0;
        let mut world = World::new(AGENTS, SLOTS);
        world.restart_balancer_with_link(Some(bytes_per_second as u64));
        let now = world.now;
        let link = Link {
            bytes_per_second,
            free_at: now,
            in_flight: VecDeque::new(),
            dropped: 0,
        };
        LinkTest {
            world,
            link,
            callers: BTreeMap::new(),
            next_port: FIRST_OWN_PORT,
            next_lookup: now,
            packets_per_upload: upload_bytes.div_ceil(usize::from(UPLOAD_DATA)),
            handled: BTreeMap::new(),
            arrived_bytes: 0,
            other_wire_bytes: 0,
            upload_packet_wire_bytes: 0,
            lookup_times: Vec::new(),
            uploads_done: 0,
            unsubscribe_messages: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.world.now = self.world.now + MILLI;
        let now = self.world.now;
        self.add_callers();
        self.transfer_messages();
        self.note_accepted_flows();
        self.note_arrivals();
        let ports: Vec<u16> = self.callers.keys().copied().collect();
        ports
            .into_iter()
            .for_each(|port| self.continue_caller(port));
        if self.world.balancer.poll_timeout() <= now {
            self.world.balancer.handle_timeout(now);
        }
        self.transfer_messages();
    }

    fn add_callers(&mut self) {
        let now = self.world.now;
        if now >= self.next_lookup {
            self.next_lookup = now + LOOKUP_INTERVAL;
            self.add_caller(true, 1);
        }
        let uploads = self.callers.values().filter(|it| !it.is_lookup).count();
        for _ in uploads..UPLOADS {
            self.add_caller(false, self.packets_per_upload);
        }
    }

    fn add_caller(&mut self, is_lookup: bool, packets: usize) {
        let now = self.world.now;
        let caller = Caller {
            is_lookup,
            started_at: now,
            retransmissions: 0,
            agent: None,
            arrived: vec![false; packets],
            base: 0,
            sent: 0,
            timeout: MIN_TIMEOUT,
            timer_at: now,
            is_recovering: false,
        };
        let port = self.next_port;
        self.next_port = port.checked_add(1).unwrap_or(FIRST_OWN_PORT);
        self.callers.insert(port, caller);
        self.open(port, 0);
    }

    fn open(&mut self, port: u16, retransmission: u32) {
        let packet = PacketView {
            syn: true,
            ack_number: retransmission,
            ..empty(caller(port), ROUTE)
        };
        let now = self.world.now;
        self.world.balancer.handle_packet(now, &encode(&packet));
    }

    fn send_data(&mut self, port: u16, number: usize) {
        let caller_state = &self.callers[&port];
        let agent = caller_state.agent.expect("open");
        let packet = PacketView {
            ack: true,
            ack_number: initial_sequence(agent).wrapping_add(1),
            sequence_number: number as u32,
            data_bytes: if caller_state.is_lookup {
                LOOKUP_DATA
            } else {
                UPLOAD_DATA
            },
            ..empty(caller(port), ROUTE)
        };
        let now = self.world.now;
        let packet = encode_with_data(&packet);
        self.world.balancer.handle_packet(now, &packet);
    }

    /// Sends the packets of a caller that are due.
    fn continue_caller(&mut self, port: u16) {
        let now = self.world.now;
        let state = self.callers.get_mut(&port).expect("known");
        let Some(_) = state.agent else {
            if state.retransmissions < SYN_RETRANSMISSIONS.len()
                && now >= state.started_at + SYN_RETRANSMISSIONS[state.retransmissions]
            {
                state.retransmissions += 1;
                let retransmission = state.retransmissions as u32;
                self.open(port, retransmission);
            }
            return;
        };
        let end = (state.base + WINDOW).min(state.arrived.len());
        let mut numbers: Vec<usize> = (state.sent..end).collect();
        if state.sent == 0 {
            state.timer_at = now + state.timeout;
        } else if now >= state.timer_at {
            numbers.push(state.base);
            state.is_recovering = true;
            state.timeout = (state.timeout * 2).min(MAX_TIMEOUT);
            state.timer_at = now + state.timeout;
        }
        state.sent = end;
        numbers
            .into_iter()
            .for_each(|number| self.send_data(port, number));
    }

    /// Notes the agents of callers whose SYNs were accepted.
    fn note_accepted_flows(&mut self) {
        for view in std::mem::take(&mut self.world.callers) {
            let callers = self.callers.iter_mut();
            let state = callers.filter(|(port, _)| caller(**port) == view.destination);
            let Some((_, state)) = { state }.next() else {
                continue;
            };
            assert!(!view.rst, "no flow may be refused");
            if view.syn && state.agent.is_none() {
                let mut agents = self.world.agents.keys();
                state.agent = agents
                    .find(|it| initial_sequence(**it) == view.sequence_number)
                    .copied();
            }
        }
    }

    /// Acknowledges packets that reached back ends to their callers.
    fn note_arrivals(&mut self) {
        let agents: Vec<SocketAddrV4> = self.world.backends.keys().copied().collect();
        for agent in agents {
            let handled = self.handled.entry(agent).or_default();
            let received = &self.world.backends[&agent].received;
            let views: Vec<PacketView> = received[*handled..].to_vec();
            *handled = received.len();
            let data = views.into_iter().filter(|view| view.data_bytes > 0);
            data.for_each(|view| self.acknowledge(agent, &view));
        }
    }

    fn acknowledge(&mut self, agent: SocketAddrV4, view: &PacketView) {
        let now = self.world.now;
        let callers = self.callers.iter_mut();
        let found = callers.filter(|(port, _)| caller(**port) == view.source);
        let Some((port, state)) = { found }.next() else {
            return;
        };
        let port = *port;
        let number = view.sequence_number as usize;
        if state.arrived[number] {
            return;
        }
        state.arrived[number] = true;
        if !state.is_lookup {
            self.arrived_bytes += usize::from(view.data_bytes);
        }
        let first_missing = state.arrived.iter().position(|arrived| !arrived);
        let base = first_missing.unwrap_or(state.arrived.len());
        let advances = base > state.base;
        state.base = base;
        if advances {
            state.timeout = MIN_TIMEOUT;
            state.timer_at = now + state.timeout;
        }
        if base == state.arrived.len() {
            let time = now.saturating_since(state.started_at);
            match state.is_lookup {
                true => self.lookup_times.push(time + PROCESSING_TIME),
                false => self.uploads_done += 1,
            }
            self.callers.remove(&port);
            let response = PacketView {
                ack: true,
                fin: true,
                data_bytes: 10,
                ..empty(ROUTE, caller(port))
            };
            self.world.send_from_backend(agent, &response);
        } else if advances && state.is_recovering {
            state.is_recovering = false;
            let missing = (base..state.sent).filter(|number| !state.arrived[*number]);
            let missing: Vec<usize> = missing.collect();
            missing
                .into_iter()
                .for_each(|number| self.send_data(port, number));
        }
    }

    fn transfer_messages(&mut self) {
        let now = self.world.now;
        while let Some(output) = self.world.balancer.poll_output() {
            if matches!(output, PassThroughOutput::Event(_)) {
                self.world.handle_output(BALANCER, output);
            } else {
                self.count_bytes(&output);
                self.link.send(now, output);
            }
        }
        while self
            .link
            .in_flight
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            let (_, output) = self.link.in_flight.pop_front().expect("a datagram");
            self.world.handle_output(BALANCER, output);
        }
        let agents: Vec<SocketAddrV4> = self.world.agents.keys().copied().collect();
        for agent in agents {
            let state = self.world.agents.get_mut(&agent).expect("known");
            if state.poll_timeout() <= now {
                state.handle_timeout(now);
            }
            while let Some(output) = self
                .world
                .agents
                .get_mut(&agent)
                .and_then(|it| it.poll_output())
            {
                self.world.handle_output(agent, output);
            }
        }
    }

    /// Counts the bytes on the link of one upload packet, and of all other datagrams.
    fn count_bytes(&mut self, output: &PassThroughOutput) {
        let bytes = wire_bytes(output);
        match output {
            PassThroughOutput::Send {
                body: PassThroughBody::Subscribe(poll),
                ..
            } if poll.unsubscribe => self.unsubscribe_messages += 1,
            PassThroughOutput::Send {
                body: PassThroughBody::ForwardedPacket(forwarded),
                ..
            } if forwarded.packet.len() > usize::from(UPLOAD_DATA) => {
                self.upload_packet_wire_bytes = bytes;
            }
            _ => self.other_wire_bytes += bytes,
        }
    }

    /// Upload data that arrived, each packet counted once, as a fraction of what the link can
    /// carry at most.
    fn goodput(&self, time: Duration) -> f64 {
        let carried =
            self.link.bytes_per_second * time.as_secs_f64() - self.other_wire_bytes as f64;
        let max_data = carried * f64::from(UPLOAD_DATA) / self.upload_packet_wire_bytes as f64;
        self.arrived_bytes as f64 / max_data
    }

    fn lookup_p99(&mut self) -> Duration {
        self.lookup_times.sort_unstable();
        self.lookup_times[self.lookup_times.len() * 99 / 100]
    }
}

#[test]
fn uploads_fill_a_slow_link_and_do_not_delay_lookups() {
    let mut wide = LinkTest::new(100.0, 20_000);
    wide.run(MEASURED_TIME);
    let wide_p99 = wide.lookup_p99();
    for megabits in [1.0, 2.0, 4.0, 8.0] {
        for kilobytes in [5, 20, 120] {
            let mut test = LinkTest::new(megabits, kilobytes * 1_000);
            test.run(MEASURED_TIME);
            let goodput = test.goodput(MEASURED_TIME);
            let p99 = test.lookup_p99();
            let dropped = test.link.dropped;
            let done = test.uploads_done;
            println!(
                "{megabits} Mbit/s, {kilobytes} KB: goodput {goodput:.3}, {done} uploads, \
                 lookups' p99 {p99:?} (wide {wide_p99:?}), {dropped} dropped"
            );
            assert!(goodput >= 0.9, "{goodput} at {megabits} Mbit/s");
            assert!(p99 <= 2 * wide_p99, "{p99:?} at {megabits} Mbit/s");
        }
    }
}

#[test]
fn a_stopping_balancer_sends_its_queued_datagrams() {
    let mut test = LinkTest::new(1.0, 20_000);
    test.run(500 * MILLI);
    let now = test.world.now;
    test.world.balancer.begin_stop(now);
    while !test.world.balancer.is_stopped() {
        assert_eq!(test.unsubscribe_messages, 0);
        test.step();
    }
    assert!(
        test.unsubscribe_messages > 0,
        "no replica was notified of the stop"
    );
}
