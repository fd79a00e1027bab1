//! Flows of several priorities at an agent whose back end is overloaded.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_proto::pass_through::{
    DeclineReason, Declined, ForwardReason, PassThroughBody, pack_address,
};

use super::queue_limits::{LoadedAgent, SLOTS};
use super::world::MILLI;

const HIGH_PRIORITY: u32 = 1;
const LOW_PRIORITY: u32 = 4;
const LATENCY_OBJECTIVE_MILLIS: u32 = 250;
/// A deadline that is too short for the admission queue: a flow goes to the back end's queue
/// at once or is declined.
const SHORT_DEADLINE_MILLIS: u32 = 100;
/// Processing time of a request. Three slots process 100 requests per second with it.
const PROCESSING_TIME: Duration = Duration::from_millis(30);
/// Requests per second.
const CAPACITY: u32 = 100;

/// When flows of one priority were accepted and declined, in milliseconds.
#[derive(Default)]
struct Outcome {
    accepted_at: Vec<u64>,
    declined_at: Vec<u64>,
}

/// An agent whose back end's processing time is known, after an idle second.
fn idle_agent() -> LoadedAgent {
    let mut loaded_agent = LoadedAgent::new(PROCESSING_TIME);
    loaded_agent.now = loaded_agent.now + Duration::from_secs(1);
    loaded_agent.offer_template.deadline_millis = SHORT_DEADLINE_MILLIS;
    loaded_agent
}

/// Offers flows for ten seconds. `rates` has priorities with their flows per second.
fn offer(rates: &[(u32, u32)]) -> BTreeMap<u32, Outcome> {
    let mut loaded_agent = idle_agent();
    loaded_agent.offer_template.deadline_millis = 0;
    let mut priorities: BTreeMap<u64, u32> = BTreeMap::new();
    let mut outcomes: BTreeMap<u32, Outcome> = BTreeMap::new();
    let mut accepted_flows: VecDeque<SocketAddrV4> = VecDeque::new();
    let mut in_progress: VecDeque<(u64, SocketAddrV4)> = VecDeque::new();
    let mut random = 7_u64;
    for millis in 0..10_000 {
        while in_progress
            .front()
            .is_some_and(|(ends_at, _)| *ends_at <= millis)
        {
            let (_, flow) = in_progress.pop_front().expect("a request in progress");
            loaded_agent.respond(flow);
        }
        for (priority, rate) in rates {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            if (random >> 33) % 1_000 >= u64::from(*rate) {
                continue;
            }
            loaded_agent.offer_template.priority = *priority;
            let accepted =
                loaded_agent.request(LATENCY_OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
            priorities.insert(pack_address(loaded_agent.latest_caller()), *priority);
            accepted_flows.extend(accepted);
            let accepted = accepted.map(|_| millis);
            outcomes
                .entry(*priority)
                .or_default()
                .accepted_at
                .extend(accepted);
        }
        if loaded_agent.agent.poll_timeout() <= loaded_agent.now {
            loaded_agent.agent.handle_timeout(loaded_agent.now);
        }
        for flow in loaded_agent.take_dequeued() {
            let priority = priorities[&pack_address(flow)];
            outcomes
                .entry(priority)
                .or_default()
                .accepted_at
                .push(millis);
            accepted_flows.push_back(flow);
        }
        for body in loaded_agent.replies.drain(..) {
            if let PassThroughBody::Declined(declined) = body {
                let priority = priorities[&declined.flow.caller];
                outcomes
                    .entry(priority)
                    .or_default()
                    .declined_at
                    .push(millis);
            }
        }
        while in_progress.len() < SLOTS as usize
            && let Some(flow) = accepted_flows.pop_front()
        {
            in_progress.push_back((millis + PROCESSING_TIME.as_millis() as u64, flow));
        }
        loaded_agent.now = loaded_agent.now + MILLI;
    }
    outcomes
}

/// High-priority flows arrive at 60 % of the capacity, which is twice their normal load, and
/// low-priority ones at four times the capacity.
#[test]
fn high_priority_flows_are_accepted_beside_excessive_low_priority_ones() {
    let outcomes = offer(&[
        (HIGH_PRIORITY, CAPACITY * 6 / 10),
        (LOW_PRIORITY, CAPACITY * 4),
    ]);
    let (high, low) = (&outcomes[&HIGH_PRIORITY], &outcomes[&LOW_PRIORITY]);
    let offered = high.accepted_at.len() + high.declined_at.len();
    let fraction = high.accepted_at.len() as f64 / offered as f64;
    assert!(
        fraction >= 0.97,
        "{fraction:.3} of {offered} high-priority flows accepted"
    );
    let all = high.accepted_at.len() + low.accepted_at.len();
    assert!(all >= 980, "{all} of 1,000 possible flows accepted");
    for declined in &high.declined_at {
        let is_inverted = |accepted: &&u64| accepted.abs_diff(*declined) <= 100;
        let inversion = low.accepted_at.iter().find(is_inverted);
        assert_eq!(
            inversion, None,
            "a high-priority flow was declined at {declined} ms"
        );
    }
}

#[test]
fn low_priority_flows_do_not_starve_beside_excessive_high_priority_ones() {
    let outcomes = offer(&[(HIGH_PRIORITY, CAPACITY * 2), (LOW_PRIORITY, CAPACITY * 4)]);
    let accepted = outcomes[&LOW_PRIORITY].accepted_at.len();
    assert!((50..=100).contains(&accepted), "{accepted} of 1,000 slots");
}

#[test]
fn a_single_priority_may_use_the_whole_queue() {
    for priority in [0, HIGH_PRIORITY, LOW_PRIORITY] {
        let mut loaded_agent = idle_agent();
        loaded_agent.offer_template.priority = priority;
        assert_eq!(loaded_agent.fill(LATENCY_OBJECTIVE_MILLIS), SLOTS * 4);
    }
}

/// The expected waits in the agent's declines for lack of capacity, in microseconds.
fn expected_waits(loaded_agent: &mut LoadedAgent) -> Vec<u32> {
    loaded_agent.agent.poll_output();
    let declines = loaded_agent
        .replies
        .drain(..)
        .filter_map(|body| match body {
            PassThroughBody::Declined(declined) => Some(declined),
            _ => None,
        });
    let is_full = |declined: &Declined| declined.reason() == DeclineReason::Full;
    declines
        .filter(is_full)
        .map(|declined| declined.expected_wait_micros)
        .collect()
}

#[test]
fn a_decline_reports_the_expected_wait_of_its_balancer() {
    let mut loaded_agent = idle_agent();
    loaded_agent.fill(LATENCY_OBJECTIVE_MILLIS);
    assert_eq!(
        expected_waits(&mut loaded_agent),
        [10_000],
        "one free slot every 10 ms"
    );
    for last in 1..=4 {
        loaded_agent.balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, last), 7000);
        loaded_agent.request(LATENCY_OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
    }
    let longer_waits = expected_waits(&mut loaded_agent);
    assert_eq!(longer_waits, [20_000, 30_000, 40_000, 50_000]);
    loaded_agent.now = loaded_agent.now + Duration::from_secs(1);
    loaded_agent.request(LATENCY_OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
    assert_eq!(
        expected_waits(&mut loaded_agent),
        [10_000],
        "the other balancers no longer compete"
    );
}

#[test]
fn no_expected_wait_is_reported_without_known_processing_times() {
    let mut loaded_agent = LoadedAgent::without_responses();
    loaded_agent.offer_template.deadline_millis = SHORT_DEADLINE_MILLIS;
    loaded_agent.fill(LATENCY_OBJECTIVE_MILLIS);
    assert_eq!(expected_waits(&mut loaded_agent), [0]);
}
