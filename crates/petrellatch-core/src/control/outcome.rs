//! What applying a command leads to.

use petrellatch_proto::dissemination::Delta;
use snafu::Snafu;

use crate::error_kind::ErrorKind;

/// The result of one command. It is the same at every replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// What the command did.
    pub outcome: CommandOutcome,
    /// The new version, if the command changed anything.
    pub delta: Option<Delta>,
}

/// What a command did.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// An operator's change was decided, now or earlier.
    Change(ChangeAnswer),
    /// A command of the leader took effect.
    Done,
    /// A command of the leader did not fit the state any more.
    Ignored,
}

/// The answer to an operator's change.
pub type ChangeAnswer = Result<AcceptedChange, ChangeRefusal>;

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// The version that the change made; the configuration version from then
    /// on.
    pub version: u64,
}

/// A refused change: nothing of it took effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct ChangeRefusal {
    /// The kind of error.
    pub kind: ErrorKind,
    /// The explanation.
    pub message: String,
    /// The configuration version when the change was refused.
    pub config_version: u64,
}
