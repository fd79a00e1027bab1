//! Zones that operators took out of service.

use std::collections::BTreeMap;
use std::fmt;

use petrellatch_proto::pass_through::{ZoneCommand, ZoneStatus, ZoneStatuses};

/// The latest order about each zone, as of an index of the log. There are as many
/// records as zones that were ever ordered about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    index: u64,
    zones: BTreeMap<String, ZoneStatus>,
}

impl Evacuations {
    /// Index of the latest order that changed something; zero if there was none.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether a zone is out of service.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|status| status.evacuated)
    }

    /// The zones out of service, by name.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneStatus> {
        self.zones.values().filter(|status| status.evacuated)
    }

    /// Index of the latest order about a zone; zero if there was none.
    pub(crate) fn index_of(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |status| status.index)
    }

    /// Applies an order. A repeated one keeps what the first one noted. Returns
    /// whether it changed something.
    pub(crate) fn apply(&mut self, index: u64, command: &ZoneCommand) -> bool {
        if self.contains(&command.zone) == command.evacuated {
            return false;
        }
        self.index = index;
        let status = ZoneStatus {
            zone: command.zone.clone(),
            evacuated: command.evacuated,
            command_id: command.command_id,
            index,
            issued_at_millis: command.issued_at_millis,
        };
        self.zones.insert(command.zone.clone(), status);
        true
    }

    /// Takes what another process told, if that is newer. Returns whether it is.
    pub(crate) fn take_newer(&mut self, statuses: &ZoneStatuses) -> bool {
        let is_newer = statuses.index > self.index;
        if is_newer {
            *self = Evacuations::from_message(statuses);
        }
        is_newer
    }

    pub(crate) fn from_message(statuses: &ZoneStatuses) -> Evacuations {
        let zones = statuses.zones.iter();
        let zones = zones.map(|status| (status.zone.clone(), status.clone()));
        Evacuations {
            index: statuses.index,
            zones: zones.collect(),
        }
    }

    pub(crate) fn to_message(&self) -> ZoneStatuses {
        ZoneStatuses {
            index: self.index,
            zones: self.zones.values().cloned().collect(),
        }
    }

    /// What somebody who knows the orders up to `known` has to be told, if anything.
    pub(crate) fn updates_since(&self, known_index: u64) -> Option<ZoneStatuses> {
        (self.index > known_index).then(|| self.to_message())
    }
}

impl fmt::Display for Evacuations {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zones: Vec<&str> = self.evacuated_zones().map(|it| it.zone.as_str()).collect();
        write!(
            formatter,
            "index={} evacuated={}",
            self.index,
            zones.join(",")
        )
    }
}
