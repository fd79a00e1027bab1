//! The control group: the replicated configuration, the leader's decisions
//! about members and placements, and the operators' requests.
//!
//! A [`ControlNode`] is one process of the group. It composes a
//! [`Replica`](crate::consensus::Replica) of the log, the [`ControlState`] that
//! the log's commands lead to, a [`Relay`](crate::dissemination::Relay) that
//! serves this state to daemons, and, while it leads, a
//! [`MemberTracker`](crate::membership::MemberTracker) and the planner of
//! placements. Followers serve children too, and pass heartbeats to the leader.
//!
//! # Guarantees
//!
//! * An accepted change is durable at a quorum and never reverted. Changes are
//!   accepted one after another, each based on the version that the one before
//!   it made; of changes based on the same version one is accepted.
//! * A change is accepted as a whole or not at all, and only if all its values
//!   are possible.
//! * A resent request id gets the first answer again, a refusal included, as
//!   long as fewer than [`limits::REQUEST_WINDOW`] other changes were decided
//!   in between. After that an accepted change is still not applied twice: the
//!   version that it is based on has passed. The same id with other content is
//!   refused as invalid.
//! * Reads are answered only by a leader that a quorum confirmed after the
//!   request came.
//! * An answer of the kind [`Unavailable`](crate::ErrorKind::Unavailable) to a
//!   change leaves open whether it was accepted; all other errors mean that
//!   nothing of it took effect.
//! * Identifiers of services and back ends are never used twice.
//! * Reports of load and health take out at most half of the back ends that a
//!   policy would use if all were well.
//! * More than [`ControlSettings::request_limit`] requests at a time are
//!   refused at once, with the time after which to come back.
//!
//! # Example
//!
//! ```
//! use petrellatch_core::control::{CommandOutcome, ControlMutations, ControlState};
//! use petrellatch_proto::command::{CommandKind, Edit, EditKind, OperatorChange};
//! use petrellatch_proto::record::PolicyRecord;
//!
//! let policy = PolicyRecord {
//!     name: "even".to_owned(),
//!     eligible: "!backend.draining".to_owned(),
//!     weight: "1.0".to_owned(),
//! };
//! let change = OperatorChange {
//!     request_id: "request-1".to_owned(),
//!     based_on: 0,
//!     edits: vec![Edit { kind: Some(EditKind::PutPolicy(policy)) }],
//! };
//! let mut state = ControlState::new(ControlMutations::default());
//! let first = state.apply(&CommandKind::Change(change.clone()).into());
//! let CommandOutcome::Change(Ok(accepted)) = &first.outcome else { panic!() };
//! assert_eq!(accepted.version, 1);
//!
//! let again = state.apply(&CommandKind::Change(change).into());
//! assert_eq!(again.outcome, first.outcome);
//! assert_eq!(again.delta, None, "it took effect only once");
//! ```

mod assignments;
mod change_draft;
mod changed_view;
mod command_batcher;
mod configuration_size;
mod control_node;
mod control_output;
mod control_settings;
mod control_snapshot;
mod control_state;
mod fenced_lives;
mod leader_commands;
pub mod limits;
mod load_level;
mod mutations;
mod operator;
mod outcome;
mod pending_checks;
mod pending_requests;
mod placement_planner;
mod plan_queue;
mod policy_cache;
mod policy_check;
mod request_window;
mod service_input;
mod service_plan;
mod share_decision;
mod status;
mod validation;

pub use changed_view::ChangedView;
pub use control_node::ControlNode;
pub use control_output::ControlOutput;
pub use control_settings::{ControlPeer, ControlSettings};
pub use control_snapshot::SnapshotError;
pub use control_state::ControlState;
pub use fenced_lives::Life;
pub use mutations::ControlMutations;
pub use operator::{
    ClusterStatus, Configuration, MemberStatus, OperatorError, OperatorRequest, OperatorResponse,
    RecordCounts, ReplicaStatus,
};
pub use outcome::{AcceptedChange, Applied, ChangeAnswer, ChangeRefusal, CommandOutcome};
pub use service_plan::PLANNED_GENERATIONS;
