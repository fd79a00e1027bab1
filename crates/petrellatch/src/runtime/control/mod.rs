//! The event loop of a control replica.

mod control_metrics;
mod documents;
mod operator_api;
mod platform_poller;
mod replica_folder;

use std::collections::BTreeMap;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use mio::{Events, Poll, Token, Waker};
use petrellatch_core::consensus::{
    MembershipChange, ReplicaId, ReplicaSettings, ReplicaStart, Role,
};
use petrellatch_core::control::{
    ControlNode, ControlOutput, ControlPeer, ControlSettings, OperatorError, OperatorRequest,
    OperatorResponse,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::membership::MembershipSettings;
use petrellatch_core::node::NodeIdentity;
use petrellatch_core::{ErrorKind, EventKind, Timestamp};
use petrellatch_proto::record::NodeRole;

use self::control_metrics::ControlMetrics;
use self::documents::{ReplicaDirectory, StatusDocumentKind};
use self::operator_api::{LoopRequest, LoopResponse, OperatorApi, PendingRequest, ResponseSender};
use self::platform_poller::PlatformPoller;
use super::admin::AdminState;
use super::clock::ProcessClock;
use super::datagram_socket::{Batch, DatagramSocket};
use super::log_writer::LogWriter;
use super::process::{Process, check_wait_result, open_poll};
use super::ready_line::ReadyLine;
use super::sealed_socket::SealedSocket;
use super::stop_signal::StopRequest;
use crate::api::ErrorDocument;
use crate::error::ProgramError;
use crate::http::{HttpLimits, HttpServer, local_address, open_listener};
use crate::settings::Settings;

pub use self::replica_folder::{ReplicaFolder, open_replica_folder};

const CONTROL: Token = Token(0);
const WAKE: Token = Token(1);
const STOP: Token = Token(2);

/// Maximum number of selector events per iteration.
const EVENTS: usize = 16;
/// Interval between updates of the metrics; also the longest wait for events.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of heartbeats that a leader sends per minimum election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 5;
/// Maximum size of the body of an operator's request, in bytes.
const OPERATOR_BODY_BYTES: usize = 1024 * 1024;
/// How long an operator's request may wait in the control node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of threads that serve operators' requests.
const MAX_OPERATOR_THREADS: usize = 64;

/// The open sockets of a control replica.
#[derive(Debug)]
pub struct ControlSockets {
    /// Control messages (UDP).
    pub control: DatagramSocket,
    /// Operators (HTTP).
    pub operator: TcpListener,
    /// Health and metrics (HTTP).
    pub admin: TcpListener,
}

impl ControlSockets {
    /// Opens the sockets.
    pub fn open(settings: &Settings) -> Result<Self, ProgramError> {
        let buffer = settings.receive_buffer_bytes;
        Ok(ControlSockets {
            control: DatagramSocket::open(settings.control, "control messages", buffer)?,
            operator: open_listener(settings.operator, "operators")?,
            admin: open_listener(settings.admin, "health and metrics")?,
        })
    }

    /// Creates the ready line, which reports the open addresses.
    pub fn ready_line(&self, name: &str, incarnation: Incarnation) -> ReadyLine {
        ReadyLine {
            ready: true,
            name: name.to_string(),
            incarnation: Some(format!("{:016x}", incarnation.0)),
            control: Some(self.control.address()),
            admin: local_address(&self.admin),
            operator: local_address(&self.operator),
            ..ReadyLine::default()
        }
    }
}

/// Runs a control replica until it has stopped.
pub fn run(
    process: Process,
    sockets: ControlSockets,
    folder: ReplicaFolder,
) -> Result<(), ProgramError> {
    let settings = &process.settings;
    let poll = open_poll()?;
    let waker = Waker::new(poll.registry(), WAKE).map_err(|source| ProgramError::System {
        action: "create the waker of the event loop",
        source,
    })?;
    let waker = Arc::new(waker);
    if folder.torn_bytes > 0 {
        let subject = format!("{} bytes", folder.torn_bytes);
        process.log(EventKind::LogTailCut, subject);
    }
    let identity = control_identity(settings, &sockets);
    let start = ReplicaStart {
        id: identity.node,
        incarnation: folder.incarnation,
        seed: rand::random(),
        persisted: folder.state,
        bootstrap: Some(folder.first_membership),
    };
    let clock = ProcessClock::start();
    let node = ControlNode::new(clock.now(), control_settings(settings), identity, start);
    let (request_sender, requests) = channel();
    let operator_api = OperatorApi::new(request_sender, Arc::clone(&waker), REQUEST_TIMEOUT);
    let limits = HttpLimits {
        workers: settings.operator_requests.min(MAX_OPERATOR_THREADS),
        requests: settings.operator_requests,
        body_bytes: OPERATOR_BODY_BYTES,
    };
    let _operator_server = HttpServer::start(sockets.operator, limits, Arc::new(operator_api))?;
    let admin = AdminState::new();
    let _admin_server = process.serve_admin(sockets.admin, &admin)?;
    let platform = match &settings.platform_list_url {
        Some(url) => {
            let (url, waker) = (url.clone(), Arc::clone(&waker));
            Some(PlatformPoller::start(url, waker, process.logger.clone())?)
        }
        None => None,
    };
    let mut control = ControlLoop {
        clock,
        node,
        control: SealedSocket::new(sockets.control, process.key.clone()),
        log: LogWriter::start(folder.store, waker)?,
        platform,
        requests,
        pending_responses: BTreeMap::new(),
        next_token: 0,
        directory: ReplicaDirectory::new(&settings.replicas),
        metrics: ControlMetrics::new(admin.registry()),
        admin,
        reported_at: Timestamp::ZERO,
        reported_rejected: 0,
        process,
    };
    control.run(poll)
}

struct ControlLoop {
    process: Process,
    clock: ProcessClock,
    node: ControlNode,
    control: SealedSocket,
    log: LogWriter,
    platform: Option<PlatformPoller>,
    requests: Receiver<PendingRequest>,
    /// Requests in progress, by the token under which the node responds.
    pending_responses: BTreeMap<u64, PendingResponse>,
    next_token: u64,
    directory: ReplicaDirectory,
    admin: Arc<AdminState>,
    metrics: ControlMetrics,
    reported_at: Timestamp,
    reported_rejected: u64,
}

/// An operator's request in progress.
struct PendingResponse {
    response_sender: ResponseSender,
    status_kind: StatusDocumentKind,
}

impl ControlLoop {
    fn run(&mut self, mut poll: Poll) -> Result<(), ProgramError> {
        self.control.register(poll.registry(), CONTROL)?;
        self.process.stop.register(poll.registry(), STOP)?;
        self.process.log(EventKind::ProcessStarted, "control");
        let mut events = Events::with_capacity(EVENTS);
        let mut more = false;
        self.run_node()?;
        while !self.node.is_stopped() {
            let wait = match more {
                true => Duration::ZERO,
                false => self.clock.until(self.node.poll_timeout(), REPORT_INTERVAL),
            };
            check_wait_result(poll.poll(&mut events, Some(wait)))?;
            match self.process.stop.check() {
                StopRequest::None => {}
                StopRequest::Graceful => self.begin_stop(),
                StopRequest::Immediate => break,
            }
            more = self.receive();
            self.take_requests();
            self.take_platform_list();
            self.take_completed_writes()?;
            self.run_node()?;
        }
        self.process.log(EventKind::ProcessStopped, "control");
        Ok(())
    }

    fn begin_stop(&mut self) {
        if !self.admin.is_stopping() {
            self.process.log(EventKind::ProcessStopping, "control");
            self.admin.set_stopping();
            self.node.begin_stop(self.clock.now());
        }
    }

    /// Receives one batch of control messages. Returns whether more may be waiting.
    fn receive(&mut self) -> bool {
        let now = self.clock.now();
        let ControlLoop { node, control, .. } = self;
        let batch = control.receive_batch(|from, envelope| {
            node.handle_control(now, from, envelope);
        });
        batch == Batch::Full
    }

    fn take_requests(&mut self) {
        while let Ok(PendingRequest {
            request,
            response_sender,
        }) = self.requests.try_recv()
        {
            match request {
                LoopRequest::Node(request, status_kind) => {
                    self.submit_to_node(request, status_kind, response_sender)
                }
                LoopRequest::AddAnnounced(node) => self.add_announced(node, response_sender),
            }
        }
    }

    fn submit_to_node(
        &mut self,
        request: OperatorRequest,
        status_kind: StatusDocumentKind,
        response_sender: ResponseSender,
    ) {
        let token = self.next_token;
        self.next_token += 1;
        self.pending_responses.insert(
            token,
            PendingResponse {
                response_sender,
                status_kind,
            },
        );
        self.node.handle_request(self.clock.now(), token, request);
    }

    /// Adds the replica that a node announced. Only the leader receives
    /// announcements; the other replicas respond with the leader's address.
    fn add_announced(&mut self, node: NodeId, response_sender: ResponseSender) {
        let replica = self.node.replica();
        let announced = replica.announced_replicas();
        let found = announced.into_iter().find(|it| it.node == node);
        let is_leader = replica.role() == Role::Leader;
        if found.is_none() && is_leader {
            let message = "no replica of this name that is not a member has announced itself";
            let error = ErrorDocument::new(ErrorKind::NotFound, message);
            let _ = response_sender.send(LoopResponse::Failure(error));
            return;
        }
        let unknown = ReplicaId {
            node,
            incarnation: Incarnation::default(),
        };
        let change = MembershipChange::AddVoter(found.unwrap_or(unknown));
        let request = OperatorRequest::ChangeReplicas(change);
        self.submit_to_node(request, StatusDocumentKind::Full, response_sender);
    }

    fn take_platform_list(&mut self) {
        let list = self.platform.as_ref().and_then(PlatformPoller::poll);
        if let Some(machines) = list {
            self.node.handle_platform_list(self.clock.now(), machines);
        }
    }

    fn take_completed_writes(&mut self) -> Result<(), ProgramError> {
        while let Some(written) = self.log.poll() {
            let ticket = written.map_err(|source| ProgramError::Storage { source })?;
            self.node.handle_persisted(self.clock.now(), ticket);
        }
        Ok(())
    }

    fn run_node(&mut self) -> Result<(), ProgramError> {
        let now = self.clock.now();
        if self.node.poll_timeout().is_some_and(|due| due <= now) {
            self.node.handle_timeout(now);
        }
        while let Some(output) = self.node.poll_output() {
            self.process_output(output)?;
        }
        self.admin.set_ready(self.node.replica().leader().is_some());
        if now.saturating_since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            self.report();
        }
        Ok(())
    }

    fn process_output(&mut self, output: ControlOutput) -> Result<(), ProgramError> {
        match output {
            ControlOutput::Send { to, envelope } => self.control.send(to, &envelope),
            ControlOutput::Persist(request) => self.log.write(request),
            ControlOutput::Respond { token, result } => self.respond(token, result),
            ControlOutput::Event(event) => self.process.log_event(&event),
            ControlOutput::Failed { message } => {
                let path = self.process.settings.data_folder.clone();
                return Err(ProgramError::Damaged { path, message });
            }
        }
        Ok(())
    }

    /// Passes the response to the thread that waits for it. If that thread has
    /// timed out, the client sends its request again.
    fn respond(&mut self, token: u64, result: Result<OperatorResponse, OperatorError>) {
        let Some(pending) = self.pending_responses.remove(&token) else {
            return;
        };
        let directory = &self.directory;
        let loop_response = match result {
            Ok(response) => {
                LoopResponse::Success(directory.describe(response, pending.status_kind, &self.node))
            }
            Err(error) => LoopResponse::Failure(directory.describe_error(error)),
        };
        let _ = pending.response_sender.send(loop_response);
    }

    fn report(&mut self) {
        let rejected = self.control.traffic().rejected;
        if rejected > self.reported_rejected {
            let subject = format!("{rejected} since the start");
            self.process.log(EventKind::DatagramRejected, subject);
            self.reported_rejected = rejected;
        }
        self.metrics.update(&self.node, self.control.traffic());
    }
}

fn control_identity(settings: &Settings, sockets: &ControlSockets) -> NodeIdentity {
    let control = sockets.control.address();
    NodeIdentity {
        name: settings.name.clone(),
        node: NodeId::from_name(&settings.name),
        incarnation: Incarnation(rand::random()),
        zone: settings.zone.clone(),
        role: NodeRole::Control,
        control,
        data: SocketAddrV4::new(*control.ip(), 0),
    }
}

fn control_settings(settings: &Settings) -> ControlSettings {
    let peer = |replica: &crate::settings::ReplicaSettings| ControlPeer {
        node: NodeId::from_name(&replica.name),
        control: replica.control,
    };
    let election = settings.timing.election;
    ControlSettings {
        peers: settings.replicas.iter().map(peer).collect(),
        replica: ReplicaSettings {
            election_timeout: election,
            heartbeat_interval: election / HEARTBEATS_PER_ELECTION,
            ..ReplicaSettings::default()
        },
        membership: MembershipSettings {
            lease: settings.timing.lease,
            ..MembershipSettings::default()
        },
        request_limit: settings.operator_requests,
        request_timeout: REQUEST_TIMEOUT,
        ..ControlSettings::default()
    }
}
