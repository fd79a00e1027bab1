//! What operators were told about their changes.

use std::collections::{BTreeMap, BTreeSet};

use petrellatch_proto::record::{PolicyRecord, Record};

use super::violation;
use crate::simulator::scenario::Violation;
use crate::simulator::world::{AnsweredRead, ChangeOutcome, ChangeRecord, Intent, World};

/// Of changes based on the same version at most one is accepted.
pub const ONE_WINNER: &str = "one-winner";

/// Reads never miss what was accepted before they began.
pub const FRESH_READS: &str = "fresh-reads";

/// What was accepted is there in the end, and what was refused is not.
pub const CHANGES_STAY: &str = "changes-stay";

/// All members have the newest version in the end.
pub const IN_FORCE_EVERYWHERE: &str = "in-force-everywhere";

/// Every change was decided in the end.
pub const DECIDED: &str = "decided";

/// Changes are accepted one after the other, each based on the one before.
pub fn check_one_winner(world: &World) -> Vec<Violation> {
    let mut winners: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
    let mut violations = Vec::new();
    for change in world.changes() {
        let ChangeOutcome::Accepted { version } = change.outcome else {
            continue;
        };
        let id = &change.request_id;
        let based_on = change.based_on;
        if version <= based_on {
            let detail = format!("{id} based on {based_on} was accepted as {version}");
            violations.push(violation(ONE_WINNER, detail));
        }
        if let Some(other) = winners.insert(based_on, change) {
            let other = &other.request_id;
            let detail = format!("{other} and {id} were both accepted on top of {based_on}");
            violations.push(violation(ONE_WINNER, detail));
        }
    }
    violations
}

/// No read sees an older version than one that was known when it began.
pub fn check_fresh_reads(world: &World) -> Vec<Violation> {
    let mut violations = Vec::new();
    for read in world.reads() {
        let accepted = world.changes().iter().filter_map(accepted_version);
        let before = accepted.filter(|(_, answered)| *answered < read.invoked);
        let newest = before.map(|(version, _)| version).max().unwrap_or(0);
        if read.config_version < newest {
            let detail = format!(
                "a read from {} to {} saw version {} after {newest} was accepted",
                read.invoked, read.answered, read.config_version
            );
            violations.push(violation(FRESH_READS, detail));
        }
    }
    violations
}

/// The last configuration that was read has exactly what was accepted.
pub fn check_changes_stay(world: &World) -> Vec<Violation> {
    let reads = world.reads().iter().rev();
    let Some(configuration) = reads.filter_map(|it| it.configuration.as_ref()).next() else {
        let detail = "the configuration could not be read in the end".to_owned();
        return vec![violation(CHANGES_STAY, detail)];
    };
    let policies: BTreeSet<&str> = configuration
        .records
        .iter()
        .filter_map(|change| policy(change.put.as_ref()))
        .map(|policy| policy.name.as_str())
        .collect();
    let with_marker = world
        .changes()
        .iter()
        .filter(|change| !matches!(change.intent, Intent::Burst { .. }));
    with_marker
        .filter_map(|change| {
            let is_there = policies.contains(change.request_id.as_str());
            let id = &change.request_id;
            match change.outcome {
                ChangeOutcome::Accepted { .. } if !is_there => {
                    Some(format!("{id} was accepted and is gone"))
                }
                ChangeOutcome::Refused { kind } if is_there => {
                    Some(format!("{id} was refused by {kind:?} and took effect"))
                }
                _ => None,
            }
        })
        .map(|detail| violation(CHANGES_STAY, detail))
        .collect()
}

/// The last look at the cluster found no member behind.
pub fn check_in_force_everywhere(world: &World) -> Vec<Violation> {
    let monitors = world.reads().iter().rev();
    let last = monitors.filter(|read| read.configuration.is_none()).take(3);
    let last: Vec<&AnsweredRead> = last.collect();
    if last.iter().any(|read| read.lagging == 0) {
        return Vec::new();
    }
    let lagging = last.first().map(|read| read.lagging);
    let detail = format!("members behind in the end: {lagging:?}");
    vec![violation(IN_FORCE_EVERYWHERE, detail)]
}

/// No change is without an answer in the end.
pub fn check_decided(world: &World) -> Vec<Violation> {
    let open = |change: &&ChangeRecord| change.outcome == ChangeOutcome::Unknown;
    let changes = world.changes().iter().filter(open);
    changes
        .map(|change| {
            let detail = format!(
                "{} from {} has no answer",
                change.request_id, change.invoked
            );
            violation(DECIDED, detail)
        })
        .collect()
}

fn accepted_version(change: &ChangeRecord) -> Option<(u64, crate::simulator::engine::VirtualTime)> {
    match change.outcome {
        ChangeOutcome::Accepted { version } => Some((version, change.answered?)),
        _ => None,
    }
}

fn policy(record: Option<&Record>) -> Option<&PolicyRecord> {
    match record? {
        Record::Policy(policy) => Some(policy),
        _ => None,
    }
}
