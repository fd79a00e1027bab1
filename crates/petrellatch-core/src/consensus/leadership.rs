//! State that only a leader has.

use std::collections::{BTreeMap, VecDeque};

use crate::Timestamp;
use crate::identity::{Incarnation, NodeId};

use super::entry::LogIndex;
use super::membership::{Membership, ReplicaId};
use super::output::PeerProgress;
use super::progress::{Progress, ReplicationState};

/// Maximum number of announced replicas that a leader keeps.
const MAX_ANNOUNCED_REPLICAS: usize = 16;

/// State of a leader in its term.
#[derive(Debug)]
pub(super) struct Leadership {
    /// The other members, learners included.
    pub(super) peers: BTreeMap<NodeId, Progress>,
    /// When this leader was elected.
    pub(super) since: Timestamp,
    /// Index of the no-operation entry with which the term starts.
    pub(super) first_index: LogIndex,
    pub(super) next_heartbeat: Timestamp,
    /// Number of the current leadership confirmation round.
    pub(super) round: u64,
    /// Whether pending reads need a new round.
    pub(super) round_requested: bool,
    pub(super) reads: VecDeque<PendingRead>,
    /// When a leadership transfer is abandoned if no voter is ready for it.
    /// `None` if no transfer is in progress.
    pub(super) transfer_deadline: Option<Timestamp>,
    /// Announced replicas of nodes that aren't members.
    announced: BTreeMap<NodeId, Incarnation>,
}

/// A read that waits for the confirmation of leadership.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) token: u64,
    /// Index that must be applied before the read is served.
    pub(super) index: LogIndex,
    /// Confirmation round that a quorum must acknowledge.
    pub(super) round: u64,
}

impl Leadership {
    pub(super) fn new(since: Timestamp, first_index: LogIndex) -> Self {
        Leadership {
            peers: BTreeMap::new(),
            since,
            first_index,
            next_heartbeat: since,
            round: 0,
            round_requested: false,
            reads: VecDeque::new(),
            transfer_deadline: None,
            announced: BTreeMap::new(),
        }
    }

    /// Updates the peers to a new membership. Remaining members keep their
    /// progress.
    pub(super) fn apply_membership(
        &mut self,
        own: ReplicaId,
        membership: &Membership,
        last_index: LogIndex,
        now: Timestamp,
    ) {
        self.peers
            .retain(|_, progress| membership.contains(progress.replica));
        for member in membership.members() {
            let replica = member.replica;
            if replica == own {
                continue;
            }
            let peer = self.peers.entry(replica.node);
            peer.or_insert_with(|| Progress::new(replica, last_index, now));
            self.announced.remove(&replica.node);
        }
    }

    /// The progress of the member with exactly this node and incarnation.
    pub(super) fn progress_of(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        let progress = self.peers.get_mut(&replica.node)?;
        (progress.replica == replica).then_some(progress)
    }

    pub(super) fn note_announced_replica(&mut self, replica: ReplicaId) {
        let is_listed = self.announced.contains_key(&replica.node);
        if is_listed || self.announced.len() < MAX_ANNOUNCED_REPLICAS {
            self.announced.insert(replica.node, replica.incarnation);
        }
    }

    pub(super) fn announced_replicas(&self) -> Vec<ReplicaId> {
        let replica = |(node, incarnation): (&NodeId, &Incarnation)| ReplicaId {
            node: *node,
            incarnation: *incarnation,
        };
        self.announced.iter().map(replica).collect()
    }

    pub(super) fn peer_progress(&self) -> Vec<PeerProgress> {
        let report = |progress: &Progress| PeerProgress {
            replica: progress.replica,
            match_index: progress.match_index,
            last_contact: progress.last_contact,
            receives_snapshot: matches!(progress.state, ReplicationState::Snapshot(_)),
        };
        self.peers.values().map(report).collect()
    }
}
