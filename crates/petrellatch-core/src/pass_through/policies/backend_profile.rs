//! The properties of a back end that policies read, from its agent's reports.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, LoadMessage, Report};

use crate::policy::{BackendView, HEALTH_SCALE};
use crate::time::Timestamp;

/// Health of a back end that is ejected because it fails requests.
const EJECTED_HEALTH: u32 = HEALTH_SCALE / 2;

/// Start times that differ by less are regarded as equal: they are computed from ages in
/// messages, whose delays vary.
const START_TOLERANCE: Duration = Duration::from_secs(1);

/// The properties of a back end that don't change with each request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BackendProfile {
    pub(crate) service: String,
    zone: String,
    pub(crate) name: String,
    labels: BTreeMap<String, String>,
    /// When it was started, by the age that its agent reported.
    started_at: Timestamp,
}

/// The state and load of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendCondition {
    pub(crate) state: AgentState,
    pub(crate) load: LoadMessage,
    /// New flows offered to its agent since the load message.
    pub(crate) flows_since_report: u32,
    /// Whether it is ejected because it fails requests.
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

    /// Returns this profile with the start time of the `previous` one, if the two differ by
    /// less than [`START_TOLERANCE`].
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
        // Whether an agent replies is not part of the health that policies see: the choice
        // itself ranks suspected agents last.
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
