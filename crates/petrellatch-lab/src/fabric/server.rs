//! The packet loop of the fabric stand-in.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::thread::JoinHandle;
use std::time::Duration;

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use petrellatch_core::Timestamp;
use serde::Serialize;
use slog::{Logger, info};
use socket2::SockRef;

use super::admin::{AdminServer, SharedStatus};
use super::balancers::{BalancerList, Spray};
use super::counters::FabricCounters;
use super::edge::Edge;
use super::impairment::{Direction, ImpairedPacket, Impairment};
use super::options::FabricOptions;
use super::packet::{PacketAddresses, reset_for};
use super::routes::CallerRoutes;
use crate::support::process::{ProcessClock, StopFlag, print_json_line};

const PACKET_SOCKET: Token = Token(0);
/// Longest wait, so that the stop flag and the balancers file are looked at.
const TICK: Duration = Duration::from_millis(50);
/// Datagrams received before their packets are delivered.
const RECEIVE_BATCH: usize = 128;
/// Wanted size in bytes of the packet socket's kernel buffers.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
const MAXIMUM_DATAGRAM_BYTES: usize = 65_535;

/// The fabric, ready to run its packet loop.
struct Fabric {
    poll: Poll,
    socket: UdpSocket,
    clock: ProcessClock,
    services: BTreeSet<SocketAddrV4>,
    balancers: BalancerList,
    impairment: Impairment,
    edge: Edge,
    routes: CallerRoutes,
    counters: FabricCounters,
    status: SharedStatus,
    socket_is_readable: bool,
    log: Logger,
}

impl Fabric {
    fn bind(options: &FabricOptions, status: SharedStatus, log: Logger) -> io::Result<Fabric> {
        let settings = options.impairment();
        settings.validate().map_err(io::Error::other)?;
        let poll = Poll::new()?;
        let mut socket = bind_packet_socket(options.listen)?;
        poll.registry()
            .register(&mut socket, PACKET_SOCKET, Interest::READABLE)?;
        let edge = Edge::bind(&options.edge, poll.registry(), options.seed, status.clone())?;
        let edge_services = options.edge.iter().map(|mapping| mapping.service);
        let services = edge_services.chain(options.service.iter().copied());
        let balancers = BalancerList::new(
            options.balancer.clone(),
            options.balancers_file.clone(),
            options.seed,
        )?;
        Ok(Fabric {
            poll,
            socket,
            clock: ProcessClock::start(),
            services: services.collect(),
            balancers,
            impairment: Impairment::new(settings, options.seed),
            edge,
            routes: CallerRoutes::default(),
            counters: FabricCounters::default(),
            status,
            socket_is_readable: false,
            log,
        })
    }

    fn run(&mut self, stop: &StopFlag) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !stop.is_set() {
            let timeout = self.poll_duration();
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
                _ => {}
            }
            let now = self.clock.now();
            self.refresh_balancers(now)?;
            self.handle_events(now, &events)?;
            self.receive_packets(now)?;
            self.handle_timeouts(now);
            self.deliver_packets(now);
            self.publish_counters();
        }
        info!(self.log, "stopped"; "counters" => serde_json::to_string(&self.counters)?);
        Ok(())
    }

    fn poll_duration(&self) -> Duration {
        if self.socket_is_readable {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        [self.edge.poll_timeout(), self.impairment.poll_timeout()]
            .into_iter()
            .flatten()
            .map(|due| due.saturating_since(now))
            .fold(TICK, Duration::min)
    }

    fn refresh_balancers(&mut self, now: Timestamp) -> io::Result<()> {
        if self.balancers.refresh(now)? {
            let addresses = format!("{:?}", self.balancers.addresses());
            info!(self.log, "the list of balancers changed"; "balancers" => addresses);
        }
        Ok(())
    }

    fn handle_events(&mut self, now: Timestamp, events: &Events) -> io::Result<()> {
        let mut packets = Vec::new();
        for event in events {
            if event.token() == PACKET_SOCKET {
                self.socket_is_readable = true;
                continue;
            }
            let registry = self.poll.registry();
            self.edge.handle_event(now, event, registry, &mut packets)?;
        }
        self.send_to_balancers(now, packets);
        Ok(())
    }

    /// Receives a bounded number of datagrams, so that the edge gets its turn
    /// under a flood.
    fn receive_packets(&mut self, now: Timestamp) -> io::Result<()> {
        let mut buffer = [0; MAXIMUM_DATAGRAM_BYTES];
        for _ in 0..RECEIVE_BATCH {
            if !self.socket_is_readable {
                return Ok(());
            }
            match self.socket.recv_from(&mut buffer) {
                Ok((length, sender)) => self.handle_datagram(now, sender, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.socket_is_readable = false;
                }
                // A caller that is gone refused an earlier packet.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn handle_datagram(&mut self, now: Timestamp, sender: SocketAddr, packet: &[u8]) {
        let Some(addresses) = PacketAddresses::parse(packet) else {
            self.counters.dropped_malformed += 1;
            return;
        };
        let direction = if self.services.contains(&addresses.destination) {
            self.routes.learn(now, addresses.source, sender);
            Direction::ToBalancer
        } else {
            Direction::ToCaller
        };
        let packet = packet.to_vec();
        self.impairment
            .handle_packet(now, ImpairedPacket { direction, packet });
    }

    fn handle_timeouts(&mut self, now: Timestamp) {
        let mut packets = Vec::new();
        self.edge.handle_timeouts(now, &mut packets);
        self.send_to_balancers(now, packets);
    }

    fn send_to_balancers(&mut self, now: Timestamp, packets: Vec<Vec<u8>>) {
        for packet in packets {
            let direction = Direction::ToBalancer;
            self.impairment
                .handle_packet(now, ImpairedPacket { direction, packet });
        }
    }

    fn deliver_packets(&mut self, now: Timestamp) {
        while let Some(ImpairedPacket { direction, packet }) = self.impairment.poll_packet(now) {
            match direction {
                Direction::ToBalancer => self.spray(now, &packet),
                Direction::ToCaller => self.return_to_caller(now, &packet),
            }
        }
    }

    fn spray(&mut self, now: Timestamp, packet: &[u8]) {
        match self.balancers.spray(now, packet) {
            Spray::Sent => self.counters.packets_to_balancers += 1,
            Spray::NoBalancer => self.counters.dropped_no_balancer += 1,
            Spray::Congested => self.counters.dropped_congested += 1,
        }
    }

    fn return_to_caller(&mut self, now: Timestamp, packet: &[u8]) {
        let Some(addresses) = PacketAddresses::parse(packet) else {
            return;
        };
        let caller = addresses.destination;
        let mut packets = Vec::new();
        if self.edge.handle_packet(now, caller, packet, &mut packets) {
            self.counters.packets_to_callers += 1;
            self.send_to_balancers(now, packets);
        } else if let Some(via) = self.routes.find(caller) {
            self.send_to_caller(via, packet);
        } else {
            self.counters.dropped_unknown_caller += 1;
            self.send_to_balancers(now, reset_for(packet).into_iter().collect());
        }
    }

    fn send_to_caller(&mut self, via: SocketAddr, packet: &[u8]) {
        match self.socket.send_to(packet, via) {
            Ok(_) => self.counters.packets_to_callers += 1,
            Err(_) => self.counters.dropped_congested += 1,
        }
    }

    fn publish_counters(&mut self) {
        self.counters.packets_lost = self.impairment.lost();
        let mut status = self.status.lock();
        let edge = status.counters;
        status.counters = FabricCounters {
            edge_accepted: edge.edge_accepted,
            edge_finished: edge.edge_finished,
            edge_refused: edge.edge_refused,
            edge_reset: edge.edge_reset,
            edge_timed_out: edge.edge_timed_out,
            edge_aborted: edge.edge_aborted,
            edge_open: self.edge.open_flows() as u64,
            ..self.counters
        };
        self.counters = status.counters;
    }
}

fn bind_packet_socket(listen: Option<SocketAddr>) -> io::Result<UdpSocket> {
    let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let socket = UdpSocket::bind(listen)?;
    // The kernel grants what it allows; a smaller buffer only drops earlier.
    let _ = SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}

/// A running fabric.
#[derive(Debug)]
pub struct FabricServer {
    address: SocketAddr,
    edges: BTreeMap<SocketAddrV4, SocketAddr>,
    admin: Option<AdminServer>,
    status: SharedStatus,
    stop: StopFlag,
    thread: JoinHandle<io::Result<()>>,
}

impl FabricServer {
    /// Starts a fabric on its own thread.
    ///
    /// # Errors
    /// Fails when an address cannot be bound or a share is impossible.
    pub fn start(options: &FabricOptions, stop: StopFlag, log: Logger) -> io::Result<Self> {
        let status = SharedStatus::default();
        let mut fabric = Fabric::bind(options, status.clone(), log)?;
        let address = fabric.socket.local_addr()?;
        let mappings = fabric.edge.mappings().into_iter();
        let edges = mappings.map(|mapping| (mapping.service, mapping.listen));
        let edges = edges.collect();
        let admin = options
            .admin
            .map(|listen| AdminServer::start(listen, status.clone(), stop.clone()))
            .transpose()?;
        let loop_stop = stop.clone();
        let thread = std::thread::spawn(move || {
            let outcome = fabric.run(&loop_stop);
            // When the loop fails, the admin endpoint must end too.
            loop_stop.set();
            outcome
        });
        Ok(FabricServer {
            address,
            edges,
            admin,
            status,
            stop,
            thread,
        })
    }

    /// Returns the UDP address for packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where TCP clients reach each service.
    pub fn edges(&self) -> &BTreeMap<SocketAddrV4, SocketAddr> {
        &self.edges
    }

    /// Returns the address of the admin endpoint, if there is one.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Returns the counters.
    pub fn counters(&self) -> FabricCounters {
        self.status.lock().counters
    }

    /// Asks it to stop and waits for that.
    ///
    /// # Errors
    /// Fails when the packet loop failed.
    pub fn stop(self) -> io::Result<()> {
        self.stop.set();
        self.join()
    }

    /// Waits until it has stopped.
    ///
    /// # Errors
    /// Fails when the packet loop failed.
    pub fn join(self) -> io::Result<()> {
        let outcome = self
            .thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the packet loop panicked")));
        if let Some(admin) = self.admin {
            admin.join();
        }
        outcome
    }
}

#[derive(Serialize)]
struct ReadyLine<'server> {
    ready: &'static str,
    listen: SocketAddr,
    edges: &'server BTreeMap<SocketAddrV4, SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admin: Option<SocketAddr>,
}

/// Runs the subcommand until it is asked to stop.
///
/// # Errors
/// Fails when an address cannot be bound or the packet loop fails.
pub fn run(options: &FabricOptions, log: Logger) -> io::Result<()> {
    let server = FabricServer::start(options, StopFlag::on_signals()?, log)?;
    print_json_line(&ReadyLine {
        ready: "fabric",
        listen: server.address(),
        edges: server.edges(),
        admin: server.admin_address(),
    })?;
    server.join()
}
