//! Flow records, which survive a restart of their agent.

use std::time::Duration;

use petrellatch_core::EventKind;
use petrellatch_core::pass_through::{
    ConfigurationNodeSettings, FlowRecordSettings, RecoveryOutcome,
};
use petrellatch_proto::pass_through::{
    FlowRecordChange, GroupStatus, MAX_PART_BYTES, PassThroughBody, pack_address,
};

use super::flow_record_world::{AGENT, Disk, RecordWorld, encoded_bytes, replica};
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);

fn is_change(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordChange(_))
}

fn is_ack(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordAck(_))
}

fn is_request(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordRequest(_))
}

fn is_response(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordResponse(_))
}

/// A world whose three replicas have the record of this many flows.
fn world_with(flows: u16) -> RecordWorld {
    let mut world = RecordWorld::new(3);
    (1..=flows).for_each(|port| world.open(port));
    world.run(3 * SECOND);
    world
}

#[test]
fn changes_are_sent_once_to_each_record_replica() {
    let mut world = world_with(3);
    for number in 1..=3 {
        assert_eq!(world.recorded_ports(replica(number)), [1, 2, 3]);
    }
    world.changes.clear();
    world.open(4);
    world.close(2);
    world.run(3 * SECOND);
    for number in 1..=3 {
        assert_eq!(world.recorded_ports(replica(number)), [1, 3, 4]);
    }
    assert!(
        world
            .changes
            .iter()
            .all(|(_, _, change)| change.base_revision > 0)
    );
    let put = world
        .changes
        .iter()
        .map(|(_, _, change)| change.put.callers.len());
    assert_eq!(
        put.sum::<usize>(),
        3,
        "the new flow, once to each record replica"
    );
}

#[test]
fn short_flows_are_never_recorded() {
    let mut world = RecordWorld::new(3);
    for port in 1..200 {
        world.open(port);
        world.run(20 * MILLI);
        if port > 40 {
            world.close(port - 40);
        }
    }
    assert!(world.changes.is_empty(), "each flow was open for 0.8 s");
}

#[test]
fn record_parts_respect_size_and_rate_limits() {
    let world = world_with(1_000);
    for number in 1..=3 {
        let to = |to| to == replica(number);
        let changes: Vec<_> = world.changes.iter().filter(|it| to(it.1)).collect();
        assert!(changes.len() > 1);
        for pair in changes.windows(2) {
            let gap = pair[1].0.saturating_since(pair[0].0);
            assert!(gap >= Duration::from_millis(250), "{gap:?}");
        }
        let bytes = changes.iter().map(|(_, _, change)| encoded_bytes(change));
        assert!(bytes.clone().all(|bytes| bytes <= MAX_PART_BYTES));
        let last = changes.len() - 1;
        let time = changes[last].0.saturating_since(changes[0].0);
        let before: usize = bytes.take(last).sum();
        let rate = before as f64 / time.as_secs_f64();
        assert!(rate <= 3.0 * 1024.0, "{rate} bytes per second");
    }
}

#[test]
fn idle_flows_cause_only_rare_small_checks() {
    let mut world = world_with(1_000);
    world.run(30 * SECOND);
    assert_eq!(world.recorded_ports(replica(1)).len(), 1_000);
    world.changes.clear();
    world.run(60 * SECOND);
    assert!(world.changes.len() <= 3 * 3, "{}", world.changes.len());
    let bytes: usize = world
        .changes
        .iter()
        .map(|(_, _, it)| encoded_bytes(it))
        .sum();
    assert!(bytes <= 9 * 60, "{bytes}");
}

#[test]
fn an_advanced_acknowledgement_is_sent_again() {
    let mut world = world_with(1);
    world.changes.clear();
    world.acknowledge(1, 30 * 1024);
    world.run(2 * SECOND);
    assert!(world.changes.is_empty());
    world.acknowledge(1, 50 * 1024);
    world.run(2 * SECOND);
    assert_eq!(world.changes.len(), 3);
    let responses = world.request_record(replica(1));
    assert_eq!(responses[0].flows.acknowledged_steps, [3]);
}

#[test]
fn any_kind_of_message_may_get_lost() {
    for kind in [is_change, is_ack, is_request, is_response] {
        let mut world = RecordWorld::new(3);
        (world.drop_filter, world.drops_left) = (kind, 4);
        world.open(1);
        world.run(2 * SECOND);
        world.open(2);
        world.close(1);
        world.run(8 * SECOND);
        assert_eq!(world.recorded_ports(replica(1)), [2]);
        assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
        world.start_agent();
        world.run(3 * SECOND);
        assert_eq!(world.drops_left, 0, "all of them were dropped");
        assert_eq!(
            world.agent.recovery_outcome(),
            Some(RecoveryOutcome::Recalled)
        );
    }
}

#[test]
fn a_replica_that_missed_changes_gets_them() {
    let mut world = world_with(3);
    world.unreachable.insert(replica(2));
    for port in 4..9 {
        world.open(port);
        world.close(port - 3);
        world.run(SECOND);
    }
    assert_eq!(world.recorded_ports(replica(2)), [1, 2, 3]);
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 1);
    world.unreachable.clear();
    world.run(10 * SECOND);
    assert_eq!(world.recorded_ports(replica(2)), [6, 7, 8]);
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
}

#[test]
fn a_replica_that_lost_its_file_gets_the_complete_record() {
    let mut world = world_with(3);
    world.files.clear();
    world.start_replica(replica(1));
    assert!(world.recorded_ports(replica(1)).is_empty());
    world.run(25 * SECOND);
    assert_eq!(world.recorded_ports(replica(1)), [1, 2, 3]);
}

#[test]
fn a_restarted_agent_recovers_its_flow_record() {
    let mut world = world_with(600);
    world.run(10 * SECOND);
    world.start_agent();
    world.run(2 * SECOND);
    let subjects = world.event_subjects(EventKind::FormerFlowsRecalled);
    assert_eq!(subjects.len(), 1, "one recovery");
    assert!(
        subjects[0].contains("outcome=Recalled flows=600 "),
        "{}",
        subjects[0]
    );
}

#[test]
fn the_record_survives_a_power_loss_of_all_processes() {
    let mut world = world_with(5);
    world.run(2 * SECOND);
    for number in 1..=3 {
        world.start_replica(replica(number));
    }
    world.start_agent();
    world.run(3 * SECOND);
    let subjects = world.event_subjects(EventKind::FormerFlowsRecalled);
    assert!(
        subjects[0].contains("outcome=Recalled flows=5 "),
        "{}",
        subjects[0]
    );
}

#[test]
fn replicas_that_start_after_the_agent_still_get_requests() {
    let mut world = world_with(5);
    world.start_agent();
    world
        .unreachable
        .extend([replica(1), replica(2), replica(3)]);
    world.open(77);
    world.run(4 * SECOND);
    assert_eq!(world.agent.recovery_outcome(), None);
    world.unreachable.clear();
    world.run(SECOND);
    let subjects = world.event_subjects(EventKind::FormerFlowsRecalled);
    assert!(
        subjects[0].contains("outcome=Recalled flows=5 "),
        "{}",
        subjects[0]
    );
    world.run(4 * SECOND);
    assert_eq!(
        world.recorded_ports(replica(3)),
        [1, 2, 3, 4, 5, 77],
        "the new incarnation's record replaces it, with the flows taken over"
    );
}

#[test]
fn the_previous_record_stays_until_it_is_recovered() {
    let mut world = world_with(5);
    (world.drop_filter, world.drops_left) = (is_response, usize::MAX);
    world.changes.clear();
    world.start_agent();
    world.open(77);
    world.run(5 * SECOND);
    assert!(world.changes.is_empty(), "no change may replace the record");
    world.drops_left = 0;
    assert_eq!(world.recorded_ports(replica(1)), [1, 2, 3, 4, 5]);
    world.run(2 * SECOND);
    let subjects = world.event_subjects(EventKind::FormerFlowsRecalled);
    assert!(subjects[0].contains("flows=5 "), "{}", subjects[0]);
}

#[test]
fn replicas_discovered_later_get_requests() {
    let mut world = world_with(5);
    world.replicas.remove(&replica(1));
    world.start_agent_with(vec![replica(1)]);
    world.run(SECOND);
    let group = GroupStatus {
        membership_index: 9,
        replicas: vec![pack_address(replica(2)), pack_address(replica(3))],
        ..GroupStatus::default()
    };
    let now = world.now;
    world
        .agent
        .handle_message(now, replica(2), PassThroughBody::GroupStatus(group));
    world.run(SECOND);
    assert_eq!(
        world.agent.recovery_outcome(),
        Some(RecoveryOutcome::Recalled)
    );
}

#[test]
fn the_newest_of_several_records_is_used() {
    let mut world = world_with(5);
    world.unreachable.insert(replica(1));
    world.open(6);
    world.run(3 * SECOND);
    world.unreachable.clear();
    world.unreachable.extend([replica(2), replica(3)]);
    world.start_agent();
    world.run(200 * MILLI);
    world.unreachable.clear();
    world.run(2 * SECOND);
    let subjects = world.event_subjects(EventKind::FormerFlowsRecalled);
    assert!(subjects[0].contains("flows=6 "), "{}", subjects[0]);
}

#[test]
fn a_new_incarnation_uses_higher_revisions() {
    let mut world = world_with(5);
    let previous = world.request_record(replica(1))[0].revision;
    world.changes.clear();
    world.start_agent();
    world.open(9);
    world.run(4 * SECOND);
    assert!(!world.changes.is_empty());
    assert!(
        world
            .changes
            .iter()
            .all(|(_, _, it)| it.revision > previous)
    );
    // The back end still runs: its flows are taken over and recorded again.
    assert_eq!(world.recorded_ports(replica(2)), [1, 2, 3, 4, 5, 9]);
}

#[test]
fn an_agent_without_responses_replaces_the_record_after_the_timeout() {
    let mut world = world_with(5);
    world.close(5);
    world.run(3 * SECOND);
    (world.drop_filter, world.drops_left) = (is_response, usize::MAX);
    world.start_agent();
    world.run(31 * SECOND);
    assert_eq!(
        world.agent.recovery_outcome(),
        Some(RecoveryOutcome::Unanswered)
    );
    world.open(9);
    world.run(4 * SECOND);
    world.drops_left = 0;
    for number in 1..=3 {
        assert_eq!(world.recorded_ports(replica(number)), [9]);
    }
}

#[test]
fn no_requests_on_the_first_start_or_with_the_record_disabled() {
    let mut world = world_with(1);
    assert_eq!(world.record_requests, 0);
    let disabled = FlowRecordSettings {
        min_flow_age: Duration::ZERO,
        ..FlowRecordSettings::default()
    };
    let mut disabled_world = RecordWorld::with(3, disabled, ConfigurationNodeSettings::default());
    for world in [&mut disabled_world, &mut world] {
        world.changes.clear();
    }
    disabled_world.start_agent();
    disabled_world.open(1);
    disabled_world.run(5 * SECOND);
    assert!(disabled_world.changes.is_empty());
    assert_eq!(disabled_world.record_requests, 0);
}

#[test]
fn a_full_replica_keeps_no_part_of_the_record() {
    let node = ConfigurationNodeSettings {
        max_flow_record_bytes: 8 * 1024,
        ..ConfigurationNodeSettings::default()
    };
    let mut world = RecordWorld::with(3, FlowRecordSettings::default(), node);
    world.open(1);
    world.run(2 * SECOND);
    assert_eq!(world.recorded_ports(replica(1)), [1]);
    (2..400).for_each(|port| world.open(port));
    world.run(20 * SECOND);
    assert!(world.recorded_ports(replica(1)).is_empty());
    let now = world.now;
    let stats = world.replica_mut(replica(1)).flow_record_stats(now);
    assert!(stats.bytes <= 8 * 1024 && stats.refused > 0, "{stats:?}");
    assert!(stats.refused < 8, "retries are rare: {stats:?}");
    assert_eq!(world.agent.flow_record_stats().full_replicas, 3);
    assert_eq!(world.event_subjects(EventKind::FlowRecordRefused).len(), 3);
    (2..400).for_each(|port| world.close(port));
    world.run(60 * SECOND);
    assert_eq!(
        world.recorded_ports(replica(1)),
        [1],
        "the record fits again"
    );
}

#[test]
fn neither_small_records_nor_parts_of_large_ones_exceed_the_limit() {
    let node = ConfigurationNodeSettings {
        max_flow_record_bytes: 8 * 1024,
        ..ConfigurationNodeSettings::default()
    };
    for parts in [1, 2] {
        let mut world = RecordWorld::with(1, FlowRecordSettings::default(), node.clone());
        world.open(1);
        world.run(2 * SECOND);
        let (now, _, first) = world.changes[0].clone();
        for agent in 1..1_000 {
            let change = FlowRecordChange {
                agent,
                parts,
                ..first.clone()
            };
            let body = PassThroughBody::FlowRecordChange(Box::new(change));
            world
                .replica_mut(replica(1))
                .handle_message(now, AGENT, body);
            let stats = world.replica_mut(replica(1)).flow_record_stats(now);
            assert!(stats.bytes <= 8 * 1024, "{stats:?}");
        }
        let stats = world.replica_mut(replica(1)).flow_record_stats(now);
        assert!(stats.refused > 900, "{stats:?}");
    }
}

#[test]
fn an_agent_records_up_to_max_flows_and_counts_the_rest() {
    let settings = FlowRecordSettings {
        max_flows: 10,
        ..FlowRecordSettings::default()
    };
    let mut world = RecordWorld::with(3, settings, ConfigurationNodeSettings::default());
    (1..=15).for_each(|port| world.open(port));
    world.run(3 * SECOND);
    assert_eq!(world.recorded_ports(replica(1)).len(), 10);
    let stats = world.agent.flow_record_stats();
    assert_eq!((stats.recorded, stats.over_limit), (10, 5));
}

#[test]
fn a_failing_disk_affects_only_the_file() {
    let mut world = RecordWorld::new(3);
    world.disk = Disk::Fails;
    world.open(1);
    world.run(10 * SECOND);
    assert_eq!(
        world.recorded_ports(replica(1)),
        [1],
        "the record is in memory"
    );
    let subjects = world.event_subjects(EventKind::FlowRecordsNotSaved).len();
    assert_eq!(subjects, 3, "one event from each replica");
    assert!(
        world.writes <= 9,
        "{} writes: retries must be rare",
        world.writes
    );
    world.disk = Disk::Works;
    world.run(6 * SECOND);
    world.start_replica(replica(1));
    assert_eq!(world.recorded_ports(replica(1)), [1]);
}

#[test]
fn a_stalled_disk_does_not_block_the_replica() {
    let mut world = RecordWorld::new(3);
    world.disk = Disk::Stalls;
    for port in 1..50 {
        world.open(port);
        world.run(SECOND);
    }
    assert_eq!(world.writes, 3, "one write per replica at a time");
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
    assert!(world.recorded_ports(replica(1)).len() >= 47);
}

#[test]
fn an_unreadable_record_is_dropped_and_sent_again() {
    let mut world = world_with(2);
    world.files.insert(replica(1), vec![vec![0xFF; 9]]);
    world.start_replica(replica(1));
    assert!(world.recorded_ports(replica(1)).is_empty());
    assert_eq!(
        world.event_subjects(EventKind::FlowRecordsNotSaved).len(),
        1
    );
    world.run(25 * SECOND);
    assert_eq!(world.recorded_ports(replica(1)), [1, 2]);
    world.start_replica(replica(1));
    assert_eq!(
        world.recorded_ports(replica(1)),
        [1, 2],
        "the file was rewritten"
    );
}

#[test]
fn the_file_does_not_grow_with_the_number_of_changes() {
    let mut world = RecordWorld::new(3);
    let mut largest = 0;
    for round in 0..60_u16 {
        let first = 1 + round * 200;
        (first..first + 200).for_each(|port| world.open(port));
        if round > 0 {
            (first - 200..first).for_each(|port| world.close(port));
        }
        world.run(3 * SECOND);
        largest = largest.max(world.file_bytes(replica(1)));
    }
    assert!(largest < 100 * 1024, "{largest}");
    world.start_replica(replica(1));
    assert_eq!(world.recorded_ports(replica(1)).len(), 200);
}

#[test]
fn the_record_of_a_vanished_agent_expires() {
    let mut world = world_with(2);
    world.run(SECOND);
    world.unreachable.insert(replica(1));
    world.run(62 * SECOND);
    let now = world.now;
    let stats = world.replica_mut(replica(1)).flow_record_stats(now);
    assert_eq!((stats.records, stats.bytes), (0, 0));
    world.start_replica(replica(1));
    let stats = world.replica_mut(replica(1)).flow_record_stats(now);
    assert_eq!(stats.records, 0, "in the file as well");
}

#[test]
fn record_replicas_follow_the_membership() {
    let mut world = RecordWorld::new(7);
    world.open(1);
    world.run(3 * SECOND);
    let all: Vec<u8> = (1..=7).collect();
    let replicas_with_record = |world: &mut RecordWorld| {
        let mut has_record = |number: &u8| !world.recorded_ports(replica(*number)).is_empty();
        all.iter()
            .copied()
            .filter(|it| has_record(it))
            .collect::<Vec<u8>>()
    };
    let before = replicas_with_record(&mut world);
    assert_eq!(before.len(), 3);
    let removed = replica(before[0]);
    let now = world.now;
    let remaining = all.iter().filter(|it| **it != before[0]);
    let remaining: Vec<_> = remaining.map(|number| replica(*number)).collect();
    world.agent.known_replicas_mut().set_seeds(remaining);
    world.unreachable.insert(removed);
    world.run(3 * SECOND);
    let after = replicas_with_record(&mut world);
    assert_eq!(after.len(), 4, "including the unreachable one: {after:?}");
    assert!(world.now > now);
    world.run(62 * SECOND);
    assert_eq!(
        replicas_with_record(&mut world).len(),
        3,
        "the removed replica gets no checks"
    );
}

#[test]
fn probe_packets_belong_to_open_flows() {
    let mut world = world_with(3);
    let before = world.request_record(replica(1));
    assert_eq!(before[0].probe_packets.len(), 3);
    (1..=3).for_each(|port| world.close(port));
    world.open(4);
    world.run(3 * SECOND);
    let after = world.request_record(replica(1));
    assert_eq!(after[0].probe_packets.len(), 1);
    assert!(!before[0].probe_packets.contains(&after[0].probe_packets[0]));
    assert_eq!(after[0].flows.callers.len(), 1);
    assert_ne!(after[0].backend_incarnation, 0);
}
