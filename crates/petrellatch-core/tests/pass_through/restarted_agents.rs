//! Agents that restart while their back end continues to run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationOutput, FlowRecordSettings, KnownReplicas, PacketView,
    PassThroughAgent, PassThroughAgentSettings, PassThroughOutput, Registration,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    AgentState, DeclineReason, ForwardReason, ForwardedPacket, GroupStatus, PassThroughBody,
    pack_address,
};

use super::codec::{TestCodec, empty, encode};
use super::replica::start_replica;
use super::world::{WARM_UP_BOUNDS, no_departures};

const SERVICE: &str = "desk";
const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);
const PROVISIONAL_TIMEOUT: Duration = Duration::from_millis(2_000);

type Agent = PassThroughAgent<TestCodec>;

fn start_agent(now: Timestamp) -> Agent {
    start_agent_with(now, PROVISIONAL_TIMEOUT)
}

fn start_agent_with(now: Timestamp, provisional_timeout: Duration) -> Agent {
    let settings = PassThroughAgentSettings {
        address: AGENT,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start: false,
        report_interval: Duration::from_millis(500),
        silence_timeout: Duration::from_secs(6),
        provisional_timeout,
        flow_ttl: Duration::from_secs(60),
        default_requests_per_slot: 2,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record: FlowRecordSettings::default(),
    };
    let incarnation = Incarnation(now.as_micros());
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    let mut agent = PassThroughAgent::new(now, settings, TestCodec, incarnation, known_replicas);
    let body = PassThroughBody::GroupStatus(no_departures(REPLICA, incarnation.0));
    agent.handle_message(now, REPLICA, body);
    agent
}

fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port)
}

fn register(agent: &mut Agent, now: Timestamp, sequence: u64, draining: bool) {
    let registration = Registration {
        id: "backend-1".to_owned(),
        service: SERVICE.to_owned(),
        started_at_millis: None,
        sequence,
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        ..Registration::default()
    };
    let result = agent.handle_registration(now, &registration);
    result.expect("a registration for the agent's service");
}

/// Offers a new flow. Returns the reason of a decline, or `None` if the back end got the SYN.
fn open(agent: &mut Agent, now: Timestamp, port: u16) -> Option<DeclineReason> {
    offer(agent, now, port, ForwardReason::Open)
}

fn offer(
    agent: &mut Agent,
    now: Timestamp,
    port: u16,
    reason: ForwardReason,
) -> Option<DeclineReason> {
    let syn = PacketView {
        syn: true,
        ..empty(caller(port), ROUTE)
    };
    let forwarded = ForwardedPacket {
        service: petrellatch_core::pass_through::service_digest(SERVICE),
        reason: reason.into(),
        packet: encode(&syn),
        ..ForwardedPacket::default()
    };
    outputs(agent);
    agent.handle_message(now, BALANCER, PassThroughBody::ForwardedPacket(forwarded));
    for output in outputs(agent) {
        match output {
            PassThroughOutput::ToBackend(_) => return None,
            PassThroughOutput::Send {
                body: PassThroughBody::Declined(declined),
                ..
            } => return Some(declined.reason()),
            _ => {}
        }
    }
    panic!("the SYN was neither sent to the back end nor declined");
}

fn outputs(agent: &mut Agent) -> Vec<PassThroughOutput> {
    std::iter::from_fn(|| agent.poll_output()).collect()
}

/// The back end retransmits data of a flow that was open before the agent started.
fn send_backend_data(agent: &mut Agent, now: Timestamp) {
    let data = PacketView {
        ack: true,
        data_bytes: 100,
        ..empty(ROUTE, caller(9))
    };
    agent.handle_backend_packet(now, &encode(&data));
}

/// Sends the agent's reports to the replica, and the replica's messages to the agent.
fn exchange(agent: &mut Agent, replica: &mut ConfigurationNode, now: Timestamp) {
    if agent.poll_timeout() <= now {
        agent.handle_timeout(now);
    }
    for output in outputs(agent) {
        if let PassThroughOutput::Send { to, body } = output
            && to == REPLICA
        {
            replica.handle_message(now, AGENT, body);
        }
    }
    while let Some(output) = replica.poll_output() {
        if let ConfigurationOutput::Send { to, body } = output
            && to == AGENT
        {
            agent.handle_message(now, REPLICA, body);
        }
    }
}

#[test]
fn an_unregistered_running_back_end_gets_flows_provisionally() {
    let start = Timestamp::from_millis(10_000);
    let mut agent = start_agent(start);
    assert_eq!(open(&mut agent, start, 1), Some(DeclineReason::NoBackend));
    let now = start + Duration::from_millis(100);
    send_backend_data(&mut agent, now);
    assert_eq!(open(&mut agent, now, 2), None, "its back end runs");
    let later = start + PROVISIONAL_TIMEOUT;
    send_backend_data(&mut agent, later);
    assert_eq!(open(&mut agent, later, 3), Some(DeclineReason::NoBackend));
}

#[test]
fn a_registration_overrides_observed_packets() {
    let start = Timestamp::from_millis(10_000);
    let mut agent = start_agent(start);
    send_backend_data(&mut agent, start);
    register(&mut agent, start, 7, true);
    send_backend_data(&mut agent, start);
    assert_eq!(open(&mut agent, start, 1), Some(DeclineReason::Draining));
}

#[test]
fn a_new_agent_reports_at_once_that_its_back_end_runs() {
    let start = Timestamp::from_millis(10_000);
    let mut agent = start_agent(start);
    agent.handle_timeout(start);
    outputs(&mut agent);
    send_backend_data(&mut agent, start + Duration::from_millis(1));
    let ready = outputs(&mut agent).into_iter().any(|output| {
        matches!(output, PassThroughOutput::Send { body: PassThroughBody::Report(report), .. }
            if report.state() == AgentState::Ready)
    });
    assert!(ready);
}

#[test]
fn a_late_registration_does_not_undo_draining_after_an_agent_restart() {
    for deregisters in [true, false] {
        let start = Timestamp::from_millis(10_000);
        let mut replica = start_replica(start, REPLICA, REPLICA);
        let mut agent = start_agent(start);
        register(&mut agent, start, 5, false);
        exchange(&mut agent, &mut replica, start);
        let drained_at = start + Duration::from_millis(700);
        match deregisters {
            true => agent.handle_deregistration(drained_at, "backend-1"),
            false => register(&mut agent, drained_at, 7, true),
        }
        exchange(&mut agent, &mut replica, drained_at);

        let restart = start + Duration::from_secs(3);
        let mut agent = start_agent(restart);
        exchange(&mut agent, &mut replica, restart);
        register(&mut agent, restart, 6, false);
        let declined = open(&mut agent, restart, 1);
        assert!(declined.is_some(), "deregisters: {deregisters}");
    }
}

#[test]
fn a_starting_agent_takes_flows_that_others_declined() {
    let start = Timestamp::from_millis(10_000);
    let mut agent = start_agent(start);
    let last_resort = ForwardReason::OpenQueued;
    assert_eq!(open(&mut agent, start, 1), Some(DeclineReason::NoBackend));
    assert_eq!(offer(&mut agent, start, 2, last_resort), None);
    let syn_ack = PacketView {
        syn: true,
        ack: true,
        ..empty(ROUTE, caller(2))
    };
    agent.handle_backend_packet(start, &encode(&syn_ack));
    assert_eq!(
        open(&mut agent, start, 3),
        None,
        "the back end has accepted a flow"
    );
    let mut agent = start_agent(start);
    let later = start + PROVISIONAL_TIMEOUT;
    let declined = offer(&mut agent, later, 4, last_resort);
    assert_eq!(declined, Some(DeclineReason::NoBackend));
}

#[test]
fn the_provisional_time_is_bounded_for_any_setting() {
    let start = Timestamp::from_millis(10_000);
    let mut agent = start_agent_with(start, Duration::from_secs(120));
    send_backend_data(&mut agent, start);
    assert_eq!(open(&mut agent, start, 1), None);
    let later = start + Duration::from_millis(2_500);
    send_backend_data(&mut agent, later);
    assert_eq!(open(&mut agent, later, 2), Some(DeclineReason::NoBackend));
}

/// The back end returns the SYN of a flow.
fn return_syn(agent: &mut Agent, now: Timestamp, port: u16) -> Vec<PassThroughOutput> {
    let returned = PacketView {
        syn: true,
        returned: true,
        ..empty(caller(port), ROUTE)
    };
    outputs(agent);
    agent.handle_backend_packet(now, &encode(&returned));
    outputs(agent)
}

#[test]
fn a_returned_syn_ends_provisional_admission() {
    let now = Timestamp::from_millis(1_000);
    let mut agent = start_agent(now);
    agent.handle_timeout(now);
    assert_eq!(offer(&mut agent, now, 1, ForwardReason::OpenQueued), None);
    let outputs = return_syn(&mut agent, now, 1);
    let is_decline = |output: &PassThroughOutput| {
        matches!(output, PassThroughOutput::Send { body: PassThroughBody::Declined(it), .. }
            if it.reason() == DeclineReason::Returned)
    };
    assert!(outputs.iter().any(is_decline));
    let is_event = |output: &PassThroughOutput| {
        matches!(output, PassThroughOutput::Event(event)
            if event.kind == EventKind::FlowDeclined && event.subject.contains("Returned"))
    };
    assert!(outputs.iter().any(is_event), "each decline is logged");
    let is_report = |output: &PassThroughOutput| {
        matches!(output, PassThroughOutput::Send { body: PassThroughBody::Report(it), .. }
            if it.state() == AgentState::Unavailable)
    };
    assert!(
        outputs.iter().any(is_report),
        "the new state is reported at once"
    );
    let declined = offer(&mut agent, now, 2, ForwardReason::OpenQueued);
    assert_eq!(declined, Some(DeclineReason::NoBackend));
}

#[test]
fn a_packet_after_a_returned_syn_restores_provisional_admission() {
    let now = Timestamp::from_millis(1_000);
    let mut agent = start_agent(now);
    assert_eq!(offer(&mut agent, now, 1, ForwardReason::OpenQueued), None);
    return_syn(&mut agent, now, 1);
    send_backend_data(&mut agent, now);
    assert_eq!(open(&mut agent, now, 2), None);
}

#[test]
fn a_registration_after_a_returned_syn_restores_admission() {
    let now = Timestamp::from_millis(1_000);
    let mut agent = start_agent(now);
    assert_eq!(offer(&mut agent, now, 1, ForwardReason::OpenQueued), None);
    return_syn(&mut agent, now, 1);
    register(&mut agent, now, 7, false);
    assert_eq!(open(&mut agent, now, 2), None);
}

#[test]
fn returned_packets_do_not_keep_a_silent_back_end_available() {
    let mut now = Timestamp::from_millis(1_000);
    let mut agent = start_agent(now);
    register(&mut agent, now, 1, false);
    for port in 1..=14 {
        now = now + Duration::from_millis(500);
        offer(&mut agent, now, port, ForwardReason::Open);
        return_syn(&mut agent, now, port);
    }
    let declined = open(&mut agent, now, 99);
    assert_eq!(declined, Some(DeclineReason::NoBackend));
}

#[test]
fn an_agent_reports_at_once_to_newly_known_replicas() {
    let now = Timestamp::from_millis(1_000);
    let mut agent = start_agent(now);
    agent.handle_timeout(now);
    outputs(&mut agent);
    let other = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7000);
    let group = GroupStatus {
        replicas: vec![pack_address(other)],
        membership_index: 1,
        has_leader: true,
        ..GroupStatus::default()
    };
    agent.handle_message(now, other, PassThroughBody::GroupStatus(group.clone()));
    let is_report = |output: &PassThroughOutput| {
        matches!(output, PassThroughOutput::Send { to, body: PassThroughBody::Report(_) }
            if *to == other)
    };
    assert!(outputs(&mut agent).iter().any(is_report));
    let soon = now + Duration::from_millis(100);
    assert!(
        agent.poll_timeout() < soon,
        "no replica has acknowledged a report yet"
    );
    let acknowledgement = GroupStatus {
        has_report: true,
        agent_is_saved: true,
        ..group
    };
    for replica in agent.known_replicas_mut().all() {
        let body = PassThroughBody::GroupStatus(acknowledgement.clone());
        agent.handle_message(now, replica, body);
    }
    let mut reports = 0;
    for step in 1..=40 {
        agent.handle_timeout(now + Duration::from_millis(10) * step);
        reports += outputs(&mut agent)
            .iter()
            .filter(|it| is_report(it))
            .count();
    }
    assert_eq!(
        reports, 1,
        "after the acknowledgement it reports at the regular interval"
    );
}
