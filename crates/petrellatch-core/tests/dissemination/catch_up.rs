//! Catching up by snapshots while parents change.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::dissemination::{
    DaemonLink, LinkSettings, Relay, RelayOutput, RelaySettings,
};
use petrellatch_proto::dissemination::{Delta, SnapshotPart, Subscribe};
use petrellatch_proto::envelope::Body;
use petrellatch_proto::record::{MemberRecord, NodeRole, Record, RecordChange};

use crate::network::{address, identity, policy_change};

const FIRST_PARENT: u16 = 1;
const SECOND_PARENT: u16 = 2;
const CHILD: u16 = 10;
const PARTS: u32 = 2;

fn child(now: Timestamp) -> DaemonLink {
    let settings = LinkSettings {
        controls: vec![address(FIRST_PARENT), address(SECOND_PARENT)],
        ..LinkSettings::default()
    };
    DaemonLink::new(now, settings, identity(CHILD, NodeRole::Agent), 5, None)
}

fn deliver_part(link: &mut DaemonLink, now: Timestamp, from: u16, version: u64, part: u32) {
    let sender = identity(from, NodeRole::Control);
    let body = Body::SnapshotPart(SnapshotPart {
        version,
        part,
        parts: PARTS,
        records: vec![policy_change(u64::from(part), 10)],
    });
    let recipient = link.identity().node;
    let envelope = sender.envelope(Some(recipient), body);
    link.handle_control(now, address(from), &envelope);
}

/// Runs the link's timers until it turns to the other parent.
fn leave_parent(link: &mut DaemonLink, start: Timestamp) -> Timestamp {
    const PATIENCE: Duration = Duration::from_secs(5);
    let mut now = start;
    while now < start + PATIENCE {
        now = link.poll_timeout().expect("a link always has a timer");
        link.handle_timeout(now);
        while link.poll_output().is_some() {}
    }
    now
}

/// The node's hash decides which control replica comes first.
fn parent_in_use(link: &mut DaemonLink, now: Timestamp) -> u16 {
    link.handle_timeout(now);
    let mut used = None;
    while let Some(output) = link.poll_output() {
        if let petrellatch_core::dissemination::LinkOutput::Send { to, .. } = output {
            used = Some(to.port());
        }
    }
    used.expect("a request or a heartbeat")
}

#[test]
fn an_older_snapshot_of_another_parent_replaces_a_torn_one() {
    let start = Timestamp::from_millis(1_000);
    let mut link = child(start);
    let first = parent_in_use(&mut link, start + Duration::from_secs(1));
    let second = FIRST_PARENT + SECOND_PARENT - first;
    let now = start + Duration::from_millis(1_100);
    deliver_part(&mut link, now, first, 10, 0);
    let now = leave_parent(&mut link, now);
    deliver_part(&mut link, now, second, 8, 0);
    deliver_part(&mut link, now, second, 8, 1);
    assert_eq!(link.view().version(), 8);
}

#[test]
fn a_late_part_of_an_older_snapshot_of_the_same_parent_is_ignored() {
    let start = Timestamp::from_millis(1_000);
    let mut link = child(start);
    let first = parent_in_use(&mut link, start + Duration::from_secs(1));
    let now = start + Duration::from_millis(1_100);
    deliver_part(&mut link, now, first, 10, 0);
    deliver_part(&mut link, now, first, 8, 0);
    deliver_part(&mut link, now, first, 10, 1);
    assert_eq!(link.view().version(), 10);
}

fn member_change(node: u64) -> RecordChange {
    let identity = identity(CHILD, NodeRole::Agent);
    let record = MemberRecord {
        node,
        ..identity.member_record()
    };
    RecordChange {
        put: Some(Record::Member(record)),
        remove: None,
    }
}

#[test]
fn a_child_that_missed_a_start_of_the_fleet_gets_deltas() {
    const VERSIONS: u64 = 10_000;
    let now = Timestamp::from_millis(1_000);
    let mut relay = Relay::new(RelaySettings::default());
    let mut view = ClusterView::new();
    for version in 1..=VERSIONS {
        let changes = vec![member_change(version)];
        let delta = Delta { version, changes };
        view.apply(&delta).expect("versions are consecutive");
        relay.publish(now, &[delta], &view);
    }
    let node = identity(CHILD, NodeRole::Agent).node;
    let subscribe = Subscribe { version: 1 };
    relay.handle_subscribe(now, address(CHILD), node, &subscribe, &view);
    let Some(RelayOutput::Send { body, .. }) = relay.poll_output() else {
        panic!("the subscription was not answered");
    };
    assert!(matches!(body, Body::Update(update) if update.base == 1));
}
