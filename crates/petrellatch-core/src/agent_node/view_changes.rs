//! How an agent takes over newer views.

use std::collections::BTreeSet;

use petrellatch_proto::record::RecordKey;

use crate::Timestamp;
use crate::cluster::ClusterView;
use crate::identity::{BackendId, NodeId, ServiceId};

use super::local_backend::LocalBackend;
use super::node::AgentNode;
use super::service_state::ServiceState;

impl AgentNode {
    /// Takes over the whole view.
    pub(super) fn refresh(&mut self, now: Timestamp) {
        self.directory.refresh(now, self.link.view());
        let view = self.link.view();
        let known = self.backends.keys().copied();
        let beside = view.backends_of_agent(self.identity.node);
        let beside = beside.map(|it| BackendId(it.id));
        let backends: BTreeSet<BackendId> = known.chain(beside).collect();
        let known = self.services.keys().copied();
        let present = view.services().map(|it| ServiceId(it.id));
        let services: BTreeSet<ServiceId> = known.chain(present).collect();
        for backend in backends {
            self.refresh_backend(now, backend);
        }
        self.refresh_services(now, services);
    }

    /// Takes over the records that changed. The cost depends on these and on
    /// the services of this agent, not on the size of the cluster.
    pub(super) fn apply_changes(&mut self, now: Timestamp, keys: &[RecordKey]) {
        let mut services = BTreeSet::new();
        for key in keys {
            match key {
                RecordKey::Service(id) | RecordKey::Placement(id) => {
                    services.insert(ServiceId(*id));
                }
                RecordKey::Member(node) => {
                    let node = NodeId(*node);
                    self.directory.update(now, self.link.view(), node);
                    services.extend(self.services_concerning(node));
                }
                RecordKey::Backend(id) => {
                    let id = BackendId(*id);
                    services.extend(self.services_with(id));
                    self.refresh_backend(now, id);
                }
                RecordKey::Policy(_) => {}
            }
        }
        if !services.is_empty() {
            self.refresh_services(now, services);
        }
    }

    fn refresh_services(&mut self, now: Timestamp, services: BTreeSet<ServiceId>) {
        for service in services {
            self.refresh_service(now, service);
        }
        self.retry_held_openings(now);
        self.send_flow_reports(now);
        self.report_upward(now);
    }

    /// Takes over a back end if it is beside this agent.
    fn refresh_backend(&mut self, now: Timestamp, id: BackendId) {
        let record = self.link.view().backend(id);
        let Some(record) = record.filter(|it| it.agent == self.identity.name) else {
            self.backends.remove(&id);
            return;
        };
        let wait_limit = self.settings.wait_limit;
        let backend = self.backends.entry(id);
        backend
            .or_insert_with(|| LocalBackend::new(now, record, wait_limit))
            .update(record);
    }

    fn refresh_service(&mut self, now: Timestamp, id: ServiceId) {
        let own = self.own_life();
        let view = self.link.view();
        let known = self.services.remove(&id);
        let Some(record) = view.service(id) else {
            if let Some(known) = known {
                let address = known.record.address.into();
                self.service_of_address.remove(&address);
            }
            return;
        };
        if known.is_none() && !self.takes_part(view, id) {
            return;
        }
        let mutations = self.settings.mutations;
        let mut state = known.unwrap_or_else(|| ServiceState::new(now, record, own, mutations));
        let flows = || self.flows.keys_of(id);
        state.admission.apply(now, view, record, own, &flows);
        if state.refresh(view, record) {
            let local = self.backends.values_mut();
            let beside = local.filter(|it| it.record.service == id.0);
            beside.for_each(LocalBackend::report_again);
        }
        self.service_of_address.insert(record.address.into(), id);
        self.services.insert(id, state);
    }

    /// Returns the services of this agent for which the membership of a node
    /// matters.
    fn services_concerning(&self, node: NodeId) -> Vec<ServiceId> {
        let beside = self.link.view().backends_of_agent(node);
        let beside = beside.map(|backend| ServiceId(backend.service));
        let services = self.services.iter();
        let placed = services.filter(|(_, state)| state.admission.concerns(node));
        placed.map(|(id, _)| *id).chain(beside).collect()
    }

    /// Returns the services that a back end belongs, or belonged, to.
    fn services_with(&self, backend: BackendId) -> Vec<ServiceId> {
        let present = self.link.view().backend(backend);
        let former = self.backends.get(&backend).map(|local| &local.record);
        let records = present.into_iter().chain(former);
        let placed = self.services.iter().filter(|(_, state)| {
            let mut candidates = state.candidates.iter();
            candidates.any(|it| it.backend == backend)
        });
        records
            .map(|record| ServiceId(record.service))
            .chain(placed.map(|(id, _)| *id))
            .collect()
    }

    /// Returns whether this agent has a back end of a service or a share in
    /// it.
    fn takes_part(&self, view: &ClusterView, service: ServiceId) -> bool {
        let own = self.identity.node.0;
        let mut backends = view.backends_of(service);
        let generations = view.placement(service).map(|it| &it.generations);
        let mut shares = generations.into_iter().flatten().flat_map(|it| &it.shares);
        shares.any(|share| share.node == own) || backends.any(|it| it.agent == self.identity.name)
    }
}
