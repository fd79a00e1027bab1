//! The inputs of a policy.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::{BackendId, ServiceId};

/// The value of [`BackendView::health`] for a fully healthy back end.
pub const HEALTH_SCALE: u32 = 1_000;

/// The variable `backend` of a policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendView {
    /// The identifier of the back end, which policies can't read.
    pub id: BackendId,
    /// The operator's name for the back end: `backend.name`.
    pub name: String,
    /// The zone where the back end runs: `backend.zone`.
    pub zone: String,
    /// The free-form labels of the back end: `backend.labels`.
    pub labels: BTreeMap<String, String>,
    /// The number of requests that the back end can process at once:
    /// `backend.slots`.
    pub slots: u32,
    /// The number of slots without a request: `backend.free_slots`.
    pub free_slots: u32,
    /// The number of open flows: `backend.connections`.
    pub connections: u32,
    /// The health from 0 (down) to [`HEALTH_SCALE`] (fully healthy).
    /// `backend.health` is this value divided by the scale, from 0.0 to 1.0.
    pub health: u32,
    /// Whether the back end accepts no new flows: `backend.draining`.
    pub draining: bool,
    /// The time since the start of the back end: `backend.age_seconds`.
    pub age: Duration,
}

/// The variable `service` of a policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceView {
    /// The identifier of the service, which policies can't read.
    pub id: ServiceId,
    /// The operator's name for the service: `service.name`.
    pub name: String,
    /// The zone that the service prefers: `service.zone`. If there is none, the
    /// field is missing and `has(service.zone)` is false.
    pub zone: Option<String>,
}
