//! The child side of dissemination.

mod messages;

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::{Heartbeat, SnapshotRequest, Subscribe};
use petrellatch_proto::envelope::{Body, Envelope};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cluster::ClusterView;
use crate::event::{Event, EventKind};
use crate::identity::{Incarnation, NodeId};
use crate::node::NodeIdentity;
use crate::time::Timestamp;

use super::backoff::{Backoff, jitter};
use super::disseminated_view::DisseminatedView;
use super::heartbeat_schedule::HeartbeatSchedule;
use super::lease_clock::LeaseClock;
use super::link_output::{AgentReport, LinkOutput};
use super::link_settings::LinkSettings;
use super::parent_list::ParentList;
use super::relay::{Relay, RelayOutput};
use super::snapshot_assembly::SnapshotAssembly;
use super::stored_view::StoredView;
use super::subscription::Subscription;
use super::view_updater::ViewUpdater;

/// Keeps a daemon's view up to date, sends its heartbeats and holds its
/// lease. See the [module page](super) for the guarantees.
pub struct DaemonLink<View = ClusterView> {
    identity: NodeIdentity,
    settings: LinkSettings,
    random: ChaCha8Rng,
    updater: ViewUpdater<View>,
    assembly: Option<SnapshotAssembly>,
    parents: ParentList,
    silence_deadline: Timestamp,
    subscription: Subscription,
    heartbeats: HeartbeatSchedule,
    lease: LeaseClock,
    newest_known: u64,
    required: Option<u64>,
    current: bool,
    fenced: bool,
    relay: Option<Relay>,
    outputs: VecDeque<LinkOutput>,
}

impl DaemonLink {
    /// Starts with a stored copy of the view, or with an empty view.
    pub fn new(
        now: Timestamp,
        settings: LinkSettings,
        identity: NodeIdentity,
        seed: u64,
        stored: Option<StoredView>,
    ) -> Self {
        let view = stored.map_or_else(ClusterView::new, |stored| stored.to_view());
        DaemonLink::with_view(now, settings, identity, seed, view)
    }

    /// The copy of the view to be kept on disk.
    pub fn stored_view(&self) -> StoredView {
        StoredView::of(self.view())
    }
}

impl<View: DisseminatedView> DaemonLink<View> {
    /// Starts with a view of any kind.
    pub fn with_view(
        now: Timestamp,
        settings: LinkSettings,
        identity: NodeIdentity,
        seed: u64,
        view: View,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ identity.incarnation.0);
        let backoff = Backoff::new(settings.retry_base, settings.retry_limit);
        let start = settings.start_jitter;
        let subscription = Subscription::new(now, start, backoff, &mut random);
        let first_heartbeat = now + jitter(&mut random, start);
        let offset = usize::try_from(identity.node.0 % 1_024).unwrap_or(0);
        DaemonLink {
            parents: ParentList::new(&settings.controls, offset),
            silence_deadline: first_heartbeat + settings.parent_silence_limit,
            subscription,
            heartbeats: HeartbeatSchedule::new(first_heartbeat, settings.heartbeat_interval),
            lease: LeaseClock::default(),
            newest_known: view.version(),
            required: None,
            current: settings.mutations.skip_current_check,
            fenced: false,
            relay: settings.relay.clone().map(Relay::new),
            updater: ViewUpdater::new(view, settings.mutations),
            assembly: None,
            outputs: VecDeque::new(),
            identity,
            settings,
            random,
        }
    }

    /// Takes a control message. Returns whether it was one for this link;
    /// others are for other parts of the daemon.
    pub fn handle_control(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        envelope: &Envelope,
    ) -> bool {
        let Some(body) = &envelope.body else {
            return false;
        };
        let for_link = matches!(
            body,
            Body::Update(_)
                | Body::SnapshotPart(_)
                | Body::Attach(_)
                | Body::HeartbeatReply(_)
                | Body::Subscribe(_)
                | Body::SnapshotRequest(_)
                | Body::Heartbeat(_)
        );
        if for_link && self.identity.is_recipient(envelope) {
            self.handle_body(now, from, NodeId(envelope.sender), body);
            self.drain_relay(now);
        }
        for_link
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.leave_silent_parent(now);
        if self.subscription.due().is_some_and(|due| due <= now) {
            self.send_request(now);
        }
        if self.heartbeats.due() <= now {
            self.send_heartbeat(now);
        }
        if let Some(event) = self.lease.handle_timeout(now) {
            self.emit_event(event);
        }
        if let Some(relay) = &mut self.relay {
            relay.handle_timeout(now);
        }
        self.drain_relay(now);
    }

    /// When [`DaemonLink::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let candidates = [
            Some(self.heartbeats.due()),
            Some(self.silence_deadline),
            self.subscription.due(),
            self.lease.poll_timeout(),
            self.relay.as_ref().and_then(Relay::poll_timeout),
        ];
        candidates.into_iter().flatten().min()
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<LinkOutput> {
        self.outputs.pop_front()
    }

    /// The view in force.
    pub fn view(&self) -> &View {
        self.updater.view()
    }

    /// Whether the view holds everything that was committed when this process
    /// first asked after its start.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Until when this life may admit; none if it has no lease or gave it up.
    pub fn lease_until(&self) -> Option<Timestamp> {
        let usable = !self.fenced && !self.heartbeats.is_stopped();
        self.lease.valid_until().filter(|_| usable)
    }

    /// Whether the leader has said that this life was fenced.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// The identity of the present life.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Takes what the next heartbeats tell the leader. Once `stopped` was
    /// set, it stays set for this life.
    pub fn set_report(&mut self, now: Timestamp, report: AgentReport) {
        self.heartbeats.set_report(now, report);
    }

    /// Goes on as another life of the same daemon, after the former one was
    /// fenced or stopped.
    pub fn new_life(&mut self, now: Timestamp, incarnation: Incarnation) {
        self.identity.incarnation = incarnation;
        self.fenced = false;
        self.lease = LeaseClock::default();
        self.heartbeats.begin_life(now);
    }

    fn become_current(&mut self) {
        let reached = self
            .required
            .is_some_and(|version| self.view().version() >= version);
        if reached && !self.current {
            self.current = true;
            self.outputs.push_back(LinkOutput::Current);
            let version = self.view().version();
            let event = Event::new(EventKind::BecameCurrent, format!("version {version}"));
            self.emit_event(event);
        }
    }

    fn leave_silent_parent(&mut self, now: Timestamp) {
        let patience = self.settings.parent_silence_limit * 2;
        let stuck = self
            .subscription
            .lagging_since()
            .is_some_and(|since| since + patience <= now);
        if self.silence_deadline <= now || stuck {
            self.parents.advance();
            self.use_parent(now);
        }
    }

    fn use_parent(&mut self, now: Timestamp) {
        let margin = jitter(&mut self.random, self.settings.heartbeat_interval);
        self.silence_deadline = now + self.settings.parent_silence_limit + margin;
        self.subscription.restart(now);
        self.heartbeats.hasten(now);
        if let Some(parent) = self.parents.current() {
            let event = Event::new(EventKind::ParentChanged, parent.control.to_string());
            self.emit_event(event);
        }
    }

    fn send_request(&mut self, now: Timestamp) {
        self.subscription.sent(now, &mut self.random);
        let body = match &self.assembly {
            Some(assembly) => Body::SnapshotRequest(SnapshotRequest {
                version: assembly.version(),
                parts: assembly.missing_parts(),
            }),
            None => Body::Subscribe(Subscribe {
                version: self.view().version(),
            }),
        };
        self.send_to_parent(body);
    }

    fn send_heartbeat(&mut self, now: Timestamp) {
        let version = self.view().version();
        let entry = self.heartbeats.send(now, &self.identity, version);
        self.send_to_parent(Body::Heartbeat(Heartbeat {
            entries: vec![entry],
        }));
    }

    fn drain_relay(&mut self, _now: Timestamp) {
        while let Some(output) = self.relay.as_mut().and_then(Relay::poll_output) {
            match output {
                RelayOutput::Send {
                    to,
                    recipient,
                    body,
                } => {
                    let envelope = self.identity.envelope(Some(recipient), body);
                    self.outputs.push_back(LinkOutput::Send { to, envelope });
                }
                RelayOutput::PassUp(heartbeat) => self.send_to_parent(Body::Heartbeat(heartbeat)),
            }
        }
    }

    fn send_to_parent(&mut self, body: Body) {
        let Some(parent) = self.parents.current() else {
            return;
        };
        let envelope = self.identity.envelope(parent.node, body);
        self.outputs.push_back(LinkOutput::Send {
            to: parent.control,
            envelope,
        });
    }

    fn is_lagging(&self) -> bool {
        self.newest_known > self.view().version()
    }

    fn emit_event(&mut self, event: Event) {
        self.outputs.push_back(LinkOutput::Event(event));
    }
}
