//! What a control node does with the outputs of its replica.

use petrellatch_proto::command::Command;
use petrellatch_proto::consensus::ConsensusMessage;
use petrellatch_proto::envelope::Body;
use prost::Message;

use crate::consensus::{LogPosition, ReplicaOutput, Role};
use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::super::control_output::ControlOutput;
use super::super::control_state::ControlState;
use super::super::outcome::{ChangeAnswer, CommandOutcome};
use super::ControlNode;

impl ControlNode {
    /// Carries out the replica's outputs. Returns whether there were any.
    pub(super) fn drain_replica(&mut self, now: Timestamp) -> bool {
        let mut progressed = false;
        while let Some(output) = self.replica.poll_output() {
            progressed = true;
            self.carry_out(now, output);
        }
        progressed
    }

    fn carry_out(&mut self, now: Timestamp, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => self.send_to_peer(to, &message),
            ReplicaOutput::Persist(request) => {
                self.outputs.push_back(ControlOutput::Persist(request));
            }
            ReplicaOutput::Apply {
                index,
                term,
                command,
            } => self.apply(now, LogPosition { term, index }, &command),
            ReplicaOutput::RestoreSnapshot { bytes, .. } => self.restore(now, &bytes),
            ReplicaOutput::SnapshotWanted { index } => {
                let bytes = self.state.encode_snapshot();
                self.replica.install_application_snapshot(now, index, bytes);
            }
            ReplicaOutput::ReadReady { token, .. } => {
                self.ready_reads.extend(self.requests.take_read(token));
            }
            ReplicaOutput::ReadLost { token } => {
                if let Some(read) = self.requests.take_read(token) {
                    self.respond_unknown(read.token);
                }
            }
            ReplicaOutput::ProposalLost { position } => {
                if let Some(token) = self.requests.take_change(position) {
                    self.respond_unknown(token);
                }
            }
            ReplicaOutput::RoleChanged { role, term } => self.report_role(role, term),
            ReplicaOutput::ElectionLost { term, reason } => {
                let subject = format!("term={term} reason={}", reason.name());
                self.emit_event(Event::new(EventKind::ElectionLost, subject));
            }
            ReplicaOutput::MembershipChanged(membership) => {
                let count = membership.voters().count();
                let event = Event::new(EventKind::ReplicasChanged, format!("{count} voters"));
                self.emit_event(event);
            }
        }
    }

    fn send_to_peer(&mut self, to: NodeId, message: &ConsensusMessage) {
        if let Some(address) = self.peer_address(to) {
            self.send(address, to, Body::Consensus(message.encode_to_vec()));
        }
    }

    /// Applies a command. One that can't be decoded has no effect at any
    /// replica.
    fn apply(&mut self, now: Timestamp, position: LogPosition, bytes: &[u8]) {
        let command = Command::decode(bytes).unwrap_or_default();
        let applied = self.state.apply(&command);
        if let Some(delta) = &applied.delta {
            let view = self.state.view();
            self.relay.publish(now, std::slice::from_ref(delta), view);
            if let Some(leadership) = &mut self.leadership {
                leadership.handle_applied(now, delta, &self.state);
            }
        }
        match applied.outcome {
            CommandOutcome::Change(answer) => self.finish_change(position, answer),
            CommandOutcome::Done if self.leadership.is_some() => {
                if let (Some(kind), Some(delta)) = (&command.kind, &applied.delta) {
                    self.report_command(kind, delta);
                }
            }
            CommandOutcome::Done | CommandOutcome::Ignored => {}
        }
    }

    fn finish_change(&mut self, position: LogPosition, answer: ChangeAnswer) {
        let Some(token) = self.requests.take_change(position) else {
            return;
        };
        let event = match &answer {
            Ok(accepted) => Event::new(
                EventKind::ChangeAccepted,
                format!("version {}", accepted.version),
            ),
            Err(refusal) => Event::new(EventKind::ChangeRefused, refusal.message.clone()),
        };
        self.emit_event(event);
        self.respond_change(token, answer);
    }

    fn restore(&mut self, now: Timestamp, bytes: &[u8]) {
        match ControlState::decode_snapshot(bytes, self.settings.mutations) {
            Ok(state) => {
                self.state = state;
                self.relay.restart(now, self.state.view());
            }
            Err(error) => {
                let message = error.to_string();
                self.outputs.push_back(ControlOutput::Failed { message });
            }
        }
    }

    fn report_role(&mut self, role: Role, term: u64) {
        let subject = format!("term {term}");
        match role {
            Role::Leader => self.emit_event(Event::new(EventKind::LeaderElected, subject)),
            Role::Follower if self.leadership.is_some() => {
                self.emit_event(Event::new(EventKind::LeaderSteppedDown, subject));
            }
            Role::Follower | Role::PreCandidate | Role::Candidate => {}
        }
    }
}
