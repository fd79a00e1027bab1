//! Placement of buckets: which back end admits the new flows of a bucket.
//!
//! The flow keys of a service are divided into buckets ([`FlowKey::bucket`]). A
//! [`BucketTable`] maps each bucket to a primary back end, which admits new
//! flows, and a secondary one, which is meant for new flows for which the
//! primary has no capacity. Routing uses only the primary. A table is a pure
//! function of the service, the number of buckets and the [`Share`]s. It is
//! computed with integers only, so every machine computes the same table from
//! the same inputs.

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
