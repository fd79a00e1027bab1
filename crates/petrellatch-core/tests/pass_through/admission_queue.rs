//! Callers that find the queue of a back end full: who waits for a place, who is refused
//! at once, and in which order places are given.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{FlowMessage, ForwardReason, PassThroughBody};

use super::queueing::{LoadedAgent, SLOTS};
use super::world::MILLI;

const OBJECTIVE_MILLIS: u32 = 400;
const WORK: Duration = Duration::from_millis(40);

/// What balancers were told of flows.
#[derive(Default)]
struct Told {
    waiting: BTreeSet<u64>,
    declined: Vec<u64>,
}

/// A desk whose back end has a full queue.
struct FullDesk {
    desk: LoadedAgent,
    inside: Vec<SocketAddrV4>,
    told: Told,
}

impl FullDesk {
    fn new() -> FullDesk {
        let mut desk = LoadedAgent::new(WORK);
        desk.now = desk.now + Duration::from_secs(1);
        let mut full = FullDesk {
            desk,
            inside: Vec::new(),
            told: Told::default(),
        };
        while full.told.waiting.is_empty() {
            full.offer();
        }
        full
    }

    /// Offers one more flow.
    fn offer(&mut self) {
        let taken = self
            .desk
            .request(OBJECTIVE_MILLIS, ForwardReason::OpenQueued);
        self.inside.extend(taken);
        self.listen();
    }

    fn listen(&mut self) {
        let flow = |flow: FlowMessage| flow.caller;
        for opened in self.desk.take_dequeued() {
            self.inside.push(opened);
        }
        for body in self.desk.replies.drain(..) {
            match body {
                PassThroughBody::FlowQueued(waiting) => {
                    self.told.waiting.insert(flow(waiting.flow));
                }
                PassThroughBody::Declined(declined) => {
                    self.told.declined.push(flow(declined.flow));
                }
                _ => {}
            }
        }
    }

    /// Lets time pass while the back end answers a round of requests after each time of
    /// work, if it works.
    fn run(&mut self, millis: u64, works: bool) {
        for passed in 1..=millis {
            self.desk.now = self.desk.now + MILLI;
            if works && passed % WORK.as_millis() as u64 == 0 {
                let done = self.inside.len().min(SLOTS as usize);
                for flow in self.inside.drain(..done).collect::<Vec<_>>() {
                    self.desk.respond(flow);
                }
            }
            if self.desk.agent.poll_timeout() <= self.desk.now {
                self.desk.agent.handle_timeout(self.desk.now);
            }
            self.listen();
        }
    }
}

/// A gush after an outage: 60 callers come within a moment, and nobody after them. A
/// back end that does 75 a second answers all that it lets wait.
#[test]
fn after_an_outage_whoever_can_be_served_waits_and_the_others_are_refused_at_once() {
    let mut full = FullDesk::new();
    for _ in 0..100 {
        full.offer();
    }
    let waited = full.told.waiting.len();
    let refused = full.told.declined.len();
    // Half of 75 places a second, for the 1.3 s in which a caller is patient.
    assert!((40..=50).contains(&waited), "{waited} wait");
    assert_eq!(waited + refused, 101);
    full.run(1_300, true);
    let in_vain = full.told.declined.len() - refused;
    assert_eq!(in_vain, 0, "of {waited} that waited");
}

/// A burst that goes on: fresh callers take every place.
#[test]
fn who_has_no_hope_is_told_after_a_moment_and_few_wait_after_that() {
    let mut full = FullDesk::new();
    for _ in 0..20 {
        full.offer();
    }
    full.run(400, false);
    let waited = full.told.waiting.len();
    assert_eq!(full.told.declined.len(), waited, "told within 0.4 s");
    full.offer();
    assert_eq!(
        full.told.waiting.len(),
        waited,
        "none waits for half a second"
    );
    full.run(600, false);
    for _ in 0..100 {
        full.offer();
    }
    let again = full.told.waiting.len() - waited;
    assert!(
        (15..=30).contains(&again),
        "{again} wait when half is assumed"
    );
}

#[test]
fn who_could_not_be_served_before_its_deadline_is_refused_at_once() {
    let mut full = FullDesk::new();
    full.desk.offer_template.deadline_millis = 300;
    let refused = full.told.declined.len();
    for _ in 0..20 {
        full.offer();
    }
    // The way back and work take 140 ms of it: six places come free in the others.
    let waited = full.told.waiting.len();
    assert!((5..=7).contains(&waited), "{waited} wait");
    assert_eq!(full.told.declined.len() - refused, 21 - waited);
}

#[test]
fn places_go_to_the_urgent_then_to_those_in_time_then_to_the_oldest() {
    let mut full = FullDesk::new();
    let mut expected = Vec::new();
    for (priority, age_millis) in [(2, 500), (2, 600), (2, 0), (1, 600), (1, 10), (1, 20)] {
        full.desk.offer_template.priority = priority;
        full.desk.offer_template.syn_age_millis = age_millis;
        full.offer();
        expected.push(full.desk.latest_caller());
    }
    // The back end answers one after the other; the one that filled the queue came first.
    let before = full.inside.len() + 1;
    let mut answered = 0;
    while full.inside.len() < before + expected.len() {
        full.desk.respond(full.inside[answered]);
        answered += 1;
        full.listen();
    }
    let order = &full.inside[before..];
    let place = |flow: &SocketAddrV4| order.iter().position(|it| it == flow);
    let places: Vec<Option<usize>> = expected.iter().map(place).collect();
    let wanted = [5, 4, 3, 2, 1, 0].map(Some);
    assert_eq!(places, wanted);
}
