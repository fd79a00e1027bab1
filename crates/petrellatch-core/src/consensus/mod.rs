//! A replicated log that survives crashes, network partitions and lost disks.
//!
//! A group of three or five [`Replica`]s agrees on one sequence of commands.
//! The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
//! check-quorum, learners and one-at-a-time membership change, extended by
//! *replica incarnations*: every data folder carries a number drawn when it
//! was formatted, and a node that lost its folder is a different replica.
//!
//! The module does no I/O. An event loop feeds [`Replica`] with messages,
//! timeouts and completed disk writes, and executes the outputs that
//! [`Replica::poll_output`] returns. Commands and snapshots are opaque bytes.
//!
//! # Guarantees
//!
//! As long as disks keep synced data, these hold under message loss,
//! duplication, delay and reordering, and under crashes and process pauses:
//!
//! - There is at most one leader per term.
//! - A command emitted by [`ReplicaOutput::Apply`] at one replica is emitted
//!   by all, at the same index and in the same order, and never reverted. It
//!   is durable at a quorum of voters before it is emitted.
//! - A proposal is committed for good once it is emitted with the position
//!   that [`Replica::propose`] returned.
//! - [`ReplicaOutput::ReadReady`] is emitted only by a replica that a quorum
//!   confirmed as leader after the read was requested, and after it has
//!   emitted all commands committed before the request.
//! - A leader that loses its quorum steps down by its own clock before any
//!   other replica can be elected, if clock rates differ by no more than
//!   [`ReplicaSettings::clock_drift_margin_per_mille`]. After a process pause
//!   it detects the loss on the first input.
//! - A replica that lost its disk doesn't count for quorums until it has
//!   durably caught up and a committed change has made it a voter. No committed
//!   entry is lost if a quorum of the voters keeps its disks between two such
//!   changes.
//! - Every encoded message is smaller than
//!   [`MAX_CONSENSUS_MESSAGE_BYTES`](petrellatch_proto::consensus::MAX_CONSENSUS_MESSAGE_BYTES).
//!
//! Not guaranteed: progress without a quorum of running voters, and protection
//! against replicas that send false messages (Byzantine faults).
//!
//! # Lost disks
//!
//! The event loop must draw a new incarnation whenever it formats a folder
//! automatically. A replica that isn't a voter and receives nothing from a
//! leader announces itself to all known nodes. If its node is a member with
//! another incarnation, which has been silent for an election timeout, the
//! leader commits one change that removes the old replica and adds the new one
//! as a learner, and promotes the learner by another change once it has durably
//! caught up. Until the first change is committed, the lost replica still
//! counts towards the size of the quorum.
//!
//! # Example
//!
//! A group of one replica. With more replicas the event loop also delivers
//! [`ReplicaOutput::Send`] to [`Replica::handle_message`] of the receiver.
//!
//! ```
//! use petrellatch_core::Timestamp;
//! use petrellatch_core::consensus::{
//!     Membership, PersistentState, Replica, ReplicaId, ReplicaOutput, ReplicaSettings,
//!     ReplicaStart,
//! };
//! use petrellatch_core::identity::{Incarnation, NodeId};
//!
//! let id = ReplicaId { node: NodeId(1), incarnation: Incarnation(7) };
//! let start = ReplicaStart {
//!     id: id.node,
//!     incarnation: id.incarnation,
//!     seed: 42,
//!     persisted: PersistentState::default(),
//!     bootstrap: Some(Membership::of_voters([id])),
//! };
//! let mut replica = Replica::new(Timestamp::ZERO, ReplicaSettings::default(), start);
//! let mut disk = PersistentState::default();
//! let mut applied = Vec::new();
//! let mut proposed = false;
//!
//! while applied.is_empty() {
//!     while let Some(output) = replica.poll_output() {
//!         match output {
//!             ReplicaOutput::Persist(request) => {
//!                 disk.apply(&request);
//!                 replica.handle_persisted(Timestamp::ZERO, request.ticket);
//!             }
//!             ReplicaOutput::Apply { command, .. } => applied.push(command),
//!             _ => {}
//!         }
//!     }
//!     let now = replica.poll_timeout().expect("a voter always has a timer");
//!     replica.handle_timeout(now);
//!     if !proposed {
//!         proposed = replica.propose(now, b"hello".to_vec()).is_ok();
//!     }
//! }
//! assert_eq!(applied, [b"hello".to_vec()]);
//! ```

mod apply;
mod election;
mod entry;
mod follower;
mod leader;
mod leadership;
mod log;
mod membership;
mod membership_change;
mod membership_history;
mod output;
mod persistence;
mod progress;
mod reads;
mod replica;
mod sending;
mod settings;
mod snapshot_assembly;
mod snapshot_transfer;
mod startup_election;
mod status;
mod transfer;
mod wire;
mod write_queue;

pub use entry::{EntryPayload, LogEntry, LogIndex, LogPosition, Term};
pub use membership::{
    MAX_MEMBERS, Member, MemberRole, Membership, MembershipChange, MembershipError, ReplicaId,
};
pub use output::{ElectionLoss, NotLeader, PeerProgress, ProposeError, ReplicaOutput, Role};
pub use persistence::{HardState, PersistRequest, PersistTicket, PersistentState, Snapshot};
pub use replica::Replica;
pub use settings::{
    ConsensusMutations, MAX_COMMAND_BYTES, MAX_PAYLOAD_BYTES, ReplicaSettings, ReplicaStart,
};
pub use wire::MalformedMessage;
