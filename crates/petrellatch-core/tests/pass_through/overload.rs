//! Callers press a service beyond its capacity, through balancers with links of
//! 3.7 Mbit/s: what is refused must not cost what could be served.

use std::sync::OnceLock;

use super::fleet::Fleet;

/// Seconds of ordinary load before, of pressure, and of ordinary load after.
const BEFORE: u64 = 1;
const PRESSED: u64 = 3;
const AFTER: u64 = 3;
/// What callers ask for at ordinary times, of the capacity.
const ORDINARY: f64 = 0.6;
/// Of what back ends can do, so much is to be served while pressed.
const SERVED: f64 = 0.9;

/// Messages for a refused flow that the balancers' links bear beside the ordinary load,
/// in the mean of all loads.
const MESSAGES: f64 = 0.1;

/// What came of one load.
struct Pressed {
    times: f64,
    /// Served of what could be, while pressed.
    served: f64,
    /// Served of what was asked, from a second later on.
    after: f64,
    refused: f64,
    /// Questions and answers for refused flows, while pressed.
    messages: f64,
}

/// Callers ask for `times` the capacity.
fn press(balancers: usize, agents: u16, times: f64) -> Pressed {
    let mut fleet = Fleet::new(balancers, agents);
    let capacity = fleet.max_request_rate();
    let both = |share: f64| [capacity * share * 0.3, capacity * share * 0.7];
    fleet.run(both(ORDINARY), BEFORE);
    fleet.run(both(times), PRESSED);
    fleet.run(both(ORDINARY), AFTER);
    let pressed = fleet.sum(1..4);
    let after = fleet.sum(5..6);
    let total = |counts: [u32; 2]| f64::from(counts[0] + counts[1]);
    let best = (capacity * PRESSED as f64).min(total(pressed.requests));
    let result = Pressed {
        times,
        served: total(pressed.served) / best,
        after: total(after.served) / total(after.requests),
        refused: f64::from(pressed.refused),
        messages: 2.0 * f64::from(pressed.offers),
    };
    println!(
        "{balancers} balancers, {agents} agents, {times} times: served {:.3}, after {:.3}, \
         {} messages for {} refused flows, {} suspected",
        result.served, result.after, result.messages, result.refused, pressed.suspected
    );
    result
}

/// Balancers, agents, and the loads that callers press them with.
type Case = (usize, u16, &'static [f64]);

/// Twelve agents, with a few balancers.
const SMALL: Case = (4, 12, &[1.0, 1.5, 2.0, 4.0]);
/// 51 agents.
const MIDDLE: Case = (16, 51, &[1.0, 1.5, 2.0, 4.0]);
/// 204 agents.
const LARGE: Case = (64, 204, &[1.5, 4.0]);

/// What came of each load of a case; each case is played once for all tests.
fn pressed(case: Case) -> &'static [Pressed] {
    static SMALL_PRESSED: OnceLock<Vec<Pressed>> = OnceLock::new();
    static MIDDLE_PRESSED: OnceLock<Vec<Pressed>> = OnceLock::new();
    static LARGE_PRESSED: OnceLock<Vec<Pressed>> = OnceLock::new();
    let (balancers, agents, loads) = case;
    let played = match case {
        SMALL => &SMALL_PRESSED,
        MIDDLE => &MIDDLE_PRESSED,
        _ => &LARGE_PRESSED,
    };
    played.get_or_init(|| {
        let loads = loads.iter();
        loads
            .map(|times| press(balancers, agents, *times))
            .collect()
    })
}

fn assert_served(case: Case) {
    for it in pressed(case) {
        assert!(it.served >= SERVED, "{} served at {}", it.served, it.times);
    }
}

#[test]
fn a_small_service_bears_pressure() {
    assert_served(SMALL);
}

#[test]
fn a_service_bears_pressure() {
    assert_served(MIDDLE);
}

#[test]
fn a_large_service_bears_pressure() {
    assert_served(LARGE);
}

#[test]
fn all_is_served_a_second_after_pressure() {
    for it in [SMALL, MIDDLE, LARGE].into_iter().flat_map(pressed) {
        assert!(it.after >= 0.999, "{} after {}", it.after, it.times);
    }
}

#[test]
fn flows_that_are_refused_cost_few_messages() {
    for case in [SMALL, MIDDLE, LARGE] {
        let over = || pressed(case).iter().filter(|it| it.times > 1.0);
        let messages: f64 = over().map(|it| it.messages).sum();
        let refused: f64 = over().map(|it| it.refused).sum();
        let each = messages / refused;
        assert!(each <= MESSAGES, "{each} messages for a refused flow");
    }
}
