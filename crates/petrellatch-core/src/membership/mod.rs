//! Who belongs to the cluster, and who may admit new flows.
//!
//! The leader of the control group follows the heartbeats of all balancers
//! and agents in a [`MemberTracker`]. It registers new lives of nodes, grants
//! admission leases to agents, suspects silent members and fences them, that
//! is: removes them from the replicated state so that others may take over.
//!
//! # Guarantees
//!
//! If the leader's calls keep to the conditions of the methods, and clock
//! rates differ by no more than the settings say:
//!
//! * A fence of an agent's life is proposed only when no lease of that life
//!   can be valid any more: the agent said that it stopped, or the last lease
//!   that this leader granted is over, and any lease that an earlier leader
//!   can have granted.
//! * A lease is granted only to a registered life that has applied the version
//!   of its registration and does not lag for long, and never again after its
//!   fence was proposed.
//! * A new life of a node is registered only after the former one was fenced.
//! * The platform's list of machines never fences anyone. It only makes
//!   silence suspicious sooner.
//! * Registrations are proposed at a limited rate, so that a mass restart
//!   doesn't flood the log.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use petrellatch_core::Timestamp;
//! use petrellatch_core::control::{ControlMutations, ControlState};
//! use petrellatch_core::membership::{
//!     MemberTracker, MembershipSettings, TermStart, TrackerOutput,
//! };
//! use petrellatch_proto::command::CommandKind;
//! use petrellatch_proto::dissemination::HeartbeatEntry;
//! use petrellatch_proto::record::{MemberRecord, NodeRole};
//! use petrellatch_core::identity::NodeId;
//!
//! let mut state = ControlState::new(ControlMutations::default());
//! let now = Timestamp::from_millis(10);
//! let settings = MembershipSettings::default();
//! let start = TermStart {
//!     term: 1,
//!     election_timeout: Duration::from_millis(500),
//!     mutations: ControlMutations::default(),
//! };
//! let mut tracker = MemberTracker::new(now, settings, start, &state);
//! let record = MemberRecord {
//!     node: NodeId::from_name("agent-1").0,
//!     incarnation: 1,
//!     name: "agent-1".to_owned(),
//!     role: NodeRole::Agent as i32,
//!     ..MemberRecord::default()
//! };
//! let mut entry = HeartbeatEntry {
//!     node: record.node,
//!     incarnation: 1,
//!     sequence: 1,
//!     registration: Some(record),
//!     ..HeartbeatEntry::default()
//! };
//! let answer = tracker.handle_heartbeat(now, &entry, &state).unwrap();
//! assert!(!answer.registered);
//! let Some(TrackerOutput::Propose(command)) = tracker.poll_output() else { panic!() };
//! let applied = state.apply(&command.into());
//! tracker.handle_applied(now, &applied.delta.unwrap(), &state);
//!
//! entry.sequence = 2;
//! entry.version = 1;
//! let answer = tracker.handle_heartbeat(now, &entry, &state).unwrap();
//! assert_eq!(answer.lease_milliseconds, 6_000);
//! ```

mod attachment;
mod member_tracker;
mod platform_list;
mod registration_queue;
mod settings;
mod tracked_member;

pub use member_tracker::{MemberChange, MemberTracker, TermStart, TrackerOutput};
pub use platform_list::PlatformMachine;
pub use settings::MembershipSettings;
