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

use super::documents::{OperatorDocument, Shape};
use crate::api::{
    ChangeRequest, Endpoint, ErrorDocument, PolicyCheckRequest, ReplicaAction, ReplicaRequest,
};
use crate::http::{HttpHandler, HttpRequest, HttpResponse};

/// Added to the request timeout of the control node, so that its own error
/// response arrives first.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Channel for the response to one request.
pub(super) type AnswerSender = SyncSender<Answer>;

/// A request to the event loop.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LoopRequest {
    /// A request for the control node.
    Node(OperatorRequest, Shape),
    /// Adds the replica that this node has announced.
    AddAnnounced(NodeId),
}

/// A request that is sent to the event loop.
pub(super) struct PendingRequest {
    /// The request.
    pub(super) request: LoopRequest,
    /// Where its response goes.
    pub(super) answer: AnswerSender,
}

/// The response of the event loop.
pub(super) enum Answer {
    /// The request succeeded.
    Done(OperatorDocument),
    /// The request failed, or its outcome is unknown.
    Refused(ErrorDocument),
}

/// Converts HTTP requests into requests to the event loop, and waits for the
/// responses.
pub(super) struct OperatorApi {
    requests: Sender<PendingRequest>,
    waker: Arc<Waker>,
    patience: Duration,
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
            patience: request_timeout + ANSWER_MARGIN,
        }
    }

    fn ask(&self, request: LoopRequest) -> HttpResponse {
        let (answer, answers) = sync_channel(1);
        let pending = PendingRequest { request, answer };
        if self.requests.send(pending).is_err() {
            return stopped();
        }
        let _ = self.waker.wake();
        self.wait(&answers)
    }

    fn wait(&self, answers: &Receiver<Answer>) -> HttpResponse {
        match answers.recv_timeout(self.patience) {
            Ok(Answer::Done(document)) => document.into_response(),
            Ok(Answer::Refused(document)) => HttpResponse::refusal(&document),
            Err(_) => stopped(),
        }
    }
}

impl HttpHandler for OperatorApi {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match read_request(request) {
            Ok(request) => self.ask(request),
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
    let node = |request| Ok(LoopRequest::Node(request, Shape::Whole));
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
    Ok(LoopRequest::Node(wait, Shape::Progress { version }))
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
    Ok(LoopRequest::Node(request, Shape::Whole))
}

fn invalid(message: &str) -> HttpResponse {
    HttpResponse::error(ErrorKind::Invalid, message)
}

fn stopped() -> HttpResponse {
    let message = "this replica is stopping or too busy; the outcome of a change is not known, \
                   so send it again with the same id";
    HttpResponse::error(ErrorKind::Unavailable, message)
}
