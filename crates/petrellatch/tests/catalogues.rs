//! The catalogues in the documentation against the code.

use std::path::Path;

use petrellatch::settings::KEYS;
use petrellatch_core::event::Severity;
use petrellatch_core::{ErrorKind, EventKind};

fn rows(document: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(document);
    let text = std::fs::read_to_string(path).expect("the document is there");
    text.lines()
        .filter(|line| line.starts_with("| `"))
        .map(str::to_string)
        .collect()
}

fn retry_after(kind: ErrorKind) -> String {
    match kind.answer().retry_after {
        Some(wait) => format!("{} ms", wait.as_millis()),
        None => "-".to_string(),
    }
}

#[test]
fn the_error_table_is_the_one_in_the_code() {
    let documented: Vec<String> = rows("ERRORS.md")
        .iter()
        .map(|row| row.split('|').take(6).collect::<Vec<_>>().join("|"))
        .collect();
    let expected: Vec<String> = ErrorKind::ALL
        .into_iter()
        .map(|kind| {
            let answer = kind.answer();
            let retry = if answer.retryable { "yes" } else { "no" };
            let (status, code) = (answer.http_status, answer.exit_code);
            let wait = retry_after(kind);
            format!(
                "| `{}` | {status} | {code} | {retry} | {wait} ",
                answer.name
            )
        })
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn the_event_catalogue_is_the_one_in_the_code() {
    let expected: Vec<String> = EventKind::ALL
        .iter()
        .map(|kind| {
            let severity = match kind.severity() {
                Severity::Debug => "debug",
                Severity::Info => "info",
                Severity::Warning => "warning",
                Severity::Error => "error",
            };
            let explanation = kind.explanation().trim();
            format!(
                "| `{}` | {} | {severity} | {explanation} |",
                kind.number(),
                kind.name()
            )
        })
        .collect();
    assert_eq!(rows("EVENTS.md"), expected);
}

#[test]
fn the_settings_keys_are_the_ones_in_the_code() {
    let expected: Vec<String> = KEYS
        .iter()
        .map(|description| {
            let default = match description.default {
                "" => "-",
                default => default,
            };
            format!(
                "| `{}` | {} | {default} |",
                description.key, description.allowed
            )
        })
        .collect();
    assert_eq!(rows("SETTINGS.md"), expected);
}
