//! Tests of routing.

use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, PlacementRecord, Record, RecordChange, ServiceRecord,
    ShareRecord,
};

use super::{DropReason, Router};
use crate::cluster::ClusterView;
use crate::flow::{PacketView, reset_for};
use crate::identity::NodeId;

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

/// A packet from a caller to this address; which one does not matter.
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
fn what_has_no_owner_is_dropped_with_a_reason() {
    let mut view = view();
    let mut router = Router::new(NodeId(1));
    router.refresh(&view);
    let route = |router: &Router, address| router.route(&packet_to(address)).unwrap_err();
    assert_eq!(route(&router, "10.9.0.1"), DropReason::UnknownService);
    place(&mut view, 1, 50, 0);
    router.refresh(&view);
    assert_eq!(route(&router, "10.9.0.1"), DropReason::NoOwner);
    assert_eq!(route(&router, "10.9.0.2"), DropReason::UnknownService);
    place(&mut view, 2, 49, 1_000);
    router.refresh(&view);
    assert_eq!(route(&router, "10.9.0.1"), DropReason::UnknownAgent);
    place(&mut view, 3, 50, 1_000);
    router.refresh(&view);
    assert!(router.route(&packet_to("10.9.0.1")).is_ok());
}
