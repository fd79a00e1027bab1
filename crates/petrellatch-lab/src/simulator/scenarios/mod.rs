//! All scenarios.

mod combinations;
mod failures;
mod fleet_scenario;
mod promises;
mod steps;

use super::scenario::Scenario;

/// Returns all scenarios in the order in which they are listed.
pub fn all() -> Vec<&'static dyn Scenario> {
    let mut all: Vec<&'static dyn Scenario> = Vec::new();
    for scenario in promises::SCENARIOS.iter().chain(failures::SCENARIOS) {
        all.push(scenario);
    }
    for scenario in combinations::SCENARIOS {
        all.push(scenario);
    }
    all
}
