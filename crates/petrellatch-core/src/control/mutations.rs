//! Deliberate faults for the lab.

/// Each of them breaks a guarantee, so that tests can show that the checkers
/// notice. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlMutations {
    /// A resent change is applied again.
    pub no_request_dedupe: bool,
    /// A change is accepted whatever version it is based on.
    pub ignore_based_on: bool,
    /// A silent agent is fenced before its lease can have run out.
    pub fence_without_waiting: bool,
    /// A new leader takes it that no earlier leader has granted leases.
    pub forget_earlier_leases: bool,
    /// A new life is registered while the former one may still admit.
    pub register_over_former_life: bool,
    /// Placements are settled before all owners have reported.
    pub settle_without_reports: bool,
}
