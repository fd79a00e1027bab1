//! Placements that follow drains, losses and reports.

use std::time::Duration;

use petrellatch_core::control::{
    ControlSettings, OperatorRequest, OperatorResponse, PLANNED_GENERATIONS,
};
use petrellatch_core::identity::ServiceId;
use petrellatch_proto::command::DrainTarget;
use petrellatch_proto::dissemination::BackendLoad;
use petrellatch_proto::record::{GenerationRecord, NodeRole, ShareRecord};

use crate::changes::{desk, drain, request};
use crate::cluster::{Cluster, daemon_address};

const AGENT: u16 = 200;
const AGENTS: u16 = 4;
const SERVICE: ServiceId = ServiceId(1);
const LIMIT: Duration = Duration::from_secs(30);

fn generations(cluster: &Cluster) -> &[GenerationRecord] {
    let placement = cluster.view().placement(SERVICE);
    placement.map_or(&[], |placement| &placement.generations)
}

fn newest_shares(cluster: &Cluster) -> &[ShareRecord] {
    generations(cluster).last().map_or(&[], |it| &it.shares)
}

fn start(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, ControlSettings::default());
    for number in 0..AGENTS {
        let name = format!("agent-{number}");
        cluster.add_daemon(AGENT + number, &name, NodeRole::Agent);
    }
    cluster
        .ask(request("start", 0, desk(u32::from(AGENTS))))
        .expect("accepted");
    cluster.run_until(LIMIT, "placement", |it| {
        newest_shares(it).len() == usize::from(AGENTS)
    });
    cluster.run_until(LIMIT, "settling", |it| generations(it).len() == 1);
    cluster
}

fn submit_drain(cluster: &mut Cluster, target: DrainTarget, name: &str, draining: bool) {
    let id = format!("drain-{name}-{draining}-{}", cluster.now.as_micros());
    let based_on = cluster.config_version();
    let edits = vec![drain(target, name, draining)];
    cluster
        .ask(request(&id, based_on, edits))
        .expect("accepted");
}

#[test]
fn drained_back_end_and_node_get_nothing_new_within_seconds() {
    let mut cluster = start(1);
    submit_drain(&mut cluster, DrainTarget::Backend, "backend-1", true);
    let in_force =
        |it: &Cluster, count: usize| newest_shares(it).len() == count && it.all_in_force();
    let first = cluster.run_until(LIMIT, "drain", |it| in_force(it, 3));
    submit_drain(&mut cluster, DrainTarget::Node, "agent-2", true);
    let second = cluster.run_until(LIMIT, "drain", |it| in_force(it, 2));
    println!("drains were in force after {first:?} and {second:?}");
    assert!(first.max(second) < Duration::from_secs(2));
    submit_drain(&mut cluster, DrainTarget::Backend, "backend-1", false);
    submit_drain(&mut cluster, DrainTarget::Node, "agent-2", false);
    cluster.run_until(LIMIT, "return", |it| in_force(it, 4));
    cluster.run_until(LIMIT, "settling", |it| generations(it).len() == 1);
}

#[test]
fn leaving_agent_gets_nothing_new() {
    let mut cluster = start(1);
    cluster.report(AGENT, |report| report.leaving = true);
    let taken = cluster.run_until(LIMIT, "leave", |it| {
        newest_shares(it).len() == 3 && it.all_in_force()
    });
    assert!(taken < Duration::from_secs(2), "{taken:?}");
}

#[test]
fn unsettled_generations_pile_up_to_a_limit_but_a_loss_goes_through() {
    let mut cluster = start(2);
    for port in AGENT..AGENT + AGENTS {
        cluster.report(port, |report| report.unsettled = vec![SERVICE]);
    }
    cluster.run_for(Duration::from_secs(2));
    for round in 0..8 {
        let name = format!("backend-{}", round % 2);
        submit_drain(&mut cluster, DrainTarget::Backend, &name, round % 4 < 2);
        cluster.run_for(Duration::from_secs(2));
    }
    assert_eq!(generations(&cluster).len(), PLANNED_GENERATIONS);
    let lost = cluster.daemon(AGENT + 3).link.identity().node.0;
    cluster.cut.insert(daemon_address(AGENT + 3));
    cluster.run_until(LIMIT, "takeover", |it| {
        newest_shares(it).iter().all(|share| share.node != lost)
    });
    assert_eq!(generations(&cluster).len(), PLANNED_GENERATIONS + 1);
    for port in AGENT..AGENT + AGENTS {
        cluster.report(port, |report| report.unsettled.clear());
    }
    cluster.run_until(LIMIT, "settling", |it| generations(it).len() == 1);
}

#[test]
fn reports_take_out_at_most_half_of_a_service() {
    let mut cluster = start(3);
    let report = |health: u32| {
        move |backend: u64| BackendLoad {
            backend,
            in_flight_requests: 0,
            connections: 0,
            health,
            draining: false,
        }
    };
    for number in 0..AGENTS {
        let load = report(0)(u64::from(number) + 1);
        cluster.report(AGENT + number, |it| it.loads = vec![load]);
    }
    cluster.run_for(Duration::from_secs(20));
    assert_eq!(newest_shares(&cluster).len(), 2);
    // A single sick back end is taken out.
    for number in 0..AGENTS {
        let health = if number == 0 { 0 } else { 1_000 };
        let load = report(health)(u64::from(number) + 1);
        cluster.report(AGENT + number, |it| it.loads = vec![load]);
    }
    cluster.run_for(Duration::from_secs(20));
    let backends: Vec<u64> = newest_shares(&cluster)
        .iter()
        .map(|it| it.backend)
        .collect();
    assert_eq!(backends, [2, 3, 4]);
}

#[test]
fn unsteady_loads_and_new_leaders_do_not_move_flows() {
    let mut cluster = start(4);
    let before = generations(&cluster).last().expect("a generation").number;
    for round in 0..60_u32 {
        for number in 0..AGENTS {
            let load = BackendLoad {
                backend: u64::from(number) + 1,
                in_flight_requests: 3 + (round + u32::from(number)) % 3,
                connections: 100 * (round % 7),
                health: 900 + 10 * (round % 10),
                draining: false,
            };
            cluster.report(AGENT + number, |it| it.loads = vec![load]);
        }
        if round == 30 {
            let leader = cluster.leader().expect("a leader");
            cluster.crash(leader);
            cluster.run_for(Duration::from_secs(3));
            cluster.start(leader);
        }
        cluster.run_for(Duration::from_secs(1));
    }
    let after = generations(&cluster).last().expect("a generation").number;
    assert_eq!(after, before);
}

#[test]
fn status_names_who_lags_and_explanation_names_why() {
    let mut cluster = start(5);
    cluster.cut.insert(daemon_address(AGENT));
    submit_drain(&mut cluster, DrainTarget::Backend, "backend-1", true);
    cluster.run_for(Duration::from_secs(3));
    let status = match cluster.ask(OperatorRequest::Status) {
        Ok(OperatorResponse::Status(status)) => status,
        other => panic!("{other:?}"),
    };
    assert_eq!(status.lagging, ["agent-0"]);
    assert_eq!(status.config_version, cluster.config_version());
    assert!(!status.is_in_force(status.config_version));
    let request = OperatorRequest::ExplainPolicy {
        service: "desk".to_owned(),
    };
    let explanations = match cluster.ask(request) {
        Ok(OperatorResponse::Explanation(explanations)) => explanations,
        other => panic!("{other:?}"),
    };
    let text = explanations[1].to_string();
    assert!(text.contains("drained"), "{text}");
}

#[test]
fn a_service_without_eligible_back_ends_has_owners_that_refuse() {
    let mut cluster = start(6);
    for number in 0..AGENTS {
        let name = format!("backend-{number}");
        submit_drain(&mut cluster, DrainTarget::Backend, &name, true);
    }
    cluster.run_until(LIMIT, "refusing owners", |it| {
        let shares = newest_shares(it);
        let refusing = !shares.iter().any(ShareRecord::receives_new_flows);
        refusing && shares.len() == usize::from(AGENTS) && it.all_in_force()
    });
    cluster.run_until(LIMIT, "settling", |it| generations(it).len() == 1);
    submit_drain(&mut cluster, DrainTarget::Backend, "backend-1", false);
    cluster.run_until(LIMIT, "one back end again", |it| {
        let shares = newest_shares(it);
        shares.len() == 1 && shares[0].receives_new_flows()
    });
}
