//! Writes the records of open flows on a thread of its own: neither the log's syncs nor
//! the event loop may wait for them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use mio::Waker;
use petrellatch_core::pass_through::FlowRecordWrite;
use petrellatch_storage::{RecordFile, StorageError};

use crate::error::ProgramError;

/// Stack of the thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// The thread's ends of the channels.
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
        // The thread ends only with this sender.
        let _ = self.requests.send(request);
    }

    /// How a write ended, if one has.
    pub(super) fn poll(&self) -> Option<Result<(), StorageError>> {
        self.results.try_recv().ok()
    }
}

/// The file of records of a data folder.
pub(super) fn flow_record_path(data_folder: &std::path::Path) -> PathBuf {
    data_folder.join("flow-records")
}

#[cfg(test)]
mod tests;
