//! A back end beside this agent.

use std::time::Duration;

use petrellatch_proto::admission::LoadReport;
use petrellatch_proto::dissemination::BackendLoad;
use petrellatch_proto::record::BackendRecord;

use crate::Timestamp;
use crate::admission::{
    BackendHealth, BackendLimits, BackendStage, BackendUse, RefusalReason, ServiceTime,
};

/// The least time between two load reports of one back end.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A report that did not change is repeated once after this time, in case that
/// the last one was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What a load report said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedLoad {
    busy: u32,
    closed: bool,
    withdrawn: bool,
    at: Timestamp,
    repeated: bool,
}

/// A back end beside this agent: its limits and what it is doing.
#[derive(Clone, Debug)]
pub(super) struct LocalBackend {
    /// Its record.
    pub(super) record: BackendRecord,
    /// What it is doing.
    pub(super) present: BackendUse,
    /// Whether it can be reached.
    pub(super) health: BackendHealth,
    /// How long it takes for a request.
    pub(super) service_time: ServiceTime,
    /// It said itself that it is draining.
    pub(super) drains_itself: bool,
    limits: BackendLimits,
    sequence: u64,
    reported: Option<ReportedLoad>,
}

impl LocalBackend {
    /// Starts to serve a back end.
    pub(super) fn new(now: Timestamp, record: &BackendRecord, wait_limit: Duration) -> Self {
        LocalBackend {
            record: record.clone(),
            present: BackendUse::default(),
            health: BackendHealth::new(),
            service_time: ServiceTime::new(),
            drains_itself: false,
            limits: BackendLimits::new(now, record, wait_limit),
            sequence: 0,
            reported: None,
        }
    }

    /// Takes over a changed record.
    pub(super) fn update(&mut self, record: &BackendRecord) {
        self.record = record.clone();
        self.limits.update(record);
    }

    /// Returns whether the back end should get nothing new although it could:
    /// it says so itself, or it fails requests. How far that is followed
    /// depends on the other back ends of the service.
    pub(super) fn withdrawal(&self, now: Timestamp) -> Option<RefusalReason> {
        if self.drains_itself {
            return Some(RefusalReason::Draining);
        }
        let fails = self.health.closed_by(now) == Some(BackendStage::Answer);
        fails.then_some(RefusalReason::Unreachable)
    }

    /// Returns whether one more flow may be admitted, a withdrawal left out of
    /// account.
    pub(super) fn check(&self, now: Timestamp) -> Result<(), RefusalReason> {
        if self.health.closed_by(now) == Some(BackendStage::Connect) {
            return Err(RefusalReason::Unreachable);
        }
        self.limits.check(now, self.present, &self.service_time)
    }

    /// Returns whether one more request would be worked on at once.
    pub(super) fn has_free_slot(&self, now: Timestamp) -> bool {
        let slots = self.limits.slots(now);
        slots == 0 || self.present.busy < slots
    }

    /// Takes the time from a request to its answer. Its time in a slot is that
    /// without the wait; while requests wait, so many times as many are in
    /// progress as the back end works on.
    pub(super) fn record_service_time(&mut self, measured: Duration) {
        let slots = self.record.slots;
        let busy = self.present.busy.max(1);
        let waits = slots > 0 && busy > slots;
        let in_slot = if waits {
            measured.saturating_mul(slots) / busy
        } else {
            measured
        };
        self.service_time.record(in_slot);
    }

    /// Returns how long a refused caller should stay away.
    pub(super) fn expected_wait(&self, now: Timestamp) -> Duration {
        let slots = self.limits.slots(now);
        let wait = self.service_time.expected_wait(self.present.busy, slots);
        wait.max(self.health.time_to_probe(now))
    }

    /// Returns the load as it is now, for messages that carry it anyway.
    pub(super) fn load(&mut self, now: Timestamp, closed: bool) -> LoadReport {
        self.sequence += 1;
        LoadReport {
            service: self.record.service,
            backend: self.record.id,
            in_flight_requests: self.present.busy,
            connections: self.present.connections,
            refuses_new_flows: closed,
            sequence: self.sequence,
            withdrawn: self.withdrawal(now).is_some(),
        }
    }

    /// Makes a report due: there may be agents that have heard none.
    pub(super) fn report_again(&mut self) {
        self.reported = None;
    }

    /// Returns a report for the other agents if one is due.
    pub(super) fn poll_report(&mut self, now: Timestamp, closed: bool) -> Option<LoadReport> {
        let busy = self.present.busy;
        let withdrawn = self.withdrawal(now).is_some();
        let repeated = match self.reported {
            None => false,
            Some(last) => {
                let elapsed = now.saturating_since(last.at);
                let same_state = last.closed == closed && last.withdrawn == withdrawn;
                let changed = last.busy != busy || !same_state;
                let due = changed && elapsed >= REPORT_INTERVAL;
                let repeat = !changed && !last.repeated && elapsed >= REPEAT_INTERVAL;
                if !due && !repeat {
                    return None;
                }
                repeat
            }
        };
        self.reported = Some(ReportedLoad {
            busy,
            closed,
            withdrawn,
            at: now,
            repeated,
        });
        Some(self.load(now, closed))
    }

    /// Returns the load for the leader.
    pub(super) fn backend_load(&self) -> BackendLoad {
        BackendLoad {
            backend: self.record.id,
            in_flight_requests: self.present.busy,
            connections: self.present.connections,
            health: self.health.health(),
            draining: self.drains_itself,
        }
    }
}
