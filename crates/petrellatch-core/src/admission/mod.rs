//! Admission: which agent decides about a new flow, and how it decides.
//!
//! A service's flow-key space is cut into buckets, and a placement generation
//! names one owner for each. [`ServiceAdmission`] is one agent's part in it.
//!
//! Guarantees, whatever is lost, doubled or late:
//!
//! - of one bucket at most one agent admits at a time. The owner by a newer
//!   generation waits until every earlier owner has reported that it stopped,
//!   or was fenced;
//! - a report of an earlier owner lists the flows that it has or knows of, so
//!   that the new owner passes their packets on ([`RedirectTable`]);
//! - a packet of an unknown flow is answered by a reset only after all agents
//!   of the service have reported.
//!
//! [`BackendLimits`] says whether a back end has room for one more flow,
//! [`LoadTable`] which other back end has more room, and [`Refusal`] what the
//! caller of a refused flow gets. [`DispatchState`] decides what may be done
//! after a failure: only a flow of which the back end got no byte may be
//! refused as not run.
//!
//! ```
//! use petrellatch_core::admission::DispatchState;
//!
//! let mut state = DispatchState::NotSent;
//! assert!(state.may_refuse_as_not_run());
//! state.mark_sent();
//! assert!(!state.may_refuse_as_not_run());
//! ```

mod backend_health;
mod backend_limits;
mod dispatch_state;
mod load_table;
mod mutations;
mod redirect_table;
mod refusal;
mod report_inbox;
mod report_outbox;
mod service_admission;
mod service_time;
mod token_bucket;

#[cfg(test)]
mod tests;

pub use backend_health::{BackendHealth, BackendStage};
pub use backend_limits::{BackendLimits, BackendUse, RefusalReason};
pub use dispatch_state::DispatchState;
pub use load_table::{LoadTable, PeerCandidate};
pub use mutations::AdmissionMutations;
pub use redirect_table::{HUNT_PATIENCE, PendingHunt, Redirect, RedirectTable};
pub use refusal::{NOT_RUN_HEADER, Refusal};
pub use report_inbox::ReportInbox;
pub use report_outbox::{OutgoingReport, ReportOutbox};
pub use service_admission::{ServiceAdmission, Standing};
pub use service_time::ServiceTime;
pub use token_bucket::TokenBucket;
