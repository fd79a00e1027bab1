//! A control node that leads alone, on a virtual clock, with daemons that
//! answer at once.

use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::consensus::{
    EntryPayload, LogEntry, Membership, PersistentState, ReplicaId, ReplicaStart,
};
use petrellatch_core::control::{ControlNode, ControlOutput, ControlSettings, OperatorRequest};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::membership::MembershipSettings;
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::command::{Command, CommandKind, Edit, EditKind, OperatorChange};
use petrellatch_proto::dissemination::{Heartbeat, HeartbeatEntry, Subscribe};
use petrellatch_proto::envelope::Body;
use petrellatch_proto::record::NodeRole;
use prost::Message;

use crate::workload::agent_name;

/// Heartbeats in one message, as a relay combines them.
const HEARTBEATS_OF_MESSAGE: usize = 32;

/// Time between two rounds of heartbeats.
const ROUND: Duration = Duration::from_secs(1);

const MAX_ROUNDS: u32 = 3_000;

/// Processor time of the leader.
#[derive(Clone, Copy, Default)]
pub struct Measured {
    pub total: Duration,
    /// Of this, for heartbeats.
    pub heartbeats: Duration,
    pub longest: Duration,
}

impl AddAssign for Measured {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.heartbeats += other.heartbeats;
        self.longest = self.longest.max(other.longest);
    }
}

struct Daemon {
    identity: NodeIdentity,
    sequence: u64,
}

pub struct Leader {
    node: ControlNode,
    disk: PersistentState,
    now: Timestamp,
    daemons: BTreeMap<NodeId, Daemon>,
    spent: Measured,
    requests: u64,
    /// Placements that were set.
    pub placements: u64,
    /// Placements that were settled.
    pub settled: u64,
    /// Encoded bytes of all deltas that a child was sent.
    pub delta_bytes: usize,
}

impl Leader {
    pub fn start() -> Self {
        let now = Timestamp::from_millis(1_000);
        let disk = PersistentState::default();
        let mut leader = Leader {
            node: start_node(now, disk.clone()),
            disk,
            now,
            daemons: BTreeMap::new(),
            spent: Measured::default(),
            requests: 0,
            placements: 0,
            settled: 0,
            delta_bytes: 0,
        };
        leader.flush();
        leader.run_for(Duration::from_secs(5));
        leader
    }

    /// Starts the node again from its disk, so that a new term begins.
    pub fn restart(&mut self) {
        self.node = start_node(self.now, self.disk.clone());
        self.flush();
        self.run_for(Duration::from_secs(5));
    }

    /// A child asks for all deltas after the newest version.
    pub fn subscribe(&mut self) {
        let version = self.version();
        let child = self.daemons.values().next().expect("a daemon");
        let address = child.identity.control;
        let body = Body::Subscribe(Subscribe { version });
        let envelope = child.identity.envelope(None, body);
        self.call(|node, now| node.handle_control(now, address, envelope));
        self.delta_bytes = 0;
    }

    pub fn view(&self) -> &ClusterView {
        self.node.state().view()
    }

    pub fn version(&self) -> u64 {
        self.view().version()
    }

    pub fn encode_snapshot(&self) -> Vec<u8> {
        self.node.state().encode_snapshot()
    }

    /// Returns the time that the node spends on `work`.
    pub fn measure(&mut self, work: impl FnOnce(&mut Leader)) -> Measured {
        self.spent = Measured::default();
        work(self);
        std::mem::take(&mut self.spent)
    }

    /// Submits a change and waits until it is applied.
    pub fn change(&mut self, edits: Vec<EditKind>) {
        self.requests += 1;
        let token = self.requests;
        let change = OperatorChange {
            request_id: format!("request-{token}"),
            based_on: self.node.state().config_version(),
            edits: edits
                .into_iter()
                .map(|kind| Edit { kind: Some(kind) })
                .collect(),
        };
        let before = self.node.state().config_version();
        let request = OperatorRequest::Change(change);
        self.call(|node, now| node.handle_request(now, token, request));
        assert!(self.node.state().config_version() > before, "refused");
    }

    /// Registers daemons, and waits until all are members with a lease.
    pub fn register(&mut self, members: &[NodeIdentity]) {
        for identity in members {
            let daemon = Daemon {
                identity: identity.clone(),
                sequence: 0,
            };
            self.daemons.insert(identity.node, daemon);
        }
        self.repeat_heartbeats(|leader| {
            let view = leader.view();
            view.members().count() == leader.daemons.len()
        });
    }

    /// Sends rounds of heartbeats until this many services have one
    /// generation each.
    pub fn heartbeat_until_settled(&mut self, services: usize) {
        self.repeat_heartbeats(|leader| {
            let placements = leader.view().placements();
            let settled = placements.filter(|it| it.generations.len() == 1).count();
            settled >= services
        });
    }

    /// One round of heartbeats of all daemons.
    pub fn heartbeat_all(&mut self) {
        let version = self.version();
        let view = self.node.state().view();
        let is_member = |it: &NodeIdentity| view.is_member(it.node, it.incarnation);
        let entries: Vec<HeartbeatEntry> = self
            .daemons
            .values_mut()
            .map(|daemon| {
                daemon.sequence += 1;
                let registered = is_member(&daemon.identity);
                let record = (!registered).then(|| daemon.identity.member_record());
                HeartbeatEntry {
                    node: daemon.identity.node.0,
                    incarnation: daemon.identity.incarnation.0,
                    sequence: daemon.sequence,
                    version,
                    registration: record,
                    ..HeartbeatEntry::default()
                }
            })
            .collect();
        for entries in entries.chunks(HEARTBEATS_OF_MESSAGE) {
            self.send_heartbeat(entries.to_vec());
        }
    }

    /// An agent says that it stops; its next life registers and gets its
    /// place back.
    pub fn replace_agent(&mut self, number: u32) {
        let node = NodeId::from_name(&agent_name(number));
        let version = self.version();
        let daemon = self.daemons.get_mut(&node).expect("an agent");
        daemon.sequence += 1;
        let entry = HeartbeatEntry {
            node: node.0,
            incarnation: daemon.identity.incarnation.0,
            sequence: daemon.sequence,
            version,
            stopped: true,
            ..HeartbeatEntry::default()
        };
        let next = Incarnation(daemon.identity.incarnation.0 + 1);
        daemon.identity.incarnation = next;
        self.send_heartbeat(vec![entry]);
        self.repeat_heartbeats(|leader| {
            let view = leader.view();
            let is_owner = |share: &petrellatch_proto::record::ShareRecord| {
                share.node == node.0 && share.incarnation == next.0
            };
            let agent = agent_name(number);
            let mut backends = view.backends().filter(|it| it.agent == agent);
            backends.all(|backend| {
                let service = petrellatch_core::identity::ServiceId(backend.service);
                let generations = &view.placement(service).expect("placed").generations;
                let newest = generations.last().expect("a generation");
                let is_placed = backend.draining || newest.shares.iter().any(is_owner);
                is_placed && generations.len() == 1
            })
        });
    }

    /// Lets time pass in which there are only heartbeats.
    pub fn run_quietly(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.heartbeat_all();
            self.run_for(ROUND);
        }
    }

    /// Lets virtual time pass without input.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(due) = self.node.poll_timeout().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.call(ControlNode::handle_timeout);
        }
        self.now = end;
    }

    fn repeat_heartbeats(&mut self, done: impl Fn(&Leader) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if done(self) {
                return;
            }
            self.heartbeat_all();
            self.run_for(ROUND);
        }
        panic!("not done after {MAX_ROUNDS} rounds");
    }

    fn send_heartbeat(&mut self, entries: Vec<HeartbeatEntry>) {
        // Nobody's own entry: the message comes from a relay in between.
        let sender = self.daemons.values().next().expect("a daemon");
        let relay = sender.identity.control;
        let relay_identity = NodeIdentity {
            node: NodeId::from_name("relay"),
            ..sender.identity.clone()
        };
        let envelope = relay_identity.envelope(None, Body::Heartbeat(Heartbeat { entries }));
        let before = self.spent.total;
        self.call(|node, now| node.handle_control(now, relay, envelope));
        self.spent.heartbeats += self.spent.total.saturating_sub(before);
    }

    fn call(&mut self, input: impl FnOnce(&mut ControlNode, Timestamp)) {
        let started = Instant::now();
        input(&mut self.node, self.now);
        self.note(started);
        self.flush();
    }

    /// Disks are infinitely fast, and what is sent is lost.
    fn flush(&mut self) {
        while let Some(output) = self.node.poll_output() {
            match output {
                ControlOutput::Persist(request) => {
                    self.count(&request.entries);
                    self.disk.apply(&request);
                    let started = Instant::now();
                    self.node.handle_persisted(self.now, request.ticket);
                    self.note(started);
                }
                ControlOutput::Send { envelope, .. } => {
                    if let Some(Body::Update(update)) = &envelope.body {
                        self.delta_bytes += update.encoded_len();
                    }
                }
                ControlOutput::Respond { result, .. } => {
                    result.expect("the request is accepted");
                }
                _ => {}
            }
        }
    }

    /// Counts the commands of entries; the deltas hold as much.
    fn count(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            let EntryPayload::Command(bytes) = &entry.payload else {
                continue;
            };
            let command = Command::decode(bytes.as_slice()).expect("a command");
            match &command.kind {
                Some(CommandKind::Batch(batch)) => {
                    let kinds = batch.commands.iter().filter_map(|it| it.kind.as_ref());
                    kinds.for_each(|kind| self.count_command(kind));
                }
                Some(kind) => self.count_command(kind),
                None => {}
            }
        }
    }

    fn count_command(&mut self, kind: &CommandKind) {
        match kind {
            CommandKind::SetPlacement(_) => self.placements += 1,
            CommandKind::SettlePlacement(_) => self.settled += 1,
            _ => {}
        }
    }

    fn note(&mut self, started: Instant) {
        let elapsed = started.elapsed();
        self.spent.total += elapsed;
        self.spent.longest = self.spent.longest.max(elapsed);
    }
}

fn start_node(now: Timestamp, persisted: PersistentState) -> ControlNode {
    let identity = NodeIdentity {
        name: "control-0".to_owned(),
        node: NodeId::from_name("control-0"),
        incarnation: Incarnation(1),
        zone: "zone-00".to_owned(),
        role: NodeRole::Control,
        control: "127.0.0.1:1".parse().expect("an address"),
        data: "127.0.0.1:1".parse().expect("an address"),
    };
    let id = ReplicaId {
        node: identity.node,
        incarnation: identity.incarnation,
    };
    let start = ReplicaStart {
        id: id.node,
        incarnation: id.incarnation,
        seed: 1,
        persisted,
        bootstrap: Some(Membership::of_voters([id])),
    };
    // The rate limit would make the virtual time long, not the work less.
    let settings = ControlSettings {
        membership: MembershipSettings {
            registrations_per_second: 1_000,
            ..MembershipSettings::default()
        },
        ..ControlSettings::default()
    };
    ControlNode::new(now, settings, identity, start)
}
