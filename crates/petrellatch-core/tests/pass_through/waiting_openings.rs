//! New flows that come while every agent is full.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const AGENTS: u8 = 3;
const CAPACITY: u32 = 1;
/// Requests that an agent takes at most: three for each slot.
const PLACES: u16 = 3;
const OBJECTIVE_MILLIS: u32 = 400;

/// A balancer beside agents that have no place left.
fn full_world() -> World {
    let mut world = World::new(AGENTS, CAPACITY);
    world.restart_balancer_with_objective(OBJECTIVE_MILLIS);
    for index in 1..=AGENTS {
        world.fill_from_elsewhere(index, PLACES);
        request_from_elsewhere(&mut world, index);
    }
    world
}

/// The callers of the flows that fill an agent send their requests, so that
/// their places stay taken.
fn request_from_elsewhere(world: &mut World, index: u8) {
    for port in 1..=PLACES {
        world.request_at(index, 30_000 + port);
    }
}

/// The back end answers one of the requests that fill it.
fn free_place(world: &mut World, agent: SocketAddrV4) {
    world.speak(agent, 30_001);
}

#[test]
fn a_flow_that_everybody_declines_gets_the_place_that_becomes_free() {
    let mut world = full_world();
    world.open(1, 0);
    world.run(100 * MILLI);
    assert_eq!(world.answered_by(1), None);
    assert_eq!(world.resets(), 0, "it waits");
    free_place(&mut world, agent_address(2));
    world.run(100 * MILLI);
    assert_eq!(world.answered_by(1), Some(agent_address(2)));
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_flow_without_a_place_is_refused_after_half_a_second() {
    let mut world = full_world();
    let started_at = world.now;
    world.open(1, 0);
    while world.resets() == 0 {
        world.step(MILLI);
        let waited = world.now.saturating_since(started_at);
        assert!(waited <= Duration::from_millis(500));
    }
    let refusal = world.refusals.last().expect("a line");
    assert!(refusal.contains(" waited="), "{refusal}");
    world.run(Duration::from_secs(2));
    assert_eq!(world.resets(), 1);
}

#[test]
fn a_copy_of_an_opening_packet_that_waits_asks_nobody() {
    let mut world = full_world();
    world.open(1, 0);
    let before = world.balancer_bytes;
    world.open(1, 1);
    assert_eq!(world.balancer_bytes, before);
}

#[test]
fn a_flow_without_known_objective_does_not_wait() {
    let mut world = World::new(AGENTS, CAPACITY);
    for index in 1..=AGENTS {
        world.fill_from_elsewhere(index, PLACES);
        request_from_elsewhere(&mut world, index);
    }
    world.open(1, 0);
    assert_eq!(world.resets(), 1);
}

#[test]
fn a_flow_that_is_late_leaves_the_queues_to_others() {
    let mut world = World::new(AGENTS, CAPACITY);
    world.restart_balancer_with_objective(OBJECTIVE_MILLIS);
    for index in 1..=AGENTS {
        world.fill_from_elsewhere(index, CAPACITY as u16);
        world.request_at(index, 30_001);
    }
    world.open(1, 2);
    world.open(2, 0);
    world.run(100 * MILLI);
    assert_eq!(world.answered_by(1), None, "its objective has passed");
    assert!(world.answered_by(2).is_some(), "this one is queued");
    free_place(&mut world, agent_address(1));
    free_place(&mut world, agent_address(2));
    free_place(&mut world, agent_address(3));
    world.run(100 * MILLI);
    assert!(world.answered_by(1).is_some(), "it gets a free slot");
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_late_flow_is_offered_to_agents_that_have_just_started() {
    let mut world = World::new(AGENTS, CAPACITY);
    world.restart_balancer_with_objective(OBJECTIVE_MILLIS);
    for index in 1..=AGENTS {
        world.start_agent(index);
    }
    world.run(50 * MILLI);
    world.open(1, 2);
    assert!(world.answered_by(1).is_some());
}
