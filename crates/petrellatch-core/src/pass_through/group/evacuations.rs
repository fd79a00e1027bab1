//! Zones that operators have evacuated, that is, taken out of service.

use std::collections::BTreeMap;
use std::fmt;

use petrellatch_proto::pass_through::{ZoneCommand, ZoneStatus, ZoneStatuses};

/// Latest zone command for each zone, as of an index of the replicated log. There is one
/// status per zone that ever had a command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    index: u64,
    zones: BTreeMap<String, ZoneStatus>,
}

impl Evacuations {
    /// Log index of the latest zone command that had an effect; zero if there was none.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|status| status.evacuated)
    }

    /// The evacuated zones, sorted by name.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneStatus> {
        self.zones.values().filter(|status| status.evacuated)
    }

    /// Log index of the latest command for a zone; zero if there was none.
    pub(crate) fn index_of(&self, zone: &str) -> u64 {
        self.zones.get(zone).map_or(0, |status| status.index)
    }

    /// Applies a zone command. A repeated command has no effect, so the status keeps the
    /// values of the first one. Returns whether something has changed.
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

    /// Takes over the state of another process if that is newer. Returns whether it is.
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

    /// The message for a receiver that knows the zone commands up to log index
    /// `known_index`; none if it is up to date.
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
