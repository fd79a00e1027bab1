//! What happens on the connections to back ends, and the end of flows.

use std::time::Duration;

use petrellatch_proto::data::{DataDatagram, ForwardKind};
use rand::RngExt;

use crate::Timestamp;
use crate::admission::BackendStage;
use crate::event::EventKind;
use crate::flow::PacketView;
use crate::identity::BackendId;

use super::agent_output::{AgentOutput, BackendEvent, FlowId};
use super::node::AgentNode;
use super::open_flow::{FlowOrigin, FlowPhase, OpenFlow};
use super::packets::CallerPacket;

/// The idle limit of a flow whose service is not known any more.
const FALLBACK_IDLE: Duration = Duration::from_secs(3_600);

impl AgentNode {
    /// Takes what happened on the connection of a flow to its back end. Events
    /// of flows that are over are ignored.
    pub fn handle_backend(&mut self, now: Timestamp, id: FlowId, event: BackendEvent) {
        if self.flows.get(id).is_none() {
            self.handle_probe_event(now, id, &event);
            return;
        }
        match event {
            BackendEvent::Connected => self.handle_connected(now, id),
            BackendEvent::ConnectFailed => self.handle_connect_failed(now, id),
            BackendEvent::Data(bytes) => self.handle_data(now, id, &bytes),
            BackendEvent::Writable => self.change(now, id, OpenFlow::handle_writable),
            BackendEvent::Finished => self.handle_finished(now, id),
            BackendEvent::Reset => self.handle_reset(now, id),
        }
    }

    /// Does what is due for one flow.
    pub(super) fn handle_flow_timeout(&mut self, now: Timestamp, id: FlowId) {
        let idle = self.idle_of(id);
        let connect_timeout = self.settings.connect_timeout;
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        let flushed = flow.is_flushed();
        let measured = flow.activity.handle_timeout(now, flushed);
        let expired = flow.time_limit(connect_timeout, idle) <= now;
        let connecting = matches!(flow.phase, FlowPhase::Connecting { .. });
        let backend = flow.backend;
        self.record_service_time(backend, measured);
        if expired && connecting {
            self.outputs.push_back(AgentOutput::Abort { flow: id });
            self.handle_connect_failed(now, id);
            return;
        }
        if expired {
            self.change(now, id, |flow| flow.abort(now));
            return;
        }
        self.settle_flow(now, id);
    }

    /// Moves a flow's bytes, counts what it uses, and ends it if it is over.
    pub(super) fn settle_flow(&mut self, now: Timestamp, id: FlowId) {
        let idle = self.idle_of(id);
        let connect_timeout = self.settings.connect_timeout;
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        flow.pump(now, id, &mut self.outputs);
        if flow.is_over() {
            self.end_flow(now, id);
            return;
        }
        if flow.is_refusing() && !flow.counted_refusing {
            flow.counted_refusing = true;
            self.refusing += 1;
        }
        let present = flow.usage();
        let before = std::mem::replace(&mut flow.counted, present);
        let backend = flow.backend;
        let deadline = flow.poll_timeout(now, connect_timeout, idle);
        self.flows.set_deadline(id, deadline);
        if let Some(local) = self.backends.get_mut(&backend)
            && before != present
        {
            local.present.adjust(before, present);
            self.report_load(now, backend);
        }
    }

    /// Forgets a flow and tells who has to know.
    pub(super) fn end_flow(&mut self, now: Timestamp, id: FlowId) {
        let Some(flow) = self.take_flow(now, id) else {
            return;
        };
        if flow.has_connection() {
            self.outputs.push_back(AgentOutput::Abort { flow: id });
        }
        self.counters.ended += 1;
        self.note_ended(now, &flow);
    }

    /// Takes a flow out of the table and out of its back end's count.
    fn take_flow(&mut self, now: Timestamp, id: FlowId) -> Option<OpenFlow> {
        let flow = self.flows.remove(id)?;
        self.refusing -= usize::from(flow.counted_refusing);
        if let Some(local) = self.backends.get_mut(&flow.backend) {
            local.present.adjust(flow.counted, Default::default());
            self.report_load(now, flow.backend);
        }
        Some(flow)
    }

    fn change(&mut self, now: Timestamp, id: FlowId, change: impl FnOnce(&mut OpenFlow)) {
        if let Some(flow) = self.flows.get_mut(id) {
            change(flow);
            self.settle_flow(now, id);
        }
    }

    fn handle_connected(&mut self, now: Timestamp, id: FlowId) {
        let buffers = self.settings.buffers;
        let seed = self.random.random();
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        let FlowPhase::Connecting { opening, .. } = &mut flow.phase else {
            return;
        };
        let opening = std::mem::take(opening);
        flow.accept(now, &opening, buffers, seed);
        let origin = flow.origin;
        let backend = flow.backend;
        self.counters.admitted += 1;
        if let FlowOrigin::Hunted { owner } = origin {
            self.confirm_hunt(now, owner, id);
        }
        self.record_works(now, backend, BackendStage::Connect);
        self.settle_flow(now, id);
    }

    /// The back end got nothing, so the flow may go elsewhere.
    fn handle_connect_failed(&mut self, now: Timestamp, id: FlowId) {
        let connecting = |flow: &OpenFlow| matches!(flow.phase, FlowPhase::Connecting { .. });
        if !self.flows.get(id).is_some_and(connecting) {
            return;
        }
        let Some(flow) = self.take_flow(now, id) else {
            return;
        };
        self.counters.connect_failures += 1;
        self.record_fails(now, flow.backend, BackendStage::Connect);
        let FlowPhase::Connecting { opening, asked } = flow.phase else {
            return;
        };
        let Some(packet) = self.reconstruct(flow.backend, opening) else {
            return;
        };
        match flow.origin {
            FlowOrigin::Hunted { owner } => {
                self.refuse_hunt(now, owner, &packet, flow.backend);
            }
            FlowOrigin::Owner => {
                let mut asked = asked;
                asked.push(flow.backend);
                self.reopen_flow(now, packet, flow.backend, asked);
            }
        }
    }

    fn handle_data(&mut self, now: Timestamp, id: FlowId, bytes: &[u8]) {
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        let is_first = !flow.is_answered();
        let backend = flow.backend;
        flow.handle_data(now, bytes);
        if is_first {
            self.record_works(now, backend, BackendStage::Answer);
        }
        self.settle_flow(now, id);
    }

    fn handle_finished(&mut self, now: Timestamp, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        flow.handle_finished();
        let measured = flow.activity.finish(now);
        let backend = flow.backend;
        self.record_service_time(backend, measured);
        self.settle_flow(now, id);
    }

    /// The connection to the back end is gone. What that means for the caller
    /// depends on whether the back end may have seen the request.
    fn handle_reset(&mut self, now: Timestamp, id: FlowId) {
        let connecting = |flow: &OpenFlow| matches!(flow.phase, FlowPhase::Connecting { .. });
        if self.flows.get(id).is_some_and(connecting) {
            self.handle_connect_failed(now, id);
            return;
        }
        let mutations = self.settings.mutations;
        let answer = self.not_run_answer(now, id);
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        flow.handle_gone();
        if flow.is_answer_finished() {
            self.settle_flow(now, id);
            return;
        }
        let fails = !flow.is_answered() && !flow.may_be_refused();
        let backend = flow.backend;
        let not_run = flow.may_be_refused() || mutations.refuse_sent_as_not_run;
        match answer {
            Some(answer) if not_run => flow.refuse(now, answer),
            _ => {
                flow.abort(now);
                self.counters.broken += 1;
            }
        }
        if fails {
            self.record_fails(now, backend, BackendStage::Answer);
        }
        self.settle_flow(now, id);
    }

    fn not_run_answer(&self, now: Timestamp, id: FlowId) -> Option<Vec<u8>> {
        let flow = self.flows.get(id)?;
        self.refusal_answer(now, flow.service)
    }

    /// Makes a packet of a flow that has to be decided about again.
    pub(super) fn reconstruct(&self, backend: BackendId, opening: Vec<u8>) -> Option<CallerPacket> {
        let view = PacketView::parse(&opening).ok()?;
        let service = self.service_of_address.get(&view.key.destination)?;
        let state = self.services.get(service)?;
        let datagram = DataDatagram {
            service: service.0,
            bucket: state.admission.bucket(&view.key).0,
            generation: state.admission.generation(),
            backend: backend.0,
            incarnation: self.identity.incarnation.0,
            hops: 0,
            kind: ForwardKind::Placed as i32,
            sender: self.identity.node.0,
            packet: opening,
        };
        self.classify(view, datagram).ok()
    }

    fn idle_of(&self, id: FlowId) -> Duration {
        let flow = self.flows.get(id);
        let state = flow.and_then(|flow| self.services.get(&flow.service));
        state.map_or(FALLBACK_IDLE, |state| state.idle())
    }

    fn record_service_time(&mut self, backend: BackendId, measured: Option<Duration>) {
        let local = self.backends.get_mut(&backend);
        if let (Some(local), Some(measured)) = (local, measured) {
            local.record_service_time(measured);
        }
    }

    fn record_works(&mut self, now: Timestamp, backend: BackendId, stage: BackendStage) {
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        if local.health.record_success(now, stage) {
            let name = local.record.name.clone();
            self.emit(EventKind::BackendReachable, name);
        }
    }

    pub(super) fn record_fails(&mut self, now: Timestamp, backend: BackendId, stage: BackendStage) {
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        if local.health.record_failure(now, stage) {
            let name = local.record.name.clone();
            self.emit(EventKind::BackendUnreachable, name);
        }
    }
}
