//! Applies updates and snapshots to a view, newer versions only.

use std::collections::BTreeSet;

use petrellatch_proto::dissemination::{Delta, Update};
use petrellatch_proto::record::{RecordChange, RecordKey};

use super::disseminated_view::DisseminatedView;
use super::link_settings::DisseminationMutations;

/// What an update did.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateOutcome {
    /// The deltas that were applied.
    pub(super) applied: Vec<Delta>,
    /// The records that they changed.
    pub(super) keys: BTreeSet<RecordKey>,
    /// Whether the update starts beyond the version that follows.
    pub(super) has_gap: bool,
    /// The newest version in the update.
    pub(super) newest: u64,
}

/// A view that moves only forward.
#[derive(Clone, Debug)]
pub(super) struct ViewUpdater<View> {
    view: View,
    mutations: DisseminationMutations,
}

impl<View: DisseminatedView> ViewUpdater<View> {
    pub(super) fn new(view: View, mutations: DisseminationMutations) -> Self {
        ViewUpdater { view, mutations }
    }

    /// The view in force.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// Whether a snapshot of this version would be applied.
    pub(super) fn wants_snapshot(&self, version: u64) -> bool {
        version > self.view.version() || self.mutations.apply_older_versions
    }

    /// Applies the deltas that follow the view's version, in their order.
    pub(super) fn apply_update(&mut self, update: &Update) -> UpdateOutcome {
        let mut outcome = UpdateOutcome::default();
        for delta in &update.deltas {
            outcome.newest = outcome.newest.max(delta.version);
            if self.apply(delta) {
                outcome
                    .keys
                    .extend(delta.changes.iter().filter_map(RecordChange::key));
                outcome.applied.push(delta.clone());
            } else if delta.version > self.view.version() {
                outcome.has_gap = true;
            }
        }
        outcome
    }

    /// Replaces the content by a snapshot that [`ViewUpdater::wants_snapshot`]
    /// allowed. Returns the keys of all records before and after.
    pub(super) fn replace(
        &mut self,
        version: u64,
        records: &[RecordChange],
    ) -> BTreeSet<RecordKey> {
        let mut keys = self.view.keys();
        if self.mutations.apply_older_versions {
            self.view = self.view.cleared();
        }
        if self.view.replace(version, records).is_ok() {
            keys.extend(records.iter().filter_map(RecordChange::key));
        }
        keys
    }

    fn apply(&mut self, delta: &Delta) -> bool {
        if self.mutations.apply_older_versions && delta.version <= self.view.version() {
            self.step_back(delta.version);
        }
        self.view.apply(delta).is_ok()
    }

    /// Pretends that the version before `version` is in force (a fault for
    /// the lab).
    fn step_back(&mut self, version: u64) {
        let records = self.view.records();
        self.view = self.view.cleared();
        if version > 1 {
            let _ = self.view.replace(version - 1, &records);
        }
    }
}
