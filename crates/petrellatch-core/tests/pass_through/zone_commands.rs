//! Zone commands: acknowledged ones are never lost, and agents are notified of them.

use std::time::Duration;

use petrellatch_core::pass_through::{ConfigurationResponse, ZoneCommandRefusal};
use petrellatch_proto::pass_through::{
    AgentState, EvacuationsAck, PassThroughBody, Report, pack_address,
};

use super::group::{Group, address};

const SECOND: Duration = Duration::from_secs(1);
/// Numbers of machines with agents.
const AGENT: u8 = 120;
const OTHER_AGENT: u8 = 121;

fn formed_group(count: u8) -> Group {
    let mut group = Group::start(count);
    group.replace(3, 1);
    group.run_until(10 * SECOND, "all machines are voters", |it| {
        it.voters().len() == usize::from(count)
    });
    group
}

fn leader(group: &mut Group) -> u8 {
    group.run_until(10 * SECOND, "a leader", |it| it.leader().is_some());
    group.leader().expect("there is a leader")
}

/// An agent of `zone`, which knows the zone commands up to `known_index`, reports to a
/// replica.
fn report(group: &mut Group, replica: u8, agent: u8, zone: &str, known_index: u64) {
    let report = Report {
        address: pack_address(address(agent)),
        incarnation: 1,
        sequence: group.now.as_micros(),
        service: "desk".to_owned(),
        zone: zone.to_owned(),
        state: AgentState::Ready.into(),
        evacuations_index: known_index,
        ..Report::default()
    };
    group.receive(replica, agent, PassThroughBody::Report(report));
}

/// A group with one agent in each of two zones, and its leader, to which both have reported.
fn with_two_agents() -> (Group, u8) {
    let mut group = formed_group(3);
    let leader = leader(&mut group);
    group.run(SECOND);
    report(&mut group, leader, AGENT, "east", 0);
    report(&mut group, leader, OTHER_AGENT, "west", 0);
    (group, leader)
}

/// Counts the notifications of zone commands to an agent since the last call.
fn take_notifications(group: &mut Group, agent: u8) -> usize {
    let sent = std::mem::take(&mut group.sent_to_daemons);
    let is_notification = |(_, to, body): &&(u8, u8, PassThroughBody)| {
        *to == agent
            && matches!(body, PassThroughBody::GroupStatus(status) if status.zones.is_some())
    };
    sent.iter().filter(is_notification).count()
}

#[test]
fn a_zone_command_applies_at_all_replicas_beside_the_configuration() {
    let mut group = formed_group(3);
    group.set_zone_evacuated_and_wait("east", true);
    group.run(SECOND);
    for replica in 1..=3 {
        assert_eq!(group.evacuated_zones_at(replica), ["east"]);
    }
    group.replace(9, 4);
    assert_eq!(group.read().version, 9);
    group.set_zone_evacuated_and_wait("east", false);
    group.run(SECOND);
    for replica in 1..=3 {
        assert!(group.evacuated_zones_at(replica).is_empty());
    }
}

#[test]
fn an_acknowledged_command_survives_a_restart_of_all_processes() {
    let mut group = formed_group(3);
    group.set_zone_evacuated_and_wait("east", true);
    for replica in 1..=3 {
        group.kill(replica);
    }
    for replica in 1..=3 {
        group.restart(replica);
    }
    let leader = leader(&mut group);
    group.run(SECOND);
    assert_eq!(group.evacuated_zones_at(leader), ["east"]);
}

#[test]
fn an_acknowledged_command_survives_a_lost_disk_and_reaches_a_new_replica() {
    let mut group = formed_group(5);
    group.set_zone_evacuated_and_wait("east", true);
    let first = leader(&mut group);
    // After this many changes the log is compacted, and the command is only in snapshots.
    for version in 10..1_300 {
        group.replace(version, 1);
    }
    group.wipe(first);
    group.restart(first);
    group.add_empty(9, vec![1, 2, 3]);
    group.run(4 * SECOND);
    let voters = group.voters();
    assert!(voters.contains(&9), "{voters:?}");
    assert_eq!(group.evacuated_zones_at(9), ["east"]);
    assert_eq!(group.evacuated_zones_at(first), ["east"]);
}

#[test]
fn followers_name_the_leader_and_an_isolated_leader_acknowledges_nothing() {
    let mut group = formed_group(3);
    let first = leader(&mut group);
    let follower = (1..=3)
        .find(|it| *it != first)
        .expect("there are three machines");
    let token = group.set_zone_evacuated(follower, "east", true);
    let not_leader = ConfigurationResponse::NotLeader {
        leader: address(first),
    };
    assert_eq!(group.response(token), Some(&not_leader));

    group.cut_off(first);
    let token = group.set_zone_evacuated(first, "east", true);
    group.run(2 * SECOND);
    assert_eq!(
        group.response(token),
        Some(&ConfigurationResponse::Unavailable)
    );
    group.set_zone_evacuated_and_wait("west", true);
    group.heal();
    group.run(2 * SECOND);
    for replica in 1..=3 {
        assert_eq!(group.evacuated_zones_at(replica), ["west"], "at {replica}");
    }
}

#[test]
fn repeated_commands_change_nothing_and_the_last_of_several_quick_ones_applies() {
    let mut group = formed_group(3);
    group.set_zone_evacuated_and_wait("east", true);
    let leader = leader(&mut group);
    let index = group.node(leader).evacuations().index();
    group.set_zone_evacuated_and_wait("east", true);
    assert_eq!(group.node(leader).evacuations().index(), index);

    let tokens = [
        group.set_zone_evacuated(leader, "east", false),
        group.set_zone_evacuated(leader, "west", true),
        group.set_zone_evacuated(leader, "west", false),
        group.set_zone_evacuated(leader, "east", true),
    ];
    group.run(SECOND);
    for token in tokens {
        assert_eq!(
            group.response(token),
            Some(&ConfigurationResponse::ZoneCommandApplied)
        );
    }
    assert_eq!(group.evacuated_zones_at(leader), ["east"]);
}

#[test]
fn evacuating_the_last_zone_of_a_service_is_refused_without_effect() {
    let (mut group, leader) = with_two_agents();
    group.set_zone_evacuated_and_wait("east", true);
    let token = group.set_zone_evacuated(leader, "west", true);
    let refusal = ZoneCommandRefusal::LastZone {
        zone: "west".to_owned(),
        service: "desk".to_owned(),
    };
    let refused = ConfigurationResponse::ZoneCommandRefused(refusal);
    assert_eq!(group.response(token), Some(&refused));
    assert_eq!(group.evacuated_zones_at(leader), ["east"]);
    // Once the other zone is restored, it is no longer the last one.
    group.set_zone_evacuated_and_wait("east", false);
    group.set_zone_evacuated_and_wait("west", true);
}

#[test]
fn the_leader_notifies_agents_of_the_zone_until_they_acknowledge() {
    let (mut group, leader) = with_two_agents();
    take_notifications(&mut group, AGENT);
    group.set_zone_evacuated_and_wait("east", true);
    group.run(SECOND);
    let others = group
        .sent_to_daemons
        .iter()
        .filter(|(_, to, _)| *to == OTHER_AGENT);
    let others = others.count();
    let notifications = take_notifications(&mut group, AGENT);
    assert!(
        (5..=8).contains(&notifications),
        "{notifications} notifications in a second"
    );
    assert_eq!(others, 0, "agents of the other zone are not notified");
    assert_eq!(group.node(leader).agents_behind(), 1);

    let ack = EvacuationsAck {
        address: pack_address(address(AGENT)),
        index: group.node(leader).evacuations().index(),
    };
    group.receive(leader, AGENT, PassThroughBody::EvacuationsAck(ack));
    group.run(SECOND);
    assert_eq!(take_notifications(&mut group, AGENT), 0);
    assert_eq!(group.node(leader).agents_behind(), 0);
}

#[test]
fn an_agent_that_never_acknowledges_is_notified_again_when_it_reports() {
    let (mut group, leader) = with_two_agents();
    group.set_zone_evacuated_and_wait("east", true);
    group.run(4 * SECOND);
    take_notifications(&mut group, AGENT);
    group.run(SECOND / 2);
    assert_eq!(
        take_notifications(&mut group, AGENT),
        0,
        "notifications have stopped"
    );
    report(&mut group, leader, AGENT, "east", 0);
    assert!(take_notifications(&mut group, AGENT) > 0);
}

#[test]
fn a_new_leader_notifies_agents_that_have_not_acknowledged_to_it() {
    let mut group = formed_group(3);
    let first = leader(&mut group);
    group.run(SECOND);
    for replica in 1..=3 {
        report(&mut group, replica, AGENT, "east", 0);
        report(&mut group, replica, OTHER_AGENT, "west", 0);
    }
    group.set_zone_evacuated_and_wait("east", true);
    group.kill(first);
    take_notifications(&mut group, AGENT);
    let next = leader(&mut group);
    group.run(SECOND / 10);
    assert_ne!(next, first);
    assert!(take_notifications(&mut group, AGENT) > 0);
}
