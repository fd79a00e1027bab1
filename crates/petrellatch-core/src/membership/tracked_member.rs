//! What the leader knows about the present life of one member.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use petrellatch_proto::dissemination::{BackendLoad, HeartbeatEntry};

use crate::identity::{BackendId, Incarnation, ServiceId};
use crate::time::Timestamp;

/// Most back ends of one agent whose loads are kept.
const MAX_LOADS: usize = 256;

/// A version that the member did not have yet, and since when it lacks it.
#[derive(Clone, Copy, Debug)]
struct Lag {
    target: u64,
    since: Timestamp,
}

/// One life of a member in the present leader's term.
#[derive(Clone, Debug)]
pub(super) struct TrackedMember {
    pub(super) incarnation: Incarnation,
    pub(super) last_seen: Timestamp,
    /// From when on any lease of this life has ended for certain.
    pub(super) lease_over_at: Timestamp,
    /// When this life was first seen; none if it is older than the term.
    pub(super) appeared_at: Option<Timestamp>,
    pub(super) is_suspected: bool,
    pub(super) is_stopped: bool,
    pub(super) is_leaving: bool,
    /// Whether this leader has granted this life a lease.
    pub(super) was_granted: bool,
    pub(super) fence_proposed_at: Option<Timestamp>,
    pub(super) state_proposed_at: Option<Timestamp>,
    pub(super) loads: BTreeMap<BackendId, BackendLoad>,
    /// Whether reports of load and health have changed since last asked.
    loads_changed: bool,
    sequence: u64,
    heartbeats: u32,
    version: u64,
    unsettled: BTreeSet<ServiceId>,
    lag: Option<Lag>,
}

impl TrackedMember {
    pub(super) fn new(
        now: Timestamp,
        incarnation: Incarnation,
        lease_over_at: Timestamp,
        appeared_at: Option<Timestamp>,
    ) -> Self {
        TrackedMember {
            incarnation,
            last_seen: now,
            lease_over_at,
            appeared_at,
            is_suspected: false,
            is_stopped: false,
            is_leaving: false,
            was_granted: false,
            fence_proposed_at: None,
            state_proposed_at: None,
            loads: BTreeMap::new(),
            loads_changed: false,
            sequence: 0,
            heartbeats: 0,
            version: 0,
            unsettled: BTreeSet::new(),
            lag: None,
        }
    }

    /// Takes a heartbeat of this life. Returns whether it is newer than all
    /// before it; otherwise it has no effect.
    pub(super) fn observe(&mut self, now: Timestamp, entry: &HeartbeatEntry, newest: u64) -> bool {
        if entry.sequence <= self.sequence {
            return false;
        }
        self.sequence = entry.sequence;
        self.heartbeats = self.heartbeats.saturating_add(1);
        self.last_seen = now;
        self.is_suspected = false;
        self.version = entry.version;
        self.unsettled = entry.unsettled.iter().copied().map(ServiceId).collect();
        self.is_stopped |= entry.stopped;
        self.is_leaving = entry.leaving;
        for load in &entry.loads {
            self.take_load(load);
        }
        self.observe_lag(now, newest);
        true
    }

    /// The version in force at the member; none before its first heartbeat to
    /// this leader.
    pub(super) fn reported_version(&self) -> Option<u64> {
        (self.sequence > 0).then_some(self.version)
    }

    /// Whether the member's loads are known: it sends all with the second
    /// heartbeat to a leader at the latest.
    pub(super) fn has_reported_loads(&self) -> bool {
        const NEEDED_HEARTBEATS: u32 = 2;
        self.heartbeats >= NEEDED_HEARTBEATS
    }

    /// Whether loads changed since this was last asked.
    pub(super) fn take_loads_changed(&mut self) -> bool {
        std::mem::take(&mut self.loads_changed)
    }

    /// Whether anything about this life might have to be proposed: it leaves,
    /// stops, is silent or lags. The details are looked at only then.
    pub(super) fn needs_review(&self, now: Timestamp) -> bool {
        let is_regular = !self.is_leaving && !self.is_stopped && !self.is_suspected;
        !is_regular || self.lease_over_at <= now || self.lag.is_some()
    }

    /// Whether the newest generation that the member knows is settled there.
    pub(super) fn is_settled(&self, service: ServiceId) -> bool {
        !self.unsettled.contains(&service)
    }

    /// For how long the member has lacked a version.
    pub(super) fn lag(&self, now: Timestamp) -> Duration {
        self.lag
            .map_or(Duration::ZERO, |lag| now.saturating_since(lag.since))
    }

    /// Whether the member could admit: it had a lease in this term, or is
    /// older than the term.
    pub(super) fn is_ready(&self) -> bool {
        self.was_granted || self.appeared_at.is_none()
    }

    fn take_load(&mut self, load: &BackendLoad) {
        let id = BackendId(load.backend);
        let known = self.loads.get(&id);
        let fits = known.is_some() || self.loads.len() < MAX_LOADS;
        if fits && known != Some(load) {
            self.loads_changed = true;
            self.loads.insert(id, *load);
        }
    }

    fn observe_lag(&mut self, now: Timestamp, newest: u64) {
        if self.lag.is_some_and(|lag| self.version >= lag.target) {
            self.lag = None;
        }
        if self.lag.is_none() && self.version < newest {
            self.lag = Some(Lag {
                target: newest,
                since: now,
            });
        }
    }
}
