//! Asks back ends whether they are draining.

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

/// Between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// What is read of a back end's answer. Its word on load and health may lag or
/// mislead, and the agent sees both for itself; only that it wants to leave can
/// be known from nowhere else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
struct HealthDocument {
    draining: bool,
}

/// A back end to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbedBackend {
    /// The back end.
    pub(super) backend: BackendId,
    /// Where it listens.
    pub(super) server: SocketAddrV4,
}

/// What a back end said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DrainReport {
    /// The back end.
    pub(super) backend: BackendId,
    /// Whether it is draining.
    pub(super) draining: bool,
}

/// A thread that asks the back ends beside an agent in turn. It ends after the
/// prober was dropped.
#[derive(Debug)]
pub(super) struct HealthProber {
    targets: Sender<Vec<ProbedBackend>>,
    reports: Receiver<DrainReport>,
}

impl HealthProber {
    /// Starts the thread, which asks for `path` at each back end's address and
    /// wakes the event loop when an answer changes.
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

    /// Names the back ends to ask from now on. All answers are told again.
    pub(super) fn set_targets(&self, targets: Vec<ProbedBackend>) {
        let _ = self.targets.send(targets);
    }

    /// Returns the next changed answer.
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
    let reader = DocumentReader::new(ANSWER_TIMEOUT);
    let mut current = Vec::new();
    let mut told = BTreeMap::new();
    loop {
        match targets.recv_timeout(ROUND_INTERVAL) {
            Ok(changed) => {
                current = targets.try_iter().last().unwrap_or(changed);
                told.clear();
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for ProbedBackend { backend, server } in &current {
            let url = format!("http://{server}{path}");
            // Without an answer the last word holds; that the back end can't
            // be reached shows when a connection fails.
            let Ok(HealthDocument { draining }) = reader.read(&url) else {
                continue;
            };
            if told.insert(*backend, draining) == Some(draining) {
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
