//! Measurements of single roles on one machine: the `bench` subcommand.
//!
//! Each prints one line a figure. Docs quote them together with the command.

mod agent_flows;
mod balancer_packets;
mod control_stub;
mod figure;
mod large_cluster;
mod scripted_caller;
mod view_changes;

use std::io::{self, Write};

use gumdrop::Options;
use snafu::Snafu;

use figure::Figure;

/// Options of `petrellatch-lab bench`.
#[derive(Clone, Debug, Options)]
pub struct BenchOptions {
    /// Print this help.
    pub help: bool,
    /// What to measure: `balancer`, `agent`, `balancer-changes` or
    /// `agent-changes`.
    #[options(free)]
    pub subject: String,
    /// Services of the cluster whose changes are measured.
    #[options(no_short, meta = "N", default = "1000")]
    pub services: u32,
    /// Seconds of each measured part.
    #[options(no_short, meta = "N", default = "3")]
    pub seconds: u64,
    /// Open flows: at the agent, or as caller ports behind the balancer.
    #[options(no_short, meta = "N", default = "2000")]
    pub flows: u32,
}

/// Why nothing was measured.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// There is no such subject.
    #[snafu(display("there is nothing called {subject:?} to measure"))]
    UnknownSubject {
        /// What was asked for.
        subject: String,
    },
    /// A socket or the output failed.
    #[snafu(transparent)]
    Io {
        /// The cause.
        source: io::Error,
    },
}

/// Measures the subject and prints the figures.
pub fn run(options: &BenchOptions, output: &mut impl Write) -> Result<(), BenchError> {
    let figures: Vec<Figure> = match options.subject.as_str() {
        "balancer" => balancer_packets::measure(options)?,
        "agent" => agent_flows::measure(options),
        "balancer-changes" => view_changes::measure_balancer(options),
        "agent-changes" => view_changes::measure_agent(options),
        _ => {
            let subject = options.subject.clone();
            return UnknownSubjectSnafu { subject }.fail();
        }
    };
    for figure in figures {
        writeln!(output, "{figure}")?;
    }
    Ok(())
}
