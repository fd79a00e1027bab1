//! The replicated state machine: the state that follows from the commands of the log.

use petrellatch_proto::pass_through::{
    ConfigurationChange, LogCommand, PolicyChange, PolicySet, ZoneCommand, ZoneStatuses,
};
use prost::Message;

use super::configuration::Configuration;
use super::reassembly::{Reassembly, compress, decompress, split};
use crate::pass_through::group::evacuations::Evacuations;
use crate::pass_through::policies::placement_policies::{PlacementPolicies, PolicyRefusal};

/// Maximum size of the part of a change in one command, in bytes.
const COMMAND_PART_BYTES: usize = 6 * 1024;

/// The outcome of a configuration change whose last part was applied.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AppliedChange {
    /// Identifier of the change.
    pub(crate) id: u64,
    /// The change; `None` if it had no effect, mostly as it was based on another version.
    pub(crate) change: Option<ConfigurationChange>,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Applied {
    /// The last part of a configuration change was applied.
    Change(AppliedChange),
    /// A zone command was applied.
    ZoneCommand {
        /// The command.
        command: ZoneCommand,
        /// Whether it changed something.
        changed: bool,
    },
    /// A change of the placement policies was applied or refused.
    PolicyChange {
        /// The change.
        change: PolicyChange,
        /// Whether it changed something, or why it was refused.
        outcome: Result<bool, PolicyRefusal>,
    },
}

/// The configuration, the evacuated zones, the placement policies, and the configuration
/// change of which some parts were applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationState {
    configuration: Configuration,
    evacuations: Evacuations,
    policies: PlacementPolicies,
    reassembly: Reassembly,
    /// Commands of the incomplete change, which snapshots have to contain.
    pending: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct StateSnapshot {
    #[prost(message, optional, tag = "1")]
    configuration: Option<ConfigurationChange>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    pending: Vec<Vec<u8>>,
    #[prost(message, optional, tag = "3")]
    zones: Option<ZoneStatuses>,
    #[prost(message, optional, tag = "4")]
    policies: Option<PolicySet>,
}

impl ConfigurationState {
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub(crate) fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    pub(crate) fn policies(&self) -> &PlacementPolicies {
        &self.policies
    }

    /// Encodes a change of the placement policies as a command.
    pub(crate) fn policy_command(change: &PolicyChange) -> Vec<u8> {
        let command = LogCommand {
            policy_change: Some(change.clone()),
            ..LogCommand::default()
        };
        command.encode_to_vec()
    }

    /// Encodes a zone command as a command of the log.
    pub(crate) fn zone_command(zone_command: &ZoneCommand) -> Vec<u8> {
        let command = LogCommand {
            zone_command: Some(zone_command.clone()),
            ..LogCommand::default()
        };
        command.encode_to_vec()
    }

    /// Encodes a configuration change as one or more commands.
    pub(crate) fn commands(id: u64, change: &ConfigurationChange) -> Vec<Vec<u8>> {
        let bytes = compress(&change.encode_to_vec());
        let parts = split(&bytes, COMMAND_PART_BYTES);
        let count = parts.len() as u32;
        let command = |(part, bytes): (usize, &[u8])| LogCommand {
            change_id: id,
            part: part as u32,
            parts: count,
            bytes: bytes.to_vec(),
            ..LogCommand::default()
        };
        let commands = parts.into_iter().enumerate().map(command);
        commands.map(|command| command.encode_to_vec()).collect()
    }

    /// Applies the command at `index` of the log. A command that can't be decoded has no
    /// effect at any replica.
    pub(crate) fn apply(&mut self, index: u64, bytes: &[u8]) -> Option<Applied> {
        let command = LogCommand::decode(bytes).ok()?;
        if let Some(command) = command.zone_command {
            let changed = self.evacuations.apply(index, &command);
            return Some(Applied::ZoneCommand { command, changed });
        }
        if let Some(change) = command.policy_change {
            let outcome = self.policies.apply(index, &change);
            return Some(Applied::PolicyChange { change, outcome });
        }
        self.apply_part(command, bytes).map(Applied::Change)
    }

    fn apply_part(&mut self, command: LogCommand, bytes: &[u8]) -> Option<AppliedChange> {
        if command.part == 0 {
            self.pending.clear();
        }
        self.pending.push(bytes.to_vec());
        let id = command.change_id;
        let complete = self
            .reassembly
            .add(id, command.part, command.parts, command.bytes)?;
        self.pending.clear();
        let bytes = decompress(&complete);
        let change = bytes.and_then(|bytes| ConfigurationChange::decode(bytes.as_slice()).ok());
        let change = change.filter(|change| self.configuration.apply(change));
        Some(AppliedChange { id, change })
    }

    pub(crate) fn encode_snapshot(&self) -> Vec<u8> {
        let snapshot = StateSnapshot {
            configuration: Some(Configuration::default().change_to(&self.configuration)),
            pending: self.pending.clone(),
            zones: Some(self.evacuations.to_message()),
            policies: Some(self.policies.to_message()),
        };
        compress(&snapshot.encode_to_vec())
    }

    pub(crate) fn decode_snapshot(bytes: &[u8]) -> Option<ConfigurationState> {
        let snapshot = StateSnapshot::decode(decompress(bytes)?.as_slice()).ok()?;
        let mut state = ConfigurationState::default();
        state.configuration.apply(&snapshot.configuration?);
        for bytes in &snapshot.pending {
            let command = LogCommand::decode(bytes.as_slice()).ok()?;
            state.apply_part(command, bytes);
        }
        if let Some(zones) = &snapshot.zones {
            state.evacuations = Evacuations::from_message(zones);
        }
        if let Some(policies) = &snapshot.policies {
            state.policies = PlacementPolicies::from_message(policies);
        }
        Some(state)
    }
}
