//! What a replica wants its driver to do, and its refusals.

use petrellatch_proto::consensus::ConsensusMessage;
use snafu::Snafu;

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{LogIndex, LogPosition, Term};
use super::membership::{Membership, ReplicaId};
use super::persistence::PersistRequest;

/// The part that a replica plays in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Replicates the log.
    Leader,
}

/// Why a candidacy ended without a leader in its term, as far as the candidate
/// knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ElectionLoss {
    /// So many voters refused that it could not win.
    Denied,
    /// Too few voters answered in time.
    NoAnswer,
    /// Somebody began a higher term.
    HigherTerm,
}

impl ElectionLoss {
    /// All of them.
    pub const ALL: [ElectionLoss; 3] = [
        ElectionLoss::Denied,
        ElectionLoss::NoAnswer,
        ElectionLoss::HigherTerm,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ElectionLoss::Denied => "denied",
            ElectionLoss::NoAnswer => "no_answer",
            ElectionLoss::HigherTerm => "higher_term",
        }
    }
}

/// Something for the driver to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message. It may get lost, doubled or late.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Write and sync, then call `Replica::handle_persisted`. The replica
    /// asks for the next write only after that.
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
    /// Hand over the application's state by
    /// `Replica::install_application_snapshot`.
    SnapshotWanted {
        /// Last entry that has been applied.
        index: LogIndex,
    },
    /// A read may be served from the application's state, which covers
    /// `index` by now.
    ReadReady {
        /// Token of the request.
        token: u64,
        /// Everything accepted before the request lies at or below it.
        index: LogIndex,
    },
    /// Leadership could not be confirmed; the read must not be served.
    ReadLost {
        /// Token of the request.
        token: u64,
    },
    /// This replica will not report the application of a proposal made here:
    /// another entry took its place, or a snapshot covers it. The proposer
    /// must treat the outcome as unknown.
    ProposalLost {
        /// What `Replica::propose` returned.
        position: LogPosition,
    },
    /// Role or term changed.
    RoleChanged {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
    },
    /// This replica stood for election, and the term ended before it heard a
    /// leader of it.
    ElectionLost {
        /// The term.
        term: Term,
        /// Why it was not elected.
        reason: ElectionLoss,
    },
    /// Another membership is in effect. It may not be committed yet.
    MembershipChanged(Membership),
}

/// Refusal by a replica that doesn't lead, or can't be sure that it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("this replica is not the leader"))]
pub struct NotLeader {
    /// Who may be the leader.
    pub hint: Option<NodeId>,
}

/// Why a proposal was refused. It has not been and will not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica doesn't lead.
    #[snafu(display("{source}"), context(false))]
    ProposalNotLeader {
        /// Where to ask instead.
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
    /// Too much is waiting to be committed; try again later.
    #[snafu(display("{bytes} bytes wait to be committed already"))]
    Overloaded {
        /// Size of what waits.
        bytes: usize,
    },
}

/// What the leader knows of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProgress {
    /// The member.
    pub replica: ReplicaId,
    /// Highest entry known to be durable there.
    pub match_index: LogIndex,
    /// When the leader sent the last message that was answered.
    pub last_contact: Option<Timestamp>,
    /// Whether a snapshot is under way to it.
    pub receives_snapshot: bool,
}
