//! Reads a settings file and collects all problems in it.

use std::path::Path;

use toml::{Table, Value};

use super::keys;
use super::problem::SettingsProblem;
use super::settings_file::SettingsFile;

/// Maximum number of problems that are listed.
const MAX_PROBLEMS: usize = 64;

/// Reads a settings file and returns it with the problems found in it. Missing keys are
/// not reported here, since they depend on the role and the flags.
pub fn load(path: &Path) -> (SettingsFile, Vec<SettingsProblem>) {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => (
            SettingsFile::default(),
            vec![file_problem(&file, None, format!("can't read: {error}"))],
        ),
    }
}

fn parse(file: &str, text: &str) -> (SettingsFile, Vec<SettingsProblem>) {
    match text.parse::<Table>() {
        Ok(table) => deserialize(file, text, table),
        Err(error) => {
            let line = error.span().map(|span| line_of(text, span.start));
            let message = error.message().trim().replace('\n', ", ");
            let problem = file_problem(file, line, message);
            (SettingsFile::default(), vec![problem])
        }
    }
}

/// Deserializes the table. After a problem it removes the key and tries again, so that
/// all problems are found in one run.
fn deserialize(file: &str, text: &str, mut table: Table) -> (SettingsFile, Vec<SettingsProblem>) {
    let mut problems = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize(Value::Table(table.clone())) {
            Ok(settings) => return (settings, problems),
            Err(error) => error,
        };
        let path = segments(&error);
        let message = error.inner().message().trim().to_string();
        let value = find(&table, &path);
        problems.push(SettingsProblem {
            file: file.to_string(),
            line: line_of_key(text, &path),
            key: path.join("."),
            value: value.map(ToString::to_string).unwrap_or_default(),
            allowed: allowed_for(&path, &message),
            message,
        });
        if !remove(&mut table, &path) {
            break;
        }
    }
    (SettingsFile::default(), problems)
}

fn allowed_for(path: &[String], message: &str) -> String {
    if message.starts_with("unknown field") {
        return String::new();
    }
    let names: Vec<&str> = path
        .iter()
        .map(String::as_str)
        .filter(|segment| segment.parse::<usize>().is_err())
        .collect();
    keys::allowed(&names.join(".")).to_string()
}

fn segments(error: &serde_path_to_error::Error<toml::de::Error>) -> Vec<String> {
    use serde_path_to_error::Segment;
    error
        .path()
        .iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(index.to_string()),
            Segment::Map { key } => Some(key.clone()),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

fn find<'a>(table: &'a Table, path: &[String]) -> Option<&'a Value> {
    let (first, rest) = path.split_first()?;
    rest.iter()
        .try_fold(table.get(first)?, |value, segment| match value {
            Value::Table(inner) => inner.get(segment),
            Value::Array(items) => items.get(segment.parse::<usize>().ok()?),
            _ => None,
        })
}

/// Removes the value at `path` and returns whether it existed. An element of an array is
/// removed with all its keys, since it is invalid without one of them.
fn remove(table: &mut Table, path: &[String]) -> bool {
    match path {
        [] => false,
        [key] => table.remove(key).is_some(),
        [key, rest @ ..] => match table.get_mut(key) {
            Some(Value::Table(inner)) => remove(inner, rest),
            Some(Value::Array(items)) => {
                let index = rest[0].parse::<usize>().unwrap_or(usize::MAX);
                let exists = index < items.len();
                if exists {
                    items.remove(index);
                }
                exists
            }
            _ => false,
        },
    }
}

/// Finds the line of a key by searching the text, since a parsed table does not keep the
/// positions of its keys.
fn line_of_key(text: &str, path: &[String]) -> Option<usize> {
    let names: Vec<&String> = path
        .iter()
        .filter(|segment| segment.parse::<usize>().is_err())
        .collect();
    let (key, section) = names.split_last()?;
    let wanted_section: Vec<&str> = section.iter().map(|name| name.as_str()).collect();
    let wanted_section = wanted_section.join(".");
    let wanted_element = path
        .iter()
        .find_map(|segment| segment.parse::<usize>().ok())
        .unwrap_or(0);
    let mut current = String::new();
    let mut element = 0;
    let mut seen = false;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let name = line.trim_matches(|c| c == '[' || c == ']').trim();
            element = if seen && name == current {
                element + 1
            } else {
                0
            };
            seen = true;
            current = name.to_string();
            if current == **key && wanted_section.is_empty() {
                return Some(index + 1);
            }
            continue;
        }
        let name = line.split('=').next().unwrap_or("").trim();
        if current == wanted_section && element == wanted_element && name == key.as_str() {
            return Some(index + 1);
        }
    }
    None
}

/// The line, from one, of a byte offset.
fn line_of(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// A problem of the file as a whole, without a key.
fn file_problem(file: &str, line: Option<usize>, message: String) -> SettingsProblem {
    SettingsProblem {
        file: file.to_string(),
        line,
        key: String::new(),
        value: String::new(),
        message,
        allowed: String::new(),
    }
}
