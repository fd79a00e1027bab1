//! Runs scenarios over many seeds in parallel.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use rayon::prelude::{IndexedParallelIterator, IntoParallelIterator, ParallelIterator};
use rayon::{ThreadPoolBuildError, ThreadPoolBuilder};

use super::scenario::{RunReport, RunSettings, Scenario};

/// One run of one scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunResult {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// What the run showed.
    pub report: RunReport,
    /// Processor time of the run, as the time that it took on its thread.
    pub elapsed: Duration,
}

/// The sum of many runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Runs without a violation.
    pub passed: usize,
    /// Runs with one.
    pub failed: usize,
    /// Virtual minutes that passed for every second of one thread.
    pub simulated_minutes_per_second: f64,
}

/// Runs every scenario with every seed on `threads` threads. The results are in
/// the order of scenarios and seeds, whatever the number of threads.
pub fn run_all(
    scenarios: &[&dyn Scenario],
    seeds: RangeInclusive<u64>,
    settings: RunSettings,
    threads: usize,
) -> Result<Vec<RunResult>, ThreadPoolBuildError> {
    let pool = ThreadPoolBuilder::new().num_threads(threads).build()?;
    let runs: Vec<(&dyn Scenario, u64)> = scenarios
        .iter()
        .flat_map(|scenario| seeds.clone().map(move |seed| (*scenario, seed)))
        .collect();
    let results = pool.install(|| {
        runs.into_par_iter()
            .with_max_len(1)
            .map(|(scenario, seed)| run_once(scenario, seed, settings))
            .collect()
    });
    Ok(results)
}

fn run_once(scenario: &dyn Scenario, seed: u64, settings: RunSettings) -> RunResult {
    let started = Instant::now();
    let report = scenario.run(seed, settings);
    RunResult {
        scenario: scenario.name(),
        seed,
        report,
        elapsed: started.elapsed(),
    }
}

impl RunResult {
    /// Returns whether nothing was violated.
    pub fn passed(&self) -> bool {
        self.report.violations.is_empty()
    }

    /// Returns the command that repeats the run.
    pub fn command(&self, settings: RunSettings) -> String {
        let RunResult { scenario, seed, .. } = self;
        let mut command =
            format!("petrellatch-lab sim --scenario {scenario} --seeds {seed}..{seed}");
        if let Some(mutation) = settings.mutation {
            command.push_str(" --mutation ");
            command.push_str(mutation.name());
        }
        command
    }
}

impl Summary {
    /// Adds up runs.
    pub fn of(results: &[RunResult]) -> Self {
        let passed = results.iter().filter(|result| result.passed()).count();
        let simulated: Duration = results.iter().map(|result| result.report.simulated).sum();
        let elapsed: Duration = results.iter().map(|result| result.elapsed).sum();
        let minutes = simulated.as_secs_f64() / 60.0;
        Summary {
            passed,
            failed: results.len() - passed,
            simulated_minutes_per_second: minutes / elapsed.as_secs_f64().max(f64::EPSILON),
        }
    }
}
