//! Commands of the replicated log, including operators' changes.

use crate::record::{
    BackendRecord, GenerationRecord, MemberRecord, MemberState, PolicyRecord, ServiceRecord,
    ShareRecord,
};

/// The kind of object that an operator drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DrainTarget {
    /// A back end by name.
    Backend = 0,
    /// A balancer or agent by node name.
    Node = 1,
    /// All back ends of a zone, including those added while it is drained.
    Zone = 2,
}

/// Starts or ends a drain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SetDrain {
    /// The kind of object.
    #[prost(enumeration = "DrainTarget", tag = "1")]
    pub target: i32,
    /// Name of the object.
    #[prost(string, tag = "2")]
    pub name: String,
    /// True to start the drain, false to end it.
    #[prost(bool, tag = "3")]
    pub draining: bool,
}

/// One edit by an operator. The `id` fields of put records are ignored: the
/// replicated state looks records up by name and assigns identifiers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EditKind {
    /// Creates or replaces a service by name.
    #[prost(message, tag = "1")]
    PutService(ServiceRecord),
    /// Removes a service by name.
    #[prost(string, tag = "2")]
    RemoveService(String),
    /// Creates or replaces a back end by name.
    #[prost(message, tag = "3")]
    PutBackend(BackendEdit),
    /// Removes a back end by name.
    #[prost(string, tag = "4")]
    RemoveBackend(String),
    /// Creates or replaces a policy by name.
    #[prost(message, tag = "5")]
    PutPolicy(PolicyRecord),
    /// Removes a policy by name.
    #[prost(string, tag = "6")]
    RemovePolicy(String),
    /// Starts or ends a drain.
    #[prost(message, tag = "7")]
    SetDrain(SetDrain),
}

/// A back end as an operator specifies it, with its service by name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendEdit {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The back end.
    #[prost(message, required, tag = "2")]
    pub backend: BackendRecord,
}

/// An [`EditKind`] as a message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Edit {
    /// The edit.
    #[prost(oneof = "EditKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<EditKind>,
}

/// An atomic change by an operator: either all of its edits take effect or none.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorChange {
    /// Identifier chosen by the operator's client. A retry uses the same one.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// The configuration version that the change was written against.
    #[prost(uint64, tag = "2")]
    pub based_on: u64,
    /// The edits.
    #[prost(message, repeated, tag = "3")]
    pub edits: Vec<Edit>,
}

/// Ends a node's incarnation, because the node stopped or its lease expired.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FenceMember {
    /// The member's node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The member's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// Changes the state of a member.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SetMemberState {
    /// The member's node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The member's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The new state.
    #[prost(enumeration = "MemberState", tag = "3")]
    pub state: i32,
}

/// Gives a service a new placement generation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SetPlacement {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The new generation. It is refused unless its number is one more than
    /// the newest generation's.
    #[prost(message, required, tag = "2")]
    pub generation: GenerationRecord,
}

/// Removes the generations older than `generation`, because all bucket owners
/// have settled it: no previous owner can still admit flows in their buckets.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SettlePlacement {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The generation that is settled.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
}

/// Reason why the leader refused an operator's change before applying it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RefusalReason {
    /// A policy does not compile or yields invalid weights.
    InvalidPolicy = 0,
}

/// An operator's change that the leader refused. The check may give another
/// result at another replica, so the refusal is logged and a retry of the
/// change gets the same response from every leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RefuseChange {
    /// The refused change.
    #[prost(message, required, tag = "1")]
    pub change: OperatorChange,
    /// Reason of the refusal.
    #[prost(enumeration = "RefusalReason", tag = "2")]
    pub reason: i32,
    /// The explanation for the operator.
    #[prost(string, tag = "3")]
    pub message: String,
}

/// A command of the replicated log.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum CommandKind {
    /// An operator changes the configuration.
    #[prost(message, tag = "1")]
    Change(OperatorChange),
    /// A balancer or agent joins.
    #[prost(message, tag = "2")]
    RegisterMember(MemberRecord),
    /// A node's incarnation ends.
    #[prost(message, tag = "3")]
    FenceMember(FenceMember),
    /// A member's state changes.
    #[prost(message, tag = "4")]
    SetMemberState(SetMemberState),
    /// A service gets a new placement generation.
    #[prost(message, tag = "5")]
    SetPlacement(SetPlacement),
    /// A service's placement generation is settled.
    #[prost(message, tag = "6")]
    SettlePlacement(SettlePlacement),
    /// The leader refuses an operator's change.
    #[prost(message, tag = "7")]
    RefuseChange(RefuseChange),
    /// Several commands of the leader that result in one version of the
    /// replicated state.
    #[prost(message, tag = "8")]
    Batch(Batch),
}

/// Commands of the leader about members and placements, applied in order. A
/// command that can't be applied is skipped; the others still take effect.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// The commands.
    #[prost(message, repeated, tag = "1")]
    pub commands: Vec<Command>,
}

/// A [`CommandKind`] as a message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// The command.
    #[prost(oneof = "CommandKind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub kind: Option<CommandKind>,
}

impl From<CommandKind> for Command {
    fn from(kind: CommandKind) -> Self {
        Command { kind: Some(kind) }
    }
}

impl ShareRecord {
    /// Returns whether the back end receives new flows, i.e. has a positive weight.
    pub fn receives_new_flows(&self) -> bool {
        self.weight > 0
    }
}
