//! Flows of several priorities ask an agent for more than its back end can do.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_proto::pass_through::{
    DeclineReason, Declined, ForwardReason, PassThroughBody, pack_address,
};

use super::queueing::{LoadedAgent, SLOTS};
use super::world::MILLI;

const URGENT: u32 = 1;
const LESS_URGENT: u32 = 4;
const OBJECTIVE_MILLIS: u32 = 250;
/// Callers of such a deadline can't wait for a place: they are queued or declined.
const IMPATIENT_MILLIS: u32 = 100;
/// Three slots that work for so long do 100 requests a second.
const WORK: Duration = Duration::from_millis(30);
const CAPACITY: u32 = 100;

/// What became of the flows of one priority, in milliseconds.
#[derive(Default)]
struct Outcome {
    taken_at: Vec<u64>,
    refused_at: Vec<u64>,
}

/// An agent whose back end has answered requests, the last ones a while ago.
fn rested_desk() -> LoadedAgent {
    let mut desk = LoadedAgent::new(WORK);
    desk.now = desk.now + Duration::from_secs(1);
    desk.offer_template.deadline_millis = IMPATIENT_MILLIS;
    desk
}

/// Offers flows of some priorities, at so many a second each, for ten seconds.
fn offer(rates: &[(u32, u32)]) -> BTreeMap<u32, Outcome> {
    let mut desk = rested_desk();
    desk.offer_template.deadline_millis = 0;
    let mut priorities: BTreeMap<u64, u32> = BTreeMap::new();
    let mut outcomes: BTreeMap<u32, Outcome> = BTreeMap::new();
    let mut inside: VecDeque<SocketAddrV4> = VecDeque::new();
    let mut working: VecDeque<(u64, SocketAddrV4)> = VecDeque::new();
    let mut random = 7_u64;
    for millis in 0..10_000 {
        while working.front().is_some_and(|(ends, _)| *ends <= millis) {
            let (_, flow) = working.pop_front().expect("seen");
            desk.respond(flow);
        }
        for (priority, rate) in rates {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            if (random >> 33) % 1_000 >= u64::from(*rate) {
                continue;
            }
            desk.offer_template.priority = *priority;
            let taken = desk.request(OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
            priorities.insert(pack_address(desk.latest_caller()), *priority);
            inside.extend(taken);
            let taken = taken.map(|_| millis);
            outcomes
                .entry(*priority)
                .or_default()
                .taken_at
                .extend(taken);
        }
        if desk.agent.poll_timeout() <= desk.now {
            desk.agent.handle_timeout(desk.now);
        }
        for flow in desk.take_dequeued() {
            let priority = priorities[&pack_address(flow)];
            outcomes.entry(priority).or_default().taken_at.push(millis);
            inside.push_back(flow);
        }
        for body in desk.replies.drain(..) {
            if let PassThroughBody::Declined(declined) = body {
                let priority = priorities[&declined.flow.caller];
                outcomes
                    .entry(priority)
                    .or_default()
                    .refused_at
                    .push(millis);
            }
        }
        while working.len() < SLOTS as usize
            && let Some(flow) = inside.pop_front()
        {
            working.push_back((millis + WORK.as_millis() as u64, flow));
        }
        desk.now = desk.now + MILLI;
    }
    outcomes
}

/// The urgent class comes at twice its ordinary load, the other one at four times what
/// the back end can do.
#[test]
fn the_urgent_find_a_place_beside_a_flood_of_less_urgent_ones() {
    let outcomes = offer(&[(URGENT, CAPACITY * 6 / 10), (LESS_URGENT, CAPACITY * 4)]);
    let (urgent, other) = (&outcomes[&URGENT], &outcomes[&LESS_URGENT]);
    let asked = urgent.taken_at.len() + urgent.refused_at.len();
    let share = urgent.taken_at.len() as f64 / asked as f64;
    assert!(share >= 0.97, "{share:.3} of {asked} urgent ones taken");
    let all = urgent.taken_at.len() + other.taken_at.len();
    assert!(all >= 980, "{all} of 1,000 possible ones taken");
    for refused in &urgent.refused_at {
        let inverted = |taken: &&u64| taken.abs_diff(*refused) <= 100;
        let inverted = other.taken_at.iter().find(inverted);
        assert_eq!(inverted, None, "an urgent one was refused at {refused} ms");
    }
}

#[test]
fn the_less_urgent_do_not_starve_beside_a_flood_of_urgent_ones() {
    let outcomes = offer(&[(URGENT, CAPACITY * 2), (LESS_URGENT, CAPACITY * 4)]);
    let taken = outcomes[&LESS_URGENT].taken_at.len();
    assert!((50..=100).contains(&taken), "{taken} of 1,000 places");
}

#[test]
fn priorities_that_come_alone_have_the_whole_queue() {
    for priority in [0, URGENT, LESS_URGENT] {
        let mut desk = rested_desk();
        desk.offer_template.priority = priority;
        assert_eq!(desk.fill(OBJECTIVE_MILLIS), SLOTS * 4);
    }
}

/// The foretold turns of the declined flows, in microseconds.
fn turns(desk: &mut LoadedAgent) -> Vec<u32> {
    desk.agent.poll_output();
    let told = desk.replies.drain(..).filter_map(|body| match body {
        PassThroughBody::Declined(declined) => Some(declined),
        _ => None,
    });
    let full = |declined: &Declined| declined.reason() == DeclineReason::Full;
    told.filter(full)
        .map(|declined| declined.expected_wait_micros)
        .collect()
}

#[test]
fn a_refusal_foretells_the_turn_of_each_balancer_that_asks() {
    let mut desk = rested_desk();
    desk.fill(OBJECTIVE_MILLIS);
    assert_eq!(turns(&mut desk), [10_000], "one place each 10 ms");
    for last in 1..=4 {
        desk.balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 2, last), 7000);
        desk.request(OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
    }
    let grown = turns(&mut desk);
    assert_eq!(grown, [20_000, 30_000, 40_000, 50_000]);
    desk.now = desk.now + Duration::from_secs(1);
    desk.request(OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
    assert_eq!(turns(&mut desk), [10_000], "the others ask no more");
}

#[test]
fn no_turn_is_foretold_without_known_times() {
    let mut desk = LoadedAgent::without_responses();
    desk.offer_template.deadline_millis = IMPATIENT_MILLIS;
    desk.fill(OBJECTIVE_MILLIS);
    assert_eq!(turns(&mut desk), [0]);
}
