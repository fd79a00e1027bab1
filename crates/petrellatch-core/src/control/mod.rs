//! The control group's state and the node that keeps it.

mod change_draft;
mod control_snapshot;
mod control_state;
mod fenced_lives;
pub mod limits;
mod mutations;
mod outcome;
mod request_window;
mod validation;

pub use control_snapshot::SnapshotError;
pub use control_state::ControlState;
pub use fenced_lives::Life;
pub use mutations::ControlMutations;
pub use outcome::{AcceptedChange, Applied, ChangeAnswer, ChangeRefusal, CommandOutcome};
