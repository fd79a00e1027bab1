//! Back ends that fail, and words of back ends that mislead.

use std::time::Duration;

use crate::identity::BackendId;

use super::super::BackendEvent;
use super::world::{DESK, World, source};

const NAMES: [(&str, u64); 4] = [("a", 1), ("b", 2), ("c", 3), ("d", 4)];

fn say_draining(world: &mut World, draining: bool, names: &[(&str, u64)]) {
    let now = world.now;
    for (name, backend) in names {
        let agent = world.agents.get_mut(*name).unwrap();
        agent.set_backend_draining(now, BackendId(*backend), draining);
    }
    world.run(Duration::from_secs(1));
}

fn call_slowly(world: &mut World, numbers: std::ops::Range<u16>) {
    for number in numbers {
        world.call(number, "one\n");
        world.run(Duration::from_millis(25));
    }
    world.run(Duration::from_secs(2));
}

fn admitted(world: &World, name: &str) -> u64 {
    world.agents[name].counters().admitted
}

#[test]
fn one_draining_back_end_gets_nothing_new() {
    let mut world = World::new(51, 4);
    say_draining(&mut world, true, &NAMES[2..3]);
    call_slowly(&mut world, 0..40);
    assert_eq!(world.unanswered(0..40, ":one;"), []);
    assert_eq!(admitted(&world, "c"), 0);
    say_draining(&mut world, false, &NAMES[2..3]);
    call_slowly(&mut world, 40..80);
    assert!(admitted(&world, "c") > 0);
}

#[test]
fn misleading_words_take_out_at_most_half_of_the_back_ends() {
    let mut world = World::new(52, 4);
    say_draining(&mut world, true, &NAMES);
    call_slowly(&mut world, 0..40);
    assert_eq!(world.unanswered(0..40, ":one;"), []);
    let served = NAMES.iter().filter(|(name, _)| admitted(&world, name) > 0);
    assert_eq!(served.count(), 2);
}

/// Resets the connection of each flow at agent a that got a request.
fn fail_requests(world: &mut World, name: &str, numbers: std::ops::Range<u16>) {
    for number in numbers {
        world.call(number, "one\n");
        world.run(Duration::from_millis(5));
        for flow in world.connections_of(name) {
            world.backend_event(name, flow, BackendEvent::Reset);
        }
        world.run(Duration::from_millis(20));
    }
}

#[test]
fn a_back_end_that_fails_requests_attracts_no_more() {
    let mut world = World::new(53, 3);
    world.service_time = Duration::from_millis(15);
    fail_requests(&mut world, "a", 0..60);
    let failed = world.agents["a"].counters().broken;
    assert_eq!(failed, 4, "three close it, and one tries it after a second");
    // It works again and is used again.
    world.run(Duration::from_secs(5));
    let before = admitted(&world, "a");
    call_slowly(&mut world, 100..140);
    assert_eq!(world.unanswered(100..140, ":one;"), []);
    assert!(admitted(&world, "a") > before + 5);
    assert!(world.callers.contains_key(&source(0)));
}

/// The health of back end 1 by its agent.
fn health(world: &World) -> u32 {
    world.agents["a"].backends[&BackendId(1)].health.health()
}

#[test]
fn a_back_end_without_flows_is_found_to_work_again() {
    let mut world = World::new(57, 4);
    world.dead_servers.insert(8_001);
    call_slowly(&mut world, 0..60);
    assert_eq!(health(&world), 0);
    // The policy gives it nothing, so that no flow tries it any more.
    let others = [(1, 0), (2, 1_000), (3, 1_000), (4, 1_000)];
    world.control.place(DESK, &others, 1);
    world.publish();
    world.run(Duration::from_secs(20));
    assert_eq!(health(&world), 0);
    world.dead_servers.clear();
    world.run(Duration::from_secs(40));
    assert!(health(&world) >= 800);
    assert_eq!(admitted(&world, "a"), 0);
}
