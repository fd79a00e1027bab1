//! Settings of a replica and what it starts from.

use std::time::Duration;

use crate::identity::{Incarnation, NodeId};

use super::membership::Membership;
use super::persistence::PersistentState;

/// Greatest command that `Replica::propose` takes, in bytes.
pub const MAX_COMMAND_BYTES: usize = 48 * 1024;

/// Greatest batch of entries and greatest snapshot chunk in one message, in
/// bytes. Leaves room for the envelope below the datagram limit.
pub const MAX_PAYLOAD_BYTES: usize = 50 * 1024;

/// Tunable figures of a replica. All replicas of a group use the same
/// `election_timeout` and `clock_drift_margin_per_mille`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// A voter that heard from a leader within this time helps to elect no
    /// other one. Elections start after one to two times this, at random.
    pub election_timeout: Duration,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Target size of the entries in one message, in bytes; at most
    /// [`MAX_PAYLOAD_BYTES`] is used.
    pub max_batch_bytes: usize,
    /// Size of one snapshot chunk in bytes; at most [`MAX_PAYLOAD_BYTES`] is
    /// used.
    pub snapshot_chunk_bytes: usize,
    /// The application is asked for a snapshot after this many entries.
    pub compaction_threshold: u64,
    /// It is also asked for one after entries of this size in bytes, or of the
    /// size of the last snapshot if that is larger, so that neither the log
    /// nor the work for snapshots grows out of proportion.
    pub compaction_bytes: usize,
    /// Greatest difference of the rates of two clocks, in thousandths. A
    /// leader counts on its quorum for so much less than
    /// `election_timeout`.
    pub clock_drift_margin_per_mille: u32,
    /// Whether a replica that was removed may announce itself again, for
    /// groups that remove silent members by themselves.
    pub readmit_retired: bool,
    /// Whether a voter that starts may help to elect a leader at once. It may
    /// not where leases are granted: its former life may have answered a
    /// leader that still relies on its silence. Log and reads don't depend on
    /// that.
    pub elects_at_start: bool,
    /// Deliberate faults for the lab; all off in production.
    pub mutations: ConsensusMutations,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        ReplicaSettings {
            election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
            max_batch_bytes: 32 * 1024,
            snapshot_chunk_bytes: 32 * 1024,
            compaction_threshold: 4096,
            compaction_bytes: 4 * 1024 * 1024,
            clock_drift_margin_per_mille: 50,
            readmit_retired: false,
            elects_at_start: false,
            mutations: ConsensusMutations::default(),
        }
    }
}

impl ReplicaSettings {
    /// How long after sending a heartbeat that a quorum answered the leader
    /// may still rely on that quorum.
    pub fn quorum_validity(&self) -> Duration {
        const PER_MILLE: u32 = 1000;
        let margin = self.clock_drift_margin_per_mille.min(PER_MILLE);
        self.election_timeout * (PER_MILLE - margin) / PER_MILLE
    }

    pub(super) fn batch_limit_bytes(&self) -> usize {
        self.max_batch_bytes.min(MAX_PAYLOAD_BYTES)
    }

    pub(super) fn chunk_limit_bytes(&self) -> usize {
        self.snapshot_chunk_bytes.clamp(1, MAX_PAYLOAD_BYTES)
    }
}

/// Deliberate faults for the lab. Each of them breaks a guarantee, so that
/// tests can show that the checkers notice. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsensusMutations {
    /// Acknowledgements of learners count for commits.
    pub learner_counts_as_voter: bool,
    /// Votes and acknowledgements leave before the disk has synced.
    pub acknowledge_before_sync: bool,
    /// A leader without a quorum doesn't step down and serves reads without
    /// confirming its leadership.
    pub skip_quorum_check: bool,
    /// A restarted replica forgets whom it voted for.
    pub forget_vote_on_restart: bool,
    /// Votes and acknowledgements of a node count whatever its incarnation,
    /// so that a replica with a lost disk counts as the one before.
    pub ignore_incarnation: bool,
    /// A leader that has handed over goes on as if it led.
    pub lead_on_after_transfer: bool,
}

/// What a replica starts from.
#[derive(Clone, Debug)]
pub struct ReplicaStart {
    /// The node that this replica runs on.
    pub id: NodeId,
    /// Incarnation of the data folder, drawn when it was formatted.
    pub incarnation: Incarnation,
    /// Seed of all random choices.
    pub seed: u64,
    /// What was read back from disk.
    pub persisted: PersistentState,
    /// The group's first membership, the same at all replicas. It takes
    /// effect only in an empty data folder whose incarnation it lists; in all
    /// other cases it only tells which nodes to announce this replica to. An
    /// automatically formatted folder must therefore never get a listed
    /// incarnation.
    pub bootstrap: Option<Membership>,
}
