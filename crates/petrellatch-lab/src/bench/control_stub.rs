//! The answers of a control group that grants everything.

use petrellatch_proto::dissemination::{HeartbeatEntry, HeartbeatReply, HeartbeatReplyEntry};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::NodeRole;

use petrellatch_core::identity::NodeId;

use super::large_cluster::identity;

/// How long a granted lease is valid.
const LEASE_MILLISECONDS: u32 = 600_000;

/// Answers a heartbeat: the sender is a member and has the newest version.
pub fn answer(envelope: &Envelope, version: u64) -> Option<Envelope> {
    let Some(Body::Heartbeat(heartbeat)) = &envelope.body else {
        return None;
    };
    let answers = heartbeat.entries.iter().map(|it| grant(it, version));
    let reply = HeartbeatReply {
        entries: answers.collect(),
    };
    let control = identity("control-1", NodeRole::Control);
    let recipient = Some(NodeId(envelope.sender));
    Some(control.envelope(recipient, Body::HeartbeatReply(reply)))
}

fn grant(entry: &HeartbeatEntry, version: u64) -> HeartbeatReplyEntry {
    HeartbeatReplyEntry {
        term: 1,
        node: entry.node,
        incarnation: entry.incarnation,
        sequence: entry.sequence,
        version,
        lease_milliseconds: LEASE_MILLISECONDS,
        registered: true,
        fenced: false,
    }
}
