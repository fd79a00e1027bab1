//! The fleet and its events.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use petrellatch_core::consensus::Membership;
use petrellatch_core::membership::PlatformMachine;
use petrellatch_proto::record::NodeRole;
use rand::RngExt;

use super::callers::{AttemptRecord, Callers};
use super::event::{Event, MachineIndex};
use super::fabric::Fabric;
use super::fleet_plan::FleetPlan;
use super::invariants::Invariants;
use super::machine::Machine;
use super::operator_steps::{backend_name, places};
use super::operators::{AnsweredRead, ChangeRecord, Intent, Operators};
use crate::simulator::engine::network::{Network, SiteIndex};
use crate::simulator::engine::random::{self, Random};
use crate::simulator::engine::trace::TraceHash;
use crate::simulator::engine::{EventQueue, VirtualTime};
use crate::simulator::mutation::Mutation;
use crate::simulator::scenario::Violation;
use crate::simulator::schedule::Schedule;
use crate::simulator::workload::backend::Execution;

/// Time between two looks of the fabric at the balancers.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks of an operator at the cluster.
const MONITOR_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two lists of the platform.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two checks of the costly invariants.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// When the operators create the configuration.
const SETUP_AT: Duration = Duration::from_millis(1_500);

/// A whole fleet with everything around it.
pub struct World {
    pub(super) plan: FleetPlan,
    pub(super) schedule: Schedule,
    pub(super) mutation: Option<Mutation>,
    pub(super) queue: EventQueue<Event>,
    pub(super) network: Network,
    pub(super) trace: TraceHash,
    pub(super) bootstrap: Membership,
    pub(super) machines: Vec<Machine>,
    pub(super) by_address: BTreeMap<Ipv4Addr, MachineIndex>,
    pub(super) fabric: Fabric,
    pub(super) callers: Callers,
    pub(super) operators: Operators,
    pub(super) random: Random,
    pub(super) invariants: Invariants,
    pub(super) platform_history: Vec<(VirtualTime, Vec<PlatformMachine>)>,
    prints_trace: bool,
}

impl World {
    /// Makes a fleet that is determined by its plan, schedule and seed.
    pub fn new(plan: FleetPlan, schedule: Schedule, seed: u64) -> Self {
        World::with_mutation(plan, schedule, seed, None)
    }

    /// Makes a fleet with a fault that is built in.
    pub fn with_mutation(
        plan: FleetPlan,
        schedule: Schedule,
        seed: u64,
        mutation: Option<Mutation>,
    ) -> Self {
        let clients = SiteIndex(plan.zones);
        let network = Network::new(plan.delays, clients, random::stream(seed, "network"));
        let nodes = (0..plan.controls).map(super::lifecycle::control_node);
        let operators = Operators::new(plan.clone(), nodes.collect());
        let mut world = World {
            schedule,
            mutation,
            queue: EventQueue::default(),
            network,
            trace: TraceHash::default(),
            bootstrap: Membership::default(),
            machines: Vec::new(),
            by_address: BTreeMap::new(),
            fabric: Fabric::new(random::stream(seed, "fabric")),
            callers: Callers::new(random::stream(seed, "callers")),
            operators,
            random: random::stream(seed, "machines"),
            invariants: Invariants::default(),
            platform_history: Vec::new(),
            prints_trace: false,
            plan,
        };
        if mutation == Some(Mutation::LosePlacementEdits) {
            world.operators.lose_placement_edits();
        }
        if mutation == Some(Mutation::ResetsCountAsNotRun) {
            world.callers.take_resets_for_refusals();
        }
        world.add_machines(seed);
        world.schedule_start();
        world
    }

    /// Prints every event from now on.
    pub fn print_trace(&mut self) {
        self.prints_trace = true;
    }

    /// Runs until so much time has passed since the start.
    pub fn run_until(&mut self, since_start: Duration) {
        let end = VirtualTime::ZERO + since_start;
        while let Some(event) = self.queue.pop_until(end) {
            if self.prints_trace {
                eprintln!("{} {event:?}", self.queue.now());
            }
            self.happen(event);
        }
    }

    /// Returns the time of the last event.
    pub fn now(&self) -> VirtualTime {
        self.queue.now()
    }

    /// Returns the plan.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the schedule.
    pub fn schedule(&self) -> &Schedule {
        &self.schedule
    }

    /// Returns the digest of all events.
    pub fn trace(&self) -> &TraceHash {
        &self.trace
    }

    /// Returns every try of a request that ended.
    pub fn attempts(&self) -> &[AttemptRecord] {
        self.callers.records()
    }

    /// Returns how many tries go on, and when the oldest was opened.
    pub fn unfinished_attempts(&self) -> (usize, Option<VirtualTime>) {
        let opened = self.callers.unfinished().map(|flow| flow.opened);
        (self.callers.unfinished().count(), opened.min())
    }

    /// Returns every request that a back end began to work on.
    pub fn executions(&self) -> impl Iterator<Item = &Execution> {
        let servers = self.machines.iter().filter_map(|it| it.server.as_ref());
        servers.flat_map(|server| server.backend.executions())
    }

    /// Returns the name of the back end beside an agent.
    pub fn backend_of(&self, agent: usize) -> String {
        backend_name(agent)
    }

    /// Returns the name of a back end by its number in its service.
    pub fn backend_in(&self, service: usize, number: usize) -> String {
        let places = places(&self.plan).into_iter();
        let agent = places
            .enumerate()
            .find(|(_, place)| *place == (service, number));
        agent.map_or_else(String::new, |(agent, _)| backend_name(agent))
    }

    /// Returns every change by operators.
    pub fn changes(&self) -> &[ChangeRecord] {
        self.operators.changes()
    }

    /// Returns every answered read by operators.
    pub fn reads(&self) -> &[AnsweredRead] {
        self.operators.reads()
    }

    /// Returns what broke an invariant so far.
    pub fn invariant_violations(&self) -> &[Violation] {
        self.invariants.violations()
    }

    /// Begins a change by an operator now.
    pub fn submit(&mut self, intent: Intent) {
        let operation = self.operators.begin_change(self.queue.now(), intent);
        self.send_request(operation);
    }

    /// Begins to read the whole configuration now.
    pub fn read_configuration(&mut self) {
        let operation = self.operators.begin_read(self.queue.now());
        self.send_request(operation);
    }

    /// Prints an event of a process's log together with the trace.
    pub(super) fn log(&self, machine: MachineIndex, event: &petrellatch_core::Event) {
        if self.prints_trace {
            let name = &self.machines[machine].name;
            eprintln!("{} {name}: {event:?}", self.queue.now());
        }
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.queue.schedule(self.queue.now() + delay, event);
    }

    fn schedule_start(&mut self) {
        let at = |duration: Duration| VirtualTime::ZERO + duration;
        self.queue.schedule(at(SETUP_AT), Event::Monitor);
        self.queue.schedule(at(PROBE_INTERVAL), Event::Probe);
        self.queue.schedule(at(SAMPLE_INTERVAL), Event::Sample);
        self.queue
            .schedule(at(PLATFORM_INTERVAL), Event::PlatformList);
        for service in 0..self.plan.services.len() {
            let first = at(self.plan.callers_from);
            self.queue.schedule(first, Event::Arrival { service });
        }
        for (index, step) in self.schedule.steps.iter().enumerate() {
            self.queue.schedule(at(step.at), Event::Step(index));
        }
    }

    fn happen(&mut self, event: Event) {
        let now = self.queue.now();
        self.note(now, &event);
        match event {
            Event::Input { machine, input } => self.deliver(machine, input),
            Event::Wake { machine, at } => self.wake(machine, at),
            Event::Server {
                machine,
                connection,
                input,
            } => self.deliver_to_server(machine, connection, input),
            Event::ServerWake { machine } => self.wake_server(machine),
            Event::CallerPacket(packet) => {
                if let Some(caller) = self.callers.handle_packet(now, &packet) {
                    self.advance_caller(caller);
                }
            }
            Event::CallerWake { caller, at } => self.wake_caller(caller, at),
            Event::Arrival { service } => self.arrive(service),
            Event::Retry { request } => {
                let caller = self.callers.open(now, request);
                self.advance_caller(caller);
            }
            Event::Response { token, result } => self.take_response(token, *result),
            Event::OperatorRetry { operation, sent } => self.retry_operation(operation, sent),
            Event::Monitor => self.monitor(),
            Event::Probe => self.probe(),
            Event::PlatformList => self.hand_out_platform_list(),
            Event::Sample => self.sample(),
            Event::Step(index) => self.take_step(index),
            Event::Start { machine, life } => self.restart(machine, life),
            Event::Thaw { machine } => self.thaw(machine),
            Event::Mend(cuts) => self.mend(&cuts),
            Event::Calm => self.network.set_disturbance(Default::default()),
            Event::StartServer { machine } => self.start_server(machine),
        }
    }

    fn arrive(&mut self, service: usize) {
        let now = self.queue.now();
        if now > VirtualTime::ZERO + self.plan.callers_until {
            return;
        }
        let request = self.callers.add_request(service, &self.plan);
        let caller = self.callers.open(now, request);
        self.advance_caller(caller);
        let load = self.plan.services[service].load;
        let wait = self.callers.next_arrival(&load);
        self.schedule_after(wait, Event::Arrival { service });
    }

    fn monitor(&mut self) {
        let now = self.queue.now();
        if self.operators.changes().is_empty() && now < VirtualTime::ZERO + SETUP_AT * 2 {
            self.submit(Intent::Setup);
        }
        let operation = self.operators.begin_monitor(now);
        self.send_request(operation);
        self.schedule_after(MONITOR_INTERVAL, Event::Monitor);
    }

    fn probe(&mut self) {
        let ready = (0..self.machines.len())
            .filter(|machine| self.machines[*machine].is_ready_balancer())
            .collect();
        self.fabric.set_ready(ready);
        self.schedule_after(PROBE_INTERVAL, Event::Probe);
    }

    /// Every control replica gets the list as it was some time ago.
    fn hand_out_platform_list(&mut self) {
        let now = self.queue.now();
        let list = self.platform_list();
        self.platform_history.push((now, list));
        self.schedule_after(PLATFORM_INTERVAL, Event::PlatformList);
        let lag = self.plan.platform_lag;
        let old = |entry: &&(VirtualTime, Vec<PlatformMachine>)| entry.0 + lag <= now;
        let Some((_, list)) = self.platform_history.iter().rev().find(old) else {
            return;
        };
        let list = list.clone();
        for machine in 0..self.plan.controls {
            self.give_platform_list(machine, list.clone());
        }
    }

    fn platform_list(&mut self) -> Vec<PlatformMachine> {
        let lies_ppm = self.plan.platform_lies_ppm;
        let mut list = Vec::new();
        for machine in &self.machines {
            let is_member = machine.role != NodeRole::Control && !machine.retired;
            let lies = lies_ppm > 0 && self.random.random_range(0..1_000_000) < lies_ppm;
            if is_member && machine.is_up() != lies {
                list.push(PlatformMachine {
                    name: machine.name.clone(),
                    is_leaving: machine.stopping.is_some(),
                });
            }
        }
        list
    }

    fn sample(&mut self) {
        let now = self.queue.now();
        self.invariants.check_owners(now, &self.machines);
        self.invariants.check_logs(now, &self.machines);
        self.schedule_after(SAMPLE_INTERVAL, Event::Sample);
    }
}
