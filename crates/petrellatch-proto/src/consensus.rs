//! Raft messages between the replicas of a replica group, and the records that
//! the replicas store on disk.
//!
//! Every encoded [`ConsensusMessage`] stays below
//! [`MAX_CONSENSUS_MESSAGE_BYTES`], so that it fits one datagram together with
//! the sealed envelope around it.

/// Maximum size of an encoded [`ConsensusMessage`], in bytes.
pub const MAX_CONSENSUS_MESSAGE_BYTES: usize = 58_000;

/// Envelope of every message between two replicas.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConsensusMessage {
    /// Incarnation of the sender's data folder.
    #[prost(fixed64, tag = "1")]
    pub from_incarnation: u64,
    /// Incarnation of the receiver's data folder, or zero for any.
    #[prost(fixed64, tag = "2")]
    pub to_incarnation: u64,
    /// The sender's current term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The request or response.
    #[prost(oneof = "ConsensusBody", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<ConsensusBody>,
}

/// The kinds of message between replicas.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ConsensusBody {
    /// Asks whether the receiver would grant a vote, without starting a term.
    #[prost(message, tag = "4")]
    PreVoteRequest(PreVoteRequest),
    /// Answers a [`PreVoteRequest`].
    #[prost(message, tag = "5")]
    PreVoteResponse(PreVoteResponse),
    /// Requests a vote in the envelope's term.
    #[prost(message, tag = "6")]
    VoteRequest(VoteRequest),
    /// Answers a [`VoteRequest`].
    #[prost(message, tag = "7")]
    VoteResponse(VoteResponse),
    /// Replicates entries; without entries it is a heartbeat.
    #[prost(message, tag = "8")]
    AppendRequest(AppendRequest),
    /// Answers an [`AppendRequest`], or the last chunk of a snapshot transfer.
    #[prost(message, tag = "9")]
    AppendResponse(AppendResponse),
    /// Carries one chunk of a snapshot.
    #[prost(message, tag = "10")]
    SnapshotChunk(SnapshotChunk),
    /// Answers a [`SnapshotChunk`] of a transfer that isn't finished.
    #[prost(message, tag = "11")]
    SnapshotChunkResponse(SnapshotChunkResponse),
    /// Asks for the sender to be added to the group. Sent to all known nodes
    /// while the sender isn't a voter and receives nothing from a leader.
    #[prost(message, tag = "12")]
    JoinRequest(JoinRequest),
    /// Transfers leadership to the receiver.
    #[prost(message, tag = "13")]
    TransferRequest(TransferRequest),
}

/// The leader of the envelope's term has stepped down. The receiver, whose log
/// contains all of the leader's entries, starts an election immediately. Later
/// versions may add fields.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TransferRequest {}

/// Asks whether the receiver would grant a vote in `proposed_term`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PreVoteRequest {
    /// The term that the sender would start.
    #[prost(uint64, tag = "1")]
    pub proposed_term: u64,
    /// Index of the sender's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the sender's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// Answers a [`PreVoteRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PreVoteResponse {
    /// The `proposed_term` of the request.
    #[prost(uint64, tag = "1")]
    pub proposed_term: u64,
    /// Whether the vote would be granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Requests a vote in the envelope's term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether the previous leader transferred leadership to the sender.
    /// Voters then consider the request even if they received a message from
    /// that leader only recently.
    #[prost(bool, tag = "3")]
    pub transferred: bool,
}

/// Answers a [`VoteRequest`] in the envelope's term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// Whether the vote is granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}

/// Replicates entries that follow the entry (`previous_index`,
/// `previous_term`).
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before the first one in `entries`.
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    /// Term of the entry before the first one in `entries`.
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    /// The entries, with consecutive indices.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryMessage>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit_index: u64,
    /// Number of the leader's current leadership confirmation round, echoed by
    /// the response. Before it answers reads, the leader starts a new round and
    /// waits until a quorum has responded in it, which confirms that it is still
    /// the leader.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Sending time on the leader's clock in microseconds, echoed by the
    /// response.
    #[prost(uint64, tag = "6")]
    pub sent_at_micros: u64,
}

/// Answers an [`AppendRequest`]. The follower sends it only after everything
/// that it acknowledges is synced to disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Whether the follower's log contained the previous entry.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// If accepted: the highest index known to agree with the leader's log.
    #[prost(uint64, tag = "2")]
    pub match_index: u64,
    /// If refused: the `previous_index` of the request.
    #[prost(uint64, tag = "3")]
    pub refused_index: u64,
    /// If refused: the highest index at which the logs may agree.
    #[prost(uint64, tag = "4")]
    pub hint_index: u64,
    /// If refused: the follower's term at `hint_index`.
    #[prost(uint64, tag = "5")]
    pub hint_term: u64,
    /// The request's `round`.
    #[prost(uint64, tag = "6")]
    pub round: u64,
    /// The request's `sent_at_micros`.
    #[prost(uint64, tag = "7")]
    pub sent_at_micros: u64,
}

/// One chunk of a snapshot's data.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub entry_term: u64,
    /// Membership as of `index`.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<MembershipMessage>,
    /// Offset of `data` in the snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    #[prost(uint64, tag = "5")]
    pub total_bytes: u64,
    /// SipHash-1-3 digest of the whole snapshot.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// The snapshot's bytes from `offset` on.
    #[prost(bytes = "vec", tag = "7")]
    pub data: Vec<u8>,
    /// Leadership confirmation round, as in [`AppendRequest`].
    #[prost(uint64, tag = "8")]
    pub round: u64,
    /// Sending time in microseconds, as in [`AppendRequest`].
    #[prost(uint64, tag = "9")]
    pub sent_at_micros: u64,
}

/// Answers a [`SnapshotChunk`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunkResponse {
    /// The snapshot's index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Offset of the next byte that the follower needs.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// The chunk's `round`.
    #[prost(uint64, tag = "3")]
    pub round: u64,
    /// The chunk's `sent_at_micros`.
    #[prost(uint64, tag = "4")]
    pub sent_at_micros: u64,
}

/// Asks the leader to add the sender, whose identity is in the envelope.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JoinRequest {}

/// One entry of the log, on the wire and on disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryMessage {
    /// Index in the log, starting at 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The entry's content.
    #[prost(oneof = "EntryBody", tags = "3, 4, 5")]
    pub body: Option<EntryBody>,
}

/// The kinds of entry.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EntryBody {
    /// Marks the start of a term.
    #[prost(message, tag = "3")]
    NoOperation(NoOperation),
    /// A command of the application.
    #[prost(bytes, tag = "4")]
    Command(Vec<u8>),
    /// The complete membership that applies from this entry on.
    #[prost(message, tag = "5")]
    Membership(MembershipMessage),
}

/// An entry without content.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NoOperation {}

/// Identity of a replica: a node and one incarnation of its data folder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaIdMessage {
    /// The node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Incarnation of the node's data folder.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// One member of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberMessage {
    /// The replica.
    #[prost(message, optional, tag = "1")]
    pub replica: Option<ReplicaIdMessage>,
    /// Its role in the group.
    #[prost(enumeration = "MemberRoleMessage", tag = "2")]
    pub role: i32,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum MemberRoleMessage {
    /// Not set; a membership with this role is refused.
    Unspecified = 0,
    /// Votes and counts for quorums.
    Voter = 1,
    /// Receives the log but doesn't vote.
    Learner = 2,
    /// Receives the log and becomes a voter once it has caught up.
    JoiningVoter = 3,
}

/// The members of a group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembershipMessage {
    /// Current members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberMessage>,
    /// Replicas that were removed. The leader ignores their join requests,
    /// unless it is set to readmit retired replicas.
    #[prost(message, repeated, tag = "2")]
    pub retired: Vec<ReplicaIdMessage>,
}

/// A replica's hard state on disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HardStateRecord {
    /// Highest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The candidate that got this replica's vote in `term`, if any.
    #[prost(message, optional, tag = "2")]
    pub voted_for: Option<ReplicaIdMessage>,
}

/// A snapshot on disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRecord {
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership as of `index`.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<MembershipMessage>,
    /// The application's state.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}

/// One record of the log file.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogRecord {
    /// The change that the record makes to the log.
    #[prost(oneof = "LogRecordBody", tags = "1, 2")]
    pub body: Option<LogRecordBody>,
}

/// The kinds of log record.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LogRecordBody {
    /// Appends an entry.
    #[prost(message, tag = "1")]
    Append(EntryMessage),
    /// Removes the entry at this index and all later ones.
    #[prost(uint64, tag = "2")]
    TruncateFrom(u64),
}

/// Identity of a data folder, written when the folder is formatted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FormatRecord {
    /// Version of the folder's layout.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The cluster that the folder belongs to.
    #[prost(fixed64, tag = "2")]
    pub cluster: u64,
    /// Incarnation of the replica that owns the folder.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
}
