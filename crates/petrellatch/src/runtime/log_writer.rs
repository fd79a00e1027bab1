//! Writes the replicated log without blocking the event loop.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use mio::Waker;
use petrellatch_core::consensus::{PersistRequest, PersistTicket};
use petrellatch_storage::{LogStore, StorageError};

use crate::error::ProgramError;

/// The outcome of a write.
pub type WriteResult = Result<PersistTicket, StorageError>;

/// A thread that writes and syncs requests in order. When the writer is
/// dropped, it finishes the requests that it was given and ends.
#[derive(Debug)]
pub struct LogWriter {
    requests: Option<Sender<PersistRequest>>,
    results: Receiver<WriteResult>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the thread. It wakes the event loop after each write.
    pub fn start(store: LogStore, waker: Arc<Waker>) -> Result<Self, ProgramError> {
        let (requests, request_receiver) = channel();
        let (result_sender, results) = channel();
        let thread = thread::Builder::new()
            .name("log-writer".to_string())
            .spawn(move || write_requests(store, &request_receiver, &result_sender, &waker))
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(LogWriter {
            requests: Some(requests),
            results,
            thread: Some(thread),
        })
    }

    /// Queues a request.
    pub fn write(&self, request: PersistRequest) {
        if let Some(requests) = &self.requests {
            let _ = requests.send(request);
        }
    }

    /// Returns the result of the next completed write, if there is one.
    pub fn poll(&self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_requests(
    mut store: LogStore,
    requests: &Receiver<PersistRequest>,
    results: &Sender<WriteResult>,
    waker: &Waker,
) {
    while let Ok(request) = requests.recv() {
        if results.send(store.write(&request)).is_err() {
            return;
        }
        let _ = waker.wake();
    }
}
