//! `ctl status` and `ctl wait`.

use std::fmt::Write;
use std::thread;
use std::time::{Duration, Instant};

use petrellatch_core::ErrorKind;

use super::client::OperatorClient;
use super::output::{print_document, print_result};
use super::request_error;
use crate::api::StatusDocument;
use crate::command_line::{OutputFormat, WaitOptions};
use crate::error::ProgramError;

/// Path of the operator API for the status.
const STATUS: &str = "/v1/status";
/// Between two looks at the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Prints the status.
pub fn run(client: &mut OperatorClient, output: OutputFormat) -> Result<(), ProgramError> {
    let status: StatusDocument = client.get(STATUS)?;
    print_document(output, &status, || describe(&status));
    Ok(())
}

/// Waits until a version is in force at every live member.
pub fn wait(
    client: &mut OperatorClient,
    options: &WaitOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let timeout = Duration::from_secs(options.timeout).min(client.time_left());
    let deadline = Instant::now() + timeout;
    let mut status: StatusDocument = client.get(STATUS)?;
    let version = match (options.version, options.latest) {
        (Some(version), false) => version,
        (None, true) => status.version,
        _ => {
            let message = "say --version VERSION or --latest".to_string();
            return Err(ProgramError::Usage { message });
        }
    };
    while !in_force(&status, version) {
        if Instant::now() >= deadline {
            let message = describe_lag(&status, version);
            return Err(request_error(ErrorKind::DeadlineExceeded, message));
        }
        thread::sleep(POLL_INTERVAL);
        status = client.get(STATUS)?;
    }
    print_result(output, "in force", version);
    Ok(())
}

fn in_force(status: &StatusDocument, version: u64) -> bool {
    status.version >= version && lagging(status, version).is_empty()
}

/// Returns the names of live members that have not reported the version.
fn lagging(status: &StatusDocument, version: u64) -> Vec<&str> {
    status
        .members
        .iter()
        .filter(|member| member.state != "suspected" && member.version < version)
        .map(|member| member.name.as_str())
        .collect()
}

fn describe_lag(status: &StatusDocument, version: u64) -> String {
    if status.version < version {
        return format!(
            "version {version} does not exist yet; the newest is {}",
            status.version
        );
    }
    let names = lagging(status, version).join(", ");
    format!("version {version} is not in force at: {names}")
}

fn describe(status: &StatusDocument) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "leader {}, version {}, configuration version {}",
        status.leader, status.version, status.configuration_version
    );
    let _ = writeln!(text, "members:");
    for member in &status.members {
        let _ = writeln!(
            text,
            "  {:<24} {:<9} {:<14} {:<10} version {}",
            member.name, member.role, member.zone, member.state, member.version
        );
    }
    for service in &status.services {
        let settled = if service.settled {
            "settled"
        } else {
            "not settled"
        };
        let (name, generation) = (&service.name, service.generation);
        let _ = writeln!(text, "service {name}: generation {generation}, {settled}");
        for backend in &service.backends {
            let drain = if backend.draining { "  draining" } else { "" };
            let _ = writeln!(
                text,
                "  {:<24} weight {:>6}{drain}",
                backend.name, backend.weight
            );
        }
    }
    text
}
