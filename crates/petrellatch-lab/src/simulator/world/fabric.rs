//! The fabric: it sprays packets of callers over the balancers.

use rand::RngExt;

use super::event::MachineIndex;
use crate::simulator::engine::random::Random;

/// Which balancers get packets. It learns only now and then who is ready.
#[derive(Debug)]
pub struct Fabric {
    ready: Vec<MachineIndex>,
    random: Random,
}

impl Fabric {
    /// Makes a fabric that knows no balancer.
    pub fn new(random: Random) -> Self {
        Fabric {
            ready: Vec::new(),
            random,
        }
    }

    /// Takes the balancers that answered its probes.
    pub fn set_ready(&mut self, ready: Vec<MachineIndex>) {
        self.ready = ready;
    }

    /// Returns the balancer for one packet, whatever its flow.
    pub fn pick(&mut self) -> Option<MachineIndex> {
        if self.ready.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.ready.len());
        Some(self.ready[index])
    }
}
