//! The `ctl` command, with which operators read and change the configuration.

mod apply;
mod backoff;
mod client;
mod drain;
mod edits;
mod output;
mod policy;
mod replica;
mod status;

use std::time::{Duration, Instant};

use petrellatch_core::ErrorKind;
use snafu::ensure;

use crate::command_line::{CtlCommand, CtlOptions};
use crate::error::{ProgramError, UsageSnafu};
use client::OperatorClient;

/// Runs one operator command. With JSON output a failed request is printed
/// as the same error document that the operator API returns.
pub fn run(options: &CtlOptions) -> Result<(), ProgramError> {
    let result = run_command(options);
    if let Err(ProgramError::Request { kind, message }) = &result {
        output::print_failure(options.output, *kind, message);
    }
    result
}

fn run_command(options: &CtlOptions) -> Result<(), ProgramError> {
    ensure!(
        !options.server.is_empty(),
        UsageSnafu {
            message: "ctl needs --server IP:PORT with the operator address of a control replica"
        }
    );
    let Some(command) = &options.command else {
        let message = "ctl needs a command; see petrellatch ctl --help".to_string();
        return Err(ProgramError::Usage { message });
    };
    let deadline = Instant::now() + Duration::from_secs(options.deadline);
    let mut client = OperatorClient::new(&options.server, options.retries, deadline);
    let output = options.output;
    match command {
        CtlCommand::Apply(arguments) => apply::run(&mut client, arguments, output),
        CtlCommand::Get(_) => apply::get(&mut client, output),
        CtlCommand::Drain(arguments) => drain::run(&mut client, arguments, true, output),
        CtlCommand::Undrain(arguments) => drain::run(&mut client, arguments, false, output),
        CtlCommand::Evacuate(arguments) => drain::run_zone(&mut client, arguments, true, output),
        CtlCommand::Restore(arguments) => drain::run_zone(&mut client, arguments, false, output),
        CtlCommand::Status(_) => status::run(&mut client, output),
        CtlCommand::Wait(arguments) => status::wait(&mut client, arguments, output),
        CtlCommand::Replica(arguments) => replica::run(&mut client, arguments, output),
        CtlCommand::Policy(arguments) => policy::run(&mut client, arguments, output),
    }
}

fn request_error(kind: ErrorKind, message: impl Into<String>) -> ProgramError {
    ProgramError::Request {
        kind,
        message: message.into(),
    }
}
