//! Rate limit of new flows for back ends that warm up.

use std::time::Duration;

use petrellatch_core::pass_through::Registration;
use petrellatch_proto::pass_through::{GroupStatus, PassThroughBody, ZoneStatus, ZoneStatuses};

use super::world::{MILLI, REPLICA, SERVICE, World, agent_address};

const SECOND: Duration = Duration::from_secs(1);
/// Warm-up rate of the service, in requests per 1,000 s.
const WARM_UP_RATE: u32 = 10_000;
/// Maximum arrivals in any second: 1.5 times the rate of ten, plus five.
const BOUND: usize = 20;
const SLOTS: u32 = 1_000;

/// One agent, to which the balancer offers all flows.
fn world() -> World {
    let mut world = World::new(0, SLOTS);
    world.warm_up_rate = WARM_UP_RATE;
    world.start_agent(1);
    world.restart_balancer();
    world
}

fn register(world: &mut World, id: &str, sequence: u64, cold_for: Duration) {
    let registration = Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence,
        slots: SLOTS,
        draining: false,
        cold_for,
        ..Registration::default()
    };
    world.send_registration(1, &registration);
    world.run(5 * MILLI);
}

/// Offers a flow every 4 ms. Returns when the back end got each of those that were admitted.
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

/// Maximum number of arrivals within any second.
fn max_in_a_second(times: &[Duration]) -> usize {
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
fn a_back_end_that_warms_up_stays_within_the_bounds_in_any_second() {
    let mut world = world();
    register(&mut world, "one", 1, 4 * SECOND);
    let times = arrivals(&mut world, 1_000, 3 * SECOND);
    let max = max_in_a_second(&times);
    assert!(max <= BOUND, "{max} in a second");
    assert!(
        times.len() >= 40,
        "too few flows were admitted: {}",
        times.len()
    );
}

#[test]
fn a_refusal_event_counts_the_cold_agents() {
    let mut world = world();
    register(&mut world, "one", 1, 4 * SECOND);
    arrivals(&mut world, 1_000, SECOND);
    let refusal = world.refusals.last().expect("some flows exceed the limit");
    assert!(refusal.contains("agents=1 "), "{refusal}");
    assert!(refusal.ends_with(" cold=1"), "{refusal}");
}

#[test]
fn a_warm_back_end_is_not_limited() {
    let mut world = world();
    register(&mut world, "one", 1, Duration::ZERO);
    let times = arrivals(&mut world, 1_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}

#[test]
fn a_restarted_agent_limits_a_back_end_that_has_not_registered() {
    let mut world = world();
    register(&mut world, "one", 1, 4 * SECOND);
    arrivals(&mut world, 1_000, SECOND);
    world.start_agent(1);
    world.send_backend_data(agent_address(1), 900);
    world.run(50 * MILLI);
    let times = arrivals(&mut world, 3_000, 3 * SECOND / 2);
    let max = max_in_a_second(&times);
    assert!((1..=BOUND).contains(&max), "{max} in a second");
}

#[test]
fn a_back_end_that_sends_packets_after_a_silence_is_limited_until_it_registers() {
    let mut world = world();
    register(&mut world, "one", 1, Duration::ZERO);
    arrivals(&mut world, 1_000, SECOND / 10);
    // The back end has ended: SYNs get no answer.
    world.silent = vec![agent_address(1)];
    arrivals(&mut world, 2_000, SECOND);
    world.silent.clear();
    let times = arrivals(&mut world, 3_000, SECOND);
    let max = max_in_a_second(&times);
    assert!((1..=BOUND).contains(&max), "{max} in a second");
    register(&mut world, "two", 1, Duration::ZERO);
    let times = arrivals(&mut world, 5_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}

#[test]
fn back_ends_of_a_restored_zone_are_limited_until_they_register() {
    let mut world = world();
    register(&mut world, "one", 1, Duration::ZERO);
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
    let max = max_in_a_second(&times);
    assert!((1..=BOUND).contains(&max), "{max} in a second");
    register(&mut world, "one", 2, Duration::ZERO);
    let times = arrivals(&mut world, 5_000, SECOND);
    assert!(times.len() > 200, "{}", times.len());
}

// Guards against a second burst of new flows at a cold back end whose agent restarts quickly
// (FAILBACK): the bounds hold for what the back end gets, whichever incarnation admits it.
#[test]
fn a_quick_restart_of_the_agent_does_not_double_the_flows_of_a_cold_back_end() {
    let mut world = world();
    register(&mut world, "one", 1, 4 * SECOND);
    let mut times = arrivals(&mut world, 1_000, SECOND / 2);
    world.start_agent(1);
    register(&mut world, "one", 2, 4 * SECOND);
    let restarted_at = SECOND / 2;
    let after = arrivals(&mut world, 3_000, SECOND / 2);
    times.extend(after.iter().map(|at| *at + restarted_at));
    let max = max_in_a_second(&times);
    assert!(max <= BOUND, "{max} in a second");
}
