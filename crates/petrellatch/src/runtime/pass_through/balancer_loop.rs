//! The event loop of a balancer.

use std::net::SocketAddrV4;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    KnownReplicas, PacketCodec, PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput,
};
use petrellatch_core::{EventKind, Timestamp};
use std::time::Duration;

use crate::error::ProgramError;
use crate::http::EventServer;
use crate::runtime::datagram_socket::{Batch, DatagramSocket};

use super::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
use super::event_loop::{
    EventLoop, FIRST_CONNECTION, HTTP, MAX_CONNECTIONS, MESSAGES, PACKETS, serve_requests,
};
use super::message_socket::MessageSocket;
use super::metrics::balancer_metrics;
use super::settings::{BalancerRoleSettings, PassThroughSettings};
use super::settings_watcher::SettingsWatcher;

/// Interval between polls of the replicas for updates.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a stopping balancer goes on forwarding packets: until routers that check
/// its readiness twice a second have seen two checks fail. With a longer delay the
/// stops of balancers that are stopped one after the other would overlap. The delay is
/// limited to half of the stop timeout.
const STOP_DELAY: Duration = Duration::from_millis(1_150);
/// Size of the system's receive buffer for packets, in bytes.
const PACKET_BUFFER_BYTES: usize = 1024 * 1024;
/// Maximum size of a request body, in bytes.
const BODY_BYTES: usize = 4 * 1024;

pub(super) fn run<C: PacketCodec, T: ApiTranslator>(
    watcher: SettingsWatcher,
    settings: PassThroughSettings,
    role: &BalancerRoleSettings,
    codec: C,
    translator: T,
) -> Result<(), ProgramError> {
    let mut event_loop = EventLoop::new(watcher, &settings.name)?;
    let registry = event_loop.poll.registry();
    let mut messages = MessageSocket::open(settings.message_address, registry, MESSAGES)?;
    let mut packets = DatagramSocket::open(role.packet_address, "packets", PACKET_BUFFER_BYTES)?;
    packets.register(registry, PACKETS)?;
    let mut http = EventServer::open(
        role.readiness_address,
        registry,
        HTTP,
        FIRST_CONNECTION,
        MAX_CONNECTIONS,
        BODY_BYTES,
    )?;
    let now = event_loop.clock.now();
    let mut balancer = PassThroughBalancer::new(
        now,
        balancer_settings(&settings, role),
        codec,
        Incarnation(rand::random()),
        KnownReplicas::new(settings.seeds.clone()),
    );
    event_loop
        .log
        .write_always(now, EventKind::ProcessStarted, "balancer");
    let mut has_backlog = false;
    while !balancer.is_stopped() {
        let wakeup = event_loop.wait(balancer.poll_timeout(), has_backlog)?;
        let now = event_loop.clock.now();
        if wakeup.begin_stop {
            balancer.begin_stop(now);
        }
        if let Some(settings) = wakeup.settings {
            balancer.known_replicas_mut().set_seeds(settings.seeds);
        }
        let from_messages = messages.receive(|from, body| balancer.handle_message(now, from, body));
        let from_packets = packets.receive_batch(|_, packet| balancer.handle_packet(now, packet));
        has_backlog = from_messages == Batch::Full || from_packets == Batch::Full;
        for token in wakeup.tokens {
            let received = http.handle_event(now, event_loop.poll.registry(), token);
            let metrics = || balancer_metrics(&balancer);
            serve_requests(
                now,
                &mut http,
                &translator,
                received,
                metrics,
                |_, request| Some(handle_request(now, &balancer, &request)),
            );
        }
        if wakeup.expire_connections {
            http.expire(now);
        }
        if balancer.poll_timeout() <= now {
            balancer.handle_timeout(now);
        }
        while let Some(output) = balancer.poll_output() {
            match output {
                PassThroughOutput::Send { to, body } => messages.send(to, body),
                PassThroughOutput::ToCaller { address, packet } => {
                    let port = role.packet_address.port();
                    packets.send(SocketAddrV4::new(address, port), &packet);
                }
                PassThroughOutput::Event(event) => event_loop.log.write(now, &event),
                PassThroughOutput::ToBackend(_) => {}
            }
        }
        event_loop.note_ready(balancer.is_ready(now), || {
            format!("version={}", balancer.version())
        });
    }
    let counters = format!(
        "{:?} malformed={}",
        balancer.counters(),
        messages.malformed()
    );
    let now = event_loop.clock.now();
    event_loop
        .log
        .write_always(now, EventKind::ProcessStopped, counters);
    Ok(())
}

fn handle_request<C: PacketCodec>(
    now: Timestamp,
    balancer: &PassThroughBalancer<C>,
    request: &ApiRequest,
) -> ApiResponse {
    match request {
        ApiRequest::Readiness => ApiResponse::Readiness {
            ready: balancer.is_ready(now),
        },
        _ => ApiResponse::NotServed,
    }
}

fn balancer_settings(
    settings: &PassThroughSettings,
    role: &BalancerRoleSettings,
) -> PassThroughBalancerSettings {
    PassThroughBalancerSettings {
        zone: settings.zone.clone(),
        subscribe_interval: SUBSCRIBE_INTERVAL,
        flow_ttl: settings.flow_ttl,
        stop_delay: STOP_DELAY.min(settings.stop_timeout / 2),
        link_bytes_per_second: role.link_bytes_per_second,
    }
}
