//! Open flows whose routes have moved to other services, at a balancer that has lost its flow
//! cache. They must stay at the back ends that own them.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, OTHER_SERVICE, SERVICE, World};

const SLOTS: u32 = 4;
/// Numbers of agents. A search queries up to 64 agents at once, and more in two steps.
const SIZES: [u8; 3] = [5, 65, 200];

/// Every fifth agent belongs to the other service.
fn service_of(index: u8) -> &'static str {
    match index % 5 {
        0 => OTHER_SERVICE,
        _ => SERVICE,
    }
}

/// A world with one open flow, and its agent.
fn world_with_flow(agents: u8) -> (World, SocketAddrV4) {
    let mut world = World::with_services(agents, SLOTS, service_of);
    world.open(1, 0);
    let agent = world.accepted_by(1).expect("an accepted flow");
    world.request(1, agent);
    (world, agent)
}

/// Restarts the balancer, which loses its flow cache, and repeats the caller's request for a
/// second.
fn restart_balancer_and_repeat(world: &mut World, agent: SocketAddrV4) {
    world.restart_balancer();
    for _ in 0..5 {
        world.notify_complete_directory();
        world.request(1, agent);
        world.run(200 * MILLI);
    }
}

fn assert_is_served(world: &World, agent: SocketAddrV4, subject: &str) {
    assert_eq!(world.resets(), 0, "an open flow was reset: {subject}");
    assert!(
        world.data_packets_at(agent) > 1,
        "it is not served: {subject}"
    );
}

#[test]
fn a_flow_stays_open_when_its_route_moves_and_moves_back() {
    for agents in SIZES {
        let (mut world, agent) = world_with_flow(agents);
        world.change_route(&[(OTHER_SERVICE, 1)]);
        restart_balancer_and_repeat(&mut world, agent);
        assert_is_served(&world, agent, &format!("moved, {agents} agents"));
        world.open(2, 0);
        let other = world.accepted_by(2).expect("an accepted flow");
        world.request(2, other);
        world.change_route(&[(SERVICE, 1)]);
        restart_balancer_and_repeat(&mut world, agent);
        assert_is_served(&world, agent, &format!("moved back, {agents} agents"));
        world.request(2, other);
        world.run(200 * MILLI);
        assert!(
            world.data_packets_at(other) > 1,
            "the flow that was opened between the moves"
        );
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn a_flow_stays_open_when_its_route_loses_its_service() {
    for agents in SIZES {
        let mut world = World::with_services(agents, SLOTS, service_of);
        world.change_route(&[(SERVICE, 1), (OTHER_SERVICE, 1)]);
        let mut flows = Vec::new();
        for port in 1..=4 {
            world.open(port, 0);
            flows.push((port, world.accepted_by(port).expect("an accepted flow")));
        }
        for (lost, kept) in [(SERVICE, OTHER_SERVICE), (OTHER_SERVICE, SERVICE)] {
            world.change_route(&[(kept, 1)]);
            world.restart_balancer();
            world.notify_complete_directory();
            for (port, agent) in &flows {
                let before = world.data_packets_at(*agent);
                world.request(*port, *agent);
                world.run(200 * MILLI);
                let subject = format!("without {lost}, {agents} agents");
                assert_eq!(world.data_packets_at(*agent), before + 1, "{subject}");
            }
        }
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn a_flow_stays_open_when_its_route_is_removed_and_added_for_another_service() {
    for agents in SIZES {
        let (mut world, agent) = world_with_flow(agents);
        world.change_route(&[]);
        world.restart_balancer();
        world.notify_complete_directory();
        world.request(1, agent);
        world.run(500 * MILLI);
        assert_eq!(world.resets(), 0, "removed, {agents} agents");
        world.change_route(&[(OTHER_SERVICE, 1)]);
        restart_balancer_and_repeat(&mut world, agent);
        assert_is_served(&world, agent, &format!("added again, {agents} agents"));
    }
}

#[test]
fn a_flow_of_a_moved_route_is_found_after_a_restart_of_its_agent() {
    for agents in SIZES {
        let (mut world, agent) = world_with_flow(agents);
        world.change_route(&[(OTHER_SERVICE, 1)]);
        world.backends_ack_at_once = true;
        world.restart_agent(agent.ip().octets()[3], SLOTS);
        restart_balancer_and_repeat(&mut world, agent);
        assert_is_served(&world, agent, &format!("{agents} agents"));
    }
}

#[test]
fn a_flow_of_a_moved_route_waits_for_its_silent_agent() {
    for agents in SIZES {
        let (mut world, agent) = world_with_flow(agents);
        world.change_route(&[(OTHER_SERVICE, 1)]);
        world.restart_balancer();
        world.paused = vec![agent];
        for _ in 0..10 {
            world.notify_complete_directory();
            world.request(1, agent);
            world.run(200 * MILLI);
        }
        assert_eq!(
            world.resets(),
            0,
            "its back end may own it, {agents} agents"
        );
    }
}

#[test]
fn an_orphaned_flow_of_a_moved_route_is_reset_once_all_agents_have_replied() {
    for agents in SIZES {
        let (mut world, agent) = world_with_flow(agents);
        world.change_route(&[(OTHER_SERVICE, 1)]);
        let index = agent.ip().octets()[3];
        world.restart_agent(index, SLOTS);
        world.backends.get_mut(&agent).expect("known").flows.clear();
        world.restart_balancer();
        world.notify_complete_directory();
        world.request(1, agent);
        world.run(Duration::from_millis(200));
        assert_eq!(world.resets(), 1, "{agents} agents");
    }
}
