//! One scenario for each sentence of "What fails".

use std::time::Duration;

use rand::RngExt;

use super::fleet_scenario::{Breakage, FleetScenario};
use super::steps::{at, parity, rough, seconds, small_logs};
use crate::simulator::engine::disk::CrashOutcome;
use crate::simulator::engine::random::Random;
use crate::simulator::scenario::Promise;
use crate::simulator::schedule::{
    CutDirection, Fault, OperatorStep, PlannedWork, Schedule, Target,
};
use crate::simulator::world::FleetPlan;

/// The scenarios.
pub const SCENARIOS: &[FleetScenario] = &[
    FleetScenario {
        name: "balancers-die-and-join",
        promise: Promise::BalancersComeAndGo,
        failure: "balancers die, freeze and join",
        plan: FleetPlan::assessment_gateway,
        schedule: balancers_die,
        disturbed_until: seconds(40),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(5),
    },
    FleetScenario {
        name: "views-differ",
        promise: Promise::ViewsDifferForAWhile,
        failure: "balancers and agents are cut off from control while placements change",
        plan: FleetPlan::silver_protea,
        schedule: views_differ,
        disturbed_until: seconds(50),
        breakage: Breakage::OfFailedBackends,
        may_refuse: false,
        grace: seconds(12),
    },
    FleetScenario {
        name: "restart-after-many-changes",
        promise: Promise::RestartAfterManyChanges,
        failure: "balancers, agents and control replicas sleep through hundreds of changes",
        plan: small_logs,
        schedule: restart_after_changes,
        disturbed_until: seconds(60),
        breakage: Breakage::OfFailedBackends,
        may_refuse: false,
        grace: seconds(10),
    },
    FleetScenario {
        name: "platform-lies",
        promise: Promise::FailuresCombine,
        failure: "the platform's list lags and lies while agents die and clocks drift",
        plan: lying_platform,
        schedule: drift_and_death,
        disturbed_until: seconds(45),
        breakage: Breakage::OfFailedBackends,
        may_refuse: false,
        grace: seconds(10),
    },
];

fn lying_platform() -> FleetPlan {
    FleetPlan {
        platform_lies_ppm: 300_000,
        platform_lag: Duration::from_secs(8),
        ..FleetPlan::small()
    }
}

fn balancers_die(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for _ in 0..4 {
        let target = Target::Balancer(random.random_range(0..4));
        let kill = Fault::Kill {
            target,
            down: at(random, 1, 10),
            disk: CrashOutcome::LosesUnsynced,
        };
        schedule = schedule.fault(at(random, 8, 35), kill);
    }
    let target = Target::Balancer(random.random_range(0..4));
    let freeze = Fault::Freeze {
        target,
        duration: at(random, 1, 5),
    };
    let policy = OperatorStep::Policy {
        service: 0,
        eligible: parity(random),
    };
    schedule
        .fault(at(random, 8, 35), freeze)
        .planned(
            at(random, 8, 20),
            PlannedWork::Join {
                target: Target::Balancer(4),
            },
        )
        .operator(at(random, 8, 35), policy)
}

fn views_differ(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default().fault(at(random, 8, 20), rough(random));
    for _ in 0..3 {
        let to = match random.random_range(0..2) {
            0 => Target::Balancer(random.random_range(0..4)),
            _ => Target::Agent(random.random_range(0..11)),
        };
        let cut = Fault::Cut {
            from: Target::AllControl,
            to,
            duration: at(random, 2, 12),
        };
        schedule = schedule.fault(at(random, 8, 30), cut);
        let step = OperatorStep::Policy {
            service: random.random_range(0..2),
            eligible: parity(random),
        };
        schedule = schedule.operator(at(random, 8, 40), step);
        let step = OperatorStep::Drain {
            agent: random.random_range(0..11),
            draining: random.random_bool(0.7),
        };
        schedule = schedule.operator(at(random, 8, 40), step);
    }
    schedule
}

fn restart_after_changes(random: &mut Random) -> Schedule {
    let asleep = |target, down| Fault::Kill {
        target,
        down,
        disk: CrashOutcome::KeepsWrites,
    };
    let mut schedule = Schedule::default()
        .fault(
            seconds(9),
            asleep(
                Target::Balancer(random.random_range(0..3)),
                at(random, 15, 35),
            ),
        )
        .fault(
            seconds(9),
            asleep(Target::Agent(random.random_range(0..7)), at(random, 15, 35)),
        )
        .fault(seconds(9), asleep(Target::Follower, at(random, 15, 35)));
    for number in 0..15 {
        let time = seconds(10) + Duration::from_millis(500) * number;
        schedule = schedule.operator(time, OperatorStep::Burst { changes: 10 });
    }
    for _ in 0..4 {
        let step = OperatorStep::Policy {
            service: random.random_range(0..2),
            eligible: parity(random),
        };
        schedule = schedule.operator(at(random, 10, 45), step);
    }
    schedule
}

fn drift_and_death(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for _ in 0..3 {
        let target = match random.random_range(0..3) {
            0 => Target::Leader,
            1 => Target::Balancer(random.random_range(0..3)),
            _ => Target::Agent(random.random_range(0..7)),
        };
        let drift_ppm = random.random_range(-20_000..20_000);
        schedule = schedule.fault(at(random, 6, 20), Fault::Drift { target, drift_ppm });
        let agent = Target::Agent(random.random_range(0..7));
        let fault = match random.random_range(0..3) {
            0 => Fault::Kill {
                target: agent,
                down: at(random, 1, 12),
                disk: CrashOutcome::LosesUnsynced,
            },
            1 => Fault::Freeze {
                target: agent,
                duration: at(random, 1, 12),
            },
            _ => Fault::Isolate {
                target: agent,
                direction: CutDirection::Outbound,
                duration: at(random, 5, 12),
            },
        };
        schedule = schedule.fault(at(random, 8, 40), fault);
    }
    schedule
}
