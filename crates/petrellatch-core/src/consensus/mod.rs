//! A replicated log that survives crashes, cut-off machines and lost disks.
//!
//! A group of three or five [`Replica`]s agrees on one sequence of commands.
//! The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
//! check-quorum, learners and one-at-a-time membership change, extended by
//! *replica incarnations*: every data folder carries a number drawn when it
//! was formatted, and a node that lost its folder is a different replica.
//!
//! The module does no input or output. A driver feeds [`Replica`] with
//! messages, timeouts and finished disk writes, and carries out what
//! [`Replica::poll_output`] returns. Commands and snapshots are opaque bytes.
//!
//! # Guarantees
//!
//! As long as disks keep what they synced, whatever messages are lost,
//! doubled, delayed or reordered and whichever processes stop or freeze:
//!
//! - At most one replica leads in a term.
//! - A command handed out by [`ReplicaOutput::Apply`] at one replica is handed
//!   out by all, at the same index and in the same order, and never reverted.
//!   It is durable at a quorum of voters before it is handed out.
//! - A proposal that is handed out with the position that
//!   [`Replica::propose`] returned is accepted for good.
//! - [`ReplicaOutput::ReadReady`] is given only by a replica that a quorum
//!   confirmed as leader after the read was requested, and after everything
//!   accepted before the request was handed out there.
//! - A leader without a quorum stops leading by its own clock, before any
//!   other replica can be elected, if clock rates differ by no more than
//!   [`ReplicaSettings::clock_drift_margin_per_mille`]. A process that was
//!   frozen notices with the first input.
//! - A replica that lost its disk counts for nothing until it has durably
//!   caught up and a committed change admitted it. If a quorum of the voters
//!   keeps its disks between two such changes, nothing accepted is lost.
//! - Every encoded message is smaller than
//!   [`MAX_CONSENSUS_MESSAGE_BYTES`](petrellatch_proto::consensus::MAX_CONSENSUS_MESSAGE_BYTES).
//!
//! Not guaranteed: progress without a quorum of live voters, and protection
//! against replicas that send false messages.
//!
//! # Lost disks
//!
//! The driver must draw a fresh incarnation whenever it formats a folder on
//! its own. Replicas that are no voters and hear from no leader announce
//! themselves to all known nodes. If the node belongs to a member with another
//! incarnation, which has been silent for an election timeout, the leader
//! commits one change that removes the old replica and adds the new one as a
//! learner, and promotes the learner by another change once it has durably
//! caught up. Until the first change commits the lost replica counts for the
//! size of the quorum.
//!
//! # Example
//!
//! A group of one. With more replicas the driver also carries
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
