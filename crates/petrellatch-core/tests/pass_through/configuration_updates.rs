//! Configuration changes that reach a balancer out of order, or get lost.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    KnownReplicas, PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput,
};
use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, GroupStatus, PassThroughBody, RouteRecord, RouteShare,
    VersionConfirmed, pack_address,
};
use prost::Message;

use super::codec::TestCodec;

const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
const START: Timestamp = Timestamp::from_millis(1_000);

type Balancer = PassThroughBalancer<TestCodec>;

fn balancer() -> Balancer {
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: Duration::from_secs(1),
        flow_ttl: Duration::from_secs(60),
        stop_delay: Duration::from_secs(2),
        link_bytes_per_second: None,
    };
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    let mut balancer =
        PassThroughBalancer::new(START, settings, TestCodec, Incarnation(6), known_replicas);
    balancer.handle_message(START, REPLICA, part(0, 3));
    let confirmed = VersionConfirmed {
        confirmation_id: 7,
        version: 3,
        zones: None,
        ..VersionConfirmed::default()
    };
    balancer.handle_message(START, REPLICA, PassThroughBody::VersionConfirmed(confirmed));
    assert!(balancer.is_ready(START));
    balancer.handle_timeout(START);
    receive_group_status(&mut balancer, START, 3);
    count_polls(&mut balancer);
    balancer
}

/// The change from `base` to `version`, which adds a route.
fn part(base: u64, version: u64) -> PassThroughBody {
    let address = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), version as u16);
    let route = RouteRecord {
        address: pack_address(address),
        shares: vec![RouteShare {
            service: "desk".to_owned(),
            weight: 1,
        }],
        ..RouteRecord::default()
    };
    let change = ConfigurationChange {
        base_version: base,
        version,
        put: vec![route],
        removed: Vec::new(),
        annotation: None,
        ..ConfigurationChange::default()
    };
    PassThroughBody::Configuration(ConfigurationPart {
        base_version: base,
        version,
        part: 0,
        parts: 1,
        bytes: lz4_flex::compress_prepend_size(&change.encode_to_vec()),
    })
}

fn receive_group_status(balancer: &mut Balancer, now: Timestamp, version: u64) {
    let status = GroupStatus {
        version,
        has_leader: true,
        ..GroupStatus::default()
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::GroupStatus(status));
}

/// Counts the balancer's polls for updates since the last call.
fn count_polls(balancer: &mut Balancer) -> usize {
    let outputs = std::iter::from_fn(|| balancer.poll_output());
    let is_poll = |output: &PassThroughOutput| {
        matches!(
            output,
            PassThroughOutput::Send {
                body: PassThroughBody::Subscribe(_),
                ..
            }
        )
    };
    outputs.filter(is_poll).count()
}

#[test]
fn reordered_changes_are_applied_together() {
    let mut balancer = balancer();
    for (base, version) in [(7, 9), (5, 7), (9, 12), (3, 5)] {
        balancer.handle_message(START, REPLICA, part(base, version));
    }
    assert_eq!(balancer.version(), 12);
    balancer.handle_message(START, REPLICA, part(5, 7));
    assert_eq!(balancer.version(), 12, "the version never decreases");
}

#[test]
fn a_lost_change_is_requested_soon() {
    let mut balancer = balancer();
    // The change from 3 to 5 is lost.
    balancer.handle_message(START, REPLICA, part(5, 7));
    assert_eq!(balancer.version(), 3);
    let soon = START + Duration::from_millis(150);
    assert!(balancer.poll_timeout() <= soon);
    balancer.handle_timeout(soon);
    assert!(count_polls(&mut balancer) > 0);
}

#[test]
fn a_change_missing_after_a_reply_is_requested_again_soon() {
    let mut balancer = balancer();
    receive_group_status(&mut balancer, START, 9);
    assert_eq!(count_polls(&mut balancer), 1);
    // Of the updates in reply, only the first change and the final status arrive.
    let replied_at = START + Duration::from_millis(3);
    balancer.handle_message(replied_at, REPLICA, part(3, 5));
    receive_group_status(&mut balancer, replied_at, 9);
    let soon = START + Duration::from_millis(300);
    assert!(balancer.poll_timeout() <= soon);
    balancer.handle_timeout(soon);
    assert!(count_polls(&mut balancer) > 0);
}
