//! Flows that a balancer doesn't know, among many agents and behind a slow link.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const AGENTS: u8 = 160;
const SLOTS: u32 = 4;
const FLOWS: u16 = 10;
/// A link of 2.1 Mbit/s, in bytes per second.
const SLOW_LINK: u64 = 262_500;

/// A balancer that has just started and agents with open flows, and the agent of each flow
/// in the order of their ports.
fn world_with_unknown_flows() -> (World, Vec<SocketAddrV4>) {
    let mut world = World::new(AGENTS, SLOTS);
    let mut owners = Vec::new();
    for port in 1..=FLOWS {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("a SYN-ACK");
        world.request(port, agent);
        owners.push(agent);
    }
    world.restart_balancer_with_link(Some(SLOW_LINK));
    world.notify_complete_directory();
    world.balancer_bytes = 0;
    (world, owners)
}

fn repeat_requests(world: &mut World, owners: &[SocketAddrV4]) {
    for (port, owner) in (1..).zip(owners) {
        world.request(port, *owner);
    }
}

/// Number of flows whose second packet reached their back ends.
fn found_flows(world: &World, owners: &[SocketAddrV4]) -> usize {
    let is_found = |owner: &&SocketAddrV4| world.data_packets_at(**owner) >= 2;
    owners.iter().filter(is_found).count()
}

#[test]
fn a_search_among_many_agents_needs_little_balancer_traffic() {
    let (mut world, owners) = world_with_unknown_flows();
    repeat_requests(&mut world, &owners);
    world.run(50 * MILLI);
    assert_eq!(found_flows(&world, &owners), owners.len());
    let bytes = world.balancer_bytes;
    assert!(bytes < 10_000, "{bytes} bytes of queries and replies");
}

#[test]
fn another_agent_relays_the_query_if_the_first_is_silent() {
    let (mut world, owners) = world_with_unknown_flows();
    let agents = (1..=AGENTS).map(agent_address);
    let paused = agents.filter(|agent| !owners.contains(agent)).step_by(2);
    world.paused = paused.collect();
    for _ in 0..10 {
        repeat_requests(&mut world, &owners);
        world.run(100 * MILLI);
    }
    assert_eq!(found_flows(&world, &owners), owners.len());
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_flow_of_a_paused_agent_is_not_reset_when_a_relay_is_silent() {
    let (mut world, owners) = world_with_unknown_flows();
    world.paused = (1..=AGENTS).map(agent_address).collect();
    repeat_requests(&mut world, &owners);
    world.run(400 * MILLI);
    world.paused = vec![owners[0]];
    world.notify_complete_directory();
    repeat_requests(&mut world, &owners);
    world.run(800 * MILLI);
    assert_eq!(world.resets(), 0);
    world.paused.clear();
    repeat_requests(&mut world, &owners);
    world.run(600 * MILLI);
    assert_eq!(found_flows(&world, &owners), owners.len());
}

#[test]
fn flows_without_an_owner_are_reset_soon() {
    let (mut world, owners) = world_with_unknown_flows();
    for owner in &owners {
        let index = owner.ip().octets()[3];
        world.restart_agent(index, SLOTS);
        world.register(index, SLOTS, false, 1);
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
fn queries_leave_a_slow_link_for_new_flows() {
    let mut world = World::new(AGENTS, SLOTS);
    world.restart_balancer_with_link(Some(SLOW_LINK));
    world.notify_complete_directory();
    world.balancer_bytes = 0;
    world.paused = (1..=AGENTS).step_by(4).map(agent_address).collect();
    for _ in 0..10 {
        for port in 1..=200 {
            world.request(port, agent_address(1));
        }
        world.run(200 * MILLI);
    }
    let max_bytes = SLOW_LINK as usize * 2 / 4;
    let bytes = world.balancer_bytes;
    assert!(
        bytes < max_bytes,
        "{bytes} bytes of queries and replies in two seconds"
    );
}
