//! Checks of policies where they are submitted.

use std::collections::BTreeMap;

use petrellatch_proto::command::{EditKind, OperatorChange};
use petrellatch_proto::record::{PolicyRecord, ServiceRecord};

use crate::cluster::ClusterView;
use crate::identity::ServiceId;
use crate::policy::{BackendView, Policy, PolicyError, PolicySource, ServiceView};

use super::changed_view::ChangedView;
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
pub(super) fn check_change(change: &OperatorChange, after: &ChangedView<'_>) -> Result<(), String> {
    for (name, services) in concerned_services(change, after) {
        if let Some(policy) = after.policy(name) {
            let services: Vec<&ServiceRecord> = services.into_values().collect();
            check_policy(policy, &services, after)?;
        }
    }
    Ok(())
}

/// Services by identifier.
type Services<'view> = BTreeMap<u32, &'view ServiceRecord>;

/// The policies that a change puts or assigns, each with the services for
/// which it must be checked.
fn concerned_services<'view>(
    change: &'view OperatorChange,
    after: &'view ChangedView<'_>,
) -> BTreeMap<&'view str, Services<'view>> {
    let mut concerned: BTreeMap<&str, Services> = BTreeMap::new();
    for edit in &change.edits {
        match &edit.kind {
            Some(EditKind::PutPolicy(policy)) => {
                let services = after.services_of_policy(&policy.name);
                let services = services.map(|service| (service.id, service));
                concerned.entry(&policy.name).or_default().extend(services);
            }
            Some(EditKind::PutService(service)) => {
                if let Some(service) = after.service_by_name(&service.name) {
                    let services = concerned.entry(&service.policy).or_default();
                    services.insert(service.id, service);
                }
            }
            _ => {}
        }
    }
    concerned
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
    check_services(&compiled, &services, &ChangedView::new(view))
}

fn check_policy(
    policy: &PolicyRecord,
    services: &[&ServiceRecord],
    view: &ChangedView<'_>,
) -> Result<(), String> {
    Policy::compile(&source(policy))
        .and_then(|compiled| check_services(&compiled, services, view))
        .map_err(|error| format!("policy '{}': {error}", policy.name))
}

fn check_services(
    policy: &Policy,
    services: &[&ServiceRecord],
    view: &ChangedView<'_>,
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
