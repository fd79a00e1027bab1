//! Settings, key, logger and sockets with which the event loops of all roles start.

use std::net::TcpListener;
use std::sync::Arc;

use mio::Poll;
use petrellatch_core::dissemination::{LinkSettings, StoredView};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_core::{Event, EventKind};
use petrellatch_proto::record::NodeRole;
use petrellatch_proto::seal::ClusterKey;
use slog::Logger;

use super::admin::{AdminState, serve_admin};
use super::data_folder::DataFolder;
use super::datagram_socket::DatagramSocket;
use super::ready_line::ReadyLine;
use super::stop_signal::StopSignal;
use crate::error::ProgramError;
use crate::http::{HttpServer, open_listener};
use crate::logging::{log, log_event};
use crate::settings::Settings;

/// A balancer or agent changes its parent after the parent was silent for this
/// many heartbeat intervals.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// One daemon. Tests run several of them as threads of one process.
pub struct Process {
    /// The active settings.
    pub settings: Settings,
    /// The key that seals all messages.
    pub key: ClusterKey,
    /// The logger.
    pub logger: Logger,
    /// Requests to stop the process.
    pub stop: StopSignal,
}

/// The open sockets of a balancer or agent.
#[derive(Debug)]
pub struct DaemonSockets {
    /// Control messages (UDP).
    pub control: DatagramSocket,
    /// Caller packets (UDP).
    pub data: DatagramSocket,
    /// Health and metrics (HTTP).
    pub admin: TcpListener,
}

impl DaemonSockets {
    /// Opens the sockets.
    pub fn open(settings: &Settings) -> Result<Self, ProgramError> {
        let buffer = settings.receive_buffer_bytes;
        Ok(DaemonSockets {
            control: DatagramSocket::open(settings.control, "control messages", buffer)?,
            data: DatagramSocket::open(settings.data, "caller packets", buffer)?,
            admin: open_listener(settings.admin, "health and metrics")?,
        })
    }

    /// Creates the ready line, which reports the open addresses.
    pub fn ready_line(&self, name: &str) -> ReadyLine {
        ReadyLine {
            ready: true,
            name: name.to_string(),
            control: Some(self.control.address()),
            data: Some(self.data.address()),
            admin: crate::http::local_address(&self.admin),
            ..ReadyLine::default()
        }
    }
}

impl Process {
    /// Logs an event of the process itself.
    pub fn log(&self, kind: EventKind, subject: impl Into<String>) {
        log(&self.logger, kind, subject);
    }

    /// Logs an event that a state machine reported.
    pub fn log_event(&self, event: &Event) {
        log_event(&self.logger, event);
    }

    /// Reads the stored copy of the view. A damaged copy is logged and
    /// ignored, since the daemon receives the complete view from its parent.
    pub fn read_view(&self, folder: &DataFolder) -> Result<Option<StoredView>, ProgramError> {
        let Some(bytes) = folder.read_view()? else {
            return Ok(None);
        };
        match StoredView::from_bytes(&bytes) {
            Ok(view) => Ok(Some(view)),
            Err(error) => {
                self.log(EventKind::StoredViewIgnored, error.to_string());
                Ok(None)
            }
        }
    }

    /// Serves health and metrics.
    pub fn serve_admin(
        &self,
        listener: TcpListener,
        state: &Arc<AdminState>,
    ) -> Result<HttpServer, ProgramError> {
        serve_admin(listener, state)
    }
}

/// Creates the identity of a new incarnation of a balancer or agent.
pub fn node_identity(settings: &Settings, sockets: &DaemonSockets, role: NodeRole) -> NodeIdentity {
    NodeIdentity {
        name: settings.name.clone(),
        node: NodeId::from_name(&settings.name),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        role,
        control: sockets.control.address(),
        data: sockets.data.address(),
    }
}

/// Returns the settings of a daemon's link to the control group.
pub fn link_settings(settings: &Settings) -> LinkSettings {
    let controls = settings.replicas.iter().map(|replica| replica.control);
    let heartbeat = settings.timing.heartbeat;
    LinkSettings {
        controls: controls.collect(),
        heartbeat_interval: heartbeat,
        parent_silence_limit: heartbeat * MAX_MISSED_HEARTBEATS,
        ..LinkSettings::default()
    }
}

/// Creates the selector of an event loop.
pub(super) fn open_poll() -> Result<Poll, ProgramError> {
    Poll::new().map_err(|source| ProgramError::System {
        action: "create a selector",
        source,
    })
}

/// Converts a failure of the selector into an error. An interrupted wait is
/// no failure.
pub(super) fn check_wait_result(result: std::io::Result<()>) -> Result<(), ProgramError> {
    match result {
        Err(source) if source.kind() != std::io::ErrorKind::Interrupted => {
            Err(ProgramError::System {
                action: "wait for events",
                source,
            })
        }
        _ => Ok(()),
    }
}
