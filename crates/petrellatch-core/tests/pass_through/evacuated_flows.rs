//! Flows of evacuated zones.

use petrellatch_proto::pass_through::{
    GroupStatus, PassThroughBody, VersionConfirmed, ZoneStatus, ZoneStatuses,
};

use super::world::{MILLI, REPLICA, World, agent_address};

const PORT: u16 = 1_000;

/// Status of the one zone that all agents of the world are in.
fn zone_statuses(index: u64, evacuated: bool) -> ZoneStatuses {
    let status = ZoneStatus {
        zone: "a".to_owned(),
        evacuated,
        index,
        ..ZoneStatus::default()
    };
    ZoneStatuses {
        index,
        zones: vec![status],
    }
}

fn group_status(zones: ZoneStatuses) -> PassThroughBody {
    PassThroughBody::GroupStatus(GroupStatus {
        has_leader: true,
        zones: Some(zones),
        ..GroupStatus::default()
    })
}

fn send_zones_to_balancer(world: &mut World, index: u64, evacuated: bool) {
    let body = group_status(zone_statuses(index, evacuated));
    world.balancer.handle_message(world.now, REPLICA, body);
}

fn send_zones_to_agent(world: &mut World, agent: u8, index: u64, evacuated: bool) {
    let now = world.now;
    let agent = world.agents.get_mut(&agent_address(agent)).expect("known");
    agent.handle_message(now, REPLICA, group_status(zone_statuses(index, evacuated)));
}

#[test]
fn new_flows_are_refused_at_once_when_all_agents_are_evacuated() {
    let mut world = World::new(3, 2);
    send_zones_to_balancer(&mut world, 7, true);
    world.open(PORT, 0);
    assert_eq!(world.resets(), 1, "refused at once");
    assert_eq!(world.accepted_by(PORT), None);
    assert!(
        world.refusals[0].contains("asked=0") && world.refusals[0].contains("evacuated=3"),
        "{:?}",
        world.refusals
    );
    for backend in world.backends.values() {
        assert!(backend.received.is_empty(), "no packet reached a back end");
    }

    send_zones_to_balancer(&mut world, 8, false);
    world.open(PORT + 1, 0);
    assert!(world.accepted_by(PORT + 1).is_some());
}

#[test]
fn an_evacuated_agent_declines_flows_of_an_outdated_balancer() {
    let mut world = World::new(1, 2);
    send_zones_to_agent(&mut world, 1, 7, true);
    world.open(PORT, 0);
    assert_eq!(world.resets(), 1);
    assert!(world.backends[&agent_address(1)].received.is_empty());
    send_zones_to_agent(&mut world, 1, 8, false);
    world.run(300 * MILLI);
    world.open(PORT + 1, 0);
    assert!(world.accepted_by(PORT + 1).is_some());
}

#[test]
fn an_open_flow_continues_in_an_evacuated_zone() {
    let mut world = World::new(1, 2);
    world.open(PORT, 0);
    let agent = world.accepted_by(PORT).expect("accepted");
    world.request(PORT, agent);
    send_zones_to_balancer(&mut world, 7, true);
    send_zones_to_agent(&mut world, 1, 7, true);
    for _ in 0..20 {
        world.run(500 * MILLI);
        world.request(PORT, agent);
    }
    assert_eq!(world.data_packets_at(agent), 21);
    assert_eq!(world.resets(), 0);
}

#[test]
fn late_zone_statuses_do_not_override_newer_ones() {
    let mut world = World::new(1, 2);
    send_zones_to_balancer(&mut world, 9, false);
    send_zones_to_agent(&mut world, 1, 9, false);
    send_zones_to_balancer(&mut world, 7, true);
    send_zones_to_agent(&mut world, 1, 7, true);
    world.open(PORT, 0);
    assert!(world.accepted_by(PORT).is_some());
}

#[test]
fn a_starting_balancer_applies_zone_statuses_before_it_is_ready() {
    let mut world = World::new(2, 2);
    let confirmed = VersionConfirmed {
        confirmation_id: 7,
        version: 3,
        zones: Some(zone_statuses(7, true)),
        ..VersionConfirmed::default()
    };
    world.start_balancer_with(confirmed);
    assert!(world.balancer.is_ready(world.now));
    world.open(PORT, 0);
    assert_eq!(world.accepted_by(PORT), None);
    assert_eq!(world.resets(), 1);
}
