//! The flow record at replicas: the changes that this incarnation sends, and the recovery of
//! the previous incarnation's record after the start.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    FlowRecordAck, FlowRecordRequest, FlowRecordResponse, PassThroughBody, pack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::flows::flow_record_recovery::{RecoveryEnd, RecoveryOutcome};
use crate::pass_through::flows::flow_recorder::FlowRecorderStats;
use crate::pass_through::flows::recorded_flow::RecordedBackend;
use crate::pass_through::group::replica_assignment::is_assigned;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Statistics of the flow record.
    pub fn flow_record_stats(&self) -> FlowRecorderStats {
        self.recorder.stats()
    }

    /// How the recovery of the previous incarnation's flow record ended, if it has.
    pub fn recovery_outcome(&self) -> Option<RecoveryOutcome> {
        self.recovery_outcome
    }

    /// Sends changes to the record replicas. None are sent before the recovery of the previous
    /// incarnation's record has ended: the replicas must keep that record until then.
    pub(super) fn record_flows(&mut self, now: Timestamp) {
        if self.recovery.is_some() {
            return;
        }
        self.recorder.set_record_replicas(self.record_replicas());
        let backend = RecordedBackend {
            digest: self.registration.incarnation_digest().unwrap_or_default(),
            started_at_millis: self.registration.started_at_millis(),
        };
        self.recorder.note_flows(now, backend, &self.flows);
        let agent = pack_address(self.settings.address);
        let messages = self.recorder.poll_messages(now, agent, self.incarnation.0);
        for (replica, change) in messages {
            self.send(replica, PassThroughBody::FlowRecordChange(Box::new(change)));
        }
    }

    /// The replicas that keep the flow record: one more than may be lost.
    fn record_replicas(&self) -> BTreeSet<SocketAddrV4> {
        let agent = pack_address(self.settings.address);
        let known = self.known_replicas.all();
        let replicas: Vec<u64> = known.iter().copied().map(pack_address).collect();
        let count = self.settings.flow_record.record_replicas;
        let is_record_replica =
            |replica: &SocketAddrV4| is_assigned(agent, pack_address(*replica), &replicas, count);
        known.into_iter().filter(is_record_replica).collect()
    }

    pub(super) fn handle_flow_record_ack(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        ack: &FlowRecordAck,
    ) {
        let own_incarnation = self.incarnation.0;
        let was_full = self.recorder.stats().full_replicas;
        self.recorder.handle_ack(now, from, own_incarnation, ack);
        if self.recorder.stats().full_replicas > was_full {
            self.emit_event(EventKind::FlowRecordRefused, format!("replica={from}"));
        }
    }

    pub(super) fn handle_flow_record_response(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        response: FlowRecordResponse,
    ) {
        if response.incarnation != self.incarnation.0 {
            return;
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.handle_response(now, from, response);
        if let Some(record) = recovery.take_newer() {
            self.store_previous_record(now, record);
        }
        self.continue_recovery(now);
    }

    /// Requests the previous incarnation's flow record from replicas, until it is recovered or
    /// the recovery times out.
    pub(super) fn continue_recovery(&mut self, now: Timestamp) {
        let Some(mut recovery) = self.recovery.take() else {
            return;
        };
        let known = self.known_replicas.all();
        if let Some(end) = recovery.poll_end(now, &known) {
            self.end_recovery(end);
            return;
        }
        let request = FlowRecordRequest {
            agent: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
        };
        for replica in recovery.poll_requests(now, known) {
            self.send(replica, PassThroughBody::FlowRecordRequest(request));
        }
        self.recovery = Some(recovery);
    }

    fn end_recovery(&mut self, end: RecoveryEnd) {
        let RecoveryEnd {
            outcome,
            revision,
            flows,
        } = end;
        let subject = format!("outcome={outcome:?} flows={flows} number={revision}");
        self.emit_event(EventKind::FormerFlowsRecalled, subject);
        self.recovery_outcome = Some(outcome);
        self.recorder.continue_from(revision);
    }
}
