//! Late callers, which have already waited for as long as their latency objective, for example
//! because of an outage. They get the slots that newer callers leave free.

use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const AGENT: u8 = 1;
/// Retransmission numbers of a first SYN, and of the first retransmission, whose caller has
/// waited for 200 ms.
const FIRST_SYN: u32 = 0;
const RETRANSMITTED_SYN: u32 = 1;
const LATENCY_OBJECTIVE_MILLIS: u32 = 200;

fn world(agents: u8, slots: u32) -> World {
    let mut world = World::new(agents, slots);
    world.latency_objective_millis = LATENCY_OBJECTIVE_MILLIS;
    world.restart_balancer();
    world
}

/// Occupies a slot of the only agent with a request on a new flow.
fn occupy_slot(world: &mut World, port: u16) {
    world.open(port, FIRST_SYN);
    world.request(port, agent_address(AGENT));
    assert_eq!(world.accepted_by(port), Some(agent_address(AGENT)));
}

#[test]
fn a_late_caller_gets_a_free_slot_at_once() {
    let mut world = world(1, 2);
    world.open(1, RETRANSMITTED_SYN);
    assert!(world.accepted_by(1).is_some());
}

#[test]
fn a_late_caller_waits_until_newer_ones_leave_a_slot() {
    let mut world = world(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    world.open(3, RETRANSMITTED_SYN);
    assert_eq!((world.accepted_by(3), world.resets()), (None, 0));
    // A newer caller takes precedence and goes into the back end's queue.
    occupy_slot(&mut world, 4);
    world.send_backend_data(agent_address(AGENT), 1);
    assert_eq!(world.accepted_by(3), None, "no slot is free");
    // A SYN retransmission causes no further offer.
    world.open(3, RETRANSMITTED_SYN);
    world.send_backend_data(agent_address(AGENT), 2);
    assert!(world.accepted_by(3).is_some());
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_late_caller_is_refused_after_its_wait_and_the_next_one_at_once() {
    let mut world = world(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    world.open(3, RETRANSMITTED_SYN);
    world.run(750 * MILLI);
    assert_eq!(world.resets(), 0);
    world.run(100 * MILLI);
    assert_eq!(world.resets(), 1);
    world.open(4, RETRANSMITTED_SYN);
    assert_eq!(world.resets(), 2, "no slot is expected to be free");
    world.run(500 * MILLI);
    world.open(5, RETRANSMITTED_SYN);
    assert_eq!(world.resets(), 2);
}

#[test]
fn late_callers_are_queued_only_for_slots_that_are_expected_to_be_free() {
    let mut world = world(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    for port in 100..150 {
        world.open(port, RETRANSMITTED_SYN);
    }
    assert_eq!(world.resets(), 30, "20 are queued for two slots");
}

#[test]
fn callers_without_a_latency_objective_are_never_late() {
    let mut world = World::new(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    world.open(3, RETRANSMITTED_SYN);
    assert!(world.accepted_by(3).is_some(), "it is queued like any flow");
}

#[test]
fn queued_callers_are_refused_at_once_when_the_back_end_drains() {
    let mut world = world(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    world.open(3, RETRANSMITTED_SYN);
    world.register(AGENT, 2, true, 9);
    world.send_backend_data(agent_address(AGENT), 1);
    world.send_backend_data(agent_address(AGENT), 2);
    assert_eq!(world.resets(), 1);
    assert_eq!(world.accepted_by(3), None);
}

#[test]
fn a_queued_caller_is_refused_when_its_agent_becomes_silent() {
    let mut world = world(1, 2);
    occupy_slot(&mut world, 1);
    occupy_slot(&mut world, 2);
    world.open(3, RETRANSMITTED_SYN);
    world.paused = vec![agent_address(AGENT)];
    world.run(Duration::from_millis(2_000));
    assert_eq!(world.resets(), 1);
}

#[test]
fn syns_are_buffered_until_the_balancer_is_up_to_date() {
    let mut world = world(1, 2);
    world.start_balancer();
    world.open(1, FIRST_SYN);
    world.run(250 * MILLI);
    world.open(2, FIRST_SYN);
    world.run(100 * MILLI);
    assert_eq!((world.accepted_by(2), world.resets()), (None, 0));
    world.confirm();
    world.settle();
    assert!(world.accepted_by(2).is_some());
    assert_eq!(
        world.accepted_by(1),
        None,
        "its caller has retransmitted it since"
    );
}

#[test]
fn syns_are_buffered_until_the_first_agent_is_known() {
    let mut world = World::new(0, 2);
    world.open(1, FIRST_SYN);
    assert_eq!(world.resets(), 0);
    world.run(100 * MILLI);
    world.start_agent(AGENT);
    world.register(AGENT, 2, false, 1);
    world.run(20 * MILLI);
    assert!(world.accepted_by(1).is_some());
}
