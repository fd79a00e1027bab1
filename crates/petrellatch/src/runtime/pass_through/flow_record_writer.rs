//! Writes the flow records on a separate thread, so that neither the syncs of the log
//! nor the event loop wait for these writes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use mio::Waker;
use petrellatch_core::pass_through::FlowRecordWrite;
use petrellatch_storage::{RecordFile, StorageError};

use crate::error::ProgramError;

/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// The event loop's ends of the channels to and from the thread.
#[derive(Debug)]
pub(super) struct FlowRecordWriter {
    requests: Sender<FlowRecordWrite>,
    results: Receiver<Result<(), StorageError>>,
}

impl FlowRecordWriter {
    pub(super) fn start(mut file: RecordFile, waker: Arc<Waker>) -> Result<Self, ProgramError> {
        let (requests, request_receiver) = channel::<FlowRecordWrite>();
        let (result_sender, results) = channel();
        thread::Builder::new()
            .name("flow-records".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(request) = request_receiver.recv() {
                    let result = match request {
                        FlowRecordWrite::Append(records) => file.append(&records),
                        FlowRecordWrite::Replace(records) => file.replace(&records),
                    };
                    let _ = result_sender.send(result);
                    let _ = waker.wake();
                }
            })
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(FlowRecordWriter { requests, results })
    }

    pub(super) fn write(&self, request: FlowRecordWrite) {
        // Sending can't fail: the thread runs until this sender is dropped.
        let _ = self.requests.send(request);
    }

    /// Returns the result of the oldest completed write that was not polled yet.
    pub(super) fn poll(&self) -> Option<Result<(), StorageError>> {
        self.results.try_recv().ok()
    }
}

/// Path of the flow record file in a data folder.
pub(super) fn flow_record_path(data_folder: &std::path::Path) -> PathBuf {
    data_folder.join("flow-records")
}

#[cfg(test)]
mod tests;
