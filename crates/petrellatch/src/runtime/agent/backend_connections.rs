//! The TCP connections of all flows to their back ends.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

use mio::event::Event;
use mio::{Poll, Registry, Token};
use petrellatch_core::agent_node::{BackendEvent, FlowId};

use super::backend_connection::{BackendConnection, Progress, READ_BUDGET_BYTES};
use crate::error::ProgramError;

/// All connections, by flow.
#[derive(Debug)]
pub(super) struct BackendConnections {
    registry: Registry,
    first_token: usize,
    connections: HashMap<FlowId, BackendConnection>,
    /// Connections that may be able to make progress.
    ready: BTreeSet<FlowId>,
    buffer: Vec<u8>,
}

impl BackendConnections {
    /// Creates an empty set, whose selector tokens begin at `first_token`.
    pub(super) fn new(poll: &Poll, first_token: usize) -> Result<Self, ProgramError> {
        let registry = poll.registry().try_clone();
        Ok(BackendConnections {
            registry: registry.map_err(|source| ProgramError::System {
                action: "clone the selector registry",
                source,
            })?,
            first_token,
            connections: HashMap::new(),
            ready: BTreeSet::new(),
            buffer: vec![0; READ_BUDGET_BYTES],
        })
    }

    /// Notes a selector event, if its token belongs to a connection to a back end.
    pub(super) fn note_ready(&mut self, event: &Event) {
        if let Some(number) = event.token().0.checked_sub(self.first_token) {
            self.ready.insert(FlowId(number as u64));
        }
    }

    /// Returns whether a connection may make progress without a new event.
    pub(super) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Serves each ready connection once.
    pub(super) fn serve(&mut self, mut notify: impl FnMut(FlowId, BackendEvent)) {
        for flow in std::mem::take(&mut self.ready) {
            let Some(connection) = self.connections.get_mut(&flow) else {
                continue;
            };
            let progress = connection.serve(&mut self.buffer, &mut |event| notify(flow, event));
            if progress == Progress::More {
                self.ready.insert(flow);
            }
            self.remove_if_failed(flow);
        }
    }

    /// Starts to open the connection of a flow.
    pub(super) fn connect(
        &mut self,
        flow: FlowId,
        server: SocketAddrV4,
        mut notify: impl FnMut(FlowId, BackendEvent),
    ) {
        let token = Token(self.first_token + flow.0 as usize);
        match BackendConnection::open(&self.registry, token, server) {
            Ok(connection) => {
                self.connections.insert(flow, connection);
            }
            Err(_) => notify(flow, BackendEvent::ConnectFailed),
        }
    }

    /// Writes bytes to the back end of a flow.
    pub(super) fn write(
        &mut self,
        flow: FlowId,
        bytes: Vec<u8>,
        mut notify: impl FnMut(FlowId, BackendEvent),
    ) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.write(bytes, &mut |event| notify(flow, event));
            self.remove_if_failed(flow);
        }
    }

    /// Shuts down the direction to the back end of a flow.
    pub(super) fn finish(&mut self, flow: FlowId, mut notify: impl FnMut(FlowId, BackendEvent)) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.finish(&mut |event| notify(flow, event));
            self.remove_if_failed(flow);
        }
    }

    /// Closes the connection of a flow.
    pub(super) fn abort(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.remove(&flow) {
            connection.close(&self.registry);
        }
    }

    /// Pauses reading for a flow.
    pub(super) fn pause_reading(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.set_paused(true);
        }
    }

    /// Resumes reading for a flow. The connection is marked as ready, since bytes
    /// that arrived in between cause no new event.
    pub(super) fn resume_reading(&mut self, flow: FlowId) {
        if let Some(connection) = self.connections.get_mut(&flow) {
            connection.set_paused(false);
            self.ready.insert(flow);
        }
    }

    /// Removes the connection if it failed. Its flow was notified and no longer
    /// uses it.
    fn remove_if_failed(&mut self, flow: FlowId) {
        if self
            .connections
            .get(&flow)
            .is_some_and(BackendConnection::has_failed)
        {
            self.abort(flow);
        }
    }
}
