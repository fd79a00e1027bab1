//! Figures over many seeds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::experiment::deployment::Deployment;
use crate::experiment::flow::FlowEnd;
use crate::experiment::measures::{Measures, new_histogram};
use crate::experiment::variant::{Variant, VariantGroup};

/// Points of the t distribution for 95 % two-sided confidence, by degrees of
/// freedom from one; beyond them the normal distribution is close enough.
const T_POINTS: [f64; 20] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
];

const NORMAL_POINT: f64 = 1.96;

/// A mean over seeds with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The interval reaches this far to both sides; zero for one seed.
    pub half_width: f64,
}

impl Estimate {
    /// Estimates from one value a seed.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        if values.len() < 2 {
            return Estimate {
                mean,
                half_width: 0.0,
            };
        }
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0)).sqrt();
        let freedom = values.len() - 1;
        let point = T_POINTS.get(freedom - 1).copied().unwrap_or(NORMAL_POINT);
        Estimate {
            mean,
            half_width: point * deviation / count.sqrt(),
        }
    }
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half of all are at most this.
    pub p50: f64,
    /// 99 % are at most this.
    pub p99: f64,
    /// 99.9 % are at most this.
    pub p999: f64,
}

/// The imbalance of one service over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceImbalance {
    /// The service.
    pub service: &'static str,
    /// Mean over windows of one second of the greatest load over the mean.
    pub max_over_mean: Estimate,
    /// 99th percentile over back ends and windows of the load over the mean.
    pub p99_over_mean: Estimate,
    /// Mean over moments of the greatest load over the mean.
    pub instant_max_over_mean: Estimate,
}

/// What one variant showed over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The variant.
    pub variant: &'static str,
    /// Flows that were opened, in all seeds.
    pub opened: u64,
    /// Flows that were still open when the runs ended.
    pub still_open: u64,
    /// Broken flows in a million.
    pub broken_per_million: Estimate,
    /// Broken flows in a million, without those on a machine that died.
    pub avoidable_per_million: Estimate,
    /// Broken flows in a million after planned changes.
    pub planned_per_million: Estimate,
    /// Broken flows in a million, by cause.
    pub causes: BTreeMap<&'static str, f64>,
    /// Flows that were refused as not run, in a million.
    pub refused_per_million: Estimate,
    /// Openings answered by a reset, in a million.
    pub reset_openings_per_million: Estimate,
    /// Openings that got no answer, in a million.
    pub unanswered_openings_per_million: Estimate,
    /// Flows whose callers gave up after many refusals, in a million.
    pub gave_up_per_million: Estimate,
    /// Flows with a request that a back end shed, in a million.
    pub shed_per_million: Estimate,
    /// Requests that ran more than once.
    pub duplicated: u64,
    /// Refused as not run although the request ran.
    pub false_refusals: u64,
    /// Requests or answers at a wrong place.
    pub misrouted: u64,
    /// The imbalance of each service.
    pub imbalance: Vec<ServiceImbalance>,
    /// The greatest mean queue wait of a back end over the mean of all.
    pub wait_max_over_mean: Estimate,
    /// Waits for a slot at the back end.
    pub queue_wait_ms: Percentiles,
    /// The 99th percentile of the waits, by seed.
    pub queue_wait_p99_ms: Estimate,
    /// From the wish to ask until the request ran.
    pub start_delay_ms: Percentiles,
    /// Additional hops for each packet at a balancer.
    pub extra_hops_per_packet: Estimate,
    /// Flows that were passed to another back end, of those opened.
    pub hunted_share: Estimate,
    /// Bytes of control messages a second at a balancer.
    pub balancer_control_bytes_per_second: Estimate,
    /// Bytes of control messages a second at the machine of a back end.
    pub backend_control_bytes_per_second: Estimate,
    /// Dropped packets by reason, in all seeds.
    pub drops: BTreeMap<String, u64>,
    /// Refused flows by reason, in all seeds.
    pub refused: BTreeMap<String, u64>,
    /// What the variant is compared for.
    #[serde(skip)]
    pub group: VariantGroup,
    /// All waits.
    #[serde(skip)]
    pub queue_wait: Histogram<u64>,
}

impl Summary {
    /// Sums up the runs of a variant, one a seed.
    pub fn of(variant: Variant, deployment: &Deployment, runs: &[Measures]) -> Summary {
        let estimate = |value: &dyn Fn(&Measures) -> f64| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            Estimate::of(&values)
        };
        let ends = |end: FlowEnd| {
            estimate(&|run| per_million(run, run.ends.get(&end).copied().unwrap_or(0)))
        };
        let balancers = crate::experiment::deployment::FIRST_BALANCERS as f64;
        let machines = deployment.backends().len() as f64;
        let queue_wait = merge(runs, |run| &run.queue_wait);
        let start_delay = merge(runs, |run| &run.start_delay);
        Summary {
            variant: variant.name,
            opened: sum(runs, |run| run.opened),
            still_open: sum(runs, |run| run.still_open),
            broken_per_million: estimate(&|run| per_million(run, run.broken.values().sum())),
            avoidable_per_million: estimate(&|run| per_million(run, avoidable(run))),
            planned_per_million: estimate(&|run| per_million(run, planned(run))),
            causes: causes(runs),
            refused_per_million: ends(FlowEnd::Refused),
            reset_openings_per_million: ends(FlowEnd::RefusedByReset),
            unanswered_openings_per_million: estimate(&|run| {
                per_million(run, run.unanswered_openings)
            }),
            gave_up_per_million: estimate(&|run| per_million(run, run.gave_up)),
            shed_per_million: ends(FlowEnd::Shed),
            duplicated: sum(runs, |run| run.duplicated),
            false_refusals: sum(runs, |run| run.false_refusals),
            misrouted: sum(runs, |run| run.misrouted),
            imbalance: imbalance(deployment, runs),
            wait_max_over_mean: estimate(&Measures::wait_imbalance),
            queue_wait_ms: percentiles(&queue_wait),
            queue_wait_p99_ms: estimate(&|run| millis(run.queue_wait.value_at_quantile(0.99))),
            start_delay_ms: percentiles(&start_delay),
            extra_hops_per_packet: estimate(&|run| {
                run.system.extra_hops as f64 / run.system.packets.max(1) as f64
            }),
            hunted_share: estimate(&|run| run.system.hunted as f64 / run.opened.max(1) as f64),
            balancer_control_bytes_per_second: estimate(&|run| {
                run.system.balancer_control_bytes as f64 / run.seconds / balancers
            }),
            backend_control_bytes_per_second: estimate(&|run| {
                run.system.backend_control_bytes as f64 / run.seconds / machines
            }),
            drops: counts(runs, |run| &run.system.drops),
            refused: counts(runs, |run| &run.system.refused),
            group: variant.group,
            queue_wait,
        }
    }
}

fn per_million(run: &Measures, count: u64) -> f64 {
    count as f64 * 1e6 / run.opened.max(1) as f64
}

fn avoidable(run: &Measures) -> u64 {
    let broken = run.broken.iter();
    broken
        .filter(|(cause, _)| **cause != crate::experiment::churn::Cause::OwnBackendDied)
        .map(|(_, count)| count)
        .sum()
}

fn planned(run: &Measures) -> u64 {
    let broken = run.broken.iter();
    broken
        .filter(|(cause, _)| cause.is_planned())
        .map(|(_, count)| count)
        .sum()
}

fn causes(runs: &[Measures]) -> BTreeMap<&'static str, f64> {
    let opened = sum(runs, |run| run.opened).max(1) as f64;
    let mut causes = BTreeMap::new();
    for (cause, count) in runs.iter().flat_map(|run| &run.broken) {
        *causes.entry(cause.name()).or_default() += *count as f64 * 1e6 / opened;
    }
    causes
}

fn imbalance(deployment: &Deployment, runs: &[Measures]) -> Vec<ServiceImbalance> {
    let services = deployment.services.iter().enumerate();
    services
        .map(|(index, profile)| {
            let estimate = |value: &dyn Fn(&Measures) -> f64| {
                let values: Vec<f64> = runs.iter().map(value).collect();
                Estimate::of(&values)
            };
            ServiceImbalance {
                service: profile.name,
                max_over_mean: estimate(&|run| run.imbalance[index].window_mean()),
                p99_over_mean: estimate(&|run| run.imbalance[index].window_p99()),
                instant_max_over_mean: estimate(&|run| run.imbalance[index].instant_mean()),
            }
        })
        .collect()
}

fn merge(runs: &[Measures], get: impl Fn(&Measures) -> &Histogram<u64>) -> Histogram<u64> {
    let mut all = new_histogram();
    for run in runs {
        all.add(get(run))
            .expect("all histograms have the same bounds");
    }
    all
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: millis(histogram.value_at_quantile(0.5)),
        p99: millis(histogram.value_at_quantile(0.99)),
        p999: millis(histogram.value_at_quantile(0.999)),
    }
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

fn sum(runs: &[Measures], get: impl Fn(&Measures) -> u64) -> u64 {
    runs.iter().map(get).sum()
}

fn counts(
    runs: &[Measures],
    get: impl Fn(&Measures) -> &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (name, count) in runs.iter().flat_map(get) {
        *sums.entry(name.clone()).or_default() += count;
    }
    sums
}
