//! Operators' requests about placement policies. They have the format of this crate; all
//! other requests go through the [`ApiTranslator`](super::ApiTranslator) of the platform.

use std::net::SocketAddrV4;

use petrellatch_core::ErrorKind;
use petrellatch_core::pass_through::{
    ConfigurationRequest, ConfigurationResponse, ExplainedBackend, ExplainedPolicy, PolicyRefusal,
};
use petrellatch_core::policy::Explanation;
use petrellatch_proto::pass_through::{PlacementPolicy, PolicySet};

use crate::api::{
    Endpoint, ErrorDocument, PlacementPolicyDocument, PlacementPolicyList, PolicyChangeAccepted,
    PolicyChangeRequest, PolicyCheck, PolicyCheckRequest, PolicyDecision, PolicyExplanation,
};
use crate::http::{HttpRequest, HttpResponse};

/// Whether a request is about placement policies.
pub(super) fn is_policy_request(request: &HttpRequest) -> bool {
    parse_request(request).is_some()
}

/// Parses a request about placement policies. Returns `None` for any other request, and
/// the response to send if the request is malformed.
pub(super) fn parse_request(
    request: &HttpRequest,
) -> Option<Result<ConfigurationRequest, HttpResponse>> {
    let parsed = match Endpoint::find(&request.method, &request.path)? {
        Endpoint::Policies => Ok(ConfigurationRequest::ReadPolicies),
        Endpoint::ChangePolicies => parse_change(request),
        Endpoint::CheckPolicy => parse_check(request),
        Endpoint::ExplainPolicy => parse_explanation(request),
        _ => return None,
    };
    Some(parsed)
}

fn parse_change(request: &HttpRequest) -> Result<ConfigurationRequest, HttpResponse> {
    let change: PolicyChangeRequest = request.json()?;
    let base_index = change.based_on;
    match (&change.put, change.remove) {
        (Some(policy), None) => Ok(ConfigurationRequest::PutPolicy {
            policy: policy.into(),
            base_index,
        }),
        (None, Some(name)) => Ok(ConfigurationRequest::RemovePolicy { name, base_index }),
        _ => Err(invalid("say either put or remove")),
    }
}

fn parse_check(request: &HttpRequest) -> Result<ConfigurationRequest, HttpResponse> {
    let check: PolicyCheckRequest = request.json()?;
    Ok(ConfigurationRequest::CheckPolicy(PlacementPolicy {
        eligible: check.eligible,
        weight: check.weight,
        services: check.service.into_iter().collect(),
        ..PlacementPolicy::default()
    }))
}

fn parse_explanation(request: &HttpRequest) -> Result<ConfigurationRequest, HttpResponse> {
    let service = request.query_value("service");
    let service = service.ok_or_else(|| invalid("the query needs service=NAME"))?;
    Ok(ConfigurationRequest::ExplainPolicy {
        service: service.to_owned(),
    })
}

/// Converts the response to a request about placement policies. All replicas serve
/// operators at `operator_port`, so it is also the port of the leader.
pub(super) fn to_http_response(
    response: &ConfigurationResponse,
    operator_port: u16,
) -> HttpResponse {
    match response {
        ConfigurationResponse::PolicyChanged { index, changed } => {
            HttpResponse::document(&PolicyChangeAccepted {
                index: *index,
                changed: *changed,
            })
        }
        ConfigurationResponse::PolicyRefused(refusal) => refusal_response(refusal),
        ConfigurationResponse::PolicyValid => HttpResponse::document(&PolicyCheck { sound: true }),
        ConfigurationResponse::PolicyExplained(explained) => {
            HttpResponse::document(&policy_explanation(explained))
        }
        ConfigurationResponse::Policies(set) => HttpResponse::document(&policy_list(set)),
        ConfigurationResponse::NotLeader { leader } => {
            let operator_address = SocketAddrV4::new(*leader.ip(), operator_port);
            let mut document = ErrorDocument::new(ErrorKind::NotLeader, "another replica leads");
            document.error.leader = Some(operator_address.to_string());
            HttpResponse::error_document(&document)
        }
        _ => HttpResponse::error(
            ErrorKind::Unavailable,
            "the outcome is not known; send it again unchanged",
        ),
    }
}

fn refusal_response(refusal: &PolicyRefusal) -> HttpResponse {
    let kind = match refusal {
        PolicyRefusal::Conflict { .. } => ErrorKind::Conflict,
        PolicyRefusal::TooLarge => ErrorKind::TooLarge,
        PolicyRefusal::BadName | PolicyRefusal::SharedScope { .. } => ErrorKind::Invalid,
        PolicyRefusal::Invalid { .. } => ErrorKind::InvalidPolicy,
    };
    let mut document = ErrorDocument::new(kind, refusal.to_string());
    if let PolicyRefusal::Conflict { current, .. } = refusal {
        document.error.current_version = Some(*current);
    }
    HttpResponse::error_document(&document)
}

fn policy_list(set: &PolicySet) -> PlacementPolicyList {
    let policies = set.policies.iter().map(PlacementPolicyDocument::from);
    PlacementPolicyList {
        index: set.index,
        policies: policies.collect(),
    }
}

fn policy_explanation(explained: &ExplainedPolicy) -> PolicyExplanation {
    PolicyExplanation {
        service: explained.service.clone(),
        policy: explained.policy.clone(),
        backends: explained.backends.iter().map(policy_decision).collect(),
    }
}

fn policy_decision(backend: &ExplainedBackend) -> PolicyDecision {
    let explained = &backend.explanation;
    let weight = match &explained.explanation {
        Explanation::Weighted { share, .. } => Some(*share),
        _ => None,
    };
    let reason = &explained.explanation;
    let age = backend.age_millis;
    PolicyDecision {
        backend: explained.name.clone(),
        eligible: weight.is_some(),
        weight: weight.unwrap_or(0),
        reason: format!("{reason} (told {age} ms ago)"),
    }
}

fn invalid(message: &str) -> HttpResponse {
    HttpResponse::error(ErrorKind::Invalid, message)
}
