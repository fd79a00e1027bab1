//! Daemons that wait to be registered.

use std::collections::{BTreeMap, VecDeque};
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

/// Where a waiting daemon stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A former life of it is still a member.
    Blocked,
    /// It is in the line of those to be proposed.
    Ready,
    /// It was proposed at this time.
    Proposed(Timestamp),
}

#[derive(Clone, Debug)]
struct Waiting {
    record: MemberRecord,
    phase: Phase,
}

/// Registrations, proposed at a limited rate in the order of arrival. No
/// operation walks over all that wait.
#[derive(Clone, Debug)]
pub(super) struct RegistrationQueue {
    waiting: BTreeMap<NodeId, Waiting>,
    /// May name daemons that are in another phase by now.
    ready: VecDeque<NodeId>,
    /// Proposals in the order of time; some may be over by now.
    proposed: VecDeque<(Timestamp, NodeId)>,
    pacer: Pacer,
}

impl RegistrationQueue {
    pub(super) fn new(settings: &MembershipSettings) -> Self {
        RegistrationQueue {
            waiting: BTreeMap::new(),
            ready: VecDeque::new(),
            proposed: VecDeque::new(),
            pacer: Pacer::new(
                settings.registrations_per_second,
                settings.registration_burst,
            ),
        }
    }

    /// Adds a daemon, or replaces an earlier life of it that waits. It is
    /// blocked until [`RegistrationQueue::unblock`] while a former life of it
    /// is a member.
    pub(super) fn insert(&mut self, record: &MemberRecord, is_blocked: bool) {
        let node = NodeId(record.node);
        let known = self.waiting.get(&node);
        let is_same = known.is_some_and(|waiting| waiting.record == *record);
        let is_full = known.is_none() && self.waiting.len() >= MAX_WAITING;
        if is_same || is_full {
            return;
        }
        let waiting = Waiting {
            record: record.clone(),
            phase: Phase::Blocked,
        };
        self.waiting.insert(node, waiting);
        if !is_blocked {
            self.unblock(node);
        }
    }

    /// No life of this node is a member any more.
    pub(super) fn unblock(&mut self, node: NodeId) {
        if let Some(waiting) = self.waiting.get_mut(&node)
            && waiting.phase != Phase::Ready
        {
            waiting.phase = Phase::Ready;
            self.ready.push_back(node);
        }
    }

    /// Whether a new life of this node waits.
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.waiting.contains_key(&node)
    }

    /// Removes a daemon if `is_done` holds for it.
    pub(super) fn remove_if(&mut self, node: NodeId, is_done: impl Fn(&MemberRecord) -> bool) {
        let waiting = self.waiting.get(&node);
        if waiting.is_some_and(|waiting| is_done(&waiting.record)) {
            self.waiting.remove(&node);
        }
    }

    /// Returns the next daemon to be proposed now.
    pub(super) fn next(&mut self, now: Timestamp) -> Option<MemberRecord> {
        self.repeat_lost_proposals(now);
        if !self.pacer.is_ready(now) {
            return None;
        }
        while let Some(node) = self.ready.pop_front() {
            let Some(waiting) = self.waiting.get_mut(&node) else {
                continue;
            };
            if waiting.phase == Phase::Ready {
                waiting.phase = Phase::Proposed(now);
                self.proposed.push_back((now, node));
                self.pacer.take(now, 1);
                return Some(waiting.record.clone());
            }
        }
        None
    }

    /// When the next daemon may be proposed.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        let is_waiting = !self.ready.is_empty();
        is_waiting.then(|| self.pacer.ready_at())
    }

    fn repeat_lost_proposals(&mut self, now: Timestamp) {
        while let Some((at, node)) = self.proposed.front().copied() {
            if at + PROPOSAL_PATIENCE > now {
                return;
            }
            self.proposed.pop_front();
            let waiting = self.waiting.get(&node);
            if waiting.is_some_and(|it| it.phase == Phase::Proposed(at)) {
                self.unblock(node);
            }
        }
    }
}
