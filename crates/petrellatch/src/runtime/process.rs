//! What the event loops of all roles start from.

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

/// A balancer that did not hear from its parent leaves it after this many
/// heartbeats.
const SILENT_HEARTBEATS: u32 = 3;

/// One process, or its part of a test.
pub struct Process {
    /// The settings that hold.
    pub settings: Settings,
    /// The key that seals all messages.
    pub key: ClusterKey,
    /// The log.
    pub logger: Logger,
    /// The wish to stop.
    pub stop: StopSignal,
}

/// The open addresses of a balancer or agent.
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
    /// Opens the addresses.
    pub fn open(settings: &Settings) -> Result<Self, ProgramError> {
        let buffer = settings.receive_buffer_bytes;
        Ok(DaemonSockets {
            control: DatagramSocket::open(settings.control, "control messages", buffer)?,
            data: DatagramSocket::open(settings.data, "caller packets", buffer)?,
            admin: open_listener(settings.admin, "health and metrics")?,
        })
    }

    /// Makes the line that says that the addresses are open.
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

    /// Reads the stored copy of the view. A damaged copy is reported and
    /// counts as none, since the daemon gets everything from its parent.
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

/// Makes the identity of a new life of a balancer or agent.
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

/// Says how a daemon keeps in touch with the control group.
pub fn link_settings(settings: &Settings) -> LinkSettings {
    let controls = settings.replicas.iter().map(|replica| replica.control);
    let heartbeat = settings.timing.heartbeat;
    LinkSettings {
        controls: controls.collect(),
        heartbeat_interval: heartbeat,
        parent_silence_limit: heartbeat * SILENT_HEARTBEATS,
        ..LinkSettings::default()
    }
}

/// Makes the selector of an event loop.
pub(super) fn open_poll() -> Result<Poll, ProgramError> {
    Poll::new().map_err(|source| ProgramError::System {
        action: "watch sockets",
        source,
    })
}

/// Turns a failure of the selector into an error; an interrupted wait is none.
pub(super) fn waited(result: std::io::Result<()>) -> Result<(), ProgramError> {
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
