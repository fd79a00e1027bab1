//! Checks of policies where they are submitted.

use std::collections::{BTreeMap, VecDeque};

use petrellatch_proto::command::{EditKind, OperatorChange};
use petrellatch_proto::record::ServiceRecord;

use crate::cluster::ClusterView;
use crate::identity::ServiceId;
use crate::policy::{BackendView, Policy, PolicyError, PolicySource, ServiceView};

use super::changed_view::ChangedView;
use super::control_state::ControlState;
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

/// What a check is made for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CheckSubject {
    /// A change that puts or assigns policies; it has not been proposed.
    Change(OperatorChange),
    /// A policy that is checked without effect.
    Policy(PolicySource),
}

/// A check of policies for many services, made in pieces.
#[derive(Clone, Debug)]
pub(super) struct PolicyCheck {
    token: u64,
    subject: CheckSubject,
    parts: VecDeque<CheckPart>,
}

/// One policy with the services for which it is still to be checked.
#[derive(Clone, Debug)]
struct CheckPart {
    /// The name, unless it has none yet.
    name: Option<String>,
    policy: PolicySource,
    services: VecDeque<ServiceId>,
}

/// How far a check has come. A fault is given by its explanation.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CheckProgress {
    /// There are more pieces.
    Unfinished,
    /// All was checked, or a fault was found.
    Finished(Result<(), String>),
}

/// A check that is over.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FinishedCheck {
    /// The request.
    pub(super) token: u64,
    /// What was checked.
    pub(super) subject: CheckSubject,
    /// The explanation of the first fault.
    pub(super) result: Result<(), String>,
}

impl PolicyCheck {
    /// Begins a check of the policies that a change puts or assigns.
    pub(super) fn of_change(token: u64, change: OperatorChange, after: &ChangedView<'_>) -> Self {
        let concerned = concerned_services(&change, after);
        let parts = concerned.into_iter().filter_map(|(name, services)| {
            Some(CheckPart {
                name: Some(name.to_owned()),
                policy: source(after.policy(name)?),
                services: services.into_keys().map(ServiceId).collect(),
            })
        });
        PolicyCheck {
            token,
            parts: parts.collect(),
            subject: CheckSubject::Change(change),
        }
    }

    /// Begins a check of a policy for all services.
    pub(super) fn of_policy(token: u64, policy: PolicySource, view: &ClusterView) -> Self {
        let services = view.services().map(|service| ServiceId(service.id));
        let part = CheckPart {
            name: None,
            policy: policy.clone(),
            services: services.collect(),
        };
        PolicyCheck {
            token,
            parts: VecDeque::from([part]),
            subject: CheckSubject::Policy(policy),
        }
    }

    /// The request that waits for the check.
    pub(super) fn token(&self) -> u64 {
        self.token
    }

    /// Checks for at most `budget` services and takes them off it. A change
    /// that would meanwhile be refused for another reason needs no further
    /// check.
    pub(super) fn check_piece(
        &mut self,
        budget: &mut usize,
        state: &ControlState,
    ) -> CheckProgress {
        let view = match &self.subject {
            CheckSubject::Change(change) => match state.view_after(change) {
                Ok(after) => after,
                Err(_) => return CheckProgress::Finished(Ok(())),
            },
            CheckSubject::Policy(_) => ChangedView::new(state.view()),
        };
        while let Some(part) = self.parts.front_mut() {
            if *budget == 0 {
                return CheckProgress::Unfinished;
            }
            let count = part.services.len().min(*budget);
            if let Err(fault) = part.check_next(count, &view) {
                return CheckProgress::Finished(Err(fault));
            }
            // A policy without services costs as much as one for a service.
            *budget -= count.max(1);
            if part.services.is_empty() {
                self.parts.pop_front();
            }
        }
        CheckProgress::Finished(Ok(()))
    }

    /// Ends the check.
    pub(super) fn finish(self, result: Result<(), String>) -> FinishedCheck {
        FinishedCheck {
            token: self.token,
            subject: self.subject,
            result,
        }
    }
}

impl CheckPart {
    fn check_next(&mut self, count: usize, view: &ChangedView<'_>) -> Result<(), String> {
        let identifiers = self.services.drain(..count);
        let services: Vec<&ServiceRecord> = identifiers.filter_map(|id| view.service(id)).collect();
        let checked = Policy::compile(&self.policy)
            .and_then(|compiled| check_services(&compiled, &services, view));
        checked.map_err(|error| match &self.name {
            Some(name) => format!("policy '{name}': {error}"),
            None => error.to_string(),
        })
    }
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

/// Checks a policy for one service.
pub(super) fn check_for_service(
    policy: &PolicySource,
    service: &ServiceRecord,
    view: &ClusterView,
) -> Result<(), PolicyError> {
    let compiled = Policy::compile(policy)?;
    check_services(&compiled, &[service], &ChangedView::new(view))
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
