//! Operator requests at a control node.

use petrellatch_proto::command::{
    Command, CommandKind, OperatorChange, RefusalReason, RefuseChange,
};
use prost::Message;

use crate::consensus::{MembershipChange, MembershipError, ProposeError};
use crate::error_kind::ErrorKind;
use crate::policy::PolicySource;
use crate::time::Timestamp;

use super::super::control_output::ControlOutput;
use super::super::limits::{MAX_CHANGE_BYTES, MAX_REQUEST_ID_BYTES};
use super::super::operator::{Configuration, OperatorError, OperatorRequest, OperatorResponse};
use super::super::outcome::ChangeAnswer;
use super::super::pending_requests::PendingRead;
use super::super::{policy_check, status};
use super::ControlNode;
use super::leadership::Leadership;

type RequestResult = Result<OperatorResponse, OperatorError>;

impl ControlNode {
    /// Starts a request; what can't be started is answered at once.
    pub(super) fn start_request(&mut self, now: Timestamp, token: u64, request: OperatorRequest) {
        if self.requests.is_full() {
            let message = "too many requests are in progress";
            let error = OperatorError::new(ErrorKind::Overloaded, message);
            self.respond(token, Err(error));
            return;
        }
        let started = match request {
            OperatorRequest::Change(change) => self.start_change(now, token, change),
            OperatorRequest::ChangeReplicas(change) => self.change_replicas(now, token, change),
            read => self.start_read(now, token, read),
        };
        if let Err(error) = started {
            self.respond(token, Err(error));
        }
    }

    fn start_change(
        &mut self,
        now: Timestamp,
        token: u64,
        change: OperatorChange,
    ) -> Result<(), OperatorError> {
        check_size(&change)?;
        if !self.replica.is_leader_with_quorum(now) {
            return Err(OperatorError::not_leader(self.other_leader()));
        }
        let command = Command::from(self.command_for(change)).encode_to_vec();
        let position = self.replica.propose(now, command).map_err(propose_error)?;
        self.requests.insert_change(now, position, token);
        Ok(())
    }

    /// Checks policies before the change goes to the log. A change that was
    /// decided already, or that will be refused anyway, is not checked.
    fn command_for(&self, change: OperatorChange) -> CommandKind {
        let needs_check = policy_check::concerns_policies(&change)
            && self.state.earlier_answer(&change).is_none();
        if needs_check
            && let Ok(after) = self.state.view_after(&change)
            && let Err(message) = policy_check::check_change(&change, &after)
        {
            return CommandKind::RefuseChange(RefuseChange {
                change,
                reason: RefusalReason::InvalidPolicy as i32,
                message,
            });
        }
        CommandKind::Change(change)
    }

    fn start_read(
        &mut self,
        now: Timestamp,
        token: u64,
        request: OperatorRequest,
    ) -> Result<(), OperatorError> {
        let number = self.requests.next_read();
        self.replica
            .request_read(now, number)
            .map_err(|error| OperatorError::not_leader(error.hint))?;
        let read = PendingRead { token, request };
        self.requests.insert_read(now, read);
        Ok(())
    }

    fn change_replicas(
        &mut self,
        now: Timestamp,
        token: u64,
        change: MembershipChange,
    ) -> Result<(), OperatorError> {
        self.replica
            .propose_membership(now, change)
            .map_err(membership_error)?;
        self.respond(token, Ok(OperatorResponse::ReplicasChanging));
        Ok(())
    }

    /// Answers reads for which leadership was confirmed.
    pub(super) fn answer_ready_reads(&mut self, now: Timestamp) {
        for read in std::mem::take(&mut self.ready_reads) {
            let result = match &self.leadership {
                Some(leadership) => self.read(now, leadership, read.request),
                None => Err(OperatorError::not_leader(self.other_leader())),
            };
            self.respond(read.token, result);
        }
    }

    fn read(
        &self,
        now: Timestamp,
        leadership: &Leadership,
        request: OperatorRequest,
    ) -> RequestResult {
        match request {
            OperatorRequest::ReadConfiguration => {
                Ok(OperatorResponse::Configuration(self.configuration()))
            }
            OperatorRequest::ExplainPolicy { service } => self.explain(now, leadership, &service),
            OperatorRequest::CheckPolicy { policy, service } => {
                self.check_policy(&policy, service.as_deref())
            }
            _ => {
                let tracker = &leadership.tracker;
                let status = status::cluster_status(now, &self.replica, &self.state, tracker);
                Ok(OperatorResponse::Status(status))
            }
        }
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            version: self.state.view().version(),
            config_version: self.state.config_version(),
            records: self.state.view().records(),
        }
    }

    fn explain(&self, now: Timestamp, leadership: &Leadership, service: &str) -> RequestResult {
        status::explain(now, service, self.state.view(), &leadership.tracker)
            .map(OperatorResponse::Explanation)
            .ok_or_else(|| unknown_service(service))
    }

    fn check_policy(&self, policy: &PolicySource, service: Option<&str>) -> RequestResult {
        let view = self.state.view();
        let service = match service {
            Some(name) => {
                let found = view.service_by_name(name);
                Some(found.ok_or_else(|| unknown_service(name))?)
            }
            None => None,
        };
        policy_check::check_source(policy, service, view)
            .map(|()| OperatorResponse::PolicyAccepted)
            .map_err(|error| OperatorError::new(ErrorKind::InvalidPolicy, error.to_string()))
    }

    pub(super) fn respond_change(&mut self, token: u64, answer: ChangeAnswer) {
        let result = answer
            .map(OperatorResponse::Changed)
            .map_err(OperatorError::from);
        self.respond(token, result);
    }

    pub(super) fn respond_unknown(&mut self, token: u64) {
        self.respond(token, Err(OperatorError::unknown_outcome()));
    }

    fn respond(&mut self, token: u64, result: RequestResult) {
        self.outputs
            .push_back(ControlOutput::Respond { token, result });
    }

    fn other_leader(&self) -> Option<crate::identity::NodeId> {
        let leader = self.replica.leader();
        leader.filter(|leader| *leader != self.identity.node)
    }
}

fn check_size(change: &OperatorChange) -> Result<(), OperatorError> {
    if change.encoded_len() > MAX_CHANGE_BYTES {
        let message = format!("the change has more than {MAX_CHANGE_BYTES} bytes");
        return Err(OperatorError::new(ErrorKind::TooLarge, message));
    }
    if change.request_id.len() > MAX_REQUEST_ID_BYTES {
        let message = format!("the request id has more than {MAX_REQUEST_ID_BYTES} bytes");
        return Err(OperatorError::new(ErrorKind::Invalid, message));
    }
    Ok(())
}

fn propose_error(error: ProposeError) -> OperatorError {
    match error {
        ProposeError::ProposalNotLeader { source } => OperatorError::not_leader(source.hint),
        ProposeError::CommandTooLarge { .. } => {
            OperatorError::new(ErrorKind::TooLarge, error.to_string())
        }
        ProposeError::Overloaded { .. } => {
            OperatorError::new(ErrorKind::Overloaded, error.to_string())
        }
    }
}

fn membership_error(error: MembershipError) -> OperatorError {
    let kind = match &error {
        MembershipError::ChangeNotLeader { source } => {
            return OperatorError::not_leader(source.hint);
        }
        MembershipError::ChangeInProgress | MembershipError::NotCaughtUp { .. } => {
            ErrorKind::Unavailable
        }
        MembershipError::UnknownMember { .. } => ErrorKind::NotFound,
        MembershipError::AlreadyMember { .. }
        | MembershipError::LastVoter
        | MembershipError::GroupFull => ErrorKind::Invalid,
    };
    OperatorError::new(kind, error.to_string())
}

fn unknown_service(name: &str) -> OperatorError {
    let message = format!("there is no service named '{name}'");
    OperatorError::new(ErrorKind::NotFound, message)
}
