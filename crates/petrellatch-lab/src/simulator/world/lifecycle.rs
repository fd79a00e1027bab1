//! How machines come to be, die, stop and start again.

use std::net::Ipv4Addr;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentNode, AgentSettings};
use petrellatch_core::balancer_node::{BalancerNode, BalancerSettings};
use petrellatch_core::consensus::{Membership, ReplicaId, ReplicaStart};
use petrellatch_core::control::{ControlNode, ControlPeer, ControlSettings};
use petrellatch_core::dissemination::StoredView;
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::record::NodeRole;
use rand::RngExt;

use super::event::{Event, MachineIndex};
use super::fleet_plan::FleetPlan;
use super::machine::{Machine, Process};
use super::operator_steps::{agent_name, backend_name, places};
use super::server::Server;
use super::world::World;
use crate::simulator::engine::ProcessClock;
use crate::simulator::engine::disk::{CrashOutcome, SimulatedDisk};
use crate::simulator::engine::network::SiteIndex;
use crate::simulator::engine::random;
use crate::simulator::mutation::Mutation;
use crate::simulator::workload::backend::{BackendPlan, SimulatedBackend};

/// Greatest time that a machine's clock shows at its start, in microseconds.
const MAX_CLOCK_ORIGIN: u64 = 1_000_000_000;

/// Entries after which a replica that compacts often makes a snapshot.
const SMALL_LOG: u64 = 32;

/// Returns the name of a control replica.
fn control_name(index: usize) -> String {
    format!("control-{index}")
}

/// Returns the node of a control replica.
pub(super) fn control_node(index: usize) -> NodeId {
    NodeId::from_name(&control_name(index))
}

fn role_number(role: NodeRole) -> u8 {
    match role {
        NodeRole::Control => 1,
        NodeRole::Balancer => 2,
        NodeRole::Agent => 3,
    }
}

impl World {
    /// Makes all machines of the plan and starts those that run from the
    /// start: control replicas first, then balancers, then agents.
    pub(super) fn add_machines(&mut self, seed: u64) {
        for index in 0..self.plan.controls {
            self.add_machine(control_name(index), NodeRole::Control, index);
        }
        for index in 0..self.plan.balancers + self.plan.spare_balancers {
            self.add_machine(format!("balancer-{index}"), NodeRole::Balancer, index);
        }
        for (index, place) in places(&self.plan).into_iter().enumerate() {
            let machine = self.add_machine(agent_name(index), NodeRole::Agent, index);
            let service = self.served_service(index, place.0);
            let plan = backend_plan(&self.plan, index, service);
            let stream = random::stream(seed, &plan.name);
            let backend = SimulatedBackend::new(plan, stream);
            self.machines[machine].server = Some(Server::new(backend));
        }
        self.bootstrap = self.list_bootstrap();
        for machine in 0..self.machines.len() {
            if !self.is_spare(machine) {
                self.start_process(machine);
            }
        }
    }

    fn served_service(&self, agent: usize, service: usize) -> usize {
        let is_last = agent + 1 == self.plan.agents();
        if is_last && self.mutation == Some(Mutation::CrossServices) {
            return 0;
        }
        service
    }

    fn is_spare(&self, machine: MachineIndex) -> bool {
        let first = self.plan.controls + self.plan.balancers;
        (first..first + self.plan.spare_balancers).contains(&machine)
    }

    fn add_machine(&mut self, name: String, role: NodeRole, index: usize) -> MachineIndex {
        let zone = index % self.plan.zones;
        let last = u8::try_from(index + 1).expect("a fleet is small");
        let zone_number = u8::try_from(zone + 1).expect("there are few zones");
        let address = Ipv4Addr::new(10, zone_number, role_number(role), last);
        self.network.place(address, SiteIndex(zone));
        self.add_machine_at(name, role, zone, address)
    }

    fn add_machine_at(
        &mut self,
        name: String,
        role: NodeRole,
        zone: usize,
        address: Ipv4Addr,
    ) -> MachineIndex {
        let clock = self.draw_clock();
        let folder = Incarnation(random::nonzero(&mut self.random));
        self.machines.push(Machine {
            name,
            role,
            zone,
            address,
            clock,
            process: Process::Down,
            life: 0,
            frozen: 0,
            held: Vec::new(),
            wake_at: None,
            control_disk: SimulatedDisk::default(),
            folder,
            view_disk: SimulatedDisk::default(),
            server: None,
            stopping: None,
            retired: false,
        });
        let machine = self.machines.len() - 1;
        self.by_address.insert(address, machine);
        machine
    }

    fn draw_clock(&mut self) -> ProcessClock {
        let limit = self.plan.drift_ppm;
        let drift = self.random.random_range(-limit..=limit);
        let origin = self.random.random_range(0..MAX_CLOCK_ORIGIN);
        let mut clock = ProcessClock::new(Timestamp::from_micros(origin), 0);
        clock.set_drift(self.queue.now(), drift);
        clock
    }

    /// Starts the process of a machine with a new life.
    pub(super) fn start_process(&mut self, index: MachineIndex) {
        let now = self.queue.now();
        let incarnation = Incarnation(random::nonzero(&mut self.random));
        let seed = random::nonzero(&mut self.random);
        let identity = self.identity(index, incarnation);
        let local = self.machines[index].local(now);
        let process = match self.machines[index].role {
            NodeRole::Control => {
                let start = self.replica_start(index, seed);
                let settings = self.control_settings();
                Process::Control(Box::new(ControlNode::new(local, settings, identity, start)))
            }
            NodeRole::Balancer => {
                let settings = self.balancer_settings();
                let stored = self.stored_view(index);
                Process::Balancer(Box::new(BalancerNode::new(
                    local, settings, identity, seed, stored,
                )))
            }
            NodeRole::Agent => {
                let settings = self.agent_settings();
                let stored = self.stored_view(index);
                Process::Agent(Box::new(AgentNode::new(
                    local, settings, identity, seed, stored,
                )))
            }
        };
        let machine = &mut self.machines[index];
        machine.process = process;
        machine.life += 1;
        machine.wake_at = None;
        machine.stopping = None;
        self.settle(index);
    }

    fn identity(&self, index: MachineIndex, incarnation: Incarnation) -> NodeIdentity {
        let machine = &self.machines[index];
        let incarnation = match machine.role {
            NodeRole::Control => machine.folder,
            NodeRole::Balancer | NodeRole::Agent => incarnation,
        };
        NodeIdentity {
            name: machine.name.clone(),
            node: machine.node(),
            incarnation,
            zone: format!("zone-{}", machine.zone),
            role: machine.role,
            control: machine.control_address(),
            data: machine.data_address(),
        }
    }

    /// The group was formed once with the first folders of all replicas.
    fn replica_start(&mut self, index: MachineIndex, seed: u64) -> ReplicaStart {
        let machine = &self.machines[index];
        ReplicaStart {
            id: machine.node(),
            incarnation: machine.folder,
            seed,
            persisted: machine.control_disk.synced().state.clone(),
            bootstrap: Some(self.bootstrap.clone()),
        }
    }

    /// Lists the first folders of all control replicas.
    fn list_bootstrap(&self) -> Membership {
        let controls = self.machines.iter().take(self.plan.controls);
        Membership::of_voters(controls.map(|machine| ReplicaId {
            node: machine.node(),
            incarnation: machine.folder,
        }))
    }

    fn control_settings(&self) -> ControlSettings {
        let mut settings = ControlSettings {
            peers: self.control_peers(),
            ..ControlSettings::default()
        };
        if self.plan.compacts_often {
            settings.replica.compaction_threshold = SMALL_LOG;
        }
        if let Some(mutation) = self.mutation {
            settings.replica.mutations = mutation.consensus();
            settings.mutations = mutation.control();
        }
        settings
    }

    fn control_peers(&self) -> Vec<ControlPeer> {
        let controls = self.machines.iter().take(self.plan.controls);
        controls
            .map(|machine| ControlPeer {
                node: machine.node(),
                control: machine.control_address(),
            })
            .collect()
    }

    fn balancer_settings(&self) -> BalancerSettings {
        let mut settings = BalancerSettings::default();
        let peers = self.control_peers();
        settings.link.controls = peers.iter().map(|peer| peer.control).collect();
        if let Some(mutation) = self.mutation {
            settings.link.mutations = mutation.dissemination();
        }
        settings
    }

    fn agent_settings(&self) -> AgentSettings {
        let mut settings = AgentSettings::default();
        let peers = self.control_peers();
        settings.link.controls = peers.iter().map(|peer| peer.control).collect();
        if let Some(mutation) = self.mutation {
            settings.link.mutations = mutation.dissemination();
            settings.mutations = mutation.admission();
        }
        settings
    }

    fn stored_view(&self, index: MachineIndex) -> Option<StoredView> {
        let content = self.machines[index].view_disk.synced().content.as_ref()?;
        StoredView::from_bytes(content).ok()
    }

    /// Ends a process at once, with its back end, and starts it again after
    /// `down`.
    pub(super) fn kill(&mut self, index: MachineIndex, down: Duration, disk: CrashOutcome) {
        if !self.machines[index].is_up() {
            return;
        }
        let machine = &mut self.machines[index];
        machine.process = Process::Down;
        machine.held.clear();
        machine.frozen = 0;
        machine.wake_at = None;
        machine.stopping = None;
        machine.control_disk.crash(disk, &mut self.random);
        machine.view_disk.crash(disk, &mut self.random);
        if disk == CrashOutcome::LosesEverything {
            machine.folder = Incarnation(random::nonzero(&mut self.random));
        }
        if let Some(server) = &mut machine.server {
            server.backend.kill();
            while server.poll_events().is_some() {}
            server.forget_connections();
        }
        self.schedule_restart(index, down);
    }

    fn schedule_restart(&mut self, machine: MachineIndex, down: Duration) {
        let life = self.machines[machine].life;
        self.schedule_after(down, Event::Start { machine, life });
    }

    /// A planned stop is complete.
    pub(super) fn finish_stop(&mut self, index: MachineIndex) {
        let machine = &mut self.machines[index];
        let down = machine.stopping.take().unwrap_or_default();
        machine.process = Process::Down;
        machine.wake_at = None;
        let outcome = CrashOutcome::KeepsWrites;
        machine.view_disk.crash(outcome, &mut self.random);
        machine.control_disk.crash(outcome, &mut self.random);
        self.schedule_restart(index, down);
    }

    /// Starts a machine again unless it was started since.
    pub(super) fn restart(&mut self, index: MachineIndex, life: u64) {
        let now = self.queue.now();
        let machine = &self.machines[index];
        if machine.life != life || machine.is_up() || machine.retired {
            return;
        }
        let clock = self.draw_clock();
        let machine = &mut self.machines[index];
        machine.clock = clock;
        if let Some(server) = &mut machine.server {
            server.backend.start(now);
        }
        self.start_process(index);
    }

    /// Puts another node at the address of a machine that is gone for good.
    pub(super) fn replace(&mut self, index: MachineIndex, after: Duration) {
        self.kill(index, after, CrashOutcome::LosesEverything);
        let machine = &mut self.machines[index];
        machine.retired = true;
        let name = format!("{}-next", machine.name);
        let (role, zone, address) = (machine.role, machine.zone, machine.address);
        let next = self.add_machine_at(name, role, zone, address);
        self.schedule_restart(next, after);
    }
}

fn backend_plan(plan: &FleetPlan, agent: usize, service: usize) -> BackendPlan {
    let service = &plan.services[service];
    BackendPlan {
        name: backend_name(agent),
        service: service.name.to_owned(),
        slots: usize::try_from(service.slots).expect("a number of slots is small"),
        connections: usize::try_from(service.connections).expect("it is small"),
        times: plan.times,
    }
}
