//! One scenario for each sentence of "What fails".

use std::time::Duration;

use rand::RngExt;

use super::fleet_scenario::{Breakage, FleetScenario};
use super::steps::{SPARE_BALANCER, at, parity, rough, seconds};
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
        name: "control-cut-off",
        promise: Promise::ControlIsCutOff,
        failure: "a control replica is cut off in silence, in one or both directions",
        plan: monitored,
        schedule: control_cut_off,
        disturbed_until: seconds(60),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(8),
    },
    FleetScenario {
        name: "operators-race",
        promise: Promise::OperatorsRaceAndResend,
        failure: "operators race with equal versions, and answers get lost",
        plan: lossy_answers,
        schedule: operators_race,
        disturbed_until: seconds(40),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(5),
    },
    FleetScenario {
        name: "second-loss-after-repair",
        promise: Promise::SecondLossAfterRepair,
        failure: "a control disk is lost, and another one right after the first was replaced",
        plan: small_logs,
        schedule: second_loss,
        disturbed_until: seconds(50),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(8),
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
        name: "planned-stop-of-the-leader",
        promise: Promise::PlannedStopCutsNothing,
        failure: "control replicas are stopped one after the other while changes come",
        plan: small_logs,
        schedule: leaders_stop,
        disturbed_until: seconds(45),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(6),
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

fn monitored() -> FleetPlan {
    FleetPlan {
        compacts_often: true,
        ..FleetPlan::small()
    }
}

fn small_logs() -> FleetPlan {
    FleetPlan {
        compacts_often: true,
        ..FleetPlan::small()
    }
}

fn lossy_answers() -> FleetPlan {
    FleetPlan {
        answer_loss_ppm: 300_000,
        ..FleetPlan::small()
    }
}

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

fn control_cut_off(random: &mut Random) -> Schedule {
    let direction = [
        CutDirection::Both,
        CutDirection::Inbound,
        CutDirection::Outbound,
    ][random.random_range(0..3)];
    let target = [Target::Leader, Target::Follower][random.random_range(0..2)];
    let mut schedule = Schedule::default();
    // Operators still reach a replica that is cut off from its peers only.
    schedule = if random.random_bool(0.5) {
        let cut_from = Fault::Cut {
            from: target,
            to: Target::AllControl,
            duration: at(random, 10, 35),
        };
        let cut_to = Fault::Cut {
            from: Target::AllControl,
            to: target,
            duration: at(random, 10, 35),
        };
        let time = at(random, 8, 15);
        schedule.fault(time, cut_from).fault(time, cut_to)
    } else {
        let isolate = Fault::Isolate {
            target,
            direction,
            duration: at(random, 10, 40),
        };
        schedule.fault(at(random, 8, 15), isolate)
    };
    for _ in 0..4 {
        let step = OperatorStep::Policy {
            service: random.random_range(0..2),
            eligible: parity(random),
        };
        schedule = schedule.operator(at(random, 8, 50), step);
    }
    schedule.operator(at(random, 8, 50), OperatorStep::Burst { changes: 10 })
}

fn operators_race(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for _ in 0..5 {
        let operators = random.random_range(2..6);
        schedule = schedule.operator(at(random, 8, 35), OperatorStep::Race { operators });
    }
    let kill = Fault::Kill {
        target: Target::Leader,
        down: at(random, 1, 5),
        disk: CrashOutcome::LosesUnsynced,
    };
    schedule
        .operator(at(random, 8, 35), OperatorStep::Burst { changes: 10 })
        .fault(at(random, 8, 35), kill)
}

fn second_loss(random: &mut Random) -> Schedule {
    let first = at(random, 8, 12);
    let lose = |target, down| Fault::Kill {
        target,
        down,
        disk: CrashOutcome::LosesEverything,
    };
    let number = random.random_range(0..3);
    let down = at(random, 1, 3);
    let second = first + down + at(random, 3, 8);
    let kill = Fault::Kill {
        target: Target::Leader,
        down: at(random, 1, 4),
        disk: CrashOutcome::LosesUnsynced,
    };
    Schedule::default()
        .operator(at(random, 8, 12), OperatorStep::Burst { changes: 20 })
        .fault(first, lose(Target::Control(number), down))
        .operator(first + down, OperatorStep::Race { operators: 2 })
        .fault(second, lose(Target::Control(number + 1), at(random, 1, 4)))
        .operator(second, OperatorStep::Race { operators: 2 })
        .fault(second + seconds(15), kill)
        .operator(second + seconds(15), OperatorStep::Burst { changes: 5 })
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

fn leaders_stop(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default().planned(
        at(random, 8, 20),
        PlannedWork::Join {
            target: SPARE_BALANCER,
        },
    );
    for _ in 0..3 {
        let target = [Target::Leader, Target::Follower][random.random_range(0..2)];
        let stop = PlannedWork::Stop {
            target,
            down: at(random, 1, 5),
        };
        let time = at(random, 8, 40);
        let race = OperatorStep::Race { operators: 2 };
        schedule = schedule.planned(time, stop).operator(time, race);
    }
    let step = OperatorStep::Policy {
        service: 0,
        eligible: parity(random),
    };
    schedule
        .operator(at(random, 8, 40), step)
        .operator(at(random, 8, 40), OperatorStep::Burst { changes: 20 })
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
