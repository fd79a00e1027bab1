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

    /// Sends changes to the record replicas. They keep the previous incarnation's record until
    /// its recovery has ended.
    pub(super) fn record_flows(&mut self, now: Timestamp) {
        if self.recall.is_some() {
            return;
        }
        self.recorder.set_record_replicas(self.keepers());
        let backend = self.registration.backend().unwrap_or_default();
        self.recorder.note_flows(now, backend, &self.flows);
        let agent = pack_address(self.settings.address);
        let messages = self.recorder.poll_messages(now, agent, self.incarnation.0);
        for (keeper, change) in messages {
            self.send(keeper, PassThroughBody::FlowRecordChange(Box::new(change)));
        }
    }

    /// The replicas that keep the flow record: one more than may be lost.
    fn keepers(&self) -> BTreeSet<SocketAddrV4> {
        let agent = pack_address(self.settings.address);
        let known = self.contacts.all();
        let replicas: Vec<u64> = known.iter().copied().map(pack_address).collect();
        let count = self.settings.flow_record.record_replicas;
        let is_keeper =
            |replica: &SocketAddrV4| is_assigned(agent, pack_address(*replica), &replicas, count);
        known.into_iter().filter(is_keeper).collect()
    }

    pub(super) fn handle_record_kept(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        kept: &FlowRecordAck,
    ) {
        let own_life = self.incarnation.0;
        let was_full = self.recorder.stats().full_replicas;
        self.recorder.handle_ack(now, from, own_life, kept);
        if self.recorder.stats().full_replicas > was_full {
            self.emit_event(EventKind::FlowRecordRefused, format!("replica={from}"));
        }
    }

    pub(super) fn handle_former_flows(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        answer: FlowRecordResponse,
    ) {
        if answer.incarnation != self.incarnation.0 {
            return;
        }
        let Some(recall) = &mut self.recall else {
            return;
        };
        recall.handle_response(now, from, answer);
        if let Some(record) = recall.take_newer() {
            self.take_former_record(now, record);
        }
        self.continue_recall(now);
    }

    /// Requests the previous incarnation's flow record from replicas, until it is recovered or
    /// the recovery times out.
    pub(super) fn continue_recall(&mut self, now: Timestamp) {
        let Some(mut recall) = self.recall.take() else {
            return;
        };
        let known = self.contacts.all();
        if let Some(end) = recall.poll_end(now, &known) {
            self.end_recall(end);
            return;
        }
        let question = FlowRecordRequest {
            agent: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
        };
        for replica in recall.poll_requests(now, known) {
            self.send(replica, PassThroughBody::FlowRecordRequest(question));
        }
        self.recall = Some(recall);
    }

    fn end_recall(&mut self, end: RecoveryEnd) {
        let RecoveryEnd {
            outcome,
            revision: number,
            flows,
        } = end;
        let subject = format!("outcome={outcome:?} flows={flows} number={number}");
        self.emit_event(EventKind::FormerFlowsRecalled, subject);
        self.recovery_outcome = Some(outcome);
        self.recorder.continue_from(number);
    }
}
