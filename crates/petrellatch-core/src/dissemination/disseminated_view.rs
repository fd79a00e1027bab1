//! What a link and a relay need of the view that they keep or serve.

use std::collections::BTreeSet;

use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{RecordChange, RecordKey};

use crate::cluster::{ApplyError, ClusterView};

/// A view that moves forward by deltas and snapshots. Daemons keep a
/// [`ClusterView`]; many daemons in one measuring process share the records
/// behind another type.
pub trait DisseminatedView {
    /// The version in force.
    fn version(&self) -> u64;

    /// Applies the delta that follows the version in force.
    fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError>;

    /// Replaces the whole content by a snapshot of a newer version.
    fn replace(&mut self, version: u64, records: &[RecordChange]) -> Result<(), ApplyError>;

    /// All records as puts, in a fixed order.
    fn records(&self) -> Vec<RecordChange>;

    /// The keys of all records.
    fn keys(&self) -> BTreeSet<RecordKey> {
        self.records()
            .iter()
            .filter_map(RecordChange::key)
            .collect()
    }

    /// How many records there are.
    fn record_count(&self) -> usize {
        self.records().len()
    }

    /// An empty view of the same kind, at version zero.
    fn cleared(&self) -> Self;
}

impl DisseminatedView for ClusterView {
    fn version(&self) -> u64 {
        ClusterView::version(self)
    }

    fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        ClusterView::apply(self, delta)
    }

    fn replace(&mut self, version: u64, records: &[RecordChange]) -> Result<(), ApplyError> {
        ClusterView::replace(self, version, records)
    }

    fn records(&self) -> Vec<RecordChange> {
        ClusterView::records(self)
    }

    fn keys(&self) -> BTreeSet<RecordKey> {
        ClusterView::keys(self).collect()
    }

    fn record_count(&self) -> usize {
        ClusterView::record_count(self)
    }

    fn cleared(&self) -> Self {
        ClusterView::new()
    }
}
