//! One balancer and its agents, packet by packet: new flows, lost flows and readiness.

use std::time::Duration;

use super::world::{MILLI, World, agent_address};

#[test]
fn a_flow_opens_and_its_packets_reach_its_back_end() {
    let mut world = World::new(3, 2);
    world.open(1, 0);
    let agent = world.accepted_by(1).expect("the flow is accepted");
    world.request(1, agent);
    assert_eq!(world.data_packets_at(agent), 1);
    assert_eq!(world.resets(), 0);
}

#[test]
fn new_flows_spread_by_load_and_are_refused_at_once_when_all_queues_are_full() {
    let mut world = World::new(2, 2);
    for port in 1..=4 {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("the flow is accepted");
        world.request(port, agent);
    }
    for agent in [agent_address(1), agent_address(2)] {
        assert_eq!(world.data_packets_at(agent), 2);
    }
    for port in 5..=12 {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("the flow is queued");
        world.request(port, agent);
    }
    world.open(13, 0);
    assert_eq!(world.resets(), 1, "all queues are full");
}

#[test]
fn a_flow_is_queued_by_the_one_agent_that_has_capacity() {
    for free in 1..=6 {
        let mut world = World::new(6, 2);
        let others = (1..=6).filter(|index| *index != free);
        for index in others {
            world.fill_from_other_balancer(index, 6);
        }
        world.fill_from_other_balancer(free, 3);
        world.open(1, 0);
        assert_eq!(world.accepted_by(1), Some(agent_address(free)));
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn a_paused_agent_delays_new_flows_only_briefly() {
    let mut world = World::new(2, 4);
    world.paused.push(agent_address(1));
    for port in 1..=6 {
        world.open(port, 0);
    }
    world.run(100 * MILLI);
    for port in 1..=6 {
        assert_eq!(world.accepted_by(port), Some(agent_address(2)));
    }
}

#[test]
fn a_draining_back_end_gets_no_new_flow_and_keeps_its_open_ones() {
    let mut world = World::new(2, 4);
    world.open(1, 0);
    let agent = world.accepted_by(1).expect("the flow is accepted");
    world.request(1, agent);
    world.register(agent.ip().octets()[3], 4, true, 2);
    for port in 2..=5 {
        world.open(port, 0);
        assert_ne!(world.accepted_by(port), Some(agent));
    }
    world.request(1, agent);
    assert_eq!(world.data_packets_at(agent), 2);
}

#[test]
fn a_late_registration_does_not_undo_draining_or_deregistration() {
    let mut world = World::new(1, 4);
    world.register(1, 4, true, 5);
    world.register(1, 4, false, 4);
    world.open(1, 0);
    assert_eq!(world.accepted_by(1), None);
    let agent = world
        .agents
        .get_mut(&agent_address(1))
        .expect("the agent exists");
    agent.handle_deregistration(world.now, "backend-1");
    world.register(1, 4, false, 9);
    world.open(2, 0);
    assert_eq!(world.accepted_by(2), None);
}

#[test]
fn a_restarted_balancer_finds_open_flows() {
    let mut world = World::new(3, 4);
    world.open(1, 0);
    let agent = world.accepted_by(1).expect("the flow is accepted");
    world.request(1, agent);
    let agents = std::mem::take(&mut world.agents);
    let mut restarted = World::new(0, 0);
    restarted.now = world.now;
    restarted.agents = agents;
    restarted.backends = std::mem::take(&mut world.backends);
    restarted.run(Duration::from_secs(1));
    restarted.request(1, agent);
    assert_eq!(restarted.data_packets_at(agent), 2);
    let others = restarted.agents.keys().filter(|other| **other != agent);
    let misdelivered: usize = others.map(|other| restarted.data_packets_at(*other)).sum();
    assert_eq!(
        misdelivered, 0,
        "no other back end may get packets of the flow"
    );
}

#[test]
fn callers_that_gave_up_do_not_occupy_slots() {
    let mut world = World::new(2, 3);
    for port in 1..=18 {
        world.open(port, 0);
    }
    world.run(200 * MILLI);
    let before = world.resets();
    for port in 101..=106 {
        world.open(port, 0);
        assert!(world.accepted_by(port).is_some(), "slots are free");
    }
    assert_eq!(world.resets(), before);
}

#[test]
fn a_balancer_drops_the_syns_that_waited_during_a_process_pause() {
    let mut world = World::new(2, 4);
    world.pause_all(Duration::from_secs(4));
    for port in 1..=30 {
        world.open(port, 0);
    }
    assert_eq!(world.resets(), 0, "their callers have given up");
    let reached: usize = world.backends.values().map(|it| it.received.len()).sum();
    assert_eq!(reached, 0);
    world.run(100 * MILLI);
    world.open(31, 0);
    assert!(world.accepted_by(31).is_some());
}

#[test]
fn packets_of_flows_without_owner_cost_few_messages() {
    let mut world = World::new(10, 4);
    for round in 0..20 {
        for port in 1..=300 {
            world.request(port, agent_address(1));
        }
        world.run(10 * MILLI);
        assert_eq!(world.resets(), 0, "in round {round}");
    }
    // 2,000 flow queries at once, and 2,000 per second for 210 ms.
    let budget = 2_000 + 2_000 * 210 / 1_000;
    assert!(
        world.flow_queries <= budget,
        "{} flow queries",
        world.flow_queries
    );
    let received: usize = world.backends.values().map(|it| it.received.len()).sum();
    assert!(
        received <= 300,
        "{received} packets at back ends that own no flow"
    );
}

#[test]
fn a_flow_is_offered_once_although_all_agents_reply_late() {
    let mut world = World::new(6, 4);
    // Every reply takes longer than the first reply timeout.
    world.delay_replies(150 * MILLI);
    for port in 1..=20 {
        world.open(port, 0);
        world.run(200 * MILLI);
    }
    let before = world.balancer.counters();
    for port in 21..=40 {
        world.open(port, 0);
        world.run(200 * MILLI);
    }
    let after = world.balancer.counters();
    assert_eq!(after.placed - before.placed, 20, "one offer per flow");
    assert_eq!(after.unanswered, before.unanswered);
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_balancer_without_replies_is_not_ready() {
    let mut world = World::new(2, 4);
    world.paused = vec![agent_address(1), agent_address(2)];
    world.run(500 * MILLI);
    assert!(
        world.balancer.is_ready(world.now),
        "a short silence does not make it unready"
    );
    world.run(200 * MILLI);
    assert!(!world.balancer.is_ready(world.now));
    world.paused.clear();
    world.open(1, 0);
    assert!(world.balancer.is_ready(world.now), "an agent has replied");
}

#[test]
fn flows_that_never_open_expire_soon() {
    let mut world = World::new(2, 4);
    for port in 1..=500 {
        world.open(port, 0);
        world.request(port + 500, agent_address(1));
    }
    world.run(200 * MILLI);
    world.open(2_000, 0);
    let agent = world.accepted_by(2_000).expect("the flow is accepted");
    world.request(2_000, agent);
    world.run(Duration::from_secs(5));
    let (flows, _) = world.balancer.table_sizes();
    assert_eq!(flows, 1, "only the open flow is left");
}

#[test]
fn a_flow_is_offered_to_starting_agents_when_no_other_one_accepts_it() {
    let mut world = World::new(0, 4);
    for index in 1..=3 {
        world.start_agent(index);
    }
    world.run(5 * MILLI);
    world.open(1, 0);
    assert!(world.accepted_by(1).is_some(), "a back end is available");
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_refusal_logs_the_replies_of_the_agents() {
    let mut world = World::new(3, 2);
    for index in 1..=3 {
        world.fill_from_other_balancer(index, 6);
    }
    world.open(1, 0);
    let refusal = world.refusals.pop().expect("all agents are full");
    // Each agent is offered the flow twice: for a free slot, and for its queue.
    assert!(
        refusal.contains(" asked=6 full=6 late=0 other=0"),
        "{refusal}"
    );
    let mut no_agents = World::new(0, 0);
    // By now the balancer no longer waits for its first directory.
    no_agents.run(600 * MILLI);
    no_agents.open(1, 0);
    let refusal = no_agents.refusals.pop().expect("there is no agent");
    assert!(refusal.contains(" asked=0 "), "{refusal}");
}

#[test]
fn packets_of_a_lost_flow_are_not_spread_over_back_ends() {
    let mut world = World::new(6, 4);
    // Both the flow's agent and its balancer have restarted. The caller retransmits its
    // packet.
    for _ in 0..8 {
        world.request(1, agent_address(9));
        world.run(1_600 * MILLI);
    }
    let received: usize = world.backends.values().map(|it| it.received.len()).sum();
    assert!(
        received < 3,
        "{received} packets at back ends that do not own the flow"
    );
}

#[test]
fn a_lost_flow_is_found_once_its_back_end_sends_data() {
    let mut world = World::new(3, 4);
    world.request(1, agent_address(2));
    world.run(300 * MILLI);
    assert_eq!(world.data_packets_at(agent_address(2)), 0);
    // The back end retransmits data that the caller has not acknowledged.
    world.send_backend_data(agent_address(2), 1);
    world.request(1, agent_address(2));
    assert_eq!(world.data_packets_at(agent_address(2)), 1);
    assert_eq!(world.data_packets_at(agent_address(1)), 0);
    assert_eq!(world.data_packets_at(agent_address(3)), 0);
}
