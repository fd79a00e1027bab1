//! The loss of a zone never takes a majority of the replicas.

use std::time::Duration;

use super::group::Group;

const SECOND: Duration = Duration::from_secs(1);
/// Number of machines, numbered from 1.
const MACHINES: u8 = 9;
/// Zone of each machine by its number. Machines 1, 2 and 3 found the group.
const ZONES: [&str; 10] = ["", "a", "b", "c", "a", "b", "a", "b", "c", "c"];

fn machines_in(zone: &str) -> Vec<u8> {
    (1..=MACHINES)
        .filter(|it| ZONES[usize::from(*it)] == zone)
        .collect()
}

/// Whether the loss of any zone leaves a majority of the voters.
fn tolerates_zone_loss(voters: &[u8]) -> bool {
    ["a", "b", "c"].iter().all(|zone| {
        let in_zone = |it: &&u8| ZONES[usize::from(**it)] == *zone;
        let lost = voters.iter().filter(in_zone).count();
        (voters.len() - lost) * 2 > voters.len()
    })
}

fn formed_group() -> Group {
    let mut group = Group::start_in(MACHINES, ZONES.to_vec());
    group.replace(3, 1);
    group.run_until(10 * SECOND, "all machines are voters", |it| {
        it.voters().len() == usize::from(MACHINES)
    });
    group
}

#[test]
fn a_growing_group_has_a_majority_of_voters_in_no_zone() {
    let mut group = Group::start_in(MACHINES, ZONES.to_vec());
    group.replace(3, 1);
    let mut sizes = Vec::new();
    for _ in 0..5_000 {
        let voters = group.voters();
        if sizes.last() != Some(&voters.len()) {
            sizes.push(voters.len());
        }
        // Of an even number of voters, half may be in the zone of the newest one.
        let is_odd = voters.len() % 2 == 1;
        assert!(!is_odd || tolerates_zone_loss(&voters), "{voters:?}");
        group.run(Duration::from_millis(1));
    }
    assert_eq!(group.voters().len(), usize::from(MACHINES), "{sizes:?}");
}

#[test]
fn a_zone_may_be_lost_after_another_one_has_returned() {
    let mut group = formed_group();
    for machine in machines_in("a") {
        group.kill(machine);
    }
    group.run(20 * SECOND);
    let voters = group.voters();
    assert!(tolerates_zone_loss(&voters), "{voters:?}");
    group.set_zone_evacuated_and_wait("a", true);

    for machine in machines_in("a") {
        group.restart(machine);
    }
    group.run(2 * SECOND);
    for machine in machines_in("b") {
        group.kill(machine);
    }
    group.run(2 * SECOND);
    group.replace(9, 2);
    group.set_zone_evacuated_and_wait("a", false);
}

#[test]
fn a_replaced_machine_leaves_the_group() {
    let mut group = formed_group();
    group.remove(4);
    // An empty machine takes its place; it announces its zone like all others.
    group.add_empty(4, vec![1, 2, 3]);
    group.run(15 * SECOND);
    let voters = group.voters();
    assert_eq!(voters.len(), usize::from(MACHINES), "{voters:?}");
    assert!(tolerates_zone_loss(&voters), "{voters:?}");
}
