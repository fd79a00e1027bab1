//! What an outage of the control group, a dead agent and a region that is cut
//! off cost. The figures of `docs/design/06-membership-and-leases.md`.

use std::time::Duration;

use petrellatch_core::control::ControlSettings;
use petrellatch_core::identity::{NodeId, ServiceId};
use petrellatch_core::membership::MembershipSettings;
use petrellatch_proto::record::NodeRole;

use crate::changes::{desk, put_policy, request};
use crate::cluster::{Cluster, control_address, daemon_address};

const BALANCER: u16 = 100;
const AGENT: u16 = 200;
const AGENTS: u16 = 6;
/// The agents in the other region than the control group.
const FAR_AGENTS: [u16; 2] = [AGENT + 4, AGENT + 5];
const LIMIT: Duration = Duration::from_secs(120);
const SAMPLE: Duration = Duration::from_millis(50);

fn start(seed: u64, lease: Duration) -> Cluster {
    let settings = ControlSettings {
        membership: MembershipSettings {
            lease,
            ..MembershipSettings::default()
        },
        ..ControlSettings::default()
    };
    let mut cluster = Cluster::new(seed, settings);
    cluster.add_daemon(BALANCER, "balancer-0", NodeRole::Balancer);
    cluster.add_daemon(BALANCER + 1, "balancer-1", NodeRole::Balancer);
    for number in 0..AGENTS {
        let name = format!("agent-{number}");
        cluster.add_daemon(AGENT + number, &name, NodeRole::Agent);
    }
    cluster
        .ask(request("start", 0, desk(u32::from(AGENTS))))
        .expect("accepted");
    cluster.run_until(LIMIT, "placement", |it| {
        owners(it).len() == usize::from(AGENTS) && is_settled(it)
    });
    cluster.run_for(Duration::from_secs(10) + Duration::from_millis(90 * seed));
    cluster
}

/// The nodes that own buckets by the newest generation.
fn owners(cluster: &Cluster) -> Vec<u64> {
    let placement = cluster.view().placement(ServiceId(1));
    let newest = placement.and_then(|it| it.generations.last());
    let shares = newest.into_iter().flat_map(|it| &it.shares);
    shares.map(|share| share.node).collect()
}

fn is_settled(cluster: &Cluster) -> bool {
    let placement = cluster.view().placement(ServiceId(1));
    placement.is_some_and(|it| it.generations.len() == 1)
}

fn node(port: u16) -> NodeId {
    NodeId::from_name(&format!("agent-{}", port - AGENT))
}

fn may_admit(cluster: &Cluster, port: u16) -> bool {
    let link = &cluster.daemon(port).link;
    link.lease_until().is_some_and(|until| until > cluster.now)
}

fn all_may_admit(cluster: &Cluster) -> bool {
    (AGENT..AGENT + AGENTS).all(|port| may_admit(cluster, port))
}

/// Runs until all agents may admit again after `least` at least, and returns
/// the mean time for which an agent could not.
fn refused_time(cluster: &mut Cluster, least: Duration, change: impl Fn(&mut Cluster)) -> Duration {
    let start = cluster.now;
    let mut changed = false;
    let mut refused = Duration::ZERO;
    loop {
        let elapsed = cluster.now.saturating_since(start);
        if elapsed >= least && !changed {
            change(cluster);
            changed = true;
        }
        if changed && all_may_admit(cluster) {
            return refused / u32::from(AGENTS);
        }
        assert!(elapsed < least + LIMIT, "agents may admit again");
        let ports = AGENT..AGENT + AGENTS;
        let idle = ports.filter(|port| !may_admit(cluster, *port)).count();
        refused += SAMPLE * u32::try_from(idle).expect("a small number");
        cluster.run_for(SAMPLE);
    }
}

/// The control group can't be reached for `outage`.
fn control_outage(seed: u64, lease: Duration, outage: Duration) -> Duration {
    let mut cluster = start(seed, lease);
    (0..3).for_each(|index| {
        cluster.cut.insert(control_address(index));
    });
    let refused = refused_time(&mut cluster, outage, |cluster| cluster.cut.clear());
    let lives: Vec<u64> = cluster.daemons.values().map(|it| it.lives).collect();
    assert!(lives.iter().all(|lives| *lives == 1), "no one is fenced");
    assert_eq!(cluster.violations, Vec::<String>::new());
    refused
}

/// Time until the buckets of an agent that dies have other owners.
fn dead_agent(seed: u64, lease: Duration) -> Duration {
    let mut cluster = start(seed, lease);
    cluster.cut.insert(daemon_address(AGENT));
    let taken = cluster.run_until(LIMIT, "takeover", |it| {
        !owners(it).contains(&node(AGENT).0) && it.all_in_force()
    });
    assert_eq!(cluster.violations, Vec::<String>::new());
    taken
}

#[test]
fn both_harms_of_a_lease_are_bounded_by_its_length() {
    println!("lease, dead agent, refused in a control outage of 4 s, 10 s, 60 s");
    for seconds in [3, 6, 15, 30, 60] {
        let lease = Duration::from_secs(seconds);
        let dead = (0..4).map(|seed| dead_agent(seed, lease)).max();
        let dead = dead.expect("runs");
        let outages = [4, 10, 60].map(Duration::from_secs);
        let refused = outages.map(|outage| {
            let runs = (0..4).map(|seed| control_outage(seed, lease, outage));
            runs.max().expect("runs")
        });
        println!("{lease:?}, {dead:?}, {refused:?}");
        let settings = MembershipSettings {
            lease,
            ..MembershipSettings::default()
        };
        let limit = settings.lease_end() + Duration::from_secs(1);
        assert!(dead < limit, "{dead:?}");
        for (outage, refused) in outages.iter().zip(refused) {
            let covered = lease.saturating_sub(Duration::from_secs(2));
            let most = outage.saturating_sub(covered) + Duration::from_secs(5);
            assert!(refused < most, "{outage:?}: {refused:?}");
            let is_covered = *outage + Duration::from_secs(5) < lease;
            assert!(!is_covered || refused.is_zero(), "{outage:?}");
        }
    }
}

#[test]
fn region_cut_off_for_an_hour_admits_nothing_and_comes_back() {
    const HOUR: Duration = Duration::from_secs(3_600);
    let lease = MembershipSettings::default().lease;
    let mut cluster = start(1, lease);
    cluster.cut.insert(daemon_address(BALANCER + 1));
    for port in FAR_AGENTS {
        cluster.cut.insert(daemon_address(port));
    }
    let is_far = |node: &u64| FAR_AGENTS.iter().any(|port| self::node(*port).0 == *node);
    let taken = cluster.run_until(LIMIT, "takeover", |it| {
        !owners(it).iter().any(is_far) && it.all_in_force()
    });
    println!("the other region has taken over after {taken:?}");
    assert!(FAR_AGENTS.iter().all(|port| !may_admit(&cluster, *port)));
    let before = cluster.daemon(BALANCER + 1).link.view().version();
    for number in 0..4 {
        let name = format!("policy-{number}");
        let based_on = cluster.config_version();
        cluster
            .ask(request(&name, based_on, vec![put_policy(&name)]))
            .expect("accepted without the region");
        cluster.run_for(HOUR / 4);
    }
    assert!(FAR_AGENTS.iter().all(|port| !may_admit(&cluster, *port)));
    let kept = cluster.daemon(BALANCER + 1).link.view().version();
    assert_eq!(kept, before, "open flows go on by the last view");

    cluster.cut.clear();
    let taken = cluster.run_until(LIMIT, "return", |it| {
        all_may_admit(it) && it.all_in_force() && owners(it).len() == usize::from(AGENTS)
    });
    println!("the region admits again {taken:?} after the cut ended");
    assert!(taken < Duration::from_secs(20), "{taken:?}");
    assert_eq!(cluster.violations, Vec::<String>::new());
}
