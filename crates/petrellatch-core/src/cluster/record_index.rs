//! Finds records by what operators and callers know of them.

use std::collections::{BTreeMap, BTreeSet};

use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, ServiceRecord};

use crate::identity::{BackendId, NodeId, ServiceId};

/// Identifiers of records by their other properties, so that no lookup walks
/// over all records. Follows from the records alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RecordIndex {
    services_by_name: BTreeMap<String, ServiceId>,
    services_by_address: BTreeMap<Endpoint, ServiceId>,
    services_by_policy: BTreeMap<String, BTreeSet<ServiceId>>,
    backends_by_name: BTreeMap<String, BackendId>,
    /// Back ends of each service, in ascending order.
    backends_by_service: BTreeMap<ServiceId, Vec<BackendId>>,
    /// Back ends beside each agent, in ascending order.
    backends_by_agent: BTreeMap<NodeId, Vec<BackendId>>,
}

impl RecordIndex {
    pub(super) fn service_by_name(&self, name: &str) -> Option<ServiceId> {
        self.services_by_name.get(name).copied()
    }

    pub(super) fn service_by_address(&self, address: Endpoint) -> Option<ServiceId> {
        self.services_by_address.get(&address).copied()
    }

    pub(super) fn services_of_policy(&self, policy: &str) -> impl Iterator<Item = ServiceId> {
        let ids = self.services_by_policy.get(policy);
        ids.into_iter().flatten().copied()
    }

    pub(super) fn backend_by_name(&self, name: &str) -> Option<BackendId> {
        self.backends_by_name.get(name).copied()
    }

    pub(super) fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = BackendId> {
        let ids = self.backends_by_service.get(&service);
        ids.into_iter().flatten().copied()
    }

    pub(super) fn backends_of_agent(&self, agent: NodeId) -> impl Iterator<Item = BackendId> {
        let ids = self.backends_by_agent.get(&agent);
        ids.into_iter().flatten().copied()
    }

    pub(super) fn insert_service(&mut self, service: &ServiceRecord) {
        let id = ServiceId(service.id);
        self.services_by_name.insert(service.name.clone(), id);
        self.services_by_address.insert(service.address, id);
        let of_policy = self.services_by_policy.entry(service.policy.clone());
        of_policy.or_default().insert(id);
    }

    /// Entries that another service has taken over in the meantime stay.
    pub(super) fn remove_service(&mut self, service: &ServiceRecord) {
        let id = ServiceId(service.id);
        if self.service_by_name(&service.name) == Some(id) {
            self.services_by_name.remove(&service.name);
        }
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
        self.backends_by_name.insert(backend.name.clone(), id);
        insert_sorted(
            &mut self.backends_by_service,
            ServiceId(backend.service),
            id,
        );
        insert_sorted(&mut self.backends_by_agent, agent_of(backend), id);
    }

    /// An entry that another back end has taken over in the meantime stays.
    pub(super) fn remove_backend(&mut self, backend: &BackendRecord) {
        let id = BackendId(backend.id);
        if self.backend_by_name(&backend.name) == Some(id) {
            self.backends_by_name.remove(&backend.name);
        }
        remove_sorted(
            &mut self.backends_by_service,
            ServiceId(backend.service),
            id,
        );
        remove_sorted(&mut self.backends_by_agent, agent_of(backend), id);
    }
}

fn agent_of(backend: &BackendRecord) -> NodeId {
    NodeId::from_name(&backend.agent)
}

fn insert_sorted<Key: Ord>(
    lists: &mut BTreeMap<Key, Vec<BackendId>>,
    key: Key,
    backend: BackendId,
) {
    let list = lists.entry(key).or_default();
    if let Err(position) = list.binary_search(&backend) {
        list.insert(position, backend);
    }
}

fn remove_sorted<Key: Ord>(
    lists: &mut BTreeMap<Key, Vec<BackendId>>,
    key: Key,
    backend: BackendId,
) {
    let Some(list) = lists.get_mut(&key) else {
        return;
    };
    if let Ok(position) = list.binary_search(&backend) {
        list.remove(position);
    }
    if list.is_empty() {
        lists.remove(&key);
    }
}
