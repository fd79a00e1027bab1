//! The `sim` subcommand.

use std::fmt;
use std::io::{self, Write};
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::str::FromStr;

use gumdrop::Options;
use snafu::{ResultExt, Snafu};

use super::mutation::Mutation;
use super::runner::{self, RunResult, Summary};
use super::scenario::{RunSettings, Scenario};
use super::scenarios;

/// How many violations of one run are printed.
const PRINTED_VIOLATIONS: usize = 5;

/// A range of seeds, written `FIRST..LAST`; both ends belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedRange(pub RangeInclusive<u64>);

/// Options of `petrellatch-lab sim`.
#[derive(Clone, Debug, Options)]
pub struct SimOptions {
    /// Print this help.
    pub help: bool,
    /// A scenario's name, or `all`.
    #[options(no_short, default = "all")]
    pub scenario: String,
    /// Seeds to run, both ends included.
    #[options(no_short, meta = "A..B", default = "1..10")]
    pub seeds: SeedRange,
    /// List the scenarios and mutations.
    #[options(no_short)]
    pub list: bool,
    /// Print every event.
    #[options(no_short)]
    pub trace: bool,
    /// Build this fault into the system.
    #[options(no_short, meta = "NAME")]
    pub mutation: Option<Mutation>,
    /// How many runs go on at once; by default one a processor.
    #[options(no_short, meta = "N", default = "0")]
    pub threads: usize,
}

/// Why the simulator did not run.
#[derive(Debug, Snafu)]
pub enum SimError {
    /// There is no such scenario.
    #[snafu(display("there is no scenario {name:?}; `--list` shows all"))]
    UnknownScenario {
        /// The name.
        name: String,
    },
    /// No threads could be started.
    #[snafu(display("the threads could not be started: {source}"))]
    Threads {
        /// Why.
        source: rayon::ThreadPoolBuildError,
    },
    /// The results could not be printed.
    #[snafu(display("the results could not be printed: {source}"))]
    Print {
        /// Why.
        source: io::Error,
    },
}

/// A range of seeds that is not `FIRST..LAST`.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("seeds are written FIRST..LAST, for instance 1..200"))]
pub struct SeedRangeError;

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, SeedRangeError> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError)?;
        let first = first.parse().map_err(|_| SeedRangeError)?;
        let last = last.parse().map_err(|_| SeedRangeError)?;
        Ok(SeedRange(first..=last))
    }
}

impl fmt::Display for SeedRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}..{}", self.0.start(), self.0.end())
    }
}

/// Runs the subcommand; it fails if any run does.
pub fn run(options: &SimOptions, output: &mut dyn Write) -> Result<ExitCode, SimError> {
    if options.list {
        return list(output).context(PrintSnafu);
    }
    let chosen = choose(&options.scenario)?;
    let settings = RunSettings {
        mutation: options.mutation,
        prints_trace: options.trace,
    };
    let seeds = options.seeds.0.clone();
    let results =
        runner::run_all(&chosen, seeds, settings, options.threads).context(ThreadsSnafu)?;
    print(&chosen, &results, settings, output).context(PrintSnafu)
}

fn choose(name: &str) -> Result<Vec<&'static dyn Scenario>, SimError> {
    let all = scenarios::all();
    if name == "all" {
        return Ok(all);
    }
    let chosen: Vec<&'static dyn Scenario> = all
        .into_iter()
        .filter(|scenario| scenario.name() == name)
        .collect();
    if chosen.is_empty() {
        return UnknownScenarioSnafu { name }.fail();
    }
    Ok(chosen)
}

fn list(output: &mut dyn Write) -> io::Result<ExitCode> {
    for scenario in scenarios::all() {
        let promise = format!("{:?}", scenario.promise());
        writeln!(
            output,
            "{:32} {promise:32} {}",
            scenario.name(),
            scenario.failure()
        )?;
    }
    for mutation in Mutation::ALL {
        writeln!(
            output,
            "--mutation {:21} {}",
            mutation.name(),
            mutation.description().trim()
        )?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print(
    scenarios: &[&dyn Scenario],
    results: &[RunResult],
    settings: RunSettings,
    output: &mut dyn Write,
) -> io::Result<ExitCode> {
    for scenario in scenarios {
        let of_scenario: Vec<&RunResult> = results
            .iter()
            .filter(|result| result.scenario == scenario.name())
            .collect();
        print_scenario(*scenario, &of_scenario, settings, output)?;
    }
    let summary = Summary::of(results);
    writeln!(
        output,
        "{:.1} simulated minutes a second of one thread",
        summary.simulated_minutes_per_second
    )?;
    writeln!(
        output,
        "{} passed, {} failed",
        summary.passed, summary.failed
    )?;
    if summary.failed == 0 {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

fn print_scenario(
    scenario: &dyn Scenario,
    results: &[&RunResult],
    settings: RunSettings,
    output: &mut dyn Write,
) -> io::Result<()> {
    let failed: Vec<&&RunResult> = results.iter().filter(|result| !result.passed()).collect();
    let counts = results.iter().map(|result| result.report.counts);
    let attempts: u64 = counts.clone().map(|count| count.attempts).sum();
    let answered: u64 = counts.clone().map(|count| count.answered).sum();
    let refused: u64 = counts.clone().map(|count| count.refused).sum();
    let broken: u64 = counts.clone().map(|count| count.broken).sum();
    let changes: u64 = counts.map(|count| count.accepted_changes).sum();
    writeln!(
        output,
        "{:32} {} passed, {} failed; requests: {attempts} tried, {answered} answered, \
         {refused} refused, {broken} broken; {changes} changes accepted",
        scenario.name(),
        results.len() - failed.len(),
        failed.len(),
    )?;
    for result in &failed {
        print_failure(result, settings, output)?;
    }
    if let Some(first) = failed.first()
        && let Some(smaller) = scenario.shrink(first.seed, settings)
    {
        writeln!(output, "  smallest failing schedule: {smaller}")?;
    }
    Ok(())
}

fn print_failure(
    result: &RunResult,
    settings: RunSettings,
    output: &mut dyn Write,
) -> io::Result<()> {
    writeln!(output, "  repeat: {}", result.command(settings))?;
    let violations = &result.report.violations;
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        writeln!(output, "    {violation}")?;
    }
    if violations.len() > PRINTED_VIOLATIONS {
        let more = violations.len() - PRINTED_VIOLATIONS;
        writeln!(output, "    and {more} more")?;
    }
    Ok(())
}
