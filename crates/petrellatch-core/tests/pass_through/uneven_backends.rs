//! Placement of new flows on back ends of different speeds.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::pass_through::Registration;

use super::world::{FIRST_OWN_PORT, MILLI, SERVICE, World, agent_address};

const SLOTS: u32 = 3;
const FAST: u8 = 1;
const SLOW: u8 = 2;

/// A world with a back end that responds after 20 ms and another one that responds after
/// 60 ms, whose processing times are known to the balancer.
fn world_with_known_speeds() -> World {
    let mut world = World::new(2, SLOTS);
    for round in 0..12 {
        serve(&mut world, FIRST_OWN_PORT + 2 * round, 2);
    }
    world.run(Duration::from_secs(1));
    world
}

/// Serves simultaneous callers, each with one request on a flow of its own.
fn serve(world: &mut World, first_port: u16, callers: u16) {
    let mut flows = Vec::new();
    for port in first_port..first_port + callers {
        world.open(port, 0);
        if let Some(agent) = world.accepted_by(port) {
            world.request(port, agent);
            flows.push((port, agent));
        }
    }
    for (index, millis) in [(FAST, 20), (SLOW, 40)] {
        world.run(millis * MILLI);
        respond(world, &flows, agent_address(index));
    }
    world.run(20 * MILLI);
}

fn respond(world: &mut World, flows: &[(u16, SocketAddrV4)], agent: SocketAddrV4) {
    for (port, _) in flows.iter().filter(|(_, it)| *it == agent) {
        world.send_backend_data(agent, *port);
        world.close_flow(*port, agent);
    }
}

fn placed_at(world: &World, ports: std::ops::Range<u16>, index: u8) -> usize {
    let placed = ports.filter(|port| world.accepted_by(*port) == Some(agent_address(index)));
    placed.count()
}

#[test]
fn simultaneous_callers_go_to_the_back_end_that_responds_first() {
    let mut world = world_with_known_speeds();
    for port in 50_001..50_004 {
        world.open(port, 0);
    }
    // At the fast back end even the third caller gets its response after 20 ms, at the slow one
    // after 60 ms.
    assert_eq!(placed_at(&world, 50_001..50_004, FAST), 3);
}

#[test]
fn a_slow_back_end_gets_flows_when_the_fast_one_has_no_free_slot() {
    let mut world = world_with_known_speeds();
    for port in 50_001..50_007 {
        world.open(port, 0);
    }
    assert_eq!(placed_at(&world, 50_001..50_007, FAST), 3);
    assert_eq!(placed_at(&world, 50_001..50_007, SLOW), 3);
}

#[test]
fn a_back_end_without_a_reported_processing_time_counts_with_the_mean() {
    let mut world = world_with_known_speeds();
    world.start_agent(3);
    world.register(3, SLOTS, false, 1);
    world.run(20 * MILLI);
    for port in 50_001..50_007 {
        world.open(port, 0);
    }
    // The mean of its service lies between 20 and 60 ms.
    assert_eq!(placed_at(&world, 50_001..50_007, FAST), 3);
    assert_eq!(placed_at(&world, 50_001..50_007, 3), 3);
}

#[test]
fn a_cold_back_end_counts_with_its_own_processing_time() {
    let mut world = World::new(2, SLOTS);
    let registration = Registration {
        id: "backend-2".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: 2,
        slots: SLOTS,
        draining: false,
        cold_for: Duration::from_secs(60),
        ..Registration::default()
    };
    // It warms up, but responds earlier than the warm one.
    world.send_registration(
        FAST,
        &Registration {
            id: "backend-1".to_owned(),
            ..registration
        },
    );
    for round in 0..12 {
        serve(&mut world, FIRST_OWN_PORT + 6 * round, 6);
    }
    world.run(Duration::from_secs(1));
    world.open(50_001, 0);
    assert_eq!(placed_at(&world, 50_001..50_002, FAST), 1);
}
