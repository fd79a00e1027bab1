//! Buckets move between agents that go on.

use std::time::Duration;

use super::world::{DESK, Happening, World, source};

const SHORT: Duration = Duration::from_millis(10);

/// Opens flows on ports `0..count` and lets each have one answer.
fn open_flows(world: &mut World, count: u16) {
    for number in 0..count {
        world.call(number, "one\n");
        world.run(Duration::from_millis(25));
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.unanswered(0..count, ":one;"), []);
}

/// Checks that every flow is still at the back end where it began.
fn check_flows(world: &mut World, count: u16) {
    for number in 0..count {
        world.say(number, "two\n");
        world.run(SHORT);
    }
    world.run(Duration::from_secs(8));
    for number in 0..count {
        let text = world.caller(number).text();
        let answers: Vec<&str> = text.split(';').collect();
        assert_eq!(answers.len(), 3, "flow {number}: {text}");
        let (first, second) = (answers[0].split(':').next(), answers[1].split(':').next());
        assert_eq!(first, second, "flow {number}: {text}");
    }
    assert_eq!(world.requests_like("two"), usize::from(count));
}

#[test]
fn planned_moves_keep_open_flows() {
    let mut world = World::new(3, 3);
    open_flows(&mut world, 60);
    world
        .control
        .place(DESK, &[(1, 0), (2, 1_000), (3, 1_000)], 1);
    world.publish();
    world.run(SHORT);
    check_flows(&mut world, 60);
    let resets: u64 = world.agents.values().map(|it| it.counters().resets).sum();
    assert_eq!(resets, 0);
}

#[test]
fn two_moves_with_lost_reports_keep_open_flows() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3);
        open_flows(&mut world, 30);
        world.loss_permille = 400;
        world
            .control
            .place(DESK, &[(1, 0), (2, 1_000), (3, 1_000)], 3);
        world.publish();
        world.run(SHORT);
        world.control.place(DESK, &[(1, 0), (2, 0), (3, 1_000)], 3);
        world.publish();
        world.run(SHORT);
        world.control.place(DESK, &[(1, 1_000), (2, 0), (3, 0)], 3);
        world.publish();
        world.run(SHORT);
        world.loss_permille = 0;
        check_flows(&mut world, 30);
    }
}

#[test]
fn without_reported_flows_a_move_breaks_them() {
    let mut settings = crate::agent_node::AgentSettings::default();
    settings.mutations.forget_redirects = true;
    let mut world = World::with_settings(3, 3, settings);
    open_flows(&mut world, 30);
    world
        .control
        .place(DESK, &[(1, 0), (2, 1_000), (3, 1_000)], 1);
    world.publish();
    world.run(Duration::from_secs(3));
    for number in 0..30 {
        world.say(number, "two\n");
    }
    world.run(Duration::from_secs(8));
    assert!(!world.unanswered(0..30, ":two;").is_empty());
}

#[test]
fn flows_are_admitted_while_views_differ() {
    let mut world = World::new(5, 3);
    world.control.place(DESK, &[(1, 0), (2, 0), (3, 1_000)], 1);
    // The new owner knows, the balancers and the former owners don't yet.
    world.publish_to("c");
    for number in 0..40 {
        world.call(number, "one\n");
        world.run(SHORT);
        if number == 20 {
            world.publish_to("a");
        }
    }
    world.publish();
    world.run(Duration::from_secs(3));
    assert_eq!(world.unanswered(0..40, ":one;"), []);
    assert_eq!(world.requests_like("one"), 40);
}

#[test]
fn an_opening_packet_at_two_agents_is_admitted_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, 2);
        world.call(1, "one\n");
        let opening = world.opening_packet(1);
        world.control.place(DESK, &[(1, 0), (2, 1_000)], 1);
        world.publish_to("b");
        world.push_lossy(Happening::ToBalancer(0, opening.clone()));
        world.push_lossy(Happening::ToBalancer(1, opening.clone()));
        world.run(Duration::from_millis(2));
        world.publish();
        world.push_lossy(Happening::ToBalancer(0, opening));
        world.run(Duration::from_secs(4));
        let admitted: u64 = world.agents.values().map(|it| it.counters().admitted).sum();
        assert_eq!(admitted, 1, "seed {seed}");
        assert_eq!(world.requests_like("one"), 1);
        assert_eq!(world.unanswered(1..2, ":one;"), []);
    }
}

#[test]
fn an_unsettled_owner_says_so() {
    let mut world = World::new(6, 2);
    world.frozen.insert("a".to_owned());
    world.control.place(DESK, &[(1, 0), (2, 1_000)], 1);
    world.publish();
    world.run(Duration::from_millis(1_500));
    let unsettled = |world: &World| {
        let node = crate::identity::NodeId::from_name("b").0;
        let mut entries = world.control.heartbeats.iter();
        entries.any(|it| it.node == node && it.unsettled == [DESK])
    };
    assert!(unsettled(&world));
    world.frozen.clear();
    world.publish();
    world.run(Duration::from_millis(1_500));
    assert!(!unsettled(&world));
}

#[test]
fn a_port_is_used_again_while_its_redirect_exists() {
    let mut world = World::new(7, 2);
    open_flows(&mut world, 20);
    world.control.place(DESK, &[(1, 0), (2, 1_000)], 1);
    world.publish();
    world.run(Duration::from_secs(1));
    let moved: Vec<u16> = (0..20)
        .filter(|number| world.callers[&source(*number)].text().starts_with("8001"))
        .collect();
    assert!(!moved.is_empty());
    for number in moved {
        // The holder ends the flow; the owner does not know it yet.
        for flow in world.connections_of("a") {
            world.backend_event("a", flow, super::super::BackendEvent::Reset);
        }
        world.run(Duration::from_millis(2));
        world.call(number, "again\n");
        world.run(Duration::from_secs(3));
        assert_eq!(world.unanswered(number..number + 1, ":again;"), []);
    }
}

#[test]
fn a_planned_stop_serves_open_flows_to_their_end() {
    let mut world = World::new(8, 3);
    open_flows(&mut world, 30);
    let now = world.now;
    world.agents.get_mut("a").unwrap().begin_stop(now);
    let admitted = world.agents["a"].counters().admitted;
    for number in 30..50 {
        world.call(number, "one\n");
        world.run(SHORT);
    }
    world
        .control
        .place(DESK, &[(1, 0), (2, 1_000), (3, 1_000)], 1);
    world.publish();
    check_flows(&mut world, 30);
    assert_eq!(world.unanswered(30..50, ":one;"), []);
    assert_eq!(world.agents["a"].counters().admitted, admitted);
    assert!(!world.agents["a"].is_stopped());
    for number in 0..30 {
        world.caller(number).finish();
        world.say(number, "");
    }
    world.run(Duration::from_secs(5));
    assert!(world.agents["a"].is_stopped());
}

#[test]
fn a_planned_stop_ends_although_no_lease_is_granted_any_more() {
    let mut world = World::new(9, 3);
    world.call(1, "one\n");
    world.run(Duration::from_secs(1));
    world.control.refuses_leases = true;
    let now = world.now;
    world.agents.get_mut("a").unwrap().begin_stop(now);
    world.run(Duration::from_secs(5));
    assert!(
        !world.agents["a"].is_stopped(),
        "its lease is hardly over, and it still owns buckets"
    );
    world.caller(1).finish();
    world.say(1, "");
    world.run(Duration::from_secs(20));
    assert!(world.agents["a"].is_stopped());
}
