//! Which balancers get packets.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::experiment::churn::ALL_BALANCERS;
use crate::experiment::deployment::FIRST_BALANCERS;
use crate::simulator::engine::random::{Random, stream};

/// The fabric notices the death of a balancer after this time; what it sends
/// there until then is lost.
pub const NOTICE_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct BalancerState {
    is_up: bool,
    is_stopping: bool,
    is_listed: bool,
}

/// Sends every packet to a random balancer of its list.
pub(super) struct Fabric {
    balancers: Vec<BalancerState>,
    random: Random,
}

impl Fabric {
    pub(super) fn new(seed: u64) -> Self {
        let mut balancers = vec![BalancerState::default(); ALL_BALANCERS];
        for balancer in &mut balancers[..FIRST_BALANCERS] {
            balancer.is_up = true;
        }
        Fabric {
            balancers,
            random: stream(seed, "fabric"),
        }
    }

    pub(super) fn is_up(&self, balancer: usize) -> bool {
        self.balancers[balancer].is_up
    }

    pub(super) fn start(&mut self, balancer: usize) {
        self.balancers[balancer].is_up = true;
    }

    /// A stopping balancer still passes on what comes to it.
    pub(super) fn begin_stop(&mut self, balancer: usize) {
        self.balancers[balancer].is_stopping = true;
    }

    pub(super) fn kill(&mut self, balancer: usize) {
        self.balancers[balancer].is_up = false;
    }

    pub(super) fn delist(&mut self, balancer: usize) {
        self.balancers[balancer].is_listed = false;
    }

    /// Takes over which balancers are ready.
    pub(super) fn refresh(&mut self, is_ready: impl Fn(usize) -> bool) {
        for (number, balancer) in self.balancers.iter_mut().enumerate() {
            if balancer.is_up {
                balancer.is_listed = !balancer.is_stopping && is_ready(number);
            }
        }
    }

    pub(super) fn pick(&mut self) -> Option<usize> {
        let balancers = self.balancers.iter().enumerate();
        let listed = balancers.filter(|(_, balancer)| balancer.is_listed);
        listed.map(|(number, _)| number).choose(&mut self.random)
    }
}
