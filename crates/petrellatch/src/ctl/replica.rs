//! `ctl replica`.

use std::thread;
use std::time::Duration;

use petrellatch_core::ErrorKind;

use super::client::OperatorClient;
use super::output::print_document;
use super::request_error;
use super::status::{STATUS, describe_replicas};
use crate::api::{Endpoint, ReplicaAction, ReplicaRequest, ReplicasChanging, StatusDocument};
use crate::command_line::{OutputFormat, ReplicaOptions};
use crate::error::ProgramError;

/// API path for changes of the control replicas.
const REPLICAS: &str = Endpoint::ChangeReplicas.path();
/// Interval between reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The role of a replica that counts for quorums.
const VOTER: &str = "voter";

/// Lists, adds or removes control replicas.
pub fn run(
    client: &mut OperatorClient,
    options: &ReplicaOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let arguments: Vec<&str> = options.arguments.iter().map(String::as_str).collect();
    let (action, name) = match arguments.as_slice() {
        ["list"] => {
            let status: StatusDocument = client.get(STATUS)?;
            print_document(output, &status.replicas, || describe_replicas(&status));
            return Ok(());
        }
        ["add", name] => (ReplicaAction::Add, name),
        ["remove", name] => (ReplicaAction::Remove, name),
        _ => {
            let message =
                "expected: replica list, replica add NAME, or replica remove NAME".to_string();
            return Err(ProgramError::Usage { message });
        }
    };
    let request = ReplicaRequest {
        action,
        name: (*name).to_string(),
        incarnation: options.incarnation.clone(),
    };
    change(client, &request, output)
}

/// Sends the change and waits until it is complete. A retry may find that an
/// earlier attempt was applied, so completion is read from the status alone.
fn change(
    client: &mut OperatorClient,
    request: &ReplicaRequest,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let started: Result<ReplicasChanging, _> = client.post(REPLICAS, request);
    if let Err(failure) = started {
        let status: StatusDocument = client.get(STATUS)?;
        if !is_done(&status, request) {
            return Err(failure.into());
        }
    }
    loop {
        let status: StatusDocument = client.get(STATUS)?;
        if is_done(&status, request) {
            print_document(output, &status.replicas, || describe_replicas(&status));
            return Ok(());
        }
        if client.time_left() <= POLL_INTERVAL {
            let message = "the change has started, but was not complete before the deadline; \
                           see ctl replica list";
            return Err(request_error(ErrorKind::DeadlineExceeded, message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn is_done(status: &StatusDocument, request: &ReplicaRequest) -> bool {
    let mut replicas = status.replicas.iter();
    let member = replicas.find(|replica| replica.name == request.name);
    match request.action {
        ReplicaAction::Add => member.is_some_and(|replica| replica.role == VOTER),
        ReplicaAction::Remove => member.is_none(),
    }
}
