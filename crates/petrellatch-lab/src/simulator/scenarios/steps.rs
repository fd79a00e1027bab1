//! Steps that several schedules share.

use std::time::Duration;

use rand::RngExt;

use crate::simulator::engine::network::Disturbance;
use crate::simulator::engine::random::Random;
use crate::simulator::schedule::action::Parity;
use crate::simulator::schedule::{Fault, Target};
use crate::simulator::world::FleetPlan;

/// The balancer of a small fleet that does not run from the start.
pub const SPARE_BALANCER: Target = Target::Balancer(3);

/// Makes a duration.
pub const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Draws a time between two numbers of seconds.
pub fn at(random: &mut Random, from: u64, until: u64) -> Duration {
    Duration::from_millis(random.random_range(from * 1_000..until * 1_000))
}

/// Draws which back ends a policy allows.
pub fn parity(random: &mut Random) -> Parity {
    [Parity::All, Parity::Even, Parity::Odd][random.random_range(0..3)]
}

/// Draws how rough the network is for a while.
pub fn rough(random: &mut Random) -> Fault {
    Fault::Disturb {
        disturbance: Disturbance {
            loss_ppm: random.random_range(0..30_000),
            duplicate_ppm: random.random_range(10_000..100_000),
            late_ppm: random.random_range(10_000..100_000),
            late_by: Duration::from_millis(random.random_range(10..800)),
        },
        duration: seconds(25),
    }
}

/// A fleet whose control replicas keep few entries, so that they need snapshots.
pub fn small_logs() -> FleetPlan {
    FleetPlan {
        compacts_often: true,
        ..FleetPlan::small()
    }
}
