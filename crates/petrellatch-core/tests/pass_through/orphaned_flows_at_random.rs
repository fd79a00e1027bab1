//! Random sequences of restarts, timely and late registrations, returned packets and new
//! flows: no flow that a back end owns is ever reset as orphaned, which [`RestartWorld`]
//! checks with each reset, and all orphaned flows are reset in the end.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::restart_world::{BackendIncarnation, RestartWorld};
use super::world::MILLI;

const RUNS: u64 = 300;
const STEPS: u32 = 60;
const PORTS: std::ops::Range<u16> = 1..40;

/// State of one run.
struct Run {
    world: RestartWorld,
    random: ChaCha8Rng,
    previous: Vec<BackendIncarnation>,
    /// Ports of flows that were opened since the agent started, or were in its record.
    known_ports: BTreeSet<u16>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut world =
            RestartWorld::unregistered(random.random_bool(0.7), random.random_bool(0.3));
        world.register();
        Run {
            world,
            random,
            previous: Vec::new(),
            known_ports: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..8 => self.open(),
            8 => self.restart_backend(),
            9..12 => self.world.register(),
            12..14 => self.late_registration(),
            14 => self.request(),
            15 => self.close_unseen(),
            16 => self.restart_agent(),
            17 => self.world.paused = true,
            18 => self.world.resume(),
            _ => self.finish(),
        }
        let pause = self.random.random_range(0..300);
        self.world.run(pause * MILLI);
    }

    fn open(&mut self) {
        let port = self.random.random_range(PORTS);
        if self.world.callers.contains_key(&port) && self.random.random_bool(0.8) {
            return;
        }
        self.known_ports.remove(&port);
        if self.world.open(port) {
            self.known_ports.insert(port);
        }
    }

    fn restart_backend(&mut self) {
        self.previous.push(self.world.incarnation());
        self.world.restart_backend();
    }

    fn late_registration(&mut self) {
        let previous = self.previous.last().cloned();
        if let Some(previous) = previous {
            self.world.register_incarnation(&previous);
        }
    }

    fn any_caller(&mut self) -> Option<u16> {
        let ports: Vec<u16> = self.world.callers.keys().copied().collect();
        (!ports.is_empty()).then(|| ports[self.random.random_range(0..ports.len())])
    }

    fn request(&mut self) {
        if let Some(port) = self.any_caller() {
            self.world.request(port);
        }
    }

    fn finish(&mut self) {
        if let Some(port) = self.any_caller() {
            self.world.finish(port);
            self.known_ports.remove(&port);
        }
    }

    /// The back end drops the state of one flow without a packet.
    fn close_unseen(&mut self) {
        if let Some(port) = self.any_caller()
            && let Some(backend) = &mut self.world.backend
        {
            backend.flows.remove(&port);
        }
    }

    /// Restarts the agent with a record of the current incarnation of the back end, or of the
    /// previous one.
    fn restart_agent(&mut self) {
        let running = self.world.incarnation();
        let older = self
            .previous
            .last()
            .filter(|_| self.random.random_bool(0.3));
        let recorded = older.cloned().unwrap_or(running);
        let mut record = self.world.record(&recorded);
        if self.random.random_bool(0.5) {
            record.probe_packets.truncate(3);
        }
        self.world.restart_agent();
        self.world.recover(record);
        self.known_ports.clear();
    }

    /// Starts a new incarnation, which registers until everything has settled. Flows that the
    /// agent knows, and that no other packet has shown to be orphaned, are reset.
    fn settle(&mut self) {
        self.world.resume();
        self.world.run(Duration::from_secs(5));
        self.world.register();
        self.world.run(Duration::from_secs(5));
        self.restart_backend();
        for _ in 0..4 {
            self.world.register();
            self.world.run(Duration::from_secs(3));
        }
        let returned: BTreeSet<u16> = self
            .world
            .returned_packets
            .iter()
            .map(super::restart_world::caller_port)
            .collect();
        for port in self
            .known_ports
            .iter()
            .filter(|port| !returned.contains(port))
        {
            let flow = self.world.callers.get(port);
            assert!(
                flow.is_none_or(|flow| flow.was_reset),
                "the orphaned flow of port {port} was not reset"
            );
        }
    }
}

#[test]
fn owned_flows_are_never_reset_and_orphaned_ones_always_are() {
    for seed in 0..RUNS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
        }
        run.settle();
    }
}
