//! The view of a hollow daemon.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use petrellatch_core::cluster::{ApplyError, ClusterView};
use petrellatch_core::dissemination::DisseminatedView;
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::RecordChange;

/// The records that all hollow daemons of the process share: those of the
/// daemon that is furthest ahead.
#[derive(Debug, Default)]
pub struct SharedRecords {
    version: AtomicU64,
    count: AtomicUsize,
    view: Mutex<ClusterView>,
    snapshots: Mutex<VecDeque<NamedSnapshot>>,
}

/// Records that were handed out as those of a version.
#[derive(Debug)]
struct NamedSnapshot {
    version: u64,
    records: Arc<Vec<RecordChange>>,
}

impl SharedRecords {
    fn apply(&self, delta: &Delta) {
        if delta.version <= self.version.load(Ordering::Acquire) {
            return;
        }
        let mut view = self.lock();
        // A daemon that is further ahead may have been faster.
        if view.apply(delta).is_ok() {
            self.note(&view);
        }
    }

    fn replace(&self, version: u64, records: &[RecordChange]) {
        if version <= self.version.load(Ordering::Acquire) {
            return;
        }
        let mut view = self.lock();
        if view.replace(version, records).is_ok() {
            self.note(&view);
        }
    }

    fn note(&self, view: &ClusterView) {
        self.count.store(view.record_count(), Ordering::Release);
        self.version.store(view.version(), Ordering::Release);
    }

    /// The newest records. Whoever asks for the same version gets the same
    /// ones, since relays must cut a snapshot alike.
    fn snapshot(&self, version: u64) -> Arc<Vec<RecordChange>> {
        const KEPT_SNAPSHOTS: usize = 8;
        let mut snapshots = self
            .snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = snapshots.iter().find(|it| it.version == version);
        if let Some(known) = known {
            return Arc::clone(&known.records);
        }
        let records = Arc::new(self.lock().records());
        snapshots.push_back(NamedSnapshot {
            version,
            records: Arc::clone(&records),
        });
        if snapshots.len() > KEPT_SNAPSHOTS {
            snapshots.pop_front();
        }
        records
    }

    fn lock(&self) -> MutexGuard<'_, ClusterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Holds the version that is in force at one daemon. A snapshot that a hollow
/// relay serves has the newest shared records, which may be newer than the
/// version on it; its size and its cost are what they should be.
#[derive(Clone, Debug)]
pub struct HollowView {
    version: u64,
    records: Arc<SharedRecords>,
}

impl HollowView {
    /// A view at `version`.
    pub fn new(version: u64, records: Arc<SharedRecords>) -> Self {
        HollowView { version, records }
    }
}

impl DisseminatedView for HollowView {
    fn version(&self) -> u64 {
        self.version
    }

    fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        if delta.version != self.version + 1 {
            return Err(ApplyError::OutOfOrder {
                current: self.version,
                version: delta.version,
            });
        }
        self.version = delta.version;
        self.records.apply(delta);
        Ok(())
    }

    fn replace(&mut self, version: u64, records: &[RecordChange]) -> Result<(), ApplyError> {
        if version <= self.version {
            return Err(ApplyError::Older {
                current: self.version,
                version,
            });
        }
        self.version = version;
        self.records.replace(version, records);
        Ok(())
    }

    fn records(&self) -> Vec<RecordChange> {
        self.records.snapshot(self.version).as_ref().clone()
    }

    fn record_count(&self) -> usize {
        self.records.count.load(Ordering::Acquire)
    }

    fn cleared(&self) -> Self {
        HollowView::new(0, Arc::clone(&self.records))
    }
}
