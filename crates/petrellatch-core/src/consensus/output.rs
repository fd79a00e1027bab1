//! Outputs of a replica for its event loop, and the errors of its methods.

use petrellatch_proto::consensus::ConsensusMessage;
use snafu::Snafu;

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{LogIndex, LogPosition, Term};
use super::membership::{Membership, ReplicaId};
use super::persistence::PersistRequest;

/// Role of a replica in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Sends pre-vote requests to find out whether it would win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Why a candidacy ended although the candidate has seen no leader of its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ElectionLoss {
    /// Too many voters denied their votes for it to win.
    Denied,
    /// Too few voters responded in time.
    NoAnswer,
    /// Another replica started a higher term.
    HigherTerm,
}

impl ElectionLoss {
    /// All reasons.
    pub const ALL: [ElectionLoss; 3] = [
        ElectionLoss::Denied,
        ElectionLoss::NoAnswer,
        ElectionLoss::HigherTerm,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ElectionLoss::Denied => "denied",
            ElectionLoss::NoAnswer => "no_answer",
            ElectionLoss::HigherTerm => "higher_term",
        }
    }
}

/// An action for the event loop. Actions must be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message. It may be lost, duplicated or delayed.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Write and sync to disk, then call `Replica::handle_persisted`. The
    /// replica requests the next write only after that.
    Persist(PersistRequest),
    /// Apply a committed command to the application's state.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the application's state.
    RestoreSnapshot {
        /// Last entry that the state covers.
        index: LogIndex,
        /// The state, as given to `Replica::install_application_snapshot`.
        bytes: Vec<u8>,
    },
    /// Take a snapshot of the application's state and pass it to
    /// `Replica::install_application_snapshot`.
    SnapshotWanted {
        /// Last entry that has been applied.
        index: LogIndex,
    },
    /// Serve a read from the application's state, which covers `index`.
    ReadReady {
        /// Token of the request.
        token: u64,
        /// Everything committed before the request is at or below this index.
        index: LogIndex,
    },
    /// Reject a read: leadership could not be confirmed.
    ReadLost {
        /// Token of the request.
        token: u64,
    },
    /// This replica will not report the application of a proposal made here:
    /// another entry took its place, or a snapshot covers it. The proposer
    /// must treat the outcome as unknown.
    ProposalLost {
        /// Position that `Replica::propose` returned.
        position: LogPosition,
    },
    /// Role or term changed.
    RoleChanged {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
    },
    /// This replica was a candidate, and the term ended before it received a
    /// message from a leader of that term.
    ElectionLost {
        /// The term.
        term: Term,
        /// Why it was not elected.
        reason: ElectionLoss,
    },
    /// The membership in effect changed. It may not be committed yet.
    MembershipChanged(Membership),
}

/// Error of a replica that isn't the leader, or steps down because its quorum
/// was silent for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("this replica is not the leader"))]
pub struct NotLeader {
    /// The node that may be the leader, if one is known.
    pub hint: Option<NodeId>,
}

/// Why a proposal was refused. The command is not appended to the log and will
/// never be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica isn't the leader, or is transferring leadership.
    #[snafu(display("{source}"), context(false))]
    ProposalNotLeader {
        /// The replica that may be the leader.
        source: NotLeader,
    },
    /// The command exceeds `MAX_COMMAND_BYTES`.
    #[snafu(display("a command of {bytes} bytes exceeds the limit of {limit} bytes"))]
    CommandTooLarge {
        /// Size of the command.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// Too many bytes are uncommitted; the caller may retry later.
    #[snafu(display("{bytes} bytes wait to be committed already"))]
    Overloaded {
        /// Size of the uncommitted entries.
        bytes: usize,
    },
}

/// Replication state of another member, as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProgress {
    /// The member.
    pub replica: ReplicaId,
    /// Highest entry known to be durable there.
    pub match_index: LogIndex,
    /// When the leader sent the latest message that the member responded to.
    pub last_contact: Option<Timestamp>,
    /// Whether the leader is sending it a snapshot.
    pub receives_snapshot: bool,
}
