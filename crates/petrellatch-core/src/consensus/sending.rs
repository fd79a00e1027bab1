//! Sending messages, at once or when the state they depend on is durable.

use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage};

use super::membership::ReplicaId;
use super::output::ReplicaOutput;
use super::replica::Replica;

impl Replica {
    /// Sends a message that depends on durable state only.
    pub(super) fn send(&mut self, to: ReplicaId, body: ConsensusBody) {
        let output = self.message_to(to, body);
        self.outputs.push_back(output);
    }

    /// Sends a message once all changes made so far are durable.
    pub(super) fn send_durably(&mut self, to: ReplicaId, body: ConsensusBody) {
        let output = self.message_to(to, body);
        let barrier = self.writes.barrier(&self.log);
        match barrier {
            Some(ticket) if !self.settings.mutations.acknowledge_before_sync => {
                self.writes.defer(ticket, output);
            }
            _ => self.outputs.push_back(output),
        }
    }

    /// Whether the message is addressed to this incarnation of the node or to
    /// any.
    pub(super) fn is_addressed(&self, message: &ConsensusMessage) -> bool {
        const ANY: u64 = 0;
        let receiver = message.to_incarnation;
        receiver == ANY
            || receiver == self.id.incarnation.0
            || self.settings.mutations.ignore_incarnation
    }

    fn message_to(&self, to: ReplicaId, body: ConsensusBody) -> ReplicaOutput {
        let message = ConsensusMessage {
            from_incarnation: self.id.incarnation.0,
            to_incarnation: to.incarnation.0,
            term: self.hard_state.term,
            body: Some(body),
        };
        ReplicaOutput::Send {
            to: to.node,
            message,
        }
    }
}
