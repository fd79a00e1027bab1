//! Writes a file of records, such as the flow records or the departures, on a separate
//! thread, so that neither the syncs of the log nor the event loop wait for it.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use mio::Waker;
use petrellatch_core::pass_through::RecordFileWrite;
use petrellatch_storage::{RecordFile, StorageError};

use crate::error::ProgramError;

/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// The event loop's ends of the channels to and from the thread.
#[derive(Debug)]
pub(super) struct RecordFileWriter {
    requests: Sender<RecordFileWrite>,
    results: Receiver<Result<(), StorageError>>,
}

impl RecordFileWriter {
    /// Starts the thread, which wakes the event loop after each write.
    pub(super) fn start(
        thread_name: &str,
        mut file: RecordFile,
        waker: Arc<Waker>,
    ) -> Result<Self, ProgramError> {
        let (requests, request_receiver) = channel::<RecordFileWrite>();
        let (result_sender, results) = channel();
        thread::Builder::new()
            .name(thread_name.to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(request) = request_receiver.recv() {
                    let result = match request {
                        RecordFileWrite::Append(records) => file.append(&records),
                        RecordFileWrite::Replace(records) => file.replace(&records),
                    };
                    let _ = result_sender.send(result);
                    let _ = waker.wake();
                }
            })
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(RecordFileWriter { requests, results })
    }

    pub(super) fn write(&self, request: RecordFileWrite) {
        // Sending can't fail: the thread runs until this sender is dropped.
        let _ = self.requests.send(request);
    }

    /// Returns the result of the oldest completed write that was not polled yet.
    pub(super) fn poll(&self) -> Option<Result<(), StorageError>> {
        self.results.try_recv().ok()
    }
}

#[cfg(test)]
mod tests;
