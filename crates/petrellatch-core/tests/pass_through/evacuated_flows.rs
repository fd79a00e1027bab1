//! Flows of zones that are out of service.

use petrellatch_proto::pass_through::{
    GroupStatus, PassThroughBody, VersionConfirmed, ZoneStatus, ZoneStatuses,
};

use super::world::{MILLI, REPLICA, World, agent_address};

const PORT: u16 = 1_000;

/// The zone of all agents of the world.
fn zones(index: u64, evacuated: bool) -> ZoneStatuses {
    let record = ZoneStatus {
        zone: "a".to_owned(),
        evacuated,
        index,
        ..ZoneStatus::default()
    };
    ZoneStatuses {
        index,
        zones: vec![record],
    }
}

fn group(zones: ZoneStatuses) -> PassThroughBody {
    PassThroughBody::GroupStatus(GroupStatus {
        has_leader: true,
        zones: Some(zones),
        ..GroupStatus::default()
    })
}

fn tell_balancer(world: &mut World, index: u64, evacuated: bool) {
    let body = group(zones(index, evacuated));
    world.balancer.handle_message(world.now, REPLICA, body);
}

fn tell_agent(world: &mut World, agent: u8, index: u64, evacuated: bool) {
    let now = world.now;
    let agent = world.agents.get_mut(&agent_address(agent)).expect("known");
    agent.handle_message(now, REPLICA, group(zones(index, evacuated)));
}

#[test]
fn nobody_gets_new_flows_of_a_zone_out_of_service_and_callers_know_at_once() {
    let mut world = World::new(3, 2);
    tell_balancer(&mut world, 7, true);
    world.open(PORT, 0);
    assert_eq!(world.resets(), 1, "refused without a wait");
    assert_eq!(world.accepted_by(PORT), None);
    assert!(
        world.refusals[0].contains("asked=0") && world.refusals[0].contains("evacuated=3"),
        "{:?}",
        world.refusals
    );
    for agent in world.backends.values() {
        assert!(agent.received.is_empty(), "no byte reached a back end");
    }

    tell_balancer(&mut world, 8, false);
    world.open(PORT + 1, 0);
    assert!(world.accepted_by(PORT + 1).is_some());
}

#[test]
fn an_agent_declines_what_a_balancer_sends_from_old_knowledge() {
    let mut world = World::new(1, 2);
    tell_agent(&mut world, 1, 7, true);
    world.open(PORT, 0);
    assert_eq!(world.resets(), 1);
    assert!(world.backends[&agent_address(1)].received.is_empty());
    tell_agent(&mut world, 1, 8, false);
    world.run(300 * MILLI);
    world.open(PORT + 1, 0);
    assert!(world.accepted_by(PORT + 1).is_some());
}

#[test]
fn an_open_flow_goes_on_in_a_zone_out_of_service() {
    let mut world = World::new(1, 2);
    world.open(PORT, 0);
    let agent = world.accepted_by(PORT).expect("it is taken");
    world.request(PORT, agent);
    tell_balancer(&mut world, 7, true);
    tell_agent(&mut world, 1, 7, true);
    for _ in 0..20 {
        world.run(500 * MILLI);
        world.request(PORT, agent);
    }
    assert_eq!(world.data_packets_at(agent), 21);
    assert_eq!(world.resets(), 0);
}

#[test]
fn orders_that_arrive_late_do_not_take_newer_ones_back() {
    let mut world = World::new(1, 2);
    tell_balancer(&mut world, 9, false);
    tell_agent(&mut world, 1, 9, false);
    tell_balancer(&mut world, 7, true);
    tell_agent(&mut world, 1, 7, true);
    world.open(PORT, 0);
    assert!(world.accepted_by(PORT).is_some());
}

#[test]
fn a_balancer_that_starts_knows_the_zones_before_it_is_ready() {
    let mut world = World::new(2, 2);
    let confirmed = VersionConfirmed {
        confirmation_id: 7,
        version: 3,
        zones: Some(zones(7, true)),
        ..VersionConfirmed::default()
    };
    world.start_balancer_with(confirmed);
    assert!(world.balancer.is_ready(world.now));
    world.open(PORT, 0);
    assert_eq!(world.accepted_by(PORT), None);
    assert_eq!(world.resets(), 1);
}
