//! The programs of petrellatch: control replica, balancer, agent and the
//! operator's command line, all in one binary.
//!
//! The state machines are in `petrellatch-core`; this crate provides sockets,
//! clocks, storage, logs and HTTP.

pub mod api;
pub mod check;
pub mod command_line;
pub mod ctl;
pub mod error;
pub mod http;
pub mod logging;
pub mod logs;
pub mod runtime;
pub mod settings;
mod usage;

use std::process::ExitCode;

use command_line::{Command, CommandLine, DaemonOptions};
use error::ProgramError;
use gumdrop::Options;
use logging::make_logger;
use runtime::control::{ControlSockets, open_replica_folder};
use runtime::{DaemonSockets, DataFolder, Process, StopSignal, agent, balancer, control};
use settings::{Role, Settings, SettingsFile, read_cluster_key};

/// Runs the command that the process was started with.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match CommandLine::parse_args_default(&arguments) {
        Ok(command_line) => command_line,
        Err(error) => return usage::report_usage_error(&error.to_string()),
    };
    if command_line.version {
        println!("petrellatch {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if command_line.help_requested() {
        usage::print_help(&command_line);
        return ExitCode::SUCCESS;
    }
    match command_line.command {
        Some(command) => report(execute(command)),
        None => usage::report_usage_error("a command is missing"),
    }
}

fn execute(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Control(options) => daemon(&options, Role::Control),
        Command::Balancer(options) => daemon(&options, Role::Balancer),
        Command::Agent(options) => daemon(&options, Role::Agent),
        Command::Ctl(options) => ctl::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Logs(options) => logs::run(&options),
    }
}

fn daemon(options: &DaemonOptions, role: Role) -> Result<(), ProgramError> {
    let settings = settings_for(options, role)?;
    let key = read_cluster_key(&settings.key_file).map_err(|problem| ProgramError::Settings {
        problems: vec![*problem],
    })?;
    let process = Process {
        logger: make_logger(settings.log_format, settings.log_level, &settings.name),
        stop: StopSignal::from_signals()?,
        settings,
        key,
    };
    match role {
        Role::Control => run_control(process),
        Role::Balancer => {
            let (sockets, folder) = open_daemon(&process)?;
            balancer::run(process, sockets, folder)
        }
        Role::Agent => {
            let (sockets, folder) = open_daemon(&process)?;
            agent::run(process, sockets, folder)
        }
    }
}

fn run_control(process: Process) -> Result<(), ProgramError> {
    let sockets = ControlSockets::open(&process.settings)?;
    let folder = open_replica_folder(&process.settings, &process.key)?;
    let ready_line = sockets.ready_line(&process.settings.name, folder.incarnation);
    ready_line.print();
    control::run(process, sockets, folder)
}

fn open_daemon(process: &Process) -> Result<(DaemonSockets, DataFolder), ProgramError> {
    let sockets = DaemonSockets::open(&process.settings)?;
    let folder = DataFolder::open(&process.settings.data_folder)?;
    sockets.ready_line(&process.settings.name).print();
    Ok((sockets, folder))
}

fn settings_for(options: &DaemonOptions, role: Role) -> Result<Settings, ProgramError> {
    let (file_name, file, mut problems) = match &options.settings {
        Some(path) => {
            let (file, problems) = settings::load(path);
            (path.display().to_string(), file, problems)
        }
        None => (
            "command line".to_string(),
            SettingsFile::default(),
            Vec::new(),
        ),
    };
    match settings::resolve(&file_name, file, options, Some(role)) {
        Ok(settings) if problems.is_empty() => Ok(settings),
        Ok(_) => Err(ProgramError::Settings { problems }),
        Err(more) => {
            problems.extend(more);
            Err(ProgramError::Settings { problems })
        }
    }
}

fn report(result: Result<(), ProgramError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("petrellatch: {error}");
    let code = error.kind().response().exit_code;
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}
