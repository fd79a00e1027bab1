//! A control group of one that never fails.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::{
    Delta, HeartbeatEntry, HeartbeatReply, HeartbeatReplyEntry, Update,
};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{
    BackendRecord, GenerationRecord, MemberRecord, PlacementRecord, Record, RecordChange,
    RecordKey, RefusalMode, ServiceRecord, ShareRecord,
};

use crate::cluster::ClusterView;
use crate::identity::{Incarnation, NodeId, ServiceId};

pub(super) const LEASE_MILLISECONDS: u32 = 6_000;

#[derive(Default)]
pub(super) struct ControlStub {
    pub(super) view: ClusterView,
    deltas: Vec<Delta>,
    /// Nodes whose present life was fenced.
    fenced: BTreeSet<(u64, u64)>,
    /// The newest heartbeat of each node.
    pub(super) heartbeats: Vec<HeartbeatEntry>,
    pub(super) refuses_leases: bool,
}

impl ControlStub {
    pub(super) fn address() -> SocketAddrV4 {
        "10.0.0.1:7000".parse().unwrap()
    }

    pub(super) fn put(&mut self, record: Record) {
        self.commit(RecordChange {
            put: Some(record),
            remove: None,
        });
    }

    pub(super) fn fence(&mut self, node: NodeId) {
        let member = self.view.member(node).expect("it is a member");
        self.fenced.insert((member.node, member.incarnation));
        self.commit(RecordChange {
            put: None,
            remove: Some(RecordKey::Member(node.0)),
        });
    }

    pub(super) fn commit(&mut self, change: RecordChange) {
        let delta = Delta {
            version: self.view.version() + 1,
            changes: vec![change],
        };
        self.view.apply(&delta).expect("versions follow");
        self.deltas.push(delta);
    }

    /// Appends a generation; `keep` older ones stay listed.
    pub(super) fn place(&mut self, service: u32, weights: &[(u64, u32)], keep: usize) {
        let id = ServiceId(service);
        let former = self.view.placement(id).cloned();
        let mut generations = former.map(|it| it.generations).unwrap_or_default();
        let number = generations.last().map_or(1, |it| it.number + 1);
        let shares = weights
            .iter()
            .map(|(backend, weight)| self.share(*backend, *weight));
        let generation = GenerationRecord {
            number,
            shares: shares.collect(),
        };
        let excess = generations.len().saturating_sub(keep);
        generations.drain(..excess);
        generations.push(generation);
        self.put(Record::Placement(PlacementRecord {
            service,
            generations,
        }));
    }

    pub(super) fn update_since(&self, version: u64) -> Option<Update> {
        let deltas = self.deltas.get(usize::try_from(version).ok()?..)?.to_vec();
        (!deltas.is_empty()).then_some(Update {
            base: version,
            deltas,
        })
    }

    pub(super) fn handle(&mut self, envelope: &Envelope) -> Option<Body> {
        match envelope.body.as_ref()? {
            Body::Subscribe(subscribe) => self.update_since(subscribe.version).map(Body::Update),
            Body::Heartbeat(heartbeat) => {
                let entries = heartbeat.entries.clone();
                let answers = entries.into_iter().map(|entry| self.answer(entry));
                Some(Body::HeartbeatReply(HeartbeatReply {
                    entries: answers.collect(),
                }))
            }
            _ => None,
        }
    }

    fn answer(&mut self, entry: HeartbeatEntry) -> HeartbeatReplyEntry {
        let life = (entry.node, entry.incarnation);
        let (node, incarnation) = (NodeId(entry.node), Incarnation(entry.incarnation));
        let is_member = |view: &ClusterView| view.is_member(node, incarnation);
        if entry.stopped && is_member(&self.view) {
            self.fence(node);
        }
        let fenced = self.fenced.contains(&life);
        if let Some(record) = &entry.registration
            && !fenced
            && self.view.member(node).is_none()
        {
            self.put(Record::Member(record.clone()));
        }
        let registered = is_member(&self.view);
        let granted = registered && !self.refuses_leases && !entry.stopped;
        let answer = HeartbeatReplyEntry {
            term: 1,
            node: entry.node,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            version: self.view.version(),
            lease_milliseconds: if granted { LEASE_MILLISECONDS } else { 0 },
            registered,
            fenced,
        };
        self.heartbeats.retain(|it| it.node != entry.node);
        self.heartbeats.push(entry);
        answer
    }

    fn share(&self, backend: u64, weight: u32) -> ShareRecord {
        let record = self.view.backends().find(|it| it.id == backend).unwrap();
        let node = NodeId::from_name(&record.agent);
        let member: Option<&MemberRecord> = self.view.member(node);
        ShareRecord {
            backend,
            weight,
            node: node.0,
            incarnation: member.map_or(0, |it| it.incarnation),
        }
    }
}

pub(super) fn service(id: u32, address: SocketAddrV4, refusal: RefusalMode) -> ServiceRecord {
    ServiceRecord {
        id,
        name: format!("service-{id}"),
        address: address.into(),
        buckets: 64,
        policy: "default".to_owned(),
        refusal: refusal as i32,
        new_flows_per_second: 0,
        idle_seconds: 120,
    }
}

pub(super) fn backend(id: u64, service: u32, agent: &str) -> BackendRecord {
    let port = 8_000 + u16::try_from(id).unwrap();
    let server = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    BackendRecord {
        id,
        name: format!("backend-{id}"),
        service,
        agent: agent.to_owned(),
        zone: "zone-a".to_owned(),
        server: server.into(),
        slots: 7,
        connections: 2_000,
        warm_up_seconds: 0,
        labels: Default::default(),
        draining: false,
        evacuated: false,
    }
}
