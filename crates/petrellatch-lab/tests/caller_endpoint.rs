//! The caller's endpoint against a server over an impaired link, on a virtual
//! clock.

mod support;

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_lab::caller::{CallerEndpoint, CallerState, ReadStatus};
use petrellatch_lab::fabric::impairment::{
    Direction, ImpairedPacket, Impairment, ImpairmentSettings,
};
use petrellatch_lab::fabric::packet::reset_for;
use support::server_flow::{Behaviour, Observations, ServerFlow};

const STEP: Duration = Duration::from_millis(1);
const PATIENCE: Timestamp = Timestamp::from_millis(120_000);

fn caller_address() -> SocketAddrV4 {
    "10.128.0.1:40000".parse().unwrap()
}

fn service_address() -> SocketAddrV4 {
    "10.0.0.1:80".parse().unwrap()
}

fn endpoint(seed: u64) -> CallerEndpoint {
    CallerEndpoint::new(Timestamp::ZERO, seed, caller_address(), service_address())
}

/// How an exchange went.
#[derive(Debug, PartialEq, Eq)]
struct Exchange {
    received: Vec<u8>,
    state: CallerState,
    ended: Timestamp,
}

const IMPAIRED: ImpairmentSettings = ImpairmentSettings {
    loss: 0.02,
    duplicate: 0.05,
    reorder: 0.2,
    delay: Duration::from_millis(1),
};

/// Sends `sent` to an echoing server, closes, and reads to the end.
fn exchange(seed: u64, settings: ImpairmentSettings, sent: &[u8]) -> Exchange {
    let mut link = Impairment::new(settings, seed);
    let mut caller = endpoint(seed);
    let mut server = ServerFlow::new(Timestamp::ZERO, service_address());
    let mut unsent = sent;
    let mut received = Vec::new();
    let mut now = Timestamp::ZERO;
    while now < PATIENCE && !caller.state().is_final() {
        now = now + STEP;
        while let Some(ImpairedPacket { direction, packet }) = link.poll_packet(now) {
            match direction {
                Direction::ToBalancer => server.handle_packet(&packet),
                Direction::ToCaller => caller.handle_packet(now, &packet),
            }
        }
        server.advance(now, Behaviour::Echo, &Observations::default());
        unsent = &unsent[caller.write(unsent)..];
        if unsent.is_empty() && caller.state() == CallerState::Connected {
            caller.close();
        }
        let mut buffer = [0; 4096];
        while let ReadStatus::Bytes(length) = caller.read(&mut buffer) {
            received.extend_from_slice(&buffer[..length]);
        }
        let outgoing = std::iter::from_fn(|| caller.poll_packet(now));
        let packets: Vec<_> = outgoing
            .map(|packet| (Direction::ToBalancer, packet))
            .collect();
        let answers = std::iter::from_fn(|| server.pop_packet());
        let answers = answers.map(|packet| (Direction::ToCaller, packet));
        for (direction, packet) in packets.into_iter().chain(answers) {
            link.handle_packet(now, ImpairedPacket { direction, packet });
        }
    }
    Exchange {
        received,
        state: caller.state(),
        ended: now,
    }
}

#[test]
fn impaired_exchanges_are_whole() {
    let sent: Vec<u8> = (0..60_000_u32).map(|i| (i * 31) as u8).collect();
    for seed in 0..400 {
        let result = exchange(seed, IMPAIRED, &sent);
        assert_eq!(result.state, CallerState::Finished, "seed {seed}");
        assert!(result.received == sent, "seed {seed}: wrong bytes");
    }
}

#[test]
fn same_seed_gives_the_same_exchange() {
    assert_eq!(
        exchange(7, IMPAIRED, &[1; 20_000]),
        exchange(7, IMPAIRED, &[1; 20_000])
    );
}

#[test]
fn reset_of_the_syn_is_a_refusal() {
    let mut caller = endpoint(1);
    let syn = caller.poll_packet(Timestamp::ZERO).unwrap();
    let reset = reset_for(&syn).unwrap();
    caller.handle_packet(Timestamp::from_millis(1), &reset);
    assert_eq!(caller.state(), CallerState::Refused);
    assert_eq!(caller.read(&mut [0]), ReadStatus::Failed);
    assert_eq!(caller.poll_packet(Timestamp::from_millis(1)), None);
}

/// Runs the handshake and returns both ends.
fn connected() -> (CallerEndpoint, ServerFlow) {
    let mut caller = endpoint(1);
    let mut server = ServerFlow::new(Timestamp::ZERO, service_address());
    for _ in 0..2 {
        pass_packets(&mut caller, &mut server);
    }
    assert_eq!(caller.state(), CallerState::Connected);
    (caller, server)
}

fn pass_packets(caller: &mut CallerEndpoint, server: &mut ServerFlow) {
    let now = Timestamp::from_millis(1);
    while let Some(packet) = caller.poll_packet(now) {
        server.handle_packet(&packet);
    }
    server.advance(now, Behaviour::Echo, &Observations::default());
    while let Some(packet) = server.pop_packet() {
        caller.handle_packet(now, &packet);
    }
}

#[test]
fn reset_after_the_handshake_is_a_reset() {
    let (mut caller, _server) = connected();
    let now = Timestamp::from_millis(2);
    assert_eq!(caller.write(b"request"), 7);
    let segment = caller.poll_packet(now).unwrap();
    caller.handle_packet(now, &reset_for(&segment).unwrap());
    assert_eq!(caller.state(), CallerState::Reset);
}

#[test]
fn abort_sends_one_reset() {
    let (mut caller, mut server) = connected();
    assert_eq!(caller.write(b"request"), 7);
    pass_packets(&mut caller, &mut server);
    caller.abort();
    assert_eq!(caller.state(), CallerState::Aborted);
    let now = Timestamp::from_millis(2);
    let reset = caller.poll_packet(now).unwrap();
    assert_eq!(reset_for(&reset), None, "the packet is no RST");
    assert_eq!(caller.poll_packet(now), None);
}

#[test]
fn silent_peer_is_given_up_but_an_idle_flow_is_not() {
    let hour = Timestamp::from_millis(3_600_000);
    let mut unanswered = endpoint(1);
    while let Some(now) = unanswered.poll_timeout(Timestamp::ZERO) {
        assert!(now < hour);
        while unanswered.poll_packet(now).is_some() {}
        if unanswered.state().is_final() {
            break;
        }
    }
    assert_eq!(unanswered.state(), CallerState::TimedOut);

    let (mut idle, _server) = connected();
    while idle.poll_packet(hour).is_some() {}
    assert_eq!(idle.state(), CallerState::Connected);
}

#[test]
fn closing_before_the_handshake_waits_for_it() {
    let mut caller = endpoint(1);
    caller.close();
    assert_eq!(caller.state(), CallerState::Connecting);
    let mut server = ServerFlow::new(Timestamp::ZERO, service_address());
    for _ in 0..4 {
        pass_packets(&mut caller, &mut server);
    }
    assert_eq!(caller.state(), CallerState::Finished);
    assert_eq!(caller.read(&mut [0]), ReadStatus::EndOfStream);
}

#[test]
fn foreign_and_damaged_packets_change_nothing() {
    let (mut caller, _server) = connected();
    let now = Timestamp::from_millis(2);
    for packet in [&[][..], &[0x45; 20], &[0xff; 60]] {
        caller.handle_packet(now, packet);
        assert_eq!(caller.state(), CallerState::Connected);
    }
}
