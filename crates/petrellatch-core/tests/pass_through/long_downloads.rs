//! Flows that have moved on far from their initial sequence numbers.

use petrellatch_core::pass_through::PacketView;

use super::codec::{empty, encode};
use super::world::{MILLI, ROUTE, World, agent_address, caller, initial_sequence};

const AGENTS: u8 = 2;
const PORT: u16 = 1;
/// Data in one packet of the back end, in bytes.
const PACKET_BYTES: u16 = 60_000;

/// A flow whose agent certainly knows all flows of its back end, and the number of that agent.
fn world_with_flow() -> (World, u8) {
    let mut world = World::new(AGENTS, 4);
    world.backends_ack_at_once = true;
    for index in 1..=AGENTS {
        world.acknowledge_report(index, false);
    }
    world.open(PORT, 0);
    let owner = world.accepted_by(PORT).expect("the flow is accepted");
    world.request(PORT, owner);
    let owner = (1..=AGENTS).find(|index| agent_address(*index) == owner);
    (world, owner.expect("the agent exists"))
}

/// The back end sends this many bytes, and the caller acknowledges each packet.
fn download(world: &mut World, owner: u8, bytes: u32) {
    let agent = agent_address(owner);
    let mut sent = 0;
    while sent < bytes {
        let data = PacketView {
            ack: true,
            data_bytes: PACKET_BYTES,
            sequence_number: initial_sequence(agent).wrapping_add(1 + sent),
            ..empty(ROUTE, caller(PORT))
        };
        world.send_from_backend(agent, &data);
        world.settle();
        sent += u32::from(PACKET_BYTES);
        send_from_caller(world, owner, sent, 0);
    }
}

/// The caller sends a packet, and has received this many bytes.
fn send_from_caller(world: &mut World, owner: u8, received: u32, data_bytes: u16) {
    let packet = PacketView {
        ack: true,
        ack_number: initial_sequence(agent_address(owner)).wrapping_add(1 + received),
        data_bytes,
        ..empty(caller(PORT), ROUTE)
    };
    world.balancer.handle_packet(world.now, &encode(&packet));
    world.settle();
}

/// The caller sends a request through a balancer that doesn't know the flow.
fn request_through_another_balancer(world: &mut World, owner: u8, received: u32) {
    world.restart_balancer();
    world.notify_complete_directory();
    send_from_caller(world, owner, received, 50);
    world.run(200 * MILLI);
}

// Guards against the reset of a flow that has carried more than 4 MiB (FLOW): its agent took it
// for another connection, and denied that the back end owns it.
#[test]
fn a_long_download_is_found_by_another_balancer() {
    for mebibytes in [1, 3, 5, 40] {
        let (mut world, owner) = world_with_flow();
        let bytes = mebibytes << 20;
        download(&mut world, owner, bytes);
        let received = world.data_packets_at(agent_address(owner));
        let packets = bytes.div_ceil(u32::from(PACKET_BYTES));
        request_through_another_balancer(&mut world, owner, packets * u32::from(PACKET_BYTES));
        assert_eq!(world.resets(), 0, "{mebibytes} MiB");
        let delivered = world.data_packets_at(agent_address(owner)) - received;
        assert_eq!(delivered, 1, "{mebibytes} MiB");
    }
}

// Guards against the same if the agent hasn't seen how far the flow has moved on.
#[test]
fn a_flow_is_not_denied_for_its_acknowledgement_number() {
    for mebibytes in [5, 40, 2_000, 4_090] {
        let (mut world, owner) = world_with_flow();
        request_through_another_balancer(&mut world, owner, mebibytes << 20);
        assert_eq!(world.resets(), 0, "{mebibytes} MiB");
        assert!(
            world.data_packets_at(agent_address(owner)) >= 2,
            "{mebibytes} MiB"
        );
    }
}

// Guards against callers that wait for nothing: the back end that returns a packet of the flow
// has proved that it doesn't own it.
#[test]
fn a_flow_that_has_moved_on_is_reset_once_its_back_end_has_lost_it() {
    let (mut world, owner) = world_with_flow();
    for backend in world.backends.values_mut() {
        backend.flows.clear();
    }
    request_through_another_balancer(&mut world, owner, 40 << 20);
    assert_eq!(world.resets(), 1);
}
