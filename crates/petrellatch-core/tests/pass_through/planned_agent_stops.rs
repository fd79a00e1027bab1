//! Orphaned flows while agents are replaced one by one: an agent that stops as planned reports
//! whether its back end has flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, World, agent_address, caller};

const SLOTS: u32 = 4;
/// Time within which the caller of an orphaned flow must be reset.
const RESET_TIMEOUT: Duration = Duration::from_millis(200);

/// A world after a power loss of all machines: back ends that have just started, and agents and
/// a balancer that know this.
fn world_after_power_loss(agents: u8) -> World {
    let mut world = World::new(agents, SLOTS);
    for index in 1..=agents {
        world.start_agent(index);
        world.register(index, SLOTS, false, 1);
        world.acknowledge_report(index, false);
    }
    world.restart_balancer();
    world
}

/// The back ends of the running agents register.
fn register_all(world: &mut World, agents: u8, sequence: u64) {
    for index in 1..=agents {
        if !world.paused.contains(&agent_address(index)) {
            world.register(index, SLOTS, false, sequence);
        }
    }
}

/// Stops an agent as planned, and waits until it has stopped.
fn stop(world: &mut World, agent: SocketAddrV4) {
    let now = world.now;
    world.agents.get_mut(&agent).expect("known").begin_stop(now);
    world.settle();
    for _ in 0..3_000 {
        if world.agents[&agent].is_stopped() {
            world.paused.push(agent);
            return;
        }
        world.step(MILLI);
    }
    panic!("{agent} does not stop");
}

#[test]
fn callers_of_orphaned_flows_are_reset_while_agents_stop_one_by_one() {
    for agents in [46, 163, 250] {
        let mut world = world_after_power_loss(agents);
        let mut expected_resets = 0;
        for port in 1..=8 {
            register_all(&mut world, agents, u64::from(port) + 1);
            stop(&mut world, agent_address(port as u8 * 3));
            for offset in 0..4 {
                let port = port * 4 + offset;
                let agent = agent_address(port as u8);
                world.notify_complete_directory();
                world.request(port, agent);
                world.run(RESET_TIMEOUT);
                expected_resets += 1;
                let subject = format!("of flow {port}, {agents} agents");
                assert_eq!(world.resets(), expected_resets, "{subject}");
            }
        }
    }
}

#[test]
fn an_open_flow_of_a_stopped_agent_is_not_reset() {
    for agents in [46, 163] {
        let mut world = world_after_power_loss(agents);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("a SYN-ACK");
        world.request(1, agent);
        stop(&mut world, agent);
        assert!(world.backends[&agent].flows.contains(&caller(1)));
        world.restart_balancer();
        world.repeat_reports();
        for _ in 0..12 {
            world.notify_complete_directory();
            world.request(1, agent);
            world.run(200 * MILLI);
        }
        assert_eq!(world.resets(), 0, "{agents} agents");
    }
}

#[test]
fn an_agent_that_has_not_seen_its_back_end_start_reports_no_orphaned_flow() {
    for agents in [46, 163] {
        let mut world = world_after_power_loss(agents);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("a SYN-ACK");
        world.request(1, agent);
        world.restart_agent(agent.ip().octets()[3], SLOTS);
        stop(&mut world, agent);
        world.restart_balancer();
        world.repeat_reports();
        for _ in 0..12 {
            world.notify_complete_directory();
            world.request(1, agent);
            world.run(200 * MILLI);
        }
        assert_eq!(world.resets(), 0, "{agents} agents");
    }
}

#[test]
fn an_agent_stops_only_once_it_knows_whether_its_back_end_runs() {
    for agents in [46, 163] {
        let mut world = world_after_power_loss(agents);
        let agent = agent_address(1);
        world.start_agent(1);
        world.run(700 * MILLI);
        stop(&mut world, agent);
        register_all(&mut world, agents, 2);
        world.notify_complete_directory();
        world.request(1, agent);
        world.run(RESET_TIMEOUT);
        assert_eq!(world.resets(), 1, "{agents} agents");
    }
}
