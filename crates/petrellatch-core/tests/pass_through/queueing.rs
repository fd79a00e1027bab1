//! How many requests an agent lets wait for its back end.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowRecordSettings, KnownReplicas, PacketCodec, PacketView, PassThroughAgent,
    PassThroughAgentSettings, PassThroughOutput, Registration, service_digest,
};
use petrellatch_proto::pass_through::{ForwardReason, ForwardedPacket, PassThroughBody};

use super::codec::{TestCodec, empty, encode};
use super::world::WARM_UP_BOUNDS;

const SERVICE: &str = "desk";
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);
pub const SLOTS: u32 = 3;

pub struct LoadedAgent {
    pub now: Timestamp,
    pub agent: PassThroughAgent<TestCodec>,
    next_port: u16,
    /// What balancers say of the route and the caller with opening packets.
    pub offer_template: ForwardedPacket,
    pub balancer: SocketAddrV4,
    /// What the agent has answered to balancers, until it is taken.
    pub replies: Vec<PassThroughBody>,
    /// Callers whose opening packets reached the back end, until it answers them.
    reached: Vec<SocketAddrV4>,
}

impl LoadedAgent {
    /// An agent whose back end has answered some requests after `work`.
    pub fn new(work: Duration) -> LoadedAgent {
        let mut desk = LoadedAgent::without_responses();
        for _ in 0..30 {
            let flow = desk
                .request(0, ForwardReason::Open)
                .expect("slots are free");
            desk.now = desk.now + work;
            desk.respond(flow);
        }
        desk
    }

    /// An agent whose back end has answered nothing yet.
    pub fn without_responses() -> LoadedAgent {
        let now = Timestamp::from_millis(1_000);
        let settings = PassThroughAgentSettings {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000),
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_limit: Duration::from_secs(600),
            provisional_timeout: Duration::from_secs(2),
            flow_lifetime: Duration::from_secs(60),
            queue_factor: 2,
            stop_timeout: Duration::from_secs(2),
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let contacts = KnownReplicas::new(Vec::new());
        let mut agent = PassThroughAgent::new(now, settings, TestCodec, Incarnation(1), contacts);
        let call = Registration {
            id: "backend-1".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: None,
            sequence: 1,
            slots: SLOTS,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let taken = agent.handle_registration(now, &call);
        taken.expect("it is of the agent's service");
        LoadedAgent {
            now,
            agent,
            next_port: 1,
            offer_template: ForwardedPacket::default(),
            balancer: BALANCER,
            replies: Vec::new(),
            reached: Vec::new(),
        }
    }

    /// Offers a flow with a request; returns it if it was taken.
    pub fn request(
        &mut self,
        objective_millis: u32,
        reason: ForwardReason,
    ) -> Option<SocketAddrV4> {
        self.next_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.next_port);
        let opening = PacketView {
            syn: true,
            ..empty(caller, ROUTE)
        };
        self.outputs();
        self.carry(&opening, reason, objective_millis);
        self.outputs();
        let place = self.reached.iter().position(|reached| *reached == caller)?;
        self.reached.remove(place);
        self.accept(caller);
        Some(caller)
    }

    /// The back end takes a flow, and its caller sends a request.
    fn accept(&mut self, caller: SocketAddrV4) {
        let answer = PacketView {
            syn: true,
            ack: true,
            ..empty(ROUTE, caller)
        };
        self.agent.handle_backend_packet(self.now, &encode(&answer));
        let request = PacketView {
            ack: true,
            data_bytes: 50,
            ..empty(caller, ROUTE)
        };
        self.carry(&request, ForwardReason::Deliver, 0);
    }

    /// Flows that waited and reached the back end since it was last asked.
    pub fn take_dequeued(&mut self) -> Vec<SocketAddrV4> {
        self.outputs();
        let reached = std::mem::take(&mut self.reached);
        for caller in &reached {
            self.accept(*caller);
        }
        reached
    }

    pub fn latest_caller(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.next_port)
    }

    fn outputs(&mut self) -> Vec<PassThroughOutput> {
        let outputs: Vec<PassThroughOutput> =
            std::iter::from_fn(|| self.agent.poll_output()).collect();
        let told = outputs.iter().filter_map(|output| match output {
            PassThroughOutput::Send { body, .. } => Some(body.clone()),
            _ => None,
        });
        self.replies.extend(told);
        let reached = outputs.iter().filter_map(|output| match output {
            PassThroughOutput::ToBackend(packet) => TestCodec.view(packet),
            _ => None,
        });
        let opened = reached.filter(PacketView::is_syn);
        self.reached.extend(opened.map(|view| view.source));
        outputs
    }

    pub fn respond(&mut self, caller: SocketAddrV4) {
        let answer = PacketView {
            ack: true,
            data_bytes: 500,
            ..empty(ROUTE, caller)
        };
        self.agent.handle_backend_packet(self.now, &encode(&answer));
    }

    /// The back end ends a flow; its packet may overtake those of the answer.
    fn end(&mut self, caller: SocketAddrV4) {
        let end = PacketView {
            ack: true,
            fin: true,
            ..empty(ROUTE, caller)
        };
        self.agent.handle_backend_packet(self.now, &encode(&end));
    }

    fn carry(&mut self, view: &PacketView, reason: ForwardReason, objective_millis: u32) {
        let carry = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(view),
            latency_objective_millis: objective_millis,
            ..self.offer_template.clone()
        };
        let body = PassThroughBody::ForwardedPacket(carry);
        self.agent.handle_message(self.now, self.balancer, body);
    }

    /// Requests that are taken until one is declined.
    pub fn fill(&mut self, objective_millis: u32) -> u32 {
        let mut taken = 0;
        while self
            .request(objective_millis, ForwardReason::OpenQueued)
            .is_some()
        {
            taken += 1;
        }
        taken
    }
}

#[test]
fn as_many_requests_wait_as_are_likely_to_meet_their_objective() {
    // Three slots, and 0.6 of the objective for waiting and work.
    for (work_millis, objective_millis, expected) in [
        (49, 250, 9),
        (55, 210, 6),
        (88, 250, 5),
        (300, 250, 3),
        (1, 60_000, 12),
        (50, 0, 6),
    ] {
        let mut desk = LoadedAgent::new(Duration::from_millis(work_millis));
        let taken = desk.fill(objective_millis);
        assert_eq!(
            taken, expected,
            "{work_millis} ms of work, objective {objective_millis} ms"
        );
    }
}

#[test]
fn a_back_end_that_turns_slow_gets_a_shorter_queue() {
    let mut desk = LoadedAgent::new(Duration::from_millis(40));
    for _ in 0..60 {
        let flow = desk
            .request(0, ForwardReason::Open)
            .expect("slots are free");
        desk.now = desk.now + Duration::from_millis(200);
        desk.respond(flow);
    }
    assert_eq!(desk.fill(250), SLOTS);
}

#[test]
fn requests_that_waited_say_nothing_about_the_work() {
    let mut desk = LoadedAgent::new(Duration::from_millis(50));
    let mut flows = Vec::new();
    for _ in 0..SLOTS * 2 {
        flows.extend(desk.request(250, ForwardReason::OpenQueued));
    }
    desk.now = desk.now + Duration::from_millis(50);
    for flow in flows.drain(..SLOTS as usize) {
        desk.respond(flow);
    }
    desk.now = desk.now + Duration::from_millis(50);
    for flow in flows {
        desk.respond(flow);
    }
    assert_eq!(desk.fill(260), SLOTS * 3, "work is still 50 ms");
}

#[test]
fn a_back_end_that_turns_slow_while_it_is_full_gets_a_shorter_queue() {
    let mut desk = LoadedAgent::new(Duration::from_millis(10));
    let mut inside: VecDeque<SocketAddrV4> = VecDeque::new();
    for _ in 0..30 {
        while let Some(flow) = desk.request(250, ForwardReason::OpenQueued) {
            inside.push_back(flow);
        }
        desk.now = desk.now + Duration::from_millis(100);
        let done: Vec<SocketAddrV4> = inside.drain(..SLOTS as usize).collect();
        for flow in done {
            desk.respond(flow);
        }
        // Those that found the queue full waited for a place.
        inside.extend(desk.take_dequeued());
    }
    let left = inside.len() as u32;
    assert_eq!(left + desk.fill(250), SLOTS + 1, "work is 100 ms by now");
}

#[test]
fn the_end_of_an_answer_that_overtakes_it_tells_the_time_of_work() {
    let mut desk = LoadedAgent::new(Duration::from_millis(10));
    for _ in 0..60 {
        let flow = desk
            .request(0, ForwardReason::Open)
            .expect("slots are free");
        desk.now = desk.now + Duration::from_millis(100);
        desk.end(flow);
        desk.respond(flow);
    }
    assert_eq!(desk.fill(250), SLOTS + 1, "work is 100 ms by now");
}
