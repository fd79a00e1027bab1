//! Elections as seen by a single replica, driven message by message.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{
    ElectionLoss, Membership, PersistentState, Replica, ReplicaId, ReplicaOutput, ReplicaSettings,
    ReplicaStart, Role,
};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::consensus::{
    AppendRequest, ConsensusBody, ConsensusMessage, PreVoteRequest, PreVoteResponse, VoteRequest,
    VoteResponse,
};

const MILLI: Duration = Duration::from_millis(1);

fn id(node: u64) -> ReplicaId {
    ReplicaId {
        node: NodeId(node),
        incarnation: Incarnation(100 + node),
    }
}

fn message_from(node: u64, term: u64, body: ConsensusBody) -> (NodeId, ConsensusMessage) {
    let message = ConsensusMessage {
        from_incarnation: id(node).incarnation.0,
        to_incarnation: 0,
        term,
        body: Some(body),
    };
    (NodeId(node), message)
}

/// Processes all outputs and completes disk writes at once. Returns the nodes
/// to which the replica sent a vote request.
fn process_outputs(replica: &mut Replica, now: Timestamp) -> Vec<u64> {
    let mut requested = Vec::new();
    while let Some(output) = replica.poll_output() {
        match output {
            ReplicaOutput::Persist(request) => replica.handle_persisted(now, request.ticket),
            ReplicaOutput::Send { to, message } => {
                if matches!(message.body, Some(ConsensusBody::VoteRequest(_))) {
                    requested.push(to.0);
                }
            }
            _ => {}
        }
    }
    requested
}

/// One of five replicas, which became a candidate by two granted pre-votes.
fn candidate() -> (Replica, Timestamp) {
    let start = ReplicaStart {
        id: id(1).node,
        incarnation: id(1).incarnation,
        seed: 3,
        persisted: PersistentState::default(),
        bootstrap: Some(Membership::of_voters((1..=5).map(id))),
    };
    let mut now = Timestamp::from_millis(10_000);
    let mut replica = Replica::new(now, ReplicaSettings::default(), start);
    process_outputs(&mut replica, now);
    while replica.role() != Role::PreCandidate {
        now = now + MILLI;
        replica.handle_timeout(now);
        process_outputs(&mut replica, now);
    }
    for node in [2, 3] {
        let proposed_term = replica.term() + 1;
        let granted = PreVoteResponse {
            proposed_term,
            granted: true,
        };
        let body = ConsensusBody::PreVoteResponse(granted);
        let (node, message) = message_from(node, replica.term(), body);
        replica.handle_message(now, node, message);
    }
    assert_eq!(process_outputs(&mut replica, now), [2, 3, 4, 5]);
    assert_eq!(replica.role(), Role::Candidate);
    (replica, now)
}

#[test]
fn candidate_repeats_requests_for_missing_votes() {
    let (mut replica, start) = candidate();
    let vote = ConsensusBody::VoteResponse(VoteResponse { granted: true });
    let (node, message) = message_from(2, replica.term(), vote);
    replica.handle_message(start, node, message);
    let mut requested = Vec::new();
    let limit = start + ReplicaSettings::default().election_timeout / 2;
    while let Some(due) = replica.poll_timeout().filter(|due| *due < limit) {
        replica.handle_timeout(due);
        requested.extend(process_outputs(&mut replica, due));
    }
    assert_eq!(replica.role(), Role::Candidate);
    for node in [3, 4, 5] {
        let times = requested.iter().filter(|it| **it == node).count();
        assert!(
            (1..=4).contains(&times),
            "{times} vote requests to node {node}"
        );
    }
    assert!(
        !requested.contains(&2),
        "node 2 has granted its vote already"
    );
}

#[test]
fn late_vote_is_counted() {
    let (mut replica, start) = candidate();
    for (node, millis) in [(2, 1), (5, 300)] {
        let now = start + millis * MILLI;
        let vote = ConsensusBody::VoteResponse(VoteResponse { granted: true });
        let (node, message) = message_from(node, replica.term(), vote);
        replica.handle_message(now, node, message);
        process_outputs(&mut replica, now);
    }
    assert_eq!(replica.role(), Role::Leader);
}

/// The first of three replicas, which has just started and sent its pre-vote
/// requests.
fn started_replica() -> (Replica, Timestamp) {
    let start = ReplicaStart {
        id: id(1).node,
        incarnation: id(1).incarnation,
        seed: 3,
        persisted: PersistentState::default(),
        bootstrap: Some(Membership::of_voters((1..=3).map(id))),
    };
    let settings = ReplicaSettings {
        elects_at_start: true,
        ..ReplicaSettings::default()
    };
    let now = Timestamp::from_millis(10_000);
    let mut replica = Replica::new(now, settings, start);
    replica.handle_timeout(now);
    process_outputs(&mut replica, now);
    (replica, now)
}

/// Delivers a message from `node` with `term` to the replica.
fn deliver(replica: &mut Replica, now: Timestamp, node: u64, term: u64, body: ConsensusBody) {
    let (node, message) = message_from(node, term, body);
    replica.handle_message(now, node, message);
}

fn pre_vote_request(proposed_term: u64) -> ConsensusBody {
    ConsensusBody::PreVoteRequest(PreVoteRequest {
        proposed_term,
        ..PreVoteRequest::default()
    })
}

fn pre_vote(proposed_term: u64) -> ConsensusBody {
    ConsensusBody::PreVoteResponse(PreVoteResponse {
        proposed_term,
        granted: true,
    })
}

fn vote(granted: bool) -> ConsensusBody {
    ConsensusBody::VoteResponse(VoteResponse { granted })
}

/// One of three replicas, which became a candidate at its start by the pre-vote
/// of the second one, and ended its candidacy when the second one denied its
/// vote.
fn denied_candidate() -> (Replica, Timestamp) {
    let (mut replica, now) = started_replica();
    for (term, body, role) in [
        (0, pre_vote_request(1), Role::PreCandidate),
        (0, pre_vote(1), Role::Candidate),
        (1, vote(false), Role::PreCandidate),
    ] {
        deliver(&mut replica, now, 2, term, body);
        process_outputs(&mut replica, now);
        assert_eq!(replica.role(), role);
    }
    (replica, now)
}

/// Delivers heartbeats of the third replica as the leader of these terms to the
/// candidate. Returns the lost elections that it reports.
fn lost_elections_after_heartbeats(terms: &[u64]) -> Vec<(u64, ElectionLoss)> {
    let (mut replica, now) = denied_candidate();
    for term in terms {
        let heartbeat = ConsensusBody::AppendRequest(AppendRequest::default());
        let (node, message) = message_from(3, *term, heartbeat);
        replica.handle_message(now, node, message);
        assert_eq!(replica.leader(), Some(NodeId(3)));
    }
    let mut lost = Vec::new();
    while let Some(output) = replica.poll_output() {
        if let ReplicaOutput::ElectionLost { term, reason } = output {
            lost.push((term, reason));
        }
    }
    lost
}

#[test]
fn election_is_reported_lost_only_if_its_term_gets_no_leader() {
    assert_eq!(lost_elections_after_heartbeats(&[1, 2]), []);
    let lost = [(1, ElectionLoss::Denied)];
    assert_eq!(lost_elections_after_heartbeats(&[2]), lost);
}

/// Whether a replica that voted for the second one in term 1 and then received
/// `request` from it in `term` grants the third one a pre-vote.
fn grants_pre_vote_after(term: u64, request: ConsensusBody) -> bool {
    let (mut replica, now) = started_replica();
    let vote_request = ConsensusBody::VoteRequest(VoteRequest::default());
    deliver(&mut replica, now, 2, 1, vote_request);
    process_outputs(&mut replica, now);
    deliver(&mut replica, now, 2, term, request);
    process_outputs(&mut replica, now);
    deliver(&mut replica, now, 3, 1, pre_vote_request(2));
    let granted = |output: &ReplicaOutput| match output {
        ReplicaOutput::Send { to, message } if *to == id(3).node => {
            let body = &message.body;
            matches!(body, Some(ConsensusBody::PreVoteResponse(it)) if it.granted)
        }
        _ => false,
    };
    let outputs = std::iter::from_fn(|| replica.poll_output());
    outputs.filter(granted).count() > 0
}

#[test]
fn voter_grants_pre_votes_again_only_after_its_candidate_ended_its_candidacy() {
    assert!(grants_pre_vote_after(1, pre_vote_request(2)));
    let sent_before_its_candidacy = pre_vote_request(1);
    assert!(!grants_pre_vote_after(0, sent_before_its_candidacy));
}

#[test]
fn pre_candidate_waiting_for_its_rank_delay_starts_no_election_once_it_has_voted() {
    let (mut replica, now) = started_replica();
    // A response with a higher term makes the replica repeat its pre-vote.
    deliver(&mut replica, now, 3, 1, vote(false));
    let longer_log_request = ConsensusBody::PreVoteRequest(PreVoteRequest {
        proposed_term: 1,
        last_index: 1,
        last_term: 0,
    });
    deliver(&mut replica, now, 2, 0, longer_log_request);
    deliver(&mut replica, now, 3, 1, pre_vote(2));
    process_outputs(&mut replica, now);
    assert_eq!(
        replica.role(),
        Role::PreCandidate,
        "the second replica has the higher rank"
    );
    let vote_request = ConsensusBody::VoteRequest(VoteRequest {
        last_index: 1,
        ..VoteRequest::default()
    });
    deliver(&mut replica, now, 2, 1, vote_request);
    process_outputs(&mut replica, now);
    let later = now + ReplicaSettings::default().election_timeout.mul_f64(0.2);
    replica.handle_timeout(later);
    process_outputs(&mut replica, later);
    assert_eq!(
        replica.term(),
        1,
        "started an election after voting for another candidate"
    );
}
