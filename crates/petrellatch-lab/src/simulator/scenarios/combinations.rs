//! Failures that come together and twice, by generated schedules.

use std::time::Duration;

use super::fleet_scenario::{Breakage, FleetScenario};
use super::steps::small_logs;
use crate::simulator::scenario::{Promise, RunReport, RunSettings, Scenario};
use crate::simulator::schedule::Schedule;
use crate::simulator::schedule::generator::{GeneratedSchedule, GeneratorSettings};
use crate::simulator::world::FleetPlan;

/// A scenario whose schedules are generated and made smaller when they fail.
pub struct CombinationScenario {
    fleet: FleetScenario,
    generator: GeneratorSettings,
}

const DISTURBED_UNTIL: Duration = Duration::from_secs(60);

const fn combination(
    name: &'static str,
    failure: &'static str,
    plan: fn() -> FleetPlan,
    generator: GeneratorSettings,
) -> CombinationScenario {
    CombinationScenario {
        fleet: FleetScenario {
            name,
            promise: Promise::FailuresCombine,
            failure,
            plan,
            schedule: |_| Schedule::default(),
            disturbed_until: DISTURBED_UNTIL,
            breakage: Breakage::OfFailedBackends,
            may_refuse: false,
            grace: Duration::from_secs(30),
        },
        generator,
    }
}

/// The scenarios.
pub const SCENARIOS: &[CombinationScenario] = &[
    combination(
        "two-or-three-failures",
        "two or three generated failures and changes",
        FleetPlan::small,
        GeneratorSettings {
            seconds: (8, 30),
            steps: (2, 3),
            disks_may_be_lost: true,
            agents_may_die: true,
        },
    ),
    combination(
        "many-failures",
        "up to ten generated failures and changes on a small log",
        lossy_small_logs,
        GeneratorSettings {
            seconds: (8, 32),
            steps: (5, 10),
            disks_may_be_lost: true,
            agents_may_die: true,
        },
    ),
    combination(
        "twice",
        "two or three generated failures, and the same ones again later",
        FleetPlan::small,
        GeneratorSettings {
            seconds: (8, 18),
            steps: (2, 3),
            disks_may_be_lost: false,
            agents_may_die: true,
        },
    ),
];

/// After this time the failures of `twice` come again.
const AGAIN_AFTER: Duration = Duration::from_secs(14);

fn lossy_small_logs() -> FleetPlan {
    FleetPlan {
        answer_loss_ppm: 50_000,
        ..small_logs()
    }
}

impl CombinationScenario {
    fn complete(&self, schedule: Schedule) -> Schedule {
        let mut steps = schedule.steps;
        if self.fleet.name == "twice" {
            let again: Vec<_> = steps.clone();
            steps.extend(again.into_iter().map(|mut step| {
                step.at += AGAIN_AFTER;
                step
            }));
        }
        self.fleet.restore_after(Schedule { steps })
    }
}

impl Scenario for CombinationScenario {
    fn name(&self) -> &'static str {
        self.fleet.name
    }

    fn promise(&self) -> Promise {
        self.fleet.promise
    }

    fn failure(&self) -> &'static str {
        self.fleet.failure
    }

    fn run(&self, seed: u64, settings: RunSettings) -> RunReport {
        let generated = GeneratedSchedule::new(seed, self.generator).current();
        let schedule = self.complete(generated);
        self.fleet.run_schedule(schedule, seed, settings)
    }

    fn shrink(&self, seed: u64, settings: RunSettings) -> Option<String> {
        let settings = RunSettings {
            prints_trace: false,
            ..settings
        };
        let generated = GeneratedSchedule::new(seed, self.generator);
        let smallest = generated.shrink(|schedule| {
            let schedule = self.complete(schedule.clone());
            let report = self.fleet.run_schedule(schedule, seed, settings);
            !report.violations.is_empty()
        });
        Some(format!("{:?}", smallest.steps))
    }
}
