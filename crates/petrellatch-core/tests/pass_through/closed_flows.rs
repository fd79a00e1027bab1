//! Searches for flows that their callers have closed.

use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const SLOTS: u32 = 4;

/// A world whose agents know for certain which flows their back ends own, with a balancer
/// that has just started.
fn world_with_certain_agents(agents: u8) -> World {
    let mut world = World::new(agents, SLOTS);
    for index in 1..=agents {
        world.acknowledge_report(index, false);
    }
    world.restart_balancer();
    world
}

#[test]
fn search_for_a_closed_flow_ends_when_all_replies_are_certain() {
    for agents in [5, 163] {
        let mut world = world_with_certain_agents(agents);
        world.notify_complete_directory();
        world.flow_queries = 0;
        world.close_flow(1, agent_address(1));
        world.run(200 * MILLI);
        let queries = world.flow_queries;
        world.run(Duration::from_secs(5));
        assert_eq!(world.flow_queries, queries, "no agent is queried again");
        assert_eq!(world.resets(), 0, "its caller awaits no response");
        assert!(
            world.inconclusive_searches.is_empty(),
            "{:?}",
            world.inconclusive_searches
        );
    }
}

#[test]
fn search_for_a_closed_flow_ends_soon_with_an_incomplete_directory() {
    let mut world = world_with_certain_agents(5);
    world.close_flow(1, agent_address(1));
    world.run(Duration::from_secs(1));
    let queries = world.flow_queries;
    world.run(Duration::from_secs(5));
    assert_eq!(world.flow_queries, queries, "no agent is queried again");
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_fin_reaches_the_owner_after_its_agent_was_silent() {
    for agents in [5, 46] {
        let mut world = World::new(agents, SLOTS);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("a SYN-ACK");
        world.request(1, agent);
        (1..=agents).for_each(|index| world.acknowledge_report(index, false));
        world.restart_balancer();
        world.notify_complete_directory();
        world.paused = vec![agent];
        world.close_flow(1, agent);
        world.run(400 * MILLI);
        world.paused.clear();
        world.run(Duration::from_secs(1));
        let received = &world.backends[&agent].received;
        assert!(received.iter().any(|view| view.fin), "{agents} agents");
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn an_inconclusive_search_logs_the_missing_agents() {
    let mut world = world_with_certain_agents(5);
    world.paused = vec![agent_address(2), agent_address(4)];
    world.request(1, agent_address(1));
    world.run(Duration::from_secs(15));
    let [line] = world.inconclusive_searches.as_slice() else {
        panic!("expected one line, got {:?}", world.inconclusive_searches);
    };
    let names = " missing_agents=10.0.1.2:7000,10.0.1.4:7000 ";
    assert!(line.contains(names), "{line}");
}
