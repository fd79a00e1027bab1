//! `petrellatch-lab`: stand-ins and experiments around petrellatch.

use std::error::Error;
use std::process::ExitCode;

use gumdrop::Options;
use petrellatch_lab::backend::{self, BackendOptions};
use petrellatch_lab::bench::{self, BenchOptions};
use petrellatch_lab::caller::{self, CallerOptions};
use petrellatch_lab::experiment::command::{self as experiment, ExperimentOptions};
use petrellatch_lab::fabric::{self, FabricOptions};
use petrellatch_lab::platform::{self, PlatformOptions};
use petrellatch_lab::simulator::command::{self as sim, SimOptions};
use petrellatch_lab::support::logging::terminal_logger;

/// Stand-ins for what surrounds petrellatch. Every long-running subcommand
/// prints one JSON line with its addresses when it is ready, and stops cleanly
/// on SIGTERM.
#[derive(Debug, Options)]
struct CommandLine {
    /// Print this help; after a subcommand, print the help of it.
    help: bool,
    /// Print the version.
    #[options(no_short)]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Serve HTTP as one back end of a service.
    Backend(BackendOptions),
    /// Measure single roles on this machine.
    Bench(BenchOptions),
    /// Compare the product with baselines under load and faults.
    Experiment(ExperimentOptions),
    /// Send HTTP requests and check every answer.
    Caller(CallerOptions),
    /// Spray packets over balancers, with an edge for TCP clients.
    Fabric(FabricOptions),
    /// Serve the platform's lagging list of machines.
    Platform(PlatformOptions),
    /// Simulate whole fleets with faults and check what is promised.
    Sim(SimOptions),
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse_args_default_or_exit();
    if command_line.version {
        println!("petrellatch-lab {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = command_line.command else {
        eprintln!("{}", CommandLine::usage());
        eprintln!("\nSubcommands:\n{}", Command::usage());
        return ExitCode::from(2);
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("petrellatch-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Backend(options) => {
            let log = terminal_logger(options.verbose);
            backend::run(options, log)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Bench(options) => {
            bench::run(&options, &mut std::io::stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Experiment(options) => {
            Ok(experiment::run(&options, &mut std::io::stdout().lock())?)
        }
        Command::Caller(options) => {
            let log = terminal_logger(options.verbose);
            let verdict = caller::load::run(&options, &log)?;
            println!("{verdict}");
            Ok(if verdict.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Command::Fabric(options) => {
            let log = terminal_logger(options.verbose);
            fabric::run(&options, log)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Platform(options) => {
            let log = terminal_logger(options.verbose);
            platform::run(options, &log)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Sim(options) => Ok(sim::run(&options, &mut std::io::stdout().lock())?),
    }
}
