//! Random orders of restarts, calls that come in time or late, returned packets and new
//! flows: no flow that lives is ever told as gone, which [`RestartWorld`] checks with each reset,
//! and those that died are told in the end.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::restart_world::{BackendIncarnation, RestartWorld};
use super::world::MILLI;

const RUNS: u64 = 300;
const STEPS: u32 = 60;
const PORTS: std::ops::Range<u16> = 1..40;

/// What happens in one run.
struct Run {
    lives: RestartWorld,
    random: ChaCha8Rng,
    former: Vec<BackendIncarnation>,
    /// Ports of flows that opened under the life of the agent, or were in its record.
    known: BTreeSet<u16>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut lives =
            RestartWorld::unregistered(random.random_bool(0.7), random.random_bool(0.3));
        lives.register();
        Run {
            lives,
            random,
            former: Vec::new(),
            known: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..8 => self.open(),
            8 => self.start_life(),
            9..12 => self.lives.register(),
            12..14 => self.late_call(),
            14 => self.request(),
            15 => self.end_unseen(),
            16 => self.restart_agent(),
            17 => self.lives.frozen = true,
            18 => self.lives.thaw(),
            _ => self.finish(),
        }
        let pause = self.random.random_range(0..300);
        self.lives.run(pause * MILLI);
    }

    fn open(&mut self) {
        let port = self.random.random_range(PORTS);
        if self.lives.callers.contains_key(&port) && self.random.random_bool(0.8) {
            return;
        }
        self.known.remove(&port);
        if self.lives.open(port) {
            self.known.insert(port);
        }
    }

    fn start_life(&mut self) {
        self.former.push(self.lives.incarnation());
        self.lives.restart_backend();
    }

    fn late_call(&mut self) {
        let former = self.former.last().cloned();
        if let Some(former) = former {
            self.lives.register_incarnation(&former);
        }
    }

    fn any_caller(&mut self) -> Option<u16> {
        let ports: Vec<u16> = self.lives.callers.keys().copied().collect();
        (!ports.is_empty()).then(|| ports[self.random.random_range(0..ports.len())])
    }

    fn request(&mut self) {
        if let Some(port) = self.any_caller() {
            self.lives.request(port);
        }
    }

    fn finish(&mut self) {
        if let Some(port) = self.any_caller() {
            self.lives.finish(port);
            self.known.remove(&port);
        }
    }

    /// The back end gives up one flow.
    fn end_unseen(&mut self) {
        if let Some(port) = self.any_caller()
            && let Some(life) = &mut self.lives.backend
        {
            life.flows.remove(&port);
        }
    }

    /// The agent starts again, with a record of the life that runs, or of the one before.
    fn restart_agent(&mut self) {
        let running = self.lives.incarnation();
        let before = self.former.last().filter(|_| self.random.random_bool(0.3));
        let life = before.cloned().unwrap_or(running);
        let mut record = self.lives.record(&life);
        if self.random.random_bool(0.5) {
            record.probe_packets.truncate(3);
        }
        self.lives.restart_agent();
        self.lives.recover(record);
        self.known.clear();
    }

    /// A new life begins, and calls until everything is settled. Flows that the agent
    /// knows, and that no other packet has shown to be gone, are told.
    fn end(&mut self) {
        self.lives.thaw();
        self.lives.run(Duration::from_secs(5));
        self.lives.register();
        self.lives.run(Duration::from_secs(5));
        self.start_life();
        for _ in 0..4 {
            self.lives.register();
            self.lives.run(Duration::from_secs(3));
        }
        let told: BTreeSet<u16> = self
            .lives
            .returned_packets
            .iter()
            .map(super::restart_world::caller_port)
            .collect();
        for port in self.known.iter().filter(|port| !told.contains(port)) {
            let flow = self.lives.callers.get(port);
            assert!(
                flow.is_none_or(|flow| flow.was_reset),
                "the flow of port {port} died and was not told"
            );
        }
    }
}

#[test]
fn no_flow_that_lives_is_told_and_those_that_died_are() {
    for seed in 0..RUNS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.end();
    }
}
