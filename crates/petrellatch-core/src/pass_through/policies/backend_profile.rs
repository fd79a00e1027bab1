//! What a policy reads of a back end, from the words of its agent.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, LoadMessage, Report};

use crate::policy::{BackendView, HEALTH_SCALE};
use crate::time::Timestamp;

/// Health of a back end that is left out, as it fails requests.
const EJECTED_HEALTH: u32 = HEALTH_SCALE / 2;

/// Two times of a start that differ by less are the same one: ages are told in messages
/// that take a while.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// What does not change with each request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BackendProfile {
    pub(crate) service: String,
    zone: String,
    pub(crate) name: String,
    labels: BTreeMap<String, String>,
    /// When it was started, as far as its agent has seen.
    started_at: Timestamp,
}

/// What is known of a back end at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendCondition {
    pub(crate) state: AgentState,
    pub(crate) load: LoadMessage,
    /// New flows that were offered to it since the load was told.
    pub(crate) flows_since_report: u32,
    /// It is left out, as it fails requests.
    pub(crate) is_ejected: bool,
}

impl BackendProfile {
    pub(crate) fn from_report(reported_at: Timestamp, report: &Report) -> BackendProfile {
        let backend = report.backend.clone().unwrap_or_default();
        let age = Duration::from_millis(backend.age_millis);
        BackendProfile {
            service: report.service.clone(),
            zone: report.zone.clone(),
            name: backend.name,
            labels: backend.labels,
            started_at: reported_at - age,
        }
    }

    /// The same, but for the time of the start if it differs by no more than messages take.
    pub(crate) fn with_stable_start(self, previous: &BackendProfile) -> BackendProfile {
        let later = self.started_at.saturating_since(previous.started_at);
        let earlier = previous.started_at.saturating_since(self.started_at);
        let started_at = match later.max(earlier) < START_TOLERANCE {
            true => previous.started_at,
            false => self.started_at,
        };
        BackendProfile { started_at, ..self }
    }

    pub(crate) fn age(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.started_at)
    }

    /// The back end as a policy sees it.
    pub(crate) fn view(&self, now: Timestamp, condition: &BackendCondition) -> BackendView {
        let load = &condition.load;
        let in_flight = load
            .in_flight_requests
            .saturating_add(condition.flows_since_report);
        // Who answers is the system's own concern: one that is silent for a moment is asked
        // last, and is not taken for down.
        let health = match condition.is_ejected {
            true => EJECTED_HEALTH,
            false => HEALTH_SCALE,
        };
        BackendView {
            name: self.name.clone(),
            zone: self.zone.clone(),
            labels: self.labels.clone(),
            slots: load.slots,
            free_slots: load.slots.saturating_sub(in_flight),
            connections: load.open_flows,
            health,
            draining: condition.state == AgentState::Draining,
            age: self.age(now),
            ..BackendView::default()
        }
    }
}
