//! One hollow daemon.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::dissemination::{
    AgentReport, DaemonLink, LinkOutput, LinkSettings, RelaySettings,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::dissemination::BackendLoad;
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::NodeRole;
use petrellatch_proto::seal::ClusterKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::arrivals::Arrival;
use super::fleet::DaemonPlan;
use super::hollow_view::{HollowView, SharedRecords};
use super::traffic::Traffic;
use super::udp::LoopbackSocket;

/// Time between two reports of new loads.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a machine that failed stays away.
const REPLACEMENT_TIME: Duration = Duration::from_secs(30);

/// Open flows of one back end, on average: 420 million over 160,000.
const CONNECTIONS: u32 = 2_625;

/// Change of the open flows of a back end from report to report.
const CONNECTIONS_CHANGE: u32 = 32;

/// Requests in progress at one back end, at most.
const BUSY_LIMIT: u32 = 48;

const FULL_HEALTH: u32 = 1_000;

/// What all daemons of a process share.
#[derive(Clone)]
pub struct Surroundings {
    /// Addresses of the control replicas.
    pub controls: Vec<SocketAddrV4>,
    /// The cluster key.
    pub key: ClusterKey,
    /// The records.
    pub records: Arc<SharedRecords>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A link with its socket, its loads and its counters.
pub struct HollowDaemon {
    plan: DaemonPlan,
    surroundings: Surroundings,
    socket: LoopbackSocket,
    link: Option<DaemonLink<HollowView>>,
    incarnation: u64,
    random: ChaCha8Rng,
    report: AgentReport,
    next_report: Timestamp,
    back_at: Timestamp,
    known_version: u64,
    /// Messages received since the start.
    pub received: Traffic,
    /// Messages sent since the start.
    pub sent: Traffic,
    /// Updates sent to children since the start.
    pub sent_to_children: u64,
    /// Lives that ended because the leader said so.
    pub fences: u64,
}

impl HollowDaemon {
    /// Starts a daemon with a stored copy of `version`.
    pub fn start(
        now: Timestamp,
        plan: DaemonPlan,
        surroundings: &Surroundings,
        socket: LoopbackSocket,
        version: u64,
    ) -> Self {
        let node = NodeId::from_name(&plan.name);
        let random = ChaCha8Rng::seed_from_u64(surroundings.seed ^ node.0);
        let mut daemon = HollowDaemon {
            report: AgentReport::default(),
            next_report: now,
            back_at: Timestamp::ZERO,
            known_version: version,
            received: Traffic::default(),
            sent: Traffic::default(),
            sent_to_children: 0,
            fences: 0,
            link: None,
            incarnation: 0,
            random,
            socket,
            surroundings: surroundings.clone(),
            plan,
        };
        daemon.draw_loads();
        daemon.begin_process(now, version);
        daemon
    }

    /// Whether the daemon may do its job: an agent needs a lease.
    pub fn is_serving(&self, now: Timestamp) -> bool {
        let Some(link) = &self.link else {
            return false;
        };
        let has_lease = link.lease_until().is_some_and(|until| until > now);
        link.is_current() && (has_lease || self.plan.role != NodeRole::Agent)
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.known_version
    }

    /// Starts as another process at once, with the copy of the view that it
    /// had, and without having told the leader.
    pub fn restart(&mut self, now: Timestamp) {
        self.begin_process(now, self.known_version);
    }

    /// Stops as planned; the new process starts when the leader knows.
    pub fn stop(&mut self, now: Timestamp) {
        self.report.stopped = true;
        if let Some(link) = &mut self.link {
            link.set_report(now, self.report.clone());
        }
    }

    /// Loses the machine. Another one takes its place after a while, without
    /// a copy of the view.
    pub fn fail(&mut self, now: Timestamp) {
        self.link = None;
        self.back_at = now + REPLACEMENT_TIME;
    }

    /// Takes what has arrived. Returns whether there may be more.
    pub fn receive(&mut self, now: Timestamp, buffer: &mut [u8]) -> bool {
        let (link, received) = (&mut self.link, &mut self.received);
        let key = &self.surroundings.key;
        self.socket.receive_batch(buffer, |from, datagram| {
            let Ok(envelope) = key.open::<Envelope>(datagram) else {
                return;
            };
            if let Some(link) = link {
                received.count(envelope.body.as_ref(), datagram.len());
                link.handle_control(now, from, &envelope);
            }
        })
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if self.link.is_none() && self.back_at <= now {
            self.begin_process(now, 0);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.draw_loads();
            if let Some(link) = &mut self.link {
                link.set_report(now, self.report.clone());
            }
        }
        if let Some(link) = &mut self.link
            && link.poll_timeout().is_some_and(|at| at <= now)
        {
            link.handle_timeout(now);
        }
    }

    /// When [`HollowDaemon::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Timestamp {
        let link = self.link.as_ref();
        let due = link.and_then(DaemonLink::poll_timeout);
        let due = due.unwrap_or(self.back_at.max(self.next_report));
        due.min(self.next_report)
    }

    /// Carries out what the link wants. Steps to newer versions are added to
    /// `arrivals`.
    pub fn flush(&mut self, now: Timestamp, buffer: &mut Vec<u8>, arrivals: &mut Vec<Arrival>) {
        while let Some(output) = self.link.as_mut().and_then(DaemonLink::poll_output) {
            match output {
                LinkOutput::Send { to, envelope } => self.send(to, &envelope, buffer),
                LinkOutput::Changed { .. } => self.note_version(now, arrivals),
                LinkOutput::Fenced => {
                    self.fences += 1;
                    self.begin_process(now, self.known_version);
                }
                LinkOutput::Lease(_) | LinkOutput::Current | LinkOutput::Event(_) => {}
            }
        }
    }

    fn send(&mut self, to: SocketAddrV4, envelope: &Envelope, buffer: &mut Vec<u8>) {
        self.surroundings.key.seal(envelope, buffer);
        self.sent.count(envelope.body.as_ref(), buffer.len());
        if matches!(envelope.body, Some(Body::Update(_))) {
            self.sent_to_children += 1;
        }
        self.socket.send(to, buffer);
    }

    fn note_version(&mut self, now: Timestamp, arrivals: &mut Vec<Arrival>) {
        let Some(link) = &self.link else {
            return;
        };
        let version = petrellatch_core::dissemination::DisseminatedView::version(link.view());
        if version > self.known_version {
            arrivals.push(Arrival {
                from: self.known_version,
                to: version,
                at: now,
            });
        }
        self.known_version = version;
    }

    fn begin_process(&mut self, now: Timestamp, version: u64) {
        self.incarnation += 1;
        self.report.stopped = false;
        self.known_version = version;
        let is_balancer = self.plan.role == NodeRole::Balancer;
        let settings = LinkSettings {
            controls: self.surroundings.controls.clone(),
            relay: is_balancer.then(RelaySettings::default),
            ..LinkSettings::default()
        };
        let view = HollowView::new(version, Arc::clone(&self.surroundings.records));
        let seed = self.random.random();
        let mut link = DaemonLink::with_view(now, settings, self.identity(), seed, view);
        link.set_report(now, self.report.clone());
        self.link = Some(link);
    }

    fn identity(&self) -> NodeIdentity {
        NodeIdentity {
            name: self.plan.name.clone(),
            node: NodeId::from_name(&self.plan.name),
            incarnation: Incarnation(self.incarnation),
            zone: self.plan.zone.clone(),
            role: self.plan.role,
            control: self.socket.address(),
            data: self.socket.address(),
        }
    }

    /// Draws loads as they would be from one second to the next: every back
    /// end has other figures.
    fn draw_loads(&mut self) {
        let random = &mut self.random;
        let draw = |backend: &u64| BackendLoad {
            backend: *backend,
            busy: random.random_range(0..BUSY_LIMIT),
            connections: CONNECTIONS + random.random_range(0..CONNECTIONS_CHANGE),
            health: FULL_HEALTH,
            draining: false,
        };
        self.report.loads = self.plan.backends.iter().map(draw).collect();
    }
}
