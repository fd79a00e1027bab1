//! Leadership transfer before a planned stop.

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::consensus::{ProposeError, Role};
use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage, TransferRequest};

use crate::cluster::{Cluster, replica_id, test_settings};
use crate::scenarios::{commit, others, ready_cluster};

/// Transfers leadership and returns the time until another leader has committed
/// a value.
fn time_to_next_commit(extra_delay_millis: u64) -> Duration {
    let (mut cluster, old) = ready_cluster(3, 0, &test_settings());
    cluster.run_for(Duration::from_millis(500 + extra_delay_millis));
    let value = cluster.propose(old).expect("the leader accepts proposals");
    let started = cluster.call(old, |replica, now| replica.transfer_leadership(now));
    assert_matches!(started, Ok(()));
    let start = cluster.now;
    let new_leader = |cluster: &Cluster| cluster.leader().is_some_and(|node| node != old);
    cluster.run_until("another leader", new_leader);
    let new = cluster.leader().expect("just found");
    commit(&mut cluster, new);
    assert!(cluster.checker.is_committed(value), "the proposal was lost");
    assert_eq!(cluster.checker.violations, []);
    cluster.now.saturating_since(start)
}

#[test]
fn leadership_transfer_takes_a_few_round_trips() {
    let times = (0..40).map(|run| time_to_next_commit(run * 7));
    let longest = times.max().expect("at least one run");
    println!("longest time from a planned stop to the next leader's commit: {longest:?}");
    assert!(
        longest < test_settings().election_timeout / 4,
        "{longest:?}"
    );
}

#[test]
fn transferring_leader_refuses_proposals_and_keeps_leading_if_no_voter_is_ready() {
    let (mut cluster, leader) = ready_cluster(3, 0, &test_settings());
    let lagging = others(&cluster, leader);
    cluster.run_for(Duration::from_secs(1));
    // Both followers respond, but their disks are too slow to be ready.
    cluster.sync_micros = 2_000_000;
    cluster
        .propose(leader)
        .expect("the leader accepts proposals");
    let started = cluster.call(leader, |replica, now| replica.transfer_leadership(now));
    assert_matches!(started, Ok(()));
    let refused = cluster.call(leader, |replica, now| replica.propose(now, vec![0; 8]));
    assert_matches!(refused, Err(ProposeError::ProposalNotLeader { .. }));
    cluster.run_for(test_settings().election_timeout * 2);
    assert_eq!(cluster.leader(), Some(leader));
    assert!(
        cluster.propose(leader).is_some(),
        "the leader accepts proposals again"
    );
    let followers = lagging.iter().map(|node| cluster.replica(*node).role());
    assert!(followers.eq([Role::Follower; 2]));
    assert_eq!(cluster.checker.violations, []);
}

#[test]
fn leadership_transfer_under_partitions_and_loss_breaks_no_guarantee() {
    for seed in 0..60 {
        let mut cluster = Cluster::start(seed, 3, 0, &test_settings());
        cluster.network.loss_percent = 10;
        cluster.network.duplicate_percent = 10;
        cluster.network.max_delay_micros = 20_000;
        for round in 0..20 {
            cluster.run_until("a leader", |cluster| cluster.leader().is_some());
            let leader = cluster.leader().expect("just found");
            cluster.propose(leader);
            cluster.request_read(leader);
            let _refused = cluster.call(leader, |replica, now| replica.transfer_leadership(now));
            if round % 3 == 0 {
                cluster.run_for(Duration::from_millis(seed % 40));
                cluster.isolate(&[leader]);
            }
            cluster.run_for(Duration::from_millis(300));
            cluster.heal();
        }
        assert_eq!(cluster.checker.violations, [], "seed {seed}");
    }
}

#[test]
fn late_transfer_request_has_no_effect() {
    let (mut cluster, leader) = ready_cluster(3, 0, &test_settings());
    let follower = others(&cluster, leader)[0];
    let term = cluster.replica(leader).term();
    let request = |from: u64, term: u64| ConsensusMessage {
        from_incarnation: replica_id(from).incarnation.0,
        to_incarnation: 0,
        term,
        body: Some(ConsensusBody::TransferRequest(TransferRequest {})),
    };
    cluster.inject(leader, follower, request(leader.0, term - 1));
    let other_follower = others(&cluster, leader)[1];
    cluster.inject(other_follower, follower, request(other_follower.0, term));
    cluster.run_for(Duration::from_secs(1));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replica(leader).term(), term);
}
