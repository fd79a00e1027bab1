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
use crate::pass_through::flows::recorded_flow::{PreviousFlowRecord, RecordedFlow};
use crate::pass_through::flows::restart_probe::{
    ProbedFlow, RestartProbe, RestartProbeResult, RestartProbeStep,
};
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

/// Interval between restart probes of the same flows: within it, no flow's probe packet reaches
/// the back end more than twice.
const PROOF_PAUSE: Duration = Duration::from_millis(2_000);
/// Maximum number of restart probes for one flow record. A probe is inconclusive if the back
/// end neither returns packets nor sends any.
const MAX_RECORD_PROOFS: u32 = 5;

/// Previous incarnations of an agent's back end, and their flows.
#[derive(Debug, Default)]
pub(super) struct FormerLives {
    record: Option<RecalledRecord>,
    /// Restart probe of the flows that this incarnation of the agent has seen.
    proof: Option<RestartProbe>,
    /// Whether a restart probe is needed, because the back end may have restarted.
    is_in_doubt: bool,
    /// Earliest start of the next restart probe.
    next_proof_at: Timestamp,
    /// The latest registration of the back end.
    heard: Option<HeardCall>,
    gone: OrphanedFlows,
}

/// The flow record of a previous incarnation of the agent.
#[derive(Debug)]
struct RecalledRecord {
    record: PreviousFlowRecord,
    recalled_at: Timestamp,
    proof: Option<RestartProbe>,
    proofs: u32,
    next_proof_at: Timestamp,
    /// Whether the back end returned all probe packets. The flows that are left have none.
    witnesses_returned: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeardCall {
    backend: u64,
    call_number: u64,
}

impl HeardCall {
    fn new(call: &Registration) -> HeardCall {
        HeardCall {
            backend: backend_digest(&call.id, call.started_at_millis),
            call_number: call.sequence,
        }
    }

    /// Whether it may come from another incarnation than an earlier registration. It may also
    /// be a delayed one.
    fn may_be_of_another_life(&self, earlier: &HeardCall) -> bool {
        self.backend != earlier.backend || self.call_number <= earlier.call_number
    }
}

impl FormerLives {
    /// Number of restart probes in progress.
    pub(super) fn pending(&self) -> usize {
        let record = self.record.as_ref();
        let of_record = record.and_then(|record| record.proof.as_ref());
        usize::from(of_record.is_some()) + usize::from(self.proof.is_some())
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let record = self.record.as_ref();
        let of_record = record.and_then(|record| record.proof.as_ref());
        let proofs = of_record.into_iter().chain(&self.proof);
        let proofs = proofs.map(RestartProbe::poll_timeout);
        let begins = self.is_in_doubt.then_some(self.next_proof_at);
        proofs.chain(begins).chain(self.gone.poll_timeout()).min()
    }

    /// Forgets a flow whose caller opens a new one from the same address and port.
    pub(super) fn forget(&mut self, id: FlowId) {
        self.gone.forget(id);
        self.proofs_mut().for_each(|proof| proof.forget(id));
        if let Some(record) = &mut self.record {
            record.record.flows.retain(|flow| flow.id != id);
        }
    }

    /// Notes that the back end sent a packet of a flow.
    pub(super) fn note_alive(&mut self, id: FlowId) {
        self.proofs_mut().for_each(|proof| proof.note_alive(id));
    }

    pub(super) fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        self.gone.expire(now, lifetime);
        let age = |record: &RecalledRecord| now.saturating_since(record.recalled_at);
        self.record.take_if(|record| age(record) >= lifetime);
    }

    fn proofs_mut(&mut self) -> impl Iterator<Item = &mut RestartProbe> {
        let record = self.record.as_mut();
        let of_record = record.and_then(|record| record.proof.as_mut());
        of_record.into_iter().chain(self.proof.as_mut())
    }
}

impl RecalledRecord {
    fn names(&self, id: FlowId, acknowledged: u32) -> bool {
        let mut flows = self.record.flows.iter();
        flows.any(|flow| flow.id == id && flow.owns_ack(acknowledged))
    }

    /// Starts a restart probe unless one is in progress, or there were too many.
    fn begin_proof(&mut self, now: Timestamp, witnesses: Vec<(FlowId, Vec<u8>)>) {
        let may_begin = self.proofs < MAX_RECORD_PROOFS && now >= self.next_proof_at;
        if self.proof.is_some() || self.witnesses_returned || !may_begin {
            return;
        }
        self.proofs += 1;
        let probed = |flow: &RecordedFlow| {
            let mut witnesses = witnesses.iter();
            let witness = witnesses.find(|(id, _)| *id == flow.id);
            ProbedFlow {
                flow: *flow,
                seen_at: now,
                probe_packet: witness.map(|(_, packet)| packet.clone()),
            }
        };
        let flows = self.record.flows.iter().map(probed).collect();
        self.proof = Some(RestartProbe::new(now, flows));
    }
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Stores the flow record of a previous incarnation of this agent, in place of an older
    /// one.
    pub(super) fn take_former_record(&mut self, now: Timestamp, record: PreviousFlowRecord) {
        if record.flows.is_empty() {
            return;
        }
        self.former.record = Some(RecalledRecord {
            record,
            recalled_at: now,
            proof: None,
            proofs: 0,
            next_proof_at: now,
            witnesses_returned: false,
        });
        if let Some(heard) = self.former.heard {
            self.compare_with_record(now, heard);
        }
        self.continue_proofs(now);
    }

    /// Notes a registration of the back end. It may come from another incarnation than the one
    /// that owned the flows, but registrations may be delayed, so this alone shows nothing.
    pub(super) fn note_call(&mut self, now: Timestamp, call: &Registration) {
        let heard = HeardCall::new(call);
        let former = self.former.heard.replace(heard);
        // The back end is about to stop as planned, or goes on without the agent.
        if self.stop_at.is_some() {
            return;
        }
        if former.is_none_or(|former| heard.may_be_of_another_life(&former)) {
            self.former.is_in_doubt = true;
            self.begin_proof(now);
        }
        self.compare_with_record(now, heard);
        self.continue_proofs(now);
    }

    /// Takes the recorded flows over if the incarnation that registers is the recorded one.
    /// Starts a restart probe if it may be another one.
    ///
    /// Without a start time, registrations of a running incarnation and of one that has just
    /// started look the same. The flows aren't taken over then, even if no probe packet is
    /// returned: the back end may be frozen, and packets of flows that other back ends own
    /// would be delivered to it as the known owner.
    fn compare_with_record(&mut self, now: Timestamp, heard: HeardCall) {
        let Some(record) = &self.former.record else {
            return;
        };
        let is_same = record.record.backend_incarnation == heard.backend;
        let is_current = self.registration.backend() == Some(heard.backend);
        let tells_lives_apart = self.registration.tells_lives_apart();
        match (is_same, is_current) {
            (true, true) if tells_lives_apart => self.take_over(now),
            (true, false) => {}
            (false, _) if record.witnesses_returned => self.end_recorded_life(now),
            _ => self.begin_record_proof(now),
        }
    }

    fn begin_record_proof(&mut self, now: Timestamp) {
        let Some(record) = &mut self.former.record else {
            return;
        };
        let flows = &self.flows;
        let codec = &self.codec;
        let witness = |packet: &Vec<u8>| {
            let id = codec.view(packet)?.flow_from_caller();
            // The caller may have opened a new flow from the same address and port.
            flows.get(id).is_none().then(|| (id, packet.clone()))
        };
        let witnesses = record.record.probe_packets.iter().filter_map(witness);
        let witnesses = witnesses.collect();
        record.begin_proof(now, witnesses);
    }

    /// Takes over the flows of the record as flows of the back end.
    fn take_over(&mut self, now: Timestamp) {
        let Some(recalled) = self.former.record.take() else {
            return;
        };
        let age = now.saturating_since(recalled.recalled_at).as_millis();
        let mut taken = 0;
        for flow in &recalled.record.flows {
            taken += u64::from(self.flows.take_over(now, *flow));
        }
        for packet in &recalled.record.probe_packets {
            if let Some(view) = self.codec.view(packet) {
                self.flows
                    .note_probe_packet(view.flow_from_caller(), packet);
            }
        }
        self.counters.taken_over += taken;
        let backend = recalled.record.backend_incarnation;
        let recorded = recalled.record.flows.len();
        let subject =
            format!("backend={backend:x} flows={taken} recorded={recorded} record_age={age}");
        self.emit_event(EventKind::FlowsTakenOver, subject);
    }

    /// Notes a packet that the back end returned. Returns whether it shows that an open flow is
    /// orphaned.
    pub(super) fn note_returned_witness(&mut self, now: Timestamp, view: &PacketView) -> bool {
        if view.is_syn() {
            return false;
        }
        let (id, acknowledged) = (view.flow_from_caller(), view.ack_number);
        let record = self.former.record.as_ref();
        if record.is_some_and(|record| record.names(id, acknowledged)) {
            self.begin_record_proof(now);
        }
        let known = self.flows.get(id);
        let was_open =
            known.is_some_and(|flow| flow.is_confirmed_open() && flow.owns_ack(acknowledged));
        if was_open && self.stop_at.is_none() {
            self.former.is_in_doubt = true;
            self.begin_proof(now);
        }
        let proofs = self.former.proofs_mut();
        let gone = proofs.filter_map(|proof| proof.note_returned(id, acknowledged));
        let Some(gone) = gone.last() else {
            return false;
        };
        if let Some(record) = &mut self.former.record {
            record.record.flows.retain(|flow| flow.id != id);
        }
        // If the caller sent data, its balancer resets it.
        if view.data_bytes == 0 && !view.fin {
            self.end_gone_flow(now, gone);
        }
        true
    }

    /// Starts a restart probe of the flows that this incarnation of the agent has seen, if the
    /// back end may have restarted.
    fn begin_proof(&mut self, now: Timestamp) {
        let may_begin = self.former.proof.is_none() && now >= self.former.next_proof_at;
        if !self.former.is_in_doubt || !may_begin {
            return;
        }
        self.former.is_in_doubt = false;
        let lifetime = self.settings.flow_lifetime;
        let flows = self.flows.flows_to_probe(now, lifetime);
        if !flows.is_empty() {
            self.former.proof = Some(RestartProbe::new(now, flows));
        }
    }

    /// Continues restart probes, and resets the callers of orphaned flows that are due.
    pub(super) fn continue_proofs(&mut self, now: Timestamp) {
        self.begin_proof(now);
        if let Some(verdict) = self.continue_record_proof(now) {
            self.end_record_proof(now, verdict);
        }
        if let Some(verdict) = self.continue_own_proof(now) {
            self.end_own_proof(now, verdict);
        }
        for flow in self.former.gone.take_due(now) {
            self.counters.told_at_pace += 1;
            self.reset_caller(now, flow, "pace");
        }
    }

    fn continue_record_proof(&mut self, now: Timestamp) -> Option<RestartProbeResult> {
        let record = self.former.record.as_mut()?;
        let step = record.proof.as_mut()?.next_step(now);
        self.take_proof_step(step)
    }

    fn continue_own_proof(&mut self, now: Timestamp) -> Option<RestartProbeResult> {
        let step = self.former.proof.as_mut()?.next_step(now);
        self.take_proof_step(step)
    }

    fn take_proof_step(&mut self, step: RestartProbeStep) -> Option<RestartProbeResult> {
        match step {
            RestartProbeStep::Wait => None,
            RestartProbeStep::Send(packets) => {
                let packets = packets.into_iter().map(PassThroughOutput::ToBackend);
                self.outputs.extend(packets);
                None
            }
            RestartProbeStep::End(verdict) => Some(verdict),
        }
    }

    fn end_record_proof(&mut self, now: Timestamp, verdict: RestartProbeResult) {
        let Some(record) = &mut self.former.record else {
            return;
        };
        let proof = record.proof.take();
        record.next_proof_at = now + PROOF_PAUSE;
        let backend = record.record.backend_incarnation;
        if !verdict.orphaned.is_empty() {
            record.record.flows.clone_from(&verdict.orphaned);
            record.witnesses_returned = true;
        }
        self.note_verdict(now, "record", proof, &verdict);
        let names_another = |heard: HeardCall| heard.backend != backend;
        let calls_as_another = self.former.heard.is_some_and(names_another);
        match verdict.orphaned.is_empty() {
            true if verdict.has_ended => self.former.record = None,
            false if calls_as_another => self.end_recorded_life(now),
            _ => {}
        }
    }

    /// Marks the recorded flows without probe packets as orphaned, once all probe packets were
    /// returned and another incarnation has registered. The registration is required as well:
    /// flows of a running incarnation, those with probe packets among them, may have closed
    /// while this agent didn't run.
    fn end_recorded_life(&mut self, now: Timestamp) {
        let Some(recalled) = self.former.record.take() else {
            return;
        };
        for gone in recalled.record.flows {
            // A flow that this incarnation of the agent knows has been opened again.
            if self.flows.get(gone.id).is_none() {
                self.former.gone.add(now, gone);
            }
        }
    }

    fn end_own_proof(&mut self, now: Timestamp, verdict: RestartProbeResult) {
        let proof = self.former.proof.take();
        self.former.next_proof_at = now + PROOF_PAUSE;
        self.note_verdict(now, "memory", proof, &verdict);
    }

    /// Removes a flow that the back end doesn't own. Its caller is reset at once if it awaits a
    /// response.
    fn end_gone_flow(&mut self, now: Timestamp, gone: RecordedFlow) {
        let Some(known) = self.flows.get(gone.id) else {
            self.former.gone.add(now, gone);
            return;
        };
        if !known.is_same_connection(&gone) || !known.is_open() {
            return;
        }
        let waits = known.has_pending_request();
        let flow = RecordedFlow {
            acknowledged: known.acknowledged.unwrap_or(gone.acknowledged),
            ..gone
        };
        self.flows.remove(now, flow.id);
        self.former.gone.add(now, flow);
        if waits {
            self.former.gone.note_notified(flow.id);
            self.counters.told_at_once += 1;
            self.reset_caller(now, flow, "request");
        }
    }

    fn note_verdict(
        &mut self,
        now: Timestamp,
        source: &str,
        proof: Option<RestartProbe>,
        verdict: &RestartProbeResult,
    ) {
        let begun_at = proof.map_or(now, |proof| proof.started_at);
        let waited = now.saturating_since(begun_at).as_millis();
        let (flows, witnesses) = (verdict.orphaned.len(), verdict.probes);
        let returned = verdict.returned;
        let (kind, counter) = match verdict.has_ended {
            true => (EventKind::LifeOver, &mut self.counters.lives_over),
            false => (EventKind::LifeUndecided, &mut self.counters.lives_undecided),
        };
        *counter += 1;
        let subject = format!(
            "source={source} witnesses={witnesses} returned={returned} without_packet={flows} waited={waited}"
        );
        self.emit_event(kind, subject);
    }

    fn note_told(&mut self, now: Timestamp, id: FlowId, cause: &str) {
        let known_for = self.former.gone.known_for(now, id).as_millis();
        let subject = format!("flow={id} cause={cause} known_for={known_for}");
        self.emit_event(EventKind::FlowTold, subject);
    }

    fn reset_caller(&mut self, now: Timestamp, flow: RecordedFlow, cause: &str) {
        self.note_told(now, flow.id, cause);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.id.caller.ip(),
            packet: self.codec.reset(flow.id, flow.acknowledged),
        });
    }

    /// Whether the flow of a packet is orphaned.
    pub(super) fn is_gone(&self, view: &PacketView) -> bool {
        let id = view.flow_from_caller();
        !view.is_syn() && self.former.gone.contains(id, view.ack_number)
    }

    /// Reports to a balancer that the flow of a packet is orphaned. The balancer resets the
    /// caller if that awaits a response; otherwise, this agent does, at a limited rate.
    pub(super) fn tell_gone(&mut self, now: Timestamp, to: SocketAddrV4, view: &PacketView) {
        let id = view.flow_from_caller();
        let waits = view.data_bytes > 0 && !view.fin;
        if waits || view.fin || view.rst {
            self.former.gone.note_notified(id);
        }
        if waits {
            self.counters.told_when_asked += 1;
            self.note_told(now, id, "question");
        }
        self.tell_not_held(to, view, true);
    }

    /// Reports to a balancer that a flow of its query is orphaned.
    pub(super) fn answer_gone(&mut self, now: Timestamp, to: SocketAddrV4, sought: &QueriedFlow) {
        self.counters.told_when_asked += 1;
        self.note_told(now, sought.flow.into(), "question");
        let not_held = ReturnedPacket {
            flow: sought.flow,
            acknowledged: sought.acknowledged,
            // The balancer knows whether the caller awaits a response.
            carried_data: false,
            was_open: true,
        };
        self.send(to, PassThroughBody::ReturnedPacket(not_held));
    }

    /// Whether a queried flow is orphaned.
    pub(super) fn seeks_gone(&self, sought: &QueriedFlow) -> bool {
        let id = FlowId::from(sought.flow);
        let gone = &self.former.gone;
        self.flows.get(id).is_none() && gone.contains(id, sought.acknowledged)
    }
}
