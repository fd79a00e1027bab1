//! Load shedding by one balancer. The tests send the replies of the agents.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::pass_through::PassThroughOutput;
use petrellatch_core::{EventKind, pass_through::PacketView};
use petrellatch_proto::pass_through::{
    Accepted, DeclineReason, Declined, FlowQueued, ForwardReason, LoadMessage, PassThroughBody,
};

use super::codec::{TestCodec, empty, encode};
use super::world::{MILLI, ROUTE, World};
use petrellatch_core::pass_through::{FlowId, PacketCodec};

const AGENTS: u8 = 8;
const SECOND: Duration = Duration::from_secs(1);

/// The balancer of a [`World`], with agents whose replies the test sends.
struct LoadSheddingTest {
    world: World,
    next_caller: u32,
    offers: Vec<(SocketAddrV4, FlowId)>,
    resets: usize,
    events: Vec<EventKind>,
}

impl LoadSheddingTest {
    fn new() -> LoadSheddingTest {
        LoadSheddingTest {
            world: World::new(AGENTS, 2),
            next_caller: 0,
            offers: Vec::new(),
            resets: 0,
            events: Vec::new(),
        }
    }

    fn process_outputs(&mut self) {
        while let Some(output) = self.world.balancer.poll_output() {
            match output {
                PassThroughOutput::Send {
                    to,
                    body: PassThroughBody::ForwardedPacket(forwarded),
                } if forwarded.reason() != ForwardReason::Deliver => {
                    let view = TestCodec.view(&forwarded.packet).expect("a packet");
                    self.offers.push((to, view.flow_from_caller()));
                }
                PassThroughOutput::ToCaller { .. } => self.resets += 1,
                PassThroughOutput::Event(event) => self.events.push(event.kind),
                _ => {}
            }
        }
    }

    /// Lets time pass without a message of an agent.
    fn wait(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.now = self.world.now + MILLI;
            if self.world.balancer.poll_timeout() <= self.world.now {
                self.world.balancer.handle_timeout(self.world.now);
            }
            self.process_outputs();
        }
    }

    /// Opens a new flow. Returns the number of offers that are made at once.
    fn open(&mut self) -> usize {
        self.next_caller += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + self.next_caller), 9000);
        let packet = PacketView {
            syn: true,
            ..empty(caller, ROUTE)
        };
        let before = self.offers.len();
        self.world
            .balancer
            .handle_packet(self.world.now, &encode(&packet));
        self.process_outputs();
        self.offers.len() - before
    }

    /// Declines all offers, including those that the balancer makes because of the declines.
    fn decline_all(&mut self, reason: DeclineReason, expected_wait_micros: u32) {
        while let Some((agent, flow)) = self.offers.pop() {
            let declined = Declined {
                flow: flow.into(),
                reason: reason.into(),
                load: load(2),
                expected_wait_micros,
            };
            let body = PassThroughBody::Declined(declined);
            self.world
                .balancer
                .handle_message(self.world.now, agent, body);
            self.process_outputs();
        }
    }

    /// Accepts the latest offer.
    fn accept(&mut self) {
        let (agent, flow) = self.offers.pop().expect("an offer");
        let accepted = Accepted {
            flow: flow.into(),
            sequence: 1,
            load: load(1),
        };
        let body = PassThroughBody::Accepted(accepted);
        self.world
            .balancer
            .handle_message(self.world.now, agent, body);
        self.process_outputs();
    }

    /// Queues the flow of the latest offer.
    fn queue(&mut self, load: LoadMessage) {
        let (agent, flow) = self.offers.pop().expect("an offer");
        let queued = FlowQueued {
            flow: flow.into(),
            load,
        };
        let body = PassThroughBody::FlowQueued(queued);
        self.world
            .balancer
            .handle_message(self.world.now, agent, body);
        self.process_outputs();
    }

    /// Opens one flow per millisecond without any reply. Returns the number of offers.
    fn count_offers(&mut self, flows: usize) -> usize {
        let before = self.offers.len();
        for _ in 0..flows {
            self.open();
            self.wait(MILLI);
        }
        self.offers.len() - before
    }
}

fn load(in_flight_requests: u32) -> LoadMessage {
    LoadMessage {
        in_flight_requests,
        slots: 2,
        ..LoadMessage::default()
    }
}

/// The load of a warm back end with a queue.
fn warm() -> LoadMessage {
    LoadMessage {
        processing_micros: 33_000,
        ..load(6)
    }
}

/// Callers of an overloaded service retry at once, a hundred per second at one balancer. After
/// one flow that no agent has capacity for, the next ones must be refused without an offer.
#[test]
fn flows_of_an_overloaded_service_are_shed_without_an_offer() {
    let mut test = LoadSheddingTest::new();
    assert_eq!(test.open(), 1);
    test.decline_all(DeclineReason::Full, 0);
    assert_eq!(test.resets, 1);
    assert_eq!(test.count_offers(15), 0);
    assert_eq!(test.resets, 16);
    assert!(test.events.contains(&EventKind::ServicePressed));
}

/// Each of eight agents expects a free slot after 80 ms, so that the service has one after
/// 10 ms.
#[test]
fn a_backoff_follows_the_reported_expected_waits() {
    let mut test = LoadSheddingTest::new();
    test.open();
    test.decline_all(DeclineReason::Full, 80_000);
    assert_eq!(test.count_offers(9), 0);
    test.wait(2 * MILLI);
    assert_eq!(test.open(), 1);
}

/// After a backoff all refused callers retry at once. Only one flow may be offered until an
/// agent accepts it.
#[test]
fn an_accepted_trial_flow_ends_a_backoff() {
    let mut test = LoadSheddingTest::new();
    test.open();
    test.decline_all(DeclineReason::Full, 0);
    test.wait(25 * MILLI);
    assert_eq!((test.open(), test.open(), test.open()), (1, 0, 0));
    test.accept();
    assert_eq!((test.open(), test.open()), (1, 1));
}

/// Backoffs grow while a service stays overloaded, but returning capacity must be found
/// within 100 ms.
#[test]
fn returning_capacity_is_found_within_100_ms() {
    let mut test = LoadSheddingTest::new();
    for _ in 0..300 {
        test.open();
        test.decline_all(DeclineReason::Full, 1_000_000);
        test.wait(10 * MILLI);
    }
    test.offers.clear();
    let found_after = (0..=100).find(|_| {
        test.wait(MILLI);
        test.open() == 1
    });
    assert!(found_after.is_some());
    test.accept();
    assert_eq!(test.open(), 1);
    test.accept();
    test.wait(SECOND + 600 * MILLI);
    assert!(test.events.contains(&EventKind::PressureEnded));
}

/// Declines because of a rolling update, an evacuated zone, or failed machines don't mean
/// lack of capacity.
#[test]
fn declines_for_other_reasons_start_no_backoff() {
    for reason in [
        DeclineReason::Draining,
        DeclineReason::Evacuated,
        DeclineReason::NoBackend,
        DeclineReason::Returned,
        DeclineReason::Failing,
    ] {
        let mut test = LoadSheddingTest::new();
        test.open();
        test.decline_all(reason, 0);
        test.open();
        test.decline_all(DeclineReason::Unspecified, 0);
        assert!(
            !test.events.contains(&EventKind::ServicePressed),
            "{reason:?}"
        );
    }
}

/// In a burst at warm back ends, the queued flows get the next free slots, and further
/// queued ones would wait in vain.
#[test]
fn flows_queued_at_warm_back_ends_start_a_backoff() {
    let mut test = LoadSheddingTest::new();
    for _ in 0..3 {
        assert_eq!(test.open(), 1);
        test.queue(warm());
    }
    assert_eq!(test.count_offers(15), 0);
    assert!(test.events.contains(&EventKind::ServicePressed));
}

/// After an outage, back ends are cold and will soon be faster, or agents have just
/// started.
#[test]
fn flows_queued_after_an_outage_start_no_backoff() {
    let cold = LoadMessage {
        cold: true,
        ..warm()
    };
    let just_started = LoadMessage {
        processing_micros: 0,
        ..warm()
    };
    for load in [cold, just_started] {
        let mut test = LoadSheddingTest::new();
        for _ in 0..50 {
            assert_eq!(test.open(), 1);
            test.queue(load);
        }
        assert!(!test.events.contains(&EventKind::ServicePressed));
    }
}

/// In a large service one agent may have a queue while others have free slots.
#[test]
fn flows_queued_between_accepted_ones_start_no_backoff() {
    let mut test = LoadSheddingTest::new();
    for _ in 0..10 {
        for _ in 0..2 {
            assert_eq!(test.open(), 1);
            test.queue(warm());
        }
        assert_eq!(test.open(), 1);
        test.accept();
    }
    assert!(!test.events.contains(&EventKind::ServicePressed));
}

/// No agent replies for two seconds, which is not lack of capacity.
#[test]
fn missing_replies_start_no_backoff() {
    let mut test = LoadSheddingTest::new();
    for _ in 0..200 {
        test.open();
        test.wait(10 * MILLI);
    }
    assert!(!test.events.contains(&EventKind::ServicePressed));
    assert!(test.events.contains(&EventKind::AgentSuspected));
}

/// An agent declines all flows although its load message says that it is idle, while others
/// have capacity.
#[test]
fn an_idle_agent_that_declines_gets_no_offer_for_a_while() {
    let mut test = LoadSheddingTest::new();
    test.open();
    test.decline_all(DeclineReason::Full, 0);
    test.wait(25 * MILLI);
    test.open();
    let (idle_agent, flow) = test.offers.pop().expect("an offer");
    let declined = Declined {
        flow: flow.into(),
        reason: DeclineReason::Full.into(),
        load: load(0),
        expected_wait_micros: 0,
    };
    let body = PassThroughBody::Declined(declined);
    test.world
        .balancer
        .handle_message(test.world.now, idle_agent, body);
    test.process_outputs();
    test.offers.clear();
    test.wait(40 * MILLI);
    test.open();
    assert_ne!(test.offers.pop().map(|(agent, _)| agent), Some(idle_agent));
}

/// A congested link delays the replies of all agents by 200 ms. Unlike with agents that are
/// silent, no agent is at fault: none may be suspected, and no flow may be offered to a second
/// agent.
#[test]
fn agents_are_not_suspected_if_all_replies_are_late() {
    let mut test = LoadSheddingTest::new();
    for _ in 0..40 {
        test.open();
        test.wait(10 * MILLI);
        if test.offers.len() > 20 {
            test.offers.rotate_left(1);
            test.accept();
        }
    }
    test.events.clear();
    let before = test.offers.len();
    for _ in 0..40 {
        test.open();
        test.wait(5 * MILLI);
        test.offers.rotate_left(1);
        test.accept();
    }
    assert!(!test.events.contains(&EventKind::AgentSuspected));
    assert_eq!(
        test.offers.len(),
        before,
        "no flow was offered to a second agent"
    );
}

/// Under overload a flow is offered to one agent only. If that agent doesn't reply, this says
/// nothing about the capacity of others, so that the flow must be offered to another one.
#[test]
fn under_overload_a_flow_of_a_silent_agent_is_offered_to_another() {
    let mut test = LoadSheddingTest::new();
    test.open();
    test.decline_all(DeclineReason::Full, 0);
    test.wait(25 * MILLI);
    test.resets = 0;
    assert_eq!(test.open(), 1);
    test.wait(100 * MILLI);
    assert!(test.offers.len() >= 2, "{} offers", test.offers.len());
    assert_eq!(test.resets, 0);
}
