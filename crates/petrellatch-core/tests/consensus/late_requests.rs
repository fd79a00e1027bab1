//! Requests of an earlier leadership that arrive late, as seen by a single replica.

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{
    Membership, PersistentState, Replica, ReplicaId, ReplicaOutput, ReplicaSettings, ReplicaStart,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::consensus::{
    AppendRequest, AppendResponse, ConsensusBody, ConsensusMessage,
};

const FOLLOWER: u64 = 1;
const LEADER: u64 = 2;

fn id(node: u64) -> ReplicaId {
    ReplicaId {
        node: NodeId(node),
        incarnation: Incarnation(100 + node),
    }
}

/// Delivers an empty append request of the leader, and returns the response.
fn append(replica: &mut Replica, now: Timestamp, term: u64, round: u64) -> AppendResponse {
    let request = AppendRequest {
        round,
        ..AppendRequest::default()
    };
    let message = ConsensusMessage {
        from_incarnation: id(LEADER).incarnation.0,
        to_incarnation: 0,
        term,
        body: Some(ConsensusBody::AppendRequest(request)),
    };
    replica.handle_message(now, NodeId(LEADER), message);
    let mut response = None;
    while let Some(output) = replica.poll_output() {
        match output {
            ReplicaOutput::Persist(request) => replica.handle_persisted(now, request.ticket),
            ReplicaOutput::Send { message, .. } => {
                if let Some(ConsensusBody::AppendResponse(sent)) = message.body {
                    response = Some(sent);
                }
            }
            _ => {}
        }
    }
    response.expect("a response")
}

// Guards against a read that is confirmed by a response to a request of an earlier leadership of
// the same node: rounds start at zero in each leadership.
#[test]
fn a_refused_request_of_an_earlier_term_confirms_no_round() {
    let start = ReplicaStart {
        id: id(FOLLOWER).node,
        incarnation: id(FOLLOWER).incarnation,
        seed: 3,
        persisted: PersistentState::default(),
        bootstrap: Some(Membership::of_voters((1..=3).map(id))),
    };
    let now = Timestamp::from_millis(10_000);
    let mut replica = Replica::new(now, ReplicaSettings::default(), start);
    assert_eq!(append(&mut replica, now, 5, 2).round, 2);
    let response = append(&mut replica, now, 3, 9);
    assert!(!response.accepted);
    assert_eq!(response.round, 0);
}
