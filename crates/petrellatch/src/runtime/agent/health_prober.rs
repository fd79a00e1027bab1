//! Polls the health path of back ends to learn whether they are draining.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use mio::Waker;
use petrellatch_core::identity::BackendId;
use serde::Deserialize;

use crate::error::ProgramError;
use crate::http::DocumentReader;

/// Interval between rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The part of a back end's response that is used. What it reports about load
/// and health may be stale or wrong, and the agent measures both itself. Only
/// the back end knows that it is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
struct HealthDocument {
    draining: bool,
}

/// A back end to be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbedBackend {
    /// The back end.
    pub(super) backend: BackendId,
    /// The address that it listens on.
    pub(super) server: SocketAddrV4,
}

/// The response of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DrainReport {
    /// The back end.
    pub(super) backend: BackendId,
    /// Whether it is draining.
    pub(super) draining: bool,
}

/// A thread that probes the back ends of an agent one after the other. It ends
/// after the prober was dropped.
#[derive(Debug)]
pub(super) struct HealthProber {
    targets: Sender<Vec<ProbedBackend>>,
    reports: Receiver<DrainReport>,
}

impl HealthProber {
    /// Starts the thread, which requests `path` at each back end's address and
    /// wakes the event loop when a back end's state changes.
    pub(super) fn start(path: String, waker: Arc<Waker>) -> Result<Self, ProgramError> {
        let (targets, target_receiver) = channel();
        let (report_sender, reports) = channel();
        thread::Builder::new()
            .name("health-prober".to_string())
            .spawn(move || probe(&path, &target_receiver, &report_sender, &waker))
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(HealthProber { targets, reports })
    }

    /// Replaces the back ends to probe. The state of each one is reported again.
    pub(super) fn set_targets(&self, targets: Vec<ProbedBackend>) {
        let _ = self.targets.send(targets);
    }

    /// Returns the next change of a back end's state.
    pub(super) fn poll(&self) -> Option<DrainReport> {
        self.reports.try_recv().ok()
    }
}

fn probe(
    path: &str,
    targets: &Receiver<Vec<ProbedBackend>>,
    reports: &Sender<DrainReport>,
    waker: &Waker,
) {
    let reader = DocumentReader::new(RESPONSE_TIMEOUT);
    let mut current = Vec::new();
    let mut reported = BTreeMap::new();
    loop {
        match targets.recv_timeout(PROBE_INTERVAL) {
            Ok(changed) => {
                current = targets.try_iter().last().unwrap_or(changed);
                reported.clear();
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for ProbedBackend { backend, server } in &current {
            let url = format!("http://{server}{path}");
            // Without a response the last state is kept. An unreachable back end
            // is detected when a connection to it fails.
            let Ok(HealthDocument { draining }) = reader.read(&url) else {
                continue;
            };
            if reported.insert(*backend, draining) == Some(draining) {
                continue;
            }
            let report = DrainReport {
                backend: *backend,
                draining,
            };
            if reports.send(report).is_err() {
                return;
            }
            let _ = waker.wake();
        }
    }
}
