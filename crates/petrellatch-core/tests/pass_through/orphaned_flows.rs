//! Flows of previous incarnations of a back end: which callers are reset, and which aren't.

use std::time::Duration;

use petrellatch_core::EventKind;
use petrellatch_proto::pass_through::FlowRecordResponse;

use super::restart_world::{RestartWorld, caller_port, flow_id};
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);

/// A back end with this many open flows, from port 1 on.
fn with_flows(flows: u16) -> RestartWorld {
    let mut world = RestartWorld::new();
    open(&mut world, 1, flows);
    world
}

fn open(world: &mut RestartWorld, first: u16, flows: u16) {
    for port in first..first + flows {
        assert!(world.open(port), "port {port}");
        world.run(5 * MILLI);
    }
    world.dataless_packets.clear();
}

#[test]
fn idle_callers_are_reset_when_the_back_end_restarts() {
    let mut world = with_flows(10);
    world.restart_backend();
    world.run(SECOND);
    assert_eq!(
        world.reset_ports(),
        [],
        "the back end may be down, paused or cut off"
    );
    world.register();
    world.run(SECOND);
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=10));
    assert_eq!(
        world.agent.demand(world.now).0,
        0,
        "the agent forgets the flows"
    );
}

#[test]
fn idle_callers_are_reset_gradually_and_waiting_ones_at_once() {
    let mut world = with_flows(100);
    world.paused = true;
    world.request(40);
    world.restart_backend();
    let started_at = world.now;
    world.register();
    let reset_after = |world: &RestartWorld, port| {
        let reset = world.resets.iter().find(|(_, it)| *it == port);
        reset.map(|(at, _)| at.saturating_since(started_at))
    };
    assert!(reset_after(&world, 40).expect("the caller awaits a response") < 10 * MILLI);
    assert!(
        world.resets.len() < 20,
        "{} resets at once",
        world.resets.len()
    );
    world.run(200 * MILLI);
    let half = world.resets.len();
    assert!(
        (30..70).contains(&half),
        "{half} of 100 resets in half the time"
    );
    world.run(SECOND);
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=100));
}

#[test]
fn a_returned_packet_of_an_open_flow_starts_a_restart_probe() {
    let mut world = with_flows(10);
    world.restart_backend();
    world.request(5);
    world.run(SECOND);
    let returned = world
        .returned_packets
        .iter()
        .filter(|it| it.was_open)
        .count();
    assert_eq!(returned, 1);
    let others: Vec<u16> = (1..=10).filter(|port| *port != 5).collect();
    assert_eq!(world.reset_ports(), others);
}

#[test]
fn a_late_registration_of_a_previous_incarnation_resets_no_flow() {
    let mut world = with_flows(3);
    let previous = world.incarnation();
    world.restart_backend();
    world.register();
    world.run(SECOND);
    world.resets.clear();
    open(&mut world, 10, 8);
    for _ in 0..3 {
        world.register_incarnation(&previous);
        world.run(SECOND);
    }
    world.run(3 * SECOND);
    assert_eq!(world.reset_ports(), []);
    assert!(world.has_event(EventKind::LifeUndecided));
    let probes = (10..18).map(|port| {
        world
            .dataless_packets
            .iter()
            .filter(|it| **it == port)
            .count()
    });
    assert!(probes.max() <= Some(4), "two in each of two restart probes");
}

#[test]
fn flows_opened_before_the_first_registration_are_not_reset() {
    let mut world = with_flows(10);
    world.restart_backend();
    open(&mut world, 20, 30);
    world.register();
    world.run(4 * SECOND);
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=10));
}

#[test]
fn a_restart_with_a_clock_set_back_orphans_the_previous_flows() {
    let mut world = with_flows(5);
    world.restart_backend();
    world
        .backend
        .as_mut()
        .expect("a running back end")
        .started_at_millis = Some(1);
    world.register();
    world.run(SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_restart_under_the_same_name_orphans_the_previous_flows() {
    for has_start_time in [true, false] {
        let mut world = RestartWorld::unregistered(has_start_time, true);
        for _ in 0..5 {
            world.register();
        }
        open(&mut world, 1, 5);
        world.restart_backend();
        world.register();
        world.run(SECOND);
        assert_eq!(
            world.reset_ports(),
            [1, 2, 3, 4, 5],
            "start time: {has_start_time}"
        );
    }
}

#[test]
fn a_back_end_keeps_its_flows_over_a_process_pause() {
    let mut world = with_flows(6);
    let mut previous = world.incarnation();
    previous.id = "earlier".to_owned();
    world.paused = true;
    world.register_incarnation(&previous);
    world.run(5 * SECOND);
    world.resume();
    world.run(5 * SECOND);
    assert_eq!(world.reset_ports(), []);
}

#[test]
fn a_flow_closed_unseen_orphans_no_other_flow() {
    let mut world = with_flows(6);
    for port in [1, 6] {
        world
            .backend
            .as_mut()
            .expect("a running back end")
            .flows
            .remove(&port);
        world.request(port);
        world.run(5 * SECOND);
    }
    let reset_ports = world.reset_ports();
    assert!(
        reset_ports.iter().all(|port| [1, 6].contains(port)),
        "{reset_ports:?}"
    );
    assert_eq!(world.agent.demand(world.now).0, 4);
}

/// A balancer may forward packets to the wrong agent, after it offered the same flow to two
/// agents. The packets that this back end returns prove nothing about its own flows.
#[test]
fn a_flow_owned_by_another_back_end_is_not_reset() {
    let mut world = with_flows(6);
    world.open_elsewhere(20, 1 << 30);
    world.acknowledge(20);
    world.request(20);
    world.run(SECOND);
    assert_eq!(world.reset_ports(), []);
    world.paused = true;
    world.acknowledge(20);
    world.restart_backend();
    world.register();
    world.run(4 * SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 3, 4, 5, 6]);
    assert!(world.returned_packets.iter().all(|it| !it.was_open));
}

/// As above, but this back end has also accepted the SYN.
#[test]
fn a_flow_accepted_first_by_another_back_end_is_not_reset() {
    let mut world = with_flows(6);
    assert!(world.open_without_ack(20));
    world.open_elsewhere(20, 1 << 30);
    world.acknowledge(20);
    world.run(2 * SECOND);
    world.restart_backend();
    world.register();
    world.run(4 * SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_flow_reopened_between_the_same_endpoints_is_not_reset() {
    let mut world = with_flows(6);
    world.restart_backend();
    assert!(world.open(3));
    world.register();
    assert!(world.open(4), "while callers are being reset");
    world.run(3 * SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 5, 6]);
}

#[test]
fn a_flow_closed_by_its_caller_is_not_reset() {
    let mut world = with_flows(4);
    world.finish(2);
    world.restart_backend();
    world.register();
    world.run(SECOND);
    assert_eq!(world.reset_ports(), [1, 3, 4]);
}

#[test]
fn a_restarted_agent_takes_over_flows_of_a_running_back_end() {
    let mut world = with_flows(8);
    let record = world.record(&world.incarnation());
    world.run(SECOND);
    world.restart_agent();
    world.recover(record);
    world.register();
    world.run(3 * SECOND);
    assert_eq!(world.reset_ports(), []);
    assert_eq!(world.dataless_packets, [], "no probe is needed");
    assert_eq!(world.agent.demand(world.now).0, 8);
    world.query(3);
    assert_eq!(world.owned_flows, [flow_id(3)]);
    assert_eq!(world.agent.counters().taken_over, 8);
}

#[test]
fn flows_taken_over_are_reset_when_their_back_end_restarts() {
    let mut world = with_flows(8);
    let record = world.record(&world.incarnation());
    world.run(SECOND);
    world.restart_agent();
    world.recover(record);
    world.register();
    open(&mut world, 20, 2);
    world.restart_backend();
    open(&mut world, 30, 5);
    world.register();
    world.run(3 * SECOND);
    let expected: Vec<u16> = (1..=8).chain(20..=21).collect();
    assert_eq!(world.reset_ports(), expected);
}

#[test]
fn a_late_registration_of_the_recorded_incarnation_only_delays_resets() {
    let mut world = with_flows(8);
    let previous = world.incarnation();
    let record = world.record(&previous);
    world.restart_backend();
    world.run(SECOND);
    world.restart_agent();
    world.recover(record);
    world.register_incarnation(&previous);
    world.run(SECOND);
    assert_eq!(world.reset_ports(), []);
    world.register();
    world.run(SECOND);
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=8));
}

#[test]
fn recorded_flows_are_reset_in_either_order_of_record_and_registration() {
    for record_first in [true, false] {
        let mut world = with_flows(8);
        let record = world.record(&world.incarnation());
        world.restart_backend();
        world.run(SECOND);
        world.restart_agent();
        if record_first {
            world.recover(record);
            world.run(SECOND);
            assert_eq!(world.reset_ports(), []);
            world.register();
        } else {
            world.register();
            open(&mut world, 20, 3);
            world.recover(record);
        }
        world.run(SECOND);
        assert_eq!(
            world.reset_ports(),
            Vec::from_iter(1..=8),
            "record first: {record_first}"
        );
    }
}

#[test]
fn without_a_start_time_the_name_does_not_identify_the_incarnation() {
    for has_restarted in [true, false] {
        let mut world = RestartWorld::unregistered(false, true);
        world.register();
        open(&mut world, 1, 8);
        let record = world.record(&world.incarnation());
        if has_restarted {
            world.restart_backend();
        }
        world.run(SECOND);
        world.restart_agent();
        world.recover(record);
        world.register();
        world.run(3 * SECOND);
        let expected = match has_restarted {
            true => Vec::from_iter(1..=8),
            false => Vec::new(),
        };
        assert_eq!(world.reset_ports(), expected);
        assert_eq!(world.agent.demand(world.now).0, 0);
    }
}

/// Restarts the agent with a record of the current incarnation that has three probe packets.
fn restart_with_three_probe_packets(world: &mut RestartWorld, record: FlowRecordResponse) {
    let mut record = record;
    record.probe_packets.truncate(3);
    world.restart_agent();
    world.recover(record);
}

#[test]
fn three_probes_and_another_registration_orphan_all_recorded_flows() {
    let mut world = with_flows(8);
    let record = world.record(&world.incarnation());
    world.restart_backend();
    restart_with_three_probe_packets(&mut world, record);
    world.deliver_speculatively(2, 0);
    world.run(SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 3], "no back end has registered");
    world.register();
    world.run(SECOND);
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=8));
}

#[test]
fn probed_flows_closed_without_an_agent_orphan_no_other_flow() {
    let mut world = RestartWorld::unregistered(false, false);
    world.register();
    open(&mut world, 1, 8);
    let record = world.record(&world.incarnation());
    for port in 1..=3 {
        world
            .backend
            .as_mut()
            .expect("a running back end")
            .flows
            .remove(&port);
    }
    restart_with_three_probe_packets(&mut world, record);
    world.register();
    world.run(5 * SECOND);
    assert_eq!(world.reset_ports(), [1, 2, 3]);
}

#[test]
fn a_speculative_delivery_starts_the_restart_probe_of_the_record() {
    let mut world = with_flows(8);
    let record = world.record(&world.incarnation());
    world.restart_backend();
    world.restart_agent();
    world.recover(record);
    world.deliver_speculatively(4, 50);
    world.run(SECOND);
    assert_eq!(world.agent.counters().lives_over, 1);
    assert_eq!(
        world
            .returned_packets
            .iter()
            .map(caller_port)
            .collect::<Vec<u16>>(),
        [4]
    );
    assert!(world.returned_packets[0].was_open && world.returned_packets[0].carried_data);
    assert_eq!(world.reset_ports(), [1, 2, 3, 5, 6, 7, 8]);
}

#[test]
fn balancers_that_query_are_notified_at_once() {
    let mut world = with_flows(100);
    world.restart_backend();
    world.register();
    world.query(90);
    world.request(91);
    world.deliver_speculatively(92, 50);
    let notified: Vec<u16> = world
        .returned_packets
        .iter()
        .filter(|it| it.was_open)
        .map(caller_port)
        .collect();
    assert_eq!(notified, [90, 91, 92]);
    world.run(SECOND);
    let reset_ports = world.reset_ports();
    assert!(
        !reset_ports.contains(&91) && !reset_ports.contains(&92),
        "the balancer resets these callers"
    );
}

#[test]
fn a_stopping_agent_of_a_running_back_end_resets_no_flow() {
    let mut world = with_flows(5);
    let mut late = world.incarnation();
    late.id = "earlier".to_owned();
    world.agent.begin_stop(world.now);
    world.register_incarnation(&late);
    world.run(3 * SECOND);
    assert_eq!(world.reset_ports(), []);
    assert_eq!(world.dataless_packets, []);
}

// Guards against the reset of flows of a running back end whose recorded probe packets belong to
// flows that were closed while its agent didn't run, after a delayed registration of the back end
// that crashed before it (FLOW).
#[test]
fn a_delayed_registration_orphans_no_recorded_flow_of_a_running_back_end() {
    for reports_start_time in [false, true] {
        for late_comes_first in [false, true] {
            let mut world = RestartWorld::unregistered(reports_start_time, false);
            let mut crashed = world.incarnation();
            crashed.registrations = 2;
            world.restart_backend();
            world.register();
            (1..=6).for_each(|port| assert!(world.open(port)));
            let mut record = world.record(&world.incarnation());
            record.probe_packets.truncate(3);
            (1..=3).for_each(|port| world.finish(port));
            world.restart_agent();
            if late_comes_first {
                world.register_incarnation(&crashed);
                world.recover(record);
            } else {
                world.recover(record);
                world.run(SECOND);
                world.register_incarnation(&crashed);
            }
            world.run(2 * SECOND);
            (4..=6).for_each(|port| world.query(port));
            let told = world.returned_packets.iter().filter(|it| it.was_open);
            let told = told.map(caller_port).chain(world.reset_ports());
            let told: Vec<u16> = told.filter(|port| *port > 3).collect();
            assert_eq!(told, [], "{reports_start_time} {late_comes_first}");
        }
    }
}

// Guards against idle callers that are told late that their flows have died with their back end, if
// back ends report no start times and the agent has restarted too.
#[test]
fn idle_callers_of_recorded_flows_are_reset_soon_after_back_end_and_agent_restart() {
    let mut world = RestartWorld::unregistered(false, false);
    world.register();
    open(&mut world, 1, 10);
    let mut record = world.record(&world.incarnation());
    record.probe_packets.truncate(3);
    world.restart_agent();
    world.restart_backend();
    world.recover(record);
    for _ in 0..2 {
        world.register();
        world.run(SECOND);
    }
    assert_eq!(world.reset_ports(), Vec::from_iter(1..=10));
}
