//! All scenarios.

mod combinations;
mod control_failures;
mod failures;
mod fleet_scenario;
mod promises;
mod steps;

use super::scenario::Scenario;

/// Returns all scenarios in the order in which they are listed.
pub fn all() -> Vec<&'static dyn Scenario> {
    let mut all: Vec<&'static dyn Scenario> = Vec::new();
    let groups = [
        promises::SCENARIOS,
        failures::SCENARIOS,
        control_failures::SCENARIOS,
    ];
    for scenario in groups.into_iter().flatten() {
        all.push(scenario);
    }
    for scenario in combinations::SCENARIOS {
        all.push(scenario);
    }
    all
}
