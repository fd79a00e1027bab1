//! One scenario for each point of "What must always hold".

use std::time::Duration;

use super::fleet_scenario::{Breakage, FleetScenario};
use crate::simulator::scenario::Promise;
use crate::simulator::schedule::Schedule;
use crate::simulator::world::FleetPlan;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The scenarios.
pub const SCENARIOS: &[FleetScenario] = &[FleetScenario {
    name: "request-is-served",
    promise: Promise::AnswersAreWholeAndOwn,
    failure: "nothing fails",
    plan: FleetPlan::small,
    schedule: |_| Schedule::default(),
    disturbed_until: seconds(8),
    breakage: Breakage::Never,
    grace: seconds(4),
}];
