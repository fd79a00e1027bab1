//! Flow reports and redirects.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::admission::{FlowEntry, FlowReportAck};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, NodeRole, PlacementRecord, Record, RecordChange, RecordKey,
    ServiceRecord, ShareRecord,
};

use crate::Timestamp;
use crate::admission::{
    AdmissionMutations, RedirectTable, ReportInbox, ReportOutbox, ServiceAdmission,
};
use crate::cluster::ClusterView;
use crate::identity::{BucketIndex, Incarnation, NodeId, ServiceId};
use crate::placement::FlowKey;
use crate::routing::AgentIncarnation;

fn life(node: u64, incarnation: u64) -> AgentIncarnation {
    AgentIncarnation {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
    }
}

fn key(port: u16) -> FlowKey {
    FlowKey {
        source: SocketAddrV4::new([10, 8, 0, 1].into(), port),
        destination: SocketAddrV4::new([10, 9, 0, 1].into(), 80),
    }
}

fn entries(count: u16) -> Vec<FlowEntry> {
    let entry = |port| FlowEntry {
        source: key(port).source.into(),
        holder: 0,
        holder_incarnation: 0,
    };
    (1..=count).map(entry).collect()
}

#[test]
fn parts_are_repeated_until_confirmed_and_complete_in_any_order() {
    let mut outbox = ReportOutbox::new();
    let mut inbox = ReportInbox::new();
    let (sender, recipient) = (life(1, 1), life(2, 1));
    let mut now = Timestamp::ZERO;
    outbox.put(now, recipient, ServiceId(1), 7, &entries(1_000));
    let mut parts = Vec::new();
    while let Some(outgoing) = outbox.poll(now) {
        parts.push(outgoing.report);
    }
    assert_eq!(parts.len(), 4);
    // One part is lost, the others arrive twice and in reverse.
    for part in parts.iter().skip(1).rev().chain(parts.iter().skip(1)) {
        inbox.handle_part(sender, part);
        let (generation, part) = (part.generation, part.part);
        outbox.handle_ack(
            recipient,
            &FlowReportAck {
                service: 1,
                generation,
                part,
            },
        );
    }
    assert!(!inbox.is_complete(sender, 7));
    assert!(outbox.poll(now).is_none());
    now = outbox.poll_timeout().unwrap();
    let repeated = outbox.poll(now).unwrap().report;
    assert_eq!(repeated.part, 0);
    inbox.handle_part(sender, &repeated);
    assert!(inbox.is_complete(sender, 7));
    assert!(
        !inbox.is_complete(sender, 6),
        "it is about generation 7 only"
    );
    let taken = inbox.take_complete(7);
    assert_eq!(taken[0].1.len(), 1_000);
    assert!(inbox.take_complete(7).is_empty(), "flows are taken once");
}

#[test]
fn a_late_report_does_not_replace_a_newer_one() {
    let mut outbox = ReportOutbox::new();
    let mut inbox = ReportInbox::new();
    let now = Timestamp::ZERO;
    outbox.put(now, life(2, 1), ServiceId(1), 7, &[]);
    let older = outbox.poll(now).unwrap().report;
    outbox.put(now, life(2, 1), ServiceId(1), 8, &[]);
    let newer = outbox.poll(now).unwrap().report;
    inbox.handle_part(life(1, 1), &newer);
    inbox.handle_part(life(1, 1), &older);
    assert!(inbox.is_complete(life(1, 1), 8));
}

#[test]
fn a_fresh_redirect_outlives_an_older_word_of_the_holder() {
    let mut redirects = RedirectTable::new();
    redirects.insert(Timestamp::ZERO, key(1), life(2, 1));
    let early = Timestamp::from_millis(50);
    assert!(!redirects.handle_not_here(early, &key(1), NodeId(2)));
    let late = Timestamp::from_millis(500);
    assert!(!redirects.handle_not_here(late, &key(1), NodeId(3)));
    assert!(redirects.handle_not_here(late, &key(1), NodeId(2)));
    assert!(redirects.is_empty());
}

#[test]
fn redirects_to_a_fenced_life_are_kept_for_a_while() {
    let mut redirects = RedirectTable::new();
    let idle = Duration::from_secs(600);
    redirects.insert(Timestamp::ZERO, key(1), life(2, 1));
    redirects.insert(Timestamp::ZERO, key(2), life(3, 1));
    redirects.mark_orphans(Timestamp::ZERO, |it| it.node != NodeId(2));
    redirects.expire(Timestamp::from_millis(59_000), idle);
    assert!(redirects.get(&key(1)).unwrap().is_orphaned());
    redirects.expire(Timestamp::from_millis(61_000), idle);
    assert!(redirects.get(&key(1)).is_none());
    assert!(redirects.get(&key(2)).is_some());
    // A new life of the node has said which flows it has.
    redirects.replace_former_lives(life(3, 2));
    assert!(redirects.is_empty());
}

#[test]
fn a_lost_owner_is_remembered_through_many_generations() {
    let (own, lost) = (life(1, 1), life(2, 1));
    let mut view = ClusterView::new();
    put(&mut view, Record::Service(service()));
    put(&mut view, member(own));
    put(&mut view, member(lost));
    put(&mut view, placement(1, &[lost]));
    let mut admission = ServiceAdmission::new(&service(), own, AdmissionMutations::default());
    let mut now = Timestamp::from_millis(1);
    admission.apply(now, &view, &service(), own, &Vec::new);
    let fenced = RecordChange {
        put: None,
        remove: Some(RecordKey::Member(lost.node.0)),
    };
    change(&mut view, fenced);
    for generation in 2..12 {
        now = now + Duration::from_secs(2);
        put(&mut view, placement(generation, &[own]));
        admission.apply(now, &view, &service(), own, &Vec::new);
        admission.expire(now, Duration::from_secs(600));
    }
    let holder = admission.possible_holder(now, BucketIndex(0));
    assert_eq!(holder.map(|it| it.agent), Some(lost));
    now = now + Duration::from_secs(60);
    admission.expire(now, Duration::from_secs(600));
    assert_eq!(admission.possible_holder(now, BucketIndex(0)), None);
}

fn service() -> ServiceRecord {
    ServiceRecord {
        id: 1,
        name: "desk".to_owned(),
        address: key(1).destination.into(),
        buckets: 4,
        ..ServiceRecord::default()
    }
}

fn member(life: AgentIncarnation) -> Record {
    Record::Member(MemberRecord {
        node: life.node.0,
        incarnation: life.incarnation.0,
        role: NodeRole::Agent as i32,
        ..MemberRecord::default()
    })
}

fn placement(number: u64, lives: &[AgentIncarnation]) -> Record {
    let share = |life: &AgentIncarnation| ShareRecord {
        backend: life.node.0,
        weight: 1_000,
        node: life.node.0,
        incarnation: life.incarnation.0,
    };
    let generation = GenerationRecord {
        number,
        shares: lives.iter().map(share).collect(),
    };
    Record::Placement(PlacementRecord {
        service: 1,
        generations: vec![generation],
    })
}

fn put(view: &mut ClusterView, record: Record) {
    let put = Some(record);
    change(view, RecordChange { put, remove: None });
}

fn change(view: &mut ClusterView, change: RecordChange) {
    let version = view.version() + 1;
    let changes = vec![change];
    view.apply(&Delta { version, changes }).unwrap();
}
