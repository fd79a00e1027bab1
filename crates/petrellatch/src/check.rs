//! The `check` command.

use crate::command_line::{CheckOptions, DaemonOptions};
use crate::error::ProgramError;
use crate::settings::{KEYS, Role, load, read_cluster_key, resolve};

/// Checks settings files and prints the result.
pub fn run(options: &CheckOptions) -> Result<(), ProgramError> {
    if options.keys {
        print_keys();
        return Ok(());
    }
    let role = options
        .role
        .as_deref()
        .map(str::parse::<Role>)
        .transpose()
        .map_err(|message| ProgramError::Usage { message })?;
    if options.files.is_empty() {
        let message = "a settings file is missing".to_string();
        return Err(ProgramError::Usage { message });
    }
    let mut problems = Vec::new();
    for path in &options.files {
        let name = path.display().to_string();
        let (file, mut found) = load(path);
        if let Err(more) = resolve(&name, file.clone(), &DaemonOptions::default(), role) {
            found.extend(more);
        }
        if let Some(key_file) = &file.cluster.key_file {
            found.extend(read_cluster_key(key_file).err().map(|problem| *problem));
        }
        if found.is_empty() {
            println!("{name}: nothing is wrong");
        }
        problems.extend(found);
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(ProgramError::Settings { problems })
    }
}

fn print_keys() {
    for description in KEYS {
        let default = match description.default {
            "" => String::new(),
            default => format!(" (default {default})"),
        };
        println!("{}: {}{default}", description.key, description.allowed);
    }
}
