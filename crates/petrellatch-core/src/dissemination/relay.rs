//! The parent side of dissemination.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::dissemination::{
    Delta, Heartbeat, HeartbeatEntry, HeartbeatReply, SnapshotRequest, Subscribe, Update,
};
use petrellatch_proto::envelope::Body;
use prost::Message;

use crate::identity::NodeId;
use crate::time::Timestamp;

use super::child::Child;
use super::delta_log::DeltaLog;
use super::disseminated_view::DisseminatedView;
use super::heartbeat_collector::HeartbeatCollector;
use super::pacer::Pacer;
use super::relay_settings::RelaySettings;
use super::routes::{Neighbour, Routes};
use super::snapshot_cache::SnapshotCache;

/// Target size of one update, in encoded bytes. A larger delta is sent alone.
const UPDATE_BYTES: usize = 8 * 1024;

/// Time between two searches for silent children.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Something for the process with the relay to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayOutput {
    /// Send to a child.
    Send {
        /// Its address.
        to: SocketAddrV4,
        /// The node that is meant.
        recipient: NodeId,
        /// The message.
        body: Body,
    },
    /// Pass combined heartbeats towards the leader.
    PassUp(Heartbeat),
}

/// Serves children out of the view of the process that it is part of. The
/// view itself stays outside and is lent to the calls that need it.
#[derive(Clone, Debug)]
pub struct Relay {
    settings: RelaySettings,
    log: DeltaLog,
    snapshots: SnapshotCache,
    children: BTreeMap<NodeId, Child>,
    queue: VecDeque<NodeId>,
    pacer: Pacer,
    collector: HeartbeatCollector,
    routes: Routes,
    next_sweep: Option<Timestamp>,
    outputs: VecDeque<RelayOutput>,
}

impl Relay {
    /// Makes a relay without children and without deltas.
    pub fn new(settings: RelaySettings) -> Self {
        Relay {
            log: DeltaLog::new(0, settings.delta_limit, settings.delta_bytes_limit),
            snapshots: SnapshotCache::default(),
            children: BTreeMap::new(),
            queue: VecDeque::new(),
            pacer: Pacer::new(settings.push_bytes_per_second, settings.push_burst_bytes),
            collector: HeartbeatCollector::default(),
            routes: Routes::default(),
            next_sweep: None,
            outputs: VecDeque::new(),
            settings,
        }
    }

    /// The view was replaced as a whole; children get what they lack from it.
    pub fn restart(&mut self, now: Timestamp, view: &impl DisseminatedView) {
        self.log.restart(view.version());
        self.snapshots = SnapshotCache::default();
        self.push_to_all(now, view);
    }

    /// These deltas led to `view`; they are pushed to the children.
    pub fn publish(&mut self, now: Timestamp, deltas: &[Delta], view: &impl DisseminatedView) {
        if deltas.is_empty() {
            return;
        }
        self.adapt_log(view);
        for delta in deltas {
            self.log.push(delta.clone());
        }
        self.push_to_all(now, view);
    }

    /// A child asks for everything newer than its version.
    pub fn handle_subscribe(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        subscribe: &Subscribe,
        view: &impl DisseminatedView,
    ) {
        if let Some(child) = self.admit_child(now, from, sender, subscribe.version) {
            child.subscribe(subscribe.version);
            self.enqueue(sender);
            self.prepare_snapshot(view);
            self.pump(now);
        }
    }

    /// A child lacks parts of a snapshot. If the snapshot is gone, the child
    /// gets the newest one instead.
    pub fn handle_snapshot_request(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        request: &SnapshotRequest,
        view: &impl DisseminatedView,
    ) {
        let count = self.snapshots.part_count(request.version);
        let Some(child) = self.admit_child(now, from, sender, 0) else {
            return;
        };
        match count {
            Some(count) => {
                let parts = request.parts.iter().copied();
                child.want_parts(request.version, parts.filter(|part| *part < count));
            }
            None => child.subscribe(child.acknowledged()),
        }
        self.enqueue(sender);
        self.prepare_snapshot(view);
        self.pump(now);
    }

    /// Heartbeats from a child, or passed on by one, that go on towards the
    /// leader.
    pub fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        heartbeat: &Heartbeat,
        view: &impl DisseminatedView,
    ) {
        for entry in self.accept_heartbeat(now, from, sender, heartbeat, view) {
            self.collector.insert(now, entry);
        }
    }

    /// Takes note of heartbeats and returns the entries that are new, for a
    /// process that doesn't pass them on but answers them: the leader.
    pub fn accept_heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        heartbeat: &Heartbeat,
        view: &impl DisseminatedView,
    ) -> Vec<HeartbeatEntry> {
        let own = |entry: &&HeartbeatEntry| entry.node == sender.0;
        if let Some(entry) = heartbeat.entries.iter().find(own) {
            self.acknowledge(now, from, sender, entry.version, view);
            if !self.children.contains_key(&sender) {
                return Vec::new();
            }
        }
        let neighbour = Neighbour {
            node: sender,
            address: from,
        };
        let entries = heartbeat.entries.iter();
        entries
            .filter(|entry| self.routes.observe(now, neighbour, entry))
            .cloned()
            .collect()
    }

    /// Answers from the leader go down the way the heartbeats came.
    pub fn handle_reply(&mut self, reply: &HeartbeatReply) {
        for (neighbour, part) in self.routes.split(&reply.entries) {
            self.outputs.push_back(RelayOutput::Send {
                to: neighbour.address,
                recipient: neighbour.node,
                body: Body::HeartbeatReply(part),
            });
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        for heartbeat in self.collector.handle_timeout(now) {
            self.outputs.push_back(RelayOutput::PassUp(heartbeat));
        }
        if self.next_sweep.is_some_and(|at| at <= now) {
            self.sweep(now);
        }
        self.pump(now);
    }

    /// When [`Relay::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let push = (!self.queue.is_empty()).then(|| self.pacer.ready_at());
        let candidates = [push, self.collector.due(), self.next_sweep];
        candidates.into_iter().flatten().min()
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<RelayOutput> {
        self.outputs.pop_front()
    }

    /// How many children are served.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    fn acknowledge(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        version: u64,
        view: &impl DisseminatedView,
    ) {
        let is_new = !self.children.contains_key(&sender);
        let newest = self.log.newest();
        let Some(child) = self.admit_child(now, from, sender, version) else {
            return;
        };
        child.acknowledge(version);
        if is_new && version < newest {
            self.enqueue(sender);
            self.prepare_snapshot(view);
            self.pump(now);
        }
    }

    fn admit_child(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        version: u64,
    ) -> Option<&mut Child> {
        let is_full = self.children.len() >= self.settings.child_limit;
        if is_full && !self.children.contains_key(&sender) {
            return None;
        }
        self.next_sweep.get_or_insert(now + SWEEP_INTERVAL);
        let child = self
            .children
            .entry(sender)
            .or_insert_with(|| Child::new(from, version));
        child.touch(now, from);
        Some(child)
    }

    /// A log of more deltas than there are records is no use: a snapshot is
    /// smaller. A log that is too short makes all daemons fetch snapshots when
    /// the fleet starts or restarts, which makes a few versions for each.
    fn adapt_log(&mut self, view: &impl DisseminatedView) {
        let settings = &self.settings;
        let records = view.record_count();
        let (deltas, bytes) = if records > settings.delta_limit {
            let limit = settings.large_delta_limit.min(records);
            (limit, settings.large_delta_bytes_limit)
        } else {
            (settings.delta_limit, settings.delta_bytes_limit)
        };
        self.log.set_limits(deltas, bytes);
    }

    fn push_to_all(&mut self, now: Timestamp, view: &impl DisseminatedView) {
        let children: Vec<NodeId> = self.children.keys().copied().collect();
        for child in children {
            self.enqueue(child);
        }
        self.prepare_snapshot(view);
        self.pump(now);
    }

    fn enqueue(&mut self, node: NodeId) {
        if let Some(child) = self.children.get_mut(&node)
            && child.start_waiting()
        {
            self.queue.push_back(node);
        }
    }

    /// Makes sure that a snapshot is at hand, with all deltas after it, if a
    /// waiting child is too far behind for deltas.
    fn prepare_snapshot(&mut self, view: &impl DisseminatedView) {
        if self.log.newest() != view.version() {
            self.log.restart(view.version());
        }
        let at_hand = self
            .snapshots
            .newest_version()
            .is_some_and(|version| self.log.covers(version));
        if at_hand {
            return;
        }
        let needed = self.queue.iter().any(|node| {
            let child = self.children.get(node);
            child.is_some_and(|child| child.sent() < self.log.base())
        });
        if needed {
            self.snapshots.insert(view);
        }
    }

    /// Serves waiting children in turn, one message each, while the pacer
    /// allows it.
    fn pump(&mut self, now: Timestamp) {
        while self.pacer.is_ready(now) {
            let Some(node) = self.queue.pop_front() else {
                return;
            };
            self.serve(now, node);
        }
    }

    fn serve(&mut self, now: Timestamp, node: NodeId) {
        let Some(child) = self.children.get_mut(&node) else {
            return;
        };
        child.stop_waiting();
        let Some(body) = next_message(child, &self.log, &self.snapshots) else {
            return;
        };
        let more = child.wants_more(self.log.newest());
        let to = child.address();
        self.pacer.take(now, encoded_bytes(&body));
        self.outputs.push_back(RelayOutput::Send {
            to,
            recipient: node,
            body,
        });
        if more {
            self.enqueue(node);
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        let limit = now - self.settings.child_silence_limit;
        self.children.retain(|_, child| child.seen() >= limit);
        self.routes.forget_before(limit);
        self.next_sweep = (!self.children.is_empty()).then(|| now + SWEEP_INTERVAL);
    }
}

fn next_message(child: &mut Child, log: &DeltaLog, snapshots: &SnapshotCache) -> Option<Body> {
    if child.needs_snapshot(log.base()) {
        let version = snapshots.newest_version()?;
        let parts: BTreeSet<u32> = (0..snapshots.part_count(version)?).collect();
        child.begin_snapshot(version, parts);
    }
    if let Some((version, part)) = child.next_part() {
        return snapshots.part(version, part).map(Body::SnapshotPart);
    }
    let base = child.sent();
    let deltas = log.after(base, UPDATE_BYTES);
    if deltas.is_empty() && !child.take_subscribed() {
        return None;
    }
    child.advance(base + deltas.len() as u64);
    Some(Body::Update(Update { base, deltas }))
}

fn encoded_bytes(body: &Body) -> usize {
    const ENVELOPE_BYTES: usize = 48;
    let content = match body {
        Body::Update(update) => update.encoded_len(),
        Body::SnapshotPart(part) => part.encoded_len(),
        _ => 0,
    };
    ENVELOPE_BYTES + content
}
