//! A root, daemons and a lossy network on a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::dissemination::{DaemonLink, LinkOutput, Relay, RelayOutput, RelaySettings};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::dissemination::{
    Delta, Heartbeat, HeartbeatEntry, HeartbeatReply, HeartbeatReplyEntry,
};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{NodeRole, PolicyRecord, Record, RecordChange};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ROOT_PORT: u16 = 1;
pub const LEASE_MILLISECONDS: u32 = 6_000;
pub const WINDOW: Duration = Duration::from_millis(100);

pub fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

pub fn identity(port: u16, role: NodeRole) -> NodeIdentity {
    let name = format!("node-{port}");
    NodeIdentity {
        node: NodeId::from_name(&name),
        name,
        incarnation: Incarnation(u64::from(port) + 1_000),
        zone: "zone-a".to_owned(),
        role,
        control: address(port),
        data: address(port),
    }
}

pub fn policy_change(number: u64, padding: usize) -> RecordChange {
    let record = Record::Policy(PolicyRecord {
        name: format!("policy-{}", number % 40),
        eligible: format!("true /* {number} */"),
        weight: "x".repeat(padding),
    });
    RecordChange {
        put: Some(record),
        remove: None,
    }
}

/// Faults of the network.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub jitter_micros: u64,
}

struct Packet {
    from: SocketAddrV4,
    to: SocketAddrV4,
    envelope: Envelope,
}

pub struct Network {
    pub now: Timestamp,
    pub view: ClusterView,
    pub links: BTreeMap<SocketAddrV4, DaemonLink>,
    pub outputs: BTreeMap<SocketAddrV4, Vec<LinkOutput>>,
    /// Versions after each change of each daemon's view.
    pub versions: BTreeMap<SocketAddrV4, Vec<u64>>,
    pub cut: BTreeSet<SocketAddrV4>,
    /// Most payload bytes that one sender sent in one window.
    pub peak_window_bytes: BTreeMap<SocketAddrV4, u64>,
    pub faults: Faults,
    windows: BTreeMap<(SocketAddrV4, u64), u64>,
    root: NodeIdentity,
    relay: Relay,
    random: ChaCha8Rng,
    queue: BTreeMap<(Timestamp, u64), Packet>,
    packets: u64,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Network {
            now: Timestamp::from_millis(1_000),
            view: ClusterView::new(),
            links: BTreeMap::new(),
            outputs: BTreeMap::new(),
            versions: BTreeMap::new(),
            cut: BTreeSet::new(),
            peak_window_bytes: BTreeMap::new(),
            faults,
            windows: BTreeMap::new(),
            root: identity(ROOT_PORT, NodeRole::Control),
            relay: Relay::new(RelaySettings::default()),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            packets: 0,
        }
    }

    pub fn add(&mut self, link: DaemonLink) {
        self.links.insert(link.identity().control, link);
    }

    /// Commits one version with a policy of `padding` bytes.
    pub fn commit(&mut self, padding: usize) {
        let version = self.view.version() + 1;
        let delta = Delta {
            version,
            changes: vec![policy_change(version, padding)],
        };
        self.view.apply(&delta).expect("versions are consecutive");
        self.relay.publish(self.now, &[delta], &self.view);
        self.flush_root();
    }

    /// Sends a message from the root as the leader would.
    pub fn send_from_root(&mut self, to: SocketAddrV4, body: Body) {
        let envelope = self.root.envelope(None, body);
        self.send(self.root.control, to, envelope);
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done`, and returns how long it took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Network) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.step(start + limit), "not done after {limit:?}");
        }
        self.now.saturating_since(start)
    }

    pub fn all_up_to_date(&self) -> bool {
        self.links
            .values()
            .all(|link| link.is_current() && link.view().version() == self.view.version())
    }

    fn step(&mut self, end: Timestamp) -> bool {
        let packet = self.queue.keys().next().map(|key| key.0);
        let link = self
            .links
            .values()
            .filter_map(DaemonLink::poll_timeout)
            .min();
        let relay = self.relay.poll_timeout();
        let Some(next) = [packet, link, relay].into_iter().flatten().min() else {
            return false;
        };
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        self.deliver();
        self.handle_timeouts();
        true
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let packet = entry.remove();
            if self.cut.contains(&packet.to) || self.cut.contains(&packet.from) {
                continue;
            }
            if packet.to == self.root.control {
                self.receive_at_root(&packet);
            } else if let Some(link) = self.links.get_mut(&packet.to) {
                link.handle_control(self.now, packet.from, &packet.envelope);
                self.flush(packet.to);
            }
        }
    }

    fn receive_at_root(&mut self, packet: &Packet) {
        let sender = NodeId(packet.envelope.sender);
        let (now, from, view) = (self.now, packet.from, &self.view);
        match packet.envelope.body.as_ref().expect("a body") {
            Body::Subscribe(subscribe) => {
                self.relay
                    .handle_subscribe(now, from, sender, subscribe, view);
            }
            Body::SnapshotRequest(request) => {
                self.relay
                    .handle_snapshot_request(now, from, sender, request, view);
            }
            Body::Heartbeat(heartbeat) => self.answer(from, sender, heartbeat),
            other => panic!("the root got {other:?}"),
        }
        self.flush_root();
    }

    fn answer(&mut self, from: SocketAddrV4, sender: NodeId, heartbeat: &Heartbeat) {
        let entries = self
            .relay
            .accept_heartbeat(self.now, from, sender, heartbeat, &self.view);
        let version = self.view.version();
        let answer = |entry: &HeartbeatEntry| HeartbeatReplyEntry {
            node: entry.node,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            version,
            lease_milliseconds: LEASE_MILLISECONDS,
            registered: true,
            fenced: false,
            term: 1,
        };
        let answers = entries.iter().map(answer).collect();
        self.relay
            .handle_reply(&HeartbeatReply { entries: answers });
    }

    fn handle_timeouts(&mut self) {
        self.relay.handle_timeout(self.now);
        self.flush_root();
        let due: Vec<SocketAddrV4> = self
            .links
            .iter()
            .filter(|(_, link)| link.poll_timeout().is_some_and(|at| at <= self.now))
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            let link = self.links.get_mut(&address).expect("a known link");
            link.handle_timeout(self.now);
            self.flush(address);
        }
    }

    fn flush_root(&mut self) {
        while let Some(output) = self.relay.poll_output() {
            if let RelayOutput::Send {
                to,
                recipient,
                body,
            } = output
            {
                let envelope = self.root.envelope(Some(recipient), body);
                self.send(self.root.control, to, envelope);
            }
        }
    }

    fn flush(&mut self, address: SocketAddrV4) {
        loop {
            let link = self.links.get_mut(&address).expect("a known link");
            let version = link.view().version();
            let Some(output) = link.poll_output() else {
                return;
            };
            match output {
                LinkOutput::Send { to, envelope } => self.send(address, to, envelope),
                other => {
                    if matches!(other, LinkOutput::Changed { .. }) {
                        self.versions.entry(address).or_default().push(version);
                    }
                    self.outputs.entry(address).or_default().push(other);
                }
            }
        }
    }

    fn send(&mut self, from: SocketAddrV4, to: SocketAddrV4, envelope: Envelope) {
        self.count(from, &envelope);
        if self.random.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let jitter = self.random.random_range(0..=self.faults.jitter_micros);
            let at = self.now + Duration::from_micros(500 + jitter);
            self.packets += 1;
            let packet = Packet {
                from,
                to,
                envelope: envelope.clone(),
            };
            self.queue.insert((at, self.packets), packet);
        }
    }

    fn count(&mut self, from: SocketAddrV4, envelope: &Envelope) {
        let window = self.now.as_micros() / WINDOW.as_micros() as u64;
        let bytes = self.windows.entry((from, window)).or_default();
        *bytes += envelope.encoded_len() as u64;
        let peak = self.peak_window_bytes.entry(from).or_default();
        *peak = (*peak).max(*bytes);
    }
}
