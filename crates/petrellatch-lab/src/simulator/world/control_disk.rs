//! The disk of a control replica.

use petrellatch_core::consensus::{PersistRequest, PersistentState};
use rand::RngExt;

use crate::simulator::engine::disk::DiskImage;
use crate::simulator::engine::random::Random;

/// What a replica finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct ControlImage {
    /// Term, vote, snapshot and log.
    pub state: PersistentState,
}

impl DiskImage for ControlImage {
    type Write = PersistRequest;

    fn apply(&mut self, write: &PersistRequest) {
        self.state.apply(write);
    }

    /// The log's records have checksums, so a torn write leaves its first
    /// records whole and nothing of the others.
    fn apply_torn(&mut self, write: &PersistRequest, random: &mut Random) {
        let kept = random.random_range(0..=write.entries.len());
        let keeps_head = kept > 0 || random.random_bool(0.5);
        if !keeps_head {
            return;
        }
        let torn = PersistRequest {
            entries: write.entries[..kept].to_vec(),
            ..write.clone()
        };
        self.state.apply(&torn);
    }
}
