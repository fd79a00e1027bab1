//! Help texts and the report of an invalid command line.

use std::process::ExitCode;

use gumdrop::Options;
use petrellatch_core::ErrorKind;

use crate::command_line::CommandLine;

/// Examples by command, printed below the options.
const EXAMPLES: &[(&str, &str)] = &[
    (
        "control",
        "petrellatch control --settings settings.toml --name control-1 --zone baguio-hall",
    ),
    (
        "balancer",
        "petrellatch balancer --settings settings.toml --name balancer-1 --zone baguio-hall",
    ),
    (
        "agent",
        "petrellatch agent --settings settings.toml --name agent-1 --zone tarlac-hall",
    ),
    ("ctl", "petrellatch ctl --server 127.0.0.1:7410 status"),
    (
        "ctl apply",
        "petrellatch ctl --server 127.0.0.1:7410 apply services.toml --rebase",
    ),
    (
        "ctl get",
        "petrellatch ctl --server 127.0.0.1:7410 --output json get",
    ),
    (
        "ctl drain",
        "petrellatch ctl --server 127.0.0.1:7410 drain backend valuation-desk-1",
    ),
    (
        "ctl undrain",
        "petrellatch ctl --server 127.0.0.1:7410 undrain node balancer-1",
    ),
    (
        "ctl evacuate",
        "petrellatch ctl --server 127.0.0.1:7410 evacuate zone tarlac-hall",
    ),
    (
        "ctl restore",
        "petrellatch ctl --server 127.0.0.1:7410 restore zone tarlac-hall",
    ),
    (
        "ctl wait",
        "petrellatch ctl --server 127.0.0.1:7410 wait --latest --timeout 10",
    ),
    (
        "ctl replica",
        "petrellatch ctl --server 127.0.0.1:7410 replica add control-3",
    ),
    (
        "ctl policy",
        "petrellatch ctl --server 127.0.0.1:7410 policy explain valuation-desk",
    ),
    ("check", "petrellatch check --role agent settings.toml"),
];

/// Prints the help of the innermost command on the command line.
pub fn print_help(command_line: &CommandLine) {
    let mut options: &dyn Options = command_line;
    let mut path = Vec::new();
    while let Some(command) = options.command() {
        options = command;
        path.extend(command.command_name());
    }
    let path = path.join(" ");
    let command = match options.self_command_list() {
        Some(_) => " COMMAND",
        None => "",
    };
    let spaced_path = if path.is_empty() {
        String::new()
    } else {
        format!(" {path}")
    };
    println!("Usage: petrellatch{spaced_path} [OPTIONS]{command}\n");
    println!("{}", options.self_usage());
    if let Some(commands) = options.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
    if let Some((_, example)) = EXAMPLES.iter().find(|(name, _)| *name == path) {
        println!("\nExample:\n  {example}");
    }
}

/// Reports an invalid command line.
pub fn report_usage_error(message: &str) -> ExitCode {
    eprintln!("petrellatch: {message}; see petrellatch --help");
    let code = ErrorKind::InvalidSettings.response().exit_code;
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}
