//! The group forms, grows, replaces machines, readmits returning ones and elects leaders
//! after restarts.

use std::time::Duration;

use super::group::Group;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn three_seeds_found_a_group_and_the_others_join_it() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
}

#[test]
fn a_new_replica_joins_although_no_seed_is_the_leader() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let leader = group.leader().expect("there is a leader");
    let seeds = (1..=5).filter(|index| *index != leader).take(3);
    group.add_empty(6, seeds.collect());
    group.run_until(2 * SECOND, "six voters", |it| it.voters().contains(&6));
}

#[test]
fn a_lost_machine_is_replaced_within_four_seconds() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    group.replace(3, 2);
    let leader = group.leader().expect("there is a leader");
    group.remove(leader);
    group.run(2 * SECOND);
    let seeds = (1..=5).filter(|index| *index != leader).take(3).collect();
    group.add_empty(6, seeds);
    group.run_until(4 * SECOND, "the lost machine is replaced", |it| {
        let voters = it.voters();
        voters.len() == 5 && voters.contains(&6) && !voters.contains(&leader)
    });
    assert_eq!(group.read().version, 3);
}

#[test]
fn a_removed_machine_that_returns_is_readmitted() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let cut = (1..=5).find(|index| Some(*index) != group.leader());
    let cut = cut.expect("there are five machines");
    group.cut_off(cut);
    group.run_until(20 * SECOND, "the silent machine is removed", |it| {
        let voters = it.voters();
        !voters.is_empty() && !voters.contains(&cut)
    });
    group.replace(5, 3);
    group.heal();
    group.run_until(5 * SECOND, "the machine is readmitted", |it| {
        it.voters().contains(&cut)
    });
}

#[test]
fn a_replica_with_an_empty_disk_is_a_learner_until_it_has_caught_up() {
    let mut group = Group::start(3);
    group.replace(7, 2);
    for index in 1..=3 {
        group.run_until(5 * SECOND, "three voters", |it| it.voters().len() == 3);
        group.wipe(index);
        group.run(SECOND);
        group.restart(index);
        group.run(4 * SECOND);
        assert_eq!(
            group.read().version,
            7,
            "after machine {index} lost its disk"
        );
    }
}

#[test]
fn a_minority_that_missed_changes_elects_no_leader_with_an_emptied_disk() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let leader = group.leader().expect("there is a leader");
    let others: Vec<u8> = (1..=5).filter(|index| *index != leader).collect();
    group.cut_off(others[0]);
    group.cut_off(others[1]);
    group.replace(9, 4);
    group.wipe(leader);
    group.kill(others[2]);
    group.kill(others[3]);
    group.restart(leader);
    group.heal();
    group.run(5 * SECOND);
    assert_eq!(
        group.leader(),
        None,
        "no leader may be elected without the change"
    );
    group.restart(others[2]);
    group.restart(others[3]);
    assert_eq!(group.read().version, 9);
}

#[test]
fn a_group_elects_a_leader_soon_after_all_processes_restart() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let mut total = Duration::ZERO;
    const ROUNDS: u32 = 20;
    for _ in 0..ROUNDS {
        for index in 1..=5 {
            group.kill(index);
        }
        group.run(SECOND);
        for index in 1..=5 {
            group.restart(index);
        }
        let start = group.now;
        group.run_until(SECOND, "a leader", |it| it.leader().is_some());
        total += group.now.saturating_since(start);
    }
    let mean = total / ROUNDS;
    assert!(
        mean < Duration::from_millis(150),
        "mean time without a leader: {mean:?}"
    );
}

#[test]
fn a_restarted_process_does_not_depose_the_leader() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let leader = group.leader().expect("there is a leader");
    let others = (1..=5).filter(|index| *index != leader);
    for index in others {
        group.kill(index);
        group.run(100 * Duration::from_millis(1));
        group.restart(index);
        group.run(SECOND);
        assert_eq!(group.leader(), Some(leader));
    }
}

#[test]
fn a_leader_is_elected_soon_after_the_last_voter_of_a_quorum_has_started() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let mut total = Duration::ZERO;
    const ROUNDS: u32 = 20;
    for round in 1..=ROUNDS {
        for index in 1..=5 {
            group.kill(index);
        }
        group.run(SECOND);
        group.restart(1);
        group.restart(2);
        // Elections before this had no quorum.
        group.run(Duration::from_millis(200 + u64::from(round) * 20));
        group.restart(3);
        let start = group.now;
        group.run_until(2 * SECOND, "a leader", |it| it.leader().is_some());
        total += group.now.saturating_since(start);
        group.restart(4);
        group.restart(5);
        group.run(SECOND);
    }
    let mean = total / ROUNDS;
    assert!(
        mean < Duration::from_millis(120),
        "mean time without a leader: {mean:?}"
    );
}

#[test]
fn a_split_vote_is_decided_by_the_next_voter_that_starts() {
    let mut group = Group::start(5);
    group.run_until(5 * SECOND, "five voters", |it| it.voters().len() == 5);
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        for index in 1..=5 {
            group.kill(index);
        }
        group.run(SECOND);
        // Two voters request the vote of a third one just as it starts.
        group.restart(1);
        group.restart(2);
        group.run(Duration::from_millis(400));
        group.restart(3);
        group.run(Duration::from_millis(75));
        group.restart(4);
        let start = group.now;
        group.run_until(2 * SECOND, "a leader", |it| it.leader().is_some());
        longest = longest.max(group.now.saturating_since(start));
        group.restart(5);
        group.run(SECOND);
    }
    assert!(
        longest < Duration::from_millis(250),
        "longest time without a leader: {longest:?}"
    );
}
