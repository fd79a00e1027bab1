//! The balancer's state and its interface towards the driver.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::RecordKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::dissemination::{AgentReport, DaemonLink, LinkOutput, StoredView, store_interval};
use crate::identity::Incarnation;
use crate::node::NodeIdentity;
use crate::routing::{DropReason, Router};

use super::balancer_counters::BalancerCounters;
use super::balancer_output::BalancerOutput;
use super::balancer_settings::BalancerSettings;

/// A balancer that said it stopped ends after this time even if the leader
/// does not confirm it.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// One balancer. See the [module page](super) for the guarantees.
pub struct BalancerNode {
    settings: BalancerSettings,
    identity: NodeIdentity,
    link: DaemonLink,
    router: Router,
    random: ChaCha8Rng,
    outputs: VecDeque<BalancerOutput>,
    counters: BalancerCounters,
    /// When the copy on disk has to be replaced.
    store_due: Option<Timestamp>,
    stored_at: Timestamp,
    stop: StopPhase,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopPhase {
    /// Not asked to stop.
    Running,
    /// Not ready any more, but packets are passed on until this time.
    Leaving(Timestamp),
    /// The leader was told; the process ends at this time if it does not
    /// confirm.
    GaveUp(Timestamp),
    /// The process may end.
    Stopped,
}

impl BalancerNode {
    /// Starts with a stored copy of the view, or with an empty view.
    pub fn new(
        now: Timestamp,
        settings: BalancerSettings,
        identity: NodeIdentity,
        seed: u64,
        stored: Option<StoredView>,
    ) -> Self {
        let link_settings = settings.link.clone();
        let link = DaemonLink::new(now, link_settings, identity.clone(), seed, stored);
        let mut router = Router::new(identity.node);
        router.refresh(link.view());
        BalancerNode {
            settings,
            router,
            link,
            identity,
            random: ChaCha8Rng::seed_from_u64(seed),
            outputs: VecDeque::new(),
            counters: BalancerCounters::default(),
            store_due: None,
            stored_at: now,
            stop: StopPhase::Running,
        }
    }

    /// Takes a control message.
    pub fn handle_control(&mut self, now: Timestamp, from: SocketAddrV4, envelope: Envelope) {
        self.link.handle_control(now, from, &envelope);
        self.drain_link(now);
    }

    /// Takes a caller packet from the fabric. Returns the agent's data address
    /// and the datagram for it, or none if the packet was dropped.
    pub fn handle_packet(
        &mut self,
        _now: Timestamp,
        packet: &[u8],
    ) -> Option<(SocketAddrV4, DataDatagram)> {
        self.counters.packets += 1;
        match self.route(packet) {
            Ok(routed) => {
                self.counters.forwarded += 1;
                Some(routed)
            }
            Err(reason) => {
                *self.counters.drops.entry(reason).or_default() += 1;
                None
            }
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.link.handle_timeout(now);
        self.drain_link(now);
        if self.store_due.is_some_and(|due| due <= now) {
            self.store_view(now);
        }
        self.advance_stop(now);
    }

    /// Returns when [`BalancerNode::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let candidates = [self.link.poll_timeout(), self.store_due, self.stop_due()];
        candidates.into_iter().flatten().min()
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<BalancerOutput> {
        self.outputs.pop_front()
    }

    /// Returns whether packets are passed on and the fabric should send them
    /// here.
    pub fn is_ready(&self) -> bool {
        self.link.is_current() && self.stop == StopPhase::Running
    }

    /// Starts a planned stop: the balancer says that it is not ready, and
    /// passes on what still comes for a while.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop != StopPhase::Running {
            return;
        }
        self.stop = StopPhase::Leaving(now + self.settings.stop_delay);
        self.report_stop(now, false);
    }

    /// Returns whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stop == StopPhase::Stopped
    }

    /// Returns the counters.
    pub fn counters(&self) -> &BalancerCounters {
        &self.counters
    }

    /// Returns the link to the control group.
    pub fn link(&self) -> &DaemonLink {
        &self.link
    }

    fn stop_due(&self) -> Option<Timestamp> {
        match self.stop {
            StopPhase::Leaving(due) | StopPhase::GaveUp(due) => Some(due),
            StopPhase::Running | StopPhase::Stopped => None,
        }
    }

    fn advance_stop(&mut self, now: Timestamp) {
        if self.stop_due().is_none_or(|due| due > now) {
            return;
        }
        if matches!(self.stop, StopPhase::Leaving(_)) {
            self.stop = StopPhase::GaveUp(now + GIVE_UP_TIMEOUT);
            self.report_stop(now, true);
        } else {
            self.stop = StopPhase::Stopped;
        }
    }

    fn report_stop(&mut self, now: Timestamp, stopped: bool) {
        let report = AgentReport {
            leaving: true,
            stopped,
            ..AgentReport::default()
        };
        self.link.set_report(now, report);
    }

    fn route(&self, packet: &[u8]) -> Result<(SocketAddrV4, DataDatagram), DropReason> {
        if !self.link.is_current() {
            return Err(DropReason::NotCurrent);
        }
        self.router.route(packet)
    }

    fn drain_link(&mut self, now: Timestamp) {
        while let Some(output) = self.link.poll_output() {
            match output {
                LinkOutput::Send { to, envelope } => {
                    self.outputs
                        .push_back(BalancerOutput::Send { to, envelope });
                }
                LinkOutput::Changed { keys } => self.handle_changed(now, &keys),
                LinkOutput::Fenced => self.begin_life(now),
                LinkOutput::Event(event) => self.outputs.push_back(BalancerOutput::Event(event)),
                LinkOutput::Lease(_) | LinkOutput::Current => {}
            }
        }
    }

    fn handle_changed(&mut self, now: Timestamp, keys: &[RecordKey]) {
        let due = (self.stored_at + store_interval(self.link.view())).max(now);
        self.store_due = self.store_due.or(Some(due));
        self.router.apply_changes(self.link.view(), keys);
    }

    /// A balancer holds nothing that a fenced life has to give up.
    fn begin_life(&mut self, now: Timestamp) {
        if matches!(self.stop, StopPhase::GaveUp(_) | StopPhase::Stopped) {
            self.stop = StopPhase::Stopped;
            return;
        }
        let incarnation = Incarnation(self.random.random());
        self.identity.incarnation = incarnation;
        self.link.new_life(now, incarnation);
    }

    fn store_view(&mut self, now: Timestamp) {
        self.store_due = None;
        self.stored_at = now;
        let bytes = self.link.stored_view().to_bytes();
        self.outputs.push_back(BalancerOutput::StoreView(bytes));
    }
}
