//! The record of open flows at replicas: what this life tells, and what it asks for after
//! its start.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    FlowRecordKept, FormerFlows, PassThroughBody, RecallFlows, pack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::flows::flow_recorder::FlowRecordFigures;
use crate::pass_through::flows::former_recall::{RecallEnd, RecallOutcome};
use crate::pass_through::group::replica_assignment::is_assigned;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// What is recorded.
    pub fn flow_record_stats(&self) -> FlowRecordFigures {
        self.recorder.figures()
    }

    /// How the recall of a former life's flows ended, if it has.
    pub fn recovery_outcome(&self) -> Option<RecallOutcome> {
        self.recovery_outcome
    }

    /// Tells keepers what has changed. Until it is known what the former life told, they
    /// keep that.
    pub(super) fn record_flows(&mut self, now: Timestamp) {
        if self.recall.is_some() {
            return;
        }
        self.recorder.set_keepers(self.keepers());
        let backend = self.registration.backend().unwrap_or_default();
        self.recorder.note_flows(now, backend, &self.flows);
        let agent = pack_address(self.settings.address);
        let messages = self.recorder.poll_messages(now, agent, self.incarnation.0);
        for (keeper, change) in messages {
            self.send(keeper, PassThroughBody::FlowRecordChange(Box::new(change)));
        }
    }

    /// The replicas that keep the record: as many as may be lost, and one more.
    fn keepers(&self) -> BTreeSet<SocketAddrV4> {
        let agent = pack_address(self.settings.address);
        let known = self.contacts.all();
        let replicas: Vec<u64> = known.iter().copied().map(pack_address).collect();
        let count = self.settings.flow_record.keepers;
        let is_keeper =
            |replica: &SocketAddrV4| is_assigned(agent, pack_address(*replica), &replicas, count);
        known.into_iter().filter(is_keeper).collect()
    }

    pub(super) fn handle_record_kept(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        kept: &FlowRecordKept,
    ) {
        let own_life = self.incarnation.0;
        let was_full = self.recorder.figures().full;
        self.recorder.handle_kept(now, from, own_life, kept);
        if self.recorder.figures().full > was_full {
            self.emit_event(EventKind::FlowRecordRefused, format!("replica={from}"));
        }
    }

    pub(super) fn handle_former_flows(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        answer: FormerFlows,
    ) {
        if answer.incarnation != self.incarnation.0 {
            return;
        }
        let Some(recall) = &mut self.recall else {
            return;
        };
        recall.handle_answer(now, from, answer);
        if let Some(record) = recall.take_newer() {
            self.take_former_record(now, record);
        }
        self.continue_recall(now);
    }

    /// Asks replicas for the flows of the former life, until it is known or too late.
    pub(super) fn continue_recall(&mut self, now: Timestamp) {
        let Some(mut recall) = self.recall.take() else {
            return;
        };
        let known = self.contacts.all();
        if let Some(end) = recall.poll_end(now, &known) {
            self.end_recall(end);
            return;
        }
        let question = RecallFlows {
            agent: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
        };
        for replica in recall.poll_questions(now, known) {
            self.send(replica, PassThroughBody::RecallFlows(question));
        }
        self.recall = Some(recall);
    }

    fn end_recall(&mut self, end: RecallEnd) {
        let RecallEnd {
            outcome,
            number,
            flows,
        } = end;
        let subject = format!("outcome={outcome:?} flows={flows} number={number}");
        self.emit_event(EventKind::FormerFlowsRecalled, subject);
        self.recovery_outcome = Some(outcome);
        self.recorder.continue_from(number);
    }
}
