//! A view with changes on top of it, without a copy of it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    BackendRecord, MemberRecord, PolicyRecord, Record, RecordChange, RecordKey, ServiceRecord,
};

use crate::cluster::ClusterView;
use crate::identity::{BackendId, NodeId, ServiceId};

/// What a view would be after some changes. It costs as much as the changes,
/// however large the view is.
#[derive(Clone, Debug)]
pub struct ChangedView<'view> {
    base: &'view ClusterView,
    /// The records that were put.
    top: ClusterView,
    /// All changes, each record once. They hide the records of the base.
    changes: BTreeMap<RecordKey, RecordChange>,
}

impl<'view> ChangedView<'view> {
    /// Starts with a view and no changes.
    pub fn new(base: &'view ClusterView) -> Self {
        ChangedView {
            base,
            top: ClusterView::new(),
            changes: BTreeMap::new(),
        }
    }

    /// Returns a service.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRecord> {
        if self.hides(&RecordKey::Service(id.0)) {
            self.top.service(id)
        } else {
            self.base.service(id)
        }
    }

    /// Returns a service by the operator's name for it.
    pub fn service_by_name(&self, name: &str) -> Option<&ServiceRecord> {
        let base = self.base.service_by_name(name);
        let base = base.filter(|service| self.shows_service(service));
        self.top.service_by_name(name).or(base)
    }

    /// Returns the service that callers reach at this address.
    pub fn service_by_address(&self, address: SocketAddrV4) -> Option<&ServiceRecord> {
        let base = self.base.service_by_address(address);
        let base = base.filter(|service| self.shows_service(service));
        self.top.service_by_address(address).or(base)
    }

    /// Returns the services that use a policy.
    pub fn services_of_policy(&self, policy: &str) -> impl Iterator<Item = &ServiceRecord> {
        let base = self.base.services_of_policy(policy);
        let base = base.filter(|service| self.shows_service(service));
        base.chain(self.top.services_of_policy(policy))
    }

    /// Returns a back end by the operator's name for it.
    pub fn backend_by_name(&self, name: &str) -> Option<&BackendRecord> {
        let base = self.base.backend_by_name(name);
        let base = base.filter(|backend| self.shows_backend(backend));
        self.top.backend_by_name(name).or(base)
    }

    /// Returns all back ends.
    pub fn backends(&self) -> impl Iterator<Item = &BackendRecord> {
        let base = self.base.backends();
        let base = base.filter(|backend| self.shows_backend(backend));
        base.chain(self.top.backends())
    }

    /// Returns the back ends of one service.
    pub fn backends_of(&self, service: ServiceId) -> impl Iterator<Item = &BackendRecord> {
        let base = self.base.backends_of(service);
        let base = base.filter(|backend| self.shows_backend(backend));
        base.chain(self.top.backends_of(service))
    }

    /// Returns the back ends beside one agent.
    pub fn backends_of_agent(&self, agent: NodeId) -> impl Iterator<Item = &BackendRecord> {
        let base = self.base.backends_of_agent(agent);
        let base = base.filter(|backend| self.shows_backend(backend));
        base.chain(self.top.backends_of_agent(agent))
    }

    /// Returns a policy.
    pub fn policy(&self, name: &str) -> Option<&PolicyRecord> {
        let is_changed = self.hides(&RecordKey::Policy(name.to_owned()));
        if is_changed {
            self.top.policy(name)
        } else {
            self.base.policy(name)
        }
    }

    /// Returns a member.
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        if self.hides(&RecordKey::Member(node.0)) {
            self.top.member(node)
        } else {
            self.base.member(node)
        }
    }

    /// Whether a service has a placement.
    pub(super) fn has_placement(&self, service: ServiceId) -> bool {
        let is_changed = self.hides(&RecordKey::Placement(service.0));
        !is_changed && self.base.placement(service).is_some()
    }

    /// Returns how many services there are.
    pub fn service_count(&self) -> usize {
        let hidden = self.hidden(|key| match key {
            RecordKey::Service(id) => self.base.service(ServiceId(*id)).is_some(),
            _ => false,
        });
        self.base.service_count() - hidden + self.top.service_count()
    }

    /// Returns how many back ends there are.
    pub fn backend_count(&self) -> usize {
        let hidden = self.hidden(|key| match key {
            RecordKey::Backend(id) => self.base.backend(BackendId(*id)).is_some(),
            _ => false,
        });
        self.base.backend_count() - hidden + self.top.backend_count()
    }

    /// Returns how many policies there are.
    pub fn policy_count(&self) -> usize {
        let hidden = self.hidden(|key| match key {
            RecordKey::Policy(name) => self.base.policy(name).is_some(),
            _ => false,
        });
        self.base.policy_count() - hidden + self.top.policy_count()
    }

    pub(super) fn put(&mut self, record: Record) {
        let key = record.key();
        let change = RecordChange {
            put: Some(record),
            remove: None,
        };
        self.record(key, change);
    }

    pub(super) fn remove(&mut self, key: RecordKey) {
        let change = RecordChange {
            put: None,
            remove: Some(key.clone()),
        };
        self.record(key, change);
    }

    /// Copies all changes, each record once.
    pub(super) fn changes(&self) -> Vec<RecordChange> {
        self.changes.values().cloned().collect()
    }

    /// Returns all changes, each record once.
    pub(super) fn into_changes(self) -> Vec<RecordChange> {
        self.changes.into_values().collect()
    }

    fn record(&mut self, key: RecordKey, change: RecordChange) {
        let delta = Delta {
            version: self.top.version() + 1,
            changes: vec![change.clone()],
        };
        self.top
            .apply(&delta)
            .expect("the delta follows the version");
        self.changes.insert(key, change);
    }

    fn hides(&self, key: &RecordKey) -> bool {
        self.changes.contains_key(key)
    }

    fn shows_service(&self, service: &ServiceRecord) -> bool {
        !self.hides(&RecordKey::Service(service.id))
    }

    fn shows_backend(&self, backend: &BackendRecord) -> bool {
        !self.hides(&RecordKey::Backend(backend.id))
    }

    fn hidden(&self, is_in_base: impl Fn(&RecordKey) -> bool) -> usize {
        self.changes.keys().filter(|key| is_in_base(key)).count()
    }
}
