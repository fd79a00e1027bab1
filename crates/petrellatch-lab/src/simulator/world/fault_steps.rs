//! How the steps of a schedule are taken.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::event::{Event, MachineIndex};
use super::machine::Process;
use super::operators::Intent;
use super::transport::OPERATORS;
use super::world::World;
use crate::simulator::engine::disk::CrashOutcome;
use crate::simulator::mutation::Mutation;
use crate::simulator::schedule::action::{
    Action, CutDirection, Fault, OperatorStep, PlannedWork, Target,
};

impl World {
    /// Takes a step of the schedule.
    pub(super) fn take_step(&mut self, index: usize) {
        match self.schedule.steps[index].action.clone() {
            Action::Fault(fault) => self.fail(fault),
            Action::Planned(work) => self.begin_work(&work),
            Action::Operator(step) => self.operate(&step),
        }
    }

    fn fail(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { target, down, disk } => {
                for machine in self.resolve(target) {
                    self.kill(machine, down, disk);
                }
            }
            Fault::Freeze { target, duration } => {
                for machine in self.resolve(target) {
                    self.freeze(machine, duration);
                }
            }
            Fault::Isolate {
                target,
                direction,
                duration,
            } => self.isolate(target, direction, duration),
            Fault::Cut { from, to, duration } => {
                let from = self.addresses(from);
                let to = self.addresses(to);
                let cuts = pairs(&from, &to);
                self.cut(cuts, duration);
            }
            Fault::Disturb {
                disturbance,
                duration,
            } => {
                self.network.set_disturbance(disturbance);
                self.schedule_after(duration, Event::Calm);
            }
            Fault::Drift { target, drift_ppm } => self.change_drift(target, drift_ppm),
            Fault::ReuseAddress { target, after } => {
                for machine in self.resolve(target) {
                    self.replace(machine, after);
                }
            }
            Fault::KillServer { agent, down } => self.kill_server(agent, down),
        }
    }

    fn begin_work(&mut self, work: &PlannedWork) {
        match work {
            PlannedWork::Stop { target, down } => {
                for machine in self.resolve(*target) {
                    self.begin_stop(machine, *down);
                }
            }
            PlannedWork::Join { target } => {
                for machine in self.resolve(*target) {
                    let life = self.machines[machine].life;
                    self.restart(machine, life);
                }
            }
        }
    }

    fn operate(&mut self, step: &OperatorStep) {
        match step {
            OperatorStep::Drain { agent, draining } => self.submit(Intent::Drain {
                agent: agent % self.plan.agents(),
                draining: *draining,
            }),
            OperatorStep::Policy { service, eligible } => self.submit(Intent::Policy {
                service: service % self.plan.services.len(),
                eligible: *eligible,
            }),
            OperatorStep::Race { operators } => {
                for _ in 0..*operators {
                    self.submit(Intent::Race);
                }
            }
            OperatorStep::Burst { changes } => {
                for _ in 0..*changes {
                    let operation = self.operators.begin_burst(self.queue.now());
                    self.send_request(operation);
                }
            }
            OperatorStep::Restore => self.submit(Intent::Restore),
        }
    }

    fn begin_stop(&mut self, index: MachineIndex, down: Duration) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if machine.stopping.is_some() || !machine.is_working() {
            return;
        }
        if self.mutation == Some(Mutation::StopAtOnce) {
            self.kill(index, down, CrashOutcome::KeepsWrites);
            return;
        }
        let local = machine.local(now);
        match &mut machine.process {
            Process::Balancer(node) => node.begin_stop(local),
            Process::Agent(node) => node.begin_stop(local),
            Process::Control(node) => node.begin_stop(local),
            Process::Down => return,
        }
        machine.stopping = Some(down);
        self.settle(index);
    }

    fn freeze(&mut self, index: MachineIndex, duration: Duration) {
        let machine = &mut self.machines[index];
        if machine.is_up() {
            machine.frozen += 1;
            self.schedule_after(duration, Event::Thaw { machine: index });
        }
    }

    /// Lets a frozen process go on with what waits for it.
    pub(super) fn thaw(&mut self, index: MachineIndex) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if machine.frozen == 0 {
            return;
        }
        machine.frozen -= 1;
        if machine.frozen > 0 {
            return;
        }
        let held = std::mem::take(&mut machine.held);
        machine.wake_at = Some(now);
        self.queue.schedule(
            now,
            Event::Wake {
                machine: index,
                at: now,
            },
        );
        for input in held {
            let machine = index;
            self.queue.schedule(now, Event::Input { machine, input });
        }
    }

    fn isolate(&mut self, target: Target, direction: CutDirection, duration: Duration) {
        let inside = self.addresses(target);
        let all = self.machines.iter().map(|machine| machine.address);
        let mut outside: Vec<Ipv4Addr> = all.chain([OPERATORS]).collect();
        outside.retain(|address| !inside.contains(address));
        let mut cuts = Vec::new();
        if direction != CutDirection::Outbound {
            cuts.extend(pairs(&outside, &inside));
        }
        if direction != CutDirection::Inbound {
            cuts.extend(pairs(&inside, &outside));
        }
        self.cut(cuts, duration);
    }

    fn cut(&mut self, cuts: Vec<(Ipv4Addr, Ipv4Addr)>, duration: Duration) {
        for (from, to) in &cuts {
            self.network.cut(*from, *to);
        }
        self.schedule_after(duration, Event::Mend(cuts));
    }

    pub(super) fn mend(&mut self, cuts: &[(Ipv4Addr, Ipv4Addr)]) {
        for (from, to) in cuts {
            self.network.mend(*from, *to);
        }
    }

    fn change_drift(&mut self, target: Target, drift_ppm: i32) {
        let now = self.queue.now();
        for index in self.resolve(target) {
            let machine = &mut self.machines[index];
            machine.clock.set_drift(now, drift_ppm);
            // What the process asked for comes at another time now.
            machine.wake_at = None;
            if machine.is_working() {
                self.settle(index);
            }
        }
    }

    fn kill_server(&mut self, agent: usize, down: Duration) {
        let index = self.agent_machine(agent);
        if let Some(server) = &mut self.machines[index].server {
            server.backend.kill();
            self.settle_server(index);
            let event = Event::StartServer { machine: index };
            self.schedule_after(down, event);
        }
    }

    pub(super) fn start_server(&mut self, index: MachineIndex) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if let Some(server) = &mut machine.server {
            server.backend.start(now);
        }
    }

    fn addresses(&self, target: Target) -> Vec<Ipv4Addr> {
        if target == Target::Operators {
            return vec![OPERATORS];
        }
        let machines = self.resolve(target).into_iter();
        machines.map(|index| self.machines[index].address).collect()
    }

    /// Returns the machines that a target stands for now.
    fn resolve(&self, target: Target) -> Vec<MachineIndex> {
        let controls = self.plan.controls;
        let balancers = self.plan.balancers + self.plan.spare_balancers;
        match target {
            Target::Control(number) => vec![number % controls],
            Target::Leader => vec![self.leader().unwrap_or(0)],
            Target::Follower => {
                let leader = self.leader().unwrap_or(0);
                vec![(leader + 1) % controls]
            }
            Target::OtherFollower => {
                let leader = self.leader().unwrap_or(0);
                vec![(leader + 2) % controls]
            }
            Target::Balancer(number) => vec![controls + number % balancers],
            Target::Agent(number) => vec![self.agent_machine(number)],
            Target::Zone(zone) => (0..self.machines.len())
                .filter(|index| self.machines[*index].zone == zone % self.plan.zones)
                .collect(),
            Target::AllControl => (0..controls).collect(),
            Target::AllBalancers => (controls..controls + balancers).collect(),
            Target::Operators => Vec::new(),
        }
    }

    fn agent_machine(&self, number: usize) -> MachineIndex {
        let first = self.plan.controls + self.plan.balancers + self.plan.spare_balancers;
        first + number % self.plan.agents()
    }

    /// Returns the control replica that leads in the newest term.
    pub(super) fn leader(&self) -> Option<MachineIndex> {
        let leads = |index: &MachineIndex| {
            let node = self.machines[*index].control();
            let replica = node.map(|node| node.replica());
            let leading =
                replica.filter(|it| it.role() == petrellatch_core::consensus::Role::Leader);
            leading.map(|it| it.term())
        };
        let controls = 0..self.plan.controls;
        controls
            .filter(|index| leads(index).is_some())
            .max_by_key(|index| leads(index))
    }
}

fn pairs(from: &[Ipv4Addr], to: &[Ipv4Addr]) -> Vec<(Ipv4Addr, Ipv4Addr)> {
    let mut all = Vec::with_capacity(from.len() * to.len());
    for sender in from {
        for receiver in to.iter().filter(|receiver| *receiver != sender) {
            all.push((*sender, *receiver));
        }
    }
    all
}
