//! Flows of previous incarnations of the back end: restart probes, which check whether such an
//! incarnation has ended, and resets for the callers of its orphaned flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{PassThroughBody, QueriedFlow, ReturnedPacket};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::admission::registration::Registration;
use crate::pass_through::digest::backend_digest;
use crate::pass_through::flows::orphaned_flows::OrphanedFlows;
use crate::pass_through::flows::recorded_flow::{
    PreviousFlowRecord, RecordedBackend, RecordedFlow,
};
use crate::pass_through::flows::restart_probe::{
    ProbedFlow, RestartProbe, RestartProbeResult, RestartProbeStep,
};
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

/// Interval between restart probes of the same flows: within it, no flow's probe packet reaches
/// the back end more than twice.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Maximum number of restart probes for one flow record. A probe is inconclusive if the back
/// end neither returns packets nor sends any, and may then be repeated.
const MAX_RECORD_PROBES: u32 = 5;

/// Previous incarnations of an agent's back end, and their flows.
#[derive(Debug, Default)]
pub(super) struct PreviousIncarnations {
    record: Option<RecoveredRecord>,
    /// Restart probe of the flows that this incarnation of the agent has seen.
    probe: Option<RestartProbe>,
    /// Whether a restart probe is needed, because the back end may have restarted.
    may_have_restarted: bool,
    /// Earliest start of the next restart probe.
    next_probe_at: Timestamp,
    /// The latest registration of the back end.
    last_registration: Option<SeenRegistration>,
    orphaned: OrphanedFlows,
}

/// The flow record of a previous incarnation of the agent.
#[derive(Debug)]
struct RecoveredRecord {
    flow_record: PreviousFlowRecord,
    recovered_at: Timestamp,
    probe: Option<RestartProbe>,
    probe_count: u32,
    next_probe_at: Timestamp,
    /// Whether the back end returned all probe packets. The flows still in the record are then
    /// those without a probe packet.
    probes_returned: bool,
}

#[derive(Clone, Copy, Debug)]
struct SeenRegistration {
    incarnation_digest: u64,
    started_at_millis: Option<u64>,
    sequence: u64,
}

impl SeenRegistration {
    fn new(registration: &Registration) -> SeenRegistration {
        SeenRegistration {
            incarnation_digest: backend_digest(&registration.id, registration.started_at_millis),
            started_at_millis: registration.started_at_millis,
            sequence: registration.sequence,
        }
    }

    /// Whether it may come from another incarnation than an earlier registration. A delayed
    /// registration looks the same.
    fn may_be_other_incarnation(&self, earlier: &SeenRegistration) -> bool {
        self.incarnation_digest != earlier.incarnation_digest || self.sequence <= earlier.sequence
    }
}

impl PreviousIncarnations {
    /// Number of restart probes in progress.
    pub(super) fn pending(&self) -> usize {
        let record = self.record.as_ref();
        let of_record = record.and_then(|record| record.probe.as_ref());
        usize::from(of_record.is_some()) + usize::from(self.probe.is_some())
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let record = self.record.as_ref();
        let of_record = record.and_then(|record| record.probe.as_ref());
        let probes = of_record.into_iter().chain(&self.probe);
        let probes = probes.map(RestartProbe::poll_timeout);
        let next_start = self.may_have_restarted.then_some(self.next_probe_at);
        probes
            .chain(next_start)
            .chain(self.orphaned.poll_timeout())
            .min()
    }

    /// Forgets a flow whose caller opens a new one from the same address and port.
    pub(super) fn forget(&mut self, id: FlowId) {
        self.orphaned.forget(id);
        self.probes_mut().for_each(|probe| probe.forget(id));
        if let Some(record) = &mut self.record {
            record.flow_record.flows.retain(|flow| flow.id != id);
        }
    }

    /// Notes that the back end sent a packet of a flow.
    pub(super) fn note_alive(&mut self, id: FlowId) {
        self.probes_mut().for_each(|probe| probe.note_alive(id));
    }

    pub(super) fn expire(&mut self, now: Timestamp, ttl: Duration) {
        self.orphaned.expire(now, ttl);
        let age = |record: &RecoveredRecord| now.saturating_since(record.recovered_at);
        self.record.take_if(|record| age(record) >= ttl);
    }

    fn probes_mut(&mut self) -> impl Iterator<Item = &mut RestartProbe> {
        let record = self.record.as_mut();
        let of_record = record.and_then(|record| record.probe.as_mut());
        of_record.into_iter().chain(self.probe.as_mut())
    }
}

impl RecoveredRecord {
    fn contains(&self, id: FlowId, acknowledged: u32) -> bool {
        let mut flows = self.flow_record.flows.iter();
        flows.any(|flow| flow.id == id && flow.owns_ack(acknowledged))
    }

    /// Starts a restart probe unless one is in progress, all probe packets were returned, or the
    /// limits on the number and interval of probes don't allow it.
    fn start_probe(&mut self, now: Timestamp, probe_packets: Vec<(FlowId, Vec<u8>)>) {
        let may_start = self.probe_count < MAX_RECORD_PROBES && now >= self.next_probe_at;
        if self.probe.is_some() || self.probes_returned || !may_start {
            return;
        }
        self.probe_count += 1;
        let probed = |flow: &RecordedFlow| {
            let mut probe_packets = probe_packets.iter();
            let probe_packet = probe_packets.find(|(id, _)| *id == flow.id);
            ProbedFlow {
                flow: *flow,
                seen_at: now,
                probe_packet: probe_packet.map(|(_, packet)| packet.clone()),
            }
        };
        let flows = self.flow_record.flows.iter().map(probed).collect();
        self.probe = Some(RestartProbe::new(now, flows));
    }
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Stores the flow record of a previous incarnation of this agent, in place of an older
    /// one.
    pub(super) fn store_previous_record(&mut self, now: Timestamp, record: PreviousFlowRecord) {
        if record.flows.is_empty() {
            return;
        }
        self.previous.record = Some(RecoveredRecord {
            flow_record: record,
            recovered_at: now,
            probe: None,
            probe_count: 0,
            next_probe_at: now,
            probes_returned: false,
        });
        if let Some(registration) = self.previous.last_registration {
            self.compare_with_record(now, registration);
        }
        self.continue_restart_probes(now);
    }

    /// Notes a registration of the back end. It may come from another incarnation than the one
    /// that owned the flows, but registrations may be delayed, so this alone shows nothing.
    pub(super) fn note_registration(&mut self, now: Timestamp, registration: &Registration) {
        let registration = SeenRegistration::new(registration);
        let previous = self.previous.last_registration.replace(registration);
        // The back end is about to stop as planned, or goes on without the agent.
        if self.stop_at.is_some() {
            return;
        }
        if previous.is_none_or(|previous| registration.may_be_other_incarnation(&previous)) {
            self.previous.may_have_restarted = true;
            self.start_probe(now);
        }
        self.compare_with_record(now, registration);
        self.continue_restart_probes(now);
    }

    /// Takes the recorded flows over if the incarnation that registers is the recorded one.
    /// Starts a restart probe if it may be another one.
    ///
    /// Without a start time, registrations of a running incarnation and of one that has just
    /// started look the same. The flows aren't taken over then, even if no probe packet is
    /// returned: the back end may be paused, and packets of flows that other back ends own
    /// would be delivered to it as the known owner.
    fn compare_with_record(&mut self, now: Timestamp, registration: SeenRegistration) {
        let Some(record) = &self.previous.record else {
            return;
        };
        let is_same = record.flow_record.backend.digest == registration.incarnation_digest;
        let is_current =
            self.registration.incarnation_digest() == Some(registration.incarnation_digest);
        let identifies_incarnation = self.registration.started_at_millis().is_some();
        match (is_same, is_current) {
            (true, true) if identifies_incarnation => self.take_over(now),
            (true, false) => {}
            (false, _) if record.probes_returned => self.orphan_recorded_flows(now),
            _ => self.start_record_probe(now),
        }
    }

    /// Whether the latest registration proves that the recorded incarnation of the back end has
    /// ended: another one has started later, or registers steadily. A delayed registration of an
    /// earlier one does neither.
    fn recorded_backend_has_ended(&self, recorded: RecordedBackend) -> bool {
        let Some(latest) = self.previous.last_registration else {
            return false;
        };
        if latest.incarnation_digest == recorded.digest {
            return false;
        }
        let started_at = latest.started_at_millis.zip(recorded.started_at_millis);
        let is_current = self.registration.incarnation_digest() == Some(latest.incarnation_digest);
        started_at.is_some_and(|(latest, recorded)| latest > recorded)
            || (is_current && self.registration.registers_steadily(self.started_at))
    }

    fn start_record_probe(&mut self, now: Timestamp) {
        let probe_packets = self.recorded_probe_packets().collect();
        if let Some(record) = &mut self.previous.record {
            record.start_probe(now, probe_packets);
        }
    }

    /// Probe packets of recorded flows, with their flows.
    fn recorded_probe_packets(&self) -> impl Iterator<Item = (FlowId, Vec<u8>)> + '_ {
        let records = self.previous.record.iter();
        let packets = records.flat_map(|record| &record.flow_record.probe_packets);
        packets.filter_map(|packet| {
            let id = self.codec.view(packet)?.flow_from_caller();
            // The caller may have opened a new flow from the same address and port.
            let is_unknown = self.flows.get(id).is_none();
            is_unknown.then(|| (id, packet.clone()))
        })
    }

    /// The probe packet of a recorded flow, if there is one.
    pub(super) fn recorded_probe_packet(&self) -> Option<Vec<u8>> {
        let (_, packet) = self.recorded_probe_packets().next()?;
        Some(packet)
    }

    /// Takes over the flows of the record as flows of the back end.
    fn take_over(&mut self, now: Timestamp) {
        let Some(recovered) = self.previous.record.take() else {
            return;
        };
        let age = now.saturating_since(recovered.recovered_at).as_millis();
        let mut taken_over = 0;
        for flow in &recovered.flow_record.flows {
            taken_over += u64::from(self.flows.take_over(now, *flow));
        }
        for packet in &recovered.flow_record.probe_packets {
            if let Some(view) = self.codec.view(packet) {
                self.flows
                    .note_probe_packet(view.flow_from_caller(), packet);
            }
        }
        self.counters.taken_over += taken_over;
        let backend = recovered.flow_record.backend.digest;
        let recorded = recovered.flow_record.flows.len();
        let subject =
            format!("backend={backend:x} flows={taken_over} recorded={recorded} record_age={age}");
        self.emit_event(EventKind::FlowsTakenOver, subject);
    }

    /// Notes a packet that the back end returned. Returns whether it shows that an open flow is
    /// orphaned.
    pub(super) fn note_returned_probe(&mut self, now: Timestamp, view: &PacketView) -> bool {
        if view.is_syn() {
            return false;
        }
        let (id, acknowledged) = (view.flow_from_caller(), view.ack_number);
        let record = self.previous.record.as_ref();
        if record.is_some_and(|record| record.contains(id, acknowledged)) {
            self.start_record_probe(now);
        }
        let known = self.flows.get(id);
        let was_open =
            known.is_some_and(|flow| flow.is_confirmed_open() && flow.owns_ack(acknowledged));
        if was_open && self.stop_at.is_none() {
            self.previous.may_have_restarted = true;
            self.start_probe(now);
        }
        let probes = self.previous.probes_mut();
        let orphaned = probes.filter_map(|probe| probe.note_returned(id, acknowledged));
        let Some(orphaned) = orphaned.last() else {
            return false;
        };
        if let Some(record) = &mut self.previous.record {
            record.flow_record.flows.retain(|flow| flow.id != id);
        }
        // If the caller sent data, its balancer resets it.
        if view.data_bytes == 0 && !view.fin {
            self.remove_orphaned_flow(now, orphaned);
        }
        true
    }

    /// Starts a restart probe of the flows that this incarnation of the agent has seen, if the
    /// back end may have restarted.
    fn start_probe(&mut self, now: Timestamp) {
        let may_start = self.previous.probe.is_none() && now >= self.previous.next_probe_at;
        if !self.previous.may_have_restarted || !may_start {
            return;
        }
        self.previous.may_have_restarted = false;
        let ttl = self.settings.flow_ttl;
        let flows = self.flows.flows_to_probe(now, ttl);
        if !flows.is_empty() {
            self.previous.probe = Some(RestartProbe::new(now, flows));
        }
    }

    /// Continues restart probes, and resets the callers of orphaned flows that are due.
    pub(super) fn continue_restart_probes(&mut self, now: Timestamp) {
        self.start_probe(now);
        if let Some(result) = self.continue_record_probe(now) {
            self.end_record_probe(now, result);
        }
        if let Some(result) = self.continue_own_probe(now) {
            self.end_own_probe(now, result);
        }
        for flow in self.previous.orphaned.take_due(now) {
            self.counters.told_at_pace += 1;
            self.reset_caller(now, flow, "pace");
        }
    }

    fn continue_record_probe(&mut self, now: Timestamp) -> Option<RestartProbeResult> {
        let record = self.previous.record.as_mut()?;
        let step = record.probe.as_mut()?.next_step(now);
        self.run_probe_step(step)
    }

    fn continue_own_probe(&mut self, now: Timestamp) -> Option<RestartProbeResult> {
        let step = self.previous.probe.as_mut()?.next_step(now);
        self.run_probe_step(step)
    }

    fn run_probe_step(&mut self, step: RestartProbeStep) -> Option<RestartProbeResult> {
        match step {
            RestartProbeStep::Wait => None,
            RestartProbeStep::Send(packets) => {
                let packets = packets.into_iter().map(PassThroughOutput::ToBackend);
                self.outputs.extend(packets);
                None
            }
            RestartProbeStep::End(result) => Some(result),
        }
    }

    fn end_record_probe(&mut self, now: Timestamp, result: RestartProbeResult) {
        let Some(record) = &mut self.previous.record else {
            return;
        };
        let probe = record.probe.take();
        record.next_probe_at = now + PROBE_INTERVAL;
        if !result.orphaned.is_empty() {
            record.flow_record.flows.clone_from(&result.orphaned);
            record.probes_returned = true;
        }
        self.note_probe_result(now, "record", probe, &result);
        match result.orphaned.is_empty() {
            true if result.has_ended => self.previous.record = None,
            false => self.orphan_recorded_flows(now),
            true => {}
        }
    }

    /// Marks the recorded flows without probe packets as orphaned, once all probe packets were
    /// returned and the recorded incarnation has certainly ended. That is required as well: flows
    /// of a running incarnation, those with probe packets among them, may have closed while this
    /// agent didn't run.
    fn orphan_recorded_flows(&mut self, now: Timestamp) {
        let backend = self
            .previous
            .record
            .as_ref()
            .map(|it| it.flow_record.backend);
        if !backend.is_some_and(|backend| self.recorded_backend_has_ended(backend)) {
            return;
        }
        let Some(recovered) = self.previous.record.take() else {
            return;
        };
        for orphaned in recovered.flow_record.flows {
            // A flow that this incarnation of the agent knows has been opened again.
            if self.flows.get(orphaned.id).is_none() {
                self.previous.orphaned.add(now, orphaned);
            }
        }
    }

    fn end_own_probe(&mut self, now: Timestamp, result: RestartProbeResult) {
        let probe = self.previous.probe.take();
        self.previous.next_probe_at = now + PROBE_INTERVAL;
        self.note_probe_result(now, "memory", probe, &result);
    }

    /// Removes a flow that the back end doesn't own. Its caller is reset at once if it awaits a
    /// response.
    fn remove_orphaned_flow(&mut self, now: Timestamp, orphaned: RecordedFlow) {
        let Some(known) = self.flows.get(orphaned.id) else {
            self.previous.orphaned.add(now, orphaned);
            return;
        };
        if !known.is_same_connection(&orphaned) || !known.is_open() {
            return;
        }
        let awaits_response = known.has_pending_request();
        let flow = RecordedFlow {
            acknowledged: known.acknowledged.unwrap_or(orphaned.acknowledged),
            ..orphaned
        };
        self.flows.remove(now, flow.id);
        self.previous.orphaned.add(now, flow);
        if awaits_response {
            self.previous.orphaned.note_notified(flow.id);
            self.counters.told_at_once += 1;
            self.reset_caller(now, flow, "request");
        }
    }

    fn note_probe_result(
        &mut self,
        now: Timestamp,
        source: &str,
        probe: Option<RestartProbe>,
        result: &RestartProbeResult,
    ) {
        let started_at = probe.map_or(now, |probe| probe.started_at);
        let waited = now.saturating_since(started_at).as_millis();
        let (flows, probe_packets) = (result.orphaned.len(), result.probes);
        let returned = result.returned;
        let (kind, counter) = match result.has_ended {
            true => (EventKind::LifeOver, &mut self.counters.lives_over),
            false => (EventKind::LifeUndecided, &mut self.counters.lives_undecided),
        };
        *counter += 1;
        let subject = format!(
            "source={source} witnesses={probe_packets} returned={returned} without_packet={flows} waited={waited}"
        );
        self.emit_event(kind, subject);
    }

    fn emit_flow_told(&mut self, now: Timestamp, id: FlowId, cause: &str) {
        let known_for = self.previous.orphaned.known_for(now, id).as_millis();
        let subject = format!("flow={id} cause={cause} known_for={known_for}");
        self.emit_event(EventKind::FlowTold, subject);
    }

    fn reset_caller(&mut self, now: Timestamp, flow: RecordedFlow, cause: &str) {
        self.emit_flow_told(now, flow.id, cause);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.id.caller.ip(),
            packet: self.codec.reset(flow.id, flow.acknowledged),
        });
    }

    /// Whether the flow of a packet is orphaned.
    pub(super) fn is_orphaned(&self, view: &PacketView) -> bool {
        let id = view.flow_from_caller();
        !view.is_syn() && self.previous.orphaned.contains(id, view.ack_number)
    }

    /// Reports to a balancer that the flow of a packet is orphaned. The balancer resets the
    /// caller if that awaits a response; otherwise, this agent does, at a limited rate.
    pub(super) fn send_orphaned(&mut self, now: Timestamp, to: SocketAddrV4, view: &PacketView) {
        let id = view.flow_from_caller();
        let awaits_response = view.data_bytes > 0 && !view.fin;
        if awaits_response || view.fin || view.rst {
            self.previous.orphaned.note_notified(id);
        }
        if awaits_response {
            self.counters.told_when_asked += 1;
            self.emit_flow_told(now, id, "question");
        }
        self.send_returned_packet(to, view, true);
    }

    /// Reports to a balancer that a flow of its query is orphaned.
    pub(super) fn reply_orphaned(
        &mut self,
        now: Timestamp,
        to: SocketAddrV4,
        queried: &QueriedFlow,
    ) {
        self.counters.told_when_asked += 1;
        self.emit_flow_told(now, queried.flow.into(), "question");
        let returned = ReturnedPacket {
            flow: queried.flow,
            acknowledged: queried.acknowledged,
            // The balancer knows whether the caller awaits a response.
            carried_data: false,
            was_open: true,
        };
        self.send(to, PassThroughBody::ReturnedPacket(returned));
    }

    /// Whether a queried flow is orphaned.
    pub(super) fn is_query_orphaned(&self, queried: &QueriedFlow) -> bool {
        let id = FlowId::from(queried.flow);
        let orphaned = &self.previous.orphaned;
        self.flows.get(id).is_none() && orphaned.contains(id, queried.acknowledged)
    }
}
