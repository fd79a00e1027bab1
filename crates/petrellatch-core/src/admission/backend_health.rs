//! Whether a back end works, as its agent sees it.

use std::time::Duration;

use crate::Timestamp;

/// Failures in a row after which a back end is closed.
const FAILURE_LIMIT: u32 = 3;

/// The limit for a back end that was closed a short time ago.
const FLAPPING_LIMIT: u32 = 1;

/// A back end that works for so long after it was closed counts as sound
/// again; one that fails sooner is tried less and less often.
const SOUND_TIME: Duration = Duration::from_secs(60);

/// The time until a closed back end is tried again; it doubles with every
/// failed trial.
const FIRST_PROBE: Duration = Duration::from_secs(1);

/// The longest time between two trials.
const LONGEST_PROBE: Duration = Duration::from_secs(8);

/// The greatest health.
const FULL_HEALTH: u32 = 1_000;

/// The reported health moves in steps, so that it does not change with every
/// flow.
const HEALTH_STEP: u32 = 100;

/// A back end whose score is lower is tried by its agent if no flow does.
const SOUND_SCORE: u32 = 900;

/// A back end that no flow has tried for so long is tried by its agent.
const IDLE_PROBE: Duration = Duration::from_secs(1);

/// What a flow asks of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendStage {
    /// That the connection comes about.
    Connect,
    /// That the request gets an answer; any first byte counts as one, and a
    /// reset before it as a failure.
    Answer,
}

/// Judges a back end by the outcome of connections and requests, which can't
/// lag or mislead as a health endpoint can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHealth {
    connect_failures: u32,
    answer_failures: u32,
    closed: Option<Closure>,
    reopened_at: Option<Timestamp>,
    probe_interval: Duration,
    score: u32,
    /// When a flow or the agent tried the back end last.
    tried_at: Timestamp,
}

/// Why and until when a back end is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Closure {
    stage: BackendStage,
    until: Timestamp,
}

impl BackendHealth {
    /// Starts with full health.
    pub fn new() -> Self {
        BackendHealth {
            connect_failures: 0,
            answer_failures: 0,
            closed: None,
            reopened_at: None,
            probe_interval: FIRST_PROBE,
            score: FULL_HEALTH,
            tried_at: Timestamp::ZERO,
        }
    }

    /// Notes that a flow got what it asked for. Returns whether the back end
    /// was closed before and is open now.
    pub fn record_success(&mut self, now: Timestamp, stage: BackendStage) -> bool {
        self.tried_at = now;
        *self.failures(stage) = 0;
        self.score += (FULL_HEALTH - self.score).div_ceil(8);
        let opens = self.closed.is_some_and(|closure| {
            closure.stage == stage || closure.stage == BackendStage::Connect
        });
        if opens {
            self.closed = None;
            self.reopened_at = Some(now);
        }
        opens
    }

    /// Notes that a flow did not get what it asked for. Returns whether the
    /// back end has just been closed.
    pub fn record_failure(&mut self, now: Timestamp, stage: BackendStage) -> bool {
        self.tried_at = now;
        self.forget_recovery(now);
        let flapping = self.reopened_at.is_some();
        let limit = if flapping {
            FLAPPING_LIMIT
        } else {
            FAILURE_LIMIT
        };
        self.score -= self.score.div_ceil(4);
        let failures = self.failures(stage);
        *failures += 1;
        let is_tolerable = *failures < limit;
        let was_open = self.closed.is_none();
        if was_open && is_tolerable {
            return false;
        }
        let until = now + self.probe_interval;
        self.closed = Some(Closure { stage, until });
        self.probe_interval = (self.probe_interval * 2).min(LONGEST_PROBE);
        was_open
    }

    /// Returns why the back end is closed, unless a flow may try it now.
    pub fn closed_by(&self, now: Timestamp) -> Option<BackendStage> {
        let closure = self.closed.filter(|closure| now < closure.until)?;
        Some(closure.stage)
    }

    /// Returns the time until the next flow may try the back end.
    pub fn time_to_probe(&self, now: Timestamp) -> Duration {
        let until = self.closed.map_or(now, |closure| closure.until);
        until.saturating_since(now)
    }

    /// Notes that a flow is used to try a closed back end; there is one such
    /// flow at a time.
    pub fn begin_probe(&mut self, now: Timestamp) {
        self.tried_at = now;
        if let Some(closure) = &mut self.closed {
            closure.until = now + self.probe_interval;
        }
    }

    /// Returns whether the agent should try the back end itself: it is closed
    /// or its health is low, and no flow has tried it lately. A policy may
    /// give such a back end no flow, so that nothing else would show that it
    /// works again.
    pub fn wants_probe(&self, now: Timestamp) -> bool {
        let is_unsound = self.closed.is_some() || self.score < SOUND_SCORE;
        let is_idle = now.saturating_since(self.tried_at) >= IDLE_PROBE;
        is_unsound && is_idle && self.closed_by(now).is_none()
    }

    /// Notes that the agent's own trial came about. It opens a back end that
    /// was closed for its answers too, as only flows can show these. Returns
    /// whether the back end was closed before.
    pub fn record_probe_success(&mut self, now: Timestamp) -> bool {
        let opened = self.record_success(now, BackendStage::Connect);
        if self.closed.take().is_none() {
            return opened;
        }
        self.reopened_at = Some(now);
        true
    }

    /// Returns the health from 0, closed, to 1,000.
    pub fn health(&self) -> u32 {
        if self.closed.is_some() {
            return 0;
        }
        (self.score / HEALTH_STEP * HEALTH_STEP).max(HEALTH_STEP)
    }

    fn failures(&mut self, stage: BackendStage) -> &mut u32 {
        match stage {
            BackendStage::Connect => &mut self.connect_failures,
            BackendStage::Answer => &mut self.answer_failures,
        }
    }

    /// Takes a back end that has worked for long enough for sound again.
    fn forget_recovery(&mut self, now: Timestamp) {
        let is_over = |at: Timestamp| now.saturating_since(at) >= SOUND_TIME;
        if self.closed.is_none() && self.reopened_at.is_some_and(is_over) {
            self.reopened_at = None;
            self.probe_interval = FIRST_PROBE;
        }
    }
}

impl Default for BackendHealth {
    fn default() -> Self {
        BackendHealth::new()
    }
}
