//! Limits, loads, health and refusals.

use std::time::Duration;

use petrellatch_proto::admission::LoadReport;
use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, RefusalMode, ServiceRecord};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::admission::{
    BackendHealth, BackendLimits, BackendStage, BackendUse, LoadTable, PeerCandidate, Refusal,
    RefusalReason, ServiceTime, TokenBucket,
};
use crate::identity::{BackendId, Incarnation, NodeId};
use crate::routing::AgentIncarnation;

const WAIT_LIMIT: Duration = Duration::from_millis(100);

fn backend() -> BackendRecord {
    BackendRecord {
        slots: 8,
        connections: 20,
        warm_up_seconds: 8,
        ..BackendRecord::default()
    }
}

fn busy(busy: u32) -> BackendUse {
    BackendUse {
        busy,
        connections: busy,
    }
}

fn candidate(backend: u64, weight: u32) -> PeerCandidate {
    PeerCandidate {
        backend: BackendId(backend),
        agent: life(backend),
        weight,
        slots: 8,
    }
}

fn life(node: u64) -> AgentIncarnation {
    AgentIncarnation {
        node: NodeId(node),
        incarnation: Incarnation(1),
    }
}

fn report(backend: u64, busy: u32, sequence: u64) -> LoadReport {
    LoadReport {
        service: 1,
        backend,
        in_flight_requests: busy,
        connections: busy,
        refuses_new_flows: false,
        sequence,
        withdrawn: false,
    }
}

#[test]
fn slots_are_ramped_up_from_a_cold_start() {
    let limits = BackendLimits::new(Timestamp::ZERO, &backend(), WAIT_LIMIT);
    assert_eq!(limits.slots(Timestamp::ZERO), 1);
    assert_eq!(limits.slots(Timestamp::from_millis(4_000)), 4);
    assert_eq!(limits.slots(Timestamp::from_millis(9_000)), 8);
}

#[test]
fn flows_wait_only_for_a_short_time() {
    let warm = Timestamp::from_millis(60_000);
    let limits = BackendLimits::new(Timestamp::ZERO, &backend(), WAIT_LIMIT);
    let mut time = ServiceTime::new();
    time.record(Duration::from_millis(400));
    assert_eq!(limits.check(warm, busy(7), &time), Ok(()));
    assert_eq!(limits.check(warm, busy(9), &time), Ok(()));
    let refused = limits.check(warm, busy(10), &time);
    assert_eq!(refused, Err(RefusalReason::Slots));
    let many = BackendUse {
        busy: 0,
        connections: 20,
    };
    let refused = limits.check(warm, many, &time);
    assert_eq!(refused, Err(RefusalReason::Connections));
}

#[test]
fn many_short_requests_may_wait() {
    let warm = Timestamp::from_millis(60_000);
    let limits = BackendLimits::new(Timestamp::ZERO, &backend(), WAIT_LIMIT);
    let mut time = ServiceTime::new();
    time.record(Duration::from_millis(40));
    assert_eq!(limits.check(warm, busy(19), &time), Ok(()));
}

#[test]
fn flows_wait_where_the_queue_is_shortest() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut loads = LoadTable::new();
    let candidates = [1, 2, 3].map(|backend| candidate(backend, 1_000));
    let closed = LoadReport {
        refuses_new_flows: true,
        ..report(3, 8, 1)
    };
    loads.handle_report(life(1), &report(1, 12, 1));
    loads.handle_report(life(2), &report(2, 9, 1));
    loads.handle_report(life(3), &closed);
    let now = Timestamp::ZERO;
    assert!(loads.least_loaded(now, &candidates, &mut random).is_none());
    let shortest = loads.least_waiting(now, &candidates, &mut random).unwrap();
    assert_eq!(shortest.backend, BackendId(2));
}

#[test]
fn a_draining_back_end_gets_nothing_new() {
    let mut limits = BackendLimits::new(Timestamp::ZERO, &backend(), WAIT_LIMIT);
    let draining = BackendRecord {
        draining: true,
        ..backend()
    };
    limits.update(&draining);
    let refused = limits.check(Timestamp::ZERO, busy(0), &ServiceTime::new());
    assert_eq!(refused, Err(RefusalReason::Draining));
}

#[test]
fn new_flows_are_limited_by_rate() {
    let mut bucket = TokenBucket::new(Timestamp::ZERO, 10);
    let mut taken = 0;
    while bucket.has_token(Timestamp::ZERO) {
        bucket.take(Timestamp::ZERO);
        taken += 1;
    }
    assert_eq!(taken, 10);
    assert!(!bucket.has_token(Timestamp::from_millis(99)));
    assert!(bucket.has_token(Timestamp::from_millis(100)));
    bucket.set_limit(0);
    assert!(bucket.has_token(Timestamp::from_millis(100)));
}

#[test]
fn the_least_loaded_back_end_with_room_is_chosen() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut loads = LoadTable::new();
    let candidates = [
        candidate(1, 1_000),
        candidate(2, 1_000),
        candidate(3, 1_000),
    ];
    loads.handle_report(life(1), &report(1, 5, 1));
    loads.handle_report(life(2), &report(2, 3, 1));
    loads.handle_report(life(3), &report(3, 8, 1));
    let now = Timestamp::ZERO;
    let best = loads.least_loaded(now, &candidates, &mut random).unwrap();
    assert_eq!(best.backend, BackendId(2));
    assert!(loads.is_clearly_less(&best, 4, 1_000, 1_000));
    assert!(!loads.is_clearly_less(&best, 3, 1_000, 1_000));
    // Flows that were passed on count until the next report ..
    for _ in 0..3 {
        loads.note_passed(&candidate(2, 1_000));
    }
    let best = loads.least_loaded(now, &candidates, &mut random).unwrap();
    assert_eq!(best.backend, BackendId(1));
    // .. and an older report changes nothing.
    loads.handle_report(life(2), &report(2, 0, 1));
    let best = loads.least_loaded(now, &candidates, &mut random).unwrap();
    assert_eq!(best.backend, BackendId(1));
    loads.note_refused(now, BackendId(1));
    let best = loads.least_loaded(now, &candidates, &mut random).unwrap();
    assert_eq!(best.backend, BackendId(2));
}

#[test]
fn a_failing_back_end_is_tried_less_and_less_often() {
    let connect = BackendStage::Connect;
    let mut health = BackendHealth::new();
    let mut now = Timestamp::ZERO;
    assert!(!health.record_failure(now, connect));
    assert!(!health.record_failure(now, connect));
    assert!(
        health.record_failure(now, connect),
        "the third failure closes it"
    );
    assert_eq!(health.health(), 0);
    assert!(health.closed_by(Timestamp::from_millis(999)).is_some());
    now = Timestamp::from_millis(1_000);
    assert!(health.closed_by(now).is_none());
    health.begin_probe(now);
    assert!(health.closed_by(now).is_some(), "one trial at a time");
    assert!(!health.record_failure(now, connect));
    assert!(health.closed_by(Timestamp::from_millis(2_999)).is_some());
    assert!(health.record_success(now, connect));
    assert!(health.health() > 0 && health.health() < 1_000);
}

#[test]
fn a_flapping_back_end_is_closed_for_longer_every_time() {
    let connect = BackendStage::Connect;
    let mut health = BackendHealth::new();
    let mut now = Timestamp::ZERO;
    for _ in 0..3 {
        health.record_failure(now, connect);
    }
    let mut closed_for = Vec::new();
    for _ in 0..5 {
        closed_for.push(health.time_to_probe(now).as_secs());
        now = now + health.time_to_probe(now);
        assert!(health.record_success(now, connect));
        now = now + Duration::from_secs(5);
        assert!(health.record_failure(now, connect));
    }
    assert_eq!(closed_for, [1, 2, 4, 8, 8]);
    // After a minute without a failure it is treated as in the beginning.
    now = now + health.time_to_probe(now);
    health.record_success(now, connect);
    now = now + Duration::from_secs(60);
    assert!(!health.record_failure(now, connect));
    assert!(!health.record_failure(now, connect));
    assert!(health.record_failure(now, connect));
    assert_eq!(health.time_to_probe(now).as_secs(), 1);
}

#[test]
fn connections_that_come_about_do_not_hide_failing_requests() {
    let mut health = BackendHealth::new();
    let now = Timestamp::ZERO;
    for _ in 0..3 {
        health.record_success(now, BackendStage::Connect);
        health.record_failure(now, BackendStage::Answer);
    }
    assert_eq!(health.closed_by(now), Some(BackendStage::Answer));
    assert!(!health.record_success(now, BackendStage::Connect));
    assert!(health.closed_by(now).is_some());
    assert!(health.record_success(now, BackendStage::Answer));
    assert!(health.closed_by(now).is_none());
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut service = ServiceRecord {
        refusal: RefusalMode::HttpUnavailable as i32,
        address: Endpoint::default(),
        ..ServiceRecord::default()
    };
    let refusal = Refusal::of(&service, Duration::from_millis(2_100));
    let text = String::from_utf8(refusal.answer().unwrap()).unwrap();
    assert!(text.contains("Retry-After: 3\r\n"), "{text}");
    service.refusal = RefusalMode::Reset as i32;
    assert_eq!(Refusal::of(&service, Duration::ZERO).answer(), None);
}
