//! Stores copies of the cluster view without blocking the event loop.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use petrellatch_core::EventKind;
use slog::Logger;

use super::data_folder::DataFolder;
use crate::error::ProgramError;
use crate::logging::log;

/// A thread that writes the newest queued copy and skips older ones. When the
/// writer is dropped, the thread writes the last copy and ends.
#[derive(Debug)]
pub struct ViewWriter {
    copies: Option<Sender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
}

impl ViewWriter {
    /// Starts the thread.
    pub fn start(folder: DataFolder, logger: Logger) -> Result<Self, ProgramError> {
        let (copies, receiver) = channel();
        let thread = thread::Builder::new()
            .name("view-writer".to_string())
            .spawn(move || write_copies(&folder, &receiver, &logger))
            .map_err(|source| ProgramError::System {
                action: "start a thread",
                source,
            })?;
        Ok(ViewWriter {
            copies: Some(copies),
            thread: Some(thread),
        })
    }

    /// Queues a copy.
    pub fn store(&self, copy: Vec<u8>) {
        if let Some(copies) = &self.copies {
            let _ = copies.send(copy);
        }
    }
}

impl Drop for ViewWriter {
    fn drop(&mut self) {
        self.copies = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The copy only shortens the next start, so a failure to write it is logged
/// and the process continues.
fn write_copies(folder: &DataFolder, copies: &Receiver<Vec<u8>>, logger: &Logger) {
    while let Ok(copy) = copies.recv() {
        let newest = copies.try_iter().last().unwrap_or(copy);
        if let Err(error) = folder.write_view(&newest) {
            log(logger, EventKind::ViewNotStored, error.to_string());
        }
    }
}
