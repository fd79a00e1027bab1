//! The event loop of an agent.

mod agent_metrics;
mod backend_connection;
mod backend_connections;
mod health_prober;

use std::sync::Arc;
use std::time::Duration;

use mio::{Events, Poll, Token, Waker};
use petrellatch_core::agent_node::{AgentNode, AgentOutput, AgentSettings};
use petrellatch_core::identity::{BackendId, NodeId};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::record::NodeRole;
use petrellatch_proto::seal::ClusterKey;

use self::agent_metrics::AgentMetrics;
use self::backend_connections::BackendConnections;
use self::health_prober::{HealthProber, ProbedBackend};
use super::admin::AdminState;
use super::clock::ProcessClock;
use super::data_folder::DataFolder;
use super::datagram_socket::{Batch, DatagramSocket};
use super::process::{
    DaemonSockets, Process, check_wait_result, link_settings, node_identity, open_poll,
};
use super::sealed_socket::SealedSocket;
use super::stop_signal::StopRequest;
use super::view_writer::ViewWriter;
use crate::error::ProgramError;

const CONTROL: Token = Token(0);
const DATA: Token = Token(1);
const STOP: Token = Token(2);
const WAKE: Token = Token(3);
/// First token of the connections to back ends.
const FIRST_BACKEND_TOKEN: usize = 16;

/// Maximum number of selector events per iteration.
const EVENTS: usize = 1_024;
/// Interval between updates of the metrics; also the longest wait for events.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs an agent until it has stopped.
pub fn run(
    process: Process,
    sockets: DaemonSockets,
    folder: DataFolder,
) -> Result<(), ProgramError> {
    let stored = process.read_view(&folder)?;
    let identity = node_identity(&process.settings, &sockets, NodeRole::Agent);
    let settings = AgentSettings {
        link: link_settings(&process.settings),
        ..AgentSettings::default()
    };
    let clock = ProcessClock::start();
    let node = AgentNode::new(clock.now(), settings, identity, rand::random(), stored);
    let admin = AdminState::new();
    let _admin_server = process.serve_admin(sockets.admin, &admin)?;
    let poll = open_poll()?;
    let prober = match &process.settings.health_path {
        Some(path) => Some(start_prober(path.clone(), &poll)?),
        None => None,
    };
    let mut agent = AgentLoop {
        clock,
        node,
        control: SealedSocket::new(sockets.control, process.key.clone()),
        data: sockets.data,
        key: process.key.clone(),
        buffer: Vec::new(),
        backends: BackendConnections::new(&poll, FIRST_BACKEND_TOKEN)?,
        prober,
        probe_targets: Vec::new(),
        views: ViewWriter::start(folder, process.logger.clone())?,
        metrics: AgentMetrics::new(admin.registry()),
        admin,
        rejected: 0,
        reported_at: Timestamp::ZERO,
        reported_rejected: 0,
        stop_deadline: None,
        process,
    };
    agent.run(poll)
}

fn start_prober(path: String, poll: &Poll) -> Result<HealthProber, ProgramError> {
    let waker = Waker::new(poll.registry(), WAKE).map_err(|source| ProgramError::System {
        action: "create the waker of the health prober",
        source,
    })?;
    HealthProber::start(path, Arc::new(waker))
}

struct AgentLoop {
    process: Process,
    clock: ProcessClock,
    node: AgentNode,
    control: SealedSocket,
    data: DatagramSocket,
    key: ClusterKey,
    /// Scratch space for the sealed datagram that is sent.
    buffer: Vec<u8>,
    backends: BackendConnections,
    prober: Option<HealthProber>,
    /// The back ends that the prober probes.
    probe_targets: Vec<ProbedBackend>,
    views: ViewWriter,
    admin: Arc<AdminState>,
    metrics: AgentMetrics,
    /// Number of data datagrams dropped because their seal or content was wrong.
    rejected: u64,
    reported_at: Timestamp,
    reported_rejected: u64,
    /// When a graceful stop ends even if flows are still open.
    stop_deadline: Option<Timestamp>,
}

impl AgentLoop {
    fn run(&mut self, mut poll: Poll) -> Result<(), ProgramError> {
        self.control.register(poll.registry(), CONTROL)?;
        self.data.register(poll.registry(), DATA)?;
        self.process.stop.register(poll.registry(), STOP)?;
        self.process.log(EventKind::ProcessStarted, "agent");
        let mut events = Events::with_capacity(EVENTS);
        let mut more = false;
        while !self.is_finished() {
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
            for event in &events {
                self.backends.note_ready(event);
            }
            more = self.receive();
            self.serve_backends();
            self.take_drain_reports();
            self.run_node();
            more |= self.backends.has_ready();
        }
        self.process.log(EventKind::ProcessStopped, "agent");
        Ok(())
    }

    fn is_finished(&self) -> bool {
        let now = self.clock.now();
        self.node.is_stopped() || self.stop_deadline.is_some_and(|deadline| deadline <= now)
    }

    fn begin_stop(&mut self) {
        if !self.admin.is_stopping() {
            let now = self.clock.now();
            self.process.log(EventKind::ProcessStopping, "agent");
            self.admin.set_stopping();
            self.stop_deadline = Some(now + self.process.settings.timing.stop);
            self.node.begin_stop(now);
        }
    }

    /// Receives one batch from each socket. Returns whether more datagrams may be waiting.
    fn receive(&mut self) -> bool {
        let now = self.clock.now();
        let AgentLoop {
            node,
            control,
            data,
            key,
            rejected,
            ..
        } = self;
        let control_batch = control.receive_batch(|from, envelope| {
            node.handle_control(now, from, envelope);
        });
        let data_batch = data.receive_batch(|_, bytes| match key.open::<DataDatagram>(bytes) {
            Ok(datagram) => node.handle_datagram(now, datagram),
            Err(_) => *rejected += 1,
        });
        control_batch == Batch::Full || data_batch == Batch::Full
    }

    /// Reads from and writes to the connections that are ready.
    fn serve_backends(&mut self) {
        let now = self.clock.now();
        let AgentLoop { node, backends, .. } = self;
        backends.serve(|flow, event| node.handle_backend(now, flow, event));
    }

    fn run_node(&mut self) {
        let now = self.clock.now();
        if self.node.poll_timeout().is_some_and(|due| due <= now) {
            self.node.handle_timeout(now);
        }
        while let Some(output) = self.node.poll_output() {
            self.process_output(now, output);
        }
        self.admin.set_ready(self.node.link().is_current());
        if now.saturating_since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            self.report();
            self.update_probe_targets();
        }
    }

    fn take_drain_reports(&mut self) {
        while let Some(report) = self.prober.as_ref().and_then(HealthProber::poll) {
            let now = self.clock.now();
            let (backend, draining) = (report.backend, report.draining);
            self.node.set_backend_draining(now, backend, draining);
        }
    }

    /// Passes the back ends that this agent serves now to the prober.
    fn update_probe_targets(&mut self) {
        let Some(prober) = &self.prober else {
            return;
        };
        let own = NodeId::from_name(&self.process.settings.name);
        let backends = self.node.link().view().backends_of_agent(own);
        let present: Vec<ProbedBackend> = backends
            .map(|record| ProbedBackend {
                backend: BackendId(record.id),
                server: record.server.into(),
            })
            .collect();
        if present != self.probe_targets {
            prober.set_targets(present.clone());
            self.probe_targets = present;
        }
    }

    fn process_output(&mut self, now: Timestamp, output: AgentOutput) {
        let AgentLoop { node, backends, .. } = self;
        let notify = |flow, event| node.handle_backend(now, flow, event);
        match output {
            AgentOutput::Send { to, envelope } => self.control.send(to, &envelope),
            AgentOutput::Forward { to, datagram } => {
                self.key.seal(&datagram, &mut self.buffer);
                self.data.send(to, &self.buffer);
            }
            AgentOutput::Packet(packet) => {
                self.data.send(self.process.settings.fabric, &packet);
            }
            AgentOutput::Connect { flow, server } => backends.connect(flow, server, notify),
            AgentOutput::Write { flow, bytes } => backends.write(flow, bytes, notify),
            AgentOutput::Finish { flow } => backends.finish(flow, notify),
            AgentOutput::Abort { flow } => backends.abort(flow),
            AgentOutput::PauseReading { flow } => backends.pause_reading(flow),
            AgentOutput::ResumeReading { flow } => backends.resume_reading(flow),
            AgentOutput::Event(event) => self.process.log_event(&event),
            AgentOutput::StoreView(copy) => self.views.store(copy),
        }
    }

    fn report(&mut self) {
        let rejected = self.rejected + self.control.traffic().rejected;
        if rejected > self.reported_rejected {
            let subject = format!("{rejected} since the start");
            self.process.log(EventKind::DatagramRejected, subject);
            self.reported_rejected = rejected;
        }
        let traffic = self.control.traffic();
        self.metrics.update(&self.node, traffic, self.rejected);
    }
}
