//! The steps of a measurement.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_proto::seal::{ClusterKey, KEY_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};

use crate::support::process::ProcessClock;

use super::arrivals::{Arrival, SubmittedChange, in_force};
use super::control_replica::{ControlReplica, ReplicaSample, spawn_group};
use super::fleet::FleetPlan;
use super::hollow_daemon::Surroundings;
use super::operator::Operator;
use super::options::HollowOptions;
use super::orders::{Order, WorkerReport};
use super::process_figures::resident_bytes;
use super::report::{
    ControlFigures, DaemonFigures, HollowReport, MassRestart, Memory, Sizes, StartUp, Steady,
    ThreadFigures, TrafficRate, milliseconds, percent_of,
};
use super::worker::Worker;

/// Time between two looks at the progress.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The fleet is quiet when no version was made for so long.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Daemons started a second.
const STARTS_PER_SECOND: f64 = 500.0;

/// A running group with its daemons.
pub struct Measurement<'a> {
    options: &'a HollowOptions,
    plan: FleetPlan,
    log: Logger,
    clock: ProcessClock,
    replicas: &'a [ControlReplica],
    balancers: Worker,
    agents: Vec<Worker>,
    memory: Memory,
}

/// Runs the whole measurement with data folders below `folder`.
pub fn measure(
    options: &HollowOptions,
    folder: &Path,
    log: &Logger,
) -> Result<HollowReport, Box<dyn Error>> {
    let clock = ProcessClock::start();
    let key = ClusterKey::new([1; KEY_BYTES]);
    let at_start = resident_bytes();
    let replicas = spawn_group(clock, options, folder, &key)?;
    let surroundings = Surroundings {
        controls: replicas.iter().map(ControlReplica::address).collect(),
        key,
        records: Default::default(),
        seed: options.seed,
    };
    let threads = 0..options.threads.max(1);
    let agents = threads.map(|_| Worker::spawn(clock, surroundings.clone()));
    let mut measurement = Measurement {
        options,
        plan: FleetPlan::of(options),
        log: log.clone(),
        clock,
        replicas: &replicas,
        balancers: Worker::spawn(clock, surroundings.clone())?,
        agents: agents.collect::<Result<_, _>>()?,
        memory: Memory {
            at_start,
            ..Memory::default()
        },
    };
    let report = measurement.run();
    measurement.stop();
    for replica in replicas {
        replica.stop();
    }
    report
}

impl Measurement<'_> {
    fn run(&mut self) -> Result<HollowReport, Box<dyn Error>> {
        let mut operator = Operator::new(self.clock, self.replicas);
        let start_up = self.start_up(&mut operator)?;
        info!(self.log, "the fleet is up"; "start" => format!("{start_up:?}"));
        let steady = self.steady(&mut operator)?;
        self.memory.after_steady = resident_bytes();
        info!(self.log, "the steady state is measured"; "in_force" => format!("{:?}", steady.in_force));
        let mass_restart = self.options.mass_restart.then(|| self.mass_restart());
        self.memory.at_end = resident_bytes();
        Ok(HollowReport {
            sizes: self.sizes(),
            start_up,
            steady,
            mass_restart,
            memory: self.memory,
        })
    }

    fn stop(self) {
        self.balancers.stop();
        for worker in self.agents {
            worker.stop();
        }
    }

    fn sizes(&self) -> Sizes {
        Sizes {
            daemons: self.options.daemons,
            balancers: self.plan.balancers,
            backends: self.plan.backends,
            addresses: self.plan.services,
            policies: self.plan.policies,
            zones: self.plan.zones,
            controls: self.replicas.len(),
        }
    }

    /// The daemons come before the configuration, so that each service is
    /// placed about once.
    fn start_up(&mut self, operator: &mut Operator<'_>) -> Result<StartUp, Box<dyn Error>> {
        self.wait_until(self.clock.now(), |it| it.leader().is_some());
        let begun = self.clock.now();
        self.start_daemons();
        let serving_seconds = self.wait_until(begun, |it| it.serving() == it.options.daemons);
        info!(self.log, "the daemons serve"; "seconds" => serving_seconds, "members" => self.newest().members);
        self.memory.with_daemons = resident_bytes();
        let begun = self.clock.now();
        let edits = self.plan.configuration();
        let configuration_changes = operator.create(edits, || self.wait_for_laggards())?;
        let configuration_seconds = self.seconds_since(begun);
        info!(self.log, "the configuration is in the log"; "seconds" => configuration_seconds);
        let quiet_seconds = self.wait_until_quiet(self.clock.now());
        self.memory.with_configuration = resident_bytes();
        let newest = self.newest();
        Ok(StartUp {
            configuration_changes,
            configuration_seconds,
            serving_seconds,
            quiet_seconds,
            versions: newest.version,
            members: newest.members,
        })
    }

    /// Waits until the daemons have nearly all versions, so that the creation
    /// of the configuration is no overload.
    fn wait_for_laggards(&self) {
        const ALLOWED_LAG: u64 = 5;
        let begun = self.clock.now();
        self.wait_until(begun, |it| {
            it.least_version() + ALLOWED_LAG >= it.newest().version
        });
    }

    /// The stored copies of the daemons have the newest version.
    fn start_daemons(&self) {
        let version = self.newest().version;
        let spread = Duration::from_secs_f64(self.options.daemons as f64 / STARTS_PER_SECOND);
        let order = |plans| Order::Start {
            plans,
            version,
            spread,
        };
        self.balancers.order(order(self.plan.balancer_plans()));
        let plans = self.plan.agent_plans();
        let share = plans.len().div_ceil(self.agents.len()).max(1);
        for (worker, part) in self.agents.iter().zip(plans.chunks(share)) {
            worker.order(order(part.to_vec()));
        }
    }

    fn steady(&mut self, operator: &mut Operator<'_>) -> Result<Steady, Box<dyn Error>> {
        let duration = Duration::from_secs(self.options.duration);
        let before: Vec<ReplicaSample> = self.replicas.iter().map(|it| it.sample()).collect();
        let first_version = self.newest().version;
        self.workers().for_each(|worker| worker.order(Order::Begin));
        let begun = self.clock.now();
        let mut changes = Vec::new();
        let mut churn = Churn::new(self.options);
        let mut next_number = 0;
        while self.clock.now() < begun + duration {
            churn.order_due(self, self.clock.now().saturating_since(begun));
            let elapsed = self.seconds_since(begun);
            if elapsed * self.options.changes_per_second >= next_number as f64 {
                changes.push(operator.change(self.plan.change(next_number))?);
                next_number += 1;
            } else {
                std::thread::sleep(LOOK_INTERVAL / 10);
            }
        }
        let seconds = self.seconds_since(begun);
        let versions = self.newest().version - first_version;
        let after: Vec<ReplicaSample> = self.replicas.iter().map(|it| it.sample()).collect();
        // The last changes get time to arrive.
        std::thread::sleep(QUIET_TIME);
        let controls = before.iter().zip(&after);
        let mut steady = Steady {
            seconds,
            changes_per_second: changes.len() as f64 / seconds,
            restarts: churn.restarts,
            failures: churn.failures,
            versions_per_second: versions as f64 / seconds,
            controls: controls.map(control_figures).collect(),
            ..Steady::default()
        };
        self.add_daemons(&mut steady, &changes);
        Ok(steady)
    }

    fn add_daemons(&self, steady: &mut Steady, changes: &[SubmittedChange]) {
        let balancers: Vec<WorkerReport> = self.balancers.end().into_iter().collect();
        let agents: Vec<WorkerReport> = self.agents.iter().filter_map(Worker::end).collect();
        let reports = || balancers.iter().chain(&agents);
        let arrivals = reports().flat_map(|report| &report.arrivals);
        let arrivals: Vec<Arrival> = arrivals.copied().collect();
        let seconds = balancers.first().map_or(0.0, |it| it.elapsed.as_secs_f64());
        let of_balancers = || balancers.iter().flat_map(|report| &report.daemons);
        let of_agents = agents.iter().flat_map(|report| &report.daemons);
        steady.in_force = in_force(changes, &arrivals);
        steady.fences = reports().map(|report| report.fences).sum();
        steady.relays = DaemonFigures::of(of_balancers().filter(|it| it.is_relay), seconds);
        steady.balancers = DaemonFigures::of(of_balancers().filter(|it| !it.is_relay), seconds);
        steady.agents = DaemonFigures::of(of_agents, seconds);
        steady.balancer_threads = ThreadFigures::of(&balancers);
        steady.agent_threads = ThreadFigures::of(&agents);
    }

    fn mass_restart(&self) -> MassRestart {
        let first_version = self.newest().version;
        let leader = self.leader();
        let begun = self.clock.now();
        self.workers()
            .for_each(|worker| worker.order(Order::RestartAll));
        // The old leases must not be taken for new ones.
        std::thread::sleep(LOOK_INTERVAL * 3);
        let half = self.options.daemons.div_ceil(2);
        let half_serving_seconds = self.wait_until(begun, |it| it.serving() >= half);
        let all_serving_seconds = self.wait_until(begun, |it| it.serving() == it.options.daemons);
        let quiet_seconds = self.wait_until_quiet(begun);
        MassRestart {
            half_serving_seconds,
            all_serving_seconds,
            quiet_seconds,
            versions: self.newest().version - first_version,
            leader_changes: usize::from(self.leader() != leader),
        }
    }

    fn workers(&self) -> impl Iterator<Item = &Worker> {
        std::iter::once(&self.balancers).chain(&self.agents)
    }

    fn serving(&self) -> usize {
        self.workers().map(|worker| worker.progress().serving).sum()
    }

    fn least_version(&self) -> u64 {
        let versions = self.workers().map(|worker| worker.progress());
        let started = versions.filter(|progress| progress.started > 0);
        started.map(|it| it.least_version).min().unwrap_or(0)
    }

    fn newest(&self) -> ReplicaSample {
        let samples = self.replicas.iter().map(ControlReplica::sample);
        samples.max_by_key(|it| it.version).unwrap_or_default()
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|it| it.sample().is_leader)
    }

    fn seconds_since(&self, begun: Timestamp) -> f64 {
        self.clock.now().saturating_since(begun).as_secs_f64()
    }

    /// Waits until something holds and returns how long after `begun` that
    /// was; none if it does not hold in time.
    fn wait_until(&self, begun: Timestamp, holds: impl Fn(&Self) -> bool) -> Option<f64> {
        let patience = self.options.patience as f64;
        while !holds(self) {
            if self.seconds_since(begun) > patience {
                return None;
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        Some(self.seconds_since(begun))
    }

    /// Waits until all daemons have the newest version and no new one is
    /// made. The time without news does not count.
    fn wait_until_quiet(&self, begun: Timestamp) -> Option<f64> {
        let mut version = self.newest().version;
        let mut since = self.clock.now();
        while self.clock.now().saturating_since(since) < QUIET_TIME {
            if self.seconds_since(begun) > self.options.patience as f64 {
                return None;
            }
            std::thread::sleep(LOOK_INTERVAL);
            let newest = self.newest().version;
            if newest != version || self.least_version() < newest {
                version = newest;
                since = self.clock.now();
            }
        }
        Some(since.saturating_since(begun).as_secs_f64())
    }
}

/// Restarts and losses of daemons at even rates.
struct Churn {
    random: ChaCha8Rng,
    restart_rate: f64,
    failure_rate: f64,
    restarts: usize,
    failures: usize,
}

impl Churn {
    fn new(options: &HollowOptions) -> Self {
        Churn {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            restart_rate: options.restarts_per_second,
            failure_rate: options.failures_per_second,
            restarts: 0,
            failures: 0,
        }
    }

    fn order_due(&mut self, measurement: &Measurement<'_>, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        while elapsed * self.restart_rate > self.restarts as f64 + 1.0 {
            self.restarts += 1;
            self.order(measurement, Order::Restart);
        }
        while elapsed * self.failure_rate > self.failures as f64 + 1.0 {
            self.failures += 1;
            self.order(measurement, Order::Fail);
        }
    }

    /// Draws any of the daemons.
    fn order(&mut self, measurement: &Measurement<'_>, order: impl Fn(usize) -> Order) {
        let index = self
            .random
            .random_range(0..measurement.options.daemons.max(1));
        let balancers = measurement.plan.balancers;
        if index < balancers {
            measurement.balancers.order(order(index));
            return;
        }
        let agents = &measurement.agents;
        let share = measurement.plan.agents.div_ceil(agents.len()).max(1);
        let agent = index - balancers;
        agents[agent / share].order(order(agent % share));
    }
}

fn control_figures((before, after): (&ReplicaSample, &ReplicaSample)) -> ControlFigures {
    let elapsed = after.at.saturating_since(before.at);
    let seconds = elapsed.as_secs_f64();
    let processor_time = after.processor_time.saturating_sub(before.processor_time);
    ControlFigures {
        is_leader: after.is_leader,
        core_percent: percent_of(processor_time, elapsed),
        sent: TrafficRate::of(&after.sent.since(&before.sent), seconds, 1),
        received: TrafficRate::of(&after.received.since(&before.received), seconds, 1),
        longest_step_ms: milliseconds(after.longest_step),
        longest_write_ms: milliseconds(after.longest_write),
    }
}
