//! Settings of a replica and its initial state.

use std::time::Duration;

use crate::identity::{Incarnation, NodeId};

use super::membership::Membership;
use super::persistence::PersistentState;

/// Maximum size of a command that `Replica::propose` accepts, in bytes.
pub const MAX_COMMAND_BYTES: usize = 48 * 1024;

/// Maximum size of a batch of entries or a snapshot chunk in one message, in
/// bytes. Leaves space for the envelope below the datagram limit.
pub const MAX_PAYLOAD_BYTES: usize = 50 * 1024;

/// Settings of a replica. All replicas of a group use the same
/// `election_timeout` and `clock_drift_margin_per_mille`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// A voter that received a message from a leader within this time grants
    /// no votes to others. Elections start after a random time of one to two
    /// election timeouts without a leader.
    pub election_timeout: Duration,
    /// Interval between the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Target size of the entries in one message, in bytes; at most
    /// [`MAX_PAYLOAD_BYTES`] is used.
    pub max_batch_bytes: usize,
    /// Size of one snapshot chunk in bytes; at most [`MAX_PAYLOAD_BYTES`] is
    /// used.
    pub snapshot_chunk_bytes: usize,
    /// Number of applied entries after which the application is asked for a
    /// snapshot.
    pub compaction_threshold: u64,
    /// Total size of applied entries, in bytes, after which the application is
    /// also asked for a snapshot. The size of the last snapshot is used if it
    /// is larger, so that neither the log nor the work for snapshots grows out
    /// of proportion.
    pub compaction_bytes: usize,
    /// Maximum difference between the rates of two clocks, in thousandths. A
    /// leader relies on its quorum for a time that is shorter than
    /// `election_timeout` by this fraction.
    pub clock_drift_margin_per_mille: u32,
    /// Whether a replica that was removed may join again, for groups that
    /// remove silent members automatically.
    pub readmit_retired: bool,
    /// Whether a voter may take part in elections as soon as it starts. Must be
    /// off where leases are granted: the voter's previous run may have
    /// acknowledged a heartbeat of a leader that still relies on no other
    /// leader being elected. The log and reads don't depend on this.
    pub elects_at_start: bool,
    /// Fault injection for the lab; all off in production.
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
    /// How long a leader may rely on its quorum, counted from the sending of a
    /// heartbeat that the quorum acknowledged.
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

/// Injected faults for the lab. Each of them breaks a guarantee, so that tests
/// can prove that the checkers detect it. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsensusMutations {
    /// Acknowledgements of learners count towards commits.
    pub learner_counts_as_voter: bool,
    /// Votes and acknowledgements are sent before the disk has synced.
    pub acknowledge_before_sync: bool,
    /// A leader without a quorum doesn't step down and serves reads without
    /// confirming its leadership.
    pub skip_quorum_check: bool,
    /// A restarted replica forgets its vote.
    pub forget_vote_on_restart: bool,
    /// Votes and acknowledgements of a node count regardless of its
    /// incarnation, so that a replica with a lost disk counts as the previous
    /// one.
    pub ignore_incarnation: bool,
    /// A leader doesn't step down when it transfers its leadership.
    pub lead_on_after_transfer: bool,
}

/// Initial state of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStart {
    /// The node that this replica runs on.
    pub id: NodeId,
    /// Incarnation of the data folder, drawn when it was formatted.
    pub incarnation: Incarnation,
    /// Seed of the replica's random number generator.
    pub seed: u64,
    /// State read back from disk.
    pub persisted: PersistentState,
    /// The group's initial membership, the same at all replicas. It takes
    /// effect only in an empty data folder whose incarnation it lists;
    /// otherwise it only lists the nodes that this replica announces itself
    /// to. An automatically formatted folder must therefore never get a listed
    /// incarnation.
    pub bootstrap: Option<Membership>,
}
