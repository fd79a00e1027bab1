//! Disks that lose what was not synced.

use std::collections::VecDeque;

use rand::RngExt;

use super::random::Random;

/// What a disk holds, and how one write changes it.
pub trait DiskImage: Clone + Default {
    /// One write.
    type Write: Clone;

    /// Applies a whole write.
    fn apply(&mut self, write: &Self::Write);

    /// Applies what is left of a write that power loss interrupted.
    fn apply_torn(&mut self, write: &Self::Write, random: &mut Random);
}

/// What becomes of the writes that were not synced when a machine dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashOutcome {
    /// The process died but the operating system wrote everything out.
    KeepsWrites,
    /// A random number of the unsynced writes are lost, the first lost one is
    /// torn.
    LosesUnsynced,
    /// The whole disk is lost.
    LosesEverything,
}

/// The disk of one machine.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk<I: DiskImage> {
    synced: I,
    unsynced: VecDeque<I::Write>,
}

impl<I: DiskImage> SimulatedDisk<I> {
    /// Starts a write.
    pub fn write(&mut self, write: I::Write) {
        self.unsynced.push_back(write);
    }

    /// Syncs the oldest write that was started, and returns it.
    pub fn sync_oldest(&mut self) -> Option<I::Write> {
        let write = self.unsynced.pop_front()?;
        self.synced.apply(&write);
        Some(write)
    }

    /// Returns what survives every crash but the loss of the disk.
    pub fn synced(&self) -> &I {
        &self.synced
    }

    /// Changes the content as the death of the machine does, and returns what
    /// the next start reads.
    pub fn crash(&mut self, outcome: CrashOutcome, random: &mut Random) -> &I {
        match outcome {
            CrashOutcome::KeepsWrites => self.keep(self.unsynced.len()),
            CrashOutcome::LosesUnsynced => self.tear(random),
            CrashOutcome::LosesEverything => self.synced = I::default(),
        }
        self.unsynced.clear();
        &self.synced
    }

    fn keep(&mut self, count: usize) {
        for write in self.unsynced.drain(..count) {
            self.synced.apply(&write);
        }
    }

    fn tear(&mut self, random: &mut Random) {
        let kept = random.random_range(0..=self.unsynced.len());
        self.keep(kept);
        if let Some(write) = self.unsynced.front() {
            self.synced.apply_torn(write, random);
        }
    }
}

/// A file that is replaced as a whole by writing a new one and renaming it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplacedFile {
    /// The content, if the file exists.
    pub content: Option<Vec<u8>>,
}

impl DiskImage for ReplacedFile {
    type Write = Vec<u8>;

    fn apply(&mut self, write: &Vec<u8>) {
        self.content = Some(write.clone());
    }

    fn apply_torn(&mut self, _write: &Vec<u8>, _random: &mut Random) {
        // The rename had not happened, so the former file is still there.
    }
}
