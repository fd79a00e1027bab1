//! Daemons find the group after a power loss, although none of the replicas in their settings
//! runs yet: replicas notify the daemons that they saved.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::pass_through::{ConfigurationNode, ConfigurationOutput};
use petrellatch_proto::pass_through::{
    AgentState, LoadMessage, PassThroughBody, Report, Subscribe, pack_address,
};

use super::replica::start_replica;

const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000);
const STEP: Duration = Duration::from_millis(5);

/// Runs the only replica of a group for this time. Returns what it requested to be saved, and
/// the receivers of its group status.
fn run(
    node: &mut ConfigurationNode,
    now: &mut Timestamp,
    time: Duration,
) -> (Vec<Vec<u8>>, Vec<SocketAddrV4>) {
    let end = *now + time;
    let (mut saved, mut notified) = (Vec::new(), Vec::new());
    while *now < end {
        *now = *now + STEP;
        if node.poll_timeout() <= *now {
            node.handle_timeout(*now);
        }
        while let Some(output) = node.poll_output() {
            match output {
                ConfigurationOutput::Persist(request) => {
                    node.handle_persisted(*now, request.ticket);
                }
                ConfigurationOutput::SaveDaemons(bytes) => saved.push(bytes),
                ConfigurationOutput::Send {
                    to,
                    body: PassThroughBody::GroupStatus(status),
                } if status.has_leader => notified.push(to),
                _ => {}
            }
        }
    }
    (saved, notified)
}

fn report() -> PassThroughBody {
    PassThroughBody::Report(Report {
        address: pack_address(AGENT),
        incarnation: 1,
        sequence: 1,
        service: "desk".to_owned(),
        zone: "a".to_owned(),
        state: AgentState::Ready.into(),
        load: LoadMessage::default(),
        draining_backends: Vec::new(),
        serving_backend: 0,
        next_report_millis: 60_000,
        evacuations_index: 0,
        ..Report::default()
    })
}

fn subscribe(incarnation: u64) -> PassThroughBody {
    PassThroughBody::Subscribe(Subscribe {
        incarnation,
        wants_updates: true,
        ..Subscribe::default()
    })
}

#[test]
fn a_restarted_replica_notifies_its_saved_daemons_once() {
    let mut now = Timestamp::from_millis(1_000);
    let mut node = start_replica(now, REPLICA, REPLICA);
    run(&mut node, &mut now, Duration::from_secs(2));
    node.handle_message(now, BALANCER, subscribe(1));
    node.handle_message(now, AGENT, report());
    let (saved, _) = run(&mut node, &mut now, Duration::from_secs(6));
    let saved = saved.last().expect("the daemons are saved");
    let mut node = start_replica(now, REPLICA, REPLICA);
    assert!(node.load_daemons(saved));
    let (_, notified) = run(&mut node, &mut now, Duration::from_secs(2));
    let times = |daemon| notified.iter().filter(|to| **to == daemon).count();
    assert_eq!(
        times(BALANCER),
        1,
        "notified once, as soon as there is a leader"
    );
    assert_eq!(times(AGENT), 1);
}

#[test]
fn saved_daemons_are_kept_when_no_daemon_sends_messages_any_more() {
    let mut now = Timestamp::from_millis(1_000);
    let mut node = start_replica(now, REPLICA, REPLICA);
    run(&mut node, &mut now, Duration::from_secs(3));
    node.handle_message(now, AGENT, report());
    let (saved, _) = run(&mut node, &mut now, Duration::from_secs(20));
    assert_eq!(saved.len(), 1);
}

#[test]
fn unreadable_saved_daemons_are_rejected() {
    let now = Timestamp::from_millis(1_000);
    let mut node = start_replica(now, REPLICA, REPLICA);
    assert!(!node.load_daemons(&[0xFF; 9]));
}
