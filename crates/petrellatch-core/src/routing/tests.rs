//! Tests of the router.

use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, PlacementRecord, Record, RecordChange, RecordKey,
    ServiceRecord, ShareRecord,
};

use super::{DropReason, Router};
use crate::cluster::ClusterView;
use crate::flow::{PacketView, reset_for};
use crate::identity::{NodeId, ServiceId};

const DESK: u32 = 1;
const GALLERY: u32 = 2;

fn put(view: &mut ClusterView, record: Record) {
    let version = view.version() + 1;
    let change = RecordChange {
        put: Some(record),
        remove: None,
    };
    let changes = vec![change];
    view.apply(&Delta { version, changes }).unwrap();
}

fn view() -> ClusterView {
    let mut view = ClusterView::new();
    for (id, address) in [(DESK, "10.9.0.1:80"), (GALLERY, "10.9.0.2:80")] {
        let address: std::net::SocketAddrV4 = address.parse().unwrap();
        put(
            &mut view,
            Record::Service(ServiceRecord {
                id,
                address: address.into(),
                buckets: 32,
                ..ServiceRecord::default()
            }),
        );
    }
    let data: std::net::SocketAddrV4 = "127.0.0.1:900".parse().unwrap();
    put(
        &mut view,
        Record::Member(MemberRecord {
            node: 5,
            incarnation: 50,
            data: data.into(),
            ..MemberRecord::default()
        }),
    );
    view
}

fn place(view: &mut ClusterView, number: u64, incarnation: u64, weight: u32) {
    let share = ShareRecord {
        backend: 9,
        weight,
        node: 5,
        incarnation,
    };
    let generation = GenerationRecord {
        number,
        shares: vec![share],
    };
    put(
        view,
        Record::Placement(PlacementRecord {
            service: DESK,
            generations: vec![generation],
        }),
    );
}

/// Returns a packet from a caller to this address, from a fixed source.
fn packet_to(address: &str) -> Vec<u8> {
    let mut bytes = vec![0; 40];
    bytes[0] = 0x45;
    bytes[3] = 40;
    bytes[9] = 6;
    bytes[12..16].copy_from_slice(&[10, 8, 0, 1]);
    let octets: std::net::Ipv4Addr = address.parse().unwrap();
    bytes[16..20].copy_from_slice(&octets.octets());
    bytes[20..24].copy_from_slice(&[0x13, 0x88, 0, 80]);
    bytes[32] = 0x50;
    assert!(PacketView::parse(&bytes).is_ok() && reset_for(&bytes).is_some());
    bytes
}

#[test]
fn a_packet_goes_to_the_owner_of_its_bucket() {
    let mut view = view();
    place(&mut view, 3, 50, 1_000);
    let mut router = Router::new(NodeId(1));
    router.refresh(&view);
    let packet = packet_to("10.9.0.1");
    let (to, datagram) = router.route(&packet).unwrap();
    assert_eq!(to.port(), 900);
    assert_eq!((datagram.service, datagram.backend), (DESK, 9));
    assert_eq!((datagram.generation, datagram.incarnation), (3, 50));
    assert_eq!((datagram.sender, datagram.hops), (1, 0));
    assert_eq!(datagram.packet, packet);
}

#[test]
fn packets_without_a_reachable_owner_are_dropped_with_a_reason() {
    let mut view = view();
    let mut router = Router::new(NodeId(1));
    router.refresh(&view);
    let route = |router: &Router, address| router.route(&packet_to(address)).unwrap_err();
    assert_eq!(route(&router, "10.9.0.1"), DropReason::UnknownService);
    put(
        &mut view,
        Record::Placement(PlacementRecord {
            service: DESK,
            generations: vec![GenerationRecord::default()],
        }),
    );
    router.refresh(&view);
    assert_eq!(route(&router, "10.9.0.1"), DropReason::NoOwner);
    // If no back end receives new flows, those of weight zero own the buckets
    // and refuse new flows.
    place(&mut view, 1, 50, 0);
    router.refresh(&view);
    let (_, datagram) = router.route(&packet_to("10.9.0.1")).unwrap();
    assert_eq!((datagram.backend, datagram.incarnation), (9, 50));
    assert_eq!(route(&router, "10.9.0.2"), DropReason::UnknownService);
    place(&mut view, 2, 49, 1_000);
    router.refresh(&view);
    assert_eq!(route(&router, "10.9.0.1"), DropReason::UnknownAgent);
    place(&mut view, 3, 50, 1_000);
    router.refresh(&view);
    assert!(router.route(&packet_to("10.9.0.1")).is_ok());
}

/// Asserts that two routers send the packets of many callers to the same
/// agents, with equal datagrams.
fn assert_same_routes(updated: &Router, fresh: &Router) {
    for address in ["10.9.0.1", "10.9.0.2"] {
        for port in 0..64 {
            let mut packet = packet_to(address);
            packet[20..22].copy_from_slice(&(2_000_u16 + port).to_be_bytes());
            assert_eq!(updated.route(&packet), fresh.route(&packet));
        }
    }
}

#[test]
fn applied_changes_give_the_same_routes_as_a_full_refresh() {
    let mut view = view();
    let mut updated = Router::new(NodeId(1));
    updated.refresh(&view);
    let mut check = |view: &ClusterView, key: RecordKey| {
        updated.apply_changes(view, &[key]);
        let mut fresh = Router::new(NodeId(1));
        fresh.refresh(view);
        assert_same_routes(&updated, &fresh);
    };
    place(&mut view, 1, 50, 10);
    check(&view, RecordKey::Placement(DESK));
    let member = view.member(NodeId(5)).unwrap().clone();
    let next = MemberRecord {
        incarnation: 51,
        ..member
    };
    put(&mut view, Record::Member(next));
    check(&view, RecordKey::Member(5));
    place(&mut view, 2, 51, 10);
    check(&view, RecordKey::Placement(DESK));
    remove(&mut view, RecordKey::Member(5));
    check(&view, RecordKey::Member(5));
    remove(&mut view, RecordKey::Service(DESK));
    check(&view, RecordKey::Service(DESK));
}

#[test]
fn a_new_service_may_have_the_address_of_a_removed_one() {
    let mut view = view();
    place(&mut view, 1, 50, 10);
    let mut router = Router::new(NodeId(1));
    router.refresh(&view);
    let record = view.service(ServiceId(DESK)).unwrap().clone();
    let placement = view.placement(ServiceId(DESK)).unwrap().clone();
    remove(&mut view, RecordKey::Service(DESK));
    put(
        &mut view,
        Record::Service(ServiceRecord { id: 0, ..record }),
    );
    let moved = PlacementRecord {
        service: 0,
        ..placement
    };
    put(&mut view, Record::Placement(moved));
    let keys = [
        RecordKey::Service(0),
        RecordKey::Placement(0),
        RecordKey::Service(DESK),
    ];
    router.apply_changes(&view, &keys);
    let routed = router.route(&packet_to("10.9.0.1")).unwrap();
    assert_eq!(routed.1.service, 0);
}

fn remove(view: &mut ClusterView, key: RecordKey) {
    let version = view.version() + 1;
    let change = RecordChange {
        put: None,
        remove: Some(key),
    };
    let changes = vec![change];
    view.apply(&Delta { version, changes }).unwrap();
}
