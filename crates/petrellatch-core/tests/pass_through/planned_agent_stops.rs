//! Flows that died with their back ends, while one agent after the other is replaced:
//! an agent that stops as planned says whether its back end has flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, World, agent_address, caller};

const CAPACITY: u32 = 4;
/// By then a caller is to know that its flow is dead.
const TOLD_WITHIN: Duration = Duration::from_millis(200);

/// A world after a loss of power of everything: back ends that have just begun, and
/// agents and a balancer that know it.
fn world_after_loss_of_power(agents: u8) -> World {
    let mut world = World::new(agents, CAPACITY);
    for index in 1..=agents {
        world.start_agent(index);
        world.register(index, CAPACITY, false, 1);
        world.acknowledge_report(index, false);
    }
    world.restart_balancer();
    world
}

/// The back ends beside the agents that run call.
fn call_all(world: &mut World, agents: u8, call_number: u64) {
    for index in 1..=agents {
        if !world.frozen.contains(&agent_address(index)) {
            world.register(index, CAPACITY, false, call_number);
        }
    }
}

/// Asks an agent to stop and lets time pass until it has.
fn stop(world: &mut World, agent: SocketAddrV4) {
    let now = world.now;
    world.agents.get_mut(&agent).expect("known").begin_stop(now);
    world.settle();
    for _ in 0..3_000 {
        if world.agents[&agent].is_stopped() {
            world.frozen.push(agent);
            return;
        }
        world.step(MILLI);
    }
    panic!("{agent} does not stop");
}

#[test]
fn dead_flows_are_told_while_one_agent_after_the_other_stops() {
    for agents in [46, 163, 250] {
        let mut world = world_after_loss_of_power(agents);
        let mut told = 0;
        for port in 1..=8 {
            call_all(&mut world, agents, u64::from(port) + 1);
            stop(&mut world, agent_address(port as u8 * 3));
            for copy in 0..4 {
                let port = port * 4 + copy;
                let agent = agent_address(port as u8);
                world.notify_complete_directory();
                world.request(port, agent);
                world.run(TOLD_WITHIN);
                told += 1;
                let subject = format!("of flow {port}, {agents} agents");
                assert_eq!(world.resets(), told, "{subject}");
            }
        }
    }
}

#[test]
fn a_flow_that_stays_behind_a_stopped_agent_is_not_reset() {
    for agents in [46, 163] {
        let mut world = world_after_loss_of_power(agents);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("an answer");
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
fn an_agent_that_has_not_seen_its_back_end_begin_does_not_speak_for_it() {
    for agents in [46, 163] {
        let mut world = world_after_loss_of_power(agents);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("an answer");
        world.request(1, agent);
        world.restart_agent(agent.ip().octets()[3], CAPACITY);
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
fn an_agent_that_is_to_stop_before_it_has_heard_of_its_back_end_finds_out_first() {
    for agents in [46, 163] {
        let mut world = world_after_loss_of_power(agents);
        let agent = agent_address(1);
        world.start_agent(1);
        world.run(700 * MILLI);
        stop(&mut world, agent);
        call_all(&mut world, agents, 2);
        world.notify_complete_directory();
        world.request(1, agent);
        world.run(TOLD_WITHIN);
        assert_eq!(world.resets(), 1, "{agents} agents");
    }
}
