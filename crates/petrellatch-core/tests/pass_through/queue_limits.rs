//! Queue limits: how many requests an agent lets queue at its back end.

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
use super::world::{REPLICA, WARM_UP_BOUNDS, no_departures};

const SERVICE: &str = "desk";
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);
pub const SLOTS: u32 = 3;

pub struct LoadedAgent {
    pub now: Timestamp,
    pub agent: PassThroughAgent<TestCodec>,
    next_port: u16,
    /// Fields of the offers, such as priority and deadline.
    pub offer_template: ForwardedPacket,
    pub balancer: SocketAddrV4,
    /// Messages that the agent sent to balancers, until they are taken.
    pub replies: Vec<PassThroughBody>,
    /// Callers whose SYNs reached the back end, until it accepts them.
    reached: Vec<SocketAddrV4>,
}

impl LoadedAgent {
    /// An agent whose back end has responded to some requests, after `processing_time` each.
    pub fn new(processing_time: Duration) -> LoadedAgent {
        let mut loaded = LoadedAgent::without_responses();
        for _ in 0..30 {
            let flow = loaded
                .request(0, ForwardReason::Open)
                .expect("slots are free");
            loaded.now = loaded.now + processing_time;
            loaded.respond(flow);
        }
        loaded
    }

    /// An agent whose back end has sent no response yet.
    pub fn without_responses() -> LoadedAgent {
        let now = Timestamp::from_millis(1_000);
        let settings = PassThroughAgentSettings {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000),
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(600),
            provisional_timeout: Duration::from_secs(2),
            flow_ttl: Duration::from_secs(60),
            default_requests_per_slot: 2,
            stop_timeout: Duration::from_secs(2),
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let known_replicas = KnownReplicas::new(Vec::new());
        let mut agent =
            PassThroughAgent::new(now, settings, TestCodec, Incarnation(1), known_replicas);
        let body = PassThroughBody::GroupStatus(no_departures(REPLICA, 1));
        agent.handle_message(now, REPLICA, body);
        let registration = Registration {
            id: "backend-1".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: None,
            sequence: 1,
            slots: SLOTS,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let accepted = agent.handle_registration(now, &registration);
        accepted.expect("the registration is for the agent's service");
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

    /// Offers a flow with a request. Returns the caller if the flow was admitted.
    pub fn request(
        &mut self,
        objective_millis: u32,
        reason: ForwardReason,
    ) -> Option<SocketAddrV4> {
        self.next_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.next_port);
        let syn = PacketView {
            syn: true,
            ..empty(caller, ROUTE)
        };
        self.outputs();
        self.forward(&syn, reason, objective_millis);
        self.outputs();
        let position = self.reached.iter().position(|reached| *reached == caller)?;
        self.reached.remove(position);
        self.accept(caller);
        Some(caller)
    }

    /// The back end accepts a flow, and the caller sends its request.
    fn accept(&mut self, caller: SocketAddrV4) {
        let syn_ack = PacketView {
            syn: true,
            ack: true,
            ..empty(ROUTE, caller)
        };
        self.agent
            .handle_backend_packet(self.now, &encode(&syn_ack));
        let request = PacketView {
            ack: true,
            data_bytes: 50,
            ..empty(caller, ROUTE)
        };
        self.forward(&request, ForwardReason::Deliver, 0);
    }

    /// Queued flows that were admitted since the last call.
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
        let replies = outputs.iter().filter_map(|output| match output {
            PassThroughOutput::Send { body, .. } => Some(body.clone()),
            _ => None,
        });
        self.replies.extend(replies);
        let reached = outputs.iter().filter_map(|output| match output {
            PassThroughOutput::ToBackend(packet) => TestCodec.view(packet),
            _ => None,
        });
        let opened = reached.filter(PacketView::is_syn);
        self.reached.extend(opened.map(|view| view.source));
        outputs
    }

    pub fn respond(&mut self, caller: SocketAddrV4) {
        let response = PacketView {
            ack: true,
            data_bytes: 500,
            ..empty(ROUTE, caller)
        };
        self.agent
            .handle_backend_packet(self.now, &encode(&response));
    }

    /// The back end closes a flow. The FIN may overtake packets of the response.
    fn close(&mut self, caller: SocketAddrV4) {
        let fin = PacketView {
            ack: true,
            fin: true,
            ..empty(ROUTE, caller)
        };
        self.agent.handle_backend_packet(self.now, &encode(&fin));
    }

    fn forward(&mut self, view: &PacketView, reason: ForwardReason, objective_millis: u32) {
        let forwarded = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(view),
            latency_objective_millis: objective_millis,
            ..self.offer_template.clone()
        };
        let body = PassThroughBody::ForwardedPacket(forwarded);
        self.agent.handle_message(self.now, self.balancer, body);
    }

    /// Offers flows until one isn't admitted at once. Returns the number of admitted ones.
    pub fn fill(&mut self, objective_millis: u32) -> u32 {
        let mut admitted = 0;
        while self
            .request(objective_millis, ForwardReason::OpenQueued)
            .is_some()
        {
            admitted += 1;
        }
        admitted
    }
}

#[test]
fn as_many_requests_are_queued_as_are_likely_to_meet_their_objective() {
    // Three slots, and 0.6 of the latency objective for queueing and processing.
    for (processing_millis, objective_millis, expected) in [
        (49, 250, 9),
        (55, 210, 6),
        (88, 250, 5),
        (300, 250, 3),
        (1, 60_000, 12),
        (50, 0, 6),
    ] {
        let mut loaded = LoadedAgent::new(Duration::from_millis(processing_millis));
        let admitted = loaded.fill(objective_millis);
        assert_eq!(
            admitted, expected,
            "{processing_millis} ms of processing, objective {objective_millis} ms"
        );
    }
}

#[test]
fn a_back_end_that_becomes_slow_gets_a_shorter_queue() {
    let mut loaded = LoadedAgent::new(Duration::from_millis(40));
    for _ in 0..60 {
        let flow = loaded
            .request(0, ForwardReason::Open)
            .expect("slots are free");
        loaded.now = loaded.now + Duration::from_millis(200);
        loaded.respond(flow);
    }
    assert_eq!(loaded.fill(250), SLOTS);
}

#[test]
fn time_in_the_queue_does_not_count_as_processing_time() {
    let mut loaded = LoadedAgent::new(Duration::from_millis(50));
    let mut flows = Vec::new();
    for _ in 0..SLOTS * 2 {
        flows.extend(loaded.request(250, ForwardReason::OpenQueued));
    }
    loaded.now = loaded.now + Duration::from_millis(50);
    for flow in flows.drain(..SLOTS as usize) {
        loaded.respond(flow);
    }
    loaded.now = loaded.now + Duration::from_millis(50);
    for flow in flows {
        loaded.respond(flow);
    }
    assert_eq!(
        loaded.fill(260),
        SLOTS * 3,
        "the processing time is still 50 ms"
    );
}

#[test]
fn a_back_end_that_becomes_slow_while_it_is_full_gets_a_shorter_queue() {
    let mut loaded = LoadedAgent::new(Duration::from_millis(10));
    let mut in_flight: VecDeque<SocketAddrV4> = VecDeque::new();
    for _ in 0..30 {
        while let Some(flow) = loaded.request(250, ForwardReason::OpenQueued) {
            in_flight.push_back(flow);
        }
        loaded.now = loaded.now + Duration::from_millis(100);
        let done: Vec<SocketAddrV4> = in_flight.drain(..SLOTS as usize).collect();
        for flow in done {
            loaded.respond(flow);
        }
        // Flows that found the back end's queue full were in the admission queue.
        in_flight.extend(loaded.take_dequeued());
    }
    let left = in_flight.len() as u32;
    assert_eq!(
        left + loaded.fill(250),
        SLOTS + 1,
        "the processing time is 100 ms by now"
    );
}

#[test]
fn a_fin_that_overtakes_the_response_ends_the_processing_time() {
    let mut loaded = LoadedAgent::new(Duration::from_millis(10));
    for _ in 0..60 {
        let flow = loaded
            .request(0, ForwardReason::Open)
            .expect("slots are free");
        loaded.now = loaded.now + Duration::from_millis(100);
        loaded.close(flow);
        loaded.respond(flow);
    }
    assert_eq!(
        loaded.fill(250),
        SLOTS + 1,
        "the processing time is 100 ms by now"
    );
}
