//! What a full copy of the view costs a daemon.

use std::time::Instant;

use petrellatch_core::cluster::ClusterView;
use petrellatch_proto::command::EditKind;
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, MemberState, PlacementRecord, Record, RecordChange, ShareRecord,
};
use prost::Message;
use serde::Serialize;

use super::fleet::{DaemonPlan, FleetPlan};
use super::process_figures::resident_bytes;
use super::report::milliseconds;

/// Deltas that are timed.
const TIMED_DELTAS: usize = 1_000;

/// A full copy at one size.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FullCopy {
    /// Balancers and agents.
    pub daemons: usize,
    /// Back ends.
    pub backends: usize,
    /// Service addresses.
    pub addresses: usize,
    /// Records of all kinds.
    pub records: usize,
    /// Encoded bytes of all records: the size of a snapshot.
    pub snapshot_bytes: usize,
    /// Growth of the resident memory by one copy, in bytes.
    pub resident_bytes: u64,
    /// Time to build the copy from a snapshot's records, in milliseconds.
    pub build_ms: f64,
    /// Time to decode and apply one delta with one placement, in
    /// microseconds.
    pub delta_micros: f64,
}

/// Builds a copy of the view of `plan` and measures it.
pub fn measure(plan: &FleetPlan) -> FullCopy {
    let snapshot = encode(&records(plan));
    let snapshot_bytes = snapshot.iter().map(Vec::len).sum();
    let before = resident_bytes();
    let begun = Instant::now();
    let view = build(&snapshot);
    let build_ms = milliseconds(begun.elapsed());
    let resident_bytes = resident_bytes().saturating_sub(before);
    FullCopy {
        daemons: plan.agents + plan.balancers,
        backends: plan.backends,
        addresses: plan.services,
        records: snapshot.len(),
        snapshot_bytes,
        resident_bytes,
        build_ms,
        delta_micros: time_deltas(view, plan),
    }
}

fn encode(records: &[RecordChange]) -> Vec<Vec<u8>> {
    records.iter().map(Message::encode_to_vec).collect()
}

/// One record after the other, so that no decoded snapshot adds to the peak.
fn build(snapshot: &[Vec<u8>]) -> ClusterView {
    let mut view = ClusterView::new();
    for (index, bytes) in snapshot.iter().enumerate() {
        let change = RecordChange::decode(bytes.as_slice()).unwrap_or_default();
        let delta = Delta {
            version: index as u64 + 1,
            changes: vec![change],
        };
        view.apply(&delta).expect("the versions follow each other");
    }
    view
}

fn time_deltas(mut view: ClusterView, plan: &FleetPlan) -> f64 {
    const STEP: usize = 7_919;
    const MICROSECONDS: f64 = 1_000_000.0;
    let encoded: Vec<Vec<u8>> = (0..TIMED_DELTAS)
        .map(|index| {
            let change = put(placement(plan, index * STEP % plan.services));
            let version = view.version() + 1 + index as u64;
            let changes = vec![change];
            Delta { version, changes }.encode_to_vec()
        })
        .collect();
    let begun = Instant::now();
    for bytes in &encoded {
        let delta = Delta::decode(bytes.as_slice()).unwrap_or_default();
        view.apply(&delta).expect("the versions follow each other");
    }
    begun.elapsed().as_secs_f64() * MICROSECONDS / TIMED_DELTAS as f64
}

fn records(plan: &FleetPlan) -> Vec<RecordChange> {
    let edits = plan.configuration().into_iter();
    let mut services = 0;
    let mut backends = 0_u64;
    let configuration = edits.filter_map(|edit| match edit {
        EditKind::PutPolicy(policy) => Some(Record::Policy(policy)),
        EditKind::PutService(mut service) => {
            services += 1;
            service.id = services;
            Some(Record::Service(service))
        }
        EditKind::PutBackend(mut edit) => {
            backends += 1;
            edit.backend.service = services;
            edit.backend.id = backends;
            Some(Record::Backend(edit.backend))
        }
        _ => None,
    });
    let mut records: Vec<RecordChange> = configuration.map(put).collect();
    let daemons = plan.balancer_plans().into_iter().chain(plan.agent_plans());
    records.extend(daemons.map(|daemon| put(member(&daemon))));
    records.extend((0..plan.services).map(|service| put(placement(plan, service))));
    records
}

fn member(plan: &DaemonPlan) -> Record {
    let address = std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1_024);
    Record::Member(MemberRecord {
        node: petrellatch_core::identity::NodeId::from_name(&plan.name).0,
        incarnation: u64::MAX,
        name: plan.name.clone(),
        role: plan.role as i32,
        zone: plan.zone.clone(),
        control: address.into(),
        data: address.into(),
        state: MemberState::Live as i32,
    })
}

fn placement(plan: &FleetPlan, service: usize) -> Record {
    const NOMINAL_WEIGHT: u32 = 1_000;
    let backends = (service..plan.backends).step_by(plan.services);
    let shares = backends.map(|backend| ShareRecord {
        backend: backend as u64 + 1,
        weight: NOMINAL_WEIGHT,
        node: u64::MAX,
        incarnation: u64::MAX,
    });
    let generation = GenerationRecord {
        number: 1,
        shares: shares.collect(),
    };
    Record::Placement(PlacementRecord {
        service: service as u32 + 1,
        generations: vec![generation],
    })
}

fn put(record: Record) -> RecordChange {
    RecordChange {
        put: Some(record),
        remove: None,
    }
}
