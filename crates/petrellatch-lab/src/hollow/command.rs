//! The command.

use std::error::Error;
use std::path::{Path, PathBuf};

use slog::Logger;

use crate::support::process::print_json_line;

use super::fleet::FleetPlan;
use super::full_copy;
use super::measurement;
use super::options::HollowOptions;

/// Measures and prints the report.
///
/// # Errors
/// Fails when sockets or folders can't be had, when a change is refused, and
/// when the report can't be printed.
pub fn run(options: &HollowOptions, log: &Logger) -> Result<(), Box<dyn Error>> {
    let as_json = options.output == "json";
    if options.full_copy {
        let figures = full_copy::measure(&FleetPlan::of(options));
        if as_json {
            print_json_line(&figures)?;
        } else {
            println!("{figures:?}");
        }
        return Ok(());
    }
    let folder = DataFolder::of(options);
    let report = measurement::measure(options, folder.path(), log)?;
    if as_json {
        print_json_line(&report)?;
    } else {
        report.print();
    }
    Ok(())
}

/// The replicas' folder. A temporary one is removed at the end.
struct DataFolder {
    path: PathBuf,
    is_temporary: bool,
}

impl DataFolder {
    fn of(options: &HollowOptions) -> Self {
        let temporary = || {
            let name = format!("petrellatch-hollow-{}", std::process::id());
            std::env::temp_dir().join(name)
        };
        DataFolder {
            is_temporary: options.data.is_none(),
            path: options.data.clone().unwrap_or_else(temporary),
        }
    }

    fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        if self.is_temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
