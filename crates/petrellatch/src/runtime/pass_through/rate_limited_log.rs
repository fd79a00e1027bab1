//! A rate-limited log that never blocks its process: JSON lines on standard output,
//! within a budget per second, dropped if the pipe is full.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use petrellatch_core::event::Severity;
use petrellatch_core::{Event, EventKind, Timestamp};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

use crate::logging::log_event;

/// Rate limit of events below a warning.
const LINES_PER_SECOND: u64 = 30;
/// Number of lines that may be written in a burst.
const BURST_LINES: u64 = 120;

/// Minimum interval between the events that report how many lines were suppressed.
const SUPPRESSION_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The rate-limited log of one process.
pub(super) struct RateLimitedLog {
    logger: Logger,
    budget: u64,
    refilled_at: Timestamp,
    suppressed: u64,
    suppression_reported_at: Timestamp,
}

impl RateLimitedLog {
    pub(super) fn new(name: &str) -> Self {
        let drain = StdoutDrain {
            json: slog_json::Json::default(NonBlockingStdout),
        };
        RateLimitedLog {
            logger: Logger::root(
                std::sync::Mutex::new(drain).fuse(),
                o!("node" => name.to_string()),
            ),
            budget: BURST_LINES,
            refilled_at: Timestamp::ZERO,
            suppressed: 0,
            suppression_reported_at: Timestamp::ZERO,
        }
    }

    /// Writes an event, or suppresses it if the budget is spent. Warnings and errors
    /// are never suppressed.
    pub(super) fn write(&mut self, now: Timestamp, event: &Event) {
        self.refill(now);
        let severity = event.kind.severity();
        let is_urgent = severity >= Severity::Warning;
        if self.budget == 0 && !is_urgent {
            self.suppressed += 1;
            return;
        }
        self.budget = self.budget.saturating_sub(1);
        log_event(&self.logger, event);
    }

    /// Writes a rare event of the process itself, such as its start, its stop or a
    /// change of its readiness, even if the budget is spent.
    pub(super) fn write_always(
        &mut self,
        now: Timestamp,
        kind: EventKind,
        subject: impl Into<String>,
    ) {
        self.refill(now);
        self.budget = self.budget.saturating_sub(1);
        log_event(&self.logger, &Event::new(kind, subject));
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at).as_millis() as u64;
        let lines = elapsed * LINES_PER_SECOND / 1_000;
        if lines == 0 {
            return;
        }
        self.refilled_at = now;
        self.budget = (self.budget + lines).min(BURST_LINES);
        let is_due =
            now.saturating_since(self.suppression_reported_at) >= SUPPRESSION_REPORT_INTERVAL;
        if self.suppressed > 0 && is_due {
            self.suppression_reported_at = now;
            let subject = format!("{} entries", self.suppressed);
            self.suppressed = 0;
            log_event(
                &self.logger,
                &Event::new(EventKind::EntriesLeftOut, subject),
            );
        }
    }
}

/// Writes records as JSON; drops a record if standard output is not writable.
struct StdoutDrain {
    json: slog_json::Json<NonBlockingStdout>,
}

impl Drain for StdoutDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if record.level().is_at_least(Level::Info) {
            let _ = self.json.log(record, values);
        }
        Ok(())
    }
}

/// Buffers one line and writes it if standard output accepts it without blocking.
struct NonBlockingStdout;

thread_local! {
    static LINE: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

impl io::Write for NonBlockingStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        LINE.with_borrow_mut(|line| {
            line.extend_from_slice(bytes);
            if line.ends_with(b"\n") {
                write_if_ready(line);
                line.clear();
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the line if standard output is writable. A writable pipe accepts a line
/// shorter than a page without blocking.
fn write_if_ready(line: &[u8]) {
    let stdout = rustix::stdio::stdout();
    let mut descriptors = [PollFd::new(&stdout, PollFlags::OUT)];
    let no_wait = Timespec::default();
    if matches!(poll(&mut descriptors, Some(&no_wait)), Ok(1)) {
        let _ = rustix::io::write(stdout, line);
    }
}
