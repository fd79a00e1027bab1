//! The engine of the simulator by itself.

use std::net::Ipv4Addr;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_lab::simulator::engine::disk::{CrashOutcome, ReplacedFile, SimulatedDisk};
use petrellatch_lab::simulator::engine::network::{
    Arrivals, Delays, Disturbance, Network, SiteIndex,
};
use petrellatch_lab::simulator::engine::random::{Random, stream};
use petrellatch_lab::simulator::engine::trace::TraceHash;
use petrellatch_lab::simulator::engine::{EventQueue, ProcessClock, VirtualTime};
use petrellatch_lab::simulator::runner::run_all;
use petrellatch_lab::simulator::scenario::{Promise, RunReport, RunSettings, Scenario, Violation};
use petrellatch_lab::simulator::schedule::generator::{GeneratedSchedule, GeneratorSettings};
use petrellatch_lab::simulator::schedule::{Action, Fault};
use rand::RngExt;

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const DELAYS: Delays = Delays {
    local: Duration::from_micros(50),
    between_zones: Duration::from_micros(500),
    to_clients: Duration::from_millis(1),
    jitter: Duration::from_micros(20),
};
const GENERATOR: GeneratorSettings = GeneratorSettings {
    seconds: (10, 60),
    steps: (3, 8),
    disks_may_be_lost: true,
    agents_may_die: true,
};

#[test]
fn events_happen_in_the_order_of_time_and_then_of_scheduling() {
    let mut queue = EventQueue::default();
    for (micros, event) in [(20, "late"), (10, "first"), (10, "second"), (30, "beyond")] {
        queue.schedule(VirtualTime::from_micros(micros), event);
    }
    let end = VirtualTime::from_micros(25);
    let happened: Vec<_> = std::iter::from_fn(|| queue.pop_until(end)).collect();
    assert_eq!(happened, ["first", "second", "late"]);
    assert_eq!(queue.now(), VirtualTime::from_micros(20));
}

#[test]
fn a_drifting_clock_never_jumps_and_timeouts_are_not_early() {
    let mut clock = ProcessClock::new(Timestamp::from_millis(5), 1_000);
    let second = VirtualTime::from_micros(1_000_000);
    assert_eq!(clock.local(second), Timestamp::from_micros(1_006_000));
    clock.set_drift(second, -1_000);
    assert_eq!(clock.local(second), Timestamp::from_micros(1_006_000));
    for micros in 1_006_000..1_008_000 {
        let deadline = Timestamp::from_micros(micros);
        assert!(clock.local(clock.virtual_time(deadline)) >= deadline);
    }
}

#[test]
fn a_cut_is_one_way_and_adds_up() {
    let mut network = network(1);
    network.cut(FIRST, SECOND);
    network.cut(FIRST, SECOND);
    network.mend(FIRST, SECOND);
    assert_eq!(network.send(FIRST, SECOND), Arrivals::default());
    assert_eq!(network.send_reliably(FIRST, SECOND), None);
    assert!(network.send(SECOND, FIRST).first.is_some());
    network.mend(FIRST, SECOND);
    assert!(network.send(FIRST, SECOND).first.is_some());
}

#[test]
fn disturbances_lose_double_and_hold_back_at_their_rates() {
    let mut network = network(2);
    network.set_disturbance(Disturbance {
        loss_ppm: 200_000,
        duplicate_ppm: 100_000,
        late_ppm: 300_000,
        late_by: Duration::from_secs(1),
    });
    let sent: Vec<Arrivals> = (0..10_000).map(|_| network.send(FIRST, SECOND)).collect();
    let share = |count: usize, of: usize| count * 100 / of;
    let arrived = sent
        .iter()
        .filter(|arrivals| arrivals.first.is_some())
        .count();
    let doubled = sent
        .iter()
        .filter(|arrivals| arrivals.second.is_some())
        .count();
    let is_late = |arrivals: &&Arrivals| arrivals.first > Some(Duration::from_millis(1));
    let late = sent.iter().filter(is_late).count();
    assert!((78..=82).contains(&share(arrived, 10_000)));
    assert!((8..=12).contains(&share(doubled, arrived)));
    assert!((27..=33).contains(&share(late, arrived)));
}

#[test]
fn a_crash_keeps_synced_writes_and_a_prefix_of_the_others() {
    let mut kept = [0; 4];
    for seed in 0..200 {
        let mut disk = SimulatedDisk::<ReplacedFile>::default();
        let mut random = stream(seed, "disk");
        disk.write(vec![0]);
        disk.sync_oldest();
        for content in 1..=3 {
            disk.write(vec![content]);
        }
        let image = disk.crash(CrashOutcome::LosesUnsynced, &mut random);
        let content = image.content.as_ref().expect("a synced file survives");
        kept[usize::from(content[0])] += 1;
        let lost = disk.crash(CrashOutcome::LosesEverything, &mut random);
        assert_eq!(lost.content, None);
    }
    assert!(kept.iter().all(|count| *count > 20), "{kept:?}");
}

#[test]
fn generated_schedules_repeat_and_shrink_to_what_matters() {
    let schedule = |seed| GeneratedSchedule::new(seed, GENERATOR).current();
    assert_eq!(schedule(7), schedule(7));
    assert_ne!(schedule(7), schedule(8));
    let is_freeze = |action: &Action| matches!(action, Action::Fault(Fault::Freeze { .. }));
    let seed = (0..100)
        .find(|seed| {
            let steps = schedule(*seed).steps;
            steps.len() > 4 && steps.iter().any(|step| is_freeze(&step.action))
        })
        .expect("some schedule holds a freeze");
    let smallest = GeneratedSchedule::new(seed, GENERATOR)
        .shrink(|schedule| schedule.steps.iter().any(|step| is_freeze(&step.action)));
    assert_eq!(smallest.steps.len(), GENERATOR.steps.0);
    assert!(smallest.steps.iter().any(|step| is_freeze(&step.action)));
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let results = |threads| {
        let mut results = run_all(&[&Exchange], 1..=20, RunSettings::default(), threads)
            .expect("threads can be started");
        for result in &mut results {
            result.elapsed = Duration::ZERO;
        }
        results
    };
    let alone = results(1);
    assert_eq!(alone, results(4));
    let failed: Vec<u64> = alone
        .iter()
        .filter(|result| !result.passed())
        .map(|result| result.seed)
        .collect();
    assert_eq!(failed, [13]);
    assert_eq!(
        alone[12].command(RunSettings::default()),
        "petrellatch-lab sim --scenario exchange --seeds 13..13"
    );
    assert_ne!(alone[0].report.trace, alone[1].report.trace);
}

fn network(seed: u64) -> Network {
    let mut network = Network::new(DELAYS, SiteIndex(9), stream(seed, "network"));
    network.place(FIRST, SiteIndex(0));
    network.place(SECOND, SiteIndex(1));
    network
}

/// Two machines that send datagrams to each other; seed 13 fails.
struct Exchange;

impl Scenario for Exchange {
    fn name(&self) -> &'static str {
        "exchange"
    }

    fn promise(&self) -> Promise {
        Promise::FailuresCombine
    }

    fn failure(&self) -> &'static str {
        "none"
    }

    fn run(&self, seed: u64, _settings: RunSettings) -> RunReport {
        let mut network = network(seed);
        let mut random: Random = stream(seed, "exchange");
        let mut queue = EventQueue::default();
        let mut trace = TraceHash::default();
        queue.schedule(VirtualTime::ZERO, (FIRST, SECOND));
        while let Some((from, to)) = queue.pop_until(VirtualTime::from_micros(100_000)) {
            trace.add(queue.now(), 0, u64::from(to.to_bits()), &[random.random()]);
            if let Some(delay) = network.send(to, from).first {
                queue.schedule(queue.now() + delay, (to, from));
            }
        }
        let violation = (seed == 13).then(|| Violation {
            checker: "test",
            detail: "seed 13".to_owned(),
        });
        RunReport {
            trace: trace.digest(),
            events: trace.events(),
            simulated: Duration::from_millis(100),
            violations: violation.into_iter().collect(),
            ..RunReport::default()
        }
    }
}
