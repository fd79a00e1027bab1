//! Which flows callers open, and what they ask.

use std::time::Duration;

use petrellatch_core::Timestamp;
use rand::RngExt;

use crate::simulator::engine::VirtualTime;
use crate::simulator::engine::random::{Random, stream};

use super::deployment::ServiceProfile;

/// One request of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPlan {
    /// Identifies it within a run.
    pub id: u64,
    /// How long it takes in a slot of a warm back end.
    pub service_time: Duration,
    /// How long the caller waits before it sends the next one.
    pub think_time: Duration,
}

/// One flow. The plans of a seed are the same for every variant.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowPlan {
    /// The service.
    pub service: usize,
    /// When the caller opens it.
    pub opens_at: VirtualTime,
    /// What it asks; at least one request.
    pub requests: Vec<RequestPlan>,
    /// When the caller first tried to open it, if it was refused since.
    pub wanted_at: Option<Timestamp>,
    /// How often it was refused.
    pub refusals: u32,
}

/// Draws the flows of one service as a Poisson process.
pub struct Workload {
    service: usize,
    profile: ServiceProfile,
    flows_per_second: f64,
    next_at: VirtualTime,
    requests: u64,
    random: Random,
}

impl Workload {
    /// Makes the flows that keep the given share of all slots busy.
    pub fn new(
        seed: u64,
        service: usize,
        profile: ServiceProfile,
        load: f64,
        start: VirtualTime,
    ) -> Self {
        let slots = f64::from(profile.slots) * profile.backends as f64;
        let requests_per_second = load * slots / profile.mean_service_time.as_secs_f64();
        let extra = f64::from(profile.session_requests) - 1.0;
        let requests_per_flow = 1.0 + profile.session_share * extra;
        Workload {
            service,
            profile,
            flows_per_second: requests_per_second / requests_per_flow,
            next_at: start,
            requests: 0,
            random: stream(seed, profile.name),
        }
    }

    /// Returns the next flow.
    pub fn next_flow(&mut self) -> FlowPlan {
        let gap = self.exponential(Duration::from_secs_f64(1.0 / self.flows_per_second));
        self.next_at = self.next_at + gap;
        let is_session = self.random.random_bool(self.profile.session_share);
        let count = if is_session {
            self.profile.session_requests
        } else {
            1
        };
        let requests = (0..count).map(|_| self.request()).collect();
        FlowPlan {
            service: self.service,
            opens_at: self.next_at,
            requests,
            wanted_at: None,
            refusals: 0,
        }
    }

    fn request(&mut self) -> RequestPlan {
        /// Numbers of different services don't meet.
        const NUMBERS_PER_SERVICE: u64 = 1 << 40;
        self.requests += 1;
        let service = u64::try_from(self.service).unwrap_or(0);
        RequestPlan {
            id: service * NUMBERS_PER_SERVICE + self.requests,
            service_time: self.service_time(),
            think_time: self.exponential(self.profile.think_time),
        }
    }

    /// Draws from a log-normal distribution.
    fn service_time(&mut self) -> Duration {
        let tail = self.profile.tail;
        let mean = self.profile.mean_service_time.as_secs_f64();
        let location = mean.ln() - tail * tail / 2.0;
        let seconds = (location + tail * self.normal()).exp();
        Duration::from_secs_f64(seconds.max(1e-6))
    }

    /// Draws from the normal distribution by the transform of Box and Muller.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.random.random::<f64>();
        radius * angle.cos()
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let factor = -(1.0 - self.random.random::<f64>()).ln();
        mean.mul_f64(factor)
    }
}
