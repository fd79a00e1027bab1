//! Planned stops of control nodes.

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::control::ControlSettings;
use petrellatch_proto::record::NodeRole;

use crate::changes::{put_policy, request};
use crate::cluster::{Cluster, ROUGH};

const LIMIT: Duration = Duration::from_secs(20);

#[test]
fn planned_stop_of_the_leader_costs_no_more_than_a_few_round_trips() {
    let mut longest = Duration::ZERO;
    for seed in 0..12 {
        let mut cluster = Cluster::new(seed, ControlSettings::default());
        cluster.add_daemon(200, "agent-0", NodeRole::Agent);
        cluster
            .ask(request("first", 0, vec![put_policy("first")]))
            .expect("accepted");
        cluster.run_for(Duration::from_secs(2));
        let leader = cluster.leader().expect("a leader");
        let based_on = cluster.config_version();
        let change = request("last", based_on, vec![put_policy("last")]);
        let token = cluster.submit(leader, change);
        let before = cluster.now;
        cluster.stop(leader);
        assert_matches!(cluster.responses.get(&token), Some(Ok(_)), "seed {seed}");
        cluster.run_until(LIMIT, "another leader", |it| it.leader().is_some());
        longest = longest.max(cluster.now.saturating_since(before));
        let based_on = cluster.config_version();
        cluster
            .ask(request("after", based_on, vec![put_policy("after")]))
            .expect("accepted by the next leader");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
    println!("longest time without a leader in a planned stop: {longest:?}");
    assert!(longest < Duration::from_millis(100), "{longest:?}");
}

#[test]
fn follower_stops_at_once() {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    cluster.run_until(LIMIT, "a leader", |it| it.leader().is_some());
    let leader = cluster.leader().expect("just found");
    let taken = cluster.stop((leader + 1) % 3);
    assert_eq!(taken, Duration::ZERO);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn rolling_restart_loses_nothing_and_fences_no_one() {
    for seed in 0..6 {
        let mut cluster = Cluster::new(seed, ControlSettings::default());
        cluster.faults = ROUGH;
        for number in 0..3 {
            cluster.add_daemon(200 + number, &format!("agent-{number}"), NodeRole::Agent);
        }
        cluster.run_until(LIMIT, "registration", Cluster::all_registered);
        for round in 0..6 {
            let name = format!("policy-{round}");
            let based_on = cluster.config_version();
            let accepted = cluster.ask(request(&name, based_on, vec![put_policy(&name)]));
            cluster.stop(round % 3);
            cluster.run_for(Duration::from_secs(2));
            cluster.start(round % 3);
            cluster.run_for(Duration::from_secs(2));
            let is_there = cluster.view().policy(&name).is_some();
            assert!(is_there || accepted.is_err(), "seed {seed}, round {round}");
        }
        let lives: Vec<u64> = cluster.daemons.values().map(|it| it.lives).collect();
        assert_eq!(lives, [1, 1, 1], "seed {seed}");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn leader_without_the_others_stops_in_the_end() {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    cluster.run_until(LIMIT, "a leader", |it| it.leader().is_some());
    let leader = cluster.leader().expect("just found");
    cluster.crash((leader + 1) % 3);
    cluster.crash((leader + 2) % 3);
    let taken = cluster.stop(leader);
    assert!(taken <= Duration::from_secs(2), "{taken:?}");
}
