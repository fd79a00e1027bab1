//! Scenarios in which control replicas and operators fail.

use std::time::Duration;

use rand::RngExt;

use super::fleet_scenario::{Breakage, FleetScenario};
use super::steps::{SPARE_BALANCER, at, parity, seconds, small_logs};
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
        name: "control-cut-off",
        promise: Promise::ControlIsCutOff,
        failure: "a control replica is cut off in silence, in one or both directions",
        plan: small_logs,
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
        name: "lost-disk-does-not-vote",
        promise: Promise::SecondLossAfterRepair,
        failure: "a disk is lost while another replica is cut off, and the leader dies then",
        plan: FleetPlan::small,
        schedule: lost_disk_and_dead_leader,
        disturbed_until: seconds(35),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(15),
    },
    FleetScenario {
        name: "control-flaps",
        promise: Promise::ControlIsCutOff,
        failure: "control replicas restart again and again while ways between them are cut",
        plan: FleetPlan::small,
        schedule: control_flaps,
        disturbed_until: seconds(35),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(25),
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
];

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

fn lost_disk_and_dead_leader(random: &mut Random) -> Schedule {
    let start = at(random, 8, 10);
    let lost = start + seconds(2);
    let down = Duration::from_millis(random.random_range(50..400));
    let died = lost + down + Duration::from_millis(random.random_range(100..2_000));
    let isolate = Fault::Isolate {
        target: Target::OtherFollower,
        direction: CutDirection::Both,
        duration: died - start + Duration::from_millis(random.random_range(0..500)),
    };
    let lose = Fault::Kill {
        target: Target::Follower,
        down,
        disk: CrashOutcome::LosesEverything,
    };
    let kill = Fault::Kill {
        target: Target::Leader,
        down: at(random, 4, 8),
        disk: CrashOutcome::KeepsWrites,
    };
    let race = OperatorStep::Race { operators: 2 };
    Schedule::default()
        .fault(start, isolate)
        .operator(start + Duration::from_millis(500), race.clone())
        .operator(start + seconds(1), race.clone())
        .fault(lost, lose)
        .fault(died, kill)
        .operator(died + seconds(2), race)
}

fn control_flaps(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for number in 0..40 {
        let time = seconds(8) + Duration::from_millis(500) * number;
        let time = time + Duration::from_millis(random.random_range(0..500));
        let kill = Fault::Kill {
            target: Target::Control(random.random_range(0..3)),
            down: Duration::from_millis(random.random_range(5..300)),
            disk: CrashOutcome::LosesUnsynced,
        };
        let from = random.random_range(0..3);
        let cut = Fault::Cut {
            from: Target::Control(from),
            to: Target::Control(from + 1),
            duration: Duration::from_millis(random.random_range(100..2_000)),
        };
        schedule = schedule.fault(time, kill).fault(time, cut);
    }
    schedule
        .operator(at(random, 8, 25), OperatorStep::Race { operators: 3 })
        .operator(at(random, 8, 25), OperatorStep::Burst { changes: 5 })
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

fn lossy_answers() -> FleetPlan {
    FleetPlan {
        answer_loss_ppm: 300_000,
        ..FleetPlan::small()
    }
}
