//! Prints results as text or JSON.

use petrellatch_core::ErrorKind;
use serde::Serialize;

use crate::api::ErrorDocument;
use crate::command_line::OutputFormat;

/// The result of a change.
#[derive(Serialize)]
struct ChangeResult<'a> {
    result: &'a str,
    version: u64,
}

/// Prints the result of a change.
pub fn print_result(output: OutputFormat, result: &str, version: u64) {
    print_document(output, &ChangeResult { result, version }, || {
        format!("{result}: version {version}\n")
    });
}

/// Prints a failure as JSON. With text output nothing is printed here: the
/// program prints all failures to standard error.
pub fn print_failure(output: OutputFormat, kind: ErrorKind, message: &str) {
    if output == OutputFormat::Json {
        print_document(output, &ErrorDocument::new(kind, message), String::new);
    }
}

/// Prints a document as JSON, or as the text that `text` returns.
pub fn print_document(
    output: OutputFormat,
    document: &impl Serialize,
    text: impl FnOnce() -> String,
) {
    match output {
        OutputFormat::Text => print!("{}", text()),
        OutputFormat::Json => {
            println!("{}", serde_json::to_string(document).unwrap_or_default());
        }
    }
}
