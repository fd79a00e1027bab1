//! Calls of back ends that arrive after a newer life has called.

use std::time::Duration;

use petrellatch_core::pass_through::Registration;

use super::world::{MILLI, SERVICE, World};

const AGENT: u8 = 1;

fn call(world: &mut World, id: &str, call_number: u64, draining: bool) {
    let call = Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: call_number,
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(AGENT, &call);
    world.run(MILLI);
}

/// Whether a new flow is taken.
fn takes_flows(world: &mut World, port: u16) -> bool {
    world.open(port, 0);
    world.accepted_by(port).is_some()
}

/// An agent that has started beside a back end that may have called before.
fn restarted() -> World {
    let mut world = World::new(0, 4);
    world.start_agent(AGENT);
    world
}

#[test]
fn a_back_end_that_leaves_is_heard_after_a_late_call_of_its_predecessor() {
    let mut world = restarted();
    call(&mut world, "new", 1, false);
    call(&mut world, "old", 40, false);
    call(&mut world, "new", 2, true);
    assert!(!takes_flows(&mut world, 1));
}

#[test]
fn a_late_call_that_says_ready_does_not_take_a_goodbye_back() {
    let mut world = restarted();
    call(&mut world, "new", 1, true);
    call(&mut world, "old", 2, false);
    assert!(!takes_flows(&mut world, 1));
    let agent = super::world::agent_address(AGENT);
    let now = world.now;
    let withdrawn = world.agents.get_mut(&agent).expect("known");
    withdrawn.handle_deregistration(now, "new");
    call(&mut world, "old", 3, false);
    world.run(MILLI);
    // Two calls: it goes on, so it is the one that runs.
    call(&mut world, "next", 1, false);
    call(&mut world, "next", 2, false);
    assert!(takes_flows(&mut world, 2));
}

#[test]
fn the_living_one_is_heard_although_a_late_call_came_first() {
    let mut world = restarted();
    call(&mut world, "old", 40, false);
    call(&mut world, "new", 50, true);
    assert!(
        !takes_flows(&mut world, 1),
        "whoever runs may be the one that leaves"
    );
    call(&mut world, "new", 51, true);
    assert!(!takes_flows(&mut world, 2));
}

#[test]
fn a_goodbye_counts_although_a_late_call_came_first() {
    let mut world = restarted();
    call(&mut world, "old", 40, false);
    let agent = super::world::agent_address(AGENT);
    let now = world.now;
    let agent = world.agents.get_mut(&agent).expect("known");
    agent.handle_deregistration(now, "new");
    world.run(MILLI);
    assert!(!takes_flows(&mut world, 1));
}

#[test]
fn a_late_call_that_says_it_leaves_holds_only_until_the_living_one_calls() {
    let mut world = restarted();
    call(&mut world, "new", 4, false);
    call(&mut world, "old", 40, true);
    assert!(!takes_flows(&mut world, 1));
    call(&mut world, "new", 5, false);
    assert!(takes_flows(&mut world, 2));
}

#[test]
fn a_new_life_is_offered_at_its_first_call() {
    let mut world = restarted();
    call(&mut world, "old", 40, false);
    call(&mut world, "new", 1, false);
    assert!(takes_flows(&mut world, 1));
    call(&mut world, "new", 2, true);
    assert!(!takes_flows(&mut world, 2));
}

#[test]
fn a_second_goodbye_of_a_back_end_that_has_left_does_not_stop_the_next_one() {
    let mut world = restarted();
    call(&mut world, "old", 40, true);
    let agent = super::world::agent_address(AGENT);
    for _ in 0..2 {
        let now = world.now;
        let agent = world.agents.get_mut(&agent).expect("known");
        agent.handle_deregistration(now, "old");
        call(&mut world, "new", 1, false);
        call(&mut world, "new", 2, false);
    }
    let now = world.now;
    let agent = world.agents.get_mut(&agent).expect("known");
    agent.handle_deregistration(now, "old");
    world.run(MILLI);
    assert!(takes_flows(&mut world, 1));
}

/// A call of `backend`, which says when it was born.
fn call_born(world: &mut World, born: u64, call_number: u64, draining: bool) {
    let call = Registration {
        id: "backend".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: Some(born),
        sequence: call_number,
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    world.send_registration(AGENT, &call);
    world.run(MILLI);
}

fn withdraw(world: &mut World) {
    let now = world.now;
    let agent = world.agents.get_mut(&super::world::agent_address(AGENT));
    agent.expect("known").handle_deregistration(now, "backend");
    world.run(MILLI);
}

#[test]
fn a_back_end_that_starts_again_under_its_name_is_taken_with_its_first_call() {
    let mut world = restarted();
    call_born(&mut world, 1_000, 40, false);
    // It crashed; the number of its calls begins anew.
    world.run(Duration::from_secs(9));
    assert!(!takes_flows(&mut world, 1), "it has been silent");
    call_born(&mut world, 11_000, 1, false);
    assert!(takes_flows(&mut world, 2));
}

#[test]
fn a_back_end_that_left_is_taken_when_it_starts_again_under_its_name() {
    let mut world = restarted();
    call_born(&mut world, 1_000, 40, true);
    withdraw(&mut world);
    call_born(&mut world, 1_000, 41, false);
    assert!(!takes_flows(&mut world, 1), "the life that left stays gone");
    call_born(&mut world, 11_000, 1, false);
    assert!(takes_flows(&mut world, 2));
}

#[test]
fn late_calls_of_a_former_life_change_nothing() {
    let mut world = restarted();
    call_born(&mut world, 11_000, 1, false);
    // They were held up, and come one after the other.
    call_born(&mut world, 1_000, 40, true);
    call_born(&mut world, 1_000, 41, true);
    call_born(&mut world, 1_000, 42, true);
    assert!(takes_flows(&mut world, 1));
    call_born(&mut world, 11_000, 2, true);
    call_born(&mut world, 1_000, 43, false);
    assert!(!takes_flows(&mut world, 2), "the one that runs leaves");
}

#[test]
fn a_life_whose_clock_was_set_back_is_taken_once_it_alone_goes_on_calling() {
    let mut world = restarted();
    call_born(&mut world, 99_000, 40, true);
    call_born(&mut world, 12_000, 1, false);
    assert!(!takes_flows(&mut world, 1));
    world.run(Duration::from_secs(2));
    call_born(&mut world, 12_000, 2, false);
    assert!(!takes_flows(&mut world, 2));
    world.run(Duration::from_secs(2));
    call_born(&mut world, 12_000, 3, false);
    assert!(takes_flows(&mut world, 3));
}

#[test]
fn an_agent_that_restarts_learns_which_life_has_left() {
    let mut world = restarted();
    call_born(&mut world, 1_000, 40, true);
    withdraw(&mut world);
    world.restart_agent_with_draining(AGENT);
    call_born(&mut world, 1_000, 41, false);
    assert!(!takes_flows(&mut world, 1));
    call_born(&mut world, 11_000, 1, false);
    assert!(takes_flows(&mut world, 2));
}

#[test]
fn a_call_for_another_service_changes_nothing() {
    let mut world = restarted();
    call_born(&mut world, 1_000, 1, false);
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
    assert!(takes_flows(&mut world, 1));
}
