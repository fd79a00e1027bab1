//! Where new flows went, compared with what operators had been told.

use std::collections::BTreeMap;
use std::time::Duration;

use super::violation;
use crate::simulator::engine::VirtualTime;
use crate::simulator::scenario::Violation;
use crate::simulator::schedule::action::Parity;
use crate::simulator::workload::protocol::AttemptId;
use crate::simulator::world::{ChangeOutcome, ChangeRecord, Intent, World};

/// A leaving back end gets no new work after a few seconds.
pub const NO_NEW_WORK: &str = "no-new-work";

/// An accepted policy is in force within seconds and stays in force.
pub const POLICY_IN_FORCE: &str = "policy-in-force";

/// A span of time in which a back end must not get new flows.
#[derive(Clone, Debug)]
struct Ban {
    checker: &'static str,
    backend: String,
    from: VirtualTime,
    until: VirtualTime,
    reason: String,
}

/// No flow that was opened later than `grace` after a back end was excluded
/// reaches it before an operator began to allow it again.
pub fn check_exclusions(world: &World, grace: Duration) -> Vec<Violation> {
    let opened: BTreeMap<AttemptId, VirtualTime> = world
        .attempts()
        .iter()
        .map(|attempt| (attempt.id, attempt.opened))
        .collect();
    let bans = bans(world, grace);
    let mut violations = Vec::new();
    for execution in world.executions() {
        let Some(opened) = opened.get(&execution.id) else {
            continue;
        };
        // An opening packet may be repeated until the exclusion has ended.
        let broken = bans.iter().find(|ban| {
            let was_excluded = *opened >= ban.from && execution.started < ban.until;
            ban.backend == execution.backend && was_excluded
        });
        if let Some(ban) = broken {
            let id = execution.id;
            let started = execution.started;
            let detail = format!(
                "{id} was opened at {opened} and ran at {started} at {}, which was excluded from {} to {} \
                 ({})",
                ban.backend, ban.from, ban.until, ban.reason
            );
            violations.push(violation(ban.checker, detail));
        }
    }
    violations
}

fn bans(world: &World, grace: Duration) -> Vec<Ban> {
    let mut bans = Vec::new();
    for (index, change) in world.changes().iter().enumerate() {
        let accepted = matches!(change.outcome, ChangeOutcome::Accepted { .. });
        let (true, Some(answered)) = (accepted, change.answered) else {
            continue;
        };
        let from = answered + grace;
        match &change.intent {
            Intent::Drain {
                agent,
                draining: true,
            } => bans.push(Ban {
                checker: NO_NEW_WORK,
                backend: world.backend_of(*agent),
                from,
                until: end(world, index, |it| allows_agent(it, *agent)),
                reason: change.request_id.clone(),
            }),
            Intent::Policy { service, eligible } => {
                let until = end(world, index, |it| concerns_policy(it, *service));
                for backend in excluded(world, *service, *eligible) {
                    bans.push(Ban {
                        checker: POLICY_IN_FORCE,
                        backend,
                        from,
                        until,
                        reason: change.request_id.clone(),
                    });
                }
            }
            _ => {}
        }
    }
    bans
}

/// When a later change that lifts the exclusion was first sent. One that was
/// sent before may also have been accepted after it.
fn end(world: &World, index: usize, lifts: impl Fn(&ChangeRecord) -> bool) -> VirtualTime {
    let change = &world.changes()[index];
    let version = accepted_version(change);
    let others = world.changes().iter().filter(|other| {
        let undecided = other.outcome == ChangeOutcome::Unknown;
        undecided || accepted_version(other) > version
    });
    let ends = others.filter(|other| lifts(other)).map(|it| it.invoked);
    ends.min().unwrap_or(VirtualTime::from_micros(u64::MAX))
}

fn accepted_version(change: &ChangeRecord) -> Option<u64> {
    match change.outcome {
        ChangeOutcome::Accepted { version } => Some(version),
        _ => None,
    }
}

fn allows_agent(change: &ChangeRecord, of: usize) -> bool {
    match change.intent {
        Intent::Drain { agent, draining } => agent == of && !draining,
        Intent::Restore => true,
        _ => false,
    }
}

fn concerns_policy(change: &ChangeRecord, of: usize) -> bool {
    match change.intent {
        Intent::Policy { service, .. } => service == of,
        // A setup whose answer was late writes all policies once more.
        Intent::Restore | Intent::Setup => true,
        _ => false,
    }
}

fn excluded(world: &World, service: usize, eligible: Parity) -> Vec<String> {
    let numbers = 0..world.plan().services[service].backends;
    numbers
        .filter(|number| match eligible {
            Parity::All => false,
            Parity::Even => number % 2 == 1,
            Parity::Odd => number % 2 == 0,
        })
        .map(|number| world.backend_in(service, number))
        .collect()
}
