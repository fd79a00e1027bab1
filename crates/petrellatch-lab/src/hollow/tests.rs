//! Tests of the plan of a fleet and of the times until in force.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_proto::command::EditKind;

use super::arrivals::{Arrival, SubmittedChange, in_force};
use super::fleet::FleetPlan;

fn plan(services: usize, backends: usize) -> FleetPlan {
    FleetPlan {
        balancers: 3,
        agents: 29,
        backends,
        services,
        policies: 4,
        zones: 2,
    }
}

#[test]
fn each_service_comes_before_its_backends_and_each_backend_once() {
    for (services, backends) in [(186, 444), (10, 10), (7, 100)] {
        let mut service = String::new();
        let mut names = Vec::new();
        for edit in plan(services, backends).configuration() {
            match edit {
                EditKind::PutService(record) => service = record.name,
                EditKind::PutBackend(edit) => {
                    assert_eq!(edit.service, service);
                    names.push(edit.backend.name);
                }
                _ => {}
            }
        }
        let expected = (0..backends).map(|index| format!("backend-{index}"));
        assert_eq!(names, expected.collect::<Vec<_>>());
    }
}

#[test]
fn agents_report_the_backends_that_name_them() {
    let plan = plan(40, 100);
    let agents = plan.agent_plans();
    let mut next = 0;
    for edit in plan.configuration() {
        if let EditKind::PutBackend(edit) = edit {
            next += 1;
            let named = agents.iter().find(|it| it.name == edit.backend.agent);
            assert!(named.expect("an agent").backends.contains(&next));
        }
    }
    let reported: usize = agents.iter().map(|it| it.backends.len()).sum();
    assert_eq!(reported, 100);
}

#[test]
fn a_step_over_several_versions_counts_for_each_change_in_it() {
    let at = Timestamp::from_millis;
    let change = |version, submitted| SubmittedChange {
        version,
        submitted_at: at(submitted),
        accepted_at: at(submitted + 5),
    };
    let changes = [change(3, 100), change(5, 200), change(9, 300)];
    let arrivals = [
        Arrival {
            from: 2,
            to: 5,
            at: at(250),
        },
        Arrival {
            from: 5,
            to: 8,
            at: at(400),
        },
    ];
    let figures = in_force(&changes, &arrivals);
    assert_eq!(figures.samples, 2);
    assert_eq!(
        Duration::from_millis(150).as_secs_f64() * 1_000.0,
        figures.max_ms
    );
    assert_eq!(figures.accepted_max_ms, 5.0);
}
