//! Tests that lookups in a cluster view reflect every put and removal.

use std::net::SocketAddrV4;

use petrellatch_core::cluster::ClusterView;
use petrellatch_core::identity::{BackendId, NodeId, ServiceId};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{BackendRecord, Record, RecordChange, RecordKey, ServiceRecord};

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, 1].into(), port)
}

fn put(record: Record) -> RecordChange {
    RecordChange {
        put: Some(record),
        remove: None,
    }
}

fn remove(key: RecordKey) -> RecordChange {
    RecordChange {
        put: None,
        remove: Some(key),
    }
}

fn service(id: u32, name: &str, port: u16) -> RecordChange {
    put(Record::Service(ServiceRecord {
        id,
        name: name.to_owned(),
        address: address(port).into(),
        ..ServiceRecord::default()
    }))
}

fn backend(id: u64, name: &str, service: u32) -> RecordChange {
    put(Record::Backend(BackendRecord {
        id,
        name: name.to_owned(),
        service,
        ..BackendRecord::default()
    }))
}

fn apply(view: &mut ClusterView, changes: Vec<RecordChange>) {
    let version = view.version() + 1;
    view.apply(&Delta { version, changes })
        .expect("the delta follows the current version");
}

fn backends_of(view: &ClusterView, service: u32) -> Vec<u64> {
    let backends = view.backends_of(ServiceId(service));
    backends.map(|backend| backend.id).collect()
}

#[test]
fn lookups_find_the_record_that_was_put_last() {
    let mut view = ClusterView::new();
    apply(
        &mut view,
        vec![service(1, "desk", 80), service(2, "map", 81)],
    );
    apply(&mut view, vec![service(1, "desk", 90)]);
    assert!(view.service_by_address(address(80)).is_none());
    let found = view
        .service_by_address(address(90))
        .expect("the service has a new address");
    assert_eq!(found.id, 1);
    let found = view.service_by_name("map").expect("the service was put");
    assert_eq!(found.id, 2);
}

#[test]
fn back_ends_are_listed_in_order_until_they_are_removed() {
    let mut view = ClusterView::new();
    let backends = vec![backend(9, "c", 1), backend(3, "a", 1), backend(5, "b", 2)];
    apply(&mut view, backends);
    assert_eq!(backends_of(&view, 1), [3, 9]);
    apply(&mut view, vec![backend(3, "a", 2)]);
    assert_eq!(backends_of(&view, 1), [9]);
    assert_eq!(backends_of(&view, 2), [3, 5]);
    apply(&mut view, vec![remove(RecordKey::Backend(3))]);
    assert_eq!(backends_of(&view, 2), [5]);
    assert!(view.backend_by_name("a").is_none());
    assert!(view.backend(BackendId(3)).is_none());
}

#[test]
fn services_of_a_policy_and_back_ends_of_an_agent_reflect_changes() {
    let service_with_policy = |id: u32, policy: &str| {
        put(Record::Service(ServiceRecord {
            id,
            policy: policy.to_owned(),
            ..ServiceRecord::default()
        }))
    };
    let backend_of_agent = |id: u64, agent: &str| {
        put(Record::Backend(BackendRecord {
            id,
            agent: agent.to_owned(),
            ..BackendRecord::default()
        }))
    };
    let mut view = ClusterView::new();
    apply(
        &mut view,
        vec![
            service_with_policy(2, "even"),
            service_with_policy(1, "even"),
        ],
    );
    apply(
        &mut view,
        vec![backend_of_agent(8, "a"), backend_of_agent(4, "a")],
    );
    let of_policy = |view: &ClusterView, policy: &str| -> Vec<u32> {
        view.services_of_policy(policy).map(|it| it.id).collect()
    };
    let of_agent = |view: &ClusterView, agent: &str| -> Vec<u64> {
        let agent = NodeId::from_name(agent);
        view.backends_of_agent(agent).map(|it| it.id).collect()
    };
    assert_eq!(of_policy(&view, "even"), [1, 2]);
    assert_eq!(of_agent(&view, "a"), [4, 8]);
    apply(
        &mut view,
        vec![service_with_policy(1, "odd"), backend_of_agent(8, "b")],
    );
    assert_eq!(of_policy(&view, "even"), [2]);
    assert_eq!(of_policy(&view, "odd"), [1]);
    assert_eq!(of_agent(&view, "a"), [4]);
    assert_eq!(of_agent(&view, "b"), [8]);
    let removed = vec![remove(RecordKey::Service(1)), remove(RecordKey::Backend(8))];
    apply(&mut view, removed);
    assert!(of_policy(&view, "odd").is_empty());
    assert!(of_agent(&view, "b").is_empty());
    assert_eq!((view.service_count(), view.backend_count()), (1, 1));
}

#[test]
fn removing_a_record_keeps_the_name_and_address_of_its_successor() {
    let mut view = ClusterView::new();
    apply(&mut view, vec![service(1, "desk", 80), backend(1, "a", 1)]);
    let changes = vec![
        service(2, "desk", 80),
        backend(2, "a", 2),
        remove(RecordKey::Service(1)),
        remove(RecordKey::Backend(1)),
    ];
    apply(&mut view, changes);
    assert_eq!(view.service_by_name("desk").map(|it| it.id), Some(2));
    let at_address = view.service_by_address(address(80));
    assert_eq!(at_address.map(|it| it.id), Some(2));
    assert_eq!(view.backend_by_name("a").map(|it| it.id), Some(2));
}

#[test]
fn a_snapshot_gives_the_same_view_as_the_deltas() {
    let mut view = ClusterView::new();
    apply(&mut view, vec![service(1, "desk", 80), backend(7, "a", 1)]);
    apply(&mut view, vec![backend(4, "b", 1)]);
    let mut copy = ClusterView::new();
    copy.replace(view.version(), &view.records())
        .expect("the snapshot is newer");
    assert_eq!(copy, view);
    assert_eq!(backends_of(&copy, 1), [4, 7]);
}
