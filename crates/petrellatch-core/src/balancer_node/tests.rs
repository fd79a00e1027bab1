//! Tests of the balancer. Its work together with agents is tested there.

use petrellatch_proto::dissemination::{Delta, HeartbeatReply, HeartbeatReplyEntry, Update};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{NodeRole, PolicyRecord, Record, RecordChange};

use super::{BalancerNode, BalancerOutput, BalancerSettings};
use crate::Timestamp;
use crate::dissemination::StoredView;
use crate::identity::{Incarnation, NodeId};
use crate::node::NodeIdentity;
use crate::routing::DropReason;

fn balancer(stored: Option<StoredView>) -> BalancerNode {
    let identity = NodeIdentity {
        name: "balancer-1".to_owned(),
        node: NodeId::from_name("balancer-1"),
        incarnation: Incarnation(7),
        zone: "zone-a".to_owned(),
        role: NodeRole::Balancer,
        control: "127.0.0.1:7001".parse().unwrap(),
        data: "127.0.0.1:7002".parse().unwrap(),
    };
    let mut settings = BalancerSettings::default();
    settings.link.controls = vec!["127.0.0.1:7000".parse().unwrap()];
    BalancerNode::new(Timestamp::ZERO, settings, identity, 1, stored)
}

fn tell(node: &mut BalancerNode, now: Timestamp, body: Body) {
    let envelope = Envelope {
        sender: 1,
        incarnation: 1,
        recipient: NodeId::from_name("balancer-1").0,
        body: Some(body),
    };
    node.handle_control(now, "127.0.0.1:7000".parse().unwrap(), envelope);
}

fn update() -> Update {
    let policy = PolicyRecord {
        name: "default".to_owned(),
        ..PolicyRecord::default()
    };
    let change = RecordChange {
        put: Some(Record::Policy(policy)),
        remove: None,
    };
    Update {
        base: 0,
        deltas: vec![Delta {
            version: 1,
            changes: vec![change],
        }],
    }
}

/// Lets time pass until a heartbeat was sent; returns its sequence number.
fn heartbeat(node: &mut BalancerNode, now: &mut Timestamp) -> u64 {
    loop {
        *now = node.poll_timeout().unwrap().max(*now);
        node.handle_timeout(*now);
        while let Some(output) = node.poll_output() {
            if let BalancerOutput::Send { envelope, .. } = output
                && let Some(Body::Heartbeat(heartbeat)) = envelope.body
            {
                return heartbeat.entries[0].sequence;
            }
        }
    }
}

fn answer(sequence: u64, version: u64, fenced: bool) -> Body {
    Body::HeartbeatReply(HeartbeatReply {
        entries: vec![HeartbeatReplyEntry {
            term: 1,
            node: NodeId::from_name("balancer-1").0,
            incarnation: 7,
            sequence,
            version,
            lease_milliseconds: 0,
            registered: true,
            fenced,
        }],
    })
}

#[test]
fn it_is_ready_only_when_it_has_what_was_committed() {
    let mut node = balancer(None);
    let mut now = Timestamp::ZERO;
    let sequence = heartbeat(&mut node, &mut now);
    tell(&mut node, now, answer(sequence, 1, false));
    assert!(!node.is_ready(), "it lacks version 1");
    assert!(node.handle_packet(now, b"packet").is_none());
    assert_eq!(node.counters().drops[&DropReason::NotCurrent], 1);
    tell(&mut node, now, Body::Update(update()));
    assert!(node.is_ready());
}

#[test]
fn a_stored_view_alone_does_not_make_it_ready() {
    let mut node = balancer(None);
    let mut now = Timestamp::ZERO;
    tell(&mut node, now, Body::Update(update()));
    let mut stored = None;
    while stored.is_none() {
        now = node.poll_timeout().unwrap().max(now);
        node.handle_timeout(now);
        while let Some(output) = node.poll_output() {
            if let BalancerOutput::StoreView(bytes) = output {
                stored = Some(StoredView::from_bytes(&bytes).unwrap());
            }
        }
    }
    let mut node = balancer(stored);
    assert_eq!(node.link().view().version(), 1);
    assert!(!node.is_ready());
    let mut now = Timestamp::ZERO;
    let sequence = heartbeat(&mut node, &mut now);
    tell(&mut node, now, answer(sequence, 1, false));
    assert!(node.is_ready());
}

#[test]
fn a_planned_stop_goes_on_to_pass_packets_for_a_while() {
    let mut node = balancer(None);
    let mut now = Timestamp::ZERO;
    let sequence = heartbeat(&mut node, &mut now);
    tell(&mut node, now, answer(sequence, 0, false));
    assert!(node.is_ready());
    node.begin_stop(now);
    assert!(!node.is_ready() && !node.is_stopped());
    let begun = now;
    while !node.is_stopped() {
        now = node.poll_timeout().unwrap().max(now);
        node.handle_timeout(now);
    }
    assert!(now.saturating_since(begun).as_secs() >= 3);
}
