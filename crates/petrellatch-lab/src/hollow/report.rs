//! The report of a measurement.

use std::time::Duration;

use serde::Serialize;

use super::arrivals::{InForce, quantile_ms};
use super::orders::{DaemonReport, WorkerReport};
use super::traffic::{Traffic, Volume};

const KILOBYTE: f64 = 1_000.0;
const PERCENT: f64 = 100.0;

/// The sizes that were measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sizes {
    /// Balancers and agents.
    pub daemons: usize,
    /// Balancers.
    pub balancers: usize,
    /// Back ends.
    pub backends: usize,
    /// Service addresses.
    pub addresses: usize,
    /// Policies.
    pub policies: usize,
    /// Zones.
    pub zones: usize,
    /// Control replicas.
    pub controls: usize,
}

/// How the fleet came up.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StartUp {
    /// Changes that created the configuration.
    pub configuration_changes: usize,
    /// Seconds until all of them were accepted.
    pub configuration_seconds: f64,
    /// Seconds from the first start of a daemon until all were registered,
    /// current, and served, before there was a configuration; none if that
    /// did not happen.
    pub serving_seconds: Option<f64>,
    /// Seconds from the last change until the newest version, with all placements, was
    /// in force at all daemons; none if that did not happen.
    pub quiet_seconds: Option<f64>,
    /// Versions made until the measurement began.
    pub versions: u64,
    /// Registered daemons when the measurement began.
    pub members: usize,
}

/// Volumes a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct VolumeRate {
    /// Messages a second.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
}

/// Volumes a second by kind of message.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TrafficRate {
    /// All kinds.
    pub total: VolumeRate,
    /// The replicated log.
    pub consensus: VolumeRate,
    /// Deltas.
    pub updates: VolumeRate,
    /// Snapshots.
    pub snapshots: VolumeRate,
    /// Heartbeats towards the leader.
    pub heartbeats: VolumeRate,
    /// Answers to heartbeats.
    pub replies: VolumeRate,
    /// Requests for news.
    pub requests: VolumeRate,
    /// Assignments to parents.
    pub attachments: VolumeRate,
}

/// One control replica.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlFigures {
    /// Whether it led at the end.
    pub is_leader: bool,
    /// Processor time in percent of one core.
    pub core_percent: f64,
    /// Sent.
    pub sent: TrafficRate,
    /// Received.
    pub received: TrafficRate,
    /// The longest time without a look at the socket, in milliseconds.
    pub longest_step_ms: f64,
    /// The longest write with its sync, in milliseconds.
    pub longest_write_ms: f64,
}

/// Bytes a second of the daemons of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DaemonFigures {
    /// How many there are.
    pub count: usize,
    /// Received and sent bytes a second, on average.
    pub mean_bytes: f64,
    /// The same, 99th percentile.
    pub p99_bytes: f64,
    /// The same, greatest.
    pub max_bytes: f64,
    /// Received and sent messages a second, on average.
    pub mean_messages: f64,
    /// Received, on average.
    pub received: TrafficRate,
    /// Sent, on average.
    pub sent: TrafficRate,
}

/// Processor time of the threads that drive daemons.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ThreadFigures {
    /// Daemons of these threads.
    pub daemons: usize,
    /// Percent of one core for each daemon, on average.
    pub core_percent_of_daemon: f64,
    /// Percent of one core for the busiest thread.
    pub core_percent_of_busiest: f64,
}

/// A restart of all daemons at once.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MassRestart {
    /// Seconds until half of the daemons served again; none if they did not.
    pub half_serving_seconds: Option<f64>,
    /// Seconds until all daemons served again; none if they did not.
    pub all_serving_seconds: Option<f64>,
    /// Seconds until the newest version was in force at all; none if it was
    /// not.
    pub quiet_seconds: Option<f64>,
    /// Versions that the restart made.
    pub versions: u64,
    /// Terms of leaders that ended meanwhile, as far as was seen.
    pub leader_changes: usize,
}

/// The steady state.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Steady {
    /// Measured seconds.
    pub seconds: f64,
    /// Operator changes a second that were accepted.
    pub changes_per_second: f64,
    /// Planned restarts that were ordered.
    pub restarts: usize,
    /// Losses that were ordered.
    pub failures: usize,
    /// Versions made a second, placements included.
    pub versions_per_second: f64,
    /// Lives that were fenced.
    pub fences: u64,
    /// Times until changes were in force.
    pub in_force: InForce,
    /// The control replicas.
    pub controls: Vec<ControlFigures>,
    /// Balancers that served children.
    pub relays: DaemonFigures,
    /// Balancers that served none.
    pub balancers: DaemonFigures,
    /// Agents.
    pub agents: DaemonFigures,
    /// The thread of the balancers.
    pub balancer_threads: ThreadFigures,
    /// The threads of the agents.
    pub agent_threads: ThreadFigures,
}

/// Resident memory of the process at the steps of the measurement, in bytes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Before anything.
    pub at_start: u64,
    /// With all daemons registered.
    pub with_daemons: u64,
    /// With the configuration and all placements.
    pub with_configuration: u64,
    /// After the steady state.
    pub after_steady: u64,
    /// At the end.
    pub at_end: u64,
}

/// Everything that was measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HollowReport {
    /// The sizes.
    pub sizes: Sizes,
    /// How the fleet came up.
    pub start_up: StartUp,
    /// The steady state.
    pub steady: Steady,
    /// A restart of all daemons, if it was asked for.
    pub mass_restart: Option<MassRestart>,
    /// Memory.
    pub memory: Memory,
}

impl VolumeRate {
    fn of(volume: Volume, seconds: f64, count: usize) -> Self {
        let share = seconds * count.max(1) as f64;
        VolumeRate {
            messages: volume.messages as f64 / share,
            bytes: volume.bytes as f64 / share,
        }
    }
}

impl TrafficRate {
    /// The rate of each of `count` processes.
    pub fn of(traffic: &Traffic, seconds: f64, count: usize) -> Self {
        let rate = |volume| VolumeRate::of(volume, seconds, count);
        TrafficRate {
            total: rate(traffic.total()),
            consensus: rate(traffic.consensus),
            updates: rate(traffic.updates),
            snapshots: rate(traffic.snapshots),
            heartbeats: rate(traffic.heartbeats),
            replies: rate(traffic.replies),
            requests: rate(traffic.requests),
            attachments: rate(traffic.attachments),
        }
    }
}

impl DaemonFigures {
    /// Figures of some daemons over this time.
    pub fn of<'a>(daemons: impl Iterator<Item = &'a DaemonReport>, seconds: f64) -> Self {
        let daemons: Vec<&DaemonReport> = daemons.collect();
        let mut received = Traffic::default();
        let mut sent = Traffic::default();
        let mut volumes = Vec::new();
        for daemon in &daemons {
            received.add(&daemon.received);
            sent.add(&daemon.sent);
            volumes.push(daemon.received.total().bytes + daemon.sent.total().bytes);
        }
        volumes.sort_unstable();
        let mut total = received.total();
        total.add(sent.total());
        let mean = VolumeRate::of(total, seconds, daemons.len());
        DaemonFigures {
            count: daemons.len(),
            mean_bytes: mean.bytes,
            p99_bytes: quantile(&volumes, 0.99) / seconds,
            max_bytes: quantile(&volumes, 1.0) / seconds,
            mean_messages: mean.messages,
            received: TrafficRate::of(&received, seconds, daemons.len()),
            sent: TrafficRate::of(&sent, seconds, daemons.len()),
        }
    }
}

impl ThreadFigures {
    /// Figures of some threads.
    pub fn of(reports: &[WorkerReport]) -> Self {
        let daemons = reports.iter().map(|it| it.daemons.len()).sum::<usize>();
        let shares = reports.iter().map(core_percent);
        let total: f64 = shares.clone().sum();
        ThreadFigures {
            daemons,
            core_percent_of_daemon: total / daemons.max(1) as f64,
            core_percent_of_busiest: shares.fold(0.0, f64::max),
        }
    }
}

fn core_percent(report: &WorkerReport) -> f64 {
    percent_of(report.processor_time, report.elapsed)
}

/// Returns how much of `whole` is `part`, in percent.
pub fn percent_of(part: Duration, whole: Duration) -> f64 {
    PERCENT * part.as_secs_f64() / whole.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns a duration in milliseconds.
pub fn milliseconds(duration: Duration) -> f64 {
    quantile_ms(&[duration], 1.0)
}

fn quantile(sorted: &[u64], quantile: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    let index = (last as f64 * quantile).round() as usize;
    sorted[index.min(last)] as f64
}

impl HollowReport {
    /// Writes the report as readable lines.
    pub fn print(&self) {
        let (sizes, steady) = (&self.sizes, &self.steady);
        println!(
            "{} daemons ({} balancers), {} back ends, {} addresses, {} control replicas",
            sizes.daemons, sizes.balancers, sizes.backends, sizes.addresses, sizes.controls
        );
        println!("start: {:?}", self.start_up);
        println!(
            "steady: {:.1} s, {:.2} changes/s, {:.2} versions/s, {} restarts, {} failures, {} fences",
            steady.seconds,
            steady.changes_per_second,
            steady.versions_per_second,
            steady.restarts,
            steady.failures,
            steady.fences
        );
        println!("in force: {:?}", steady.in_force);
        for control in &steady.controls {
            control.print();
        }
        for (name, figures) in [
            ("relay", &steady.relays),
            ("balancer", &steady.balancers),
            ("agent", &steady.agents),
        ] {
            println!(
                "{name}: {} of them, {:.2} KB/s each (p99 {:.2}, max {:.2}), {:.1} messages/s",
                figures.count,
                figures.mean_bytes / KILOBYTE,
                figures.p99_bytes / KILOBYTE,
                figures.max_bytes / KILOBYTE,
                figures.mean_messages
            );
        }
        println!("balancer thread: {:?}", steady.balancer_threads);
        println!("agent threads: {:?}", steady.agent_threads);
        println!("mass restart: {:?}", self.mass_restart);
        println!("memory: {:?}", self.memory);
    }
}

impl ControlFigures {
    fn print(&self) {
        println!(
            "control{}: {:.1} % of a core, sent {:.1} KB/s, received {:.1} KB/s, longest step {:.1} ms, longest write {:.1} ms",
            if self.is_leader { " (leader)" } else { "" },
            self.core_percent,
            self.sent.total.bytes / KILOBYTE,
            self.received.total.bytes / KILOBYTE,
            self.longest_step_ms,
            self.longest_write_ms
        );
    }
}
