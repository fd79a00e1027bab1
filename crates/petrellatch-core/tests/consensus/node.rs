//! Simulated node: a replica with its disk, clock and application.

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{
    Membership, PersistRequest, PersistTicket, PersistentState, Replica, ReplicaId,
    ReplicaSettings, ReplicaStart,
};
use petrellatch_core::identity::NodeId;
use petrellatch_proto::consensus::ConsensusMessage;

use crate::checker::Applied;

/// An input of a process. Inputs of a paused process are queued until it resumes.
#[derive(Clone, Debug)]
pub enum Input {
    Message(NodeId, ConsensusMessage),
    Persisted(PersistTicket),
}

pub struct Node {
    pub id: ReplicaId,
    pub settings: ReplicaSettings,
    pub bootstrap: Option<Membership>,
    /// `None` while the process is down.
    pub replica: Option<Replica>,
    pub disk: PersistentState,
    /// The write that is passed to the disk but not synced yet.
    pub unsynced: Option<PersistRequest>,
    /// Incremented at every start and crash. Events of an earlier run are
    /// dropped.
    pub run_id: u64,
    pub paused: bool,
    pub queued_inputs: Vec<Input>,
    pub state: Vec<Applied>,
    /// Rate of this node's clock, in thousandths of the virtual clock's rate.
    pub clock_per_mille: u64,
}

impl Node {
    /// The node's clock at the virtual time `now`.
    pub fn local_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::from_micros(now.as_micros() * self.clock_per_mille / 1000)
    }

    /// The virtual time at which the node's clock reaches `local`.
    pub fn virtual_time(&self, local: Timestamp) -> Timestamp {
        let micros = (local.as_micros() * 1000).div_ceil(self.clock_per_mille);
        Timestamp::from_micros(micros)
    }

    pub fn start(&mut self, now: Timestamp, seed: u64) {
        self.run_id += 1;
        self.state.clear();
        self.paused = false;
        let start = ReplicaStart {
            id: self.id.node,
            incarnation: self.id.incarnation,
            seed,
            persisted: self.disk.clone(),
            bootstrap: self.bootstrap.clone(),
        };
        let now = self.local_time(now);
        self.replica = Some(Replica::new(now, self.settings.clone(), start));
    }

    /// Ends the process. Writes that aren't synced are lost.
    pub fn crash(&mut self) {
        self.replica = None;
        self.unsynced = None;
        self.queued_inputs.clear();
        self.run_id += 1;
    }

    pub fn handle(&mut self, now: Timestamp, input: Input) {
        let local = self.local_time(now);
        let Some(replica) = &mut self.replica else {
            return;
        };
        if self.paused {
            self.queued_inputs.push(input);
            return;
        }
        match input {
            Input::Message(from, message) => replica.handle_message(local, from, message),
            Input::Persisted(ticket) => replica.handle_persisted(local, ticket),
        }
    }

    /// Virtual time of the replica's next timeout.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let replica = self.replica.as_ref().filter(|_| !self.paused)?;
        Some(self.virtual_time(replica.poll_timeout()?))
    }

    pub fn encoded_state(&self) -> Vec<u8> {
        let numbers = self
            .state
            .iter()
            .flat_map(|(index, value)| [*index, *value]);
        numbers.flat_map(u64::to_le_bytes).collect()
    }

    pub fn restore_state(&mut self, bytes: &[u8]) {
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
        let entries = bytes.chunks(16);
        self.state = entries
            .map(|entry| (number(&entry[..8]), number(&entry[8..])))
            .collect();
    }
}
