//! The back end beside an agent, with its connections.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use petrellatch_core::agent_node::{BackendEvent, FlowId};

use crate::simulator::engine::VirtualTime;
use crate::simulator::workload::backend::{BackendOutput, ConnectionId, SimulatedBackend};

/// The most bytes that one read returns.
const READ_BYTES: usize = 8 * 1_024;

/// Bits of a connection's number that hold the flow's number.
const FLOW_BITS: u32 = 40;

/// A back end with the streams between it and its agent.
#[derive(Debug)]
pub struct Server {
    /// The server process.
    pub backend: SimulatedBackend,
    /// When it wants to be called.
    pub wake_at: Option<VirtualTime>,
    paused: BTreeSet<ConnectionId>,
    unread: BTreeMap<ConnectionId, VecDeque<BackendEvent>>,
}

/// Names the connection of a flow.
pub fn connection_id(life: u64, flow: FlowId) -> ConnectionId {
    ConnectionId(life << FLOW_BITS | flow.0)
}

/// Returns the life of the agent and the flow of a connection.
pub fn flow_of(connection: ConnectionId) -> (u64, FlowId) {
    let flow = connection.0 & ((1 << FLOW_BITS) - 1);
    (connection.0 >> FLOW_BITS, FlowId(flow))
}

impl Server {
    /// Puts a back end beside an agent.
    pub fn new(backend: SimulatedBackend) -> Self {
        Server {
            backend,
            wake_at: None,
            paused: BTreeSet::new(),
            unread: BTreeMap::new(),
        }
    }

    /// The agent's process is gone, with its connections.
    pub fn forget_connections(&mut self) {
        self.paused.clear();
        self.unread.clear();
    }

    /// The agent does not read from a connection for now.
    pub fn pause(&mut self, connection: ConnectionId) {
        self.paused.insert(connection);
    }

    /// The agent reads from a connection again; returns whether something
    /// waits for it.
    pub fn resume(&mut self, connection: ConnectionId) -> bool {
        self.paused.remove(&connection);
        self.unread.contains_key(&connection)
    }

    /// Returns what the agent reads next of what waits for it, and whether
    /// there is more.
    pub fn read_waiting(&mut self, connection: ConnectionId) -> Option<(BackendEvent, bool)> {
        if self.paused.contains(&connection) {
            return None;
        }
        let unread = self.unread.get_mut(&connection)?;
        let event = unread.pop_front()?;
        let has_more = !unread.is_empty();
        if !has_more {
            self.unread.remove(&connection);
        }
        Some((event, has_more))
    }

    /// The agent gave a connection up.
    pub fn forget(&mut self, connection: ConnectionId) {
        self.paused.remove(&connection);
        self.unread.remove(&connection);
    }

    /// Returns an event that the agent reads now, or keeps it for later. A
    /// reset discards what was not read.
    pub fn read(&mut self, connection: ConnectionId, event: BackendEvent) -> Option<BackendEvent> {
        if event == BackendEvent::Reset {
            self.forget(connection);
            return Some(event);
        }
        let is_stream = matches!(event, BackendEvent::Data(_) | BackendEvent::Finished);
        let waits = self.paused.contains(&connection) || self.unread.contains_key(&connection);
        if is_stream && waits {
            self.unread.entry(connection).or_default().push_back(event);
            return None;
        }
        Some(event)
    }

    /// Returns what happens at the agent next.
    pub fn poll_events(&mut self) -> Option<(ConnectionId, Vec<BackendEvent>)> {
        Some(match self.backend.poll_output()? {
            BackendOutput::Accepted(id) => (id, vec![BackendEvent::Connected]),
            BackendOutput::Refused(id) => (id, vec![BackendEvent::ConnectFailed]),
            BackendOutput::Data(id, bytes) => {
                let reads = bytes.chunks(READ_BYTES);
                let events = reads.map(|read| BackendEvent::Data(read.to_vec()));
                (id, events.collect())
            }
            BackendOutput::Finished(id) => (id, vec![BackendEvent::Finished]),
            BackendOutput::Reset(id) => (id, vec![BackendEvent::Reset]),
        })
    }
}
