//! Many daemons: relays, mass restarts, control bytes.

use std::time::Duration;

use petrellatch_core::control::ControlSettings;
use petrellatch_proto::record::NodeRole;

use crate::changes::{desk, put_policy, request};
use crate::cluster::{Cluster, daemon_address};

const LIMIT: Duration = Duration::from_secs(60);

fn start(balancers: u16, agents: u16) -> Cluster {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    for number in 0..balancers {
        let name = format!("balancer-{number}");
        cluster.add_daemon(1_000 + number, &name, NodeRole::Balancer);
    }
    for number in 0..agents {
        cluster.add_daemon(2_000 + number, &format!("agent-{number}"), NodeRole::Agent);
    }
    cluster
        .ask(request("start", 0, desk(u32::from(agents.min(7)))))
        .expect("accepted");
    cluster.run_until(LIMIT, "registration", Cluster::all_registered);
    cluster.run_until(LIMIT, "version in force", Cluster::all_in_force);
    cluster
}

#[test]
fn steady_control_traffic_stays_far_below_a_kilobyte_a_second() {
    const SECONDS: u64 = 30;
    let mut cluster = start(6, 11);
    cluster.run_for(Duration::from_secs(15));
    cluster.received_bytes.clear();
    cluster.sent_bytes.clear();
    cluster.run_for(Duration::from_secs(SECONDS));
    let mut most = 0;
    for address in cluster.daemons.keys() {
        let received = cluster.received_bytes.get(address).copied().unwrap_or(0);
        let sent = cluster.sent_bytes.get(address).copied().unwrap_or(0);
        most = most.max((received + sent) / SECONDS);
    }
    println!("steady control traffic of one daemon: at most {most} bytes a second");
    assert!(most < 400, "{most}");
}

#[test]
fn hundred_daemons_use_relays_and_outlive_one() {
    let mut cluster = start(12, 88);
    cluster.run_for(Duration::from_secs(30));
    let based_on = cluster.config_version();
    cluster
        .ask(request("one", based_on, vec![put_policy("one")]))
        .expect("accepted");
    let taken = cluster.run_until(LIMIT, "version in force", Cluster::all_in_force);
    println!("a change was in force at 100 daemons after {taken:?}");
    assert!(taken < Duration::from_secs(1));

    // The relay that sends most is the one with most children.
    let balancers: Vec<u16> = (1_000..1_012).collect();
    let sent = |port: &u16| cluster.sent_bytes.get(&daemon_address(*port)).copied();
    let relay = balancers
        .iter()
        .max_by_key(|port| sent(port))
        .expect("a relay");
    cluster.cut.insert(daemon_address(*relay));
    let based_on = cluster.config_version();
    cluster
        .ask(request("two", based_on, vec![put_policy("two")]))
        .expect("accepted");
    let taken = cluster.run_until(LIMIT, "version in force", Cluster::all_in_force);
    println!("with its relay lost, a change was in force after {taken:?}");
    assert!(taken < Duration::from_secs(8));
}

#[test]
fn all_daemons_restart_at_once() {
    let mut cluster = start(12, 88);
    cluster.run_for(Duration::from_secs(5));
    let ports: Vec<u16> = (1_000..1_012).chain(2_000..2_088).collect();
    cluster.daemons.clear();
    for port in &ports {
        let (name, role) = if *port < 2_000 {
            (format!("balancer-{}", port - 1_000), NodeRole::Balancer)
        } else {
            (format!("agent-{}", port - 2_000), NodeRole::Agent)
        };
        cluster.add_daemon(*port, &name, role);
    }
    // They come back as new lives.
    let now = cluster.now;
    for daemon in cluster.daemons.values_mut() {
        let former = daemon.link.identity().incarnation.0;
        let next = petrellatch_core::identity::Incarnation(former + 1);
        daemon.link.new_life(now, next);
    }
    cluster.received_bytes.clear();
    let taken = cluster.run_until(LIMIT, "registration", Cluster::all_registered);
    println!("100 new lives were registered after {taken:?}");
    cluster.run_until(LIMIT, "version in force", Cluster::all_in_force);
    let received = cluster.received_bytes.values().max().copied().unwrap_or(0);
    println!("at most {received} bytes were received by one process");
    assert_eq!(cluster.violations, Vec::<String>::new());
}
