//! Callers press a service beyond its capacity, through balancers with links of
//! 3.7 Mbit/s: what is refused must not cost what could be served.

use std::sync::OnceLock;

use super::fleet::Fleet;

/// Seconds of ordinary load before, of pressure, and of ordinary load after.
const BEFORE: u64 = 1;
const OVERLOADED: u64 = 3;
const AFTER: u64 = 3;
/// What callers ask for at ordinary times, of the capacity.
const NORMAL_LOAD: f64 = 0.6;
/// Of what back ends can do, so much is to be served while pressed.
const MIN_SERVED: f64 = 0.9;

/// Messages for a refused flow that the balancers' links bear beside the ordinary load,
/// in the mean of all loads.
const MAX_MESSAGES: f64 = 0.1;

/// What came of one load.
struct OverloadResult {
    load_factor: f64,
    /// Served of what could be, while pressed.
    served: f64,
    /// Served of what was asked, from a second later on.
    after: f64,
    refused: f64,
    /// Questions and answers for refused flows, while pressed.
    messages: f64,
}

/// Callers ask for `times` the capacity.
fn run_overload(balancers: usize, agents: u16, load_factor: f64) -> OverloadResult {
    let mut fleet = Fleet::new(balancers, agents);
    let capacity = fleet.max_request_rate();
    let both = |share: f64| [capacity * share * 0.3, capacity * share * 0.7];
    fleet.run(both(NORMAL_LOAD), BEFORE);
    fleet.run(both(load_factor), OVERLOADED);
    fleet.run(both(NORMAL_LOAD), AFTER);
    let overload = fleet.sum(1..4);
    let after = fleet.sum(5..6);
    let total = |counts: [u32; 2]| f64::from(counts[0] + counts[1]);
    let possible = (capacity * OVERLOADED as f64).min(total(overload.requests));
    let result = OverloadResult {
        load_factor,
        served: total(overload.served) / possible,
        after: total(after.served) / total(after.requests),
        refused: f64::from(overload.refused),
        messages: 2.0 * f64::from(overload.offers),
    };
    println!(
        "{balancers} balancers, {agents} agents, {load_factor} times the capacity: served {:.3}, \
         after {:.3}, {} messages for {} refused flows, {} suspected",
        result.served, result.after, result.messages, result.refused, overload.suspected
    );
    result
}

/// Balancers, agents, and the loads that callers press them with.
type Case = (usize, u16, &'static [f64]);

/// Twelve agents, with a few balancers.
const SMALL: Case = (4, 12, &[1.0, 1.5, 2.0, 4.0]);
/// 51 agents.
const MEDIUM: Case = (16, 51, &[1.0, 1.5, 2.0, 4.0]);
/// 204 agents.
const LARGE: Case = (64, 204, &[1.5, 4.0]);

/// What came of each load of a case; each case is played once for all tests.
fn results(case: Case) -> &'static [OverloadResult] {
    static SMALL_RESULTS: OnceLock<Vec<OverloadResult>> = OnceLock::new();
    static MEDIUM_RESULTS: OnceLock<Vec<OverloadResult>> = OnceLock::new();
    static LARGE_RESULTS: OnceLock<Vec<OverloadResult>> = OnceLock::new();
    let (balancers, agents, loads) = case;
    let results = match case {
        SMALL => &SMALL_RESULTS,
        MEDIUM => &MEDIUM_RESULTS,
        _ => &LARGE_RESULTS,
    };
    results.get_or_init(|| {
        let loads = loads.iter();
        loads
            .map(|load_factor| run_overload(balancers, agents, *load_factor))
            .collect()
    })
}

fn assert_served(case: Case) {
    for it in results(case) {
        assert!(
            it.served >= MIN_SERVED,
            "{} served at {}",
            it.served,
            it.load_factor
        );
    }
}

#[test]
fn a_small_service_serves_its_capacity_under_overload() {
    assert_served(SMALL);
}

#[test]
fn a_medium_service_serves_its_capacity_under_overload() {
    assert_served(MEDIUM);
}

#[test]
fn a_large_service_serves_its_capacity_under_overload() {
    assert_served(LARGE);
}

#[test]
fn all_requests_are_served_one_second_after_an_overload() {
    for it in [SMALL, MEDIUM, LARGE].into_iter().flat_map(results) {
        assert!(it.after >= 0.999, "{} after {}", it.after, it.load_factor);
    }
}

#[test]
fn refused_flows_cost_few_messages() {
    for case in [SMALL, MEDIUM, LARGE] {
        let over = || results(case).iter().filter(|it| it.load_factor > 1.0);
        let messages: f64 = over().map(|it| it.messages).sum();
        let refused: f64 = over().map(|it| it.refused).sum();
        let each = messages / refused;
        assert!(each <= MAX_MESSAGES, "{each} messages for a refused flow");
    }
}
