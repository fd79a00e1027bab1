//! Flows of former lives of a back end: who is told, and who is not.

use std::time::Duration;

use petrellatch_core::EventKind;
use petrellatch_proto::pass_through::FlowRecordResponse;

use super::restart_world::{RestartWorld, caller_port, flow_id};
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);

/// A back end with this many open flows, from port 1 on.
fn with_flows(flows: u16) -> RestartWorld {
    let mut lives = RestartWorld::new();
    open(&mut lives, 1, flows);
    lives
}

fn open(lives: &mut RestartWorld, first: u16, flows: u16) {
    for port in first..first + flows {
        assert!(lives.open(port), "port {port}");
        lives.run(5 * MILLI);
    }
    lives.dataless_packets.clear();
}

#[test]
fn callers_at_rest_are_told_when_the_back_end_starts_again() {
    let mut lives = with_flows(10);
    lives.restart_backend();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), [], "it may be down, frozen or cut off");
    lives.register();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), Vec::from_iter(1..=10));
    assert_eq!(lives.agent.demand(lives.now).0, 0, "they are forgotten");
}

#[test]
fn callers_at_rest_are_told_at_a_pace_and_those_that_wait_at_once() {
    let mut lives = with_flows(100);
    lives.frozen = true;
    lives.request(40);
    lives.restart_backend();
    let begun_at = lives.now;
    lives.register();
    let told_at = |lives: &RestartWorld, port| {
        let reset = lives.resets.iter().find(|(_, it)| *it == port);
        reset.map(|(at, _)| at.saturating_since(begun_at))
    };
    assert!(told_at(&lives, 40).expect("it waits") < 10 * MILLI);
    assert!(lives.resets.len() < 20, "{} at once", lives.resets.len());
    lives.run(200 * MILLI);
    let half = lives.resets.len();
    assert!((30..70).contains(&half), "{half} of 100 in half the time");
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), Vec::from_iter(1..=100));
}

#[test]
fn a_returned_packet_of_an_open_flow_begins_a_proof_before_any_call() {
    let mut lives = with_flows(10);
    lives.restart_backend();
    lives.request(5);
    lives.run(SECOND);
    let told = lives
        .returned_packets
        .iter()
        .filter(|it| it.was_open)
        .count();
    assert_eq!(told, 1);
    let others: Vec<u16> = (1..=10).filter(|port| *port != 5).collect();
    assert_eq!(lives.reset_ports(), others);
}

#[test]
fn a_late_call_of_a_former_life_beside_a_live_one_tells_nobody() {
    let mut lives = with_flows(3);
    let former = lives.incarnation();
    lives.restart_backend();
    lives.register();
    lives.run(SECOND);
    lives.resets.clear();
    open(&mut lives, 10, 8);
    for _ in 0..3 {
        lives.register_incarnation(&former);
        lives.run(SECOND);
    }
    lives.run(3 * SECOND);
    assert_eq!(lives.reset_ports(), []);
    assert!(lives.has_event(EventKind::LifeUndecided));
    let most = (10..18).map(|port| {
        lives
            .dataless_packets
            .iter()
            .filter(|it| **it == port)
            .count()
    });
    assert!(most.max() <= Some(4), "two in each of two proofs");
}

#[test]
fn flows_of_the_new_life_that_were_opened_before_its_first_call_are_not_told() {
    let mut lives = with_flows(10);
    lives.restart_backend();
    open(&mut lives, 20, 30);
    lives.register();
    lives.run(4 * SECOND);
    assert_eq!(lives.reset_ports(), Vec::from_iter(1..=10));
}

#[test]
fn a_life_whose_clock_was_set_back_ends_the_flows_of_the_former_one() {
    let mut lives = with_flows(5);
    lives.restart_backend();
    lives.backend.as_mut().expect("one runs").started_at_millis = Some(1);
    lives.register();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 3, 4, 5]);
}

#[test]
fn a_life_under_the_same_name_ends_the_flows_of_the_former_one() {
    for says_birth in [true, false] {
        let mut lives = RestartWorld::unregistered(says_birth, true);
        for _ in 0..5 {
            lives.register();
        }
        open(&mut lives, 1, 5);
        lives.restart_backend();
        lives.register();
        lives.run(SECOND);
        assert_eq!(lives.reset_ports(), [1, 2, 3, 4, 5], "birth: {says_birth}");
    }
}

#[test]
fn a_frozen_back_end_that_wakes_keeps_its_flows() {
    let mut lives = with_flows(6);
    let mut former = lives.incarnation();
    former.id = "earlier".to_owned();
    lives.frozen = true;
    lives.register_incarnation(&former);
    lives.run(5 * SECOND);
    lives.thaw();
    lives.run(5 * SECOND);
    assert_eq!(lives.reset_ports(), []);
}

#[test]
fn one_flow_that_ended_unseen_says_nothing_of_the_others() {
    let mut lives = with_flows(6);
    for port in [1, 6] {
        lives
            .backend
            .as_mut()
            .expect("one runs")
            .flows
            .remove(&port);
        lives.request(port);
        lives.run(5 * SECOND);
    }
    let told = lives.reset_ports();
    assert!(told.iter().all(|port| [1, 6].contains(port)), "{told:?}");
    assert_eq!(lives.agent.demand(lives.now).0, 4);
}

/// A balancer that was asked again for the same flow hands its packets to the wrong agent.
#[test]
fn a_flow_that_lives_at_another_back_end_is_not_told() {
    let mut lives = with_flows(6);
    lives.open_elsewhere(20, 1 << 30);
    lives.acknowledge(20);
    lives.request(20);
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), []);
    lives.frozen = true;
    lives.acknowledge(20);
    lives.restart_backend();
    lives.register();
    lives.run(4 * SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 3, 4, 5, 6]);
    assert!(lives.returned_packets.iter().all(|it| !it.was_open));
}

/// The same, where this back end has answered the opening packet as well.
#[test]
fn a_flow_that_opened_at_another_back_end_that_answered_first_is_not_told() {
    let mut lives = with_flows(6);
    assert!(lives.open_without_ack(20));
    lives.open_elsewhere(20, 1 << 30);
    lives.acknowledge(20);
    lives.run(2 * SECOND);
    lives.restart_backend();
    lives.register();
    lives.run(4 * SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 3, 4, 5, 6]);
}

#[test]
fn a_flow_that_opens_anew_under_its_address_and_port_is_not_told() {
    let mut lives = with_flows(6);
    lives.restart_backend();
    assert!(lives.open(3));
    lives.register();
    assert!(lives.open(4), "while callers are told");
    lives.run(3 * SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 5, 6]);
}

#[test]
fn a_flow_that_its_caller_has_ended_is_not_told() {
    let mut lives = with_flows(4);
    lives.finish(2);
    lives.restart_backend();
    lives.register();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), [1, 3, 4]);
}

#[test]
fn a_restarted_agent_takes_the_flows_of_a_live_back_end_over() {
    let mut lives = with_flows(8);
    let record = lives.record(&lives.incarnation());
    lives.run(SECOND);
    lives.restart_agent();
    lives.recover(record);
    lives.register();
    lives.run(3 * SECOND);
    assert_eq!(lives.reset_ports(), []);
    assert_eq!(lives.dataless_packets, [], "no packet is needed");
    assert_eq!(lives.agent.demand(lives.now).0, 8);
    lives.query(3);
    assert_eq!(lives.owned_flows, [flow_id(3)]);
    assert_eq!(lives.agent.counters().taken_over, 8);
}

#[test]
fn flows_that_were_taken_over_are_told_when_their_life_is_over() {
    let mut lives = with_flows(8);
    let record = lives.record(&lives.incarnation());
    lives.run(SECOND);
    lives.restart_agent();
    lives.recover(record);
    lives.register();
    open(&mut lives, 20, 2);
    lives.restart_backend();
    open(&mut lives, 30, 5);
    lives.register();
    lives.run(3 * SECOND);
    let told: Vec<u16> = (1..=8).chain(20..=21).collect();
    assert_eq!(lives.reset_ports(), told);
}

#[test]
fn a_late_call_of_the_recorded_life_costs_nothing_but_time() {
    let mut lives = with_flows(8);
    let former = lives.incarnation();
    let record = lives.record(&former);
    lives.restart_backend();
    lives.run(SECOND);
    lives.restart_agent();
    lives.recover(record);
    lives.register_incarnation(&former);
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), []);
    lives.register();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), Vec::from_iter(1..=8));
}

#[test]
fn the_record_of_an_older_life_is_told_in_whichever_order_record_and_call_come() {
    for record_first in [true, false] {
        let mut lives = with_flows(8);
        let record = lives.record(&lives.incarnation());
        lives.restart_backend();
        lives.run(SECOND);
        lives.restart_agent();
        if record_first {
            lives.recover(record);
            lives.run(SECOND);
            assert_eq!(lives.reset_ports(), []);
            lives.register();
        } else {
            lives.register();
            open(&mut lives, 20, 3);
            lives.recover(record);
        }
        lives.run(SECOND);
        assert_eq!(lives.reset_ports(), Vec::from_iter(1..=8), "{record_first}");
    }
}

#[test]
fn without_a_birth_the_recorded_name_alone_proves_neither() {
    for is_new in [true, false] {
        let mut lives = RestartWorld::unregistered(false, true);
        lives.register();
        open(&mut lives, 1, 8);
        let record = lives.record(&lives.incarnation());
        if is_new {
            lives.restart_backend();
        }
        lives.run(SECOND);
        lives.restart_agent();
        lives.recover(record);
        lives.register();
        lives.run(3 * SECOND);
        let told = match is_new {
            true => Vec::from_iter(1..=8),
            false => Vec::new(),
        };
        assert_eq!(lives.reset_ports(), told);
        assert_eq!(lives.agent.demand(lives.now).0, 0);
    }
}

/// A restarted agent with a record of the life that has run, which has three witnesses.
fn restart_with_three_witnesses(lives: &mut RestartWorld, record: FlowRecordResponse) {
    let mut record = record;
    record.probe_packets.truncate(3);
    lives.restart_agent();
    lives.recover(record);
}

#[test]
fn three_witnesses_and_a_call_of_another_life_end_all_recorded_flows() {
    let mut lives = with_flows(8);
    let record = lives.record(&lives.incarnation());
    lives.restart_backend();
    restart_with_three_witnesses(&mut lives, record);
    lives.deliver_speculatively(2, 0);
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 3], "nobody has called");
    lives.register();
    lives.run(SECOND);
    assert_eq!(lives.reset_ports(), Vec::from_iter(1..=8));
}

#[test]
fn witnesses_that_ended_while_no_agent_ran_end_no_flow_of_a_life_that_goes_on() {
    let mut lives = RestartWorld::unregistered(false, false);
    lives.register();
    open(&mut lives, 1, 8);
    let record = lives.record(&lives.incarnation());
    for port in 1..=3 {
        lives
            .backend
            .as_mut()
            .expect("one runs")
            .flows
            .remove(&port);
    }
    restart_with_three_witnesses(&mut lives, record);
    lives.register();
    lives.run(5 * SECOND);
    assert_eq!(lives.reset_ports(), [1, 2, 3]);
}

#[test]
fn a_packet_that_is_tried_begins_the_proof_about_the_record() {
    let mut lives = with_flows(8);
    let record = lives.record(&lives.incarnation());
    lives.restart_backend();
    lives.restart_agent();
    lives.recover(record);
    lives.deliver_speculatively(4, 50);
    lives.run(SECOND);
    assert_eq!(lives.agent.counters().lives_over, 1);
    assert_eq!(
        lives
            .returned_packets
            .iter()
            .map(caller_port)
            .collect::<Vec<u16>>(),
        [4]
    );
    assert!(lives.returned_packets[0].was_open && lives.returned_packets[0].carried_data);
    assert_eq!(lives.reset_ports(), [1, 2, 3, 5, 6, 7, 8]);
}

#[test]
fn balancers_that_ask_are_told_at_once() {
    let mut lives = with_flows(100);
    lives.restart_backend();
    lives.register();
    lives.query(90);
    lives.request(91);
    lives.deliver_speculatively(92, 50);
    let told: Vec<u16> = lives
        .returned_packets
        .iter()
        .filter(|it| it.was_open)
        .map(caller_port)
        .collect();
    assert_eq!(told, [90, 91, 92]);
    lives.run(SECOND);
    let told = lives.reset_ports();
    assert!(
        !told.contains(&91) && !told.contains(&92),
        "the balancer does it"
    );
}

#[test]
fn an_agent_that_stops_beside_a_live_back_end_tells_nobody() {
    let mut lives = with_flows(5);
    let mut late = lives.incarnation();
    late.id = "earlier".to_owned();
    lives.agent.begin_stop(lives.now);
    lives.register_incarnation(&late);
    lives.run(3 * SECOND);
    assert_eq!(lives.reset_ports(), []);
    assert_eq!(lives.dataless_packets, []);
}
