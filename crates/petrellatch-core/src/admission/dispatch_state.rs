//! Whether a back end may have seen a flow's request.

/// What a failure of a flow may lead to depends on this alone, not on the kind
/// of the failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatchState {
    /// No byte was handed to the connection to the back end: the request did
    /// not run, so the flow may be passed to another agent or refused as not
    /// run.
    #[default]
    NotSent,
    /// At least one byte was handed over: whether the request ran is unknown,
    /// so the flow may only be reset.
    Sent,
}

impl DispatchState {
    /// Notes that bytes are handed to the connection to the back end.
    pub fn mark_sent(&mut self) {
        *self = DispatchState::Sent;
    }

    /// Returns whether the flow may be refused as not run.
    pub fn may_refuse_as_not_run(self) -> bool {
        self == DispatchState::NotSent
    }
}
