//! Hunted flows that were refused a moment ago.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::admission::HUNT_PATIENCE;
use crate::identity::BackendId;
use crate::placement::FlowKey;

/// How many refusals are remembered at a time.
const LIMIT: usize = 4_096;

/// The refusals of hunted flows. The owner acts on the first answer, so that a
/// flow whose doubled packet was admitted after a refusal would be open at two
/// agents.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedHunts {
    refused: BTreeMap<(FlowKey, BackendId), Timestamp>,
}

impl RefusedHunts {
    /// Notes a refusal.
    pub(super) fn insert(&mut self, now: Timestamp, key: FlowKey, backend: BackendId) {
        if self.refused.len() < LIMIT {
            self.refused.insert((key, backend), now + HUNT_PATIENCE);
        }
    }

    /// Returns whether the flow was refused a moment ago.
    pub(super) fn contains(&self, now: Timestamp, key: FlowKey, backend: BackendId) -> bool {
        let until = self.refused.get(&(key, backend));
        until.is_some_and(|until| *until > now)
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.refused.retain(|_, until| *until > now);
    }
}
