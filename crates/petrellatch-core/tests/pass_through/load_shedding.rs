//! When a balancer refuses new flows without asking an agent, and when it doesn't: one
//! balancer, with agents that the test answers for.

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

/// The balancer of a [`World`] whose agents say what the test wants.
struct Edge {
    world: World,
    next_caller: u32,
    asked: Vec<(SocketAddrV4, FlowId)>,
    resets: usize,
    events: Vec<EventKind>,
}

impl Edge {
    fn new() -> Edge {
        Edge {
            world: World::new(AGENTS, 2),
            next_caller: 0,
            asked: Vec::new(),
            resets: 0,
            events: Vec::new(),
        }
    }

    fn drain(&mut self) {
        while let Some(output) = self.world.balancer.poll_output() {
            match output {
                PassThroughOutput::Send {
                    to,
                    body: PassThroughBody::ForwardedPacket(carry),
                } if carry.reason() != ForwardReason::Deliver => {
                    let view = TestCodec.view(&carry.packet).expect("a packet");
                    self.asked.push((to, view.flow_from_caller()));
                }
                PassThroughOutput::ToCaller { .. } => self.resets += 1,
                PassThroughOutput::Event(event) => self.events.push(event.kind),
                _ => {}
            }
        }
    }

    /// Time passes in which no agent says anything.
    fn wait(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.now = self.world.now + MILLI;
            if self.world.balancer.poll_timeout() <= self.world.now {
                self.world.balancer.handle_timeout(self.world.now);
            }
            self.drain();
        }
    }

    /// A new flow comes. Returns how many questions it caused at once.
    fn open(&mut self) -> usize {
        self.next_caller += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + self.next_caller), 9000);
        let packet = PacketView {
            syn: true,
            ..empty(caller, ROUTE)
        };
        let before = self.asked.len();
        self.world
            .balancer
            .handle_packet(self.world.now, &encode(&packet));
        self.drain();
        self.asked.len() - before
    }

    /// All that were asked, and whoever is asked for that, say no.
    fn decline_all(&mut self, reason: DeclineReason, turn_micros: u32) {
        while let Some((agent, flow)) = self.asked.pop() {
            let declined = Declined {
                flow: flow.into(),
                reason: reason.into(),
                load: load(2),
                expected_wait_micros: turn_micros,
            };
            let body = PassThroughBody::Declined(declined);
            self.world
                .balancer
                .handle_message(self.world.now, agent, body);
            self.drain();
        }
    }

    /// The agent that was asked last takes its flow.
    fn accept(&mut self) {
        let (agent, flow) = self.asked.pop().expect("asked");
        let accepted = Accepted {
            flow: flow.into(),
            sequence: 1,
            load: load(1),
        };
        let body = PassThroughBody::Accepted(accepted);
        self.world
            .balancer
            .handle_message(self.world.now, agent, body);
        self.drain();
    }

    /// The agent that was asked last lets its flow wait.
    fn let_wait(&mut self, load: LoadMessage) {
        let (agent, flow) = self.asked.pop().expect("asked");
        let waiting = FlowQueued {
            flow: flow.into(),
            load,
        };
        let body = PassThroughBody::FlowQueued(waiting);
        self.world
            .balancer
            .handle_message(self.world.now, agent, body);
        self.drain();
    }

    /// Questions that so many flows cause, one a millisecond, while nobody answers.
    fn questions(&mut self, flows: usize) -> usize {
        let before = self.asked.len();
        for _ in 0..flows {
            self.open();
            self.wait(MILLI);
        }
        self.asked.len() - before
    }
}

fn load(busy: u32) -> LoadMessage {
    LoadMessage {
        in_flight_requests: busy,
        slots: 2,
        ..LoadMessage::default()
    }
}

/// A back end that is warm and has a queue.
fn warm() -> LoadMessage {
    LoadMessage {
        processing_micros: 33_000,
        ..load(6)
    }
}

/// Callers press a service that has no room: a hundred a second of one balancer.
#[test]
fn flows_of_a_full_service_are_refused_without_a_message() {
    let mut edge = Edge::new();
    assert_eq!(edge.open(), 1);
    edge.decline_all(DeclineReason::Full, 0);
    assert_eq!(edge.resets, 1);
    assert_eq!(edge.questions(15), 0);
    assert_eq!(edge.resets, 16);
    assert!(edge.events.contains(&EventKind::ServicePressed));
}

/// The turn at each of eight agents comes after 80 ms, so one place comes after 10 ms.
#[test]
fn a_pause_is_as_long_as_agents_foretell() {
    let mut edge = Edge::new();
    edge.open();
    edge.decline_all(DeclineReason::Full, 80_000);
    assert_eq!(edge.questions(9), 0);
    edge.wait(2 * MILLI);
    assert_eq!(edge.open(), 1);
}

/// After a pause all callers that were refused are back at once.
#[test]
fn one_flow_ends_a_pause_and_the_others_follow_if_it_is_taken() {
    let mut edge = Edge::new();
    edge.open();
    edge.decline_all(DeclineReason::Full, 0);
    edge.wait(25 * MILLI);
    assert_eq!((edge.open(), edge.open(), edge.open()), (1, 0, 0));
    edge.accept();
    assert_eq!((edge.open(), edge.open()), (1, 1));
}

/// However long a service was full, its room is found within a tenth of a second.
#[test]
fn room_is_found_within_a_tenth_of_a_second() {
    let mut edge = Edge::new();
    for _ in 0..300 {
        edge.open();
        edge.decline_all(DeclineReason::Full, 1_000_000);
        edge.wait(10 * MILLI);
    }
    edge.asked.clear();
    let asked_after = (0..=100).find(|_| {
        edge.wait(MILLI);
        edge.open() == 1
    });
    assert!(asked_after.is_some());
    edge.accept();
    assert_eq!(edge.open(), 1);
    edge.accept();
    edge.wait(SECOND + 600 * MILLI);
    assert!(edge.events.contains(&EventKind::PressureEnded));
}

/// A release, a zone out of service, or machines that died are no lack of room.
#[test]
fn other_reasons_are_no_pause() {
    for reason in [
        DeclineReason::Draining,
        DeclineReason::Evacuated,
        DeclineReason::NoBackend,
        DeclineReason::Returned,
        DeclineReason::Failing,
    ] {
        let mut edge = Edge::new();
        edge.open();
        edge.decline_all(reason, 0);
        edge.open();
        edge.decline_all(DeclineReason::Unspecified, 0);
        assert!(
            !edge.events.contains(&EventKind::ServicePressed),
            "{reason:?}"
        );
    }
}

/// A burst presses a service whose back ends are warm: whoever waits there finds the next
/// place, and more that wait would do so in vain.
#[test]
fn flows_that_wait_at_warm_back_ends_show_that_there_is_no_room() {
    let mut edge = Edge::new();
    for _ in 0..3 {
        assert_eq!(edge.open(), 1);
        edge.let_wait(warm());
    }
    assert_eq!(edge.questions(15), 0);
    assert!(edge.events.contains(&EventKind::ServicePressed));
}

/// After an outage callers come to back ends that are cold, and will soon work faster, or
/// to agents that have just started.
#[test]
fn flows_that_wait_after_an_outage_are_no_pause() {
    let cold = LoadMessage {
        cold: true,
        ..warm()
    };
    let just_started = LoadMessage {
        processing_micros: 0,
        ..warm()
    };
    for load in [cold, just_started] {
        let mut edge = Edge::new();
        for _ in 0..50 {
            assert_eq!(edge.open(), 1);
            edge.let_wait(load);
        }
        assert!(!edge.events.contains(&EventKind::ServicePressed));
    }
}

/// One agent of a large service has a queue while others have room.
#[test]
fn flows_that_wait_between_others_that_are_taken_are_no_pause() {
    let mut edge = Edge::new();
    for _ in 0..10 {
        for _ in 0..2 {
            assert_eq!(edge.open(), 1);
            edge.let_wait(warm());
        }
        assert_eq!(edge.open(), 1);
        edge.accept();
    }
    assert!(!edge.events.contains(&EventKind::ServicePressed));
}

/// All agents are silent for two seconds.
#[test]
fn silence_is_no_pause() {
    let mut edge = Edge::new();
    for _ in 0..200 {
        edge.open();
        edge.wait(10 * MILLI);
    }
    assert!(!edge.events.contains(&EventKind::ServicePressed));
    assert!(edge.events.contains(&EventKind::AgentSuspected));
}

/// One agent says that it is idle and declines all, while others have room.
#[test]
fn an_agent_that_lies_low_is_not_asked_again_at_once() {
    let mut edge = Edge::new();
    edge.open();
    edge.decline_all(DeclineReason::Full, 0);
    edge.wait(25 * MILLI);
    edge.open();
    let (liar, flow) = edge.asked.pop().expect("asked");
    let declined = Declined {
        flow: flow.into(),
        reason: DeclineReason::Full.into(),
        load: load(0),
        expected_wait_micros: 0,
    };
    let body = PassThroughBody::Declined(declined);
    edge.world
        .balancer
        .handle_message(edge.world.now, liar, body);
    edge.drain();
    edge.asked.clear();
    edge.wait(40 * MILLI);
    edge.open();
    assert_ne!(edge.asked.pop().map(|(agent, _)| agent), Some(liar));
}

/// A link that is full delays the answers of all agents by a fifth of a second, and no
/// agent is at fault; agents that are silent are.
#[test]
fn answers_that_all_come_late_are_no_fault_of_the_agents() {
    let mut edge = Edge::new();
    for _ in 0..40 {
        edge.open();
        edge.wait(10 * MILLI);
        if edge.asked.len() > 20 {
            edge.asked.rotate_left(1);
            edge.accept();
        }
    }
    edge.events.clear();
    let before = edge.asked.len();
    for _ in 0..40 {
        edge.open();
        edge.wait(5 * MILLI);
        edge.asked.rotate_left(1);
        edge.accept();
    }
    assert!(!edge.events.contains(&EventKind::AgentSuspected));
    assert_eq!(edge.asked.len(), before, "nobody else was asked");
}

/// Under pressure one agent is asked. If it is gone, its silence says nothing of the room
/// at others.
#[test]
fn under_pressure_another_agent_is_asked_for_one_that_is_silent() {
    let mut edge = Edge::new();
    edge.open();
    edge.decline_all(DeclineReason::Full, 0);
    edge.wait(25 * MILLI);
    edge.resets = 0;
    assert_eq!(edge.open(), 1);
    edge.wait(100 * MILLI);
    assert!(edge.asked.len() >= 2, "{} asked", edge.asked.len());
    assert_eq!(edge.resets, 0);
}
