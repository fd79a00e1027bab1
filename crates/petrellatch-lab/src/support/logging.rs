//! Log set-up shared by the subcommands.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Makes a logger that writes readable lines to standard error. Standard
/// output stays free for the ready line and the report.
pub fn terminal_logger(verbose: bool) -> Logger {
    let level = if verbose { Level::Debug } else { Level::Info };
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build();
    let filtered = LevelFilter::new(drain.ignore_res(), level);
    Logger::root(Mutex::new(filtered).ignore_res(), o!())
}

/// Makes a logger that discards everything, for tests and embedders.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
