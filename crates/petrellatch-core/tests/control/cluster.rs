//! Control nodes with disks, daemons and a network on a virtual clock.

mod events;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::consensus::{
    Membership, PersistRequest, PersistentState, ReplicaId, ReplicaStart,
};
use petrellatch_core::control::{
    ControlNode, ControlPeer, ControlSettings, OperatorError, OperatorRequest, OperatorResponse,
};
use petrellatch_core::dissemination::{
    AgentReport, DaemonLink, DisseminationMutations, LinkSettings, RelaySettings,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::NodeRole;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SYNC_TIME: Duration = Duration::from_millis(2);
const STEP_LIMIT: u32 = 5_000_000;

pub type RequestResult = Result<OperatorResponse, OperatorError>;

/// Faults of the network.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub jitter_micros: u64,
}

pub const ROUGH: Faults = Faults {
    loss: 0.1,
    duplication: 0.05,
    jitter_micros: 10_000,
};

enum Event {
    Deliver {
        from: SocketAddrV4,
        to: SocketAddrV4,
        envelope: Envelope,
    },
    Synced {
        node: usize,
        life: u64,
        request: PersistRequest,
    },
}

pub struct Control {
    pub node: Option<ControlNode>,
    disk: PersistentState,
    life: u64,
}

pub struct Daemon {
    pub link: DaemonLink,
    pub report: AgentReport,
    /// Goes on as a new life as soon as it is told that it was fenced.
    pub lives: u64,
}

pub struct Cluster {
    pub now: Timestamp,
    pub controls: Vec<Control>,
    pub daemons: BTreeMap<SocketAddrV4, Daemon>,
    pub responses: BTreeMap<u64, RequestResult>,
    pub cut: BTreeSet<SocketAddrV4>,
    /// Ways, from and to, on which nothing gets through.
    pub cut_pairs: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    pub faults: Faults,
    /// How much later messages to an address arrive.
    pub slow: BTreeMap<SocketAddrV4, Duration>,
    /// Lives that held a lease while they were no members any more.
    pub violations: Vec<String>,
    /// The newest view that any control node has ever applied. It is committed
    /// also if that node was lost and the others don't know it yet.
    newest_view: ClusterView,
    pub received_bytes: BTreeMap<SocketAddrV4, u64>,
    pub sent_bytes: BTreeMap<SocketAddrV4, u64>,
    /// Faults of daemons that are added from now on.
    pub link_mutations: DisseminationMutations,
    settings: ControlSettings,
    random: ChaCha8Rng,
    queue: BTreeMap<(Timestamp, u64), Event>,
    events: u64,
    last_token: u64,
}

pub fn control_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1 + index as u16)
}

pub fn daemon_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn identity(name: &str, role: NodeRole, control: SocketAddrV4, incarnation: u64) -> NodeIdentity {
    NodeIdentity {
        node: NodeId::from_name(name),
        name: name.to_owned(),
        incarnation: Incarnation(incarnation),
        zone: "zone-a".to_owned(),
        role,
        control,
        data: control,
    }
}

fn control_identity(index: usize) -> NodeIdentity {
    let name = format!("control-{index}");
    identity(&name, NodeRole::Control, control_address(index), 100)
}

impl Cluster {
    pub fn new(seed: u64, mut settings: ControlSettings) -> Self {
        const CONTROLS: usize = 3;
        settings.peers = (0..CONTROLS)
            .map(|index| ControlPeer {
                node: control_identity(index).node,
                control: control_address(index),
            })
            .collect();
        let mut cluster = Cluster {
            now: Timestamp::from_millis(1_000),
            controls: Vec::new(),
            daemons: BTreeMap::new(),
            responses: BTreeMap::new(),
            cut: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            faults: Faults::default(),
            slow: BTreeMap::new(),
            violations: Vec::new(),
            newest_view: ClusterView::new(),
            received_bytes: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
            link_mutations: DisseminationMutations::default(),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            events: 0,
            last_token: 0,
        };
        for index in 0..CONTROLS {
            cluster.controls.push(Control {
                node: None,
                disk: PersistentState::default(),
                life: 0,
            });
            cluster.start(index);
        }
        cluster
    }

    pub fn start(&mut self, index: usize) {
        let voters = self.settings.peers.iter().map(|peer| ReplicaId {
            node: peer.node,
            incarnation: Incarnation(100),
        });
        let bootstrap = Membership::of_voters(voters);
        let seed = self.random.random();
        let identity = control_identity(index);
        let control = &mut self.controls[index];
        control.life += 1;
        let start = ReplicaStart {
            id: identity.node,
            incarnation: Incarnation(100),
            seed,
            persisted: control.disk.clone(),
            bootstrap: Some(bootstrap),
        };
        let settings = self.settings.clone();
        control.node = Some(ControlNode::new(self.now, settings, identity, start));
        self.flush_control(index);
    }

    pub fn crash(&mut self, index: usize) {
        self.controls[index].node = None;
    }

    /// Begins a planned stop and ends the process when it says so. Returns how
    /// long that took.
    pub fn stop(&mut self, index: usize) -> Duration {
        let now = self.now;
        let node = self.controls[index].node.as_mut().expect("running");
        node.begin_stop(now);
        self.flush_control(index);
        let taken = self.run_until(Duration::from_secs(5), "the stop", |cluster| {
            let node = cluster.controls[index].node.as_ref();
            node.is_some_and(ControlNode::is_stopped)
        });
        self.crash(index);
        taken
    }

    pub fn add_daemon(&mut self, port: u16, name: &str, role: NodeRole) {
        let controls = (0..self.controls.len()).map(control_address).collect();
        let relay = (role == NodeRole::Balancer).then(RelaySettings::default);
        let settings = LinkSettings {
            controls,
            relay,
            mutations: self.link_mutations,
            ..LinkSettings::default()
        };
        let address = daemon_address(port);
        let identity = identity(name, role, address, u64::from(port) * 1_000);
        let link = DaemonLink::new(self.now, settings, identity, 3, None);
        let daemon = Daemon {
            link,
            report: AgentReport::default(),
            lives: 1,
        };
        self.daemons.insert(address, daemon);
    }

    pub fn daemon(&self, port: u16) -> &Daemon {
        &self.daemons[&daemon_address(port)]
    }

    pub fn report(&mut self, port: u16, change: impl Fn(&mut AgentReport)) {
        let now = self.now;
        let daemon = self.daemons.get_mut(&daemon_address(port)).expect("known");
        change(&mut daemon.report);
        daemon.link.set_report(now, daemon.report.clone());
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |index: &usize| {
            let node = self.controls[*index].node.as_ref();
            let is_cut = self.cut.contains(&control_address(*index));
            node.is_some_and(|node| node.replica().is_leader_with_quorum(self.now)) && !is_cut
        };
        (0..self.controls.len()).find(leads)
    }

    /// The newest view of any control node.
    pub fn view(&self) -> &ClusterView {
        let nodes = self.controls.iter().filter_map(|it| it.node.as_ref());
        nodes
            .map(|node| node.state().view())
            .max_by_key(|view| view.version())
            .expect("a running control node")
    }

    pub fn config_version(&self) -> u64 {
        let nodes = self.controls.iter().filter_map(|it| it.node.as_ref());
        let versions = nodes.map(|node| node.state().config_version());
        versions.max().expect("a running control node")
    }

    pub fn submit(&mut self, index: usize, request: OperatorRequest) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        if let Some(node) = &mut self.controls[index].node {
            node.handle_request(self.now, token, request);
            self.flush_control(index);
        }
        token
    }

    /// Asks the leader and waits for its answer.
    pub fn ask(&mut self, request: OperatorRequest) -> RequestResult {
        let limit = Duration::from_secs(20);
        self.run_until(limit, "a leader", |cluster| cluster.leader().is_some());
        let leader = self.leader().expect("just found");
        let token = self.submit(leader, request);
        self.run_until(limit, "an answer", |cluster| {
            cluster.responses.contains_key(&token)
        });
        self.responses[&token].clone()
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    pub fn run_until(
        &mut self,
        limit: Duration,
        what: &str,
        done: impl Fn(&Cluster) -> bool,
    ) -> Duration {
        let start = self.now;
        for _ in 0..STEP_LIMIT {
            if done(self) {
                return self.now.saturating_since(start);
            }
            assert!(self.step(start + limit), "no {what} after {limit:?}");
        }
        panic!("no {what} after {STEP_LIMIT} steps");
    }

    pub fn all_in_force(&self) -> bool {
        let version = self.view().version();
        let daemons = self.daemons.iter();
        daemons
            .filter(|(address, _)| !self.cut.contains(address))
            .all(|(_, daemon)| daemon.link.is_current() && daemon.link.view().version() == version)
    }

    pub fn all_registered(&self) -> bool {
        self.daemons.values().all(|daemon| {
            let identity = daemon.link.identity();
            self.view().is_member(identity.node, identity.incarnation)
        })
    }
}
