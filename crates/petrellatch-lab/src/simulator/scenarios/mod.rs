//! All scenarios.

mod fleet_scenario;
mod promises;

use super::scenario::Scenario;
use fleet_scenario::FleetScenario;

/// Returns all scenarios in the order in which they are listed.
pub fn all() -> Vec<&'static dyn Scenario> {
    let groups: [&'static [FleetScenario]; 1] = [promises::SCENARIOS];
    let scenarios = groups.into_iter().flatten();
    scenarios
        .map(|scenario| scenario as &dyn Scenario)
        .collect()
}
