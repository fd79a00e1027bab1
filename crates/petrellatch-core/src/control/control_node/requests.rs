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
use super::super::policy_check::{self, CheckSubject, FinishedCheck, PolicyCheck};
use super::super::status;
use super::ControlNode;
use super::leadership::Leadership;

type RequestResult = Result<OperatorResponse, OperatorError>;

/// Whether a change must be checked before it is proposed.
enum CheckDemand {
    /// It can be proposed now.
    None(OperatorChange),
    /// It waits for this check.
    Check(PolicyCheck),
}

impl ControlNode {
    /// Starts a request; what can't be started is answered at once.
    pub(super) fn start_request(&mut self, now: Timestamp, token: u64, request: OperatorRequest) {
        if self.requests.is_full(self.checks.len()) {
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
        match self.check_for(token, change) {
            CheckDemand::None(change) => {
                self.propose_change(now, token, CommandKind::Change(change))
            }
            CheckDemand::Check(check) => {
                self.begin_check(now, check);
                Ok(())
            }
        }
    }

    fn propose_change(
        &mut self,
        now: Timestamp,
        token: u64,
        kind: CommandKind,
    ) -> Result<(), OperatorError> {
        if !self.replica.is_leader_with_quorum(now) {
            return Err(OperatorError::not_leader(self.other_leader()));
        }
        let command = Command::from(kind).encode_to_vec();
        let position = self.replica.propose(now, command).map_err(propose_error)?;
        self.requests.insert_change(now, position, token);
        Ok(())
    }

    /// Policies are checked before the change goes to the log. A change that
    /// was decided already, or that will be refused anyway, is not checked.
    fn check_for(&self, token: u64, change: OperatorChange) -> CheckDemand {
        let needs_check = policy_check::concerns_policies(&change)
            && self.state.earlier_answer(&change).is_none();
        if !needs_check {
            return CheckDemand::None(change);
        }
        match self.state.view_after(&change) {
            Ok(after) => CheckDemand::Check(PolicyCheck::of_change(token, change, &after)),
            Err(_) => CheckDemand::None(change),
        }
    }

    /// The first piece is checked at once if no other check was made just now,
    /// so that small changes don't wait.
    fn begin_check(&mut self, now: Timestamp, check: PolicyCheck) {
        self.checks.push(check);
        self.continue_checks(now);
    }

    /// Checks the next piece if it is due, and goes on with the requests that
    /// are checked by then.
    pub(super) fn continue_checks(&mut self, now: Timestamp) {
        for finished in self.checks.handle_timeout(now, &self.state) {
            self.finish_check(now, finished);
        }
    }

    fn finish_check(&mut self, now: Timestamp, finished: FinishedCheck) {
        let token = finished.token;
        match (finished.subject, finished.result) {
            (CheckSubject::Change(change), result) => {
                let kind = checked_change(change, result);
                if let Err(error) = self.propose_change(now, token, kind) {
                    self.respond(token, Err(error));
                }
            }
            (CheckSubject::Policy(_), Ok(())) => {
                self.respond(token, Ok(OperatorResponse::PolicyAccepted));
            }
            (CheckSubject::Policy(_), Err(message)) => {
                let error = OperatorError::new(ErrorKind::InvalidPolicy, message);
                self.respond(token, Err(error));
            }
        }
    }

    /// Nothing of what is still being checked was proposed, so the answer is
    /// certain.
    pub(super) fn give_up_checks(&mut self) {
        for token in self.checks.take_all() {
            let error = OperatorError::not_leader(self.other_leader());
            self.respond(token, Err(error));
        }
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
            self.answer_read(now, read);
        }
    }

    fn answer_read(&mut self, now: Timestamp, read: PendingRead) {
        let PendingRead { token, request } = read;
        let Some(leadership) = &self.leadership else {
            let error = OperatorError::not_leader(self.other_leader());
            self.respond(token, Err(error));
            return;
        };
        if let OperatorRequest::CheckPolicy {
            policy,
            service: None,
        } = request
        {
            let check = PolicyCheck::of_policy(token, policy, self.state.view());
            self.begin_check(now, check);
            return;
        }
        let result = self.read(now, leadership, request);
        self.respond(token, result);
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
            OperatorRequest::CheckPolicy {
                policy,
                service: Some(service),
            } => self.check_policy(&policy, &service),
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

    fn check_policy(&self, policy: &PolicySource, service: &str) -> RequestResult {
        let view = self.state.view();
        let found = view.service_by_name(service);
        let record = found.ok_or_else(|| unknown_service(service))?;
        policy_check::check_for_service(policy, record, view)
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

/// The command for a change whose policies were checked.
fn checked_change(change: OperatorChange, result: Result<(), String>) -> CommandKind {
    match result {
        Ok(()) => CommandKind::Change(change),
        Err(message) => CommandKind::RefuseChange(RefuseChange {
            change,
            reason: RefusalReason::InvalidPolicy as i32,
            message,
        }),
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
