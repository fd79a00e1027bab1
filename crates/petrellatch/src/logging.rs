//! The log: for a terminal or as lines of JSON, always on standard error.

use std::io;
use std::sync::Mutex;

use petrellatch_core::event::Severity;
use petrellatch_core::{Event, EventKind};
use serde::Deserialize;
use slog::{Drain, Level, LevelFilter, Logger, debug, error, info, o, warn};

/// Number of entries that are queued for a slow reader before some are dropped.
const LOG_QUEUE_ENTRIES: usize = 4_096;

/// How log entries are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One readable line per entry.
    #[default]
    Terminal,
    /// One JSON object per entry.
    Json,
}

/// The lowest level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Normal operation, and everything more severe.
    #[default]
    Info,
    /// Conditions that an operator may want to look into, and errors.
    Warning,
    /// Only conditions that an operator has to look into.
    Error,
}

impl LogLevel {
    fn as_level(self) -> Level {
        match self {
            LogLevel::Debug => Level::Debug,
            LogLevel::Info => Level::Info,
            LogLevel::Warning => Level::Warning,
            LogLevel::Error => Level::Error,
        }
    }
}

/// Creates the logger of a process. Every entry carries the node's name.
pub fn make_logger(format: LogFormat, level: LogLevel, node: &str) -> Logger {
    let level = level.as_level();
    let background = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            in_background(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stderr());
            in_background(Mutex::new(json).fuse())
        }
    };
    let drain = LevelFilter::new(background, level).fuse();
    Logger::root(drain, o!("node" => node.to_string()))
}

fn in_background<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_ENTRIES)
        .build()
        .fuse()
}

/// Logs one numbered event of the catalogue in `docs/EVENTS.md`.
pub fn log_event(logger: &Logger, event: &Event) {
    let number = event.kind.number();
    let name = event.kind.name();
    let subject = event.subject.as_str();
    match event.kind.severity() {
        Severity::Debug => debug!(logger, "{}", name; "event" => number, "subject" => subject),
        Severity::Info => info!(logger, "{}", name; "event" => number, "subject" => subject),
        Severity::Warning => warn!(logger, "{}", name; "event" => number, "subject" => subject),
        Severity::Error => error!(logger, "{}", name; "event" => number, "subject" => subject),
    }
}

/// Logs an event that the program itself detected.
pub fn log(logger: &Logger, kind: EventKind, subject: impl Into<String>) {
    log_event(logger, &Event::new(kind, subject));
}
