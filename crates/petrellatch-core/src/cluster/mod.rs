//! The versioned state of which every process of the cluster has a copy.
//!
//! The replica group's replicated state and every daemon's copy of it are the
//! same [`ClusterView`]: a set of records at one version. The version only
//! grows: by one with each delta, or to that of a newer snapshot.
//!
//! ```
//! use petrellatch_core::cluster::ClusterView;
//! use petrellatch_proto::dissemination::Delta;
//!
//! let mut view = ClusterView::new();
//! let delta = Delta { version: 1, changes: Vec::new() };
//! assert!(view.apply(&delta).is_ok());
//! assert!(view.apply(&delta).is_err(), "a version is applied only once");
//! ```

mod cluster_view;
mod record_index;

pub use cluster_view::{ApplyError, ClusterView};
