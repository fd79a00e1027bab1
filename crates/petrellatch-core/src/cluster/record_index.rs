//! Finds records by what operators and callers know of them.

use std::collections::BTreeMap;

use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, ServiceRecord};

use crate::identity::{BackendId, ServiceId};

/// Identifiers of records by their other properties, so that no lookup walks
/// over all records. Follows from the records alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RecordIndex {
    services_by_name: BTreeMap<String, ServiceId>,
    services_by_address: BTreeMap<Endpoint, ServiceId>,
    backends_by_name: BTreeMap<String, BackendId>,
    /// Back ends of each service, in ascending order.
    backends_by_service: BTreeMap<ServiceId, Vec<BackendId>>,
}

impl RecordIndex {
    pub(super) fn service_by_name(&self, name: &str) -> Option<ServiceId> {
        self.services_by_name.get(name).copied()
    }

    pub(super) fn service_by_address(&self, address: Endpoint) -> Option<ServiceId> {
        self.services_by_address.get(&address).copied()
    }

    pub(super) fn backend_by_name(&self, name: &str) -> Option<BackendId> {
        self.backends_by_name.get(name).copied()
    }

    pub(super) fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = BackendId> {
        let ids = self.backends_by_service.get(&service);
        ids.into_iter().flatten().copied()
    }

    pub(super) fn insert_service(&mut self, service: &ServiceRecord) {
        let id = ServiceId(service.id);
        self.services_by_name.insert(service.name.clone(), id);
        self.services_by_address.insert(service.address, id);
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
    }

    pub(super) fn insert_backend(&mut self, backend: &BackendRecord) {
        let id = BackendId(backend.id);
        self.backends_by_name.insert(backend.name.clone(), id);
        let of_service = self
            .backends_by_service
            .entry(ServiceId(backend.service))
            .or_default();
        if let Err(position) = of_service.binary_search(&id) {
            of_service.insert(position, id);
        }
    }

    /// An entry that another back end has taken over in the meantime stays.
    pub(super) fn remove_backend(&mut self, backend: &BackendRecord) {
        let id = BackendId(backend.id);
        if self.backend_by_name(&backend.name) == Some(id) {
            self.backends_by_name.remove(&backend.name);
        }
        let service = ServiceId(backend.service);
        if let Some(of_service) = self.backends_by_service.get_mut(&service) {
            of_service.retain(|other| *other != id);
            if of_service.is_empty() {
                self.backends_by_service.remove(&service);
            }
        }
    }
}
