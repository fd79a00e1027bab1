//! Brings the replicated state to every daemon, and heartbeats back.
//!
//! The control replicas are the roots of a tree. A [`Relay`] serves children
//! out of the view of the process that it is part of; a [`DaemonLink`] is the
//! child side: it subscribes to a parent, applies what arrives, sends the
//! daemon's heartbeats and holds its admission lease. A balancer's link has a
//! relay of its own, so that balancers serve other daemons.
//!
//! # Guarantees
//!
//! * A view only ever moves forward: deltas are applied without a gap, and a
//!   snapshot only if it is newer than what is in force.
//! * A daemon becomes *current* only after the leader answered a heartbeat
//!   that was sent after the start of the process, and everything that was
//!   committed at the time of the answer has been applied.
//! * A lease counts from when the answered heartbeat was sent, by the local
//!   clock. Answers for another life of the daemon are ignored.
//! * Loss, duplication and reordering delay progress but never stop it: every
//!   answer to a heartbeat carries the newest committed version, so that a
//!   daemon that lags finds out and asks again; a parent that is silent, or
//!   that doesn't help a daemon forward, is left for the next one.
//! * A relay sends a bounded number of bytes a second, whatever its children
//!   ask for, and holds a bounded number of deltas and snapshots.
//!
//! # Example
//!
//! ```
//! use petrellatch_core::Timestamp;
//! use petrellatch_core::dissemination::{DaemonLink, LinkOutput, LinkSettings};
//! use petrellatch_core::identity::{Incarnation, NodeId};
//! use petrellatch_core::node::NodeIdentity;
//! use petrellatch_proto::record::NodeRole;
//!
//! let identity = NodeIdentity {
//!     name: "agent-1".to_owned(),
//!     node: NodeId::from_name("agent-1"),
//!     incarnation: Incarnation(7),
//!     zone: "zone-a".to_owned(),
//!     role: NodeRole::Agent,
//!     control: "127.0.0.1:7001".parse().unwrap(),
//!     data: "127.0.0.1:7002".parse().unwrap(),
//! };
//! let settings = LinkSettings {
//!     controls: vec!["127.0.0.1:7000".parse().unwrap()],
//!     ..LinkSettings::default()
//! };
//! let mut link = DaemonLink::new(Timestamp::ZERO, settings, identity, 1, None);
//! let due = link.poll_timeout().expect("the first request is scheduled");
//! link.handle_timeout(due);
//! assert!(matches!(link.poll_output(), Some(LinkOutput::Send { .. })));
//! assert!(!link.is_current());
//! ```

mod backoff;
mod child;
mod daemon_link;
mod delta_log;
mod disseminated_view;
mod heartbeat_collector;
mod heartbeat_schedule;
mod lease_clock;
mod link_output;
mod link_settings;
mod pacer;
mod parent_list;
mod relay;
mod relay_settings;
mod routes;
mod snapshot_assembly;
mod snapshot_cache;
mod stored_view;
mod subscription;
mod view_updater;

pub use daemon_link::DaemonLink;
pub use delta_log::DeltaLog;
pub use disseminated_view::DisseminatedView;
pub use link_output::{AgentReport, LinkOutput};
pub use link_settings::{
    DisseminationMutations, HEARTBEAT_COMBINE_INTERVAL, HEARTBEAT_INTERVAL, LinkSettings,
};
pub(crate) use pacer::Pacer;
pub use relay::{Relay, RelayOutput};
pub use relay_settings::RelaySettings;
pub use stored_view::{StoredView, StoredViewError, store_interval};
