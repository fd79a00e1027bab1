//! Compares the catalogues in the documentation with the code.

use std::collections::BTreeSet;
use std::path::Path;

use petrellatch::api::{Document, Endpoint};
use petrellatch::settings::KEYS;
use petrellatch_core::event::Severity;
use petrellatch_core::{ErrorKind, EventKind};

fn rows(document: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(document);
    let text = std::fs::read_to_string(path).expect("the document exists");
    text.lines()
        .filter(|line| line.starts_with("| `"))
        .map(str::to_string)
        .collect()
}

fn retry_after(kind: ErrorKind) -> String {
    match kind.response().retry_after {
        Some(wait) => format!("{} ms", wait.as_millis()),
        None => "-".to_string(),
    }
}

#[test]
fn the_error_table_matches_the_code() {
    let documented: Vec<String> = rows("ERRORS.md")
        .iter()
        .map(|row| row.split('|').take(6).collect::<Vec<_>>().join("|"))
        .collect();
    let expected: Vec<String> = ErrorKind::ALL
        .into_iter()
        .map(|kind| {
            let answer = kind.response();
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
fn the_settings_keys_match_the_code() {
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

#[test]
fn the_endpoints_match_the_code() {
    let documented: Vec<String> = rows("API.md")
        .iter()
        .filter_map(|row| row.split('`').nth(1))
        .filter(|cell| cell.contains(" /"))
        .map(str::to_string)
        .collect();
    let expected: Vec<String> = Endpoint::ALL
        .into_iter()
        .map(|endpoint| format!("{} {}", endpoint.method(), endpoint.path()))
        .collect();
    assert_eq!(documented, expected);
}

/// Returns the keys of a serialized document.
fn keys(document: &impl serde::Serialize) -> BTreeSet<String> {
    let value = serde_json::to_value(document).expect("JSON");
    let object = value.as_object().expect("an object");
    object.keys().cloned().collect()
}

fn documented_fields(heading: &str) -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/API.md");
    let text = std::fs::read_to_string(path).expect("the document exists");
    let (_, table) = text.split_once(heading).expect("the table exists");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with("| `"));
    let names = rows.filter_map(|row| row.split('`').nth(1));
    names.map(str::to_string).collect()
}

#[test]
fn the_fields_of_documents_match_the_code() {
    let text = "[[services]]\nname='s'\naddress='10.0.0.1:80'\npolicy='p'\n\
                [[backends]]\nname='b'\nservice='s'\nagent='a'\nzone='z'\n\
                server='127.0.0.1:1'\nslots=1\ndraining=true\n";
    let document = Document::parse("test.toml", text).expect("a valid document");
    let service = documented_fields("| field of a service |");
    assert_eq!(service, keys(&document.services[0]));
    let backend = documented_fields("| field of a back end |");
    assert_eq!(backend, keys(&document.backends[0]));
}

#[test]
fn the_metrics_of_the_pass_through_tier_are_documented() {
    let documented = rows("API.md");
    for name in petrellatch::runtime::pass_through::METRIC_NAMES {
        let cell = format!("| `{name}` |");
        assert!(
            documented.iter().any(|row| row.starts_with(&cell)),
            "{name}"
        );
    }
}
