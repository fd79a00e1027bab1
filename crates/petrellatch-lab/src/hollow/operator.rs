//! Submits operator changes to whichever replica leads.

use std::time::{Duration, Instant};

use petrellatch_core::control::{OperatorError, OperatorRequest, OperatorResponse};
use petrellatch_core::error_kind::ErrorKind;
use petrellatch_proto::command::{Edit, EditKind, OperatorChange};
use prost::Message;
use snafu::Snafu;

use crate::support::process::ProcessClock;

use super::arrivals::SubmittedChange;
use super::control_replica::ControlReplica;

/// Most edits in one change while the configuration is created.
const EDITS_OF_CHANGE: usize = 120;

/// Most encoded bytes of these edits.
const BYTES_OF_CHANGE: usize = 30_000;

/// How long one answer is awaited.
const ANSWER_PATIENCE: Duration = Duration::from_secs(10);

/// How long a change is tried.
const CHANGE_PATIENCE: Duration = Duration::from_secs(60);

/// Time between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a change was not accepted.
#[derive(Debug, Snafu)]
pub enum SubmitError {
    /// It was refused.
    #[snafu(display("a change was refused: {source}"))]
    Refused {
        /// The refusal.
        source: OperatorError,
    },
    /// No replica gave a final answer.
    #[snafu(display("no replica answered a change in {CHANGE_PATIENCE:?}"))]
    NoAnswer,
}

/// An operator that submits one change after the other.
pub struct Operator<'a> {
    clock: ProcessClock,
    replicas: &'a [ControlReplica],
    config_version: u64,
    request: u64,
}

impl<'a> Operator<'a> {
    /// An operator of a new group.
    pub fn new(clock: ProcessClock, replicas: &'a [ControlReplica]) -> Self {
        Operator {
            clock,
            replicas,
            config_version: 0,
            request: 0,
        }
    }

    /// Submits many edits in as few changes as the limits allow. Returns how
    /// many changes that took. `pace` is called before each change.
    pub fn create(&mut self, edits: Vec<EditKind>, pace: impl Fn()) -> Result<usize, SubmitError> {
        let mut changes = 0;
        let mut batch = Vec::new();
        let mut bytes = 0;
        for kind in edits {
            let edit = Edit { kind: Some(kind) };
            let size = edit.encoded_len();
            if batch.len() >= EDITS_OF_CHANGE || bytes + size > BYTES_OF_CHANGE {
                pace();
                self.submit(std::mem::take(&mut batch))?;
                changes += 1;
                bytes = 0;
            }
            bytes += size;
            batch.push(edit);
        }
        if !batch.is_empty() {
            self.submit(batch)?;
            changes += 1;
        }
        Ok(changes)
    }

    /// Submits one edit as a change.
    pub fn change(&mut self, kind: EditKind) -> Result<SubmittedChange, SubmitError> {
        self.submit(vec![Edit { kind: Some(kind) }])
    }

    fn submit(&mut self, edits: Vec<Edit>) -> Result<SubmittedChange, SubmitError> {
        self.request += 1;
        let change = OperatorChange {
            request_id: format!("change-{}", self.request),
            based_on: self.config_version,
            edits,
        };
        let submitted_at = self.clock.now();
        let version = self.submit_until_answered(&change)?;
        self.config_version = version;
        Ok(SubmittedChange {
            version,
            submitted_at,
            accepted_at: self.clock.now(),
        })
    }

    fn submit_until_answered(&self, change: &OperatorChange) -> Result<u64, SubmitError> {
        let begun = Instant::now();
        while begun.elapsed() < CHANGE_PATIENCE {
            match self.try_once(change) {
                Some(Ok(OperatorResponse::Changed(accepted))) => return Ok(accepted.version),
                Some(Err(error)) if !is_transient(&error) => {
                    return Err(SubmitError::Refused { source: error });
                }
                _ => std::thread::sleep(RETRY_PAUSE),
            }
        }
        Err(SubmitError::NoAnswer)
    }

    fn try_once(&self, change: &OperatorChange) -> Option<Result<OperatorResponse, OperatorError>> {
        let leader = self.replicas.iter().find(|it| it.sample().is_leader)?;
        let answer = leader.call(OperatorRequest::Change(change.clone()));
        answer.recv_timeout(ANSWER_PATIENCE).ok()
    }
}

fn is_transient(error: &OperatorError) -> bool {
    matches!(
        error.kind,
        ErrorKind::NotLeader | ErrorKind::Unavailable | ErrorKind::Overloaded
    )
}
