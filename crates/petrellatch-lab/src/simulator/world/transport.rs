//! How messages and packets get from one place to another.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;
use prost::Message;
use rand::RngExt;

use super::event::{Event, MachineIndex, ProcessInput, RequestResult};
use super::operators::ANSWER_TIMEOUT;
use super::world::World;
use crate::simulator::engine::VirtualTime;

/// Where callers' packets enter and leave the fabric.
const FABRIC: Ipv4Addr = Ipv4Addr::new(10, 250, 0, 1);

/// Where operators are.
pub(super) const OPERATORS: Ipv4Addr = Ipv4Addr::new(10, 250, 0, 2);

impl World {
    /// Sends a control message between processes.
    pub(super) fn send_control(
        &mut self,
        from: MachineIndex,
        to: SocketAddrV4,
        envelope: Envelope,
    ) {
        let sender = self.machines[from].control_address();
        let input = ProcessInput::Control {
            from: sender,
            envelope: Box::new(envelope),
        };
        self.send_input(*sender.ip(), to, input);
    }

    /// Sends a caller packet between processes.
    pub(super) fn send_datagram(
        &mut self,
        from: MachineIndex,
        to: SocketAddrV4,
        datagram: DataDatagram,
    ) {
        let sender = self.machines[from].address;
        self.send_input(sender, to, ProcessInput::Datagram(Box::new(datagram)));
    }

    fn send_input(&mut self, from: Ipv4Addr, to: SocketAddrV4, input: ProcessInput) {
        let Some(machine) = self.by_address.get(to.ip()).copied() else {
            return;
        };
        let arrivals = self.network.send(from, *to.ip());
        if let Some(delay) = arrivals.second {
            let input = input.clone();
            self.schedule_after(delay, Event::Input { machine, input });
        }
        if let Some(delay) = arrivals.first {
            self.schedule_after(delay, Event::Input { machine, input });
        }
    }

    /// Sends a packet of a process to a caller.
    pub(super) fn send_to_caller(&mut self, from: MachineIndex, packet: Vec<u8>) {
        let arrivals = self.network.send(self.machines[from].address, FABRIC);
        if let Some(delay) = arrivals.second {
            self.schedule_after(delay, Event::CallerPacket(packet.clone()));
        }
        if let Some(delay) = arrivals.first {
            self.schedule_after(delay, Event::CallerPacket(packet));
        }
    }

    /// Sprays a packet of a caller.
    fn send_to_balancer(&mut self, packet: Vec<u8>) {
        let Some(machine) = self.fabric.pick() else {
            return;
        };
        let arrivals = self.network.send(FABRIC, self.machines[machine].address);
        if let Some(delay) = arrivals.second {
            let input = ProcessInput::Packet(packet.clone());
            self.schedule_after(delay, Event::Input { machine, input });
        }
        if let Some(delay) = arrivals.first {
            let input = ProcessInput::Packet(packet);
            self.schedule_after(delay, Event::Input { machine, input });
        }
    }

    /// Lets a caller do what it can.
    pub(super) fn advance_caller(&mut self, caller: SocketAddrV4) {
        let now = self.queue.now();
        let Some(flow) = self.callers.flow_mut(caller) else {
            return;
        };
        for packet in flow.advance(now) {
            self.send_to_balancer(packet);
        }
        if let Some((request, wait)) = self.callers.settle(now, caller) {
            self.schedule_after(wait, Event::Retry { request });
        }
        let Some(flow) = self.callers.flow_mut(caller) else {
            return;
        };
        let at = flow.poll_timeout(now).max(now + Duration::from_micros(1));
        if flow.wake_at.is_none_or(|wake_at| wake_at > at) {
            flow.wake_at = Some(at);
            self.queue.schedule(at, Event::CallerWake { caller, at });
        }
    }

    pub(super) fn wake_caller(&mut self, caller: SocketAddrV4, at: VirtualTime) {
        let Some(flow) = self.callers.flow_mut(caller) else {
            return;
        };
        if flow.wake_at == Some(at) {
            flow.wake_at = None;
            self.advance_caller(caller);
        }
    }

    /// Sends the next request of an operation.
    pub(super) fn send_request(&mut self, operation: usize) {
        let Some(sending) = self.operators.send(operation) else {
            return;
        };
        let sent = sending.sent;
        self.schedule_after(ANSWER_TIMEOUT, Event::OperatorRetry { operation, sent });
        let machine = sending.target;
        let address = self.machines[machine].address;
        if let Some(delay) = self.network.send_reliably(OPERATORS, address) {
            let input = ProcessInput::Request {
                token: sending.token,
                request: Box::new(sending.request),
            };
            self.schedule_after(delay, Event::Input { machine, input });
        }
    }

    /// Sends an answer to an operator.
    pub(super) fn send_response(&mut self, from: MachineIndex, token: u64, result: RequestResult) {
        let loss_ppm = self.plan.answer_loss_ppm;
        if loss_ppm > 0 && self.random.random_range(0..1_000_000) < loss_ppm {
            return;
        }
        let address = self.machines[from].address;
        if let Some(delay) = self.network.send_reliably(address, OPERATORS) {
            let result = Box::new(result);
            self.schedule_after(delay, Event::Response { token, result });
        }
    }

    pub(super) fn take_response(&mut self, token: u64, result: RequestResult) {
        let now = self.queue.now();
        let next = self.operators.handle_response(now, token, result);
        let Some((operation, wait)) = next else {
            return;
        };
        if wait.is_zero() {
            self.send_request(operation);
            return;
        }
        // The client waits without a request on its way.
        let sent = self.operators.sent(operation);
        self.schedule_after(wait, Event::OperatorRetry { operation, sent });
    }

    pub(super) fn retry_operation(&mut self, operation: usize, sent: u32) {
        if !self.operators.awaits(operation, sent) {
            return;
        }
        if !self.operators.was_answered(operation) {
            self.operators.turn(operation);
        }
        self.send_request(operation);
    }

    /// Adds an event to the trace.
    pub(super) fn note(&mut self, now: VirtualTime, event: &Event) {
        let trace = &mut self.trace;
        match event {
            Event::Input { machine, input } => {
                let subject = *machine as u64;
                match input {
                    ProcessInput::Control { envelope, .. } => {
                        trace.add(now, 1, subject, &envelope.encode_to_vec());
                    }
                    ProcessInput::Datagram(datagram) => {
                        trace.add(now, 2, subject, &datagram.packet);
                    }
                    ProcessInput::Packet(packet) => trace.add(now, 3, subject, packet),
                    ProcessInput::Request { token, .. } => {
                        trace.add(now, 4, subject, &token.to_be_bytes());
                    }
                    ProcessInput::Backend { flow, .. } | ProcessInput::Readable { flow, .. } => {
                        trace.add(now, 5, subject, &flow.0.to_be_bytes());
                    }
                    ProcessInput::Synced { .. } => trace.add(now, 6, subject, &[]),
                }
            }
            Event::CallerPacket(packet) => trace.add(now, 7, 0, packet),
            Event::Wake { machine, .. } => trace.add(now, 8, *machine as u64, &[]),
            Event::Server { connection, .. } => trace.add(now, 9, connection.0, &[]),
            Event::Response { token, .. } => trace.add(now, 10, *token, &[]),
            Event::Step(index) => trace.add(now, 11, *index as u64, &[]),
            _ => trace.add(now, 12, 0, &[]),
        }
    }
}
