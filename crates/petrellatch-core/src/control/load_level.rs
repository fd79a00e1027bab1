//! Coarse levels of loads, so that small changes don't move flows.

use petrellatch_proto::dissemination::BackendLoad;
use petrellatch_proto::record::BackendRecord;

use crate::policy::HEALTH_SCALE;

/// Levels into which a quantity is cut.
const LEVELS: u32 = 4;

/// A back end's load in levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadLevels {
    health: u32,
    busy: u32,
    connections: u32,
    /// Whether the back end says that it is draining.
    pub(super) draining: bool,
}

impl LoadLevels {
    /// A back end that no one has reported about counts as idle and well.
    pub(super) const UNKNOWN: LoadLevels = LoadLevels {
        health: LEVELS,
        busy: 0,
        connections: 0,
        draining: false,
    };

    /// Follows a report. A level changes only when the value has left it by
    /// more than half a step.
    pub(super) fn follow(self, record: &BackendRecord, load: &BackendLoad) -> Self {
        LoadLevels {
            health: follow(self.health, load.health, HEALTH_SCALE),
            busy: follow(self.busy, load.in_flight_requests, record.slots),
            connections: follow(self.connections, load.connections, record.connections),
            draining: load.draining,
        }
    }

    /// The health that policies see.
    pub(super) fn health(self) -> u32 {
        self.health * HEALTH_SCALE / LEVELS
    }

    /// The free slots that policies see.
    pub(super) fn free_slots(self, record: &BackendRecord) -> u32 {
        record.slots - scale(record.slots, self.busy)
    }

    /// The connections that policies see.
    pub(super) fn connections(self, record: &BackendRecord) -> u32 {
        scale(record.connections, self.connections)
    }
}

fn scale(whole: u32, level: u32) -> u32 {
    let scaled = u64::from(whole) * u64::from(level) / u64::from(LEVELS);
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

/// Returns the level of a value, from 0 to [`LEVELS`]. A level stands for the
/// values around its part of the whole.
fn follow(previous: u32, value: u32, whole: u32) -> u32 {
    const HALVES: u64 = 2;
    let whole = u64::from(whole.max(1));
    let levels = u64::from(LEVELS);
    let value = u64::from(value).min(whole);
    let distance = (value * levels).abs_diff(u64::from(previous) * whole);
    if distance < whole {
        return previous;
    }
    let nearest = (value * levels * HALVES + whole) / (whole * HALVES);
    u32::try_from(nearest).unwrap_or(LEVELS)
}
