//! Replacing and reading the configuration of a replica group.

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::pass_through::{Configuration, ConfigurationRequest, ConfigurationResponse};
use petrellatch_proto::pass_through::{RouteRecord, ServiceRecord};

use super::group::{Group, configuration};

const SECOND: Duration = Duration::from_secs(1);

fn replace(version: u64, routes: u8) -> ConfigurationRequest {
    ConfigurationRequest::Replace(configuration(version, routes))
}

#[test]
fn the_highest_version_wins_and_all_are_acknowledged() {
    let mut group = Group::start(3);
    group.replace(4, 1);
    let leader = group.leader().expect("a leader");
    let tokens = [9, 7, 9, 12, 4].map(|version| group.request(leader, replace(version, 3)));
    group.run(SECOND);
    for token in tokens {
        assert_matches!(
            group.response(token),
            Some(ConfigurationResponse::Accepted { .. })
        );
    }
    assert_eq!(group.read().version, 12);
}

#[test]
fn different_content_under_the_current_version_has_no_effect() {
    let mut group = Group::start(3);
    group.replace(4, 1);
    group.replace(4, 2);
    assert_eq!(group.read(), configuration(4, 1));
}

#[test]
fn a_large_configuration_survives_a_kill_of_all_replicas() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    group.replace(4, 250);
    group.replace(5, 249);
    for index in 1..=5 {
        group.kill(index);
    }
    group.run(SECOND);
    for index in 1..=5 {
        group.restart(index);
    }
    assert_eq!(group.read(), configuration(5, 249));
}

#[test]
fn followers_refer_to_the_leader_and_acknowledge_older_versions() {
    let mut group = Group::start(3);
    group.replace(4, 1);
    group.run(SECOND);
    let leader = group.leader().expect("a leader");
    let follower = (1..=3).find(|index| *index != leader).expect("a follower");
    let newer = group.request(follower, replace(5, 1));
    let older = group.request(follower, replace(3, 1));
    assert_matches!(
        group.response(newer),
        Some(ConfigurationResponse::NotLeader { .. })
    );
    assert_matches!(
        group.response(older),
        Some(ConfigurationResponse::Accepted { version: 4 })
    );
}

#[test]
fn a_leader_whose_disk_hangs_is_replaced() {
    let mut group = Group::start(3);
    group.replace(4, 1);
    let leader = group.leader().expect("a leader");
    group.set_disk_responds(leader, false);
    let lost = group.request(leader, replace(5, 1));
    group.run_until(3 * SECOND, "another leader", |it| {
        it.leader().is_some_and(|index| index != leader)
    });
    assert_matches!(
        group.response(lost),
        Some(ConfigurationResponse::Unavailable)
    );
    group.replace(6, 2);
    assert_eq!(group.read().version, 6);
}

#[test]
fn inserting_a_route_changes_one_record() {
    let before = configuration(4, 100);
    let mut routes: Vec<RouteRecord> = before.ordered_routes().into_iter().cloned().collect();
    let inserted = RouteRecord {
        address: 1,
        ..routes[0].clone()
    };
    routes.insert(50, inserted);
    routes.remove(20);
    let services = vec![ServiceRecord {
        service: "desk".to_owned(),
        warm_up_millirequests_per_second: 0,
    }];
    let after = Configuration::new(5, routes.clone(), services.clone(), Vec::new()).expect("valid");
    let change = before.change_to(&after);
    assert_eq!((change.put.len(), change.removed.len()), (1, 1));
    let mut applied = before.clone();
    assert!(applied.apply(&change));
    let order = |configuration: &Configuration| -> Vec<u64> {
        let routes = configuration.ordered_routes();
        routes.iter().map(|route| route.address).collect()
    };
    assert_eq!(order(&applied), order(&after));

    routes.reverse();
    let reversed = Configuration::new(6, routes, services, Vec::new()).expect("valid");
    assert!(applied.apply(&applied.change_to(&reversed)));
    assert_eq!(order(&applied), order(&reversed));
}
