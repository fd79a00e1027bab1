//! Callers that come after an outage: the old ones get the places that fresh ones leave.

use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const AGENT: u8 = 1;
/// The first copy of an opening packet, and the second one, which says that its caller
/// has waited for 200 ms.
const FRESH: u32 = 0;
const OLD: u32 = 1;
const OBJECTIVE_MILLIS: u32 = 200;

fn world(agents: u8, slots: u32) -> World {
    let mut world = World::new(agents, slots);
    world.latency_objective_millis = OBJECTIVE_MILLIS;
    world.restart_balancer();
    world
}

/// A caller opens a flow at the only agent and sends a request.
fn occupy(world: &mut World, port: u16) {
    world.open(port, FRESH);
    world.request(port, agent_address(AGENT));
    assert_eq!(world.accepted_by(port), Some(agent_address(AGENT)));
}

#[test]
fn an_old_caller_gets_a_free_place_at_once() {
    let mut world = world(1, 2);
    world.open(1, OLD);
    assert!(world.accepted_by(1).is_some());
}

#[test]
fn an_old_caller_waits_until_fresh_ones_leave_a_place() {
    let mut world = world(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    world.open(3, OLD);
    assert_eq!((world.accepted_by(3), world.resets()), (None, 0));
    // A fresh one goes before it, into the queue of the back end.
    occupy(&mut world, 4);
    world.send_backend_data(agent_address(AGENT), 1);
    assert_eq!(world.accepted_by(3), None, "no slot is free");
    // A further copy asks nobody.
    world.open(3, OLD);
    world.send_backend_data(agent_address(AGENT), 2);
    assert!(world.accepted_by(3).is_some());
    assert_eq!(world.resets(), 0);
}

#[test]
fn who_has_waited_in_vain_is_told_and_the_next_one_at_once() {
    let mut world = world(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    world.open(3, OLD);
    world.run(750 * MILLI);
    assert_eq!(world.resets(), 0);
    world.run(100 * MILLI);
    assert_eq!(world.resets(), 1);
    world.open(4, OLD);
    assert_eq!(world.resets(), 2, "no place was left");
    world.run(500 * MILLI);
    world.open(5, OLD);
    assert_eq!(world.resets(), 2);
}

#[test]
fn no_more_wait_than_places_are_likely_to_be_left() {
    let mut world = world(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    for port in 100..150 {
        world.open(port, OLD);
    }
    assert_eq!(world.resets(), 30, "20 wait for two slots");
}

#[test]
fn callers_without_an_objective_are_never_late() {
    let mut world = World::new(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    world.open(3, OLD);
    assert!(world.accepted_by(3).is_some(), "it is queued as ever");
}

#[test]
fn who_waits_is_told_at_once_when_the_back_end_leaves() {
    let mut world = world(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    world.open(3, OLD);
    world.register(AGENT, 2, true, 9);
    world.send_backend_data(agent_address(AGENT), 1);
    world.send_backend_data(agent_address(AGENT), 2);
    assert_eq!(world.resets(), 1);
    assert_eq!(world.accepted_by(3), None);
}

#[test]
fn a_caller_whose_agent_falls_silent_while_it_waits_is_not_forgotten() {
    let mut world = world(1, 2);
    occupy(&mut world, 1);
    occupy(&mut world, 2);
    world.open(3, OLD);
    world.frozen = vec![agent_address(AGENT)];
    world.run(Duration::from_millis(2_000));
    assert_eq!(world.resets(), 1);
}

#[test]
fn openings_that_come_before_the_balancer_is_current_are_placed_then() {
    let mut world = world(1, 2);
    world.start_balancer();
    world.open(1, FRESH);
    world.run(250 * MILLI);
    world.open(2, FRESH);
    world.run(100 * MILLI);
    assert_eq!((world.accepted_by(2), world.resets()), (None, 0));
    world.confirm();
    world.settle();
    assert!(world.accepted_by(2).is_some());
    assert_eq!(
        world.accepted_by(1),
        None,
        "its caller has sent a copy since"
    );
}

#[test]
fn openings_wait_a_moment_for_the_first_agent_that_is_known() {
    let mut world = World::new(0, 2);
    world.open(1, FRESH);
    assert_eq!(world.resets(), 0);
    world.run(100 * MILLI);
    world.start_agent(AGENT);
    world.register(AGENT, 2, false, 1);
    world.run(20 * MILLI);
    assert!(world.accepted_by(1).is_some());
}
