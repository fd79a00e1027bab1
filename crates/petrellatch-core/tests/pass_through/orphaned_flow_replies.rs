//! What a balancer does when an agent reports a flow as orphaned.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::pass_through::{PacketView, Registration};

use super::codec::{empty, encode};
use super::world::{MILLI, ROUTE, SERVICE, World, agent_address, caller, initial_sequence};

const AGENTS: u8 = 5;
const PORT: u16 = 1;

/// A balancer that has lost its flow cache, and an idle flow whose back end has restarted. Its
/// agent has reset the caller, but the reset was lost. All other agents are paused.
fn world_with_orphaned_flow() -> (World, SocketAddrV4) {
    let mut world = World::new(AGENTS, 4);
    world.open(PORT, 0);
    let agent = world.accepted_by(PORT).expect("a SYN-ACK");
    world.request(PORT, agent);
    world.send_backend_data(agent, PORT);
    let ack = PacketView {
        ack: true,
        ack_number: initial_sequence(agent).wrapping_add(101),
        ..empty(caller(PORT), ROUTE)
    };
    world.balancer.handle_packet(world.now, &encode(&ack));
    world.settle();
    world.restart_balancer();
    let others = (1..=AGENTS).map(agent_address).filter(|it| *it != agent);
    world.paused = others.collect();
    world.backends.get_mut(&agent).expect("known").flows.clear();
    let registration = Registration {
        id: "another".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: 1,
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(agent.ip().octets()[3], &registration);
    world.run(20 * MILLI);
    assert_eq!(world.resets(), 1, "the agent resets the caller");
    world.callers.clear();
    (world, agent)
}

#[test]
fn a_report_of_an_orphaned_flow_ends_the_search_at_once() {
    let (mut world, agent) = world_with_orphaned_flow();
    world.request(PORT, agent);
    world.run(10 * MILLI);
    assert_eq!(world.resets(), 1);
    let reset = world.callers.iter().find(|view| view.rst);
    let acknowledged = initial_sequence(agent).wrapping_add(1);
    assert_eq!(reset.map(|view| view.sequence_number), Some(acknowledged));
    assert_eq!(
        world.data_packets_at(agent),
        1,
        "the new incarnation gets no packet of the flow"
    );
}

#[test]
fn a_caller_that_has_closed_its_flow_is_not_reset() {
    let (mut world, agent) = world_with_orphaned_flow();
    world.close_flow(PORT, agent);
    world.run(10 * MILLI);
    assert_eq!(world.resets(), 0);
}
