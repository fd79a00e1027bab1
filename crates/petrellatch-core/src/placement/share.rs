//! The share of a service's new flows that a back end receives.

use crate::identity::BackendId;

/// The nominal weight of a back end.
pub const NOMINAL_WEIGHT: u32 = 1_000;

/// The share of a service's new flows that one back end receives, relative to
/// the other back ends of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// The back end.
    pub backend: BackendId,
    /// The relative weight: with 0 the back end receives no new flows;
    /// [`NOMINAL_WEIGHT`] is the usual value.
    pub weight: u32,
}
