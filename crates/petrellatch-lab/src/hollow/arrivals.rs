//! When versions came into force at the daemons.

use std::time::Duration;

use petrellatch_core::Timestamp;
use serde::Serialize;

/// One daemon's step to a newer version.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The version in force before.
    pub from: u64,
    /// The version in force from now on.
    pub to: u64,
    /// When.
    pub at: Timestamp,
}

/// An operator's change that was accepted.
#[derive(Clone, Copy, Debug)]
pub struct SubmittedChange {
    /// The version that it made.
    pub version: u64,
    /// When it was first submitted.
    pub submitted_at: Timestamp,
    /// When it was answered.
    pub accepted_at: Timestamp,
}

/// Times from the submission of changes until they were in force, over all
/// daemons and changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    /// Changes that count.
    pub changes: usize,
    /// Pairs of change and daemon that were seen.
    pub samples: usize,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Greatest, in milliseconds.
    pub max_ms: f64,
    /// Median time until a change was accepted, in milliseconds.
    pub accepted_p50_ms: f64,
    /// Greatest time until a change was accepted, in milliseconds.
    pub accepted_max_ms: f64,
}

/// Joins changes with arrivals.
pub fn in_force(changes: &[SubmittedChange], arrivals: &[Arrival]) -> InForce {
    let mut times = Vec::new();
    for arrival in arrivals {
        let first = changes.partition_point(|change| change.version <= arrival.from);
        let news = changes[first..].iter();
        for change in news.take_while(|change| change.version <= arrival.to) {
            times.push(arrival.at.saturating_since(change.submitted_at));
        }
    }
    let accepted = changes
        .iter()
        .map(|change| change.accepted_at.saturating_since(change.submitted_at));
    let mut accepted: Vec<Duration> = accepted.collect();
    times.sort_unstable();
    accepted.sort_unstable();
    InForce {
        changes: changes.len(),
        samples: times.len(),
        p50_ms: quantile_ms(&times, 0.5),
        p99_ms: quantile_ms(&times, 0.99),
        max_ms: quantile_ms(&times, 1.0),
        accepted_p50_ms: quantile_ms(&accepted, 0.5),
        accepted_max_ms: quantile_ms(&accepted, 1.0),
    }
}

/// Returns a quantile of sorted durations in milliseconds; zero of none.
pub fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    const MILLISECONDS: f64 = 1_000.0;
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    let index = (last as f64 * quantile).round() as usize;
    sorted[index.min(last)].as_secs_f64() * MILLISECONDS
}
