//! Back ends that fail their requests, and are ejected.

use super::world::{FIRST_OWN_PORT, MILLI, World, agent_address};

/// Index of the agent whose back end fails its requests.
const FAILING: u8 = 1;

/// A caller opens a flow and sends a request. Returns the agent that admitted it.
fn send_request(world: &mut World, port: u16) -> u8 {
    world.open(port, 0);
    let agent = world.accepted_by(port).expect("an agent accepts it");
    world.request(port, agent);
    if !world.resetting.contains(&agent) {
        world.send_backend_data(agent, port);
    }
    world.run(3 * MILLI);
    agent.ip().octets()[3]
}

/// Number of flows that an agent admitted, of those of `callers` callers.
fn admitted_flows(world: &mut World, first: u16, callers: u16, agent: u8) -> usize {
    let agents = (first..first + callers).map(|port| send_request(world, port));
    agents.filter(|it| *it == agent).count()
}

fn world(agents: u8, failing: &[u8]) -> World {
    let mut world = World::new(agents, 4);
    world.backends_ack_at_once = true;
    world.resetting = failing.iter().map(|agent| agent_address(*agent)).collect();
    world
}

#[test]
fn a_back_end_that_fails_two_callers_in_a_row_is_ejected() {
    let mut world = world(4, &[FAILING]);
    // 60 callers in 0.18 s.
    assert_eq!(admitted_flows(&mut world, FIRST_OWN_PORT, 60, FAILING), 2);
}

#[test]
fn failures_of_a_single_caller_do_not_eject_a_back_end() {
    let mut world = world(4, &[FAILING]);
    let admitted = admitted_flows(&mut world, 1_000, 60, FAILING);
    assert!(admitted > 5, "{admitted} of 60");
}

#[test]
fn an_ejected_back_end_gets_one_trial_flow_after_the_ejection() {
    let mut world = world(4, &[FAILING]);
    admitted_flows(&mut world, FIRST_OWN_PORT, 60, FAILING);
    world.run(250 * MILLI);
    assert_eq!(
        admitted_flows(&mut world, FIRST_OWN_PORT + 100, 60, FAILING),
        1
    );
    // The trial flow failed: the next ejection is twice as long.
    world.run(180 * MILLI);
    assert_eq!(
        admitted_flows(&mut world, FIRST_OWN_PORT + 200, 30, FAILING),
        0
    );
    world.run(150 * MILLI);
    world.resetting.clear();
    let admitted = admitted_flows(&mut world, FIRST_OWN_PORT + 300, 60, FAILING);
    assert!(
        admitted > 5,
        "a recovered back end got {admitted} of 60 flows"
    );
}

#[test]
fn no_back_end_is_ejected_if_many_fail() {
    let mut world = world(4, &[1, 2]);
    admitted_flows(&mut world, FIRST_OWN_PORT, 20, FAILING);
    let admitted = admitted_flows(&mut world, FIRST_OWN_PORT + 100, 40, FAILING);
    assert!(admitted > 3, "{admitted} of 40");
}

#[test]
fn a_back_end_that_returns_requests_of_accepted_flows_is_ejected() {
    let mut world = world(4, &[]);
    let failing = agent_address(FAILING);
    let mut admitted = 0;
    for port in FIRST_OWN_PORT..FIRST_OWN_PORT + 60 {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("an agent accepts it");
        if agent == failing {
            admitted += 1;
            world
                .backends
                .get_mut(&failing)
                .expect("known")
                .flows
                .clear();
        }
        world.request(port, agent);
        if agent != failing {
            world.send_backend_data(agent, port);
        }
        world.run(3 * MILLI);
    }
    assert_eq!(admitted, 2);
}
