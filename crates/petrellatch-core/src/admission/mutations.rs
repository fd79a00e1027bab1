//! Deliberate faults for the lab.

/// Switches that break one mechanism each, so that the lab can show what the
/// mechanism is for and that its checks would notice. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionMutations {
    /// Flows are admitted without a valid lease.
    pub ignore_lease: bool,
    /// Flows are admitted before the earlier owners have released the bucket.
    pub admit_before_release: bool,
    /// Reports name no flows, so that a new owner knows no redirects.
    pub forget_redirects: bool,
    /// A flow whose back end failed is sent to the back end once more.
    pub retry_after_sent: bool,
    /// Datagrams for another life of the agent are taken.
    pub ignore_incarnation: bool,
    /// A flow without room at its back end is refused, never passed on.
    pub no_hunting: bool,
    /// A flow whose back end failed after it got bytes is refused as not run.
    pub refuse_sent_as_not_run: bool,
}
