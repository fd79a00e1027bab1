//! Changes to the log and the snapshot, and output of committed entries.

use std::sync::Arc;

use crate::Timestamp;

use super::entry::{EntryPayload, LogEntry, LogIndex, LogPosition, Term};
use super::membership_history::MembershipHistory;
use super::output::ReplicaOutput;
use super::persistence::{PersistTicket, Snapshot};
use super::replica::{Replica, RoleState};

impl Replica {
    /// Stores the application's state as of the entry at `index`, so that the
    /// log can be compacted up to it. Ignored if `index` isn't applied yet or is
    /// covered by a newer snapshot.
    pub fn install_application_snapshot(
        &mut self,
        now: Timestamp,
        index: LogIndex,
        bytes: Vec<u8>,
    ) {
        self.observe_clock(now);
        let is_applied = index <= self.applied_index && self.pending_restore.is_none();
        if !is_applied || index <= self.snapshot_index() {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            position: LogPosition { term, index },
            membership: self.memberships.at(index).clone(),
            data: bytes,
        });
        self.writes.note_snapshot(Arc::clone(&snapshot));
        self.snapshot = Some(snapshot);
        // Keeps some entries that the snapshot covers, so that followers that lag
        // only a little are sent entries instead of the snapshot.
        let kept = self.settings.compaction_threshold / 2;
        let dropped = index.saturating_sub(kept).max(self.log.base_index());
        self.log.compact_to(dropped);
        self.memberships.compact_to(dropped);
    }

    pub(super) fn append_to_log(&mut self, entry: LogEntry) {
        let membership_changed = self.memberships.record(&entry);
        self.log.append(entry);
        if membership_changed {
            self.apply_membership();
        }
    }

    /// Removes uncommitted entries from `index` on, which conflict with the
    /// leader's log.
    pub(super) fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.writes.note_truncation(index);
        if self.memberships.truncate_from(index) {
            self.apply_membership();
        }
        let lost = self.own_proposals.split_off(&index);
        for (index, term) in lost {
            let position = LogPosition { term, index };
            self.emit(ReplicaOutput::ProposalLost { position });
        }
    }

    /// Installs a snapshot received from the leader.
    pub(super) fn install_received_snapshot(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        let index = position.index;
        let snapshot = Arc::new(snapshot);
        self.report_proposals_lost_up_to(index);
        if self.log.term_at(index) == Some(position.term) {
            self.log.compact_to(index);
            self.memberships.compact_to(index);
        } else {
            self.replace_log(&snapshot);
        }
        self.commit_index = index;
        self.applied_index = index;
        self.snapshot_requested_at = index;
        self.writes.note_snapshot(Arc::clone(&snapshot));
        self.snapshot = Some(snapshot);
        self.pending_restore = self.writes.barrier(&self.log);
    }

    /// Emits an installed snapshot to the application once it is durable.
    pub(super) fn finish_restore(&mut self, persisted: PersistTicket) {
        let due = self.pending_restore.take_if(|needed| *needed <= persisted);
        if due.is_none() {
            return;
        }
        if let Some(snapshot) = self.snapshot.clone() {
            self.emit_restore(&snapshot);
        }
    }

    pub(super) fn emit_restore(&mut self, snapshot: &Snapshot) {
        if snapshot.position.index == 0 {
            return;
        }
        self.emit(ReplicaOutput::RestoreSnapshot {
            index: snapshot.position.index,
            bytes: snapshot.data.clone(),
        });
    }

    /// Emits the entries that are committed and durable at this replica, and
    /// completes the reads that waited for them.
    pub(super) fn apply_committed(&mut self) {
        let limit = self.commit_index.min(self.own_durable_index());
        while self.pending_restore.is_none() && self.applied_index < limit {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.entry(index) else {
                break;
            };
            let term = entry.position.term;
            let payload = entry.payload.clone();
            self.applied_index = index;
            self.apply(index, term, payload);
        }
        self.request_snapshot_if_due();
        self.complete_reads();
    }

    pub(super) fn snapshot_index(&self) -> LogIndex {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or(0, |snapshot| snapshot.position.index)
    }

    /// Index of the last entry of this replica's log that counts as durable.
    pub(super) fn own_durable_index(&self) -> LogIndex {
        if self.settings.mutations.acknowledge_before_sync {
            return self.log.last_index();
        }
        self.writes.durable_index()
    }

    fn apply(&mut self, index: LogIndex, term: Term, payload: EntryPayload) {
        self.own_proposals.remove(&index);
        if let EntryPayload::Command(command) = payload {
            self.emit(ReplicaOutput::Apply {
                index,
                term,
                command,
            });
        }
    }

    fn replace_log(&mut self, snapshot: &Snapshot) {
        let index = snapshot.position.index;
        self.report_proposals_lost_up_to(LogIndex::MAX);
        self.log.reset(snapshot.position);
        self.writes.note_replaced_log(index);
        self.memberships = MembershipHistory::new(index, snapshot.membership.clone());
        self.apply_membership();
    }

    fn report_proposals_lost_up_to(&mut self, last: LogIndex) {
        while let Some(proposal) = self.own_proposals.first_entry() {
            if *proposal.key() > last {
                return;
            }
            let (index, term) = proposal.remove_entry();
            let position = LogPosition { term, index };
            self.emit(ReplicaOutput::ProposalLost { position });
        }
    }

    fn request_snapshot_if_due(&mut self) {
        let threshold = self.settings.compaction_threshold;
        let newest = self.snapshot_index().max(self.snapshot_requested_at);
        let is_long = self.applied_index.saturating_sub(newest) >= threshold;
        if !is_long && self.applied_bytes_after(newest) < self.compaction_bytes() {
            return;
        }
        self.snapshot_requested_at = self.applied_index;
        let index = self.applied_index;
        self.emit(ReplicaOutput::SnapshotWanted { index });
    }

    /// Total size of the applied entries after `index`, in bytes.
    fn applied_bytes_after(&self, index: LogIndex) -> usize {
        let all = self.log.bytes_after(index);
        all - self.log.bytes_after(self.applied_index).min(all)
    }

    fn compaction_bytes(&self) -> usize {
        let snapshot = self.snapshot.as_ref();
        let last_size = snapshot.map_or(0, |snapshot| snapshot.data.len());
        self.settings.compaction_bytes.max(last_size)
    }

    /// Handles a change of the membership in effect.
    fn apply_membership(&mut self) {
        let membership = self.memberships.current().clone();
        let last_index = self.log.last_index();
        if let RoleState::Leader(leadership) = &mut self.role_state {
            leadership.apply_membership(self.id, &membership, last_index, self.now);
        }
        self.emit(ReplicaOutput::MembershipChanged(membership));
    }
}
