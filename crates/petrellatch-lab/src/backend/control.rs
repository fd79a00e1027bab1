//! What a back end says about itself, and the ways in which it can be made to
//! mislead.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How long samples are kept for [`ReportMode::Lag`].
const HISTORY: Duration = Duration::from_secs(60);
/// Lag used when a control request names none.
const DEFAULT_LAG_MS: u64 = 2_000;

/// The answer to `GET /health` and `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the back end.
    pub backend: String,
    /// Name of its service.
    pub service: String,
    /// Whether it says that it can serve.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests it can run at once.
    pub slots: usize,
    /// Requests that are running.
    pub busy: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Open connections.
    pub connections: usize,
    /// Connections it can hold.
    pub connection_limit: usize,
    /// Connections with work that were accepted since the drain began.
    pub flows_after_drain: u64,
    /// When the last of them was accepted, in milliseconds after the drain
    /// began.
    pub last_flow_after_drain_ms: Option<u64>,
}

/// How truthful the reports are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// The present state.
    #[default]
    Truth,
    /// Always healthy and idle.
    LieOk,
    /// Always unhealthy and full.
    LieBad,
    /// The state at the moment of this control request, for ever.
    Freeze,
    /// The state some time ago.
    Lag,
    /// No answer until the mode changes.
    Hang,
}

/// The body of `POST /control`. Absent members change nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    /// The mode of `/health` and `/load`.
    pub health: Option<ReportMode>,
    /// Age of the reports under [`ReportMode::Lag`], in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether the back end is leaving.
    pub drain: Option<bool>,
}

#[derive(Debug)]
struct Sample {
    taken: Instant,
    report: LoadReport,
}

/// The drain state and the reporting mode of one back end.
#[derive(Debug, Default)]
pub struct ReportControl {
    mode: ReportMode,
    lag: Duration,
    frozen: LoadReport,
    history: VecDeque<Sample>,
    drain_began: Option<Instant>,
    flows_after_drain: u64,
    last_flow_after_drain: Option<Duration>,
}

impl ReportControl {
    /// Applies a control request. `truth` is the present state.
    pub fn apply(&mut self, now: Instant, request: ControlRequest, truth: LoadReport) {
        if let Some(mode) = request.health {
            self.mode = mode;
            self.lag = Duration::from_millis(request.lag_ms.unwrap_or(DEFAULT_LAG_MS));
            self.frozen = truth;
        }
        match request.drain {
            Some(true) => self.begin_drain(now),
            Some(false) => self.drain_began = None,
            None => {}
        }
    }

    fn begin_drain(&mut self, now: Instant) {
        if self.drain_began.is_none() {
            self.drain_began = Some(now);
            self.flows_after_drain = 0;
            self.last_flow_after_drain = None;
        }
    }

    /// Tells whether the back end is leaving.
    pub fn is_draining(&self) -> bool {
        self.drain_began.is_some()
    }

    /// Counts a connection that brought work.
    pub fn count_flow(&mut self, accepted: Instant) {
        if let Some(began) = self.drain_began
            && accepted >= began
        {
            self.flows_after_drain += 1;
            self.last_flow_after_drain = Some(accepted - began);
        }
    }

    /// Adds what this control knows to a report of the present state.
    pub fn complete(&self, report: &mut LoadReport) {
        report.draining = self.is_draining();
        report.flows_after_drain = self.flows_after_drain;
        report.last_flow_after_drain_ms = self
            .last_flow_after_drain
            .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    /// Remembers the present state for later reports.
    pub fn sample(&mut self, now: Instant, report: LoadReport) {
        self.history.push_back(Sample { taken: now, report });
        while let Some(oldest) = self.history.front()
            && now.duration_since(oldest.taken) > HISTORY
        {
            self.history.pop_front();
        }
    }

    /// Returns the report to give now, or nothing while it is to hang.
    pub fn report(&self, now: Instant, truth: LoadReport) -> Option<LoadReport> {
        match self.mode {
            ReportMode::Truth => Some(truth),
            ReportMode::LieOk => Some(LoadReport {
                healthy: true,
                draining: false,
                busy: 0,
                waiting: 0,
                connections: 0,
                ..truth
            }),
            ReportMode::LieBad => Some(LoadReport {
                healthy: false,
                busy: truth.slots,
                connections: truth.connection_limit,
                ..truth
            }),
            ReportMode::Freeze => Some(self.frozen.clone()),
            ReportMode::Lag => Some(self.lagging_report(now).unwrap_or(truth)),
            ReportMode::Hang => None,
        }
    }

    /// Returns the newest sample that is old enough, else the oldest one.
    fn lagging_report(&self, now: Instant) -> Option<LoadReport> {
        let old_enough = |sample: &&Sample| now.duration_since(sample.taken) >= self.lag;
        self.history
            .iter()
            .rev()
            .find(old_enough)
            .or(self.history.front())
            .map(|sample| sample.report.clone())
    }
}
