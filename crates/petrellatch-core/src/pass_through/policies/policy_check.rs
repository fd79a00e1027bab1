//! Checks and explanations of policies, with the data of agents' reports.

use petrellatch_proto::pass_through::{PlacementPolicy, Report};

use super::backend_profile::{BackendCondition, BackendProfile};
use super::placement_policies::PolicyRefusal;
use crate::policy::{
    BackendExplanation, BackendView, Policy, PolicyError, PolicySource, ServiceView, shares,
};
use crate::time::Timestamp;

/// A back end with the service that it runs.
#[derive(Clone, Debug)]
pub(crate) struct ReportedBackend {
    service: String,
    view: BackendView,
    /// When its agent's latest report came.
    reported_at: Timestamp,
}

/// The result of a policy for one back end, and its inputs.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedBackend {
    /// Its part of the new flows, and why.
    pub explanation: BackendExplanation,
    /// Age of the agent's report that the result is based on, in milliseconds.
    pub age_millis: u64,
}

/// The results of a service's policy.
#[derive(Clone, Debug, PartialEq)]
pub struct ExplainedPolicy {
    /// The service.
    pub service: String,
    /// Name of the policy; empty if the service has none.
    pub policy: String,
    /// Log index of the policies.
    pub index: u64,
    /// The back ends of the service.
    pub backends: Vec<ExplainedBackend>,
}

impl ReportedBackend {
    pub(crate) fn new(now: Timestamp, reported_at: Timestamp, report: &Report) -> ReportedBackend {
        let profile = BackendProfile::from_report(reported_at, report);
        let condition = BackendCondition {
            state: report.state(),
            load: report.load,
            flows_since_report: 0,
            is_ejected: report.load.ejected_millis > 0,
        };
        ReportedBackend {
            service: report.service.clone(),
            view: profile.view(now, &condition),
            reported_at,
        }
    }
}

fn source(policy: &PlacementPolicy) -> PolicySource {
    PolicySource {
        eligible: policy.eligible.clone(),
        weight: policy.weight.clone(),
    }
}

/// Checks that a policy compiles, and that its results are valid for the back ends of its
/// services (for all back ends if it names no service) and for edge cases.
pub(crate) fn check(
    policy: &PlacementPolicy,
    backends: &[ReportedBackend],
) -> Result<(), PolicyRefusal> {
    check_source(&source(policy), &policy.services, backends).map_err(|error| {
        PolicyRefusal::Invalid {
            message: error.to_string(),
        }
    })
}

fn check_source(
    source: &PolicySource,
    services: &[String],
    backends: &[ReportedBackend],
) -> Result<(), PolicyError> {
    let compiled = Policy::compile(source)?;
    let mut checked: Vec<&str> = services.iter().map(String::as_str).collect();
    if checked.is_empty() {
        checked = backends.iter().map(|it| it.service.as_str()).collect();
        checked.push("");
    }
    checked.sort_unstable();
    checked.dedup();
    for name in checked {
        let views = backends.iter().filter(|it| it.service == name);
        let views: Vec<BackendView> = views.map(|it| it.view.clone()).collect();
        compiled.check(&service_view(name), &views)?;
    }
    Ok(())
}

/// The results of a policy for the back ends of a service, for callers without a zone.
pub(crate) fn explain(
    now: Timestamp,
    service: &str,
    policy: &PlacementPolicy,
    backends: &[ReportedBackend],
) -> Result<Vec<ExplainedBackend>, PolicyError> {
    let compiled = Policy::compile(&source(policy))?;
    let backends_of_service = backends.iter().filter(|it| it.service == service);
    let backends_of_service: Vec<&ReportedBackend> = backends_of_service.collect();
    let views: Vec<BackendView> = backends_of_service
        .iter()
        .map(|it| it.view.clone())
        .collect();
    let explained = shares(&compiled, &service_view(service), &views).explanations;
    let explained = explained.into_iter().zip(backends_of_service);
    let explained = explained.map(|(explanation, backend)| ExplainedBackend {
        explanation,
        age_millis: now.saturating_since(backend.reported_at).as_millis() as u64,
    });
    Ok(explained.collect())
}

fn service_view(name: &str) -> ServiceView {
    ServiceView {
        name: name.to_owned(),
        ..ServiceView::default()
    }
}
