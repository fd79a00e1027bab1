//! One scenario for each point of "What must always hold".

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
        name: "request-is-served",
        promise: Promise::AnswersAreWholeAndOwn,
        failure: "nothing fails",
        plan: FleetPlan::small,
        schedule: |_| Schedule::default(),
        disturbed_until: seconds(8),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(4),
    },
    FleetScenario {
        name: "open-flows-survive",
        promise: Promise::OpenFlowsSurvivePlannedChanges,
        failure: "balancers join and stop while back ends drain and policies change",
        plan: long_flows,
        schedule: planned_changes,
        disturbed_until: seconds(45),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(4),
    },
    FleetScenario {
        name: "own-service",
        promise: Promise::FlowsReachTheirOwnService,
        failure: "addresses get other nodes, agents restart, packets come late and twice",
        plan: FleetPlan::small,
        schedule: reused_addresses,
        disturbed_until: seconds(40),
        breakage: Breakage::OfFailedBackends,
        may_refuse: false,
        grace: seconds(10),
    },
    FleetScenario {
        name: "whole-own-answers",
        promise: Promise::AnswersAreWholeAndOwn,
        failure: "packets are lost, doubled, late and out of order",
        plan: FleetPlan::small,
        schedule: rough_network,
        disturbed_until: seconds(40),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(10),
    },
    FleetScenario {
        name: "not-run-did-not-run",
        promise: Promise::NotRunDidNotRun,
        failure: "server processes die under load",
        plan: busy,
        schedule: dying_servers,
        disturbed_until: seconds(40),
        breakage: Breakage::OfFailedBackends,
        may_refuse: true,
        grace: seconds(10),
    },
    FleetScenario {
        name: "at-most-once",
        promise: Promise::UnrepeatableRunsAtMostOnce,
        failure: "agents are cut off, frozen and killed while packets come twice",
        plan: FleetPlan::small,
        schedule: lost_agents,
        disturbed_until: seconds(50),
        breakage: Breakage::OfFailedBackends,
        may_refuse: false,
        grace: seconds(10),
    },
    FleetScenario {
        name: "leaving-gets-no-work",
        promise: Promise::LeavingBackendGetsNoNewWork,
        failure: "back ends drain while updates arrive late",
        plan: FleetPlan::small,
        schedule: drains,
        disturbed_until: seconds(45),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(5),
    },
    FleetScenario {
        name: "planned-stop-cuts-nothing",
        promise: Promise::PlannedStopCutsNothing,
        failure: "balancers and agents are stopped and start again",
        plan: long_flows,
        schedule: planned_stops,
        disturbed_until: seconds(60),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(5),
    },
    FleetScenario {
        name: "accepted-stays-in-force",
        promise: Promise::AcceptedChangesStayInForce,
        failure: "control replicas die and restart while policies change",
        plan: lossy_answers,
        schedule: changes_while_control_fails,
        disturbed_until: seconds(50),
        breakage: Breakage::Never,
        may_refuse: false,
        grace: seconds(6),
    },
];

fn long_flows() -> FleetPlan {
    let mut plan = FleetPlan::small();
    for service in &mut plan.services {
        service.load.long_percent = 40;
    }
    plan
}

/// More requests than slots, so that many are passed on or refused.
fn busy() -> FleetPlan {
    let mut plan = FleetPlan::small();
    plan.times.typical = Duration::from_millis(150);
    for service in &mut plan.services {
        service.slots = 2;
        service.load.long_percent = 0;
        service.load.requests_per_second *= 2.0;
    }
    plan
}

fn lossy_answers() -> FleetPlan {
    FleetPlan {
        answer_loss_ppm: 200_000,
        compacts_often: true,
        ..FleetPlan::small()
    }
}

fn planned_changes(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default()
        .planned(
            at(random, 8, 20),
            PlannedWork::Join {
                target: SPARE_BALANCER,
            },
        )
        .planned(
            at(random, 10, 30),
            PlannedWork::Stop {
                target: Target::Balancer(random.random_range(0..3)),
                down: seconds(5),
            },
        );
    for _ in 0..4 {
        let agent = random.random_range(0..7);
        let draining = random.random_bool(0.7);
        let step = OperatorStep::Drain { agent, draining };
        schedule = schedule.operator(at(random, 8, 40), step);
        let service = random.random_range(0..2);
        let eligible = parity(random);
        let step = OperatorStep::Policy { service, eligible };
        schedule = schedule.operator(at(random, 8, 40), step);
    }
    schedule
}

fn reused_addresses(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default().fault(at(random, 8, 12), rough(random));
    for _ in 0..2 {
        let target = Target::Agent(random.random_range(0..7));
        let down = at(random, 1, 4);
        let kill = Fault::Kill {
            target,
            down,
            disk: CrashOutcome::LosesUnsynced,
        };
        schedule = schedule.fault(at(random, 8, 35), kill);
    }
    let target = Target::Agent(random.random_range(0..4));
    let after = at(random, 0, 3);
    schedule.fault(at(random, 10, 30), Fault::ReuseAddress { target, after })
}

fn rough_network(random: &mut Random) -> Schedule {
    let policy = OperatorStep::Policy {
        service: 0,
        eligible: parity(random),
    };
    let drain = OperatorStep::Drain {
        agent: random.random_range(0..7),
        draining: true,
    };
    Schedule::default()
        .fault(at(random, 6, 12), rough(random))
        .operator(at(random, 12, 30), policy)
        .operator(at(random, 12, 30), drain)
}

fn dying_servers(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for _ in 0..6 {
        let agent = random.random_range(0..7);
        let down = Duration::from_millis(random.random_range(100..4_000));
        schedule = schedule.fault(at(random, 8, 38), Fault::KillServer { agent, down });
    }
    schedule
}

fn lost_agents(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default().fault(at(random, 8, 20), rough(random));
    for _ in 0..2 {
        let target = Target::Agent(random.random_range(0..7));
        let duration = at(random, 4, 20);
        let direction = [
            CutDirection::Both,
            CutDirection::Inbound,
            CutDirection::Outbound,
        ][random.random_range(0..3)];
        let isolate = Fault::Isolate {
            target,
            direction,
            duration,
        };
        schedule = schedule.fault(at(random, 8, 25), isolate);
    }
    let target = Target::Agent(random.random_range(0..7));
    let freeze = Fault::Freeze {
        target,
        duration: at(random, 2, 15),
    };
    let target = Target::Agent(random.random_range(0..7));
    let kill = Fault::Kill {
        target,
        down: at(random, 1, 10),
        disk: CrashOutcome::LosesUnsynced,
    };
    schedule
        .fault(at(random, 8, 30), freeze)
        .fault(at(random, 8, 40), kill)
}

fn drains(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default().fault(at(random, 8, 20), rough(random));
    for _ in 0..4 {
        let agent = random.random_range(0..7);
        let drain = OperatorStep::Drain {
            agent,
            draining: true,
        };
        let begin = at(random, 8, 25);
        let end = begin + at(random, 5, 15);
        let undrain = OperatorStep::Drain {
            agent,
            draining: false,
        };
        schedule = schedule.operator(begin, drain).operator(end, undrain);
    }
    schedule
}

fn planned_stops(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for number in 0..2 {
        let target = Target::Balancer(random.random_range(0..3));
        let down = at(random, 1, 5);
        let stop = PlannedWork::Stop { target, down };
        schedule = schedule.planned(at(random, 8, 30) + seconds(10) * number, stop);
        let target = Target::Agent(random.random_range(0..7));
        let down = at(random, 1, 5);
        let stop = PlannedWork::Stop { target, down };
        schedule = schedule.planned(at(random, 8, 30), stop);
    }
    schedule
}

fn changes_while_control_fails(random: &mut Random) -> Schedule {
    let mut schedule = Schedule::default();
    for _ in 0..3 {
        let target = [Target::Leader, Target::Follower][random.random_range(0..2)];
        let disk =
            [CrashOutcome::KeepsWrites, CrashOutcome::LosesUnsynced][random.random_range(0..2)];
        let kill = Fault::Kill {
            target,
            down: at(random, 1, 6),
            disk,
        };
        schedule = schedule.fault(at(random, 8, 45), kill);
    }
    for _ in 0..5 {
        let service = random.random_range(0..2);
        let eligible = parity(random);
        let step = OperatorStep::Policy { service, eligible };
        schedule = schedule.operator(at(random, 8, 45), step);
    }
    let race = OperatorStep::Race { operators: 4 };
    schedule
        .operator(at(random, 8, 45), race)
        .operator(at(random, 8, 40), OperatorStep::Burst { changes: 20 })
}
