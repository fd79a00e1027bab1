//! Edits of one change, tried on top of the view.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::command::{BackendEdit, DrainTarget, Edit, EditKind, SetDrain};
use petrellatch_proto::record::{
    BackendRecord, MemberState, PolicyRecord, Record, RecordKey, ServiceRecord,
};

use crate::cluster::ClusterView;
use crate::identity::{NodeId, ServiceId};

use super::assignments::{AssignmentChanges, Assignments};
use super::changed_view::ChangedView;
use super::limits::{
    MAX_BACKENDS, MAX_BACKENDS_OF_SERVICE, MAX_DRAINED_NODES, MAX_POLICIES, MAX_SERVICES,
};
use super::validation::{
    EditError, check_backend, check_name, check_policy, check_service, require,
};

/// A change that is being tried.
pub(super) struct ChangeDraft<'state> {
    view: ChangedView<'state>,
    before: &'state Assignments,
    assignments: AssignmentChanges,
}

/// What a whole change leads to.
pub(super) struct FinishedDraft<'state> {
    pub(super) view: ChangedView<'state>,
    pub(super) assignments: AssignmentChanges,
}

impl<'state> ChangeDraft<'state> {
    pub(super) fn new(view: &'state ClusterView, before: &'state Assignments) -> Self {
        ChangeDraft {
            view: ChangedView::new(view),
            before,
            assignments: AssignmentChanges::default(),
        }
    }

    /// Tries one edit.
    pub(super) fn apply(&mut self, edit: &Edit) -> Result<(), EditError> {
        match &edit.kind {
            Some(EditKind::PutService(service)) => self.put_service(service),
            Some(EditKind::RemoveService(name)) => self.remove_service(name),
            Some(EditKind::PutBackend(edit)) => self.put_backend(edit),
            Some(EditKind::RemoveBackend(name)) => self.remove_backend(name),
            Some(EditKind::PutPolicy(policy)) => self.put_policy(policy),
            Some(EditKind::RemovePolicy(name)) => self.remove_policy(name),
            Some(EditKind::SetDrain(drain)) => self.set_drain(drain),
            None => Err(EditError::invalid("an edit is of an unknown kind")),
        }
    }

    /// Returns what all edits together lead to.
    pub(super) fn finish(self) -> FinishedDraft<'state> {
        FinishedDraft {
            view: self.view,
            assignments: self.assignments,
        }
    }

    fn put_service(&mut self, edit: &ServiceRecord) -> Result<(), EditError> {
        check_service(edit)?;
        if self.view.policy(&edit.policy).is_none() {
            return Err(EditError::not_found("policy", &edit.policy));
        }
        self.check_service_address(edit)?;
        let id = match self.view.service_by_name(&edit.name) {
            Some(existing) => {
                check_service_update(existing, edit)?;
                existing.id
            }
            None => self.next_service()?,
        };
        let service = ServiceRecord { id, ..edit.clone() };
        self.view.put(Record::Service(service));
        Ok(())
    }

    fn check_service_address(&self, edit: &ServiceRecord) -> Result<(), EditError> {
        let address = SocketAddrV4::from(edit.address);
        let other = self.view.service_by_address(address);
        match other.filter(|other| other.name != edit.name) {
            Some(other) => {
                let message = format!("{address} is the address of service '{}'", other.name);
                Err(EditError::invalid(message))
            }
            None => Ok(()),
        }
    }

    fn next_service(&mut self) -> Result<u32, EditError> {
        let count = self.view.service_count();
        require(count < MAX_SERVICES, || {
            format!("there are {MAX_SERVICES} services already")
        })?;
        self.assignments.new_services += 1;
        Ok(self.before.last_service + self.assignments.new_services)
    }

    fn remove_service(&mut self, name: &str) -> Result<(), EditError> {
        let service = self.view.service_by_name(name);
        let id = service
            .ok_or_else(|| EditError::not_found("service", name))?
            .id;
        let backends = self.view.backends_of(ServiceId(id)).count();
        require(backends == 0, || {
            format!("the service '{name}' still has {backends} back ends")
        })?;
        self.view.remove(RecordKey::Service(id));
        if self.view.has_placement(ServiceId(id)) {
            self.view.remove(RecordKey::Placement(id));
        }
        Ok(())
    }

    fn put_backend(&mut self, edit: &BackendEdit) -> Result<(), EditError> {
        let backend = &edit.backend;
        check_backend(backend)?;
        let service = self.view.service_by_name(&edit.service);
        let service = service.ok_or_else(|| EditError::not_found("service", &edit.service))?;
        let service = ServiceId(service.id);
        self.check_server(backend)?;
        let existing = self.view.backend_by_name(&backend.name).cloned();
        let (id, draining) = match existing {
            Some(existing) => {
                check_backend_update(&existing, service, backend)?;
                (existing.id, existing.draining)
            }
            None => (self.next_backend(service)?, backend.draining),
        };
        let evacuated = self.assignments.is_evacuated(self.before, &backend.zone);
        self.view.put(Record::Backend(BackendRecord {
            id,
            service: service.0,
            draining,
            evacuated,
            ..backend.clone()
        }));
        Ok(())
    }

    /// One server belongs to one back end, so that no two services share it.
    fn check_server(&self, edit: &BackendRecord) -> Result<(), EditError> {
        let same_server = |other: &&BackendRecord| {
            let same = other.agent == edit.agent && other.server == edit.server;
            same && other.name != edit.name
        };
        let agent = NodeId::from_name(&edit.agent);
        match self.view.backends_of_agent(agent).find(same_server) {
            Some(other) => {
                let message = format!("the server of '{}' is that of '{}'", edit.name, other.name);
                Err(EditError::invalid(message))
            }
            None => Ok(()),
        }
    }

    fn next_backend(&mut self, service: ServiceId) -> Result<u64, EditError> {
        let of_service = self.view.backends_of(service).count();
        let total = self.view.backend_count();
        let fits = of_service < MAX_BACKENDS_OF_SERVICE && total < MAX_BACKENDS;
        require(fits, || {
            format!(
                "at most {MAX_BACKENDS_OF_SERVICE} back ends of one service, {MAX_BACKENDS} in total"
            )
        })?;
        self.assignments.new_backends += 1;
        Ok(self.before.last_backend + self.assignments.new_backends)
    }

    fn remove_backend(&mut self, name: &str) -> Result<(), EditError> {
        let backend = self.view.backend_by_name(name);
        let id = backend
            .ok_or_else(|| EditError::not_found("back end", name))?
            .id;
        self.view.remove(RecordKey::Backend(id));
        Ok(())
    }

    fn put_policy(&mut self, edit: &PolicyRecord) -> Result<(), EditError> {
        check_policy(edit)?;
        let is_new = self.view.policy(&edit.name).is_none();
        let fits = !is_new || self.view.policy_count() < MAX_POLICIES;
        require(fits, || {
            format!("there are {MAX_POLICIES} policies already")
        })?;
        self.view.put(Record::Policy(edit.clone()));
        Ok(())
    }

    fn remove_policy(&mut self, name: &str) -> Result<(), EditError> {
        if self.view.policy(name).is_none() {
            return Err(EditError::not_found("policy", name));
        }
        let user = self.view.services_of_policy(name).next();
        if let Some(user) = user {
            let message = format!("the service '{}' uses the policy '{name}'", user.name);
            return Err(EditError::invalid(message));
        }
        self.view.remove(RecordKey::Policy(name.to_owned()));
        Ok(())
    }

    fn set_drain(&mut self, drain: &SetDrain) -> Result<(), EditError> {
        match DrainTarget::try_from(drain.target) {
            Ok(DrainTarget::Backend) => self.drain_backend(drain),
            Ok(DrainTarget::Node) => self.drain_node(drain),
            Ok(DrainTarget::Zone) => self.drain_zone(drain),
            Err(_) => Err(EditError::invalid("the kind of drain is unknown")),
        }
    }

    fn drain_backend(&mut self, drain: &SetDrain) -> Result<(), EditError> {
        let backend = self.view.backend_by_name(&drain.name);
        let backend = backend.ok_or_else(|| EditError::not_found("back end", &drain.name))?;
        let changed = BackendRecord {
            draining: drain.draining,
            ..backend.clone()
        };
        self.view.put(Record::Backend(changed));
        Ok(())
    }

    fn drain_zone(&mut self, drain: &SetDrain) -> Result<(), EditError> {
        let zone = &drain.name;
        check_name("zone", zone)?;
        let in_zone = self.view.backends().filter(|it| it.zone == *zone);
        let changed: Vec<BackendRecord> = in_zone
            .map(|backend| BackendRecord {
                evacuated: drain.draining,
                ..backend.clone()
            })
            .collect();
        if changed.is_empty() && !self.assignments.is_evacuated(self.before, zone) {
            return Err(EditError::not_found("zone", zone));
        }
        if drain.draining {
            self.check_other_zones(zone)?;
        }
        self.assignments.zones.insert(zone.clone(), drain.draining);
        for backend in changed {
            self.view.put(Record::Backend(backend));
        }
        Ok(())
    }

    /// A service keeps a zone in service.
    fn check_other_zones(&self, zone: &str) -> Result<(), EditError> {
        let in_zone = self.view.backends().filter(|it| it.zone == zone);
        let services: BTreeSet<u32> = in_zone.map(|backend| backend.service).collect();
        for service in services {
            let mut others = self.view.backends_of(ServiceId(service));
            let has_other = others.any(|it| it.zone != zone && !it.evacuated);
            require(has_other, || {
                let name = self.view.service(ServiceId(service));
                let name = name.map_or("?", |service| service.name.as_str());
                format!("{zone} is the last zone in service of the service '{name}'")
            })?;
        }
        Ok(())
    }

    fn drain_node(&mut self, drain: &SetDrain) -> Result<(), EditError> {
        check_name("node", &drain.name)?;
        let member = self.view.member(NodeId::from_name(&drain.name)).cloned();
        let known = self.assignments.is_drained(self.before, &drain.name);
        if member.is_none() && !known {
            return Err(EditError::not_found("node", &drain.name));
        }
        let state = if drain.draining {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        let name = drain.name.clone();
        self.assignments.drains.insert(name, drain.draining);
        let count = self.assignments.drained_count(self.before);
        require(count <= MAX_DRAINED_NODES, || {
            format!("at most {MAX_DRAINED_NODES} nodes can be drained")
        })?;
        if let Some(mut member) = member {
            member.state = state as i32;
            self.view.put(Record::Member(member));
        }
        Ok(())
    }
}

/// Open flows depend on the address, and the buckets of all listed generations
/// on their number.
fn check_service_update(existing: &ServiceRecord, edit: &ServiceRecord) -> Result<(), EditError> {
    require(existing.address == edit.address, || {
        format!("the address of service '{}' can't be changed", edit.name)
    })?;
    require(existing.buckets == edit.buckets, || {
        format!("the buckets of service '{}' can't be changed", edit.name)
    })
}

/// A back end elsewhere is another back end, with another identifier.
fn check_backend_update(
    existing: &BackendRecord,
    service: ServiceId,
    edit: &BackendRecord,
) -> Result<(), EditError> {
    let same = existing.service == service.0
        && existing.agent == edit.agent
        && existing.server == edit.server;
    require(same, || {
        let name = &edit.name;
        format!("service, agent and server of '{name}' can't be changed; remove it first")
    })
}
