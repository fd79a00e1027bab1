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

use super::documents::OperatorDocument;
use crate::api::{ChangeRequest, ErrorDocument, PolicyCheckRequest, ReplicaAction, ReplicaRequest};
use crate::http::{HttpHandler, HttpRequest, HttpResponse};

/// Added to the time after which the event loop answers by itself.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Where the answer to one request goes.
pub(super) type AnswerSender = SyncSender<Answer>;

/// A request on its way to the event loop.
pub(super) struct PendingRequest {
    /// The request.
    pub(super) request: OperatorRequest,
    /// Where its answer goes.
    pub(super) answer: AnswerSender,
}

/// The answer of the event loop.
pub(super) enum Answer {
    /// The request was carried out.
    Done(OperatorDocument),
    /// It was not, or its outcome is not known.
    Refused(ErrorDocument),
}

/// Turns HTTP requests into requests to the event loop, and waits there for
/// the answers.
pub(super) struct OperatorApi {
    requests: Sender<PendingRequest>,
    waker: Arc<Waker>,
    patience: Duration,
}

impl OperatorApi {
    /// Makes the API in front of an event loop that gives up requests after
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

    fn ask(&self, request: OperatorRequest) -> HttpResponse {
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

fn read_request(request: &HttpRequest) -> Result<OperatorRequest, HttpResponse> {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/changes") => {
            let change: ChangeRequest = request.json()?;
            Ok(OperatorRequest::Change(OperatorChange::from(&change)))
        }
        ("GET", "/v1/configuration") => Ok(OperatorRequest::ReadConfiguration),
        ("GET", "/v1/status") => Ok(OperatorRequest::Status),
        ("POST", "/v1/policies/check") => {
            let check: PolicyCheckRequest = request.json()?;
            Ok(OperatorRequest::CheckPolicy {
                policy: PolicySource {
                    eligible: check.eligible,
                    weight: check.weight,
                },
                service: check.service,
            })
        }
        ("GET", "/v1/policies/explain") => match request.query_value("service") {
            Some(service) => Ok(OperatorRequest::ExplainPolicy {
                service: service.to_string(),
            }),
            None => {
                let message = "the query needs service=NAME";
                Err(HttpResponse::error(ErrorKind::Invalid, message))
            }
        },
        ("POST", "/v1/replicas") => {
            let change: ReplicaRequest = request.json()?;
            replica_change(&change).map(OperatorRequest::ChangeReplicas)
        }
        (method, path) => {
            let message = format!("there is no {method} {path}; see docs/API.md");
            Err(HttpResponse::error(ErrorKind::NotFound, message))
        }
    }
}

fn replica_change(request: &ReplicaRequest) -> Result<MembershipChange, HttpResponse> {
    let node = NodeId::from_name(&request.name);
    match request.action {
        ReplicaAction::Remove => Ok(MembershipChange::Remove(node)),
        ReplicaAction::Add => {
            let text = request.incarnation.as_deref().unwrap_or("");
            let incarnation = u64::from_str_radix(text, 16).map_err(|_| {
                let message = "incarnation must be the 16 hexadecimal digits that the new \
                               replica printed when it started";
                HttpResponse::error(ErrorKind::Invalid, message)
            })?;
            Ok(MembershipChange::AddVoter(ReplicaId {
                node,
                incarnation: Incarnation(incarnation),
            }))
        }
    }
}

fn stopped() -> HttpResponse {
    let message = "this replica is stopping or too busy; the outcome of a change is not known, \
                   so send it again with the same id";
    HttpResponse::error(ErrorKind::Unavailable, message)
}
