//! The `logs` command: what the processes logged about one flow or one
//! version of the configuration, in order, with what is missing.

mod flow_story;
mod log_line;
mod version_story;

use std::io::Read;
use std::path::PathBuf;

pub use flow_story::FlowStory;
pub use log_line::LogLine;
pub use version_story::VersionStory;

use crate::command_line::LogsOptions;
use crate::error::ProgramError;

/// Prints the story that the options ask for.
///
/// # Errors
///
/// Neither or both of a flow and a version are named, or a file can't be read.
pub fn run(options: &LogsOptions) -> Result<(), ProgramError> {
    let story = match (&options.flow, options.configuration) {
        (Some(flow), None) => {
            let lines = read_lines(&options.files)?;
            FlowStory::new(&lines, flow).to_string()
        }
        (None, Some(version)) => {
            let lines = read_lines(&options.files)?;
            VersionStory::new(&lines, version).to_string()
        }
        _ => {
            let message = "name either a flow or a configuration version".to_owned();
            return Err(ProgramError::Usage { message });
        }
    };
    print!("{story}");
    Ok(())
}

/// Reads the lines of all files, or of standard input if there is none, in the
/// order of their times.
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
