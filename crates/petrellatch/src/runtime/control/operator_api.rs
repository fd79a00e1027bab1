//! The operator API over HTTP.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, sync_channel};
use std::time::Duration;

use mio::Waker;
use petrellatch_core::ErrorKind;
use petrellatch_core::consensus::{MembershipChange, ReplicaId};
use petrellatch_core::control::OperatorRequest;
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::policy::PolicySource;
use petrellatch_proto::command::OperatorChange;

use super::documents::{OperatorDocument, StatusDocumentKind};
use crate::api::{
    ChangeRequest, Endpoint, ErrorDocument, PolicyCheckRequest, ReplicaAction, ReplicaRequest,
};
use crate::http::{HttpHandler, HttpRequest, HttpResponse};

/// Added to the request timeout of the control node, so that its own error
/// response arrives first.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);

/// Channel for the response to one request.
pub(super) type ResponseSender = SyncSender<LoopResponse>;

/// A request to the event loop.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LoopRequest {
    /// A request for the control node.
    Node(OperatorRequest, StatusDocumentKind),
    /// Adds the replica that this node has announced.
    AddAnnounced(NodeId),
}

/// A request that is sent to the event loop.
pub(super) struct PendingRequest {
    /// The request.
    pub(super) request: LoopRequest,
    /// Where its response goes.
    pub(super) response_sender: ResponseSender,
}

/// The response of the event loop.
pub(super) enum LoopResponse {
    /// The request succeeded.
    Success(OperatorDocument),
    /// The request failed, or its outcome is unknown.
    Failure(ErrorDocument),
}

/// Converts HTTP requests into requests to the event loop, and waits for the
/// responses.
pub(super) struct OperatorApi {
    requests: Sender<PendingRequest>,
    waker: Arc<Waker>,
    response_timeout: Duration,
}

impl OperatorApi {
    /// Creates the API of an event loop whose node fails requests after
    /// `request_timeout`.
    pub(super) fn new(
        requests: Sender<PendingRequest>,
        waker: Arc<Waker>,
        request_timeout: Duration,
    ) -> Self {
        OperatorApi {
            requests,
            waker,
            response_timeout: request_timeout + RESPONSE_MARGIN,
        }
    }

    fn submit(&self, request: LoopRequest) -> HttpResponse {
        let (response_sender, responses) = sync_channel(1);
        let pending = PendingRequest {
            request,
            response_sender,
        };
        if self.requests.send(pending).is_err() {
            return stopped();
        }
        let _ = self.waker.wake();
        self.wait(&responses)
    }

    fn wait(&self, responses: &Receiver<LoopResponse>) -> HttpResponse {
        match responses.recv_timeout(self.response_timeout) {
            Ok(LoopResponse::Success(document)) => document.into_response(),
            Ok(LoopResponse::Failure(document)) => HttpResponse::error_document(&document),
            Err(_) => stopped(),
        }
    }
}

impl HttpHandler for OperatorApi {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match read_request(request) {
            Ok(request) => self.submit(request),
            Err(refusal) => refusal,
        }
    }
}

fn read_request(request: &HttpRequest) -> Result<LoopRequest, HttpResponse> {
    let Some(endpoint) = Endpoint::find(&request.method, &request.path) else {
        let HttpRequest { method, path, .. } = request;
        let message = format!("there is no {method} {path}; see docs/API.md");
        return Err(HttpResponse::error(ErrorKind::NotFound, message));
    };
    let node = |request| Ok(LoopRequest::Node(request, StatusDocumentKind::Full));
    match endpoint {
        Endpoint::Change => {
            let change: ChangeRequest = request.json()?;
            node(OperatorRequest::Change(OperatorChange::from(&change)))
        }
        Endpoint::Configuration => node(OperatorRequest::ReadConfiguration),
        Endpoint::Status => node(OperatorRequest::Status),
        Endpoint::Progress => read_progress(request),
        Endpoint::Policies | Endpoint::ChangePolicies => {
            let message = "policies of this group are part of its configuration; \
                           use POST /v1/changes";
            Err(HttpResponse::error(ErrorKind::NotFound, message))
        }
        Endpoint::CheckPolicy => {
            let check: PolicyCheckRequest = request.json()?;
            node(OperatorRequest::CheckPolicy {
                policy: PolicySource {
                    eligible: check.eligible,
                    weight: check.weight,
                },
                service: check.service,
            })
        }
        Endpoint::ExplainPolicy => match request.query_value("service") {
            Some(service) => node(OperatorRequest::ExplainPolicy {
                service: service.to_string(),
            }),
            None => Err(invalid("the query needs service=NAME")),
        },
        Endpoint::ChangeReplicas => read_replica_change(&request.json()?),
    }
}

fn read_progress(request: &HttpRequest) -> Result<LoopRequest, HttpResponse> {
    let version = match request.query_value("version") {
        None => None,
        Some(text) => {
            let parsed = text.parse::<u64>();
            Some(parsed.map_err(|_| invalid("version must be a whole number"))?)
        }
    };
    let wait = OperatorRequest::Wait {
        version: version.unwrap_or(0),
    };
    Ok(LoopRequest::Node(
        wait,
        StatusDocumentKind::Progress { version },
    ))
}

fn read_replica_change(request: &ReplicaRequest) -> Result<LoopRequest, HttpResponse> {
    let node = NodeId::from_name(&request.name);
    let change = match (request.action, &request.incarnation) {
        (ReplicaAction::Remove, _) => MembershipChange::Remove(node),
        (ReplicaAction::Add, None) => return Ok(LoopRequest::AddAnnounced(node)),
        (ReplicaAction::Add, Some(text)) => {
            let incarnation = u64::from_str_radix(text, 16).map_err(|_| {
                invalid("incarnation must be the 16 hexadecimal digits of the replica's folder")
            })?;
            MembershipChange::AddVoter(ReplicaId {
                node,
                incarnation: Incarnation(incarnation),
            })
        }
    };
    let request = OperatorRequest::ChangeReplicas(change);
    Ok(LoopRequest::Node(request, StatusDocumentKind::Full))
}

fn invalid(message: &str) -> HttpResponse {
    HttpResponse::error(ErrorKind::Invalid, message)
}

fn stopped() -> HttpResponse {
    let message = "this replica is stopping or too busy; the outcome of a change is not known, \
                   so send it again with the same id";
    HttpResponse::error(ErrorKind::Unavailable, message)
}
