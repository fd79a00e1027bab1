//! When an agent may deny for certain that its back end owns a flow.

use std::time::Duration;

use super::agent_with_group::AgentWithGroup;
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);
const FLOW_TTL: Duration = Duration::from_secs(60);

/// Lets the back end register twice, as one that has just started.
fn register_early(world: &mut AgentWithGroup) {
    world.register(1, false);
    world.run(SECOND);
    world.register(2, false);
}

// Guards against the reset of flows of a back end that had just started when all processes were
// killed (FLOW): the replicas had forgotten that there was an agent before.
#[test]
fn an_agent_denies_no_flow_after_all_processes_were_killed() {
    for replicas in [3, 5] {
        let mut world = AgentWithGroup::new(replicas, false);
        world.kill_all(replicas);
        register_early(&mut world);
        for _ in 0..11 {
            assert!(!world.denies_unknown_flow(), "{replicas} replicas");
            world.run(SECOND);
        }
    }
}

// Guards against the same if only some of the replicas have forgotten it, or can't be asked.
#[test]
fn an_agent_denies_no_flow_if_one_replica_may_know_of_an_agent_before() {
    for is_restarted in [true, false] {
        let mut world = AgentWithGroup::new(3, false);
        world.group.kill(1);
        if is_restarted {
            world.group.restart(1);
        }
        world.run(20 * SECOND);
        world.remove_agent();
        world.run(100 * SECOND);
        world.group.kill(2);
        if is_restarted {
            world.group.restart(2);
        }
        world.start_agent();
        register_early(&mut world);
        assert!(!world.denies_unknown_flow(), "restarted: {is_restarted}");
    }
}

// Guards against callers of flows that have died, which are told late.
#[test]
fn a_new_agent_denies_unknown_flows_at_once() {
    let mut world = AgentWithGroup::without_agent(5);
    world.run(6 * SECOND);
    world.start_agent();
    world.run(20 * MILLI);
    assert!(world.denies_unknown_flow());
}

// The replicas remember again, and the first agent is long gone.
#[test]
fn a_new_agent_denies_unknown_flows_once_replicas_have_run_for_the_lifetime_of_a_flow() {
    let mut world = AgentWithGroup::without_agent(3);
    world.run(6 * SECOND);
    world.kill_replicas(3);
    world.restart_replicas(3);
    world.run(FLOW_TTL - SECOND);
    world.start_agent();
    world.run(100 * MILLI);
    assert!(!world.denies_unknown_flow());
    world.remove_agent();
    world.run(2 * FLOW_TTL + 10 * SECOND);
    world.start_agent();
    world.run(100 * MILLI);
    assert!(world.denies_unknown_flow());
}

#[test]
fn a_restarted_agent_denies_unknown_flows_once_it_is_older_than_them() {
    let mut world = AgentWithGroup::new(3, false);
    world.start_agent();
    register_early(&mut world);
    world.run(FLOW_TTL - 2 * SECOND);
    assert!(!world.denies_unknown_flow());
    world.run(2 * SECOND);
    assert!(world.denies_unknown_flow());
}
