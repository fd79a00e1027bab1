//! What happens to the system during a run.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::simulator::engine::VirtualTime;
use crate::simulator::engine::random::{Random, stream};

use super::deployment::{Deployment, FIRST_BALANCERS};

/// One thing that happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChurnAction {
    /// A balancer joins.
    BalancerJoins(usize),
    /// A balancer stops as planned.
    BalancerStops(usize),
    /// A balancer dies.
    BalancerDies(usize),
    /// Nothing from the control group reaches a balancer for a while.
    BalancerLags(usize, Duration),
    /// The operator drains a back end.
    DrainBegins(usize),
    /// The operator ends the drain.
    DrainEnds(usize),
    /// A back end dies with its machine.
    BackendDies(usize),
    /// It comes back, cold.
    BackendReturns(usize),
    /// A back end's own process crashes; its machine stays.
    ServerCrashes(usize),
    /// That process starts again, cold.
    ServerRestarts(usize),
    /// The back ends of one zone get this share of their weight, in thousandths.
    PolicyChanges {
        /// The zone.
        zone: usize,
        /// The share in thousandths.
        weight: u32,
    },
    /// Nothing passes between the control group and a back end's machine for a
    /// while.
    BackendCutOff(usize, Duration),
    /// A back end accepts no connections for a while.
    BackendSheds(usize, Duration),
    /// A back end's load endpoint says for a while that it is idle.
    BackendLies(usize, Duration),
}

/// The kind of an action, to count flows that break by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The back end that served the flow died or crashed.
    OwnBackendDied,
    /// Nothing had happened yet.
    NoChange,
    /// A balancer joined.
    BalancerJoin,
    /// A balancer stopped as planned.
    BalancerStop,
    /// A balancer died.
    BalancerDeath,
    /// A balancer lagged.
    BalancerLag,
    /// A drain began or ended.
    Drain,
    /// Another back end died or crashed.
    OtherBackendDied,
    /// A back end came back.
    BackendReturn,
    /// The policy changed.
    Policy,
    /// A back end's machine was cut off from the control group.
    CutOff,
    /// A back end shed load.
    Shedding,
    /// A back end's load endpoint misled.
    Lie,
}

impl Cause {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Cause::OwnBackendDied => "own back end died",
            Cause::NoChange => "no change",
            Cause::BalancerJoin => "balancer join",
            Cause::BalancerStop => "balancer stop",
            Cause::BalancerDeath => "balancer death",
            Cause::BalancerLag => "balancer lag",
            Cause::Drain => "drain",
            Cause::OtherBackendDied => "other back end died",
            Cause::BackendReturn => "back end return",
            Cause::Policy => "policy change",
            Cause::CutOff => "control cut off",
            Cause::Shedding => "shedding",
            Cause::Lie => "lying load",
        }
    }

    /// Returns whether no machine failed, so that no flow may break.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Cause::NoChange
                | Cause::BalancerJoin
                | Cause::BalancerStop
                | Cause::Drain
                | Cause::BackendReturn
                | Cause::Policy
        )
    }
}

impl ChurnAction {
    /// Returns the kind.
    pub fn cause(&self) -> Cause {
        match self {
            ChurnAction::BalancerJoins(_) => Cause::BalancerJoin,
            ChurnAction::BalancerStops(_) => Cause::BalancerStop,
            ChurnAction::BalancerDies(_) => Cause::BalancerDeath,
            ChurnAction::BalancerLags(..) => Cause::BalancerLag,
            ChurnAction::DrainBegins(_) | ChurnAction::DrainEnds(_) => Cause::Drain,
            ChurnAction::BackendDies(_) => Cause::OtherBackendDied,
            ChurnAction::ServerCrashes(_) => Cause::OtherBackendDied,
            ChurnAction::BackendReturns(_) | ChurnAction::ServerRestarts(_) => Cause::BackendReturn,
            ChurnAction::PolicyChanges { .. } => Cause::Policy,
            ChurnAction::BackendCutOff(..) => Cause::CutOff,
            ChurnAction::BackendSheds(..) => Cause::Shedding,
            ChurnAction::BackendLies(..) => Cause::Lie,
        }
    }
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChurnEvent {
    /// When it happens.
    pub at: VirtualTime,
    /// What happens.
    pub action: ChurnAction,
}

/// Balancers that exist during a run at most.
pub const ALL_BALANCERS: usize = FIRST_BALANCERS + 2;

/// Draws the schedule of a seed. Every kind of action occurs, drains and
/// policy changes overlap with joins and deaths, and every back end that goes
/// comes back.
pub fn schedule(deployment: &Deployment, seed: u64, start: VirtualTime) -> Vec<ChurnEvent> {
    let mut draft = Draft {
        start,
        random: stream(seed, "churn"),
        events: Vec::new(),
    };
    let victims = draft.victims(deployment);
    let zones = deployment.zones.len();
    let (last, first_new) = (FIRST_BALANCERS - 1, FIRST_BALANCERS);
    draft.add(5, ChurnAction::BalancerJoins(first_new));
    draft.add(8, ChurnAction::DrainBegins(victims[0]));
    draft.policy(13, zones, 800);
    draft.add(20, ChurnAction::BalancerDies(0));
    draft.add(24, ChurnAction::DrainEnds(victims[0]));
    draft.lag(28, 1, 6);
    draft.policy(29, zones, 1_000);
    draft.add(36, ChurnAction::DrainBegins(victims[1]));
    draft.add(38, ChurnAction::BalancerStops(last));
    draft.add(42, ChurnAction::BalancerJoins(first_new + 1));
    draft.policy(46, zones, 900);
    draft.add(50, ChurnAction::BackendDies(victims[2]));
    draft.add(58, ChurnAction::DrainEnds(victims[1]));
    draft.add(64, ChurnAction::BackendReturns(victims[2]));
    draft.add(67, ChurnAction::ServerCrashes(victims[0]));
    draft.add(72, ChurnAction::ServerRestarts(victims[0]));
    draft.for_seconds(75, 4, |it| ChurnAction::BackendSheds(victims[3], it));
    draft.for_seconds(78, 15, |it| ChurnAction::BackendLies(victims[4], it));
    draft.for_seconds(82, 14, |it| ChurnAction::BackendCutOff(victims[3], it));
    draft.lag(88, 2, 8);
    draft.policy(90, zones, 1_000);
    draft.finish()
}

struct Draft {
    start: VirtualTime,
    random: Random,
    events: Vec<ChurnEvent>,
}

impl Draft {
    /// Draws the back ends that something happens to, two of each service
    /// where it has enough.
    fn victims(&mut self, deployment: &Deployment) -> Vec<usize> {
        const VICTIMS: usize = 5;
        let count = deployment.backends().len();
        let all: Vec<usize> = (0..count).collect();
        all.sample(&mut self.random, VICTIMS).copied().collect()
    }

    /// Adds an action within one second of `second`.
    fn add(&mut self, second: u64, action: ChurnAction) {
        let jitter = Duration::from_micros(self.random.random_range(0..1_000_000));
        let at = self.start + Duration::from_secs(second) + jitter;
        self.events.push(ChurnEvent { at, action });
    }

    fn policy(&mut self, second: u64, zones: usize, weight: u32) {
        let zone = self.random.random_range(0..zones);
        self.add(second, ChurnAction::PolicyChanges { zone, weight });
    }

    fn lag(&mut self, second: u64, balancer: usize, seconds: u64) {
        let duration = Duration::from_secs(seconds);
        self.add(second, ChurnAction::BalancerLags(balancer, duration));
    }

    fn for_seconds(&mut self, second: u64, seconds: u64, make: impl Fn(Duration) -> ChurnAction) {
        self.add(second, make(Duration::from_secs(seconds)));
    }

    fn finish(mut self) -> Vec<ChurnEvent> {
        self.events.sort_by_key(|event| event.at);
        self.events
    }
}
