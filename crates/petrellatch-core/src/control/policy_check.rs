//! Checks of policies where they are submitted.

use std::collections::BTreeSet;

use petrellatch_proto::command::{EditKind, OperatorChange};
use petrellatch_proto::record::{PolicyRecord, ServiceRecord};

use crate::cluster::ClusterView;
use crate::identity::ServiceId;
use crate::policy::{BackendView, Policy, PolicyError, PolicySource, ServiceView};

use super::load_level::LoadLevels;
use super::policy_cache::source;
use super::service_input::backend_view;

/// Whether a change puts a policy or assigns one to a service.
pub(super) fn concerns_policies(change: &OperatorChange) -> bool {
    change.edits.iter().any(|edit| {
        matches!(
            edit.kind,
            Some(EditKind::PutPolicy(_) | EditKind::PutService(_))
        )
    })
}

/// Checks the policies that a change puts or assigns, against the state after
/// the change. Returns the explanation of the first fault.
pub(super) fn check_change(change: &OperatorChange, after: &ClusterView) -> Result<(), String> {
    let mut put = BTreeSet::new();
    let mut assigned = BTreeSet::new();
    for edit in &change.edits {
        match &edit.kind {
            Some(EditKind::PutPolicy(policy)) => {
                put.insert(policy.name.as_str());
            }
            Some(EditKind::PutService(service)) => {
                assigned.insert(service.name.as_str());
            }
            _ => {}
        }
    }
    for policy in after.policies() {
        let is_put = put.contains(policy.name.as_str());
        let services = after.services().filter(|service| {
            let is_concerned = is_put || assigned.contains(service.name.as_str());
            service.policy == policy.name && is_concerned
        });
        let services: Vec<&ServiceRecord> = services.collect();
        if is_put || !services.is_empty() {
            check_policy(policy, &services, after)?;
        }
    }
    Ok(())
}

/// Checks a policy for one service, or for all.
pub(super) fn check_source(
    policy: &PolicySource,
    service: Option<&ServiceRecord>,
    view: &ClusterView,
) -> Result<(), PolicyError> {
    let compiled = Policy::compile(policy)?;
    let services: Vec<&ServiceRecord> = match service {
        Some(service) => vec![service],
        None => view.services().collect(),
    };
    check_services(&compiled, &services, view)
}

fn check_policy(
    policy: &PolicyRecord,
    services: &[&ServiceRecord],
    view: &ClusterView,
) -> Result<(), String> {
    Policy::compile(&source(policy))
        .and_then(|compiled| check_services(&compiled, services, view))
        .map_err(|error| format!("policy '{}': {error}", policy.name))
}

fn check_services(
    policy: &Policy,
    services: &[&ServiceRecord],
    view: &ClusterView,
) -> Result<(), PolicyError> {
    if services.is_empty() {
        return policy.check(&ServiceView::default(), &[]);
    }
    for service in services {
        let backends = view.backends_of(ServiceId(service.id));
        let backends: Vec<BackendView> = backends
            .map(|backend| backend_view(backend, LoadLevels::UNKNOWN, None))
            .collect();
        policy.check(&service_view(service), &backends)?;
    }
    Ok(())
}

/// The service as a policy sees it.
pub(super) fn service_view(service: &ServiceRecord) -> ServiceView {
    ServiceView {
        id: ServiceId(service.id),
        name: service.name.clone(),
        zone: None,
    }
}
