//! All records of the cluster at one version.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    BackendRecord, MemberRecord, PlacementRecord, PolicyRecord, Record, RecordChange, RecordKey,
    ServiceRecord,
};
use snafu::{Snafu, ensure};

use crate::identity::{BackendId, Incarnation, NodeId, ServiceId};

use super::record_index::RecordIndex;

/// Why a delta or snapshot was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The delta does not follow the current version.
    #[snafu(display("delta {version} does not follow version {current}"))]
    OutOfOrder {
        /// The current version.
        current: u64,
        /// The version of the delta.
        version: u64,
    },
    /// The snapshot is not newer than the current version.
    #[snafu(display("snapshot {version} is not newer than version {current}"))]
    NotNewer {
        /// The current version.
        current: u64,
        /// The version of the snapshot.
        version: u64,
    },
}

/// All records of the cluster at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    version: u64,
    // Most records are boxed, since half of the space in the nodes of a B-tree
    // is unused: an unused entry then takes the space of a pointer only.
    services: BTreeMap<ServiceId, Box<ServiceRecord>>,
    backends: BTreeMap<BackendId, Box<BackendRecord>>,
    policies: BTreeMap<String, PolicyRecord>,
    members: BTreeMap<NodeId, Box<MemberRecord>>,
    placements: BTreeMap<ServiceId, PlacementRecord>,
    index: RecordIndex,
}

impl ClusterView {
    /// Creates an empty view at version zero.
    pub fn new() -> Self {
        ClusterView::default()
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the delta that follows the current version.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        ensure!(
            delta.version == self.version + 1,
            OutOfOrderSnafu {
                current: self.version,
                version: delta.version
            }
        );
        self.version = delta.version;
        self.amend(&delta.changes);
        Ok(())
    }

    /// Applies changes of a version that is still being built, and leaves the
    /// version number as it is.
    pub(crate) fn amend(&mut self, changes: &[RecordChange]) {
        for change in changes {
            self.apply_change(change);
        }
    }

    /// Increments the version number, after [`ClusterView::amend`] has applied the
    /// changes of the new version.
    pub(crate) fn increment_version(&mut self) {
        self.version += 1;
    }

    /// Replaces all records by a snapshot of a newer version.
    pub fn replace(&mut self, version: u64, records: &[RecordChange]) -> Result<(), ApplyError> {
        ensure!(
            version > self.version,
            NotNewerSnafu {
                current: self.version,
                version
            }
        );
        *self = ClusterView::new();
        self.version = version;
        for change in records {
            self.apply_change(change);
        }
        Ok(())
    }

    /// Returns all records as puts, in a fixed order.
    pub fn records(&self) -> Vec<RecordChange> {
        let policies = self.policies.values().cloned().map(Record::Policy);
        let services = self.services().cloned().map(Record::Service);
        let backends = self.backends().cloned().map(Record::Backend);
        let members = self.members().cloned().map(Record::Member);
        let placements = self.placements.values().cloned().map(Record::Placement);
        policies
            .chain(services)
            .chain(backends)
            .chain(members)
            .chain(placements)
            .map(|record| RecordChange {
                put: Some(record),
                remove: None,
            })
            .collect()
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        let of_services = self.services.len() + self.backends.len() + self.placements.len();
        of_services + self.policies.len() + self.members.len()
    }

    /// Returns the keys of all records.
    pub fn keys(&self) -> impl Iterator<Item = RecordKey> {
        let policies = self.policies.keys().cloned().map(RecordKey::Policy);
        let services = self.services.keys().map(|id| RecordKey::Service(id.0));
        let backends = self.backends.keys().map(|id| RecordKey::Backend(id.0));
        let members = self.members.keys().map(|node| RecordKey::Member(node.0));
        let placements = self.placements.keys();
        policies
            .chain(services)
            .chain(backends)
            .chain(members)
            .chain(placements.map(|service| RecordKey::Placement(service.0)))
    }

    /// Returns a service.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRecord> {
        self.services.get(&id).map(Box::as_ref)
    }

    /// Returns a service by the operator's name for it.
    pub fn service_by_name(&self, name: &str) -> Option<&ServiceRecord> {
        let ids = self.index.services_with_name_hash(name);
        let mut found = ids.filter_map(|id| self.service(id));
        found.find(|service| service.name == name)
    }

    /// Returns the service that callers reach at this address.
    pub fn service_by_address(&self, address: SocketAddrV4) -> Option<&ServiceRecord> {
        let id = self.index.service_by_address(address.into())?;
        self.service(id)
    }

    /// Returns all services in the order of identifiers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.services.values().map(Box::as_ref)
    }

    /// Returns the number of services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the services that use a policy, in the order of identifiers.
    pub fn services_of_policy(&self, policy: &str) -> impl Iterator<Item = &ServiceRecord> {
        let ids = self.index.services_of_policy(policy);
        ids.filter_map(|id| self.service(id))
    }

    /// Returns a back end.
    pub fn backend(&self, id: BackendId) -> Option<&BackendRecord> {
        self.backends.get(&id).map(Box::as_ref)
    }

    /// Returns a back end by the operator's name for it.
    pub fn backend_by_name(&self, name: &str) -> Option<&BackendRecord> {
        let ids = self.index.backends_with_name_hash(name);
        let mut found = ids.filter_map(|id| self.backend(id));
        found.find(|backend| backend.name == name)
    }

    /// Returns all back ends in the order of identifiers.
    pub fn backends(&self) -> impl Iterator<Item = &BackendRecord> {
        self.backends.values().map(Box::as_ref)
    }

    /// Returns the number of back ends.
    pub fn backend_count(&self) -> usize {
        self.backends.len()
    }

    /// Returns the back ends of one agent in the order of identifiers.
    pub fn backends_of_agent(&self, agent: NodeId) -> impl Iterator<Item = &BackendRecord> {
        let ids = self.index.backends_of_agent(agent);
        ids.filter_map(|id| self.backend(id))
    }

    /// Returns the back ends of one service in the order of identifiers.
    pub fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = &BackendRecord> {
        let ids = self.index.backends_of(service);
        ids.filter_map(|id| self.backend(id))
    }

    /// Returns a policy.
    pub fn policy(&self, name: &str) -> Option<&PolicyRecord> {
        self.policies.get(name)
    }

    /// Returns all policies in the order of names.
    pub fn policies(&self) -> impl Iterator<Item = &PolicyRecord> {
        self.policies.values()
    }

    /// Returns the number of policies.
    pub fn policy_count(&self) -> usize {
        self.policies.len()
    }

    /// Returns a member.
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(Box::as_ref)
    }

    /// Returns whether this incarnation of a node is a member. One that is not a
    /// member (any more) is fenced: it can't admit flows.
    pub fn is_member(&self, node: NodeId, incarnation: Incarnation) -> bool {
        self.members
            .get(&node)
            .is_some_and(|member| member.incarnation == incarnation.0)
    }

    /// Returns all members in the order of nodes.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(Box::as_ref)
    }

    /// Returns the number of members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the placement of a service.
    pub fn placement(&self, service: ServiceId) -> Option<&PlacementRecord> {
        self.placements.get(&service)
    }

    /// Returns all placements in the order of services.
    pub fn placements(&self) -> impl Iterator<Item = &PlacementRecord> {
        self.placements.values()
    }

    fn apply_change(&mut self, change: &RecordChange) {
        if let Some(key) = &change.remove {
            self.remove(key);
        }
        if let Some(record) = &change.put {
            self.put(record.clone());
        }
    }

    fn put(&mut self, record: Record) {
        match record {
            Record::Service(service) => {
                self.remove_service(ServiceId(service.id));
                self.index.insert_service(&service);
                self.services.insert(ServiceId(service.id), service.into());
            }
            Record::Backend(backend) => {
                self.remove_backend(BackendId(backend.id));
                self.index.insert_backend(&backend);
                self.backends.insert(BackendId(backend.id), backend.into());
            }
            Record::Policy(policy) => {
                self.policies.insert(policy.name.clone(), policy);
            }
            Record::Member(member) => {
                self.members.insert(NodeId(member.node), member.into());
            }
            Record::Placement(placement) => {
                self.placements
                    .insert(ServiceId(placement.service), placement);
            }
        }
    }

    fn remove(&mut self, key: &RecordKey) {
        match key {
            RecordKey::Service(id) => {
                self.remove_service(ServiceId(*id));
            }
            RecordKey::Backend(id) => {
                self.remove_backend(BackendId(*id));
            }
            RecordKey::Policy(name) => {
                self.policies.remove(name);
            }
            RecordKey::Member(node) => {
                self.members.remove(&NodeId(*node));
            }
            RecordKey::Placement(service) => {
                self.placements.remove(&ServiceId(*service));
            }
        }
    }

    fn remove_service(&mut self, id: ServiceId) {
        if let Some(service) = self.services.remove(&id) {
            self.index.remove_service(&service);
        }
    }

    fn remove_backend(&mut self, id: BackendId) {
        if let Some(backend) = self.backends.remove(&id) {
            self.index.remove_backend(&backend);
        }
    }
}
