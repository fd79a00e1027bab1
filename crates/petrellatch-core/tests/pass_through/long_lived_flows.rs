//! Distribution of long-lived flows over back ends of two speeds: 2,000 flows whose request
//! rate oscillates by 55 % of its mean, so that the back ends are half busy on average.

use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;

use super::world::{FIRST_OWN_PORT, MILLI, World, agent_address};

const SLOTS: u32 = 3;
const AGENTS: u8 = 8;
/// Speeds of the back ends, as factors on the request rate that a slot processes.
const FAST: f64 = 1.2;
const SLOW: f64 = 0.55;
/// Number of slow back ends, which are those of the first agents.
const SLOW_BACKENDS: u8 = 2;
/// Processing time of a request at speed 1.
const PROCESSING_TIME: Duration = Duration::from_millis(34);
/// Mean interval between requests of a flow.
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Amplitude of the request rate's oscillation, as a fraction of its mean.
const OSCILLATION: f64 = 0.55;
/// Period of the oscillation in seconds.
const OSCILLATION_PERIOD: f64 = 15.0;

/// A back end that processes as many requests at once as it has slots.
struct Backend {
    speed: f64,
    in_progress: Vec<(Timestamp, u16)>,
    queued: VecDeque<u16>,
}

struct LoadedWorld {
    world: World,
    backends: BTreeMap<SocketAddrV4, Backend>,
    /// Open flows by port, with their agents and the times of their next requests.
    flows: BTreeMap<u16, (SocketAddrV4, Timestamp)>,
    next_port: u16,
}

impl LoadedWorld {
    fn new() -> LoadedWorld {
        let speed = |index| if index <= SLOW_BACKENDS { SLOW } else { FAST };
        let backend = |index| Backend {
            speed: speed(index),
            in_progress: Vec::new(),
            queued: VecDeque::new(),
        };
        LoadedWorld {
            world: World::new(AGENTS, SLOTS),
            backends: (1..=AGENTS)
                .map(|index| (agent_address(index), backend(index)))
                .collect(),
            flows: BTreeMap::new(),
            next_port: FIRST_OWN_PORT,
        }
    }

    /// Opens flows, one every 5 ms, while the open ones send requests.
    fn open(&mut self, flows: u16) {
        for _ in 0..flows {
            let port = self.next_port;
            self.next_port += 1;
            self.world.callers.clear();
            self.world.open(port, 0);
            if let Some(agent) = self.world.accepted_by(port) {
                self.flows.insert(port, (agent, self.world.now));
            }
            self.run(5);
        }
    }

    fn run(&mut self, millis: u32) {
        for _ in 0..millis {
            self.world.step(MILLI);
            self.send_requests();
            self.process();
        }
    }

    fn send_requests(&mut self) {
        let now = self.world.now;
        let phase = TAU * now.as_micros() as f64 / 1e6 / OSCILLATION_PERIOD;
        let interval = REQUEST_INTERVAL.div_f64(1.0 + OSCILLATION * phase.sin());
        let mut due = Vec::new();
        for (port, (agent, at)) in &mut self.flows {
            if *at <= now {
                // Callers have different intervals, and send independently of each other.
                let factor = 0.5 + f64::from(port.wrapping_mul(40_503) >> 6) / 1_024.0;
                *at = now + interval.mul_f64(factor);
                due.push((*port, *agent));
            }
        }
        for (port, agent) in due {
            let backend = self.backends.get_mut(&agent).expect("known");
            let is_of_flow = |it: &(Timestamp, u16)| it.1 == port;
            if !backend.in_progress.iter().any(is_of_flow) && !backend.queued.contains(&port) {
                backend.queued.push_back(port);
                self.world.request(port, agent);
            }
        }
    }

    fn process(&mut self) {
        let now = self.world.now;
        for (agent, backend) in &mut self.backends {
            let done = backend.in_progress.extract_if(.., |(at, _)| *at <= now);
            for (_, port) in done.collect::<Vec<_>>() {
                self.world.send_backend_data(*agent, port);
            }
            while backend.in_progress.len() < SLOTS as usize {
                let Some(port) = backend.queued.pop_front() else {
                    break;
                };
                backend
                    .in_progress
                    .push((now + PROCESSING_TIME.div_f64(backend.speed), port));
            }
        }
    }

    fn flows_at(&self, index: u8) -> usize {
        let agent = agent_address(index);
        self.flows.values().filter(|(it, _)| *it == agent).count()
    }

    /// An agent's back end restarts, without any flow.
    fn restart_backend(&mut self, index: u8) {
        let agent = agent_address(index);
        let backend = self.backends.get_mut(&agent).expect("known");
        backend.in_progress.clear();
        backend.queued.clear();
        self.flows.retain(|_, (it, _)| *it != agent);
        self.world.backends.insert(agent, Default::default());
        self.world.restart_agent(index, SLOTS);
    }
}

fn assert_near(found: usize, expected: f64, tolerance: f64, what: &str) {
    let found = found as f64;
    let distance = (found - expected).abs() / expected;
    assert!(distance <= tolerance, "{what}: {found}, not {expected:.0}");
}

#[test]
fn long_flows_are_distributed_by_speed() {
    let mut loaded = LoadedWorld::new();
    loaded.open(2_000);
    let flows = loaded.flows.len() as f64;
    assert!(flows > 1_990.0, "{flows} of 2000 flows are open");
    let speeds = f64::from(SLOW_BACKENDS) * SLOW + f64::from(AGENTS - SLOW_BACKENDS) * FAST;
    let counts: Vec<usize> = (1..=AGENTS).map(|index| loaded.flows_at(index)).collect();
    println!("{counts:?}");
    let slow: usize = counts[..usize::from(SLOW_BACKENDS)].iter().sum();
    let expected = flows * f64::from(SLOW_BACKENDS) * SLOW / speeds;
    assert_near(slow, expected, 0.1, "flows of the slow back ends");
    for count in &counts[usize::from(SLOW_BACKENDS)..] {
        assert_near(
            *count,
            flows * FAST / speeds,
            0.1,
            "flows of a fast back end",
        );
    }
}

#[test]
fn a_back_end_that_becomes_five_times_slower_gets_hardly_any_new_flows() {
    let mut loaded = LoadedWorld::new();
    loaded.open(1_000);
    let slowed = 5;
    loaded
        .backends
        .get_mut(&agent_address(slowed))
        .expect("known")
        .speed = FAST / 5.0;
    loaded.open(100);
    let before = loaded.flows_at(slowed);
    loaded.open(400);
    let more = loaded.flows_at(slowed) - before;
    println!("{before} {more}");
    // The back end has more than its share already, so it may get hardly any.
    assert!(more <= 10, "{more} of 400 new flows came");
}

#[test]
fn a_restarted_back_end_is_filled_without_a_burst() {
    let mut loaded = LoadedWorld::new();
    loaded.open(1_200);
    let restarted = 5;
    loaded.restart_backend(restarted);
    let mut max_queued = 0;
    for _ in 0..300 {
        loaded.open(1);
        let backend = &loaded.backends[&agent_address(restarted)];
        max_queued = max_queued.max(backend.queued.len());
    }
    let other = loaded.flows_at(6);
    let found = loaded.flows_at(restarted);
    println!("{found} {other} {max_queued}");
    assert!(
        found > other / 2,
        "{found} flows, and {other} at another back end"
    );
    assert!(
        found < other * 11 / 10,
        "{found} flows, and {other} at another back end"
    );
    assert!(
        max_queued <= SLOTS as usize,
        "{max_queued} requests were queued"
    );
}
