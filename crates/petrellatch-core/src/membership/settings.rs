//! Settings of the leader's view of the members.

use std::time::Duration;

/// How the leader grants leases and gives up on silent members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The admission lease of an agent, from the sending of its heartbeat.
    pub lease: Duration,
    /// Greatest difference of the rates of two clocks, in thousandths.
    pub clock_drift_per_mille: u32,
    /// Added to a lease before its end is taken for certain.
    pub lease_margin: Duration,
    /// A member that is silent for so long is suspected.
    pub suspicion_after: Duration,
    /// A member that is silent for so long is suspected if the platform lists
    /// it as leaving, or not at all.
    pub hinted_suspicion_after: Duration,
    /// If more than half of the members are silent, no one is fenced for so
    /// much longer: the fault is likely on the way to them.
    pub mass_silence_grace: Duration,
    /// An agent gets no lease if it lacks a version for longer than this.
    pub version_lag_limit: Duration,
    /// Registrations proposed per second.
    pub registrations_per_second: u64,
    /// Registrations proposed at once after an idle time.
    pub registration_burst: u64,
    /// Most daemons that subscribe to one parent.
    pub fan_out: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            lease: Duration::from_secs(6),
            clock_drift_per_mille: 50,
            lease_margin: Duration::from_millis(200),
            suspicion_after: Duration::from_secs(3),
            hinted_suspicion_after: Duration::from_millis(1_500),
            mass_silence_grace: Duration::from_secs(5),
            version_lag_limit: Duration::from_secs(10),
            registrations_per_second: 100,
            registration_burst: 32,
            fan_out: 32,
        }
    }
}

impl MembershipSettings {
    /// How long after granting a lease the leader knows by its own clock that
    /// the lease has ended at the agent.
    pub fn lease_end(&self) -> Duration {
        const PER_MILLE: u32 = 1_000;
        let slowest = self.lease * (PER_MILLE + self.clock_drift_per_mille) / PER_MILLE;
        slowest + self.lease_margin
    }

    /// The lease as it is written into answers.
    pub fn lease_milliseconds(&self) -> u32 {
        u32::try_from(self.lease.as_millis()).unwrap_or(u32::MAX)
    }
}
