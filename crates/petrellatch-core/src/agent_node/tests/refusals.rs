//! Limits, hunting and refusals.

use std::time::Duration;

use super::super::{AgentSettings, BackendEvent};
use super::world::{DESK, GALLERY, World};

fn refused(world: &World) -> u64 {
    let agents = world.agents.values();
    agents.flat_map(|it| it.counters().refused.values()).sum()
}

/// Flows wait only if a slot is expected to be free in a tenth of a second.
fn short_wait() -> AgentSettings {
    AgentSettings {
        wait_limit: Duration::from_millis(100),
        ..AgentSettings::default()
    }
}

fn hunted(world: &World) -> u64 {
    world.agents.values().map(|it| it.counters().hunted).sum()
}

#[test]
fn flows_without_room_go_where_there_is_room() {
    let mut world = World::new(21, 3);
    // All buckets belong to one back end, which has seven slots.
    world.control.place(DESK, &[(1, 1_000), (2, 1), (3, 1)], 1);
    world.publish();
    world.run(Duration::from_secs(3));
    world.service_time = Duration::from_secs(2);
    for number in 0..18 {
        world.call(number, "one\n");
        world.run(Duration::from_millis(5));
    }
    world.run(Duration::from_secs(4));
    assert_eq!(world.unanswered(0..18, ":one;"), []);
    assert!(hunted(&world) >= 11, "{}", hunted(&world));
    assert_eq!(refused(&world), 0);
}

#[test]
fn without_hunting_flows_are_refused_beside_free_slots() {
    let mut settings = short_wait();
    settings.mutations.no_hunting = true;
    let mut world = World::with_settings(21, 3, settings);
    world.control.place(DESK, &[(1, 1_000), (2, 1), (3, 1)], 1);
    world.publish();
    world.run(Duration::from_secs(3));
    world.service_time = Duration::from_secs(2);
    for number in 0..18 {
        world.call(number, "one\n");
        world.run(Duration::from_millis(5));
    }
    world.run(Duration::from_secs(4));
    assert!(refused(&world) > 0);
}

#[test]
fn a_refused_request_did_not_run_and_is_told_when_to_come_back() {
    let mut world = World::with_settings(22, 1, short_wait());
    world.service_time = Duration::from_secs(3);
    for number in 0..30 {
        world.call(number, &format!("request-{number}\n"));
    }
    world.run(Duration::from_millis(200));
    let mut refusals = 0;
    for number in 0..30 {
        let text = world.caller(number).text();
        if text.contains("X-Petrellatch-Not-Run: 1") {
            refusals += 1;
            assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
            assert!(text.contains("Retry-After: "), "{text}");
            assert_eq!(world.requests_like(&format!("request-{number}")), 0);
        }
    }
    assert!(refusals >= 16, "{refusals} were refused at once");
    world.run(Duration::from_secs(10));
    for number in 0..30 {
        let answered = world.caller(number).text().contains(":request-");
        let ran = world.requests_like(&format!("request-{number}"));
        assert_eq!(ran, usize::from(answered));
    }
}

#[test]
fn a_service_may_refuse_by_reset() {
    let mut world = World::new(23, 1);
    world.control.place(GALLERY, &[(9, 1_000)], 0);
    world.publish();
    world.run(Duration::from_secs(3));
    world.dead_servers.insert(8_009);
    world.call_service(GALLERY, 1, "photo\n");
    world.run(Duration::from_millis(50));
    let state = world.caller(1).state();
    assert_eq!(state, smoltcp::socket::tcp::State::Closed);
    assert_eq!(world.requests_like("photo"), 0);
}

#[test]
fn a_back_end_that_sheds_before_the_request_is_refused_as_not_run() {
    let mut world = World::new(24, 1);
    world.call(1, "");
    world.run(Duration::from_millis(50));
    let flow = world.connections_of("a")[0];
    world.backend_event("a", flow, BackendEvent::Reset);
    world.run(Duration::from_millis(50));
    world.say(1, "one\n");
    world.run(Duration::from_secs(1));
    assert!(world.caller(1).text().contains("X-Petrellatch-Not-Run: 1"));
    assert_eq!(world.requests_like("one"), 0);
}

#[test]
fn the_fleet_returns_to_normal_after_an_overload() {
    let mut world = World::new(25, 3);
    for number in 0..200 {
        world.call(number, "one\n");
    }
    world.run(Duration::from_secs(2));
    assert!(refused(&world) > 0);
    let before = refused(&world);
    for number in 300..340 {
        world.call(number, "one\n");
        world.run(Duration::from_millis(10));
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.unanswered(300..340, ":one;"), []);
    assert_eq!(refused(&world), before);
}

#[test]
fn flows_are_refused_at_once_if_no_back_end_receives_any() {
    let mut world = World::new(26, 3);
    for number in 0..30 {
        world.call(number, "one\n");
        world.run(Duration::from_millis(25));
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.unanswered(0..30, ":one;"), []);
    world.control.place(DESK, &[(1, 0), (2, 0), (3, 0)], 1);
    world.publish();
    world.run(Duration::from_millis(200));
    for number in 100..120 {
        world.call(number, "refused\n");
    }
    world.run(Duration::from_millis(200));
    let not_run = "X-Petrellatch-Not-Run: 1";
    assert_eq!(world.unanswered(100..120, not_run), []);
    assert_eq!(world.unanswered(100..120, "Retry-After: "), []);
    assert_eq!(world.requests_like("refused"), 0);
    // Open flows go on.
    for number in 0..30 {
        world.say(number, "two\n");
    }
    world.run(Duration::from_secs(3));
    assert_eq!(world.unanswered(0..30, ":two;"), []);
    world.control.place(DESK, &[(1, 1_000), (2, 0), (3, 0)], 1);
    world.publish();
    world.run(Duration::from_millis(200));
    world.call(200, "again\n");
    world.run(Duration::from_secs(1));
    assert_eq!(world.unanswered(200..201, ":again;"), []);
}
