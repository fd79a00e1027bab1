//! The event loop of an agent.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    KnownReplicas, PacketCodec, PassThroughAgent, PassThroughAgentSettings, PassThroughOutput,
};
use petrellatch_core::{Event, EventKind, Timestamp};

use crate::error::ProgramError;
use crate::http::{EventServer, ReceivedRequest};
use crate::runtime::datagram_socket::{Batch, ConnectedDatagramSocket, DatagramSocket};

use super::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
use super::event_loop::{
    EventLoop, FIRST_CONNECTION, HTTP, MAX_CONNECTIONS, MESSAGES, PACKETS, PendingRequest,
    REFUSALS, SECOND_HTTP, SECOND_HTTP_FIRST_CONNECTION, serve_requests,
};
use super::message_socket::MessageSocket;
use super::metrics::agent_metrics;
use super::settings::{AgentRoleSettings, PassThroughSettings};
use super::settings_watcher::SettingsWatcher;

/// Interval between reports to the replica group.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of registration intervals without a registration after which a back end
/// counts as silent and gets no new flows.
const MISSED_REGISTRATIONS: u32 = 5;
/// Number of registration intervals after its start in which an agent admits flows
/// before the first registration, if packets show that its back end runs.
const PROVISIONAL_REGISTRATIONS: u32 = 2;
/// Maximum number of requests per slot of the back end if all agents are full. It is
/// used while the processing time or the latency objective is not known.
const DEFAULT_REQUESTS_PER_SLOT: u32 = 2;
/// How long a stopping agent waits for its open flows; limited to half of the stop
/// timeout.
const STOP_DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Size of the system's receive buffer for packets, in bytes.
const PACKET_BUFFER_BYTES: usize = 1024 * 1024;
/// Maximum size of a request body, in bytes.
const BODY_BYTES: usize = 16 * 1024;

/// A departure of the back end that isn't acknowledged yet.
struct PendingDeparture {
    /// Index of the HTTP server that received it.
    server: usize,
    request: PendingRequest,
}

impl PendingDeparture {
    /// Responds to the back end. Returns the next request on its connection, if it has arrived.
    fn acknowledge<T: ApiTranslator>(
        self,
        now: Timestamp,
        http: &mut EventServer,
        translator: &T,
    ) -> Option<ReceivedRequest> {
        let PendingRequest {
            connection,
            request,
        } = self.request;
        let response = translator.translate_response(&request, &ApiResponse::Registered);
        http.respond(now, connection, &response)
    }
}

pub(super) fn run<C: PacketCodec, T: ApiTranslator>(
    watcher: SettingsWatcher,
    settings: PassThroughSettings,
    role: &AgentRoleSettings,
    codec: C,
    translator: T,
) -> Result<(), ProgramError> {
    let mut event_loop = EventLoop::new(watcher, &settings.name)?;
    let registry = event_loop.poll.registry();
    let mut messages = MessageSocket::open(settings.message_address, registry, MESSAGES)?;
    let packet_address = role.backend_packet_address;
    let mut packets = DatagramSocket::open(packet_address, "packets", PACKET_BUFFER_BYTES)?;
    packets.register(registry, PACKETS)?;
    // Without this socket the agent works too, but doesn't notice that its back end has ended.
    let mut refusals = ConnectedDatagramSocket::open(
        *packet_address.ip(),
        role.backend_address,
        registry,
        REFUSALS,
    )
    .ok();
    let open_http = |address, token, first| {
        EventServer::open(address, registry, token, first, MAX_CONNECTIONS, BODY_BYTES)
    };
    let mut http = vec![open_http(
        role.registration_address,
        HTTP,
        FIRST_CONNECTION,
    )?];
    if let Some(readiness) = role.readiness_address {
        http.push(open_http(
            readiness,
            SECOND_HTTP,
            SECOND_HTTP_FIRST_CONNECTION,
        )?);
    }
    let now = event_loop.clock.now();
    let mut agent = PassThroughAgent::new(
        now,
        agent_settings(&settings, role),
        codec,
        Incarnation(rand::random()),
        KnownReplicas::new(settings.seeds.clone()),
    );
    let subject = format!("agent first_start={}", role.first_start);
    event_loop
        .log
        .write_always(now, EventKind::ProcessStarted, subject);
    let mut has_backlog = false;
    let mut departures: VecDeque<PendingDeparture> = VecDeque::new();
    // Requests that arrived behind a departure on the same connection, by server.
    let mut pipelined: Vec<Vec<ReceivedRequest>> = vec![Vec::new(); http.len()];
    while !agent.is_stopped() {
        let has_requests = pipelined.iter().any(|requests| !requests.is_empty());
        let wakeup = event_loop.wait(agent.poll_timeout(), has_backlog || has_requests)?;
        let now = event_loop.clock.now();
        if let Some(settings) = wakeup.settings {
            agent.known_replicas_mut().set_seeds(settings.seeds);
        }
        if wakeup.tokens.contains(&REFUSALS)
            && let Some(refusals) = &mut refusals
        {
            refusals.read_error();
        }
        for (server, http) in http.iter_mut().enumerate() {
            let mut received = std::mem::take(&mut pipelined[server]);
            for token in &wakeup.tokens {
                received.extend(http.handle_event(now, event_loop.poll.registry(), *token));
            }
            let agent = RefCell::new(&mut agent);
            let metrics = || agent_metrics(&agent.borrow(), now);
            let handle = |received: &_, request| {
                let response = handle_request(now, &mut agent.borrow_mut(), request);
                if response.is_none() {
                    let request = PendingRequest::new(received);
                    departures.push_back(PendingDeparture { server, request });
                }
                response
            };
            for refusal in serve_requests(now, http, &translator, received, metrics, handle) {
                let event = Event::new(EventKind::RegistrationRefused, refusal);
                event_loop.log.write(now, &event);
            }
        }
        if refusals
            .as_mut()
            .is_some_and(ConnectedDatagramSocket::take_refusal)
        {
            agent.handle_refused_packet(now);
        }
        if wakeup.begin_stop {
            agent.begin_stop(now);
        }
        let from_messages = messages.receive(|from, body| agent.handle_message(now, from, body));
        let from_packets =
            packets.receive_batch(|_, packet| agent.handle_backend_packet(now, packet));
        has_backlog = from_messages == Batch::Full || from_packets == Batch::Full;
        if wakeup.expire_connections {
            http.iter_mut().for_each(|http| http.expire(now));
        }
        if agent.poll_timeout() <= now {
            agent.handle_timeout(now);
        }
        if agent.departures_are_saved() {
            for departure in departures.drain(..) {
                let server = departure.server;
                let next = departure.acknowledge(now, &mut http[server], &translator);
                pipelined[server].extend(next);
            }
        }
        // Back ends that have waited for longer have disconnected.
        while departures.len() > MAX_CONNECTIONS {
            departures.pop_front();
        }
        while let Some(output) = agent.poll_output() {
            match output {
                PassThroughOutput::Send { to, body } => messages.send(to, body),
                PassThroughOutput::ToBackend(packet) => match &mut refusals {
                    Some(refusals) if agent.awaits_backend_refusal() => refusals.send(&packet),
                    _ => {
                        packets.send(role.backend_address, &packet);
                    }
                },
                PassThroughOutput::ToCaller { address, packet } => {
                    packets.send(SocketAddrV4::new(address, role.caller_port), &packet);
                }
                PassThroughOutput::Event(event) => event_loop.log.write(now, &event),
            }
        }
    }
    let now = event_loop.clock.now();
    event_loop
        .log
        .write_always(now, EventKind::ProcessStopped, "agent");
    Ok(())
}

/// Handles a request. Returns `None` if it is a departure, which is acknowledged once
/// [`PassThroughAgent::departures_are_saved`] holds.
fn handle_request<C: PacketCodec>(
    now: Timestamp,
    agent: &mut PassThroughAgent<C>,
    request: ApiRequest,
) -> Option<ApiResponse> {
    let response = match request {
        ApiRequest::Readiness => ApiResponse::Readiness {
            ready: agent.is_ready(),
        },
        ApiRequest::Register(registration) => match agent.handle_registration(now, &registration) {
            Ok(()) if registration.draining => return None,
            Ok(()) => ApiResponse::Registered,
            Err(refusal) => ApiResponse::RegistrationRefused(refusal),
        },
        ApiRequest::Deregister { id } => {
            agent.handle_deregistration(now, &id);
            return None;
        }
        ApiRequest::Replace(_)
        | ApiRequest::Read
        | ApiRequest::SetZoneEvacuated { .. }
        | ApiRequest::Policies(_) => ApiResponse::NotServed,
    };
    Some(response)
}

fn agent_settings(
    settings: &PassThroughSettings,
    role: &AgentRoleSettings,
) -> PassThroughAgentSettings {
    PassThroughAgentSettings {
        address: settings.message_address,
        zone: settings.zone.clone(),
        service: role.service.clone(),
        first_start: role.first_start,
        report_interval: REPORT_INTERVAL,
        silence_timeout: role.registration_interval * MISSED_REGISTRATIONS,
        provisional_timeout: role.registration_interval * PROVISIONAL_REGISTRATIONS,
        flow_ttl: settings.flow_ttl,
        default_requests_per_slot: DEFAULT_REQUESTS_PER_SLOT,
        stop_timeout: STOP_DRAIN_TIMEOUT.min(settings.stop_timeout / 2),
        warm_up_bounds: role.warm_up_bounds,
        flow_record: role.flow_record,
    }
}
