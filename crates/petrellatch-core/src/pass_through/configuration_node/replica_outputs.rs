//! Processing of the outputs of the consensus replica.

use super::*;
use crate::pass_through::routes::configuration_state::{Applied, AppliedChange};

impl ConfigurationNode {
    /// Processes the outputs of the consensus replica, and sends the updates that result.
    pub(super) fn process_replica_outputs(&mut self, now: Timestamp) {
        while let Some(output) = self.replica.poll_output() {
            self.process_replica_output(now, output);
        }
        self.push_updates();
        self.notify_balancers(now);
        self.announce_leader_contact(now);
        self.announce_complete_directory(now);
    }

    fn process_replica_output(&mut self, now: Timestamp, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => {
                let body = PassThroughBody::Consensus(message.encode_to_vec());
                self.send(address_of_node_id(to), body);
            }
            ReplicaOutput::Persist(request) => {
                self.write_started_at = Some(now);
                self.outputs
                    .push_back(ConfigurationOutput::Persist(request));
            }
            ReplicaOutput::Apply { index, command, .. } => self.apply(now, index, &command),
            ReplicaOutput::RestoreSnapshot { bytes, .. } => self.restore(now, &bytes),
            ReplicaOutput::SnapshotWanted { index } => {
                let bytes = self.state.encode_snapshot();
                self.replica.install_application_snapshot(now, index, bytes);
            }
            ReplicaOutput::ReadReady { token, .. } => self.complete_read(token),
            ReplicaOutput::ReadLost { token } => {
                if let Some(PendingRead::Operator { token, .. }) = self.reads.remove(&token) {
                    self.respond(token, ConfigurationResponse::Unavailable);
                }
            }
            ReplicaOutput::ProposalLost { .. } => {
                self.fail_replacements();
                self.fail_pending_commands();
            }
            ReplicaOutput::RoleChanged { role, term } => self.note_role(now, role, term),
            ReplicaOutput::ElectionLost { term, reason } => {
                *self.elections_lost.entry(reason).or_default() += 1;
                let subject = format!("term={term} reason={}", reason.name());
                self.emit_event(EventKind::ElectionLost, subject);
            }
            ReplicaOutput::MembershipChanged(membership) => {
                let voters = membership.voters().count();
                let members = membership.members().len();
                let joining = |member: &&crate::consensus::Member| member.role != MemberRole::Voter;
                let joining = membership.members().iter().filter(joining).count();
                let subject = format!("voters={voters} joining={joining} members={members}");
                self.membership_manager.note_membership(now, &membership);
                self.emit_event(EventKind::ReplicasChanged, subject);
            }
        }
    }

    fn apply(&mut self, now: Timestamp, index: u64, command: &[u8]) {
        match self.state.apply(index, command) {
            Some(Applied::Change(applied)) => self.note_change(now, &applied),
            Some(Applied::ZoneCommand { command, changed }) => {
                self.note_zone_command(now, &command, changed);
            }
            Some(Applied::PolicyChange { change, outcome }) => {
                self.note_policy_change(&change, outcome);
            }
            None => {}
        }
    }

    fn note_change(&mut self, now: Timestamp, applied: &AppliedChange) {
        if let Some(change) = &applied.change {
            self.recent_changes.note(change);
            let version = change.version;
            let (put, removed) = (change.put.len(), change.removed.len());
            let subject = format!("version={version} put={put} removed={removed}");
            self.emit_event(EventKind::ConfigurationReplaced, subject);
            self.unsent_since.get_or_insert(change.base_version);
        }
        self.replacements.note_finished(applied.id);
        let version = self.configuration().version;
        for (token, deadline) in self.replacements.take_reached(version) {
            let remaining = deadline.saturating_since(now);
            let time = self.settings.request_timeout.saturating_sub(remaining);
            self.latencies.acceptance.record(time);
            self.respond(token, ConfigurationResponse::Accepted { version });
        }
        if self.replica.role() == Role::Leader {
            self.propose_next(now);
        }
    }

    fn restore(&mut self, now: Timestamp, bytes: &[u8]) {
        if let Some(state) = ConfigurationState::decode_snapshot(bytes) {
            self.state = state;
            self.recent_changes.clear();
            self.update_notifier.note_zone_command(now);
        }
    }

    fn note_role(&mut self, now: Timestamp, role: Role, term: u64) {
        let kind = match role {
            Role::Leader => EventKind::LeaderElected,
            Role::Follower => EventKind::LeaderSteppedDown,
            Role::PreCandidate | Role::Candidate => return,
        };
        self.membership_manager.reset();
        match role {
            Role::Leader if self.evacuations().index() > 0 => {
                self.update_notifier.note_zone_command(now)
            }
            Role::Follower => {
                self.fail_replacements();
                self.fail_pending_commands();
            }
            _ => {}
        }
        self.emit_event(kind, format!("term={term}"));
    }
}
