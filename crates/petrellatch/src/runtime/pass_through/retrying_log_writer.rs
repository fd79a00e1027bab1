//! Writes the replicated log on a separate thread and retries when a write fails. The
//! saved daemons are written by the same thread, so that a disk that hangs does not
//! block the event loop.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use mio::Waker;
use petrellatch_core::consensus::{PersistRequest, PersistTicket};
use petrellatch_storage::{AtomicFile, FolderIdentity, LogStore, StorageError};

use crate::error::ProgramError;

/// Interval between attempts of a write.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Outcome of a write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The entries are synced to disk.
    Done(PersistTicket),
    /// An attempt failed; the write is retried.
    Failed(StorageError),
    /// The daemons were not saved; this is not retried.
    DaemonsNotSaved(StorageError),
}

/// A write for the thread.
#[derive(Debug)]
enum WriteRequest {
    Log(PersistRequest),
    /// The encoded list of saved daemons.
    Daemons(Vec<u8>),
}

/// The event loop's ends of the channels to and from the thread.
#[derive(Debug)]
pub(super) struct RetryingLogWriter {
    requests: Sender<WriteRequest>,
    outcomes: Receiver<WriteOutcome>,
}

struct Worker {
    path: PathBuf,
    identity: FolderIdentity,
    store: Option<LogStore>,
    daemons: AtomicFile,
    outcomes: Sender<WriteOutcome>,
    waker: Arc<Waker>,
}

impl RetryingLogWriter {
    pub(super) fn start(
        path: PathBuf,
        store: LogStore,
        daemons: AtomicFile,
        waker: Arc<Waker>,
    ) -> Result<Self, ProgramError> {
        let (requests, request_receiver) = channel::<WriteRequest>();
        let (outcome_sender, outcomes) = channel();
        let mut worker = Worker {
            path,
            identity: store.identity(),
            store: Some(store),
            daemons,
            outcomes: outcome_sender,
            waker,
        };
        thread::Builder::new()
            .name("log-writer".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(request) = request_receiver.recv() {
                    match request {
                        WriteRequest::Log(request) => worker.write(request),
                        WriteRequest::Daemons(bytes) => worker.save_daemons(&bytes),
                    }
                }
            })
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(RetryingLogWriter { requests, outcomes })
    }

    pub(super) fn write(&self, request: PersistRequest) {
        // Sending can't fail: the thread runs until this sender is dropped.
        let _ = self.requests.send(WriteRequest::Log(request));
    }

    /// Saves the list of daemons. A failure is reported but not retried: the list is
    /// saved again when it changes.
    pub(super) fn save_daemons(&self, bytes: Vec<u8>) {
        // Sending can't fail, as in `write`.
        let _ = self.requests.send(WriteRequest::Daemons(bytes));
    }

    /// Returns the oldest outcome that was not polled yet.
    pub(super) fn poll(&self) -> Option<WriteOutcome> {
        self.outcomes.try_recv().ok()
    }
}

impl Worker {
    /// Writes a request and retries until it succeeds. After a failure part of the
    /// request may already be in the log, so the retry truncates the log from the
    /// request's first entry and writes all its entries again.
    fn write(&mut self, mut request: PersistRequest) {
        loop {
            match self.try_write(&request) {
                Ok(ticket) => {
                    self.report(WriteOutcome::Done(ticket));
                    return;
                }
                Err(error) => {
                    self.store = None;
                    self.report(WriteOutcome::Failed(error));
                }
            }
            let first = request.entries.first().map(|entry| entry.position.index);
            request.truncate_from = [request.truncate_from, first].into_iter().flatten().min();
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn try_write(&mut self, request: &PersistRequest) -> Result<PersistTicket, StorageError> {
        let store = match self.store.take() {
            Some(store) => store,
            None => LogStore::open(&self.path, self.identity)?.store,
        };
        self.store.insert(store).write(request)
    }

    fn save_daemons(&self, bytes: &[u8]) {
        if let Err(error) = self.daemons.replace(bytes) {
            self.report(WriteOutcome::DaemonsNotSaved(error));
        }
    }

    fn report(&self, outcome: WriteOutcome) {
        let _ = self.outcomes.send(outcome);
        let _ = self.waker.wake();
    }
}
