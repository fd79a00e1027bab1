//! Daemons that wait to be registered.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::record::MemberRecord;

use crate::dissemination::Pacer;
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::settings::MembershipSettings;

/// Most waiting daemons; others ask again with their next heartbeat.
const MAX_WAITING: usize = 32_768;

/// How long the outcome of a proposal is awaited before it is repeated.
const PROPOSAL_PATIENCE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Waiting {
    record: MemberRecord,
    proposed_at: Option<Timestamp>,
}

/// Registrations, proposed at a limited rate.
#[derive(Clone, Debug)]
pub(super) struct RegistrationQueue {
    waiting: BTreeMap<NodeId, Waiting>,
    pacer: Pacer,
    looked_at: Timestamp,
}

impl RegistrationQueue {
    pub(super) fn new(settings: &MembershipSettings) -> Self {
        RegistrationQueue {
            waiting: BTreeMap::new(),
            looked_at: Timestamp::ZERO,
            pacer: Pacer::new(
                settings.registrations_per_second,
                settings.registration_burst,
            ),
        }
    }

    /// Adds a daemon, or replaces an earlier life of it that waits.
    pub(super) fn insert(&mut self, record: &MemberRecord) {
        let node = NodeId(record.node);
        let known = self.waiting.get(&node);
        let is_same = known.is_some_and(|waiting| waiting.record == *record);
        let is_full = known.is_none() && self.waiting.len() >= MAX_WAITING;
        if is_same || is_full {
            return;
        }
        let waiting = Waiting {
            record: record.clone(),
            proposed_at: None,
        };
        self.waiting.insert(node, waiting);
    }

    /// Whether a new life of this node waits.
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.waiting.contains_key(&node)
    }

    /// Removes daemons for which `is_done` holds.
    pub(super) fn remove_if(&mut self, is_done: impl Fn(&MemberRecord) -> bool) {
        self.waiting.retain(|_, waiting| !is_done(&waiting.record));
    }

    /// Returns the next daemon to be proposed now, of those for which `is_free`
    /// holds.
    pub(super) fn next(
        &mut self,
        now: Timestamp,
        is_free: impl Fn(NodeId) -> bool,
    ) -> Option<MemberRecord> {
        self.looked_at = now;
        if !self.pacer.is_ready(now) {
            return None;
        }
        let is_due = |waiting: &Waiting| {
            let repeat_at = waiting.proposed_at.map(|at| at + PROPOSAL_PATIENCE);
            repeat_at.is_none_or(|at| at <= now)
        };
        let (_, waiting) = self
            .waiting
            .iter_mut()
            .find(|(node, waiting)| is_due(waiting) && is_free(**node))?;
        waiting.proposed_at = Some(now);
        self.pacer.take(now, 1);
        Some(waiting.record.clone())
    }

    /// When the next daemon may be proposed, if only the rate holds it back.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let ready_at = self.pacer.ready_at();
        let is_held = ready_at > self.looked_at && !self.waiting.is_empty();
        is_held.then_some(ready_at)
    }
}
