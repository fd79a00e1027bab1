//! What a policy reads.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::{BackendId, ServiceId};

/// The health of a back end that is well, in the unit of
/// [`BackendView::health`].
pub const HEALTH_SCALE: u32 = 1_000;

/// A back end as a policy sees it: the variable `backend`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendView {
    /// Identifies the back end; policies don't read it.
    pub id: BackendId,
    /// The operator's name for the back end: `backend.name`.
    pub name: String,
    /// The zone where it runs: `backend.zone`.
    pub zone: String,
    /// Free-form labels: `backend.labels`.
    pub labels: BTreeMap<String, String>,
    /// Requests that it can work on at once: `backend.slots`.
    pub slots: u32,
    /// Slots without a request now: `backend.free_slots`.
    pub free_slots: u32,
    /// Open flows now: `backend.connections`.
    pub connections: u32,
    /// Health from 0 (down) to [`HEALTH_SCALE`] (well). `backend.health` is
    /// this value divided by the scale, from 0.0 to 1.0.
    pub health: u32,
    /// Whether it takes no new work: `backend.draining`.
    pub draining: bool,
    /// The time since it started: `backend.age_seconds`.
    pub age: Duration,
}

/// A service as a policy sees it: the variable `service`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// Identifies the service; policies don't read it.
    pub id: ServiceId,
    /// The operator's name for the service: `service.name`.
    pub name: String,
    /// The zone that the service prefers: `service.zone`. Without one the
    /// field is missing, which `has(service.zone)` tells.
    pub zone: Option<String>,
}
