//! Overload of a service through balancers with links of 3.7 Mbit/s: refused flows must not
//! reduce the number of flows that are served.

use std::sync::OnceLock;

use super::fleet::Fleet;

/// Seconds of normal load, of overload, and of normal load again.
const BEFORE: u64 = 1;
const OVERLOADED: u64 = 3;
const AFTER: u64 = 3;
/// Normal load as a fraction of the capacity.
const NORMAL_LOAD: f64 = 0.6;
/// Minimum fraction of the possible requests that must be served during overload.
const MIN_SERVED: f64 = 0.9;

/// Maximum number of messages per refused flow, in the mean of all loads, that the
/// balancers' links carry beside the normal load.
const MAX_MESSAGES: f64 = 0.1;

/// The result of one load.
struct OverloadResult {
    load_factor: f64,
    /// Fraction of the possible requests that were served during overload.
    served: f64,
    /// Fraction of the requests that were served in the second that starts one second after
    /// the overload.
    after: f64,
    refused: f64,
    /// Offers and replies for refused flows during overload.
    messages: f64,
}

/// Runs a fleet whose callers send `load_factor` times the capacity during overload.
fn run_overload(balancers: usize, agents: u16, load_factor: f64) -> OverloadResult {
    let mut fleet = Fleet::new(balancers, agents);
    let capacity = fleet.max_request_rate();
    // 30 % of the requests have the higher one of two priorities.
    let rates = |factor: f64| [capacity * factor * 0.3, capacity * factor * 0.7];
    fleet.run(rates(NORMAL_LOAD), BEFORE);
    fleet.run(rates(load_factor), OVERLOADED);
    fleet.run(rates(NORMAL_LOAD), AFTER);
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

/// Number of balancers and agents, and the load factors.
type Case = (usize, u16, &'static [f64]);

/// Four balancers and twelve agents.
const SMALL: Case = (4, 12, &[1.0, 1.5, 2.0, 4.0]);
/// 16 balancers and 51 agents.
const MEDIUM: Case = (16, 51, &[1.0, 1.5, 2.0, 4.0]);
/// 64 balancers and 204 agents.
const LARGE: Case = (64, 204, &[1.5, 4.0]);

/// The results of all loads of a case. Each case runs once for all tests.
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
