//! Flow records, which are kept beside the replicated log: they need no leader.

use petrellatch_proto::pass_through::{FlowRecordChange, FlowRecordRequest};

use super::*;

impl ConfigurationNode {
    /// Loads the changes that the previous incarnation wrote to the file of flow records, in
    /// their order. Returns whether all are readable.
    pub fn load_flow_records(&mut self, now: Timestamp, saved: &[Vec<u8>]) -> bool {
        self.flow_records.load(now, saved)
    }

    /// Notes the result of a write to the file of flow records. After a failure the records
    /// stay in memory, and are written later.
    pub fn handle_flow_records_written(&mut self, now: Timestamp, result: Result<(), String>) {
        let is_first = self.flow_records.note_written(now, result.is_ok());
        if let Err(failure) = result
            && is_first
        {
            self.emit_event(EventKind::FlowRecordsNotSaved, failure);
        }
    }

    /// Statistics of the flow records that this replica keeps.
    pub fn flow_record_stats(&self, now: Timestamp) -> FlowRecordStoreStats {
        self.flow_records.stats(now)
    }

    pub(super) fn handle_flow_record_change(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        change: FlowRecordChange,
    ) {
        if let Some(ack) = self.flow_records.handle_change(now, change) {
            self.send(from, PassThroughBody::FlowRecordAck(ack));
        }
    }

    pub(super) fn handle_flow_record_request(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        request: FlowRecordRequest,
    ) {
        for part in self.flow_records.handle_request(now, request) {
            self.send(from, PassThroughBody::FlowRecordResponse(part));
        }
    }

    pub(super) fn save_flow_records(&mut self, now: Timestamp) {
        if let Some(write) = self.flow_records.poll_write(now) {
            self.outputs
                .push_back(ConfigurationOutput::WriteFlowRecords(write));
        }
    }
}
