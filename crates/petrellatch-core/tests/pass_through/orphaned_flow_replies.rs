//! What balancers do about flows that an agent says are gone.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::pass_through::{PacketView, Registration};

use super::codec::{empty, encode};
use super::world::{MILLI, ROUTE, SERVICE, World, agent_address, caller, first_sequence};

const AGENTS: u8 = 5;
const PORT: u16 = 1;

/// A balancer that has forgotten a flow at rest, whose back end has started again; its agent
/// has told the caller, which did not hear it. All other agents are frozen.
fn world_with_dead_flow() -> (World, SocketAddrV4) {
    let mut world = World::new(AGENTS, 4);
    world.open(PORT, 0);
    let agent = world.accepted_by(PORT).expect("an answer");
    world.request(PORT, agent);
    world.send_backend_data(agent, PORT);
    let bare = PacketView {
        ack: true,
        ack_number: first_sequence(agent).wrapping_add(101),
        ..empty(caller(PORT), ROUTE)
    };
    world.balancer.handle_packet(world.now, &encode(&bare));
    world.settle();
    world.restart_balancer();
    let others = (1..=AGENTS).map(agent_address).filter(|it| *it != agent);
    world.frozen = others.collect();
    world.backends.get_mut(&agent).expect("known").flows.clear();
    let call = Registration {
        id: "another".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: 1,
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(agent.ip().octets()[3], &call);
    world.run(20 * MILLI);
    assert_eq!(world.resets(), 1, "the agent has told it");
    world.callers.clear();
    (world, agent)
}

#[test]
fn a_search_ends_at_once_whatever_other_agents_say() {
    let (mut world, agent) = world_with_dead_flow();
    world.request(PORT, agent);
    world.run(10 * MILLI);
    assert_eq!(world.resets(), 1);
    let reset = world.callers.iter().find(|view| view.rst);
    let acknowledged = first_sequence(agent).wrapping_add(1);
    assert_eq!(reset.map(|view| view.sequence_number), Some(acknowledged));
    assert_eq!(
        world.data_packets_at(agent),
        1,
        "the new life gets nothing of it"
    );
}

#[test]
fn a_caller_that_has_ended_its_flow_is_not_reset() {
    let (mut world, agent) = world_with_dead_flow();
    world.close_flow(PORT, agent);
    world.run(10 * MILLI);
    assert_eq!(world.resets(), 0);
}
