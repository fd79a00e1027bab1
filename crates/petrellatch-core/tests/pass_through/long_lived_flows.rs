//! Load of flows that live long, at back ends of two speeds: 2,000 of them, whose
//! requests swing by 0.55, so that the back ends are busy by a half in the mean.

use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;

use super::world::{FIRST_OWN_PORT, MILLI, World, agent_address};

const SLOTS: u32 = 3;
const AGENTS: u8 = 8;
const FAST: f64 = 1.2;
const SLOW: f64 = 0.55;
/// Agents of the slow back ends are the first ones.
const SLOW_ONES: u8 = 2;
const WORK: Duration = Duration::from_millis(34);
/// Between two requests of a flow in the mean.
const PAUSE: Duration = Duration::from_secs(5);
const SWING: f64 = 0.55;
const SWING_PERIOD: f64 = 15.0;

/// A back end that works on as many requests at once as it has slots.
struct Desk {
    speed: f64,
    working: Vec<(Timestamp, u16)>,
    waiting: VecDeque<u16>,
}

struct Hall {
    world: World,
    desks: BTreeMap<SocketAddrV4, Desk>,
    /// Open flows, with their agents and when they ask next.
    flows: BTreeMap<u16, (SocketAddrV4, Timestamp)>,
    next_port: u16,
}

impl Hall {
    fn new() -> Hall {
        let speed = |index| if index <= SLOW_ONES { SLOW } else { FAST };
        let desk = |index| Desk {
            speed: speed(index),
            working: Vec::new(),
            waiting: VecDeque::new(),
        };
        Hall {
            world: World::new(AGENTS, SLOTS),
            desks: (1..=AGENTS)
                .map(|index| (agent_address(index), desk(index)))
                .collect(),
            flows: BTreeMap::new(),
            next_port: FIRST_OWN_PORT,
        }
    }

    /// Opens so many flows, one every 5 ms, while the open ones ask.
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
            self.ask();
            self.work();
        }
    }

    fn ask(&mut self) {
        let now = self.world.now;
        let turn = TAU * now.as_micros() as f64 / 1e6 / SWING_PERIOD;
        let pause = PAUSE.div_f64(1.0 + SWING * turn.sin());
        let mut due = Vec::new();
        for (port, (agent, at)) in &mut self.flows {
            if *at <= now {
                // Callers differ, and none of them waits for another one.
                let part = 0.5 + f64::from(port.wrapping_mul(40_503) >> 6) / 1_024.0;
                *at = now + pause.mul_f64(part);
                due.push((*port, *agent));
            }
        }
        for (port, agent) in due {
            let desk = self.desks.get_mut(&agent).expect("known");
            let has_it = |it: &(Timestamp, u16)| it.1 == port;
            if !desk.working.iter().any(has_it) && !desk.waiting.contains(&port) {
                desk.waiting.push_back(port);
                self.world.request(port, agent);
            }
        }
    }

    fn work(&mut self) {
        let now = self.world.now;
        for (agent, desk) in &mut self.desks {
            let done = desk.working.extract_if(.., |(at, _)| *at <= now);
            for (_, port) in done.collect::<Vec<_>>() {
                self.world.send_backend_data(*agent, port);
            }
            while desk.working.len() < SLOTS as usize {
                let Some(port) = desk.waiting.pop_front() else {
                    break;
                };
                desk.working.push((now + WORK.div_f64(desk.speed), port));
            }
        }
    }

    fn flows_at(&self, index: u8) -> usize {
        let agent = agent_address(index);
        self.flows.values().filter(|(it, _)| *it == agent).count()
    }

    /// The back end beside an agent starts again, without any flow.
    fn lose(&mut self, index: u8) {
        let agent = agent_address(index);
        let desk = self.desks.get_mut(&agent).expect("known");
        desk.working.clear();
        desk.waiting.clear();
        self.flows.retain(|_, (it, _)| *it != agent);
        self.world.backends.insert(agent, Default::default());
        self.world.restart_agent(index, SLOTS);
    }
}

fn assert_near(found: usize, expected: f64, part: f64, what: &str) {
    let found = found as f64;
    let distance = (found - expected).abs() / expected;
    assert!(distance <= part, "{what}: {found}, not {expected:.0}");
}

#[test]
fn long_flows_are_shared_out_by_speed() {
    let mut hall = Hall::new();
    hall.open(2_000);
    let flows = hall.flows.len() as f64;
    assert!(flows > 1_990.0, "{flows} of 2000 flows are open");
    let speeds = f64::from(SLOW_ONES) * SLOW + f64::from(AGENTS - SLOW_ONES) * FAST;
    let counts: Vec<usize> = (1..=AGENTS).map(|index| hall.flows_at(index)).collect();
    println!("{counts:?}");
    let slow: usize = counts[..usize::from(SLOW_ONES)].iter().sum();
    let expected = flows * f64::from(SLOW_ONES) * SLOW / speeds;
    assert_near(slow, expected, 0.1, "flows of the slow back ends");
    for count in &counts[usize::from(SLOW_ONES)..] {
        assert_near(*count, flows * FAST / speeds, 0.1, "flows of a fast one");
    }
}

#[test]
fn a_back_end_that_turns_five_times_slower_gets_a_fifth_of_its_share() {
    let mut hall = Hall::new();
    hall.open(1_000);
    let changed = 5;
    hall.desks
        .get_mut(&agent_address(changed))
        .expect("known")
        .speed = FAST / 5.0;
    hall.open(100);
    let before = hall.flows_at(changed);
    hall.open(400);
    let more = hall.flows_at(changed) - before;
    println!("{before} {more}");
    // It has more than its share already, so nearly none may come.
    assert!(more <= 10, "{more} of 400 new flows came");
}

#[test]
fn a_back_end_that_returns_empty_is_filled_without_a_herd() {
    let mut hall = Hall::new();
    hall.open(1_200);
    let returned = 5;
    hall.lose(returned);
    let mut most_waiting = 0;
    for _ in 0..300 {
        hall.open(1);
        let desk = &hall.desks[&agent_address(returned)];
        most_waiting = most_waiting.max(desk.waiting.len());
    }
    let other = hall.flows_at(6);
    let found = hall.flows_at(returned);
    println!("{found} {other} {most_waiting}");
    assert!(
        found > other / 2,
        "{found} flows, and {other} at another one"
    );
    assert!(
        found < other * 11 / 10,
        "{found} flows, and {other} at another one"
    );
    assert!(
        most_waiting <= SLOTS as usize,
        "{most_waiting} requests waited"
    );
}
