//! Signals as flags that an event loop checks. A signal also interrupts the loop's
//! wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

use crate::error::ProgramError;

/// The signals that a process handles: SIGTERM and SIGINT stop it, SIGHUP reloads the
/// settings.
#[derive(Debug)]
pub(super) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    pub(super) fn register() -> Result<Self, ProgramError> {
        let signals = Signals {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        let register = |number, flag: &Arc<AtomicBool>| {
            flag::register(number, Arc::clone(flag)).map_err(|source| ProgramError::System {
                action: "register signal handlers",
                source,
            })
        };
        register(SIGTERM, &signals.stop)?;
        register(SIGINT, &signals.stop)?;
        register(SIGHUP, &signals.reload)?;
        Ok(signals)
    }

    /// Whether a planned stop was requested.
    pub(super) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether the settings must be read again. Clears the request.
    pub(super) fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
