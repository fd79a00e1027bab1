//! Whether a back end has room for one more flow.

use std::time::Duration;

use petrellatch_proto::record::BackendRecord;

use crate::Timestamp;

use super::ServiceTime;

/// Why a new flow was not admitted at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The agent is leaving.
    Leaving,
    /// The back end is draining.
    Draining,
    /// It has as many connections as it accepts.
    Connections,
    /// All its slots are busy and the wait for one is too long.
    Slots,
    /// The service's limit of new flows a second is reached.
    RateLimit,
    /// It can't be reached.
    Unreachable,
    /// No back end of the service receives new flows.
    NoBackend,
    /// The agent has no lease, or has not heard from the leader since it
    /// started.
    NoLease,
}

/// What a back end is doing, as its agent counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendUse {
    /// Flows with a request in progress.
    pub busy: u32,
    /// Open flows.
    pub connections: u32,
}

impl BackendUse {
    /// Replaces what one flow was counted for by what it uses now.
    pub fn adjust(&mut self, before: BackendUse, after: BackendUse) {
        self.busy = (self.busy + after.busy).saturating_sub(before.busy);
        self.connections =
            (self.connections + after.connections).saturating_sub(before.connections);
    }
}

/// The limits of one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendLimits {
    slots: u32,
    connections: u32,
    draining: bool,
    warm_up: Duration,
    started_at: Timestamp,
    /// The longest time that a flow may be expected to wait for a slot.
    wait_limit: Duration,
}

impl BackendLimits {
    /// Takes the limits from the record. The warm-up runs from `now`, when
    /// this agent first knew the back end.
    pub fn new(now: Timestamp, backend: &BackendRecord, wait_limit: Duration) -> Self {
        BackendLimits {
            slots: backend.slots,
            connections: backend.connections,
            draining: backend.draining || backend.evacuated,
            warm_up: Duration::from_secs(u64::from(backend.warm_up_seconds)),
            started_at: now,
            wait_limit,
        }
    }

    /// Takes over a changed record; the warm-up goes on.
    pub fn update(&mut self, backend: &BackendRecord) {
        self.slots = backend.slots;
        self.connections = backend.connections;
        self.draining = backend.draining;
        self.warm_up = Duration::from_secs(u64::from(backend.warm_up_seconds));
    }

    /// Returns the slots that may be used at this point of the warm-up, at
    /// least one; zero stands for no limit.
    pub fn slots(&self, now: Timestamp) -> u32 {
        let elapsed = now.saturating_since(self.started_at);
        if self.slots == 0 || elapsed >= self.warm_up {
            return self.slots;
        }
        let ramp = u128::from(self.slots) * elapsed.as_micros() / self.warm_up.as_micros();
        u32::try_from(ramp).unwrap_or(self.slots).max(1)
    }

    /// Returns whether one more flow may be admitted.
    pub fn check(
        &self,
        now: Timestamp,
        present: BackendUse,
        service_time: &ServiceTime,
    ) -> Result<(), RefusalReason> {
        if self.draining {
            return Err(RefusalReason::Draining);
        }
        if self.connections > 0 && present.connections >= self.connections {
            return Err(RefusalReason::Connections);
        }
        let slots = self.slots(now);
        let wait = service_time.expected_wait(present.busy, slots);
        if wait > self.wait_limit {
            return Err(RefusalReason::Slots);
        }
        Ok(())
    }
}
