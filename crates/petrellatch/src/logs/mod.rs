//! The `logs` command: a timeline of the log lines of all processes about one flow or
//! one version of the configuration, with what is missing; or a summary of all lines by
//! time.

mod flow_timeline;
mod log_line;
mod summary;
mod version_timeline;

use std::io::{BufRead, Read};
use std::path::PathBuf;

pub use flow_timeline::FlowTimeline;
pub use log_line::LogLine;
pub use summary::{Cause, Column, Summary, SummaryReport};
pub use version_timeline::VersionTimeline;

use crate::command_line::LogsOptions;
use crate::error::ProgramError;

/// Maximum length of a line in bytes; the processes write lines under 1 KB.
const MAX_LINE_BYTES: u64 = 65_536;

/// Prints the timeline or the summary that the options select.
///
/// # Errors
///
/// The options don't select exactly one of a flow, a version and the summary, or a file
/// can't be read.
pub fn run(options: &LogsOptions) -> Result<(), ProgramError> {
    let output = match (&options.flow, options.configuration) {
        (None, None) if options.summary => summarize(options)?,
        _ if options.summary || options.json || options.slice.is_some() => {
            let message = "name either --summary, or a flow, or a configuration version; \
                           --slice and --json go with --summary"
                .to_owned();
            return Err(ProgramError::Usage { message });
        }
        (Some(flow), None) => {
            let lines = read_lines(&options.files)?;
            FlowTimeline::new(&lines, flow).to_string()
        }
        (None, Some(version)) => {
            let lines = read_lines(&options.files)?;
            VersionTimeline::new(&lines, version).to_string()
        }
        _ => {
            let message =
                "name either a flow or a configuration version, or ask for --summary".to_owned();
            return Err(ProgramError::Usage { message });
        }
    };
    print!("{output}");
    Ok(())
}

/// Counts the lines of all files, or of standard input if no file is given, and returns
/// the report.
fn summarize(options: &LogsOptions) -> Result<String, ProgramError> {
    let mut summary = Summary::default();
    if options.files.is_empty() {
        let read = count_lines(&mut summary, std::io::stdin().lock());
        read.map_err(|error| unreadable("standard input", &error))?;
    }
    for path in &options.files {
        let file = std::fs::File::open(path);
        let read = file.and_then(|file| count_lines(&mut summary, std::io::BufReader::new(file)));
        read.map_err(|error| unreadable(&path.display().to_string(), &error))?;
    }
    let report = summary.report(options.slice);
    Ok(match options.json {
        true => format!("{}\n", report.to_json()),
        false => report.to_string(),
    })
}

/// Counts lines and keeps only one of them in memory. A line over the maximum length is
/// split; its parts are not valid log lines and are ignored.
fn count_lines(summary: &mut Summary, mut input: impl BufRead) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let mut part = input.by_ref().take(MAX_LINE_BYTES);
        if part.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&bytes)) {
            summary.add(&line);
        }
    }
}

/// Reads the lines of all files, or of standard input if no file is given, sorted by
/// time.
fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, ProgramError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| unreadable("standard input", &error))?;
        lines.extend(LogLine::parse_all(&text));
    }
    for path in files {
        let bytes = std::fs::read(path);
        let bytes = bytes.map_err(|error| unreadable(&path.display().to_string(), &error))?;
        lines.extend(LogLine::parse_all(&String::from_utf8_lossy(&bytes)));
    }
    lines.sort();
    Ok(lines)
}

fn unreadable(name: &str, error: &std::io::Error) -> ProgramError {
    let message = format!("can't read {name}: {error}");
    ProgramError::Usage { message }
}
