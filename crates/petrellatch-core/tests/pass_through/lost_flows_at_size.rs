//! Flows that a balancer does not know, among many agents and behind a thin link.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const AGENTS: u8 = 160;
const CAPACITY: u32 = 4;
const FLOWS: u16 = 10;
/// A link of 2.1 Mbit/s.
const THIN_LINK: u64 = 262_500;

/// A balancer that has just started, beside agents with open flows; with the
/// agent of each flow by its port.
fn world_with_unknown_flows() -> (World, Vec<SocketAddrV4>) {
    let mut world = World::new(AGENTS, CAPACITY);
    let mut owners = Vec::new();
    for port in 1..=FLOWS {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("an answer");
        world.request(port, agent);
        owners.push(agent);
    }
    world.restart_balancer_with_link(Some(THIN_LINK));
    world.notify_complete_directory();
    world.balancer_bytes = 0;
    (world, owners)
}

fn repeat_requests(world: &mut World, owners: &[SocketAddrV4]) {
    for (port, owner) in (1..).zip(owners) {
        world.request(port, *owner);
    }
}

/// How many of the flows got a second packet to their back ends.
fn found(world: &World, owners: &[SocketAddrV4]) -> usize {
    let is_found = |owner: &&SocketAddrV4| world.data_packets_at(**owner) >= 2;
    owners.iter().filter(is_found).count()
}

#[test]
fn finding_flows_among_many_agents_costs_the_balancer_little() {
    let (mut world, owners) = world_with_unknown_flows();
    repeat_requests(&mut world, &owners);
    world.run(50 * MILLI);
    assert_eq!(found(&world, &owners), owners.len());
    let bytes = world.balancer_bytes;
    assert!(bytes < 10_000, "{bytes} bytes of questions and answers");
}

#[test]
fn another_agent_asks_if_the_first_one_is_gone() {
    let (mut world, owners) = world_with_unknown_flows();
    let others = (1..=AGENTS).map(agent_address);
    let frozen = others.filter(|agent| !owners.contains(agent)).step_by(2);
    world.frozen = frozen.collect();
    for _ in 0..10 {
        repeat_requests(&mut world, &owners);
        world.run(100 * MILLI);
    }
    assert_eq!(found(&world, &owners), owners.len());
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_flow_whose_agent_stands_still_is_not_reset_for_the_silence_of_one_that_asks() {
    let (mut world, owners) = world_with_unknown_flows();
    world.frozen = (1..=AGENTS).map(agent_address).collect();
    repeat_requests(&mut world, &owners);
    world.run(400 * MILLI);
    world.frozen = vec![owners[0]];
    world.notify_complete_directory();
    repeat_requests(&mut world, &owners);
    world.run(800 * MILLI);
    assert_eq!(world.resets(), 0);
    world.frozen.clear();
    repeat_requests(&mut world, &owners);
    world.run(600 * MILLI);
    assert_eq!(found(&world, &owners), owners.len());
}

#[test]
fn flows_that_no_back_end_has_any_more_are_reset_soon() {
    let (mut world, owners) = world_with_unknown_flows();
    for owner in &owners {
        let index = owner.ip().octets()[3];
        world.restart_agent(index, CAPACITY);
        world.register(index, CAPACITY, false, 1);
    }
    for backend in world.backends.values_mut() {
        backend.flows.clear();
        backend.received.clear();
    }
    world.run(10 * MILLI);
    world.notify_complete_directory();
    repeat_requests(&mut world, &owners);
    world.run(Duration::from_secs(1));
    assert_eq!(world.resets(), owners.len());
}

#[test]
fn questions_leave_a_thin_link_to_new_flows() {
    let mut world = World::new(AGENTS, CAPACITY);
    world.restart_balancer_with_link(Some(THIN_LINK));
    world.notify_complete_directory();
    world.balancer_bytes = 0;
    world.frozen = (1..=AGENTS).step_by(4).map(agent_address).collect();
    for _ in 0..10 {
        for port in 1..=200 {
            world.request(port, agent_address(1));
        }
        world.run(200 * MILLI);
    }
    let most = THIN_LINK as usize * 2 / 4;
    let bytes = world.balancer_bytes;
    assert!(
        bytes < most,
        "{bytes} bytes of questions and answers in two seconds"
    );
}
