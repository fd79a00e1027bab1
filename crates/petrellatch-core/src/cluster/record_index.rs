//! Indexes for finding records by properties other than their identifiers.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::ops::RangeInclusive;

use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, ServiceRecord};
use siphasher::sip::SipHasher13;

use crate::identity::{BackendId, NodeId, ServiceId};

/// Maps other properties of records to their identifiers, so that no lookup
/// scans all records. The content depends only on the records.
///
/// Names are stored as hashes, which take a third of the memory. Different
/// names may have the same hash, so the caller of a lookup compares the names
/// of the records found.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RecordIndex {
    services_by_name: BTreeSet<(NameHash, ServiceId)>,
    services_by_address: BTreeMap<Endpoint, ServiceId>,
    services_by_policy: BTreeMap<String, BTreeSet<ServiceId>>,
    backends_by_name: BTreeSet<(NameHash, BackendId)>,
    backends_by_service: BTreeSet<(ServiceId, BackendId)>,
    backends_by_agent: BTreeSet<(NodeId, BackendId)>,
}

/// The hash of the name that an operator gave a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NameHash(u64);

impl NameHash {
    fn of(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        NameHash(hasher.finish())
    }
}

impl RecordIndex {
    /// Returns the services whose names have the hash of `name`.
    pub(super) fn services_with_name_hash(&self, name: &str) -> impl Iterator<Item = ServiceId> {
        let hash = NameHash::of(name);
        let all = (hash, ServiceId(0))..=(hash, ServiceId(u32::MAX));
        self.services_by_name.range(all).map(|(_, id)| *id)
    }

    pub(super) fn service_by_address(&self, address: Endpoint) -> Option<ServiceId> {
        self.services_by_address.get(&address).copied()
    }

    pub(super) fn services_of_policy(&self, policy: &str) -> impl Iterator<Item = ServiceId> {
        let ids = self.services_by_policy.get(policy);
        ids.into_iter().flatten().copied()
    }

    /// Returns the back ends whose names have the hash of `name`.
    pub(super) fn backends_with_name_hash(&self, name: &str) -> impl Iterator<Item = BackendId> {
        let all = all_backends_with(NameHash::of(name));
        self.backends_by_name.range(all).map(|(_, id)| *id)
    }

    /// Returns the back ends of a service in ascending order.
    pub(super) fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = BackendId> {
        let all = all_backends_with(service);
        self.backends_by_service.range(all).map(|(_, id)| *id)
    }

    /// Returns the back ends of an agent in ascending order.
    pub(super) fn backends_of_agent(&self, agent: NodeId) -> impl Iterator<Item = BackendId> {
        let all = all_backends_with(agent);
        self.backends_by_agent.range(all).map(|(_, id)| *id)
    }

    pub(super) fn insert_service(&mut self, service: &ServiceRecord) {
        let id = ServiceId(service.id);
        let name = NameHash::of(&service.name);
        self.services_by_name.insert((name, id));
        self.services_by_address.insert(service.address, id);
        let of_policy = self.services_by_policy.entry(service.policy.clone());
        of_policy.or_default().insert(id);
    }

    /// Removes a service. Its address stays if it belongs to another service by
    /// now.
    pub(super) fn remove_service(&mut self, service: &ServiceRecord) {
        let id = ServiceId(service.id);
        let name = NameHash::of(&service.name);
        self.services_by_name.remove(&(name, id));
        if self.service_by_address(service.address) == Some(id) {
            self.services_by_address.remove(&service.address);
        }
        if let Some(of_policy) = self.services_by_policy.get_mut(&service.policy) {
            of_policy.remove(&id);
            if of_policy.is_empty() {
                self.services_by_policy.remove(&service.policy);
            }
        }
    }

    pub(super) fn insert_backend(&mut self, backend: &BackendRecord) {
        let id = BackendId(backend.id);
        let name = NameHash::of(&backend.name);
        self.backends_by_name.insert((name, id));
        let service = ServiceId(backend.service);
        self.backends_by_service.insert((service, id));
        self.backends_by_agent.insert((agent_of(backend), id));
    }

    pub(super) fn remove_backend(&mut self, backend: &BackendRecord) {
        let id = BackendId(backend.id);
        let name = NameHash::of(&backend.name);
        self.backends_by_name.remove(&(name, id));
        let service = ServiceId(backend.service);
        self.backends_by_service.remove(&(service, id));
        self.backends_by_agent.remove(&(agent_of(backend), id));
    }
}

fn agent_of(backend: &BackendRecord) -> NodeId {
    NodeId::from_name(&backend.agent)
}

/// Returns the range of all entries with this key.
fn all_backends_with<Key: Copy>(key: Key) -> RangeInclusive<(Key, BackendId)> {
    (key, BackendId(0))..=(key, BackendId(u64::MAX))
}
