//! Polls the platform's list of machines.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use mio::Waker;
use petrellatch_core::EventKind;
use petrellatch_core::membership::PlatformMachine;
use serde::Deserialize;
use slog::Logger;

use crate::error::ProgramError;
use crate::http::DocumentReader;
use crate::logging::log;

/// Interval between reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// How long the response with the list is waited for.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// One machine as the platform writes it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct MachineDocument {
    /// The node name.
    name: String,
    /// Whether the platform marks the machine as leaving.
    #[serde(default)]
    leaving: bool,
}

/// A thread that polls the list. It ends with the process, or after the poller
/// was dropped.
#[derive(Debug)]
pub(super) struct PlatformPoller {
    lists: Receiver<Vec<PlatformMachine>>,
}

impl PlatformPoller {
    /// Starts the thread. It wakes the event loop for each list.
    pub(super) fn start(
        url: String,
        waker: Arc<Waker>,
        logger: Logger,
    ) -> Result<Self, ProgramError> {
        let (sender, lists) = channel();
        thread::Builder::new()
            .name("platform-poller".to_string())
            .spawn(move || poll(&url, &sender, &waker, &logger))
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(PlatformPoller { lists })
    }

    /// Returns the newest list, if one was read since the last call.
    pub(super) fn poll(&self) -> Option<Vec<PlatformMachine>> {
        self.lists.try_iter().last()
    }
}

/// The list is only a hint, so the last one stays in use while the platform
/// does not respond. Only the first of several failures in a row is logged.
fn poll(url: &str, lists: &Sender<Vec<PlatformMachine>>, waker: &Waker, logger: &Logger) {
    let reader = DocumentReader::new(READ_TIMEOUT);
    let mut last_read_failed = false;
    loop {
        match reader.read::<Vec<MachineDocument>>(url) {
            Ok(machines) => {
                last_read_failed = false;
                if lists
                    .send(machines.into_iter().map(machine).collect())
                    .is_err()
                {
                    return;
                }
                let _ = waker.wake();
            }
            Err(reason) if !last_read_failed => {
                last_read_failed = true;
                log(logger, EventKind::PlatformListMissing, reason);
            }
            Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn machine(document: MachineDocument) -> PlatformMachine {
    PlatformMachine {
        name: document.name,
        is_leaving: document.leaving,
    }
}
