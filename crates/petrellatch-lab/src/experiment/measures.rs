//! What one run showed.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::churn::Cause;
use super::deployment::{BackendPlace, Deployment};
use super::flow::FlowEnd;
use super::system::SystemTotals;
use super::workload::FlowPlan;

/// Samples in a window of one second.
const WINDOW_SAMPLES: u32 = 100;

/// The life of a back end's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The back end.
    pub backend: usize,
    /// Its life.
    pub life: u32,
}

/// A flow that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedFlow {
    /// How.
    pub end: FlowEnd,
    /// Whether it had been accepted.
    pub is_accepted: bool,
    /// The request that was not answered.
    pub unanswered: Option<u64>,
    /// The machine that the last packet came from.
    pub machine: Option<Machine>,
    /// What the caller does next if the flow was refused.
    pub retry: Option<Retry>,
}

/// A refused flow that is tried again.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// After which time.
    pub after: Duration,
    /// The flow.
    pub plan: FlowPlan,
}

/// The load of a back end at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Busy slots.
    pub busy: u32,
    /// Its weight by the policy, in thousandths.
    pub weight: u32,
}

/// How unevenly the busy slots of one service were spread. Loads are divided
/// by the weight that the policy gives, and back ends that are down, cold or
/// draining are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Imbalance {
    window: Vec<f64>,
    window_samples: u32,
    /// Of every window of one second, the greatest load over the mean.
    pub window_max_over_mean: Vec<f64>,
    /// All loads of windows over the mean of their window.
    pub window_loads: Vec<f64>,
    instant_sum: f64,
    instant_count: u32,
}

/// What one run showed.
#[derive(Clone, Debug, PartialEq)]
pub struct Measures {
    /// Flows that callers opened.
    pub opened: u64,
    /// Flows that had not ended.
    pub still_open: u64,
    /// Flows by how they ended.
    pub ends: BTreeMap<FlowEnd, u64>,
    /// Accepted flows that broke, by cause.
    pub broken: BTreeMap<Cause, u64>,
    /// Flows that were not accepted and got no answer.
    pub unanswered_openings: u64,
    /// Flows that were refused so often that their callers gave up.
    pub gave_up: u64,
    /// Requests that ran.
    pub executed: u64,
    /// Requests that ran more than once.
    pub duplicated: u64,
    /// Flows that were refused as not run although the request had begun.
    pub false_refusals: u64,
    /// Requests or answers that reached a wrong place.
    pub misrouted: u64,
    /// Waits for a slot at the back end, in microseconds.
    pub queue_wait: Histogram<u64>,
    /// From the moment a caller wanted to ask until the request ran, in
    /// microseconds: handshake, ways and waits.
    pub start_delay: Histogram<u64>,
    /// The imbalance of each service.
    pub imbalance: Vec<Imbalance>,
    /// The mean wait of each back end is its sum over its count.
    wait_sums: Vec<(f64, u64)>,
    /// Virtual seconds of the run.
    pub seconds: f64,
    /// What the system counted.
    pub system: SystemTotals,
    services: Vec<usize>,
    ran: HashSet<u64>,
}

impl Measures {
    /// Starts with nothing.
    pub fn new(deployment: &Deployment) -> Self {
        let places = deployment.backends();
        Measures {
            opened: 0,
            still_open: 0,
            ends: BTreeMap::new(),
            broken: BTreeMap::new(),
            unanswered_openings: 0,
            gave_up: 0,
            executed: 0,
            duplicated: 0,
            false_refusals: 0,
            misrouted: 0,
            queue_wait: new_histogram(),
            start_delay: new_histogram(),
            imbalance: vec![Imbalance::default(); deployment.services.len()],
            wait_sums: vec![(0.0, 0); places.len()],
            seconds: 0.0,
            system: SystemTotals::default(),
            services: places.iter().map(|place| place.service).collect(),
            ran: HashSet::new(),
        }
    }

    /// Notes a request that begins to run.
    pub fn begin_job(
        &mut self,
        backend: usize,
        request: u64,
        wait: Duration,
        delay: Option<Duration>,
    ) {
        self.executed += 1;
        if !self.ran.insert(request) {
            self.duplicated += 1;
        }
        record(&mut self.queue_wait, wait);
        if let Some(delay) = delay {
            record(&mut self.start_delay, delay);
        }
        let (sum, count) = &mut self.wait_sums[backend];
        *sum += wait.as_secs_f64();
        *count += 1;
    }

    /// Notes the end of a flow.
    pub fn end_flow(&mut self, flow: &EndedFlow, cause: Cause) {
        *self.ends.entry(flow.end).or_default() += 1;
        if flow.end == FlowEnd::WrongAnswer {
            self.misrouted += 1;
        }
        let was_refused = matches!(flow.end, FlowEnd::Refused | FlowEnd::RefusedByReset);
        if was_refused && flow.retry.is_none() {
            self.gave_up += 1;
        }
        // A refused flow asks its request again, so only what ran before it
        // was refused counts.
        let not_run = matches!(flow.end, FlowEnd::Refused | FlowEnd::Shed);
        if let Some(request) = flow.unanswered.filter(|_| not_run) {
            self.false_refusals += u64::from(self.ran.contains(&request));
        }
        if flow.end.is_broken() && flow.is_accepted {
            *self.broken.entry(cause).or_default() += 1;
        } else if flow.end.is_broken() {
            self.unanswered_openings += 1;
        }
    }

    /// Notes the loads of all back ends; none for those that are left out.
    pub fn sample(&mut self, places: &[BackendPlace], samples: &[Option<Sample>]) {
        for (service, imbalance) in self.imbalance.iter_mut().enumerate() {
            let of_service = places.iter().zip(samples);
            let loads: Vec<Option<f64>> = of_service
                .filter(|(place, _)| place.service == service)
                .map(|(_, sample)| {
                    sample.map(|it| f64::from(it.busy) * 1_000.0 / f64::from(it.weight))
                })
                .collect();
            imbalance.sample(&loads);
        }
    }

    /// Returns the greatest mean wait of a back end over the mean wait of all,
    /// for the worst service.
    pub fn wait_imbalance(&self) -> f64 {
        let services = self.imbalance.len();
        (0..services)
            .map(|service| self.wait_imbalance_of(service))
            .fold(0.0, f64::max)
    }

    fn wait_imbalance_of(&self, service: usize) -> f64 {
        let all = self.wait_sums.iter().zip(&self.services);
        let own: Vec<(f64, u64)> = all
            .filter(|(_, it)| **it == service)
            .map(|(sums, _)| *sums)
            .collect();
        let means = own.iter().map(|(sum, count)| sum / (*count).max(1) as f64);
        let greatest = means.fold(0.0, f64::max);
        let sum: f64 = own.iter().map(|(sum, _)| sum).sum();
        let count: u64 = own.iter().map(|(_, count)| count).sum();
        let mean = sum / count.max(1) as f64;
        if mean > 0.0 { greatest / mean } else { 1.0 }
    }
}

impl Imbalance {
    /// Takes the loads of all back ends of the service.
    fn sample(&mut self, loads: &[Option<f64>]) {
        let present: Vec<f64> = loads.iter().flatten().copied().collect();
        if let Some(ratio) = max_over_mean(&present) {
            self.instant_sum += ratio;
            self.instant_count += 1;
        }
        self.window.resize(loads.len(), 0.0);
        for (sum, load) in self.window.iter_mut().zip(loads) {
            // A back end that misses a part of a window is left out of it.
            *sum += load.unwrap_or(f64::NAN);
        }
        self.window_samples += 1;
        if self.window_samples == WINDOW_SAMPLES {
            self.end_window();
        }
    }

    fn end_window(&mut self) {
        let whole: Vec<f64> = self
            .window
            .drain(..)
            .filter(|load| !load.is_nan())
            .collect();
        self.window_samples = 0;
        let Some(ratio) = max_over_mean(&whole) else {
            return;
        };
        self.window_max_over_mean.push(ratio);
        let mean = whole.iter().sum::<f64>() / whole.len() as f64;
        self.window_loads
            .extend(whole.iter().map(|load| load / mean));
    }

    /// Returns the mean over all windows of the greatest load over the mean.
    pub fn window_mean(&self) -> f64 {
        let count = self.window_max_over_mean.len().max(1);
        self.window_max_over_mean.iter().sum::<f64>() / count as f64
    }

    /// Returns the 99th percentile of the loads of windows over their mean.
    pub fn window_p99(&self) -> f64 {
        let mut loads = self.window_loads.clone();
        loads.sort_by(f64::total_cmp);
        let position = loads.len() * 99 / 100;
        loads.get(position).copied().unwrap_or(0.0)
    }

    /// Returns the mean over all moments of the greatest load over the mean.
    pub fn instant_mean(&self) -> f64 {
        self.instant_sum / f64::from(self.instant_count.max(1))
    }
}

fn max_over_mean(loads: &[f64]) -> Option<f64> {
    let sum: f64 = loads.iter().sum();
    if loads.len() < 2 || sum <= 0.0 {
        return None;
    }
    let greatest = loads.iter().copied().fold(0.0, f64::max);
    Some(greatest * loads.len() as f64 / sum)
}

/// Makes a histogram of microseconds up to ten minutes.
pub fn new_histogram() -> Histogram<u64> {
    const GREATEST_MICROS: u64 = 600_000_000;
    Histogram::new_with_bounds(1, GREATEST_MICROS, 3).expect("the bounds are sound")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}
