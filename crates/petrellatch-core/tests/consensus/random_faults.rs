//! Random faults with many seeds: no guarantee is violated, and the group
//! recovers once the faults end.

use std::time::Duration;

use petrellatch_core::identity::NodeId;
use rand::RngExt;

use petrellatch_core::consensus::ReplicaSettings;

use crate::cluster::{Cluster, test_settings};

const STEPS: usize = 250;

/// Statistics of the runs, by which the tests check that the faults and
/// operations took place.
#[derive(Debug, Default)]
struct RunStats {
    disks_lost: usize,
    committed: usize,
    reads: u64,
    snapshots_restored: u64,
}

fn random_node(cluster: &mut Cluster) -> NodeId {
    let count = cluster.nodes.len() as u64;
    NodeId(cluster.random.random_range(1..=count))
}

/// Whether the current incarnation of every node is a voter in the committed
/// membership.
fn all_are_voters(cluster: &Cluster) -> bool {
    let Some(membership) = cluster.committed_membership() else {
        return false;
    };
    let mut nodes = cluster.nodes.values();
    nodes.all(|node| membership.is_voter(node.id))
}

fn inject_fault(cluster: &mut Cluster, stats: &mut RunStats) {
    let node = random_node(cluster);
    let other = random_node(cluster);
    match cluster.random.random_range(0..18) {
        0 => cluster.isolate(&[node]),
        1 => cluster.isolate(&[node, other]),
        2 => {
            cluster.network.blocked.insert((node, other));
        }
        3..=5 => cluster.heal(),
        6 => cluster.node(node).paused = true,
        7 => cluster.crash(node),
        8..=11 => restart_and_resume_all(cluster),
        12 => cluster.network.loss_percent = cluster.random.random_range(0..20),
        13 => cluster.sync_micros = cluster.random.random_range(200..30_000),
        14..=16 if all_are_voters(cluster) => {
            cluster.lose_disk(node);
            stats.disks_lost += 1;
        }
        _ => {}
    }
}

/// Restarts all crashed nodes and resumes all paused ones.
fn restart_and_resume_all(cluster: &mut Cluster) {
    for node in cluster.nodes.keys().copied().collect::<Vec<_>>() {
        if cluster.nodes[&node].replica.is_none() {
            cluster.restart(node);
        }
        cluster.resume(node);
    }
}

fn send_requests(cluster: &mut Cluster) {
    for leader in cluster.leaders() {
        for _ in 0..cluster.random.random_range(0..6) {
            cluster.propose(leader);
        }
        cluster.request_read(leader);
    }
}

fn end_faults(cluster: &mut Cluster) {
    cluster.heal();
    cluster.network.loss_percent = 0;
    cluster.sync_micros = 1_000;
    restart_and_resume_all(cluster);
}

fn assert_recovers(cluster: &mut Cluster) {
    // A leader that was isolated until now needs time to step down.
    cluster.run_for(Duration::from_secs(2));
    cluster.run_until("all nodes to be voters again", all_are_voters);
    let leader = cluster.leader().expect("a repaired group has a leader");
    let value = cluster
        .propose(leader)
        .expect("the leader accepts proposals");
    let applied = |cluster: &Cluster| {
        let mut nodes = cluster.nodes.values();
        nodes.all(|node| node.state.iter().any(|applied| applied.1 == value))
    };
    cluster.run_until("the last value to be applied everywhere", applied);
}

fn run(seed: u64, voters: u64, settings: &ReplicaSettings, stats: &mut RunStats) {
    let mut cluster = Cluster::start(seed, voters, 0, settings);
    cluster.network.duplicate_percent = 5;
    cluster.network.max_delay_micros = 8_000;
    for _ in 0..STEPS {
        inject_fault(&mut cluster, stats);
        send_requests(&mut cluster);
        let pause = cluster.random.random_range(5..150);
        cluster.run_for(Duration::from_millis(pause));
    }
    end_faults(&mut cluster);
    assert_recovers(&mut cluster);
    assert_eq!(cluster.checker.violations, [], "seed {seed}");
    stats.committed += cluster.checker.committed_count();
    stats.reads += cluster.checker.reads_completed;
    stats.snapshots_restored += cluster.checker.snapshots_restored;
}

fn run_seeds(seeds: std::ops::Range<u64>, voters: u64, settings: &ReplicaSettings) {
    let mut stats = RunStats::default();
    seeds.for_each(|seed| run(seed, voters, settings, &mut stats));
    println!("{voters} voters: {stats:?}");
    assert!(stats.disks_lost > 0 && stats.snapshots_restored > 0);
    assert!(stats.committed > 0 && stats.reads > 0);
}

#[test]
fn three_replicas_keep_every_guarantee_under_random_faults() {
    run_seeds(0..60, 3, &test_settings());
}

#[test]
fn five_replicas_keep_every_guarantee_under_random_faults() {
    run_seeds(1000..1030, 5, &test_settings());
}

#[test]
fn replicas_with_startup_election_keep_every_guarantee_under_random_faults() {
    let settings = ReplicaSettings {
        elects_at_start: true,
        ..test_settings()
    };
    run_seeds(0..60, 3, &settings);
    run_seeds(1000..1030, 5, &settings);
}
