//! `ctl drain`, `ctl undrain`, `ctl evacuate` and `ctl restore`.

use petrellatch_core::ErrorKind;

use super::apply::{check_deadline, current_version, random_request_id, send};
use super::client::OperatorClient;
use super::output::print_result;
use crate::api::{ChangeRequest, DrainEdit, DrainKind, EditDocument};
use crate::command_line::{DrainOptions, OutputFormat, ZoneOptions};
use crate::error::ProgramError;

/// Starts or ends a drain. The edit states the wanted end state, which does not
/// depend on other changes, so after a conflict it is sent again based on the
/// newer version.
pub fn run(
    client: &mut OperatorClient,
    options: &DrainOptions,
    draining: bool,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    change(client, parse(options, draining)?, output)
}

/// Takes a zone out of service, or back into it.
pub fn run_zone(
    client: &mut OperatorClient,
    options: &ZoneOptions,
    evacuated: bool,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let [kind, name] = options.target.as_slice() else {
        return Err(zone_usage());
    };
    if kind != "zone" {
        return Err(zone_usage());
    }
    let edit = DrainEdit {
        target: DrainKind::Zone,
        name: name.clone(),
        draining: evacuated,
    };
    change(client, edit, output)
}

fn change(
    client: &mut OperatorClient,
    edit: DrainEdit,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let edit = EditDocument::SetDrain(edit);
    loop {
        let request = ChangeRequest {
            request_id: random_request_id(),
            based_on: current_version(client)?,
            edits: vec![edit.clone()],
        };
        match send(client, &request) {
            Ok(accepted) => {
                print_result(output, "accepted", accepted.version);
                return Ok(());
            }
            Err(failure) if failure.kind == ErrorKind::Conflict => check_deadline(client)?,
            Err(failure) => return Err(failure.into()),
        }
    }
}

fn parse(options: &DrainOptions, draining: bool) -> Result<DrainEdit, ProgramError> {
    let [kind, name] = options.target.as_slice() else {
        return Err(usage());
    };
    let target = match kind.as_str() {
        "backend" => DrainKind::Backend,
        "node" => DrainKind::Node,
        _ => return Err(usage()),
    };
    Ok(DrainEdit {
        target,
        name: name.clone(),
        draining,
    })
}

fn zone_usage() -> ProgramError {
    let message = "expected: zone NAME".to_string();
    ProgramError::Usage { message }
}

fn usage() -> ProgramError {
    let message = "expected: backend NAME, or node NAME".to_string();
    ProgramError::Usage { message }
}
