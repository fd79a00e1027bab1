//! Doubled packets during a hunt, and what stays behind of ended flows.

use std::time::Duration;

use petrellatch_proto::data::{DataDatagram, ForwardKind};
use petrellatch_proto::envelope::Body;

use crate::agent_node::AgentOutput;
use crate::identity::{NodeId, ServiceId};

use super::world::{DESK, World};

/// Long enough for flows that wait for late packets, and for every redirect
/// that is not needed any more.
const QUIET: Duration = Duration::from_secs(75);

/// Three agents; all buckets belong to the first one, whose slots are taken.
fn world_with_full_owner(seed: u64) -> World {
    let mut world = World::new(seed, 3);
    world.control.place(DESK, &[(1, 1_000), (2, 1), (3, 1)], 1);
    world.publish();
    world.run(Duration::from_secs(3));
    world.service_time = Duration::from_secs(300);
    for number in 0..7 {
        world.call(number, "long\n");
        world.run(Duration::from_millis(5));
    }
    world.service_time = Duration::from_millis(5);
    world
}

fn redirects(world: &World, name: &str) -> usize {
    let services = &world.agents[name].services;
    services[&ServiceId(DESK)].admission.redirects.len()
}

fn redirects_of_all(world: &World) -> usize {
    let names = world.agents.keys();
    names.map(|name| redirects(world, name)).sum()
}

/// Ends a flow from the caller's side and lets the end arrive.
fn finish(world: &mut World, number: u16) {
    world.caller(number).finish();
    world.say(number, "");
    world.run(Duration::from_millis(20));
}

fn hunted_forwards(world: &mut World, name: &str) -> Vec<DataDatagram> {
    let agent = world.agents.get_mut(name).unwrap();
    let mut hunted = Vec::new();
    while let Some(output) = agent.poll_output() {
        if let AgentOutput::Forward { datagram, .. } = output
            && datagram.kind() == ForwardKind::Hunted
        {
            hunted.push(datagram);
        }
    }
    hunted
}

fn hunt_replies(world: &mut World, name: &str) -> Vec<bool> {
    let agent = world.agents.get_mut(name).unwrap();
    let mut replies = Vec::new();
    while let Some(output) = agent.poll_output() {
        if let AgentOutput::Send { envelope, .. } = output
            && let Some(Body::HuntReply(reply)) = envelope.body
        {
            replies.push(reply.admitted);
        }
    }
    replies
}

#[test]
fn redirects_of_short_flows_are_forgotten_when_the_flows_end() {
    let mut world = world_with_full_owner(31);
    for number in 100..160 {
        world.call(number, "short\n");
        world.run(Duration::from_millis(15));
        finish(&mut world, number);
    }
    assert_eq!(world.unanswered(100..160, ":short;"), []);
    world.run(Duration::from_secs(2));
    assert_eq!(redirects_of_all(&world), 0);
}

#[test]
fn a_former_owner_forgets_redirects_that_the_new_owner_knows() {
    let mut world = world_with_full_owner(32);
    for number in 100..105 {
        world.call(number, "one\n");
        world.run(Duration::from_millis(30));
    }
    assert_eq!(redirects(&world, "a"), 5);
    world.control.place(DESK, &[(1, 0), (2, 1_000)], 1);
    world.publish();
    world.run(QUIET);
    assert_eq!(redirects(&world, "a"), 0);
    // The flows are still found, also by way of the former owner.
    for number in 100..105 {
        world.say(number, "two\n");
    }
    world.run(Duration::from_secs(3));
    assert_eq!(world.unanswered(100..105, ":two;"), []);
    assert_eq!(world.requests_like("two"), 5);
}

#[test]
fn a_doubled_opening_packet_is_passed_on_once() {
    let mut world = world_with_full_owner(33);
    let datagram = world.opening_datagram(100);
    let now = world.now;
    hunted_forwards(&mut world, "a");
    let agent = world.agents.get_mut("a").unwrap();
    agent.handle_datagram(now, datagram.clone());
    agent.handle_datagram(now, datagram.clone());
    assert_eq!(hunted_forwards(&mut world, "a").len(), 1);
    // A double that took long decides nothing either, even if nothing was
    // heard of the asked agent.
    let late = now + Duration::from_millis(600);
    let admitted = world.agents["a"].counters().admitted;
    let agent = world.agents.get_mut("a").unwrap();
    agent.handle_datagram(late, datagram.clone());
    assert_eq!(hunted_forwards(&mut world, "a").len(), 0);
    assert_eq!(world.agents["a"].counters().admitted, admitted);
    // What the caller sends again after a second is passed on again: the first
    // one may be lost.
    let later = now + Duration::from_secs(1);
    let agent = world.agents.get_mut("a").unwrap();
    agent.handle_datagram(later, datagram);
    assert_eq!(hunted_forwards(&mut world, "a").len(), 1);
}

#[test]
fn a_doubled_hunt_gets_the_same_answer_twice() {
    let mut world = world_with_full_owner(34);
    let mut datagram = world.opening_datagram(100);
    let now = world.now;
    let agent = world.agents.get_mut("b").unwrap();
    datagram.kind = ForwardKind::Hunted as i32;
    datagram.backend = 2;
    datagram.sender = NodeId::from_name("a").0;
    datagram.incarnation = agent.link().identity().incarnation.0;
    agent.set_backend_draining(now, crate::identity::BackendId(2), true);
    agent.handle_datagram(now, datagram.clone());
    agent.set_backend_draining(now, crate::identity::BackendId(2), false);
    agent.handle_datagram(now, datagram);
    assert_eq!(hunt_replies(&mut world, "b"), [false, false]);
    assert_eq!(world.agents["b"].open_flows(), 0);
}

#[test]
fn doubled_packets_break_no_flow_while_slots_are_scarce() {
    for seed in 0..8 {
        let mut world = world_with_full_owner(seed);
        world.duplicate_permille = 500;
        world.greatest_delay = Duration::from_millis(8);
        world.service_time = Duration::from_millis(30);
        for number in 100..160 {
            world.call(number, &format!("request-{number}\n"));
            world.run(Duration::from_millis(2));
        }
        world.run(Duration::from_secs(5));
        for number in 100..160 {
            let text = world.caller(number).text();
            let refused = text.contains("X-Petrellatch-Not-Run: 1");
            let ran = world.requests_like(&format!("request-{number}"));
            let answered = text.ends_with(&format!(":request-{number};"));
            assert!(answered || refused, "seed {seed}, flow {number}: {text}");
            assert_eq!(ran, usize::from(answered), "seed {seed}, flow {number}");
        }
    }
}

#[test]
fn addresses_of_agents_that_left_are_forgotten() {
    let mut world = World::new(35, 2);
    let node = NodeId::from_name("b");
    world.agents.remove("b");
    world.control.fence(node);
    world.publish();
    world.run(Duration::from_secs(1));
    assert_eq!(world.agents["a"].directory.former_count(), 1);
    world.run(QUIET);
    assert_eq!(world.agents["a"].directory.former_count(), 0);
}

#[test]
fn flows_passed_to_a_dead_agent_are_decided_again_before_it_is_fenced() {
    for seed in 36..40 {
        let mut world = world_with_full_owner(seed);
        world.frozen.insert("b".to_owned());
        for number in 100..140 {
            world.call(number, "one\n");
            world.run(Duration::from_millis(10));
        }
        world.run(Duration::from_secs(3));
        assert_eq!(world.unanswered(100..140, ":one;"), [], "seed {seed}");
        assert_eq!(world.requests_like("one"), 40);
    }
}

#[test]
fn every_agent_knows_the_load_of_idle_back_ends() {
    let world = World::new(41, 3);
    for agent in world.agents.values() {
        let loads = &agent.services[&ServiceId(DESK)].loads;
        assert_eq!(loads.reported_count(), 3);
    }
}
