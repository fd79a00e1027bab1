//! The share of new flows that a back end receives.

use crate::identity::BackendId;

/// The weight of a back end that receives an ordinary share of new flows.
pub const NOMINAL_WEIGHT: u32 = 1_000;

/// How much of a service's new flows one back end receives, relative to the
/// other back ends of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// The back end.
    pub backend: BackendId,
    /// The relative weight: 0 receives nothing, [`NOMINAL_WEIGHT`] is usual.
    pub weight: u32,
}
