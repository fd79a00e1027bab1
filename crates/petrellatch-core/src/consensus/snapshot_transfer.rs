//! Sending and receiving snapshots in chunks.

use std::sync::Arc;

use petrellatch_proto::consensus::{ConsensusBody, SnapshotChunk, SnapshotChunkResponse};

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::Term;
use super::follower::Echo;
use super::membership::ReplicaId;
use super::progress::ReplicationState;
use super::replica::{Replica, RoleState};
use super::snapshot_assembly::{SnapshotAssembly, digest};

impl Replica {
    /// Starts to send the newest snapshot to `peer`, in place of compacted
    /// entries.
    pub(super) fn start_snapshot(&mut self, peer: NodeId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let digest = digest(&snapshot.data);
        if let Some(progress) = self.progress_on(peer) {
            progress.start_snapshot(snapshot, digest);
        }
    }

    /// Sends the next chunk to `peer`, unless a response is still awaited.
    pub(super) fn send_snapshot_chunk(&mut self, peer: NodeId) {
        let chunk_bytes = self.settings.chunk_limit_bytes();
        let sent_at_micros = self.now.as_micros();
        let RoleState::Leader(leadership) = &mut self.role_state else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.peers.get_mut(&peer) else {
            return;
        };
        let replica = progress.replica;
        let ReplicationState::Snapshot(transfer) = &mut progress.state else {
            return;
        };
        if transfer.sent {
            return;
        }
        transfer.sent = true;
        let snapshot = Arc::clone(&transfer.snapshot);
        let start = (transfer.offset as usize).min(snapshot.data.len());
        let end = (start + chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            index: snapshot.position.index,
            entry_term: snapshot.position.term,
            membership: Some((&snapshot.membership).into()),
            offset: start as u64,
            total_bytes: snapshot.data.len() as u64,
            digest: transfer.digest,
            data: snapshot.data[start..end].to_vec(),
            round,
            sent_at_micros,
        };
        self.send(replica, ConsensusBody::SnapshotChunk(chunk));
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        sender: ReplicaId,
        term: Term,
        chunk: SnapshotChunk,
    ) {
        let echo = Echo {
            round: chunk.round,
            sent_at_micros: chunk.sent_at_micros,
        };
        if !self.accept_leader(sender, term, echo) {
            return;
        }
        if chunk.index <= self.commit_index {
            self.acknowledge(sender, self.commit_index, echo);
            return;
        }
        let Some(mut assembly) = self.assembly_for(&chunk) else {
            return;
        };
        assembly.add(&chunk);
        if !assembly.is_complete() {
            let next_offset = assembly.next_offset();
            self.assembly = Some(assembly);
            self.request_chunk(sender, chunk.index, next_offset, echo);
            return;
        }
        if let Some(snapshot) = assembly.finish() {
            self.install_received_snapshot(snapshot);
            self.acknowledge(sender, self.commit_index, echo);
        } else {
            self.request_chunk(sender, chunk.index, 0, echo);
        }
    }

    pub(super) fn handle_snapshot_chunk_response(
        &mut self,
        sender: ReplicaId,
        term: Term,
        response: &SnapshotChunkResponse,
    ) {
        if !self.is_current_member(sender) {
            return;
        }
        self.observe_term(term);
        if term != self.hard_state.term {
            return;
        }
        let sent_at = Timestamp::from_micros(response.sent_at_micros).min(self.now);
        let Some(progress) = self.progress_of(sender) else {
            return;
        };
        progress.record_contact(sent_at, response.round);
        if let ReplicationState::Snapshot(transfer) = &mut progress.state
            && transfer.snapshot.position.index == response.index
            && transfer.offset != response.next_offset
        {
            transfer.offset = response.next_offset;
            transfer.sent = false;
        }
        self.complete_reads();
    }

    /// Returns the assembly that `chunk` belongs to, or starts a new one. `None`
    /// if the chunk is malformed.
    fn assembly_for(&mut self, chunk: &SnapshotChunk) -> Option<SnapshotAssembly> {
        match self.assembly.take() {
            Some(assembly) if assembly.matches(chunk) => Some(assembly),
            _ => SnapshotAssembly::start(chunk),
        }
    }

    fn request_chunk(&mut self, leader: ReplicaId, index: u64, next_offset: u64, echo: Echo) {
        let response = SnapshotChunkResponse {
            index,
            next_offset,
            round: echo.round,
            sent_at_micros: echo.sent_at_micros,
        };
        self.send_durably(leader, ConsensusBody::SnapshotChunkResponse(response));
    }
}
