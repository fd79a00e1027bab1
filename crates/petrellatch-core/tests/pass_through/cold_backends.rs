//! What back ends get while they warm up.

use std::time::Duration;

use petrellatch_core::pass_through::Registration;
use petrellatch_proto::pass_through::{GroupStatus, PassThroughBody, ZoneStatus, ZoneStatuses};

use super::world::{MILLI, REPLICA, SERVICE, World, agent_address};

const SECOND: Duration = Duration::from_secs(1);
/// Requests in 1,000 s that a cold back end bears.
const COLD_RATE: u32 = 10_000;
/// 1.5 times ten and five more in any second.
const BOUND: usize = 20;
const CAPACITY: u32 = 1_000;

/// One agent, to which the balancer offers all flows.
fn world() -> World {
    let mut world = World::new(0, CAPACITY);
    world.warm_up_rate = COLD_RATE;
    world.start_agent(1);
    world.restart_balancer();
    world
}

fn call(world: &mut World, id: &str, call_number: u64, cold: Duration) {
    let call = Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence: call_number,
        slots: CAPACITY,
        draining: false,
        cold_for: cold,
        ..Registration::default()
    };
    world.send_registration(1, &call);
    world.run(5 * MILLI);
}

/// Offers a flow each few milliseconds; returns when the back end got them.
fn arrivals(world: &mut World, first_port: u16, span: Duration) -> Vec<Duration> {
    let start = world.now;
    let mut times = Vec::new();
    let mut port = first_port;
    while world.now < start + span {
        let before = world.backends[&agent_address(1)].received.len();
        world.open(port, 0);
        let after = world.backends[&agent_address(1)].received.len();
        let at = world.now.saturating_since(start);
        times.extend(std::iter::repeat_n(at, after - before));
        port += 1;
        world.step(4 * MILLI);
    }
    times
}

/// The most arrivals in any span of a second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let end = *first + SECOND;
        times
            .iter()
            .filter(|it| (*first..=end).contains(it))
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_back_end_that_warms_up_gets_no_more_than_the_bounds_in_any_second() {
    let mut world = world();
    call(&mut world, "one", 1, 4 * SECOND);
    let times = arrivals(&mut world, 1_000, 3 * SECOND);
    let most = most_in_a_second(&times);
    assert!(most <= BOUND, "{most} in a second");
    assert!(times.len() >= 40, "it gets what it bears: {}", times.len());
}

#[test]
fn a_refusal_says_how_many_agents_are_cold() {
    let mut world = world();
    call(&mut world, "one", 1, 4 * SECOND);
    arrivals(&mut world, 1_000, SECOND);
    let told = world.refusals.last().expect("more came than it bears");
    assert!(told.contains("agents=1 "), "{told}");
    assert!(told.ends_with(" cold=1"), "{told}");
}

#[test]
fn a_warm_back_end_is_not_bounded() {
    let mut world = world();
    call(&mut world, "one", 1, Duration::ZERO);
    let times = arrivals(&mut world, 1_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}

#[test]
fn an_agent_that_has_started_bounds_a_back_end_that_has_not_called() {
    let mut world = world();
    call(&mut world, "one", 1, 4 * SECOND);
    arrivals(&mut world, 1_000, SECOND);
    world.start_agent(1);
    world.send_backend_data(agent_address(1), 900);
    world.run(50 * MILLI);
    let times = arrivals(&mut world, 3_000, 3 * SECOND / 2);
    let most = most_in_a_second(&times);
    assert!((1..=BOUND).contains(&most), "{most} in a second");
}

#[test]
fn a_back_end_that_speaks_again_after_silence_is_bounded_until_it_calls() {
    let mut world = world();
    call(&mut world, "one", 1, Duration::ZERO);
    arrivals(&mut world, 1_000, SECOND / 10);
    // It is gone: opening packets get no answer.
    world.silent = vec![agent_address(1)];
    arrivals(&mut world, 2_000, SECOND);
    world.silent.clear();
    let times = arrivals(&mut world, 3_000, SECOND);
    let most = most_in_a_second(&times);
    assert!((1..=BOUND).contains(&most), "{most} in a second");
    call(&mut world, "two", 1, Duration::ZERO);
    let times = arrivals(&mut world, 5_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}

#[test]
fn back_ends_of_a_zone_that_is_back_are_bounded_until_they_call() {
    let mut world = world();
    call(&mut world, "one", 1, Duration::ZERO);
    for (index, evacuated) in [(5, true), (6, false)] {
        let record = ZoneStatus {
            zone: "a".to_owned(),
            evacuated,
            index,
            ..ZoneStatus::default()
        };
        let group = GroupStatus {
            has_leader: true,
            zones: Some(ZoneStatuses {
                index,
                zones: vec![record],
            }),
            ..GroupStatus::default()
        };
        let now = world.now;
        let agent = world.agents.get_mut(&agent_address(1)).expect("known");
        agent.handle_message(now, REPLICA, PassThroughBody::GroupStatus(group));
        world.run(5 * MILLI);
    }
    let times = arrivals(&mut world, 3_000, SECOND);
    let most = most_in_a_second(&times);
    assert!((1..=BOUND).contains(&most), "{most} in a second");
    call(&mut world, "one", 2, Duration::ZERO);
    let times = arrivals(&mut world, 5_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}
