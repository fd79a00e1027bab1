//! How long requests take to run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many times slower the first request of a cold back end runs.
const COLD_START_FACTOR: f64 = 5.0;
/// Shape of the Pareto distribution; its variance is infinite before the cap.
const TAIL_SHAPE: f64 = 1.5;
/// Longest service time, as a multiple of the mean.
const CAP_FACTOR: f64 = 50.0;

/// The shape of the service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// Exponential: the ordinary model of independent work.
    Exponential,
    /// Pareto: a few requests take very long.
    HeavyTailed,
}

/// A seeded source of service times.
#[derive(Debug)]
pub struct ServiceTimes {
    random: ChaCha8Rng,
    distribution: Distribution,
    mean: Duration,
    cold_start: Duration,
}

impl ServiceTimes {
    /// Makes a source of times with this mean. During `cold_start` after the
    /// start of the back end, times are longer by a factor that falls
    /// linearly to one.
    pub fn new(
        seed: u64,
        distribution: Distribution,
        mean: Duration,
        cold_start: Duration,
    ) -> ServiceTimes {
        ServiceTimes {
            random: ChaCha8Rng::seed_from_u64(seed),
            distribution,
            mean,
            cold_start,
        }
    }

    /// Draws the service time of a request that begins at this age of the
    /// back end.
    pub fn draw(&mut self, age: Duration) -> Duration {
        let warm = self.mean.mul_f64(self.draw_factor().min(CAP_FACTOR));
        warm.mul_f64(self.cold_factor(age))
    }

    /// Draws from a distribution whose mean is one.
    fn draw_factor(&mut self) -> f64 {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        match self.distribution {
            Distribution::Exponential => -uniform.ln(),
            Distribution::HeavyTailed => {
                let minimum = (TAIL_SHAPE - 1.0) / TAIL_SHAPE;
                minimum * uniform.powf(-1.0 / TAIL_SHAPE)
            }
        }
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + (COLD_START_FACTOR - 1.0) * remaining
    }
}
