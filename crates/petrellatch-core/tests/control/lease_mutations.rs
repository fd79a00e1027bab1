//! Every promise about leases and placements has a fault that breaks it, and
//! the checks notice. The same runs without the fault are clean.

use std::time::Duration;

use petrellatch_core::control::{ControlMutations, ControlSettings};
use petrellatch_core::dissemination::DisseminationMutations;
use petrellatch_core::identity::{Incarnation, ServiceId};
use petrellatch_proto::command::DrainTarget;
use petrellatch_proto::record::NodeRole;

use crate::changes::{desk, drain, request};
use crate::cluster::{Cluster, control_address, daemon_address};

const AGENT: u16 = 200;
const AGENTS: u16 = 3;
const LIMIT: Duration = Duration::from_secs(30);
const SEEDS: u64 = 12;

fn settings(mutations: ControlMutations) -> ControlSettings {
    ControlSettings {
        mutations,
        ..ControlSettings::default()
    }
}

fn start(seed: u64, settings: ControlSettings, links: DisseminationMutations) -> Cluster {
    let mut cluster = Cluster::new(seed, settings);
    cluster.link_mutations = links;
    for number in 0..AGENTS {
        let name = format!("agent-{number}");
        cluster.add_daemon(AGENT + number, &name, NodeRole::Agent);
    }
    cluster
        .ask(request("start", 0, desk(u32::from(AGENTS))))
        .expect("accepted");
    cluster.run_until(LIMIT, "leases", |it| {
        let mut daemons = it.daemons.values();
        daemons.all(|daemon| daemon.link.lease_until().is_some())
    });
    cluster.run_for(Duration::from_millis(3_000 + 130 * seed));
    cluster
}

/// Runs a scenario under several seeds and returns what the checks noticed.
fn noticed(
    scenario: impl Fn(&mut Cluster),
    settings: &ControlSettings,
    links: DisseminationMutations,
) -> Vec<String> {
    let run = |seed| {
        let mut cluster = start(seed, settings.clone(), links);
        scenario(&mut cluster);
        cluster.violations
    };
    (0..SEEDS).flat_map(run).collect()
}

fn assert_breaks(
    scenario: impl Fn(&mut Cluster),
    faulty: ControlSettings,
    links: DisseminationMutations,
) {
    let clean = noticed(&scenario, &ControlSettings::default(), Default::default());
    assert_eq!(clean, Vec::<String>::new(), "without the fault");
    assert!(!noticed(&scenario, &faulty, links).is_empty());
}

/// The leader is cut off from the other replicas, but one agent still reaches
/// it.
fn leader_without_quorum(cluster: &mut Cluster) {
    let old = cluster.leader().expect("a leader");
    let others = (0..3).filter(|index| *index != old);
    for other in others {
        let pair = (control_address(old), control_address(other));
        cluster.cut_pairs.insert(pair);
        cluster.cut_pairs.insert((pair.1, pair.0));
        let agent = daemon_address(AGENT);
        cluster.cut_pairs.insert((agent, control_address(other)));
        cluster.cut_pairs.insert((control_address(other), agent));
    }
    cluster.run_for(Duration::from_secs(20));
}

#[test]
fn granting_without_a_quorum_is_noticed() {
    let mut faulty = ControlSettings::default();
    faulty.replica.mutations.skip_quorum_check = true;
    assert_breaks(leader_without_quorum, faulty, Default::default());
}

/// The leader is lost, and one agent is cut off at the same moment.
fn leader_and_agent_lost(cluster: &mut Cluster) {
    let old = cluster.leader().expect("a leader");
    cluster.crash(old);
    cluster.cut.insert(daemon_address(AGENT));
    cluster.run_for(Duration::from_secs(15));
}

#[test]
fn forgetting_the_leases_of_earlier_leaders_is_noticed() {
    let mutations = ControlMutations {
        forget_earlier_leases: true,
        ..ControlMutations::default()
    };
    assert_breaks(
        leader_and_agent_lost,
        settings(mutations),
        Default::default(),
    );
}

/// Another process of the same name starts while the first one still runs.
fn second_life_beside_the_first(cluster: &mut Cluster) {
    let second = AGENT + 50;
    cluster.add_daemon(second, "agent-0", NodeRole::Agent);
    let now = cluster.now;
    let daemon = cluster.daemons.get_mut(&daemon_address(second));
    let link = &mut daemon.expect("just added").link;
    link.new_life(now, Incarnation(9));
    cluster.run_for(Duration::from_secs(2));
}

#[test]
fn registering_a_life_beside_the_former_one_is_noticed() {
    let mutations = ControlMutations {
        register_over_former_life: true,
        ..ControlMutations::default()
    };
    assert_breaks(
        second_life_beside_the_first,
        settings(mutations),
        Default::default(),
    );
}

/// Answers take long, and then the heartbeats of an agent are lost.
fn slow_answers_and_lost_heartbeats(cluster: &mut Cluster) {
    let agent = daemon_address(AGENT);
    cluster.slow.insert(agent, Duration::from_secs(2));
    cluster.run_for(Duration::from_secs(6));
    for index in 0..3 {
        cluster.cut_pairs.insert((agent, control_address(index)));
    }
    cluster.run_for(Duration::from_secs(12));
}

#[test]
fn counting_a_lease_from_its_arrival_is_noticed() {
    let links = DisseminationMutations {
        lease_from_arrival: true,
        ..DisseminationMutations::default()
    };
    assert_breaks(
        slow_answers_and_lost_heartbeats,
        settings(ControlMutations::default()),
        links,
    );
}

/// Drains a back end while the agents report the service as unsettled. Returns
/// how many generations are listed after a while.
fn generations_while_unsettled(mutations: ControlMutations) -> usize {
    let mut cluster = start(1, settings(mutations), Default::default());
    for number in 0..AGENTS {
        cluster.report(AGENT + number, |report| {
            report.unsettled = vec![ServiceId(1)]
        });
    }
    cluster.run_for(Duration::from_secs(2));
    let based_on = cluster.config_version();
    let edits = vec![drain(DrainTarget::Backend, "backend-0", true)];
    cluster
        .ask(request("drain", based_on, edits))
        .expect("accepted");
    cluster.run_for(Duration::from_secs(10));
    let placement = cluster.view().placement(ServiceId(1));
    placement.map_or(0, |placement| placement.generations.len())
}

#[test]
fn settling_before_the_owners_have_reported_is_noticed() {
    assert_eq!(generations_while_unsettled(ControlMutations::default()), 2);
    let mutations = ControlMutations {
        settle_without_reports: true,
        ..ControlMutations::default()
    };
    assert_eq!(generations_while_unsettled(mutations), 1);
}
