//! The event loop of a balancer.

use std::sync::Arc;
use std::time::Duration;

use mio::{Events, Poll, Token};
use petrellatch_core::balancer_node::{BalancerNode, BalancerOutput, BalancerSettings};
use petrellatch_core::dissemination::{LinkSettings, RelaySettings};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::record::NodeRole;
use petrellatch_proto::seal::ClusterKey;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};

use super::admin::AdminState;
use super::clock::ProcessClock;
use super::data_folder::DataFolder;
use super::datagram_socket::{Batch, DatagramSocket};
use super::metrics::{
    ControlTrafficMetrics, counter, counters, drop_reason_name, gauge, raise, set,
};
use super::process::{
    DaemonSockets, Process, check_wait_result, link_settings, node_identity, open_poll,
};
use super::sealed_socket::{ControlTraffic, SealedSocket};
use super::stop_signal::StopRequest;
use super::view_writer::ViewWriter;
use crate::error::ProgramError;

const CONTROL: Token = Token(0);
const DATA: Token = Token(1);
const STOP: Token = Token(2);

/// Maximum number of selector events per iteration.
const EVENTS: usize = 16;
/// Interval between updates of the metrics; also the longest wait for events.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a balancer until it has stopped.
pub fn run(
    process: Process,
    sockets: DaemonSockets,
    folder: DataFolder,
) -> Result<(), ProgramError> {
    let stored = process.read_view(&folder)?;
    let identity = node_identity(&process.settings, &sockets, NodeRole::Balancer);
    let settings = BalancerSettings {
        link: LinkSettings {
            relay: Some(RelaySettings::default()),
            ..link_settings(&process.settings)
        },
        ..BalancerSettings::default()
    };
    let clock = ProcessClock::start();
    let node = BalancerNode::new(clock.now(), settings, identity, rand::random(), stored);
    let admin = AdminState::new();
    let _admin_server = process.serve_admin(sockets.admin, &admin)?;
    let mut balancer = BalancerLoop {
        clock,
        node,
        control: SealedSocket::new(sockets.control, process.key.clone()),
        data: sockets.data,
        key: process.key.clone(),
        buffer: Vec::new(),
        views: ViewWriter::start(folder, process.logger.clone())?,
        metrics: BalancerMetrics::new(admin.registry()),
        admin,
        reported_at: Timestamp::ZERO,
        reported_rejected: 0,
        process,
    };
    balancer.run()
}

struct BalancerLoop {
    process: Process,
    clock: ProcessClock,
    node: BalancerNode,
    control: SealedSocket,
    data: DatagramSocket,
    key: ClusterKey,
    /// Scratch space for the sealed datagram that is sent.
    buffer: Vec<u8>,
    views: ViewWriter,
    admin: Arc<AdminState>,
    metrics: BalancerMetrics,
    reported_at: Timestamp,
    reported_rejected: u64,
}

impl BalancerLoop {
    fn run(&mut self) -> Result<(), ProgramError> {
        let mut poll = open_poll()?;
        self.register(&poll)?;
        self.process.log(EventKind::ProcessStarted, "balancer");
        let mut events = Events::with_capacity(EVENTS);
        let mut more = false;
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
            self.run_node();
        }
        self.process.log(EventKind::ProcessStopped, "balancer");
        Ok(())
    }

    fn register(&mut self, poll: &Poll) -> Result<(), ProgramError> {
        self.control.register(poll.registry(), CONTROL)?;
        self.data.register(poll.registry(), DATA)?;
        self.process.stop.register(poll.registry(), STOP)
    }

    fn begin_stop(&mut self) {
        if !self.admin.is_stopping() {
            self.process.log(EventKind::ProcessStopping, "balancer");
            self.admin.set_stopping();
            self.node.begin_stop(self.clock.now());
        }
    }

    /// Receives one batch from each socket. Returns whether more datagrams may be waiting.
    fn receive(&mut self) -> bool {
        let now = self.clock.now();
        let BalancerLoop {
            node,
            control,
            data,
            key,
            buffer,
            ..
        } = self;
        let control_batch = control.receive_batch(|from, envelope| {
            node.handle_control(now, from, envelope);
        });
        let data_batch = data.exchange_batch(|packet, sender| {
            if let Some((to, datagram)) = node.handle_packet(now, packet) {
                key.seal(&datagram, buffer);
                sender.send(to, buffer);
            }
        });
        control_batch == Batch::Full || data_batch == Batch::Full
    }

    fn run_node(&mut self) {
        let now = self.clock.now();
        if self.node.poll_timeout().is_some_and(|due| due <= now) {
            self.node.handle_timeout(now);
        }
        while let Some(output) = self.node.poll_output() {
            match output {
                BalancerOutput::Send { to, envelope } => self.control.send(to, &envelope),
                BalancerOutput::Event(event) => self.process.log_event(&event),
                BalancerOutput::StoreView(copy) => self.views.store(copy),
            }
        }
        self.admin.set_ready(self.node.is_ready());
        if now.saturating_since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            self.report();
        }
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

struct BalancerMetrics {
    packets: IntCounter,
    forwarded: IntCounter,
    drops: IntCounterVec,
    traffic: ControlTrafficMetrics,
    version: IntGauge,
}

impl BalancerMetrics {
    fn new(registry: &Registry) -> Self {
        BalancerMetrics {
            packets: counter(
                registry,
                "petrellatch_packets_total",
                "Packets that came from the fabric.",
            ),
            forwarded: counter(
                registry,
                "petrellatch_forwarded_packets_total",
                "Packets that were passed on to an agent.",
            ),
            drops: counters(
                registry,
                "petrellatch_dropped_packets_total",
                "Packets that were dropped, by reason.",
                "reason",
            ),
            traffic: ControlTrafficMetrics::new(registry),
            version: gauge(
                registry,
                "petrellatch_view_version",
                "Version of the cluster view in force here.",
            ),
        }
    }

    fn update(&self, node: &BalancerNode, traffic: ControlTraffic) {
        let counters = node.counters();
        raise(&self.packets, counters.packets);
        raise(&self.forwarded, counters.forwarded);
        for (reason, total) in &counters.drops {
            let name = drop_reason_name(*reason);
            raise(&self.drops.with_label_values(&[name]), *total);
        }
        self.traffic.update(traffic, 0);
        set(&self.version, node.link().view().version());
    }
}
