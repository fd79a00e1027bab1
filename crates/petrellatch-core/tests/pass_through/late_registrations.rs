//! Registrations of back ends that arrive after a newer incarnation has registered.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::pass_through::{Registration, backend_digest};
use petrellatch_proto::pass_through::GroupStatus;

use super::world::{MILLI, SERVICE, World};

const AGENT: u8 = 1;

fn register(world: &mut World, id: &str, sequence: u64, draining: bool) {
    let registration = Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence,
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(AGENT, &registration);
    world.run(MILLI);
}

/// Time after a departure by which no registration that was sent before it is on its way.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(10);

/// A back end registers once a second until the last departure, at `left_at`, is
/// [`MAX_REGISTRATION_DELAY`] ago. `register` sends the registration with a sequence number. No
/// flow is admitted until then.
fn register_until_proved(
    world: &mut World,
    left_at: Timestamp,
    first: u64,
    register: impl Fn(&mut World, u64),
) {
    let end = left_at + MAX_REGISTRATION_DELAY;
    let mut sequence = first;
    while world.now < end {
        register(world, sequence);
        assert!(!admits_flows(world, 900 + sequence as u16), "{sequence}");
        world.run(Duration::from_secs(1));
        sequence += 1;
    }
    register(world, sequence);
}

/// Whether a new flow is admitted.
fn admits_flows(world: &mut World, port: u16) -> bool {
    world.open(port, 0);
    world.accepted_by(port).is_some()
}

/// An agent that has started, with a back end that may have registered before.
fn world_with_restarted_agent() -> World {
    let mut world = World::new(0, 4);
    world.start_agent(AGENT);
    world
}

#[test]
fn draining_is_applied_after_a_delayed_registration_of_the_previous_incarnation() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "new", 1, false);
    register(&mut world, "old", 40, false);
    register(&mut world, "new", 2, true);
    assert!(!admits_flows(&mut world, 1));
}

#[test]
fn a_delayed_registration_does_not_undo_a_deregistration() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "new", 1, true);
    register(&mut world, "old", 2, false);
    assert!(!admits_flows(&mut world, 1));
    let agent = super::world::agent_address(AGENT);
    let now = world.now;
    let agent = world.agents.get_mut(&agent).expect("known");
    agent.handle_deregistration(now, "new");
    register(&mut world, "old", 3, false);
    world.run(MILLI);
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register(world, "next", sequence, false);
    });
    assert!(admits_flows(&mut world, 2));
}

#[test]
fn the_running_back_end_drains_although_a_delayed_registration_arrived_first() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 40, false);
    register(&mut world, "new", 50, true);
    assert!(
        !admits_flows(&mut world, 1),
        "the draining incarnation may be the one that runs"
    );
    register(&mut world, "new", 51, true);
    assert!(!admits_flows(&mut world, 2));
}

#[test]
fn a_deregistration_is_applied_although_a_delayed_registration_arrived_first() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 40, false);
    let agent = super::world::agent_address(AGENT);
    let now = world.now;
    let agent = world.agents.get_mut(&agent).expect("known");
    agent.handle_deregistration(now, "new");
    world.run(MILLI);
    assert!(!admits_flows(&mut world, 1));
}

// Either of the two may be the one that runs, and the draining one was acknowledged.
#[test]
fn a_delayed_draining_registration_is_applied_until_the_running_back_end_is_known() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "new", 4, false);
    register(&mut world, "old", 40, true);
    assert!(!admits_flows(&mut world, 1));
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 5, |world, sequence| {
        register(world, "new", sequence, false);
    });
    assert!(admits_flows(&mut world, 2));
}

#[test]
fn a_new_incarnation_gets_flows_after_its_first_registration() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 40, false);
    register(&mut world, "new", 1, false);
    assert!(admits_flows(&mut world, 1));
    register(&mut world, "new", 2, true);
    assert!(!admits_flows(&mut world, 2));
}

#[test]
fn a_repeated_deregistration_does_not_stop_the_next_incarnation() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 40, true);
    let agent = super::world::agent_address(AGENT);
    for round in 0..2 {
        let now = world.now;
        let agent = world.agents.get_mut(&agent).expect("known");
        agent.handle_deregistration(now, "old");
        register(&mut world, "new", 2 * round + 1, false);
        register(&mut world, "new", 2 * round + 2, false);
    }
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 5, |world, sequence| {
        register(world, "new", sequence, false);
    });
    let now = world.now;
    let agent = world.agents.get_mut(&agent).expect("known");
    agent.handle_deregistration(now, "old");
    world.run(MILLI);
    assert!(admits_flows(&mut world, 1));
}

/// A registration of `backend`, which reports its start time.
fn register_started_at(world: &mut World, started_at: u64, sequence: u64, draining: bool) {
    let registration = Registration {
        id: "backend".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: Some(started_at),
        sequence,
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(AGENT, &registration);
    world.run(MILLI);
}

fn deregister(world: &mut World) {
    let now = world.now;
    let agent = world.agents.get_mut(&super::world::agent_address(AGENT));
    agent.expect("known").handle_deregistration(now, "backend");
    world.run(MILLI);
}

#[test]
fn a_back_end_restarted_under_its_name_gets_flows_after_its_first_registration() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 40, false);
    // The back end crashed. The sequence numbers of its registrations start over.
    world.run(Duration::from_secs(9));
    assert!(!admits_flows(&mut world, 1), "the back end was silent");
    register_started_at(&mut world, 11_000, 1, false);
    assert!(admits_flows(&mut world, 2));
}

#[test]
fn a_deregistered_back_end_gets_flows_once_it_restarts_under_its_name() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 40, true);
    deregister(&mut world);
    register_started_at(&mut world, 1_000, 41, false);
    assert!(
        !admits_flows(&mut world, 1),
        "a deregistered incarnation gets no flows"
    );
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register_started_at(world, 11_000, sequence, false);
    });
    assert!(admits_flows(&mut world, 2));
}

#[test]
fn delayed_registrations_of_a_previous_incarnation_change_nothing() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 11_000, 1, false);
    // The registrations were delayed, and arrive one after the other.
    register_started_at(&mut world, 1_000, 40, true);
    register_started_at(&mut world, 1_000, 41, true);
    register_started_at(&mut world, 1_000, 42, true);
    assert!(admits_flows(&mut world, 1));
    register_started_at(&mut world, 11_000, 2, true);
    register_started_at(&mut world, 1_000, 43, false);
    assert!(
        !admits_flows(&mut world, 2),
        "the running incarnation drains"
    );
}

#[test]
fn an_incarnation_whose_clock_was_set_back_gets_flows_once_only_it_registers() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 99_000, 40, true);
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register_started_at(world, 12_000, sequence, false);
    });
    assert!(admits_flows(&mut world, 3));
}

#[test]
fn a_restarted_agent_restores_the_deregistered_incarnation() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 40, true);
    deregister(&mut world);
    world.restart_agent_with_draining(AGENT);
    register_started_at(&mut world, 1_000, 41, false);
    assert!(!admits_flows(&mut world, 1));
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register_started_at(world, 11_000, sequence, false);
    });
    assert!(admits_flows(&mut world, 2));
}

#[test]
fn a_registration_for_another_service_changes_nothing() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 1, false);
    let foreign = Registration {
        id: "stranger".to_owned(),
        service: "files".to_owned(),
        started_at_millis: Some(2_000),
        sequence: 1,
        slots: 9,
        draining: true,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    let now = world.now;
    let agent = super::world::agent_address(AGENT);
    let agent = world.agents.get_mut(&agent).expect("known");
    assert!(agent.handle_registration(now, &foreign).is_err());
    assert!(admits_flows(&mut world, 1));
}

/// Restarts the agent, and lets a replica that knows its previous incarnation acknowledge a
/// report.
fn restart_agent(world: &mut World) {
    world.start_agent(AGENT);
    world.acknowledge_report(AGENT, true);
}

/// Sends a request of the flow with this port through a balancer that doesn't know the flow.
fn request_through_another_balancer(world: &mut World, port: u16) {
    world.restart_balancer();
    world.notify_complete_directory();
    world.request(port, super::world::agent_address(AGENT));
    world.run(200 * MILLI);
}

// Guards against a delayed registration being taken for a restart of the back end that was seen,
// after which a restarted agent denied all flows that are older than itself.
#[test]
fn a_running_back_end_that_replaces_a_delayed_registration_keeps_its_flows() {
    for reports_start_time in [false, true] {
        let mut world = world_with_restarted_agent();
        let register = |world: &mut World, id: &str, sequence| match reports_start_time {
            false => register(world, id, sequence, false),
            true => {
                let started_at = if id == "new" { 11_000 } else { 1_000 };
                register_started_at(world, started_at, sequence, false);
            }
        };
        register(&mut world, "new", 1);
        assert!(admits_flows(&mut world, 1));
        world.request(1, super::world::agent_address(AGENT));
        restart_agent(&mut world);
        register(&mut world, "old", 40);
        register(&mut world, "new", 2);
        register(&mut world, "new", 3);
        request_through_another_balancer(&mut world, 1);
        assert_eq!(world.resets(), 0, "start time: {reports_start_time}");
    }
}

// The flows of an incarnation that ran beside the restarted agent have died with it. Only the new
// one can prove that.
#[test]
fn flows_of_a_back_end_that_restarts_beside_a_restarted_agent_are_reset_after_a_delivery() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 1, false);
    assert!(admits_flows(&mut world, 1));
    let agent = super::world::agent_address(AGENT);
    world.request(1, agent);
    restart_agent(&mut world);
    for sequence in 2..=6 {
        register(&mut world, "old", sequence, false);
        world.run(Duration::from_secs(1));
    }
    world.backends.get_mut(&agent).expect("known").flows.clear();
    register(&mut world, "new", 1, false);
    let received = world.data_packets_at(agent);
    request_through_another_balancer(&mut world, 1);
    assert_eq!(world.resets(), 1);
    assert_eq!(world.data_packets_at(agent), received + 1);
}

/// A back end that says that it is draining, or only deregisters, and runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Draining,
    Deregistered,
}

const DEPARTURES: [Departure; 2] = [Departure::Draining, Departure::Deregistered];

/// A back end of this name leaves. `sequence` is that of its registration.
fn leave(world: &mut World, departure: Departure, id: &str, sequence: u64) {
    match departure {
        Departure::Draining => register(world, id, sequence, true),
        Departure::Deregistered => deregister_id(world, id),
    }
}

fn deregister_id(world: &mut World, id: &str) {
    let now = world.now;
    let agent = world.agents.get_mut(&super::world::agent_address(AGENT));
    agent.expect("known").handle_deregistration(now, id);
    world.run(MILLI);
}

// Guards against new flows at a back end that a restarted agent knows only by its
// deregistration, after a delayed registration with the start time (DRAIN).
#[test]
fn a_delayed_registration_does_not_undo_a_deregistration_after_a_restart() {
    for restarts in 1..=2 {
        let mut world = world_with_restarted_agent();
        register_started_at(&mut world, 1_000, 40, false);
        world.start_agent(AGENT);
        deregister(&mut world);
        for _ in 1..restarts {
            world.run(Duration::from_secs(1));
            world.restart_agent_with_draining(AGENT);
        }
        let left_at = world.now;
        register_started_at(&mut world, 1_000, 41, false);
        assert!(!admits_flows(&mut world, 1), "{restarts} restarts");
        world.run(Duration::from_secs(4));
        register_started_at(&mut world, 1_000, 42, false);
        assert!(!admits_flows(&mut world, 2), "{restarts} restarts");
        register_until_proved(&mut world, left_at, 1, |world, sequence| {
            register_started_at(world, 21_000, sequence, false);
        });
        assert!(admits_flows(&mut world, 3), "{restarts} restarts");
    }
}

// Guards against the same if a previous incarnation of the name registered late before.
#[test]
fn a_deregistration_holds_for_an_incarnation_that_registers_after_a_previous_one() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 40, false);
    deregister(&mut world);
    register_started_at(&mut world, 11_000, 41, false);
    assert!(!admits_flows(&mut world, 1));
}

// Guards against a back end without new flows, as its early registrations were lost.
#[test]
fn a_back_end_of_a_deregistered_name_gets_flows_once_it_has_registered_for_long() {
    let mut world = world_with_restarted_agent();
    deregister(&mut world);
    for sequence in 7..=16 {
        register_started_at(&mut world, 11_000, sequence, false);
        world.run(Duration::from_millis(1_200));
    }
    assert!(admits_flows(&mut world, 1));
}

// Guards against new flows at a draining back end after two delayed registrations of the one
// before it, in a burst or seconds apart (DRAIN).
#[test]
fn delayed_registrations_of_a_crashed_back_end_do_not_undo_draining() {
    for departure in DEPARTURES {
        for gap in [MILLI, Duration::from_secs(4)] {
            let mut world = world_with_restarted_agent();
            register(&mut world, "old", 7, false);
            register(&mut world, "new", 1, false);
            leave(&mut world, departure, "new", 2);
            register(&mut world, "old", 8, false);
            world.run(gap);
            register(&mut world, "old", 9, false);
            assert!(!admits_flows(&mut world, 1), "{departure:?} {gap:?}");
            if departure == Departure::Draining {
                register(&mut world, "new", 3, true);
                assert!(!admits_flows(&mut world, 2), "{departure:?} {gap:?}");
            }
        }
    }
}

// Guards against the same where back ends report start times.
#[test]
fn delayed_registrations_seconds_apart_do_not_undo_a_deregistration() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 11_000, 1, false);
    deregister(&mut world);
    register_started_at(&mut world, 1_000, 40, false);
    world.run(Duration::from_secs(4));
    register_started_at(&mut world, 1_000, 41, false);
    assert!(!admits_flows(&mut world, 1));
}

// Guards against new flows at a leaving back end after a restart of its agent, if delayed
// registrations of the one before it arrive first or last (DRAIN).
#[test]
fn a_delayed_registration_does_not_displace_a_leaving_back_end_after_a_restart() {
    for departure in DEPARTURES {
        for arrives_before in [false, true] {
            let mut world = world_with_restarted_agent();
            register(&mut world, "old", 40, false);
            register(&mut world, "new", 1, false);
            leave(&mut world, departure, "new", 2);
            world.run(Duration::from_secs(1));
            let context = format!("{departure:?} arrives_before={arrives_before}");
            match arrives_before {
                true => {
                    let reported = world.reported_draining(AGENT);
                    world.start_agent(AGENT);
                    register(&mut world, "old", 41, false);
                    world.restore_draining(AGENT, reported);
                }
                false => {
                    world.restart_agent_with_draining(AGENT);
                    register(&mut world, "old", 41, false);
                }
            }
            assert!(!admits_flows(&mut world, 1), "{context}");
            register(&mut world, "old", 42, false);
            assert!(!admits_flows(&mut world, 2), "{context}");
            let left_at = world.now;
            register_until_proved(&mut world, left_at, 1, |world, sequence| {
                register(world, "next", sequence, false);
            });
            assert!(admits_flows(&mut world, 3), "{context}");
        }
    }
}

// Guards against new flows at a back end that deregisters between two delayed registrations of
// the one before it, at a restarted agent (DRAIN).
#[test]
fn a_deregistration_between_two_delayed_registrations_holds() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "old", 40, false);
    deregister_id(&mut world, "new");
    register(&mut world, "old", 41, false);
    assert!(!admits_flows(&mut world, 1));
}

// Guards against a running back end without new flows after a restart of its agent, as another
// one left before it.
#[test]
fn a_serving_back_end_gets_flows_at_once_after_restarts_of_its_agent() {
    for departure in DEPARTURES {
        for restarts in 1..=2 {
            let mut world = world_with_restarted_agent();
            register(&mut world, "old", 1, false);
            leave(&mut world, departure, "old", 2);
            let left_at = world.now;
            register_until_proved(&mut world, left_at, 1, |world, sequence| {
                register(world, "new", sequence, false);
            });
            world.run(Duration::from_secs(1));
            for _ in 0..restarts {
                world.restart_agent_with_draining(AGENT);
                world.run(Duration::from_secs(1));
            }
            register(&mut world, "new", 19, false);
            let context = format!("{departure:?} restarts={restarts}");
            assert!(admits_flows(&mut world, 1), "{context}");
            register(&mut world, "old", 7, false);
            register(&mut world, "old", 8, false);
            assert!(admits_flows(&mut world, 2), "{context}");
        }
    }
}

// Guards against a replica that repeats which back end served, after that one has deregistered,
// so that its delayed registration was believed at once (DRAIN).
#[test]
fn a_deregistration_holds_although_replicas_go_on_naming_the_back_end_as_serving() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 1, false);
    deregister(&mut world);
    register_started_at(&mut world, 11_000, 1, false);
    world.run(Duration::from_secs(1));
    let reported = world.reported_draining(AGENT);
    world.start_agent(AGENT);
    world.restore_draining(AGENT, reported.clone());
    deregister(&mut world);
    world.restore_draining(AGENT, reported);
    register_started_at(&mut world, 11_000, 11, false);
    assert!(!admits_flows(&mut world, 1));
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register_started_at(world, 21_000, sequence, false);
    });
    assert!(admits_flows(&mut world, 2));
}

// Guards against the same if the agent restarts once more after the deregistration.
#[test]
fn a_deregistration_between_two_restarts_holds() {
    for reports_start_time in [false, true] {
        let mut world = world_with_restarted_agent();
        register(&mut world, "old", 1, true);
        deregister_id(&mut world, "old");
        let register = |world: &mut World, sequence| match reports_start_time {
            false => register(world, "backend", sequence, false),
            true => register_started_at(world, 11_000, sequence, false),
        };
        register(&mut world, 1);
        register(&mut world, 2);
        world.run(Duration::from_secs(1));
        let reported = world.reported_draining(AGENT);
        world.restart_agent_with_draining(AGENT);
        world.run(Duration::from_secs(1));
        deregister(&mut world);
        world.restore_draining(AGENT, reported);
        world.run(Duration::from_secs(1));
        world.restart_agent_with_draining(AGENT);
        register(&mut world, 11);
        assert!(!admits_flows(&mut world, 1), "{reports_start_time}");
    }
}

// Guards against new flows at a back end whose deregistration a restarted agent has acknowledged,
// after early registrations of it that were delayed (DRAIN).
#[test]
fn delayed_early_registrations_do_not_undo_a_deregistration_after_a_restart() {
    for reports_start_time in [false, true] {
        for gap in [MILLI, Duration::from_secs(3)] {
            for first in 1..=4 {
                let mut world = world_with_restarted_agent();
                deregister(&mut world);
                for sequence in first..=4 {
                    world.run(gap);
                    match reports_start_time {
                        false => register(&mut world, "backend", sequence, false),
                        true => register_started_at(&mut world, 11_000, sequence, false),
                    }
                    let context = format!("{reports_start_time} {gap:?} {first} {sequence}");
                    let elapsed = gap * (sequence - first + 1) as u32;
                    if elapsed < MAX_REGISTRATION_DELAY {
                        assert!(!admits_flows(&mut world, sequence as u16), "{context}");
                    }
                }
            }
        }
    }
}

// Guards against new flows at a leaving back end after early registrations of the one before it,
// which had crashed soon after its start (DRAIN).
#[test]
fn delayed_early_registrations_of_a_crashed_back_end_do_not_undo_a_departure() {
    for departure in DEPARTURES {
        for is_restarted in [false, true] {
            for gap in [MILLI, Duration::from_secs(3)] {
                let mut world = world_with_restarted_agent();
                register(&mut world, "new", 1, false);
                register(&mut world, "new", 2, false);
                // One arrives before the departure, and counts as newer.
                register(&mut world, "old", 1, false);
                leave(&mut world, departure, "new", 3);
                if is_restarted {
                    world.run(MILLI);
                    world.restart_agent_with_draining(AGENT);
                }
                for sequence in 2..=4 {
                    world.run(gap);
                    register(&mut world, "old", sequence, false);
                    let context = format!("{departure:?} {is_restarted} {gap:?} {sequence}");
                    assert!(!admits_flows(&mut world, sequence as u16), "{context}");
                }
            }
        }
    }
}

// Guards against the same if the crashed back end had registered for long, and the last of its
// registrations arrives after its successor has left.
#[test]
fn a_back_end_that_registered_for_long_and_crashed_does_not_undo_a_departure() {
    for departure in DEPARTURES {
        let mut world = world_with_restarted_agent();
        for sequence in 1..=20 {
            register(&mut world, "old", sequence, false);
            world.run(Duration::from_secs(1));
        }
        leave(&mut world, departure, "new", 2);
        assert!(!admits_flows(&mut world, 1), "{departure:?}");
        world.run(Duration::from_secs(3));
        register(&mut world, "old", 21, false);
        assert!(!admits_flows(&mut world, 2), "{departure:?}");
    }
}

// Guards against the reset of flows of a running back end after a registration of the one before
// it, which had crashed soon after its start (FLOW).
#[test]
fn a_delayed_early_registration_of_a_crashed_back_end_denies_no_flow() {
    for reports_start_time in [false, true] {
        for late in 1..=4 {
            let mut world = world_with_restarted_agent();
            let register = |world: &mut World, id: &str, sequence| match reports_start_time {
                false => register(world, id, sequence, false),
                true => {
                    let started_at = if id == "new" { 11_000 } else { 1_000 };
                    register_started_at(world, started_at, sequence, false);
                }
            };
            register(&mut world, "new", 1);
            assert!(admits_flows(&mut world, 1));
            world.request(1, super::world::agent_address(AGENT));
            restart_agent(&mut world);
            for sequence in 2..=6 {
                register(&mut world, "new", sequence);
                world.run(Duration::from_secs(1));
            }
            register(&mut world, "old", late);
            request_through_another_balancer(&mut world, 1);
            assert_eq!(world.resets(), 0, "{reports_start_time} {late}");
        }
    }
}

// Guards against a new back end that gets no flows for long in place of one that has left: its
// start time proves that it runs.
#[test]
fn a_back_end_that_started_later_than_a_draining_one_gets_flows_at_once() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 40, true);
    assert!(!admits_flows(&mut world, 1));
    register_started_at(&mut world, 11_000, 1, false);
    assert!(admits_flows(&mut world, 2));
}

// The same if nothing runs at the address in between.
#[test]
fn a_back_end_gets_flows_at_once_if_its_address_was_vacant_after_a_departure() {
    let mut world = world_with_restarted_agent();
    deregister_id(&mut world, "old");
    let now = world.now;
    let agent = world.agents.get_mut(&super::world::agent_address(AGENT));
    agent.expect("known").handle_refused_packet(now);
    register(&mut world, "new", 1, false);
    assert!(admits_flows(&mut world, 1));
}

// Guards against a departure that is undone by a replica which goes on naming the back end as the
// one that serves: an agent that didn't know of the departure had reported that.
#[test]
fn a_departure_holds_although_the_same_replica_names_the_back_end_as_serving() {
    let mut world = world_with_restarted_agent();
    register(&mut world, "new", 1, false);
    let serving = backend_digest("new", None);
    world.start_agent(AGENT);
    let status = GroupStatus {
        draining_backends: vec![serving],
        serving_backend: serving,
        ..GroupStatus::default()
    };
    world.restore_draining(AGENT, status);
    register(&mut world, "new", 11, false);
    assert!(!admits_flows(&mut world, 1));
}

// A departure was acknowledged, and holds whatever the back end says later.
#[test]
fn a_back_end_that_is_ready_again_after_draining_gets_no_flows() {
    for is_restarted in [false, true] {
        let mut world = world_with_restarted_agent();
        register(&mut world, "backend", 1, false);
        register(&mut world, "backend", 2, true);
        if is_restarted {
            world.run(MILLI);
            world.restart_agent_with_draining(AGENT);
        }
        for sequence in 3..16 {
            register(&mut world, "backend", sequence, false);
            assert!(!admits_flows(&mut world, sequence as u16), "{is_restarted}");
            world.run(Duration::from_secs(1));
        }
    }
}

// Guards against a deregistration that a restarted agent takes for a repeated one, as an earlier
// back end of the same name had deregistered, so that it goes on trusting the one that served (DRAIN).
#[test]
fn a_deregistration_of_a_reused_name_holds_before_the_first_registration() {
    let mut world = world_with_restarted_agent();
    register_started_at(&mut world, 1_000, 1, false);
    deregister(&mut world);
    let left_at = world.now;
    register_until_proved(&mut world, left_at, 1, |world, sequence| {
        register_started_at(world, 11_000, sequence, false);
    });
    world.run(Duration::from_secs(1));
    world.restart_agent_with_draining(AGENT);
    deregister(&mut world);
    register_started_at(&mut world, 11_000, 30, false);
    assert!(!admits_flows(&mut world, 1));
}
