//! `ctl status` and `ctl wait`.

use std::fmt::Write;
use std::thread;
use std::time::{Duration, Instant};

use petrellatch_core::ErrorKind;

use super::client::OperatorClient;
use super::output::{print_document, print_result};
use super::request_error;
use crate::api::{Endpoint, ProgressDocument, StatusDocument};
use crate::command_line::{OutputFormat, WaitOptions};
use crate::error::ProgramError;

/// API path for the status.
pub const STATUS: &str = Endpoint::Status.path();
/// API path for the progress of a version.
const PROGRESS: &str = Endpoint::Progress.path();
/// Interval between reads of the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Prints the status.
pub fn run(client: &mut OperatorClient, output: OutputFormat) -> Result<(), ProgramError> {
    let status: StatusDocument = client.get(STATUS)?;
    print_document(output, &status, || describe(&status));
    Ok(())
}

/// Waits until a version is active at every balancer and agent.
pub fn wait(
    client: &mut OperatorClient,
    options: &WaitOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    if options.version.is_some() == options.latest {
        let message = "expected: --version VERSION or --latest".to_string();
        return Err(ProgramError::Usage { message });
    }
    let timeout = Duration::from_secs(options.timeout).min(client.time_left());
    let deadline = Instant::now() + timeout;
    let mut progress = read_progress(client, options.version)?;
    let version = progress.version;
    while !progress.in_force {
        if Instant::now() + POLL_INTERVAL >= deadline {
            let message = describe_lag(&progress);
            return Err(request_error(ErrorKind::DeadlineExceeded, message));
        }
        thread::sleep(POLL_INTERVAL);
        progress = read_progress(client, Some(version))?;
    }
    print_result(output, "in force", version);
    Ok(())
}

fn read_progress(
    client: &mut OperatorClient,
    version: Option<u64>,
) -> Result<ProgressDocument, ProgramError> {
    let path = match version {
        Some(version) => format!("{PROGRESS}?version={version}"),
        None => PROGRESS.to_string(),
    };
    Ok(client.get(&path)?)
}

fn describe_lag(progress: &ProgressDocument) -> String {
    let ProgressDocument {
        version,
        newest,
        lagging_count,
        lagging,
        ..
    } = progress;
    if newest < version {
        return format!("version {version} does not exist yet; the newest is {newest}");
    }
    let names = lagging.join(", ");
    format!("version {version} is not in force at {lagging_count} members: {names}")
}

/// Returns the list of control replicas as text.
pub fn describe_replicas(status: &StatusDocument) -> String {
    let mut text = String::from("control replicas:\n");
    for replica in &status.replicas {
        let leader = if replica.name == status.leader {
            "  leads"
        } else {
            ""
        };
        let silence = match replica.silent_ms {
            Some(silence) => format!("heard {silence} ms ago"),
            None => "not heard of".to_string(),
        };
        let _ = writeln!(
            text,
            "  {:<24} {:<9} durable to entry {}  {silence}{leader}",
            replica.name, replica.role, replica.durable_index
        );
    }
    for replica in &status.announced {
        let _ = writeln!(
            text,
            "  {:<24} asks to be added; incarnation {}",
            replica.name, replica.incarnation
        );
    }
    text
}

fn describe(status: &StatusDocument) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "leader {}, version {}, configuration version {}",
        status.leader, status.version, status.configuration_version
    );
    text.push_str(&describe_replicas(status));
    let _ = writeln!(text, "members:");
    for member in &status.members {
        let _ = writeln!(
            text,
            "  {:<24} {:<9} {:<14} {:<10} version {}",
            member.name, member.role, member.zone, member.state, member.version
        );
    }
    for zone in &status.evacuated_zones {
        let _ = writeln!(text, "zone {zone} is out of service");
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
            let drain = match (backend.draining, backend.evacuated) {
                (true, _) => "  draining",
                (false, true) => "  zone out of service",
                (false, false) => "",
            };
            let _ = writeln!(
                text,
                "  {:<24} weight {:>6}{drain}",
                backend.name, backend.weight
            );
        }
    }
    text
}
