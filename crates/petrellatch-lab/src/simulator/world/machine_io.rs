//! What reaches processes and back ends, and what they do then.

use std::time::Duration;

use petrellatch_core::agent_node::{AgentOutput, BackendEvent, FlowId};
use petrellatch_core::balancer_node::BalancerOutput;
use petrellatch_core::control::ControlOutput;
use petrellatch_core::membership::PlatformMachine;
use rand::RngExt;

use super::event::{Event, MachineIndex, ProcessInput, ServerInput};
use super::machine::Process;
use super::server::{connection_id, flow_of};
use super::world::World;
use crate::simulator::engine::VirtualTime;
use crate::simulator::mutation::Mutation;
use crate::simulator::workload::backend::ConnectionId;

/// How long anything takes between an agent and its back end.
const LOCAL_DELAY: Duration = Duration::from_micros(30);

/// Inputs that wait for a frozen process; later ones are lost, as from a full
/// socket buffer.
const HELD_LIMIT: usize = 2_000;

impl World {
    /// Hands an input to the process of a machine.
    pub(super) fn deliver(&mut self, index: MachineIndex, input: ProcessInput) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if machine.frozen > 0 {
            if machine.held.len() < HELD_LIMIT {
                machine.held.push(input);
            }
            return;
        }
        let local = machine.local(now);
        let life = machine.life;
        match (&mut machine.process, input) {
            (Process::Control(node), ProcessInput::Control { from, envelope }) => {
                node.handle_control(local, from, *envelope);
            }
            (Process::Control(node), ProcessInput::Request { token, request }) => {
                node.handle_request(local, token, *request);
            }
            (Process::Control(node), ProcessInput::Synced { life: asked }) if asked == life => {
                if let Some(ticket) = machine.control_disk.sync_oldest() {
                    node.handle_persisted(local, ticket.ticket);
                }
            }
            (Process::Balancer(node), ProcessInput::Control { from, envelope }) => {
                node.handle_control(local, from, *envelope);
            }
            (Process::Balancer(node), ProcessInput::Packet(packet)) => {
                if let Some((to, datagram)) = node.handle_packet(local, &packet) {
                    self.send_datagram(index, to, datagram);
                }
                return;
            }
            (Process::Agent(node), ProcessInput::Control { from, envelope }) => {
                node.handle_control(local, from, *envelope);
            }
            (Process::Agent(node), ProcessInput::Datagram(datagram)) => {
                node.handle_datagram(local, *datagram);
            }
            (
                Process::Agent(node),
                ProcessInput::Backend {
                    life: asked,
                    flow,
                    event,
                },
            ) if asked == life => {
                let server = machine.server.as_mut();
                let id = connection_id(life, flow);
                let event = server.and_then(|server| server.read(id, event));
                if let Some(event) = event {
                    node.handle_backend(local, flow, event);
                }
            }
            (Process::Agent(node), ProcessInput::Readable { life: asked, flow })
                if asked == life =>
            {
                let server = machine.server.as_mut();
                let id = connection_id(life, flow);
                let waiting = server.and_then(|server| server.read_waiting(id));
                if let Some((event, has_more)) = waiting {
                    node.handle_backend(local, flow, event);
                    if has_more {
                        self.read_on(index, flow);
                    }
                }
            }
            (Process::Balancer(_) | Process::Agent(_), ProcessInput::Synced { life: asked })
                if asked == life =>
            {
                machine.view_disk.sync_oldest();
            }
            _ => return,
        }
        self.settle(index);
    }

    /// Calls a process that wanted it.
    pub(super) fn wake(&mut self, index: MachineIndex, at: VirtualTime) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if machine.wake_at != Some(at) || machine.frozen > 0 {
            return;
        }
        machine.wake_at = None;
        let local = machine.local(now);
        match &mut machine.process {
            Process::Down => return,
            Process::Control(node) => node.handle_timeout(local),
            Process::Balancer(node) => node.handle_timeout(local),
            Process::Agent(node) => node.handle_timeout(local),
        }
        self.settle(index);
    }

    /// Gives the platform's list to a control replica.
    pub(super) fn give_platform_list(&mut self, index: MachineIndex, list: Vec<PlatformMachine>) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        if machine.frozen > 0 {
            return;
        }
        let local = machine.local(now);
        if let Process::Control(node) = &mut machine.process {
            node.handle_platform_list(local, list);
            self.settle(index);
        }
    }

    /// Carries out what a process wants, and calls it again when it wants.
    pub(super) fn settle(&mut self, index: MachineIndex) {
        match self.machines[index].process {
            Process::Down => return,
            Process::Control(_) => self.drain_control(index),
            Process::Balancer(_) => self.drain_balancer(index),
            Process::Agent(_) => self.drain_agent(index),
        }
        let now = self.queue.now();
        self.invariants.check_machine(now, index, &self.machines);
        if self.machines[index].stopping.is_some() && self.machines[index].is_stopped() {
            self.finish_stop(index);
            return;
        }
        self.schedule_wake(index);
    }

    fn schedule_wake(&mut self, index: MachineIndex) {
        let now = self.queue.now();
        let machine = &mut self.machines[index];
        let Some(due) = machine.poll_timeout() else {
            return;
        };
        let at = machine.clock.virtual_time(due).max(now + LOCAL_DELAY);
        if machine.wake_at.is_none_or(|wake_at| wake_at > at) {
            machine.wake_at = Some(at);
            self.queue.schedule(at, Event::Wake { machine: index, at });
        }
    }

    fn drain_control(&mut self, index: MachineIndex) {
        loop {
            let Process::Control(node) = &mut self.machines[index].process else {
                return;
            };
            let Some(output) = node.poll_output() else {
                return;
            };
            match output {
                ControlOutput::Send { to, envelope } => self.send_control(index, to, envelope),
                ControlOutput::Persist(request) => {
                    self.machines[index].control_disk.write(request);
                    self.schedule_sync(index);
                }
                ControlOutput::Respond { token, result } => {
                    self.send_response(index, token, result);
                }
                ControlOutput::Event(event) => self.log(index, &event),
                ControlOutput::Failed { message } => {
                    let now = self.queue.now();
                    let name = self.machines[index].name.clone();
                    self.invariants.report_failure(now, &name, &message);
                    self.machines[index].process = Process::Down;
                    return;
                }
            }
        }
    }

    fn drain_balancer(&mut self, index: MachineIndex) {
        loop {
            let Process::Balancer(node) = &mut self.machines[index].process else {
                return;
            };
            let Some(output) = node.poll_output() else {
                return;
            };
            match output {
                BalancerOutput::Send { to, envelope } => self.send_control(index, to, envelope),
                BalancerOutput::StoreView(bytes) => self.store_view(index, bytes),
                BalancerOutput::Event(event) => self.log(index, &event),
            }
        }
    }

    fn drain_agent(&mut self, index: MachineIndex) {
        loop {
            let Process::Agent(node) = &mut self.machines[index].process else {
                return;
            };
            let Some(output) = node.poll_output() else {
                return;
            };
            match output {
                AgentOutput::Send { to, envelope } => self.send_control(index, to, envelope),
                AgentOutput::Forward { to, datagram } => self.send_datagram(index, to, datagram),
                AgentOutput::Packet(packet) => self.send_to_caller(index, packet),
                AgentOutput::Connect { flow, .. } => {
                    self.send_to_server(index, flow, ServerInput::Open);
                }
                AgentOutput::Write { flow, bytes } => {
                    self.send_to_server(index, flow, ServerInput::Write(bytes));
                }
                AgentOutput::Finish { flow } => {
                    self.send_to_server(index, flow, ServerInput::Finish);
                }
                AgentOutput::Abort { flow } => {
                    self.send_to_server(index, flow, ServerInput::Abort);
                }
                AgentOutput::PauseReading { flow } => self.pause_reading(index, flow),
                AgentOutput::ResumeReading { flow } => self.resume_reading(index, flow),
                AgentOutput::StoreView(bytes) => self.store_view(index, bytes),
                AgentOutput::Event(event) => self.log(index, &event),
            }
        }
    }

    fn store_view(&mut self, index: MachineIndex, bytes: Vec<u8>) {
        self.machines[index].view_disk.write(bytes);
        self.schedule_sync(index);
    }

    fn schedule_sync(&mut self, machine: MachineIndex) {
        let input = ProcessInput::Synced {
            life: self.machines[machine].life,
        };
        self.schedule_after(self.plan.sync_time, Event::Input { machine, input });
    }

    fn send_to_server(&mut self, machine: MachineIndex, flow: FlowId, input: ServerInput) {
        let connection = connection_id(self.machines[machine].life, flow);
        let event = Event::Server {
            machine,
            connection,
            input,
        };
        self.schedule_after(LOCAL_DELAY, event);
    }

    /// Hands to a back end what an agent did.
    pub(super) fn deliver_to_server(
        &mut self,
        index: MachineIndex,
        connection: ConnectionId,
        input: ServerInput,
    ) {
        let now = self.queue.now();
        let Some(server) = &mut self.machines[index].server else {
            return;
        };
        match input {
            ServerInput::Open => server.backend.handle_open(connection),
            ServerInput::Write(bytes) => {
                server.backend.handle_data(now, connection, &bytes);
                let (life, flow) = flow_of(connection);
                self.read_from_server(index, life, flow, BackendEvent::Writable);
            }
            ServerInput::Finish => server.backend.handle_finish(now, connection),
            ServerInput::Abort => {
                server.forget(connection);
                server.backend.handle_abort(now, connection);
            }
        }
        self.settle_server(index);
    }

    pub(super) fn wake_server(&mut self, index: MachineIndex) {
        let now = self.queue.now();
        let Some(server) = &mut self.machines[index].server else {
            return;
        };
        server.wake_at = None;
        server.backend.handle_timeout(now);
        self.settle_server(index);
    }

    /// Carries out what a back end does, and calls it again when it wants.
    pub(super) fn settle_server(&mut self, index: MachineIndex) {
        while let Some((connection, events)) = self.poll_server(index) {
            let (life, flow) = flow_of(connection);
            for event in events {
                self.read_from_server(index, life, flow, event);
            }
        }
        let now = self.queue.now();
        let Some(server) = &mut self.machines[index].server else {
            return;
        };
        let Some(due) = server.backend.poll_timeout() else {
            return;
        };
        let at = due.max(now);
        if server.wake_at.is_none_or(|wake_at| wake_at > at) {
            server.wake_at = Some(at);
            self.queue
                .schedule(at, Event::ServerWake { machine: index });
        }
    }

    fn poll_server(&mut self, index: MachineIndex) -> Option<(ConnectionId, Vec<BackendEvent>)> {
        self.machines[index].server.as_mut()?.poll_events()
    }

    fn read_from_server(
        &mut self,
        machine: MachineIndex,
        life: u64,
        flow: FlowId,
        mut event: BackendEvent,
    ) {
        if self.mutation == Some(Mutation::AlterAnswers) {
            self.alter(&mut event);
        }
        let input = ProcessInput::Backend { life, flow, event };
        self.schedule_after(LOCAL_DELAY, Event::Input { machine, input });
    }

    fn alter(&mut self, event: &mut BackendEvent) {
        if let BackendEvent::Data(bytes) = event
            && self.random.random_ratio(1, 50)
            && let Some(last) = bytes.last_mut()
        {
            *last = !*last;
        }
    }

    fn pause_reading(&mut self, index: MachineIndex, flow: FlowId) {
        let machine = &mut self.machines[index];
        let connection = connection_id(machine.life, flow);
        if let Some(server) = &mut machine.server {
            server.pause(connection);
        }
    }

    fn resume_reading(&mut self, index: MachineIndex, flow: FlowId) {
        let machine = &mut self.machines[index];
        let connection = connection_id(machine.life, flow);
        let Some(server) = &mut machine.server else {
            return;
        };
        if server.resume(connection) {
            self.read_on(index, flow);
        }
    }

    fn read_on(&mut self, machine: MachineIndex, flow: FlowId) {
        let life = self.machines[machine].life;
        let input = ProcessInput::Readable { life, flow };
        self.schedule_after(LOCAL_DELAY, Event::Input { machine, input });
    }
}
