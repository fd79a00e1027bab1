//! The admission queue of an agent whose back end is full: which flows are queued, which are
//! declined at once, and in which order slots are granted.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{FlowMessage, ForwardReason, PassThroughBody};

use super::queue_limits::{LoadedAgent, SLOTS};
use super::world::MILLI;

const OBJECTIVE_MILLIS: u32 = 400;
const PROCESSING_TIME: Duration = Duration::from_millis(40);

/// Replies to the balancer, by the flows' callers.
#[derive(Default)]
struct Replies {
    queued: BTreeSet<u64>,
    declined: Vec<u64>,
}

/// An agent whose back end has a full queue.
struct FullAgent {
    loaded: LoadedAgent,
    in_flight: Vec<SocketAddrV4>,
    replies: Replies,
}

impl FullAgent {
    fn new() -> FullAgent {
        let mut loaded = LoadedAgent::new(PROCESSING_TIME);
        loaded.now = loaded.now + Duration::from_secs(1);
        let mut full = FullAgent {
            loaded,
            in_flight: Vec::new(),
            replies: Replies::default(),
        };
        while full.replies.queued.is_empty() {
            full.offer();
        }
        full
    }

    /// Offers one more flow.
    fn offer(&mut self) {
        let admitted = self
            .loaded
            .request(OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
        self.in_flight.extend(admitted);
        self.collect_replies();
    }

    fn collect_replies(&mut self) {
        let flow = |flow: FlowMessage| flow.caller;
        for dequeued in self.loaded.take_dequeued() {
            self.in_flight.push(dequeued);
        }
        for body in self.loaded.replies.drain(..) {
            match body {
                PassThroughBody::FlowQueued(queued) => {
                    self.replies.queued.insert(flow(queued.flow));
                }
                PassThroughBody::Declined(declined) => {
                    self.replies.declined.push(flow(declined.flow));
                }
                _ => {}
            }
        }
    }

    /// Runs for a time. If the back end `responds`, it does so after each processing time, to
    /// one request per slot.
    fn run(&mut self, millis: u64, responds: bool) {
        for passed in 1..=millis {
            self.loaded.now = self.loaded.now + MILLI;
            if responds && passed % PROCESSING_TIME.as_millis() as u64 == 0 {
                let done = self.in_flight.len().min(SLOTS as usize);
                for flow in self.in_flight.drain(..done).collect::<Vec<_>>() {
                    self.loaded.respond(flow);
                }
            }
            if self.loaded.agent.poll_timeout() <= self.loaded.now {
                self.loaded.agent.handle_timeout(self.loaded.now);
            }
            self.collect_replies();
        }
    }
}

/// After an outage, 100 callers arrive at once and none after them. A back end that processes
/// 75 requests a second responds to all that were queued.
#[test]
fn after_an_outage_flows_that_get_a_slot_in_time_are_queued_and_the_others_declined_at_once() {
    let mut full = FullAgent::new();
    for _ in 0..100 {
        full.offer();
    }
    let queued = full.replies.queued.len();
    let declined = full.replies.declined.len();
    // Half of 75 slots a second, for the 1.3 s until a caller gives up.
    assert!((40..=50).contains(&queued), "{queued} are queued");
    assert_eq!(queued + declined, 101);
    full.run(1_300, true);
    let expired = full.replies.declined.len() - declined;
    assert_eq!(expired, 0, "of {queued} that were queued");
}

/// The back end has no slots for queued flows, as if fresh flows took them all.
#[test]
fn queued_flows_that_get_no_slots_are_declined_soon_and_few_are_queued_after_that() {
    let mut full = FullAgent::new();
    for _ in 0..20 {
        full.offer();
    }
    full.run(400, false);
    let queued = full.replies.queued.len();
    assert_eq!(full.replies.declined.len(), queued, "declined within 0.4 s");
    full.offer();
    assert_eq!(
        full.replies.queued.len(),
        queued,
        "no flow is queued for half a second"
    );
    full.run(600, false);
    for _ in 0..100 {
        full.offer();
    }
    let queued_again = full.replies.queued.len() - queued;
    assert!(
        (15..=30).contains(&queued_again),
        "{queued_again} are queued with half of the initial assumed fraction"
    );
}

#[test]
fn a_flow_that_would_miss_its_deadline_is_declined_at_once() {
    let mut full = FullAgent::new();
    full.loaded.offer_template.deadline_millis = 300;
    let declined = full.replies.declined.len();
    for _ in 0..20 {
        full.offer();
    }
    // Processing and the way to the caller take 140 ms; six slots free in the rest.
    let queued = full.replies.queued.len();
    assert!((5..=7).contains(&queued), "{queued} are queued");
    assert_eq!(full.replies.declined.len() - declined, 21 - queued);
}

#[test]
fn slots_go_to_the_highest_priority_then_to_flows_in_time_then_to_the_oldest() {
    let mut full = FullAgent::new();
    let mut offered = Vec::new();
    for (priority, age_millis) in [(2, 500), (2, 600), (2, 0), (1, 600), (1, 10), (1, 20)] {
        full.loaded.offer_template.priority = priority;
        full.loaded.offer_template.syn_age_millis = age_millis;
        full.offer();
        offered.push(full.loaded.latest_caller());
    }
    // The back end responds to one request after the other. The flow that filled the queue was
    // queued first.
    let before = full.in_flight.len() + 1;
    let mut responded = 0;
    while full.in_flight.len() < before + offered.len() {
        full.loaded.respond(full.in_flight[responded]);
        responded += 1;
        full.collect_replies();
    }
    let order = &full.in_flight[before..];
    let position = |flow: &SocketAddrV4| order.iter().position(|it| it == flow);
    let positions: Vec<Option<usize>> = offered.iter().map(position).collect();
    let expected_positions = [5, 4, 3, 2, 1, 0].map(Some);
    assert_eq!(positions, expected_positions);
}
