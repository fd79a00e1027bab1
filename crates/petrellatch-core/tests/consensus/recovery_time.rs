//! Recovery times of the group after a crash or a lost disk, in virtual time.

use std::time::Duration;

use petrellatch_core::consensus::ReplicaSettings;

use crate::cluster::Cluster;
use crate::scenarios::{commit, is_voter, others};

const SEEDS: u64 = 200;

fn ready(seed: u64) -> Cluster {
    let mut cluster = Cluster::start(seed, 3, 0, &ReplicaSettings::default());
    cluster.run_until("a leader", |cluster| cluster.leader().is_some());
    let leader = cluster.leader().expect("a leader");
    for _ in 0..100 {
        commit(&mut cluster, leader);
    }
    cluster
}

/// Measures the duration of `run` with many seeds, prints the median and returns
/// the maximum.
fn measure(what: &str, run: impl Fn(&mut Cluster)) -> Duration {
    let measure_one = |seed| {
        let mut cluster = ready(seed);
        let start = cluster.now;
        run(&mut cluster);
        assert_eq!(cluster.checker.violations, []);
        cluster.now.saturating_since(start)
    };
    let mut times: Vec<Duration> = (0..SEEDS).map(measure_one).collect();
    times.sort_unstable();
    let (median, maximum) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{what}: median {median:?}, maximum {maximum:?}");
    maximum
}

#[test]
fn crashed_leader_is_replaced_within_a_few_election_timeouts() {
    let maximum = measure("commit after a leader's crash", |cluster| {
        let old = cluster.leader().expect("a leader");
        cluster.crash(old);
        cluster.run_until("another leader", |cluster| cluster.leader().is_some());
        let new = cluster.leader().expect("a leader");
        commit(cluster, new);
    });
    assert!(maximum < ReplicaSettings::default().election_timeout * 5);
}

#[test]
fn lost_disk_is_repaired_within_a_few_election_timeouts() {
    let maximum = measure("return to voter after a lost disk", |cluster| {
        let leader = cluster.leader().expect("a leader");
        let node = others(cluster, leader)[0];
        cluster.lose_disk(node);
        cluster.run_until("the lost disk to be repaired", |cluster| {
            is_voter(cluster, node)
        });
    });
    assert!(maximum < ReplicaSettings::default().election_timeout * 5);
}
