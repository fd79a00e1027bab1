//! The edge: ordinary TCP listeners whose connections become flows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use petrellatch_core::Timestamp;

use super::admin::SharedStatus;
use super::edge_flow::EdgeFlow;
use super::options::EdgeMapping;
use super::outcomes::FlowOutcome;
use super::source_addresses::SourceAddresses;
use crate::caller::CallerEndpoint;

/// First token of the listeners; tokens of connections follow.
const FIRST_TOKEN: usize = 1;
/// How long the endpoint of a closed flow goes on answering retransmissions.
const LINGER: Duration = Duration::from_secs(1);

/// A bound listener.
#[derive(Debug)]
struct EdgeListener {
    listener: TcpListener,
    mapping: EdgeMapping,
}

/// A connection and the time for which it is entered in the timer queue.
struct FlowEntry {
    flow: EdgeFlow,
    token: Token,
    timer: Option<Timestamp>,
}

/// An entry of the timer queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Timestamp,
    source: SocketAddrV4,
}

/// All edge listeners and connections.
pub struct Edge {
    listeners: Vec<EdgeListener>,
    flows: BTreeMap<SocketAddrV4, FlowEntry>,
    tokens: BTreeMap<Token, SocketAddrV4>,
    timers: BTreeSet<Timer>,
    lingering: BTreeMap<SocketAddrV4, CallerEndpoint>,
    linger_ends: VecDeque<Timer>,
    sources: SourceAddresses,
    seed: u64,
    next_token: usize,
    status: SharedStatus,
}

impl Edge {
    /// Binds the listeners.
    ///
    /// # Errors
    /// Fails when an address cannot be bound or registered.
    pub fn bind(
        mappings: &[EdgeMapping],
        registry: &Registry,
        seed: u64,
        status: SharedStatus,
    ) -> io::Result<Edge> {
        let mut edge = Edge {
            listeners: Vec::new(),
            flows: BTreeMap::new(),
            tokens: BTreeMap::new(),
            timers: BTreeSet::new(),
            lingering: BTreeMap::new(),
            linger_ends: VecDeque::new(),
            sources: SourceAddresses::new(seed),
            seed,
            next_token: FIRST_TOKEN,
            status,
        };
        for mapping in mappings {
            edge.add_listener(*mapping, registry)?;
        }
        Ok(edge)
    }

    fn add_listener(&mut self, mapping: EdgeMapping, registry: &Registry) -> io::Result<()> {
        let mut listener = TcpListener::bind(mapping.listen)?;
        let listen = listener.local_addr()?;
        let token = self.allocate_token();
        registry.register(&mut listener, token, Interest::READABLE)?;
        let mapping = EdgeMapping { listen, ..mapping };
        self.listeners.push(EdgeListener { listener, mapping });
        Ok(())
    }

    /// Returns the listeners with their bound addresses.
    pub fn mappings(&self) -> Vec<EdgeMapping> {
        self.listeners
            .iter()
            .map(|listener| listener.mapping)
            .collect()
    }

    /// Returns how many connections are open.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes note of an event of a listener or a connection. Packets to send
    /// are appended to `packets`.
    ///
    /// # Errors
    /// Fails when a connection cannot be registered.
    pub fn handle_event(
        &mut self,
        now: Timestamp,
        event: &Event,
        registry: &Registry,
        packets: &mut Vec<Vec<u8>>,
    ) -> io::Result<()> {
        let token = event.token();
        if token.0 < FIRST_TOKEN + self.listeners.len() {
            return self.accept_all(now, token.0 - FIRST_TOKEN, registry, packets);
        }
        let Some(source) = self.tokens.get(&token).copied() else {
            return Ok(());
        };
        if let Some(entry) = self.flows.get_mut(&source) {
            entry.flow.handle_event(event);
        }
        self.advance(now, source, packets);
        Ok(())
    }

    /// Takes in a packet for the caller at `destination` and returns whether
    /// that is one of this edge's flows.
    pub fn handle_packet(
        &mut self,
        now: Timestamp,
        destination: SocketAddrV4,
        packet: &[u8],
        packets: &mut Vec<Vec<u8>>,
    ) -> bool {
        if let Some(entry) = self.flows.get_mut(&destination) {
            entry.flow.handle_packet(now, packet);
            self.advance(now, destination, packets);
            return true;
        }
        let Some(endpoint) = self.lingering.get_mut(&destination) else {
            return false;
        };
        endpoint.handle_packet(now, packet);
        packets.extend(std::iter::from_fn(|| endpoint.poll_packet(now)));
        true
    }

    /// Does what is due by now.
    pub fn handle_timeouts(&mut self, now: Timestamp, packets: &mut Vec<Vec<u8>>) {
        while let Some(timer) = self.timers.first().copied()
            && timer.due <= now
        {
            self.timers.remove(&timer);
            if let Some(entry) = self.flows.get_mut(&timer.source) {
                entry.timer = None;
            }
            self.advance(now, timer.source, packets);
        }
        while let Some(end) = self.linger_ends.front()
            && end.due <= now
        {
            self.lingering.remove(&end.source);
            self.linger_ends.pop_front();
        }
    }

    /// Returns when [`handle_timeouts`](Self::handle_timeouts) is to be called
    /// next.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.timers.first().map(|timer| timer.due)
    }

    fn accept_all(
        &mut self,
        now: Timestamp,
        index: usize,
        registry: &Registry,
        packets: &mut Vec<Vec<u8>>,
    ) -> io::Result<()> {
        loop {
            let EdgeListener { listener, mapping } = &self.listeners[index];
            let service = mapping.service;
            match listener.accept() {
                Ok((stream, client)) => {
                    self.open_flow(now, stream, client, service, registry, packets)?;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The client gave up before it was accepted; or descriptors
                // have run out, and the next event tries again.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => return Ok(()),
            }
        }
    }

    fn open_flow(
        &mut self,
        now: Timestamp,
        mut stream: TcpStream,
        client: SocketAddr,
        service: SocketAddrV4,
        registry: &Registry,
        packets: &mut Vec<Vec<u8>>,
    ) -> io::Result<()> {
        // Without it the kernel would delay small answers; nothing else
        // depends on it.
        let _ = stream.set_nodelay(true);
        let token = self.allocate_token();
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let source = self.sources.allocate();
        self.seed = self.seed.wrapping_add(1);
        let endpoint = CallerEndpoint::new(now, self.seed, source, service);
        let entry = FlowEntry {
            flow: EdgeFlow::new(client, stream, endpoint),
            token,
            timer: None,
        };
        self.tokens.insert(token, source);
        self.flows.insert(source, entry);
        self.status.lock().counters.edge_accepted += 1;
        self.advance(now, source, packets);
        Ok(())
    }

    /// Moves a flow's bytes and packets, then sets its timer or ends it.
    fn advance(&mut self, now: Timestamp, source: SocketAddrV4, packets: &mut Vec<Vec<u8>>) {
        let Some(entry) = self.flows.get_mut(&source) else {
            return;
        };
        entry.flow.transfer(now, packets);
        if entry.flow.is_done() {
            self.end_flow(now, source);
            return;
        }
        let due = entry.flow.poll_timeout(now);
        if due == entry.timer {
            return;
        }
        if let Some(due) = entry.timer {
            self.timers.remove(&Timer { due, source });
        }
        entry.timer = due;
        if let Some(due) = due {
            self.timers.insert(Timer { due, source });
        }
    }

    fn end_flow(&mut self, now: Timestamp, source: SocketAddrV4) {
        let Some(entry) = self.flows.remove(&source) else {
            return;
        };
        self.tokens.remove(&entry.token);
        if let Some(due) = entry.timer {
            self.timers.remove(&Timer { due, source });
        }
        // The outcome is recorded first, so that a client that sees its
        // connection end finds it.
        if let Some(outcome) = FlowOutcome::from_state(entry.flow.state()) {
            self.record(entry.flow.client(), outcome);
        }
        let endpoint = entry.flow.finish_client();
        self.lingering.insert(source, endpoint);
        let due = now + LINGER;
        self.linger_ends.push_back(Timer { due, source });
    }

    fn record(&self, client: SocketAddr, outcome: FlowOutcome) {
        let mut status = self.status.lock();
        let counters = &mut status.counters;
        // Both change at once, so that a reader never counts a flow twice.
        counters.edge_open = self.flows.len() as u64;
        match outcome {
            FlowOutcome::Finished => counters.edge_finished += 1,
            FlowOutcome::Refused => counters.edge_refused += 1,
            FlowOutcome::Reset => counters.edge_reset += 1,
            FlowOutcome::TimedOut => counters.edge_timed_out += 1,
            FlowOutcome::Aborted => counters.edge_aborted += 1,
        }
        status.outcomes.record(client, outcome);
    }

    fn allocate_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }
}
