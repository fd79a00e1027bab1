//! Placement: which back end admits the new flows of a bucket.
//!
//! The flow keys of a service are cut into buckets ([`FlowKey::bucket`]). A
//! [`BucketTable`] names for each bucket a primary back end, which admits new
//! flows, and a secondary one, to which the primary passes flows that it has
//! no room for. A table is a pure function of the service, the number of
//! buckets and the [`Share`]s; integer arithmetic alone is used, so every
//! machine computes the same table from the same inputs.

mod assignment;
mod bucket_table;
mod flow_key;
mod packed_positions;
mod quota;
pub mod rendezvous;
mod share;

#[cfg(test)]
mod tests;

pub use bucket_table::{BucketTable, MAXIMUM_BACKENDS, MAXIMUM_BUCKETS};
pub use flow_key::FlowKey;
pub use quota::apportion;
pub use share::{NOMINAL_WEIGHT, Share};
