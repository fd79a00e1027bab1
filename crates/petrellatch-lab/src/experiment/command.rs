//! The `experiment` subcommand.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use gumdrop::Options;
use rayon::ThreadPoolBuildError;
use rayon::prelude::{IndexedParallelIterator, IntoParallelIterator, ParallelIterator};
use snafu::{ResultExt, Snafu};

use crate::simulator::command::SeedRange;

use super::baseline::Baseline;
use super::deployment::Deployment;
use super::emulator::{Emulator, OPENING_TIME, RunSettings};
use super::measures::Measures;
use super::product::Product;
use super::report::plot::{self, PlotError};
use super::report::summary::Summary;
use super::report::{print_json, print_table};
use super::variant::{self, SystemKind, Variant};

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// A format that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the formats are text and json"))]
pub struct UnknownFormat;

impl FromStr for OutputFormat {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, UnknownFormat> {
        match name {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// Options of `petrellatch-lab experiment`.
#[derive(Clone, Debug, Options)]
pub struct ExperimentOptions {
    /// Print this help.
    pub help: bool,
    /// The deployment: assessment-gateway or silver-protea.
    #[options(no_short, required, meta = "NAME")]
    pub deployment: Option<Deployment>,
    /// Seeds to run, both ends included.
    #[options(no_short, meta = "A..B", default = "1..10")]
    pub seeds: SeedRange,
    /// Names of the variants to run, separated by commas, or `all`.
    #[options(no_short, meta = "NAMES", default = "all")]
    pub variants: String,
    /// The share of all slots that is busy on average, in percent.
    #[options(no_short, meta = "PERCENT", default = "70")]
    pub load: u32,
    /// Leave all faults and changes out.
    #[options(no_short)]
    pub calm: bool,
    /// text or json.
    #[options(no_short, meta = "FORMAT", default = "text")]
    pub output: OutputFormat,
    /// Draw SVG plots into this folder.
    #[options(no_short, meta = "DIR")]
    pub plot: Option<PathBuf>,
    /// How many runs go on at once.
    #[options(no_short, meta = "N", default = "3")]
    pub threads: usize,
}

/// Why an experiment did not run.
#[derive(Debug, Snafu)]
pub enum ExperimentError {
    /// No deployment was named.
    #[snafu(display("name a deployment with --deployment"))]
    NoDeployment,
    /// There is no such variant.
    #[snafu(display("there is no variant {name:?}; there are {known}"))]
    UnknownVariant {
        /// The name.
        name: String,
        /// All names.
        known: String,
    },
    /// No threads could be started.
    #[snafu(display("the threads could not be started: {source}"))]
    Threads {
        /// Why.
        source: ThreadPoolBuildError,
    },
    /// The results could not be printed.
    #[snafu(display("the results could not be printed: {source}"))]
    Print {
        /// Why.
        source: io::Error,
    },
    /// The plots could not be drawn.
    #[snafu(display("the plots could not be drawn: {source}"))]
    Plot {
        /// Why.
        source: PlotError,
    },
}

/// Runs the subcommand.
pub fn run(
    options: &ExperimentOptions,
    output: &mut dyn Write,
) -> Result<ExitCode, ExperimentError> {
    let deployment = options.deployment.ok_or(ExperimentError::NoDeployment)?;
    let variants = choose(&options.variants)?;
    let seeds: Vec<u64> = options.seeds.0.clone().collect();
    let settings = |seed| RunSettings {
        deployment,
        seed,
        load: f64::from(options.load) / 100.0,
        with_churn: !options.calm,
        opening_time: OPENING_TIME,
    };
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.threads)
        .build()
        .context(ThreadsSnafu)?;
    let mut summaries = Vec::new();
    for variant in variants {
        let runs: Vec<Measures> = pool.install(|| {
            let seeds = seeds.clone().into_par_iter().with_max_len(1);
            seeds
                .map(|seed| run_once(settings(seed), variant))
                .collect()
        });
        summaries.push(Summary::of(variant, &deployment, &runs));
    }
    match options.output {
        OutputFormat::Text => print_table(&deployment, options, &summaries, output),
        OutputFormat::Json => print_json(&deployment, options, &summaries, output),
    }
    .context(PrintSnafu)?;
    if let Some(folder) = &options.plot {
        plot::draw(folder, &deployment, &summaries).context(PlotSnafu)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs one system once.
pub fn run_once(settings: RunSettings, variant: Variant) -> Measures {
    match variant.system {
        SystemKind::Product(product) => {
            Emulator::new(settings, Product::new(settings, product)).run()
        }
        SystemKind::Baseline(kind) => Emulator::new(settings, Baseline::new(settings, kind)).run(),
    }
}

fn choose(names: &str) -> Result<Vec<Variant>, ExperimentError> {
    let all = variant::all();
    if names == "all" {
        return Ok(all);
    }
    names
        .split(',')
        .map(|name| {
            let found = all.iter().find(|variant| variant.name == name).copied();
            found.ok_or_else(|| {
                let known: Vec<&str> = all.iter().map(|variant| variant.name).collect();
                ExperimentError::UnknownVariant {
                    name: name.to_owned(),
                    known: known.join(", "),
                }
            })
        })
        .collect()
}
