//! The TCP connections of all flows to their back ends.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

use mio::event::Event;
use mio::{Poll, Registry, Token};
use petrellatch_core::agent_node::{BackendEvent, FlowId};

use super::backend_connection::{BackendConnection, Progress, READ_BUDGET_BYTES};
use crate::error::ProgramError;

/// All connections, by the flow that they are for.
#[derive(Debug)]
pub(super) struct BackendConnections {
    registry: Registry,
    first_token: usize,
    connections: HashMap<FlowId, BackendConnection>,
    /// Connections on which something may be moved.
    ready: BTreeSet<FlowId>,
    buffer: Vec<u8>,
}

impl BackendConnections {
    /// Makes an empty set, whose tokens begin at `first_token`.
    pub(super) fn new(poll: &Poll, first_token: usize) -> Result<Self, ProgramError> {
        let registry = poll.registry().try_clone();
        Ok(BackendConnections {
            registry: registry.map_err(|source| ProgramError::System {
                action: "watch back ends",
                source,
            })?,
            first_token,
            connections: HashMap::new(),
            ready: BTreeSet::new(),
            buffer: vec![0; READ_BUDGET_BYTES],
        })
    }

    /// Notes an event of the selector, if it is about a back end.
    pub(super) fn note_ready(&mut self, event: &Event) {
        if let Some(number) = event.token().0.checked_sub(self.first_token) {
            self.ready.insert(FlowId(number as u64));
        }
    }

    /// Whether something may be moved without waiting for an event.
    pub(super) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Serves each connection on which something may be moved once.
    pub(super) fn serve(&mut self, mut tell: impl FnMut(FlowId, BackendEvent)) {
        for flow in std::mem::take(&mut self.ready) {
            let Some(connection) = self.connections.get_mut(&flow) else {
                continue;
            };
            let progress = connection.serve(&mut self.buffer, &mut |event| tell(flow, event));
            if progress == Progress::More {
                self.ready.insert(flow);
            }
            self.forget_if_gone(flow);
        }
    }

    /// Begins to open the connection of a flow.
    pub(super) fn connect(
        &mut self,
        flow: FlowId,
        server: SocketAddrV4,
        mut tell: impl FnMut(FlowId, BackendEvent),
    ) {
        let token = Token(self.first_token + flow.0 as usize);
        match BackendConnection::open(&self.registry, token, server) {
            Ok(connection) => {
                self.connections.insert(flow, connection);
            }
            Err(_) => tell(flow, BackendEvent::ConnectFailed),
        }
    }

    /// Takes bytes for the back end of a flow.
    pub(super) fn write(
        &mut self,
        flow: FlowId,
        bytes: Vec<u8>,
        mut tell: impl FnMut(FlowId, BackendEvent),
    ) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.write(bytes, &mut |event| tell(flow, event));
            self.forget_if_gone(flow);
        }
    }

    /// Shuts down the direction to the back end of a flow.
    pub(super) fn finish(&mut self, flow: FlowId, mut tell: impl FnMut(FlowId, BackendEvent)) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.finish(&mut |event| tell(flow, event));
            self.forget_if_gone(flow);
        }
    }

    /// Closes the connection of a flow.
    pub(super) fn abort(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.remove(&flow) {
            connection.close(&self.registry);
        }
    }

    /// Stops reading for a flow.
    pub(super) fn pause_reading(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.set_paused(true);
        }
    }

    /// Reads for a flow again. What arrived in between causes no new event.
    pub(super) fn resume_reading(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.set_paused(false);
            self.ready.insert(flow);
        }
    }

    /// A connection that failed was reported, so its flow has forgotten it.
    fn forget_if_gone(&mut self, flow: FlowId) {
        if self
            .connections
            .get(&flow)
            .is_some_and(BackendConnection::is_gone)
        {
            self.abort(flow);
        }
    }
}
