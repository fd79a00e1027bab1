//! Every injected fault violates a guarantee, and the checker detects it. The
//! same scenarios without the fault have no violations.

use std::time::Duration;

use petrellatch_core::consensus::{ConsensusMutations, MembershipChange, ReplicaSettings};
use petrellatch_core::identity::NodeId;
use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage, VoteRequest};

use crate::checker::Violation;
use crate::cluster::{Cluster, replica_id, test_settings};
use crate::scenarios::{commit, others, ready_cluster};

fn settings(mutations: ConsensusMutations) -> ReplicaSettings {
    ReplicaSettings {
        mutations,
        ..test_settings()
    }
}

/// Mutations with only one fault enabled.
fn single_fault(fault: impl Fn(&mut ConsensusMutations) -> &mut bool) -> ConsensusMutations {
    let mut mutations = ConsensusMutations::default();
    *fault(&mut mutations) = true;
    mutations
}

/// Asserts that a scenario has no violations without a fault, and the expected
/// one with it.
fn assert_breaks(
    scenario: impl Fn(&ReplicaSettings) -> Vec<Violation>,
    mutations: ConsensusMutations,
    expected: impl Fn(&Violation) -> bool,
) {
    assert_eq!(scenario(&test_settings()), [], "without the fault");
    let violations = scenario(&settings(mutations));
    assert!(
        violations.iter().any(expected),
        "expected violation is missing in {violations:?}"
    );
}

/// Whether an applied command was replaced, or is missing from the log of a
/// later leader that has another entry at its index.
fn is_committed_entry_lost(violation: &Violation) -> bool {
    matches!(
        violation,
        Violation::CommittedChanged(_) | Violation::OutOfOrder(..)
    )
}

/// Gives the group time to elect a leader and to commit a proposal.
fn try_to_commit(cluster: &mut Cluster) {
    cluster.run_for(Duration::from_secs(3));
    for leader in cluster.leaders() {
        cluster.propose(leader);
    }
    cluster.run_for(Duration::from_secs(1));
}

/// Isolates the leader together with a learner. If the learner counted, they
/// would commit an entry that the other two voters don't have.
fn isolate_leader_with_a_learner(settings: &ReplicaSettings) -> Vec<Violation> {
    let (mut cluster, leader) = ready_cluster(3, 1, settings);
    let change = MembershipChange::AddLearner(replica_id(4));
    let added = cluster.call(leader, |replica, now| {
        replica.propose_membership(now, change)
    });
    added.expect("the leader accepts the change");
    cluster.run_for(Duration::from_secs(1));
    cluster.isolate(&[leader, NodeId(4)]);
    cluster.propose(leader);
    try_to_commit(&mut cluster);
    cluster.checker.violations
}

#[test]
fn counting_learners_as_voters_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.learner_counts_as_voter);
    assert_breaks(
        isolate_leader_with_a_learner,
        mutations,
        is_committed_entry_lost,
    );
}

/// Crashes all replicas after they received a proposal, before any disk has
/// synced it.
fn crash_all_before_sync(settings: &ReplicaSettings) -> Vec<Violation> {
    let (mut cluster, leader) = ready_cluster(3, 0, settings);
    cluster.run_for(Duration::from_secs(1));
    cluster.sync_micros = 100_000;
    cluster.propose(leader);
    cluster.run_for(Duration::from_millis(20));
    let nodes: Vec<NodeId> = cluster.nodes.keys().copied().collect();
    nodes.iter().for_each(|node| cluster.crash(*node));
    cluster.sync_micros = 1_000;
    nodes.iter().for_each(|node| cluster.restart(*node));
    try_to_commit(&mut cluster);
    cluster.checker.violations
}

#[test]
fn acknowledging_before_sync_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.acknowledge_before_sync);
    assert_breaks(crash_all_before_sync, mutations, is_committed_entry_lost);
}

/// Requests a read from an isolated leader after its successor has committed
/// an entry.
fn read_at_isolated_leader(settings: &ReplicaSettings) -> Vec<Violation> {
    let (mut cluster, old) = ready_cluster(3, 0, settings);
    cluster.isolate(&[old]);
    let new_leader = |cluster: &Cluster| cluster.leaders().iter().any(|node| *node != old);
    cluster.run_until("another leader", new_leader);
    let new = cluster.leader().expect("a leader");
    commit(&mut cluster, new);
    cluster.request_read(old);
    cluster.checker.violations
}

#[test]
fn skipping_the_quorum_check_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.skip_quorum_check);
    let stale_read = |violation: &Violation| matches!(violation, Violation::StaleRead(_));
    assert_breaks(read_at_isolated_leader, mutations, stale_read);
    let two_quorum_leaders = |violation: &Violation| *violation == Violation::TwoQuorumLeaders;
    assert_breaks(read_at_isolated_leader, mutations, two_quorum_leaders);
}

/// Sends a voter the requests of two candidates for its vote in the same term,
/// and restarts it after each.
fn restart_voter_between_two_vote_requests(settings: &ReplicaSettings) -> Vec<Violation> {
    const TERM: u64 = 5;
    let mut cluster = Cluster::start(3, 3, 0, settings);
    let voter = NodeId(1);
    cluster.isolate(&[voter]);
    for candidate in [2, 3] {
        cluster.run_for(settings.election_timeout * 3);
        let request = ConsensusMessage {
            from_incarnation: replica_id(candidate).incarnation.0,
            to_incarnation: 0,
            term: TERM,
            body: Some(ConsensusBody::VoteRequest(VoteRequest {
                last_index: 100,
                last_term: TERM - 1,
                transferred: false,
            })),
        };
        cluster.inject(NodeId(candidate), voter, request);
        cluster.run_for(Duration::from_millis(50));
        cluster.crash(voter);
        cluster.restart(voter);
    }
    cluster.checker.violations
}

#[test]
fn forgetting_a_vote_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.forget_vote_on_restart);
    let double_vote = |violation: &Violation| matches!(violation, Violation::DoubleVote(_));
    assert_breaks(
        restart_voter_between_two_vote_requests,
        mutations,
        double_vote,
    );
}

/// Commits an entry at the leader and one follower only. That follower then
/// loses its disk while the leader is isolated, and must not help to elect the
/// other follower, which lacks the entry.
fn lose_disk_of_voter_beside_lagging_replica(settings: &ReplicaSettings) -> Vec<Violation> {
    let (mut cluster, leader) = ready_cluster(3, 0, settings);
    let nodes = others(&cluster, leader);
    let (lost, lagging) = (nodes[0], nodes[1]);
    cluster.isolate(&[lagging]);
    commit(&mut cluster, leader);
    cluster.heal();
    cluster.isolate(&[leader]);
    cluster.lose_disk(lost);
    try_to_commit(&mut cluster);
    cluster.checker.violations
}

#[test]
fn ignoring_incarnations_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.ignore_incarnation);
    assert_breaks(
        lose_disk_of_voter_beside_lagging_replica,
        mutations,
        is_committed_entry_lost,
    );
}

/// Isolates the leader right after it has sent the transfer request. It must
/// have stepped down when the other voters elect the target.
fn transfer_leadership_from_isolated_leader(settings: &ReplicaSettings) -> Vec<Violation> {
    let (mut cluster, old) = ready_cluster(3, 0, settings);
    cluster.run_for(Duration::from_secs(1));
    let started = cluster.call(old, |replica, now| replica.transfer_leadership(now));
    started.expect("the old leader accepts the transfer");
    // The transfer request is already in flight.
    cluster.isolate(&[old]);
    cluster.run_for(Duration::from_secs(1));
    cluster.checker.violations
}

#[test]
fn leading_on_after_a_transfer_is_detected() {
    let mutations = single_fault(|mutations| &mut mutations.lead_on_after_transfer);
    let two_quorum_leaders = |violation: &Violation| *violation == Violation::TwoQuorumLeaders;
    assert_breaks(
        transfer_leadership_from_isolated_leader,
        mutations,
        two_quorum_leaders,
    );
}
