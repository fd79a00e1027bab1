//! The replicated state: what the commands of the log lead to.

use petrellatch_proto::pass_through::{ConfigurationChange, ReplaceCommand};
use prost::Message;

use super::change_assembly::{PartAssembly, compress, decompress, split};
use super::configuration::Configuration;

/// Largest part of a change in one command, in bytes.
const COMMAND_PART_BYTES: usize = 6 * 1024;

/// A change that took effect, or did not, when its last part was applied.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AppliedChange {
    /// Number of the change.
    pub(super) id: u64,
    /// What it changed; `None` if it was based on another version.
    pub(super) change: Option<ConfigurationChange>,
}

/// The configuration, and the change whose parts are being applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ConfigurationState {
    configuration: Configuration,
    assembly: PartAssembly,
    /// Commands of the change that is not complete yet, for snapshots.
    pending: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct StateSnapshot {
    #[prost(message, optional, tag = "1")]
    configuration: Option<ConfigurationChange>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    pending: Vec<Vec<u8>>,
}

impl ConfigurationState {
    pub(super) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The commands that make a change.
    pub(super) fn commands(id: u64, change: &ConfigurationChange) -> Vec<Vec<u8>> {
        let bytes = compress(&change.encode_to_vec());
        let parts = split(&bytes, COMMAND_PART_BYTES);
        let count = parts.len() as u32;
        let command = |(part, bytes): (usize, &[u8])| ReplaceCommand {
            change: id,
            part: part as u32,
            parts: count,
            bytes: bytes.to_vec(),
        };
        let commands = parts.into_iter().enumerate().map(command);
        commands.map(|command| command.encode_to_vec()).collect()
    }

    /// Applies a command. One that can't be decoded has no effect at any
    /// replica.
    pub(super) fn apply(&mut self, bytes: &[u8]) -> Option<AppliedChange> {
        let command = ReplaceCommand::decode(bytes).ok()?;
        if command.part == 0 {
            self.pending.clear();
        }
        self.pending.push(bytes.to_vec());
        let id = command.change;
        let complete = self
            .assembly
            .add(id, command.part, command.parts, command.bytes)?;
        self.pending.clear();
        let bytes = decompress(&complete);
        let change = bytes.and_then(|bytes| ConfigurationChange::decode(bytes.as_slice()).ok());
        let change = change.filter(|change| self.configuration.apply(change));
        Some(AppliedChange { id, change })
    }

    pub(super) fn encode_snapshot(&self) -> Vec<u8> {
        let snapshot = StateSnapshot {
            configuration: Some(Configuration::default().change_to(&self.configuration)),
            pending: self.pending.clone(),
        };
        compress(&snapshot.encode_to_vec())
    }

    pub(super) fn decode_snapshot(bytes: &[u8]) -> Option<ConfigurationState> {
        let snapshot = StateSnapshot::decode(decompress(bytes)?.as_slice()).ok()?;
        let mut state = ConfigurationState::default();
        state.configuration.apply(&snapshot.configuration?);
        for command in &snapshot.pending {
            state.apply(command);
        }
        Some(state)
    }
}
