//! The record of open flows that outlives an agent.

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

fn only_changes(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordChange(_))
}

fn only_acknowledgements(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordAck(_))
}

fn only_questions(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordRequest(_))
}

fn only_answers(body: &PassThroughBody) -> bool {
    matches!(body, PassThroughBody::FlowRecordResponse(_))
}

/// A world whose three replicas keep so many flows.
fn world_with(flows: u16) -> RecordWorld {
    let mut world = RecordWorld::new(3);
    (1..=flows).for_each(|port| world.open(port));
    world.run(3 * SECOND);
    world
}

#[test]
fn open_flows_are_told_to_all_keepers_and_then_only_what_changed() {
    let mut world = world_with(3);
    for number in 1..=3 {
        assert_eq!(world.kept_at(replica(number)), [1, 2, 3]);
    }
    world.changes.clear();
    world.open(4);
    world.end(2);
    world.run(3 * SECOND);
    for number in 1..=3 {
        assert_eq!(world.kept_at(replica(number)), [1, 3, 4]);
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
    assert_eq!(put.sum::<usize>(), 3, "the new one, to each keeper once");
}

#[test]
fn short_flows_are_never_recorded() {
    let mut world = RecordWorld::new(3);
    for port in 1..200 {
        world.open(port);
        world.run(20 * MILLI);
        if port > 40 {
            world.end(port - 40);
        }
    }
    assert!(world.changes.is_empty(), "each lived for 0.8 s");
}

#[test]
fn a_record_in_parts_stays_within_its_bounds() {
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
        assert!(rate <= 3.0 * 1024.0, "{rate} bytes a second");
    }
}

#[test]
fn flows_that_rest_cost_one_small_question_in_a_while() {
    let mut world = world_with(1_000);
    world.run(30 * SECOND);
    assert_eq!(world.kept_at(replica(1)).len(), 1_000);
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
fn an_acknowledgement_is_told_again_once_it_has_moved_on() {
    let mut world = world_with(1);
    world.changes.clear();
    world.acknowledge(1, 30 * 1024);
    world.run(2 * SECOND);
    assert!(world.changes.is_empty());
    world.acknowledge(1, 50 * 1024);
    world.run(2 * SECOND);
    assert_eq!(world.changes.len(), 3);
    let answers = world.ask(replica(1));
    assert_eq!(answers[0].flows.acknowledged_steps, [3]);
}

#[test]
fn any_message_may_get_lost() {
    for kind in [
        only_changes,
        only_acknowledgements,
        only_questions,
        only_answers,
    ] {
        let mut world = RecordWorld::new(3);
        (world.loses, world.to_lose) = (kind, 4);
        world.open(1);
        world.run(2 * SECOND);
        world.open(2);
        world.end(1);
        world.run(8 * SECOND);
        assert_eq!(world.kept_at(replica(1)), [2]);
        assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
        world.start_agent();
        world.run(3 * SECOND);
        assert_eq!(world.to_lose, 0, "they did get lost");
        assert_eq!(
            world.agent.recovery_outcome(),
            Some(RecoveryOutcome::Recalled)
        );
    }
}

#[test]
fn a_replica_that_missed_changes_gets_them() {
    let mut world = world_with(3);
    world.cut.insert(replica(2));
    for port in 4..9 {
        world.open(port);
        world.end(port - 3);
        world.run(SECOND);
    }
    assert_eq!(world.kept_at(replica(2)), [1, 2, 3]);
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 1);
    world.cut.clear();
    world.run(10 * SECOND);
    assert_eq!(world.kept_at(replica(2)), [6, 7, 8]);
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
}

#[test]
fn a_replica_that_lost_everything_gets_the_whole() {
    let mut world = world_with(3);
    world.files.clear();
    world.start_replica(replica(1));
    assert!(world.kept_at(replica(1)).is_empty());
    world.run(25 * SECOND);
    assert_eq!(world.kept_at(replica(1)), [1, 2, 3]);
}

#[test]
fn an_agent_that_starts_again_is_told_of_its_former_life() {
    let mut world = world_with(600);
    world.run(10 * SECOND);
    world.start_agent();
    world.run(2 * SECOND);
    let told = world.told(EventKind::FormerFlowsRecalled);
    assert_eq!(told.len(), 1, "once");
    assert!(
        told[0].contains("outcome=Recalled flows=600 "),
        "{}",
        told[0]
    );
}

#[test]
fn the_record_outlives_a_loss_of_power_of_all() {
    let mut world = world_with(5);
    world.run(2 * SECOND);
    for number in 1..=3 {
        world.start_replica(replica(number));
    }
    world.start_agent();
    world.run(3 * SECOND);
    let told = world.told(EventKind::FormerFlowsRecalled);
    assert!(told[0].contains("outcome=Recalled flows=5 "), "{}", told[0]);
}

#[test]
fn replicas_that_come_later_than_the_agent_are_still_asked() {
    let mut world = world_with(5);
    world.start_agent();
    world.cut.extend([replica(1), replica(2), replica(3)]);
    world.open(77);
    world.run(4 * SECOND);
    assert_eq!(world.agent.recovery_outcome(), None);
    world.cut.clear();
    world.run(SECOND);
    let told = world.told(EventKind::FormerFlowsRecalled);
    assert!(told[0].contains("outcome=Recalled flows=5 "), "{}", told[0]);
    world.run(4 * SECOND);
    assert_eq!(
        world.kept_at(replica(3)),
        [1, 2, 3, 4, 5, 77],
        "the new life's takes its place, with the flows that it took over"
    );
}

#[test]
fn what_a_former_life_told_stays_until_it_was_recalled() {
    let mut world = world_with(5);
    (world.loses, world.to_lose) = (only_answers, usize::MAX);
    world.changes.clear();
    world.start_agent();
    world.open(77);
    world.run(5 * SECOND);
    assert!(world.changes.is_empty(), "nothing may take its place");
    world.to_lose = 0;
    assert_eq!(world.kept_at(replica(1)), [1, 2, 3, 4, 5]);
    world.run(2 * SECOND);
    let told = world.told(EventKind::FormerFlowsRecalled);
    assert!(told[0].contains("flows=5 "), "{}", told[0]);
}

#[test]
fn replicas_that_the_agent_learns_of_later_are_asked() {
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
fn the_newest_of_several_records_is_taken() {
    let mut world = world_with(5);
    world.cut.insert(replica(1));
    world.open(6);
    world.run(3 * SECOND);
    world.cut.clear();
    world.cut.extend([replica(2), replica(3)]);
    world.start_agent();
    world.run(200 * MILLI);
    world.cut.clear();
    world.run(2 * SECOND);
    let told = world.told(EventKind::FormerFlowsRecalled);
    assert!(told[0].contains("flows=6 "), "{}", told[0]);
}

#[test]
fn numbers_of_a_new_life_are_above_those_of_the_former() {
    let mut world = world_with(5);
    let former = world.ask(replica(1))[0].revision;
    world.changes.clear();
    world.start_agent();
    world.open(9);
    world.run(4 * SECOND);
    assert!(!world.changes.is_empty());
    assert!(world.changes.iter().all(|(_, _, it)| it.revision > former));
    // The back end lives on: its flows are taken over, and told again.
    assert_eq!(world.kept_at(replica(2)), [1, 2, 3, 4, 5, 9]);
}

#[test]
fn a_life_that_could_not_ask_replaces_the_former_record_at_last() {
    let mut world = world_with(5);
    world.end(5);
    world.run(3 * SECOND);
    (world.loses, world.to_lose) = (only_answers, usize::MAX);
    world.start_agent();
    world.run(31 * SECOND);
    assert_eq!(
        world.agent.recovery_outcome(),
        Some(RecoveryOutcome::Unanswered)
    );
    world.open(9);
    world.run(4 * SECOND);
    world.to_lose = 0;
    for number in 1..=3 {
        assert_eq!(world.kept_at(replica(number)), [9]);
    }
}

#[test]
fn nobody_is_asked_on_the_first_start_or_with_the_record_switched_off() {
    let mut world = world_with(1);
    assert_eq!(world.recalls, 0);
    let off = FlowRecordSettings {
        min_flow_age: Duration::ZERO,
        ..FlowRecordSettings::default()
    };
    let mut off = RecordWorld::with(3, off, ConfigurationNodeSettings::default());
    for world in [&mut off, &mut world] {
        world.changes.clear();
    }
    off.start_agent();
    off.open(1);
    off.run(5 * SECOND);
    assert!(off.changes.is_empty());
    assert_eq!(off.recalls, 0);
}

#[test]
fn a_replica_without_room_keeps_nothing_of_the_record() {
    let node = ConfigurationNodeSettings {
        max_flow_record_bytes: 8 * 1024,
        ..ConfigurationNodeSettings::default()
    };
    let mut world = RecordWorld::with(3, FlowRecordSettings::default(), node);
    world.open(1);
    world.run(2 * SECOND);
    assert_eq!(world.kept_at(replica(1)), [1]);
    (2..400).for_each(|port| world.open(port));
    world.run(20 * SECOND);
    assert!(world.kept_at(replica(1)).is_empty());
    let now = world.now;
    let kept = world.replica_mut(replica(1)).flow_record_stats(now);
    assert!(kept.bytes <= 8 * 1024 && kept.refused > 0, "{kept:?}");
    assert!(kept.refused < 8, "it is not asked all the time: {kept:?}");
    assert_eq!(world.agent.flow_record_stats().full_replicas, 3);
    assert_eq!(world.told(EventKind::FlowRecordRefused).len(), 3);
    (2..400).for_each(|port| world.end(port));
    world.run(60 * SECOND);
    assert_eq!(world.kept_at(replica(1)), [1], "there is room again");
}

#[test]
fn neither_small_records_nor_parts_of_large_ones_pass_the_bound() {
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
            let kept = world.replica_mut(replica(1)).flow_record_stats(now);
            assert!(kept.bytes <= 8 * 1024, "{kept:?}");
        }
        let kept = world.replica_mut(replica(1)).flow_record_stats(now);
        assert!(kept.refused > 900, "{kept:?}");
    }
}

#[test]
fn an_agent_records_so_many_flows_and_counts_the_rest() {
    let few = FlowRecordSettings {
        max_flows: 10,
        ..FlowRecordSettings::default()
    };
    let mut world = RecordWorld::with(3, few, ConfigurationNodeSettings::default());
    (1..=15).for_each(|port| world.open(port));
    world.run(3 * SECOND);
    assert_eq!(world.kept_at(replica(1)).len(), 10);
    let figures = world.agent.flow_record_stats();
    assert_eq!((figures.recorded, figures.over_limit), (10, 5));
}

#[test]
fn a_disk_that_fails_costs_the_file_only() {
    let mut world = RecordWorld::new(3);
    world.disk = Disk::Fails;
    world.open(1);
    world.run(10 * SECOND);
    assert_eq!(world.kept_at(replica(1)), [1], "in memory");
    let told = world.told(EventKind::FlowRecordsNotSaved).len();
    assert_eq!(told, 3, "each replica says it once");
    assert!(
        world.written <= 9,
        "{}: tried again at a pace",
        world.written
    );
    world.disk = Disk::Works;
    world.run(6 * SECOND);
    world.start_replica(replica(1));
    assert_eq!(world.kept_at(replica(1)), [1]);
}

#[test]
fn a_disk_that_stands_still_holds_nobody_up() {
    let mut world = RecordWorld::new(3);
    world.disk = Disk::Stalls;
    for port in 1..50 {
        world.open(port);
        world.run(SECOND);
    }
    assert_eq!(world.written, 3, "one write a replica at a time");
    assert_eq!(world.agent.flow_record_stats().unacknowledged, 0);
    assert!(world.kept_at(replica(1)).len() >= 47);
}

#[test]
fn what_cannot_be_read_costs_that_record_only() {
    let mut world = world_with(2);
    world.files.insert(replica(1), vec![vec![0xFF; 9]]);
    world.start_replica(replica(1));
    assert!(world.kept_at(replica(1)).is_empty());
    assert_eq!(world.told(EventKind::FlowRecordsNotSaved).len(), 1);
    world.run(25 * SECOND);
    assert_eq!(world.kept_at(replica(1)), [1, 2]);
    world.start_replica(replica(1));
    assert_eq!(world.kept_at(replica(1)), [1, 2], "the file was made anew");
}

#[test]
fn the_file_does_not_grow_with_the_number_of_changes() {
    let mut world = RecordWorld::new(3);
    let mut largest = 0;
    for round in 0..60_u16 {
        let first = 1 + round * 200;
        (first..first + 200).for_each(|port| world.open(port));
        if round > 0 {
            (first - 200..first).for_each(|port| world.end(port));
        }
        world.run(3 * SECOND);
        largest = largest.max(world.file_bytes(replica(1)));
    }
    assert!(largest < 100 * 1024, "{largest}");
    world.start_replica(replica(1));
    assert_eq!(world.kept_at(replica(1)).len(), 200);
}

#[test]
fn the_record_of_an_agent_that_is_gone_is_forgotten() {
    let mut world = world_with(2);
    world.run(SECOND);
    world.cut.insert(replica(1));
    world.run(62 * SECOND);
    let now = world.now;
    let kept = world.replica_mut(replica(1)).flow_record_stats(now);
    assert_eq!((kept.records, kept.bytes), (0, 0));
    world.start_replica(replica(1));
    let kept = world.replica_mut(replica(1)).flow_record_stats(now);
    assert_eq!(kept.records, 0, "in the file as well");
}

#[test]
fn the_record_moves_with_the_membership() {
    let mut world = RecordWorld::new(7);
    world.open(1);
    world.run(3 * SECOND);
    let all: Vec<u8> = (1..=7).collect();
    let keepers = |world: &mut RecordWorld| {
        let mut has = |number: &u8| !world.kept_at(replica(*number)).is_empty();
        all.iter()
            .copied()
            .filter(|it| has(it))
            .collect::<Vec<u8>>()
    };
    let before = keepers(&mut world);
    assert_eq!(before.len(), 3);
    let gone = replica(before[0]);
    let now = world.now;
    let left = all.iter().filter(|it| **it != before[0]);
    let left: Vec<_> = left.map(|number| replica(*number)).collect();
    world.agent.known_replicas_mut().set_seeds(left);
    world.cut.insert(gone);
    world.run(3 * SECOND);
    let after = keepers(&mut world);
    assert_eq!(after.len(), 4, "with the one that is cut off: {after:?}");
    assert!(world.now > now);
    world.run(62 * SECOND);
    assert_eq!(
        keepers(&mut world).len(),
        3,
        "nobody asks the former keeper"
    );
}

#[test]
fn witnesses_are_packets_of_open_flows() {
    let mut world = world_with(3);
    let before = world.ask(replica(1));
    assert_eq!(before[0].probe_packets.len(), 3);
    (1..=3).for_each(|port| world.end(port));
    world.open(4);
    world.run(3 * SECOND);
    let after = world.ask(replica(1));
    assert_eq!(after[0].probe_packets.len(), 1);
    assert!(!before[0].probe_packets.contains(&after[0].probe_packets[0]));
    assert_eq!(after[0].flows.callers.len(), 1);
    assert_ne!(after[0].backend_incarnation, 0);
}
