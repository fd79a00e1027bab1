//! Leases and fencing of silent agents.

use std::time::Duration;

use petrellatch_core::control::{ControlMutations, ControlSettings};
use petrellatch_core::identity::NodeId;
use petrellatch_core::membership::{MembershipSettings, PlatformMachine};
use petrellatch_proto::record::NodeRole;

use crate::cluster::{Cluster, ROUGH, control_address, daemon_address};

const AGENT: u16 = 200;
const LIMIT: Duration = Duration::from_secs(30);

fn start(seed: u64, settings: ControlSettings) -> Cluster {
    let mut cluster = Cluster::new(seed, settings);
    for number in 0..3 {
        let name = format!("agent-{number}");
        cluster.add_daemon(AGENT + number, &name, NodeRole::Agent);
    }
    cluster.run_until(LIMIT, "leases", |it| {
        let mut daemons = it.daemons.values();
        daemons.all(|daemon| daemon.link.lease_until().is_some())
    });
    cluster
}

fn agent_node() -> NodeId {
    NodeId::from_name("agent-0")
}

#[test]
fn silent_agent_is_fenced_after_its_lease_and_comes_back_as_a_new_life() {
    for seed in 0..10 {
        let mut cluster = start(seed, ControlSettings::default());
        cluster.faults = ROUGH;
        cluster.run_for(Duration::from_secs(5));
        let lease_end = cluster.daemon(AGENT).link.lease_until().expect("a lease");
        cluster.cut.insert(daemon_address(AGENT));
        let taken = cluster.run_until(LIMIT, "fence", |it| {
            it.view().member(agent_node()).is_none()
        });
        assert!(cluster.now > lease_end);
        let settings = MembershipSettings::default();
        assert!(
            taken < settings.lease_end() + Duration::from_secs(2),
            "{taken:?}"
        );

        cluster.cut.clear();
        cluster.run_until(LIMIT, "return", |it| {
            let daemon = it.daemon(AGENT);
            let is_valid = daemon.link.lease_until().is_some_and(|at| at > it.now);
            daemon.lives == 2 && is_valid
        });
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn fencing_without_waiting_is_noticed() {
    let mutations = ControlMutations {
        fence_without_waiting: true,
        ..ControlMutations::default()
    };
    let settings = ControlSettings {
        mutations,
        ..ControlSettings::default()
    };
    let mut cluster = start(1, settings);
    cluster.cut.insert(daemon_address(AGENT));
    cluster.run_for(Duration::from_secs(8));
    assert!(!cluster.violations.is_empty());
}

#[test]
fn agent_that_says_it_stopped_is_fenced_at_once() {
    let mut cluster = start(1, ControlSettings::default());
    cluster.report(AGENT, |report| report.stopped = true);
    let taken = cluster.run_until(LIMIT, "fence", |it| {
        it.view().member(agent_node()).is_none()
    });
    assert!(taken < Duration::from_secs(1), "{taken:?}");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn platform_list_alone_fences_no_one() {
    let mut cluster = start(1, ControlSettings::default());
    let listed = vec![PlatformMachine {
        name: "agent-1".to_owned(),
        is_leaving: true,
    }];
    let now = cluster.now;
    for control in &mut cluster.controls {
        let node = control.node.as_mut().expect("running");
        node.handle_platform_list(now, listed.clone());
    }
    let before = cluster.view().version();
    cluster.run_for(Duration::from_secs(30));
    assert_eq!(cluster.view().version(), before);
}

#[test]
fn cut_off_leader_grants_nothing_and_the_next_one_waits() {
    for seed in 0..20 {
        let mut cluster = start(seed, ControlSettings::default());
        cluster.run_for(Duration::from_millis(300 * seed));
        let old = cluster.leader().expect("a leader");
        // The leader and one agent are cut off together from the rest.
        cluster.cut.insert(control_address(old));
        cluster.cut.insert(daemon_address(AGENT));
        let lease_end = cluster.daemon(AGENT).link.lease_until().expect("a lease");
        cluster.run_until(LIMIT, "fence", |it| {
            it.view().member(agent_node()).is_none()
        });
        assert!(cluster.now > lease_end, "seed {seed}");
        cluster.cut.clear();
        cluster.run_until(LIMIT, "leases", |it| {
            let valid = |at| at > it.now;
            let mut daemons = it.daemons.values();
            daemons.all(|daemon| daemon.link.lease_until().is_some_and(valid))
        });
        assert_eq!(cluster.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn leader_changes_fence_no_one() {
    for seed in 0..6 {
        let mut cluster = start(seed, ControlSettings::default());
        for _ in 0..4 {
            cluster.run_until(LIMIT, "a leader", |it| it.leader().is_some());
            let leader = cluster.leader().expect("a leader");
            cluster.crash(leader);
            cluster.run_for(Duration::from_secs(8));
            cluster.start(leader);
        }
        let lives: Vec<u64> = cluster.daemons.values().map(|it| it.lives).collect();
        assert_eq!(lives, [1, 1, 1], "seed {seed}");
        assert_eq!(cluster.violations, Vec::<String>::new());
    }
}

#[test]
fn control_group_that_was_away_for_a_minute_fences_no_one() {
    let mut cluster = start(1, ControlSettings::default());
    for index in 0..3 {
        cluster.crash(index);
    }
    cluster.controls[0].node = None;
    // The checks need a running node: the first one starts again alone, so
    // that there is no quorum.
    cluster.start(0);
    cluster.run_for(Duration::from_secs(60));
    cluster.start(1);
    cluster.start(2);
    cluster.run_until(LIMIT, "leases", |it| {
        let valid = |at| at > it.now;
        let mut daemons = it.daemons.values();
        daemons.all(|daemon| daemon.link.lease_until().is_some_and(valid))
    });
    let lives: Vec<u64> = cluster.daemons.values().map(|it| it.lives).collect();
    assert_eq!(lives, [1, 1, 1]);
}
