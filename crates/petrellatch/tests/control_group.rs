//! Control replicas with a balancer and an agent, set up as in production but
//! run in threads of the test.

mod support;

use std::time::{Duration, Instant};

use petrellatch::api::Configuration;
use petrellatch::settings::Role;
use support::{Cluster, DOCUMENT, policy, read_admin, wait_for};

fn policy_names(cluster: &Cluster) -> Vec<String> {
    let output = cluster.ctl_output(&["get"]);
    let configuration: Configuration = serde_json::from_str(&output).expect("a configuration");
    let policies = configuration.document.policies.into_iter();
    policies.map(|policy| policy.name).collect()
}

fn role_of(status: &petrellatch::api::StatusDocument, name: &str) -> Option<String> {
    let mut replicas = status.replicas.iter();
    let replica = replicas.find(|replica| replica.name == name);
    replica.map(|replica| replica.role.clone())
}

#[test]
fn an_accepted_change_takes_effect_at_every_daemon() {
    let mut cluster = Cluster::start(3);
    cluster.start_daemon(Role::Balancer, "balancer-1");
    cluster.start_daemon(Role::Agent, "agent-1");
    cluster.wait_for_status("both are members", |status| status.members.len() == 2);
    let version = cluster.apply(DOCUMENT);
    cluster.ctl_output(&["wait", "--version", &version.to_string()]);
    let status = cluster.wait_for_status("the service is placed", |status| {
        let mut services = status.services.iter();
        services.any(|service| service.settled && service.generation > 0)
    });
    assert_eq!(status.services[0].backends[0].weight, 1_000);
    for member in &status.members {
        assert!(member.version >= version, "{member:?}");
    }
    let admin = cluster.running["balancer-1"]
        .ready
        .admin
        .expect("the address is open");
    assert_eq!(read_admin(admin, "/readyz").0, 200);
    let (_, metrics) = read_admin(admin, "/metrics");
    assert!(metrics.contains("petrellatch_view_version"), "{metrics}");
}

#[test]
fn all_metrics_are_documented() {
    let mut cluster = Cluster::start(1);
    cluster.start_daemon(Role::Balancer, "balancer-1");
    cluster.start_daemon(Role::Agent, "agent-1");
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");
    let page = std::fs::read_to_string(page).expect("the page exists");
    for (name, running) in &cluster.running {
        let admin = running.ready.admin.expect("the address is open");
        let (_, metrics) = read_admin(admin, "/metrics");
        let names = metrics
            .lines()
            .filter_map(|line| line.strip_prefix("# TYPE "));
        for metric in names.filter_map(|line| line.split(' ').next()) {
            assert!(page.contains(&format!("`{metric}`")), "{name}: {metric}");
        }
    }
}

#[test]
fn changes_are_accepted_while_the_leader_is_stopped_and_it_catches_up_after_a_restart() {
    let mut cluster = Cluster::start(3);
    cluster.apply(&policy("first"));
    let leader = cluster.status().leader;
    cluster.take(&leader).stop();
    cluster.apply(&policy("second"));
    cluster.restart_control(&leader);
    let newest = cluster
        .status()
        .replicas
        .iter()
        .map(|it| it.durable_index)
        .max();
    cluster.wait_for_status("the replica has caught up", |status| {
        let mut replicas = status.replicas.iter();
        replicas.any(|it| it.name == leader && Some(it.durable_index) >= newest)
    });
    assert_eq!(policy_names(&cluster), ["first", "second"]);
}

#[test]
fn a_graceful_stop_of_the_leader_causes_no_election_timeout() {
    let election = Duration::from_secs(4);
    let mut cluster = Cluster::start_with(3, election);
    cluster.apply(&policy("before"));
    let leader = cluster.status().leader;
    let stopping = Instant::now();
    cluster.take(&leader).stop();
    cluster.apply(&policy("after"));
    let elapsed = stopping.elapsed();
    assert!(elapsed < election, "no change was accepted for {elapsed:?}");
    assert_ne!(cluster.status().leader, leader);
}

#[test]
fn a_group_that_was_killed_keeps_its_accepted_changes() {
    let mut cluster = Cluster::start(3);
    let names = ["one", "two", "three", "four"];
    let mut version = 0;
    for name in names {
        version = cluster.apply(&policy(name));
    }
    let replicas: Vec<String> = cluster.running.keys().cloned().collect();
    for name in &replicas {
        cluster.take(name).kill();
    }
    for name in &replicas {
        cluster.restart_control(name);
    }
    let mut found = policy_names(&cluster);
    found.sort();
    let mut expected = names.to_vec();
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert_eq!(cluster.status().configuration_version, version);
}

#[test]
fn a_replica_that_lost_its_folder_is_admitted_again_and_counts_for_the_quorum() {
    let mut cluster = Cluster::start(3);
    cluster.apply(&policy("before"));
    let lost = cluster.follower();
    cluster.take(&lost).kill();
    std::fs::remove_dir_all(cluster.data_folder(&lost)).expect("the folder is removed");
    cluster.restart_control(&lost);
    // Until the replica is admitted with its new incarnation, the membership
    // lists its previous one.
    let incarnation = cluster.running[&lost].ready.incarnation.clone();
    let incarnation = incarnation.expect("a control replica prints its incarnation");
    cluster.wait_for_status("the replica is a voter again", |status| {
        let mut replicas = status.replicas.iter();
        replicas.any(|it| it.incarnation == incarnation && it.role == "voter")
    });
    // A second machine is lost right after the first one was repaired, so the
    // quorum needs the repaired one.
    let leader = cluster.status().leader;
    let second = cluster
        .replicas
        .iter()
        .map(|replica| replica.name.clone())
        .find(|name| *name != leader && *name != lost)
        .expect("the group has three replicas");
    cluster.take(&second).kill();
    cluster.apply(&policy("after"));
    assert_eq!(policy_names(&cluster), ["after", "before"]);
}

#[test]
fn an_operator_removes_and_adds_a_replica() {
    let mut cluster = Cluster::start(3);
    cluster.apply(&policy("before"));
    let name = cluster.follower();
    cluster.ctl_output(&["replica", "remove", &name]);
    assert_eq!(role_of(&cluster.status(), &name), None);
    cluster.take(&name).kill();
    std::fs::remove_dir_all(cluster.data_folder(&name)).expect("the folder is removed");
    cluster.restart_control(&name);
    cluster.wait_for_status("the replica has announced itself", |status| {
        status.announced.iter().any(|replica| replica.name == name)
    });
    cluster.ctl_output(&["replica", "add", &name]);
    assert_eq!(role_of(&cluster.status(), &name).as_deref(), Some("voter"));
    let listed = cluster.ctl_output(&["replica", "list"]);
    assert!(listed.contains(&name), "{listed}");
}

#[test]
fn a_graceful_stop_removes_a_balancer_and_an_agent_from_the_cluster() {
    let mut cluster = Cluster::start(1);
    cluster.start_daemon(Role::Balancer, "balancer-1");
    cluster.start_daemon(Role::Agent, "agent-1");
    cluster.wait_for_status("both are members", |status| status.members.len() == 2);
    let admin = cluster.running["balancer-1"]
        .ready
        .admin
        .expect("the address is open");
    wait_for("the balancer is ready", || {
        read_admin(admin, "/readyz").0 == 200
    });
    cluster.take("agent-1").stop();
    cluster.take("balancer-1").stop();
    cluster.wait_for_status("both have left", |status| status.members.is_empty());
}

#[test]
fn a_document_with_more_edits_than_a_change_may_have_is_applied_completely() {
    let cluster = Cluster::start(1);
    let names = (0..200).map(|number| format!("policy-{number:03}"));
    let expected: Vec<String> = names.collect();
    let document: Vec<String> = expected.iter().map(|name| policy(name)).collect();
    cluster.apply(&document.join("\n"));
    let mut found = policy_names(&cluster);
    found.sort();
    assert_eq!(found, expected);
}

#[test]
fn a_restarted_daemon_is_ready_with_the_changes_made_meanwhile() {
    let mut cluster = Cluster::start(1);
    cluster.start_daemon(Role::Balancer, "balancer-1");
    let first = cluster.apply(&policy("first"));
    cluster.ctl_output(&["wait", "--version", &first.to_string()]);
    cluster.take("balancer-1").kill();
    let mut version = 0;
    for number in 0..20 {
        version = cluster.apply(&policy(&format!("policy-{number}")));
    }
    cluster.start_daemon(Role::Balancer, "balancer-1");
    cluster.wait_for_status("the balancer has the newest version", |status| {
        let mut members = status.members.iter();
        members.any(|member| member.name == "balancer-1" && member.version >= version)
    });
}
