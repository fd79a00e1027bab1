//! Back ends that fail the requests they get.

use super::world::{FIRST_OWN_PORT, MILLI, World, agent_address};

const SICK: u8 = 1;

/// A caller opens a flow and sends a request; returns the agent that took it.
fn ask(world: &mut World, port: u16) -> u8 {
    world.open(port, 0);
    let agent = world.accepted_by(port).expect("somebody takes it");
    world.request(port, agent);
    if !world.resetting.contains(&agent) {
        world.send_backend_data(agent, port);
    }
    world.run(3 * MILLI);
    agent.ip().octets()[3]
}

/// How many of some callers' flows reached an agent.
fn count(world: &mut World, first: u16, callers: u16, agent: u8) -> usize {
    let agents = (first..first + callers).map(|port| ask(world, port));
    agents.filter(|it| *it == agent).count()
}

fn world(agents: u8, sick: &[u8]) -> World {
    let mut world = World::new(agents, 4);
    world.backends_ack_at_once = true;
    world.resetting = sick.iter().map(|agent| agent_address(*agent)).collect();
    world
}

#[test]
fn a_back_end_that_fails_two_callers_in_a_row_gets_no_more() {
    let mut world = world(4, &[SICK]);
    // 60 callers in 0.18 s.
    assert_eq!(count(&mut world, FIRST_OWN_PORT, 60, SICK), 2);
}

#[test]
fn one_caller_alone_cannot_empty_a_back_end() {
    let mut world = world(4, &[SICK]);
    let taken = count(&mut world, 1_000, 60, SICK);
    assert!(taken > 5, "{taken} of 60");
}

#[test]
fn a_back_end_that_is_left_out_is_tried_by_one_flow_after_a_pause() {
    let mut world = world(4, &[SICK]);
    count(&mut world, FIRST_OWN_PORT, 60, SICK);
    world.run(250 * MILLI);
    assert_eq!(count(&mut world, FIRST_OWN_PORT + 100, 60, SICK), 1);
    // It failed again: the next pause is twice as long.
    world.run(180 * MILLI);
    assert_eq!(count(&mut world, FIRST_OWN_PORT + 200, 30, SICK), 0);
    world.run(150 * MILLI);
    world.resetting.clear();
    let taken = count(&mut world, FIRST_OWN_PORT + 300, 60, SICK);
    assert!(taken > 5, "it answers again and got {taken} of 60");
}

#[test]
fn if_many_back_ends_fail_none_is_left_out() {
    let mut world = world(4, &[1, 2]);
    count(&mut world, FIRST_OWN_PORT, 20, SICK);
    let taken = count(&mut world, FIRST_OWN_PORT + 100, 40, SICK);
    assert!(taken > 3, "{taken} of 40");
}

#[test]
fn a_back_end_that_returns_requests_of_flows_that_it_took_is_left_out() {
    let mut world = world(4, &[]);
    let sick = agent_address(SICK);
    let mut taken = 0;
    for port in FIRST_OWN_PORT..FIRST_OWN_PORT + 60 {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("somebody takes it");
        if agent == sick {
            taken += 1;
            world.backends.get_mut(&sick).expect("known").flows.clear();
        }
        world.request(port, agent);
        if agent != sick {
            world.send_backend_data(agent, port);
        }
        world.run(3 * MILLI);
    }
    assert_eq!(taken, 2);
}
