//! `ctl apply` and `ctl get`.

use std::path::Path;

use petrellatch_core::ErrorKind;
use petrellatch_core::control::limits::MAX_EDITS;

use super::client::{Failure, OperatorClient};
use super::edits::edits_between;
use super::output::{print_document, print_result};
use super::request_error;
use crate::api::{ChangeAccepted, ChangeRequest, Configuration, Document, Endpoint};
use crate::command_line::{ApplyOptions, OutputFormat};
use crate::error::ProgramError;

/// API path for changes.
const CHANGES: &str = Endpoint::Change.path();
/// API path for the configuration.
const CONFIGURATION: &str = Endpoint::Configuration.path();

/// Makes the configuration equal to a document. If this takes more edits than a
/// change may have, several changes are sent one after the other.
pub fn run(
    client: &mut OperatorClient,
    options: &ApplyOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let Some(path) = &options.file else {
        let message = "ctl apply needs a document".to_string();
        return Err(ProgramError::Usage { message });
    };
    let wanted = read_document(path)?;
    let mut request_id = options.request_id.clone();
    loop {
        let current: Configuration = client.get(CONFIGURATION)?;
        let mut edits = edits_between(&current.document, &wanted, options.prune);
        let is_last = edits.len() <= MAX_EDITS;
        edits.truncate(MAX_EDITS);
        if edits.is_empty() {
            print_result(output, "nothing to change", current.version);
            return Ok(());
        }
        let request = ChangeRequest {
            // A given id is used for the first change only; each further change
            // needs an id of its own.
            request_id: request_id.take().unwrap_or_else(random_request_id),
            based_on: options.based_on.unwrap_or(current.version),
            edits,
        };
        match send(client, &request) {
            Ok(accepted) if is_last => {
                print_result(output, "accepted", accepted.version);
                return Ok(());
            }
            Ok(_) => check_deadline(client)?,
            Err(failure) if failure.kind == ErrorKind::Conflict && options.rebase => {
                check_deadline(client)?;
            }
            Err(failure) => return Err(failure.into()),
        }
    }
}

/// Prints the configuration.
pub fn get(client: &mut OperatorClient, output: OutputFormat) -> Result<(), ProgramError> {
    let configuration: Configuration = client.get(CONFIGURATION)?;
    print_document(output, &configuration, || {
        let text = toml::to_string(&configuration.document);
        let version = configuration.version;
        format!("# version {version}\n{}", text.unwrap_or_default())
    });
    Ok(())
}

/// Sends a change, with retries until its outcome is known.
pub fn send(
    client: &mut OperatorClient,
    request: &ChangeRequest,
) -> Result<ChangeAccepted, Failure> {
    client.post(CHANGES, request)
}

/// Reads the current version, on which a change can be based.
pub fn current_version(client: &mut OperatorClient) -> Result<u64, ProgramError> {
    let configuration: Configuration = client.get(CONFIGURATION)?;
    Ok(configuration.version)
}

/// Creates a random request id.
pub fn random_request_id() -> String {
    format!("ctl-{:032x}", rand::random::<u128>())
}

/// Returns an error if the deadline has passed.
pub fn check_deadline(client: &OperatorClient) -> Result<(), ProgramError> {
    if client.time_left().is_zero() {
        let message = "other changes conflicted with this one until the deadline";
        return Err(request_error(ErrorKind::DeadlineExceeded, message));
    }
    Ok(())
}

/// Reads an operator document.
pub fn read_document(path: &Path) -> Result<Document, ProgramError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| request_error(ErrorKind::NotFound, format!("{name}: {error}")))?;
    Document::parse(&name, &text)
        .map_err(|error| request_error(ErrorKind::Invalid, error.to_string()))
}
