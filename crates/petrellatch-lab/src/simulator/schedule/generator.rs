//! Random schedules of faults, and how a failing one is made smaller.
//!
//! The schedules come from `proptest` strategies, which also shrink them.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::action::{
    Action, CutDirection, Fault, OperatorStep, Parity, PlannedWork, Schedule, Step, Target,
};
use crate::simulator::engine::disk::CrashOutcome;
use crate::simulator::engine::network::Disturbance;

/// Upper bound of how many smaller schedules are tried.
const MAX_SHRINK_RUNS: usize = 200;

/// Which faults a generated schedule may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratorSettings {
    /// The first and last time of a step, in seconds.
    pub seconds: (u64, u64),
    /// The least and greatest number of steps.
    pub steps: (usize, usize),
    /// Whether whole disks of control replicas may be lost. At most one
    /// schedule step loses one.
    pub disks_may_be_lost: bool,
    /// Whether machines of agents may die. Their flows die with them.
    pub agents_may_die: bool,
}

/// A schedule that was generated, together with its smaller variants.
pub struct GeneratedSchedule {
    tree: Box<dyn ValueTree<Value = Schedule>>,
}

impl GeneratedSchedule {
    /// Generates the schedule of a seed.
    pub fn new(seed: u64, settings: GeneratorSettings) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(Config::default(), random);
        let tree = schedules(settings)
            .new_tree(&mut runner)
            .expect("the strategies reject nothing");
        GeneratedSchedule {
            tree: Box::new(tree),
        }
    }

    /// Returns the schedule.
    pub fn current(&self) -> Schedule {
        self.tree.current()
    }

    /// Looks for a smaller schedule that still fails, and returns the smallest
    /// one that was found.
    pub fn shrink(mut self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut smallest = self.tree.current();
        for _ in 0..MAX_SHRINK_RUNS {
            let last_failed = self.tree.current() == smallest;
            let moved = if last_failed {
                self.tree.simplify()
            } else {
                self.tree.complicate()
            };
            if !moved {
                break;
            }
            let candidate = self.tree.current();
            if fails(&candidate) {
                smallest = candidate;
            }
        }
        smallest
    }
}

fn schedules(settings: GeneratorSettings) -> impl Strategy<Value = Schedule> + 'static {
    let (first, last) = settings.seconds;
    let step = (first * 1_000..=last * 1_000, actions(settings));
    let step = step.prop_map(|(millis, action)| Step {
        at: Duration::from_millis(millis),
        action,
    });
    let (least, greatest) = settings.steps;
    vec(step, least..=greatest).prop_map(move |steps| Schedule {
        steps: keep_quorum_of_disks(steps),
    })
}

/// Two disks of three lost at once lose accepted changes by necessity, so only
/// the first loss of a schedule stays.
fn keep_quorum_of_disks(steps: Vec<Step>) -> Vec<Step> {
    let mut lost = false;
    let mut kept = Vec::with_capacity(steps.len());
    for mut step in steps {
        if let Action::Fault(Fault::Kill { disk, .. }) = &mut step.action
            && *disk == CrashOutcome::LosesEverything
        {
            if lost {
                *disk = CrashOutcome::LosesUnsynced;
            }
            lost = true;
        }
        kept.push(step);
    }
    kept
}

fn actions(settings: GeneratorSettings) -> impl Strategy<Value = Action> + 'static {
    prop_oneof![
        4 => faults(settings).prop_map(Action::Fault),
        1 => planned_work().prop_map(Action::Planned),
        2 => operator_steps().prop_map(Action::Operator),
    ]
}

fn faults(settings: GeneratorSettings) -> impl Strategy<Value = Fault> + 'static {
    let kill = (victims(settings), seconds(1, 15), disks(settings));
    let kill = kill.prop_map(|(target, down, disk)| Fault::Kill { target, down, disk });
    let freeze = (any_machine(), seconds(1, 20));
    let freeze = freeze.prop_map(|(target, duration)| Fault::Freeze { target, duration });
    let isolate = (any_machine(), directions(), seconds(1, 25));
    let isolate = isolate.prop_map(|(target, direction, duration)| Fault::Isolate {
        target,
        direction,
        duration,
    });
    let cut = (any_machine(), any_machine(), seconds(1, 25));
    let cut = cut.prop_map(|(from, to, duration)| Fault::Cut { from, to, duration });
    let disturb = (disturbances(), seconds(2, 20));
    let disturb = disturb.prop_map(|(disturbance, duration)| Fault::Disturb {
        disturbance,
        duration,
    });
    let drift = (any_machine(), -5_000..=5_000);
    let drift = drift.prop_map(|(target, drift_ppm)| Fault::Drift { target, drift_ppm });
    prop_oneof![
        3 => kill,
        2 => freeze,
        3 => isolate,
        2 => cut,
        2 => disturb,
        1 => drift,
    ]
}

fn victims(settings: GeneratorSettings) -> impl Strategy<Value = Target> + 'static {
    let agent_or_balancer = move |number| {
        if settings.agents_may_die {
            Target::Agent(number)
        } else {
            Target::Balancer(number)
        }
    };
    prop_oneof![
        Just(Target::Leader),
        (0..3_usize).prop_map(Target::Control),
        (0..4_usize).prop_map(Target::Balancer),
        (0..10_usize).prop_map(agent_or_balancer),
    ]
}

fn any_machine() -> impl Strategy<Value = Target> + 'static {
    prop_oneof![
        Just(Target::Leader),
        (0..3_usize).prop_map(Target::Control),
        (0..4_usize).prop_map(Target::Balancer),
        (0..10_usize).prop_map(Target::Agent),
    ]
}

fn disks(settings: GeneratorSettings) -> impl Strategy<Value = CrashOutcome> + 'static {
    let worst = if settings.disks_may_be_lost {
        CrashOutcome::LosesEverything
    } else {
        CrashOutcome::LosesUnsynced
    };
    prop_oneof![
        Just(CrashOutcome::KeepsWrites),
        Just(CrashOutcome::LosesUnsynced),
        Just(worst),
    ]
}

fn directions() -> impl Strategy<Value = CutDirection> + 'static {
    prop_oneof![
        Just(CutDirection::Both),
        Just(CutDirection::Inbound),
        Just(CutDirection::Outbound),
    ]
}

fn disturbances() -> impl Strategy<Value = Disturbance> + 'static {
    let parts = (0..50_000_u32, 0..50_000_u32, 0..100_000_u32, 0..2_000_u64);
    parts.prop_map(
        |(loss_ppm, duplicate_ppm, late_ppm, late_millis)| Disturbance {
            loss_ppm,
            duplicate_ppm,
            late_ppm,
            late_by: Duration::from_millis(late_millis),
        },
    )
}

fn planned_work() -> impl Strategy<Value = PlannedWork> + 'static {
    let stop = ((0..4_usize).prop_map(Target::Balancer), seconds(1, 10));
    stop.prop_map(|(target, down)| PlannedWork::Stop { target, down })
}

fn operator_steps() -> impl Strategy<Value = OperatorStep> + 'static {
    let drain = (0..10_usize, any::<bool>());
    let drain = drain.prop_map(|(agent, draining)| OperatorStep::Drain { agent, draining });
    let policy = (0..2_usize, parities());
    let policy = policy.prop_map(|(service, eligible)| OperatorStep::Policy { service, eligible });
    let race = (2..4_usize).prop_map(|operators| OperatorStep::Race { operators });
    let burst = (1..40_usize).prop_map(|changes| OperatorStep::Burst { changes });
    prop_oneof![drain, policy, race, burst]
}

fn parities() -> impl Strategy<Value = Parity> + 'static {
    prop_oneof![Just(Parity::All), Just(Parity::Even), Just(Parity::Odd)]
}

fn seconds(least: u64, greatest: u64) -> impl Strategy<Value = Duration> + 'static {
    (least * 1_000..=greatest * 1_000).prop_map(Duration::from_millis)
}
