//! Conversion between the module's types and the `prost` messages. Storage
//! also uses it, so that files and messages share one encoding.

use petrellatch_proto::consensus::{
    EntryBody, EntryMessage, HardStateRecord, MemberMessage, MemberRoleMessage, MembershipMessage,
    NoOperation, ReplicaIdMessage, SnapshotRecord,
};
use snafu::Snafu;

use crate::identity::{Incarnation, NodeId};

use super::entry::{EntryPayload, LogEntry, LogPosition};
use super::membership::{Member, MemberRole, Membership, ReplicaId};
use super::persistence::{HardState, Snapshot};

/// Error of a message or record in which a field is missing or has an unknown
/// value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field} is missing or unknown"))]
pub struct MalformedMessage {
    /// The field that is missing or unknown.
    pub field: &'static str,
}

impl From<ReplicaId> for ReplicaIdMessage {
    fn from(replica: ReplicaId) -> Self {
        ReplicaIdMessage {
            node: replica.node.0,
            incarnation: replica.incarnation.0,
        }
    }
}

impl From<&ReplicaIdMessage> for ReplicaId {
    fn from(message: &ReplicaIdMessage) -> Self {
        ReplicaId {
            node: NodeId(message.node),
            incarnation: Incarnation(message.incarnation),
        }
    }
}

impl From<&Member> for MemberMessage {
    fn from(member: &Member) -> Self {
        let role = match member.role {
            MemberRole::Voter => MemberRoleMessage::Voter,
            MemberRole::Learner => MemberRoleMessage::Learner,
            MemberRole::JoiningVoter => MemberRoleMessage::JoiningVoter,
        };
        MemberMessage {
            replica: Some(member.replica.into()),
            role: role.into(),
        }
    }
}

impl TryFrom<&MemberMessage> for Member {
    type Error = MalformedMessage;

    fn try_from(message: &MemberMessage) -> Result<Self, MalformedMessage> {
        let replica = message.replica.as_ref();
        let replica = replica.ok_or(MalformedMessage { field: "replica" })?;
        let role = match message.role() {
            MemberRoleMessage::Voter => MemberRole::Voter,
            MemberRoleMessage::Learner => MemberRole::Learner,
            MemberRoleMessage::JoiningVoter => MemberRole::JoiningVoter,
            MemberRoleMessage::Unspecified => return Err(MalformedMessage { field: "role" }),
        };
        Ok(Member {
            replica: replica.into(),
            role,
        })
    }
}

impl From<&Membership> for MembershipMessage {
    fn from(membership: &Membership) -> Self {
        let retired = membership.retired().iter();
        MembershipMessage {
            members: membership.members().iter().map(Into::into).collect(),
            retired: retired.map(|replica| (*replica).into()).collect(),
        }
    }
}

impl TryFrom<&MembershipMessage> for Membership {
    type Error = MalformedMessage;

    fn try_from(message: &MembershipMessage) -> Result<Self, MalformedMessage> {
        let members = message.members.iter().map(Member::try_from);
        let members = members.collect::<Result<Vec<_>, _>>()?;
        let retired = message.retired.iter().map(ReplicaId::from).collect();
        Ok(Membership::from_parts(members, retired))
    }
}

impl From<&LogEntry> for EntryMessage {
    fn from(entry: &LogEntry) -> Self {
        let body = match &entry.payload {
            EntryPayload::NoOperation => EntryBody::NoOperation(NoOperation {}),
            EntryPayload::Command(command) => EntryBody::Command(command.clone()),
            EntryPayload::Membership(membership) => EntryBody::Membership(membership.into()),
        };
        EntryMessage {
            index: entry.position.index,
            term: entry.position.term,
            body: Some(body),
        }
    }
}

impl TryFrom<EntryMessage> for LogEntry {
    type Error = MalformedMessage;

    fn try_from(message: EntryMessage) -> Result<Self, MalformedMessage> {
        let payload = match message.body {
            Some(EntryBody::NoOperation(NoOperation {})) => EntryPayload::NoOperation,
            Some(EntryBody::Command(command)) => EntryPayload::Command(command),
            Some(EntryBody::Membership(membership)) => {
                EntryPayload::Membership(Membership::try_from(&membership)?)
            }
            None => {
                return Err(MalformedMessage {
                    field: "entry body",
                });
            }
        };
        let position = LogPosition {
            term: message.term,
            index: message.index,
        };
        Ok(LogEntry { position, payload })
    }
}

impl From<&HardState> for HardStateRecord {
    fn from(state: &HardState) -> Self {
        HardStateRecord {
            term: state.term,
            voted_for: state.voted_for.map(Into::into),
        }
    }
}

impl From<&HardStateRecord> for HardState {
    fn from(record: &HardStateRecord) -> Self {
        HardState {
            term: record.term,
            voted_for: record.voted_for.as_ref().map(Into::into),
        }
    }
}

impl From<&Snapshot> for SnapshotRecord {
    fn from(snapshot: &Snapshot) -> Self {
        SnapshotRecord {
            index: snapshot.position.index,
            term: snapshot.position.term,
            membership: Some((&snapshot.membership).into()),
            data: snapshot.data.clone(),
        }
    }
}

impl TryFrom<SnapshotRecord> for Snapshot {
    type Error = MalformedMessage;

    fn try_from(record: SnapshotRecord) -> Result<Self, MalformedMessage> {
        let membership = record.membership.as_ref();
        let membership = membership.ok_or(MalformedMessage {
            field: "membership",
        })?;
        Ok(Snapshot {
            position: LogPosition {
                term: record.term,
                index: record.index,
            },
            membership: Membership::try_from(membership)?,
            data: record.data,
        })
    }
}
