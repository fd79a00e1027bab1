//! What every stand-in process does at its start and end.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};

/// A flag that asks a running stand-in to stop.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Makes a flag that is set by SIGTERM and SIGINT.
    ///
    /// # Errors
    /// Fails when the signal handlers cannot be installed.
    pub fn on_signals() -> std::io::Result<StopFlag> {
        let flag = StopFlag::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&flag.0))?;
        }
        Ok(flag)
    }

    /// Asks the stand-in to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Tells whether the stand-in has been asked to stop.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Blocks until the flag is set.
    pub fn wait(&self) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(50);
        while !self.is_set() {
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// The monotonic clock of a process, read as [`Timestamp`].
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock at [`Timestamp::ZERO`].
    pub fn start() -> ProcessClock {
        ProcessClock {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }
}

/// Writes one JSON line to standard output and flushes it, so that a script
/// can wait for it.
///
/// # Errors
/// Fails when standard output is closed.
pub fn print_json_line<T: Serialize>(value: &T) -> std::io::Result<()> {
    let mut line = serde_json::to_string(value)?;
    line.push('\n');
    let mut stdout = std::io::stdout().lock();
    stdout.write_all(line.as_bytes())?;
    stdout.flush()
}
