//! Departures that an agent has acknowledged, after any restart of processes.

use std::time::Duration;

use super::agent_with_group::AgentWithGroup;
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);
/// How long a back end waits for an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a back end leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Draining,
    Deregistered,
}

const DEPARTURES: [Departure; 2] = [Departure::Draining, Departure::Deregistered];

fn leave(world: &mut AgentWithGroup, departure: Departure, sequence: u64) {
    match departure {
        Departure::Draining => world.register(sequence, true),
        Departure::Deregistered => world.deregister(),
    }
}

// Guards against new flows at a back end whose departure was acknowledged, after the agent and all
// replicas were killed at once, and a delayed registration (DRAIN).
#[test]
fn an_acknowledged_departure_outlives_all_processes() {
    for departure in DEPARTURES {
        for reports_start_time in [false, true] {
            for replicas in [3, 5] {
                let context = format!("{departure:?} {reports_start_time} {replicas}");
                let mut world = AgentWithGroup::new(replicas, reports_start_time);
                leave(&mut world, departure, 6);
                let is_acknowledged = world.is_acknowledged_within(ACKNOWLEDGEMENT_TIMEOUT);
                assert!(is_acknowledged, "{context}");
                assert!(!world.admits_flows(), "{context}");
                for _ in 0..2 {
                    world.kill_all(replicas);
                    world.register(5, false);
                    assert!(!world.admits_flows(), "{context}");
                    world.run(4 * SECOND);
                    world.register(5, false);
                    assert!(!world.admits_flows(), "{context}");
                }
            }
        }
    }
}

// Guards against an acknowledgement that stands in memory only.
#[test]
fn a_departure_is_not_acknowledged_before_a_majority_has_synced_it() {
    for departure in DEPARTURES {
        let mut world = AgentWithGroup::new(5, false);
        for index in 1..=3 {
            world.group.set_disk_responds(index, false);
        }
        leave(&mut world, departure, 6);
        assert!(!world.is_acknowledged_within(3 * SECOND), "{departure:?}");
        assert!(!world.admits_flows(), "it gets no flows all the same");
        world.group.set_disk_responds(3, true);
        // The back end asks again.
        leave(&mut world, departure, 7);
        let is_acknowledged = world.is_acknowledged_within(ACKNOWLEDGEMENT_TIMEOUT);
        assert!(is_acknowledged, "{departure:?}");
    }
}

// A departure needs no leader, and no more than a majority.
#[test]
fn a_departure_is_acknowledged_without_a_leader() {
    for departure in DEPARTURES {
        let mut world = AgentWithGroup::new(3, false);
        world.group.kill(1);
        world.group.cut_off(2);
        world.run(3 * SECOND);
        assert_eq!(world.group.leader(), None);
        leave(&mut world, departure, 6);
        let is_acknowledged = world.is_acknowledged_within(ACKNOWLEDGEMENT_TIMEOUT);
        assert!(is_acknowledged, "{departure:?}");
    }
}

// Guards against a replica without its disk that counts towards the majority which knows all
// departures.
#[test]
fn a_replica_that_lost_its_disk_proves_no_serving_back_end() {
    let mut world = AgentWithGroup::new(3, false);
    world.group.kill(3);
    leave(&mut world, Departure::Deregistered, 0);
    assert!(world.is_acknowledged_within(ACKNOWLEDGEMENT_TIMEOUT));
    world.group.kill(1);
    world.group.kill(2);
    world.group.wipe(1);
    world.group.restart(1);
    world.group.restart(3);
    world.start_agent();
    world.run(2 * SECOND);
    world.register(5, false);
    assert!(
        !world.admits_flows(),
        "replica 1 may have known a departure"
    );
    world.group.restart(2);
    world.run(2 * SECOND);
    world.register(5, false);
    assert!(!world.admits_flows(), "replica 2 knows it");
}

// Guards against a restarted agent that admits flows before it knows which back ends have left.
#[test]
fn a_restarted_agent_admits_flows_once_a_majority_has_replied() {
    let mut world = AgentWithGroup::new(3, false);
    world.group.kill(2);
    world.group.kill(3);
    world.start_agent();
    world.run(SECOND);
    world.register(5, false);
    assert!(
        !world.admits_flows(),
        "one replica may have missed a departure"
    );
    world.group.restart(3);
    world.run(SECOND);
    assert!(world.admits_flows());
}

// Guards against a back end without new flows while the replicas are down.
#[test]
fn a_back_end_that_registers_for_long_gets_flows_without_replicas() {
    let mut world = AgentWithGroup::new(3, false);
    world.kill_replicas(3);
    world.start_agent();
    for sequence in 5..15 {
        world.register(sequence, false);
        assert!(!world.admits_flows(), "{sequence}");
        world.run(SECOND);
    }
    world.register(15, false);
    assert!(world.admits_flows());
}

// Guards against a restarted agent that stays without flows for long although all replicas run.
#[test]
fn a_restarted_agent_admits_flows_soon_after_all_processes_restarted() {
    let mut world = AgentWithGroup::new(5, false);
    world.kill_all(5);
    world.run(100 * MILLI);
    world.register(6, false);
    assert!(world.admits_flows());
}

// Guards against callers that are told late that their flow has died: the agent of a back end that
// had left before all processes were killed finds out that it has ended.
#[test]
fn the_end_of_a_back_end_that_has_left_is_found_after_a_restart() {
    for departure in DEPARTURES {
        let mut world = AgentWithGroup::new(3, false);
        world.open_flow();
        leave(&mut world, departure, 6);
        assert!(world.is_acknowledged_within(ACKNOWLEDGEMENT_TIMEOUT));
        world.kill_all(3);
        world.run(100 * MILLI);
        assert!(!world.denies_unknown_flow(), "{departure:?}: it may run");
        world.backend_has_ended = true;
        world.run(3 * SECOND);
        assert!(world.denies_unknown_flow(), "{departure:?}: it has ended");
    }
}
