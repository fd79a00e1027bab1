//! The agent's state and its interface towards the driver.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::RecordKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::dissemination::{DaemonLink, LinkOutput, StoredView};
use crate::event::{Event, EventKind};
use crate::identity::{BackendId, BucketIndex, Incarnation, ServiceId};
use crate::node::NodeIdentity;
use crate::routing::{AgentIncarnation, DropReason};

use super::agent_counters::AgentCounters;
use super::agent_directory::AgentDirectory;
use super::agent_output::AgentOutput;
use super::agent_settings::AgentSettings;
use super::flow_table::FlowTable;
use super::local_backend::LocalBackend;
use super::maintenance::Maintenance;
use super::probes::Probes;
use super::service_state::ServiceState;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// Not asked to stop.
    Running,
    /// Nothing new is admitted; open flows are served.
    Leaving,
    /// Nothing is left to do and the lease was given up at this time.
    GaveUp(Timestamp),
    /// The process may end.
    Stopped,
}

/// One agent. See the [module page](super) for the guarantees.
pub struct AgentNode {
    pub(super) settings: AgentSettings,
    pub(super) identity: NodeIdentity,
    pub(super) link: DaemonLink,
    /// Earlier lives of this process, whose flows it still has.
    pub(super) former_lives: BTreeSet<Incarnation>,
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    pub(super) service_of_address: BTreeMap<SocketAddrV4, ServiceId>,
    pub(super) backends: BTreeMap<BackendId, LocalBackend>,
    pub(super) directory: AgentDirectory,
    pub(super) flows: FlowTable,
    /// How many of them are refused ones.
    pub(super) refusing: usize,
    pub(super) maintenance: Maintenance,
    pub(super) probes: Probes,
    pub(super) random: ChaCha8Rng,
    pub(super) outputs: VecDeque<AgentOutput>,
    pub(super) counters: AgentCounters,
    pub(super) stop: StopPhase,
}

impl AgentNode {
    /// Starts with a stored copy of the view, or with an empty view.
    pub fn new(
        now: Timestamp,
        settings: AgentSettings,
        identity: NodeIdentity,
        seed: u64,
        stored: Option<StoredView>,
    ) -> Self {
        let link_settings = settings.link.clone();
        let link = DaemonLink::new(now, link_settings, identity.clone(), seed, stored);
        let mut node = AgentNode {
            settings,
            identity,
            link,
            former_lives: BTreeSet::new(),
            services: BTreeMap::new(),
            service_of_address: BTreeMap::new(),
            backends: BTreeMap::new(),
            directory: AgentDirectory::default(),
            flows: FlowTable::default(),
            refusing: 0,
            maintenance: Maintenance::new(now),
            probes: Probes::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            outputs: VecDeque::new(),
            counters: AgentCounters::default(),
            stop: StopPhase::Running,
        };
        node.refresh(now);
        node
    }

    /// Takes a control message.
    pub fn handle_control(&mut self, now: Timestamp, from: SocketAddrV4, envelope: Envelope) {
        if !self.link.handle_control(now, from, &envelope) {
            self.handle_agent_message(now, &envelope);
        }
        self.drain_link(now);
    }

    /// Takes a datagram with a caller packet.
    pub fn handle_datagram(&mut self, now: Timestamp, datagram: DataDatagram) {
        self.counters.packets += 1;
        if let Err(reason) = self.take_packet(now, datagram) {
            self.counters.count_drop(reason);
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.link.handle_timeout(now);
        self.drain_link(now);
        for flow in self.flows.due(now) {
            self.handle_flow_timeout(now, flow);
        }
        self.send_flow_reports(now);
        self.maintain(now);
    }

    /// Returns when [`AgentNode::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let reports = self.services.values().map(|it| it.admission.poll_timeout());
        let others = [
            self.link.poll_timeout(),
            self.flows.poll_timeout(),
            Some(self.maintenance.due()),
        ];
        reports.chain(others).flatten().min()
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<AgentOutput> {
        self.outputs.pop_front()
    }

    /// Starts a planned stop: nothing new is admitted, open flows are served
    /// to their end, and then the lease is given up.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::Leaving;
            self.report_upward(now);
            self.maintain(now);
        }
    }

    /// Returns whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stop == StopPhase::Stopped
    }

    /// Takes the word of a back end that it is draining, or that it is not.
    pub fn set_backend_draining(&mut self, now: Timestamp, backend: BackendId, draining: bool) {
        if let Some(local) = self.backends.get_mut(&backend) {
            local.drains_itself = draining;
            self.report_upward(now);
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    /// Returns how many flows are open, those that only wait for late packets
    /// left out.
    pub fn open_flows(&self) -> usize {
        let flows = self.flows.iter();
        flows.filter(|(_, flow)| !flow.is_lingering()).count()
    }

    /// Returns the buckets in which this agent would admit a new flow now. The
    /// simulator checks that no bucket has two such agents.
    pub fn admitted_buckets(&self, now: Timestamp) -> Vec<(ServiceId, BucketIndex)> {
        if self.may_admit(now).is_err() {
            return Vec::new();
        }
        let services = self.services.iter();
        services
            .flat_map(|(id, state)| state.admitted_buckets().map(|bucket| (*id, bucket)))
            .collect()
    }

    /// Returns the link to the control group.
    pub fn link(&self) -> &DaemonLink {
        &self.link
    }

    /// Returns the present life of this agent.
    pub(super) fn own_life(&self) -> AgentIncarnation {
        AgentIncarnation {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
        }
    }

    /// Returns whether this life may admit flows now.
    pub(super) fn may_admit(&self, now: Timestamp) -> Result<(), DropReason> {
        if !self.link.is_current() {
            return Err(DropReason::NotCurrent);
        }
        let own = self.own_life();
        let is_member = self.link.view().is_member(own.node, own.incarnation);
        let in_time = self.link.lease_until().is_some_and(|until| now < until);
        let valid = is_member && in_time;
        if !valid && !self.settings.mutations.ignore_lease {
            return Err(DropReason::NoLease);
        }
        Ok(())
    }

    /// Sends a control message to another agent.
    pub(super) fn send(&mut self, recipient: AgentIncarnation, body: Body) {
        if let Some(address) = self.directory.find(recipient) {
            let envelope = self.identity.envelope(Some(recipient.node), body);
            let to = address.control;
            self.outputs.push_back(AgentOutput::Send { to, envelope });
        }
    }

    /// Logs an event.
    pub(super) fn emit(&mut self, kind: EventKind, subject: impl Into<String>) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(AgentOutput::Event(event));
    }

    fn drain_link(&mut self, now: Timestamp) {
        while let Some(output) = self.link.poll_output() {
            match output {
                LinkOutput::Send { to, envelope } => {
                    self.outputs.push_back(AgentOutput::Send { to, envelope });
                }
                LinkOutput::Changed { keys } => self.handle_changed(now, &keys),
                LinkOutput::Fenced => self.handle_fenced(now),
                LinkOutput::Event(event) => self.outputs.push_back(AgentOutput::Event(event)),
                LinkOutput::Lease(_) | LinkOutput::Current => {}
            }
        }
    }

    fn handle_changed(&mut self, now: Timestamp, keys: &[RecordKey]) {
        self.maintenance.view_changed();
        self.apply_changes(now, keys);
    }

    /// Goes on under a new life, with the flows that are open, unless this
    /// process stops.
    fn handle_fenced(&mut self, now: Timestamp) {
        if matches!(self.stop, StopPhase::GaveUp(_)) {
            self.stop = StopPhase::Stopped;
            return;
        }
        let incarnation = Incarnation(self.random.random());
        self.former_lives.insert(self.identity.incarnation);
        self.identity.incarnation = incarnation;
        self.link.new_life(now, incarnation);
        self.refresh(now);
    }
}
