//! Searches for flows that their callers have ended.

use std::time::Duration;

use super::world::{MILLI, World, agent_address};

const CAPACITY: u32 = 4;

/// A world whose agents are certain which flows their back ends have.
fn world_of_certain_agents(agents: u8) -> World {
    let mut world = World::new(agents, CAPACITY);
    for index in 1..=agents {
        world.acknowledge_report(index, false);
    }
    world.restart_balancer();
    world
}

#[test]
fn the_search_for_an_ended_flow_is_over_once_all_are_certain() {
    for agents in [5, 163] {
        let mut world = world_of_certain_agents(agents);
        world.notify_complete_directory();
        world.flow_queries = 0;
        world.close_flow(1, agent_address(1));
        world.run(200 * MILLI);
        let seeks = world.flow_queries;
        world.run(Duration::from_secs(5));
        assert_eq!(world.flow_queries, seeks, "nobody is asked again");
        assert_eq!(world.resets(), 0, "its caller waits for nothing");
        assert!(
            world.inconclusive_searches.is_empty(),
            "{:?}",
            world.inconclusive_searches
        );
    }
}

#[test]
fn it_is_over_soon_although_the_directory_may_not_be_whole() {
    let mut world = world_of_certain_agents(5);
    world.close_flow(1, agent_address(1));
    world.run(Duration::from_secs(1));
    let seeks = world.flow_queries;
    world.run(Duration::from_secs(5));
    assert_eq!(world.flow_queries, seeks, "nobody is asked again");
    assert_eq!(world.resets(), 0);
}

#[test]
fn the_end_of_a_flow_reaches_a_back_end_whose_agent_was_silent() {
    for agents in [5, 46] {
        let mut world = World::new(agents, CAPACITY);
        world.open(1, 0);
        let agent = world.accepted_by(1).expect("an answer");
        world.request(1, agent);
        (1..=agents).for_each(|index| world.acknowledge_report(index, false));
        world.restart_balancer();
        world.notify_complete_directory();
        world.frozen = vec![agent];
        world.close_flow(1, agent);
        world.run(400 * MILLI);
        world.frozen.clear();
        world.run(Duration::from_secs(1));
        let received = &world.backends[&agent].received;
        assert!(received.iter().any(|view| view.fin), "{agents} agents");
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn a_search_without_a_verdict_names_the_agents_that_are_missing() {
    let mut world = world_of_certain_agents(5);
    world.frozen = vec![agent_address(2), agent_address(4)];
    world.request(1, agent_address(1));
    world.run(Duration::from_secs(15));
    let [told] = world.inconclusive_searches.as_slice() else {
        panic!("one line, not {:?}", world.inconclusive_searches);
    };
    let names = " missing_agents=10.0.1.2:7000,10.0.1.4:7000 ";
    assert!(told.contains(names), "{told}");
}
