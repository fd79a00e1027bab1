//! Operators and their automation, as clients of the control replicas.

use std::time::Duration;

use petrellatch_core::ErrorKind;
use petrellatch_core::control::{Configuration, OperatorError, OperatorRequest, OperatorResponse};
use petrellatch_core::identity::NodeId;
use petrellatch_proto::command::{Edit, OperatorChange};

use super::event::RequestResult;
use super::fleet_plan::FleetPlan;
use super::operator_steps;
use crate::simulator::engine::VirtualTime;
use crate::simulator::schedule::action::Parity;

/// A client that got no answer for so long sends its request again.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a client waits before it asks again after an error.
const ERROR_DELAY: Duration = Duration::from_millis(250);

/// Bits of a token that hold how often a request was sent.
const SENT_BITS: u32 = 16;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Creates everything.
    Setup,
    /// Drains the back end beside an agent, or ends its drain.
    Drain {
        /// The number of the agent.
        agent: usize,
        /// Whether it drains from then on.
        draining: bool,
    },
    /// Chooses which back ends of a service are eligible.
    Policy {
        /// The number of the service.
        service: usize,
        /// Which ones.
        eligible: Parity,
    },
    /// Ends all drains and makes all back ends eligible.
    Restore,
    /// Competes with others; gives up when it loses.
    Race,
    /// Changes something that does not alter the placement.
    Burst {
        /// Numbers the changes of this kind.
        number: u64,
    },
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Not known.
    Unknown,
    /// It was accepted.
    Accepted {
        /// As this version.
        version: u64,
    },
    /// It was refused.
    Refused {
        /// Why.
        kind: ErrorKind,
    },
}

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// The same at every resend.
    pub request_id: String,
    /// What it wants.
    pub intent: Intent,
    /// The version on which it is based.
    pub based_on: u64,
    /// When it was first sent.
    pub invoked: VirtualTime,
    /// How it ended.
    pub outcome: ChangeOutcome,
    /// When the operator learned that.
    pub answered: Option<VirtualTime>,
}

/// A read that was answered.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredRead {
    /// When it was first sent.
    pub invoked: VirtualTime,
    /// When it was answered.
    pub answered: VirtualTime,
    /// The configuration version that it saw.
    pub config_version: u64,
    /// The version of the records that it saw.
    pub version: u64,
    /// How many members lacked it.
    pub lagging: usize,
    /// The records, if they were asked for.
    pub configuration: Option<Configuration>,
}

/// What an operation waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The version to base a change on.
    ReadsVersion(Intent),
    /// The answer to a change.
    Changes(usize),
    /// The state of the cluster.
    Monitors,
    /// All records.
    ReadsAll,
    /// Nothing.
    Done,
}

#[derive(Clone, Debug)]
struct Operation {
    stage: Stage,
    target: usize,
    sent: u32,
    /// Whether the last request was answered by an error.
    was_answered: bool,
    invoked: VirtualTime,
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The number of the control replica.
    pub target: usize,
    /// The token.
    pub token: u64,
    /// How often it was sent, this time included.
    pub sent: u32,
    /// The request.
    pub request: OperatorRequest,
}

/// All operators.
#[derive(Debug)]
pub struct Operators {
    plan: FleetPlan,
    nodes: Vec<NodeId>,
    operations: Vec<Operation>,
    changes: Vec<ChangeRecord>,
    reads: Vec<AnsweredRead>,
    bursts: u64,
    loses_placement_edits: bool,
}

impl Operators {
    /// Starts without any operation. `nodes` are the control replicas.
    pub fn new(plan: FleetPlan, nodes: Vec<NodeId>) -> Self {
        Operators {
            plan,
            nodes,
            operations: Vec::new(),
            changes: Vec::new(),
            reads: Vec::new(),
            bursts: 0,
            loses_placement_edits: false,
        }
    }

    /// Leaves drains and policies out of changes from now on.
    pub fn lose_placement_edits(&mut self) {
        self.loses_placement_edits = true;
    }

    /// Returns all changes that were sent.
    pub fn changes(&self) -> &[ChangeRecord] {
        &self.changes
    }

    /// Returns all reads that were answered.
    pub fn reads(&self) -> &[AnsweredRead] {
        &self.reads
    }

    /// Begins a change; returns the operation.
    pub fn begin_change(&mut self, now: VirtualTime, intent: Intent) -> usize {
        self.begin(now, Stage::ReadsVersion(intent))
    }

    /// Begins one of many changes that do not alter the placement.
    pub fn begin_burst(&mut self, now: VirtualTime) -> usize {
        self.bursts += 1;
        let number = self.bursts;
        self.begin_change(now, Intent::Burst { number })
    }

    /// Begins to look at the state of the cluster.
    pub fn begin_monitor(&mut self, now: VirtualTime) -> usize {
        self.begin(now, Stage::Monitors)
    }

    /// Begins to read all records.
    pub fn begin_read(&mut self, now: VirtualTime) -> usize {
        self.begin(now, Stage::ReadsAll)
    }

    fn begin(&mut self, now: VirtualTime, stage: Stage) -> usize {
        let target = self.operations.len() % self.nodes.len();
        self.operations.push(Operation {
            stage,
            target,
            sent: 0,
            was_answered: false,
            invoked: now,
        });
        self.operations.len() - 1
    }

    /// Returns whether an operation that was sent so often still waits.
    pub fn awaits(&self, operation: usize, sent: u32) -> bool {
        let operation = &self.operations[operation];
        operation.sent == sent && operation.stage != Stage::Done
    }

    /// Makes the next request of an operation. A change stays with the
    /// replica that leads as far as the client knows.
    pub fn send(&mut self, operation: usize) -> Option<Sending> {
        let state = &self.operations[operation];
        let request = match &state.stage {
            Stage::Done => return None,
            Stage::ReadsVersion(_) | Stage::Monitors => OperatorRequest::Status,
            Stage::ReadsAll => OperatorRequest::ReadConfiguration,
            Stage::Changes(index) => OperatorRequest::Change(self.change(*index)),
        };
        let state = &mut self.operations[operation];
        state.sent += 1;
        state.was_answered = false;
        let number = u64::try_from(operation).expect("operations fit into memory");
        Some(Sending {
            target: state.target,
            token: number << SENT_BITS | u64::from(state.sent),
            sent: state.sent,
            request,
        })
    }

    /// Returns how often an operation was sent.
    pub fn sent(&self, operation: usize) -> u32 {
        self.operations[operation].sent
    }

    /// Returns whether the last request of an operation was answered.
    pub fn was_answered(&self, operation: usize) -> bool {
        self.operations[operation].was_answered
    }

    /// Turns to another replica after silence.
    pub fn turn(&mut self, operation: usize) {
        let state = &mut self.operations[operation];
        state.target = (state.target + 1) % self.nodes.len();
    }

    /// Takes an answer. Returns an operation to send again, and after which
    /// time.
    pub fn handle_response(
        &mut self,
        now: VirtualTime,
        token: u64,
        result: RequestResult,
    ) -> Option<(usize, Duration)> {
        let operation = usize::try_from(token >> SENT_BITS).expect("tokens come from here");
        let sent = u32::try_from(token & ((1 << SENT_BITS) - 1)).expect("it has few bits");
        // A client that sent its request again does not see the first answer.
        if !self.awaits(operation, sent) {
            return None;
        }
        self.operations[operation].was_answered = true;
        match result {
            Ok(response) => self.handle_success(now, operation, response),
            Err(error) => self.handle_error(now, operation, &error),
        }
    }

    fn handle_success(
        &mut self,
        now: VirtualTime,
        operation: usize,
        response: OperatorResponse,
    ) -> Option<(usize, Duration)> {
        let state = self.operations[operation].clone();
        let mut next = Stage::Done;
        match (&state.stage, response) {
            (Stage::ReadsVersion(intent), OperatorResponse::Status(status)) => {
                let index = self.record(now, intent.clone(), status.config_version);
                next = Stage::Changes(index);
            }
            (Stage::Changes(index), OperatorResponse::Changed(accepted)) => {
                let record = &mut self.changes[*index];
                record.answered = Some(now);
                record.outcome = ChangeOutcome::Accepted {
                    version: accepted.version,
                };
            }
            (Stage::Monitors, OperatorResponse::Status(status)) => {
                self.reads.push(AnsweredRead {
                    invoked: state.invoked,
                    answered: now,
                    config_version: status.config_version,
                    version: status.version,
                    lagging: status.lagging_count,
                    configuration: None,
                });
            }
            (Stage::ReadsAll, OperatorResponse::Configuration(configuration)) => {
                self.reads.push(AnsweredRead {
                    invoked: state.invoked,
                    answered: now,
                    config_version: configuration.config_version,
                    version: configuration.version,
                    lagging: 0,
                    configuration: Some(configuration),
                });
            }
            _ => {}
        }
        let goes_on = next != Stage::Done;
        self.operations[operation].stage = next;
        goes_on.then_some((operation, Duration::ZERO))
    }

    fn handle_error(
        &mut self,
        now: VirtualTime,
        operation: usize,
        error: &OperatorError,
    ) -> Option<(usize, Duration)> {
        let is_final = !matches!(
            error.kind,
            ErrorKind::NotLeader | ErrorKind::Unavailable | ErrorKind::Overloaded
        );
        if let Stage::Changes(index) = self.operations[operation].stage
            && is_final
        {
            return self.handle_refusal(now, operation, index, error.kind);
        }
        let hinted = error.leader.and_then(|leader| {
            let mut nodes = self.nodes.iter();
            nodes.position(|node| *node == leader)
        });
        match hinted {
            Some(target) => self.operations[operation].target = target,
            None => self.turn(operation),
        }
        Some((operation, ERROR_DELAY))
    }

    /// Automation that lost against another change looks again and goes on.
    fn handle_refusal(
        &mut self,
        now: VirtualTime,
        operation: usize,
        index: usize,
        kind: ErrorKind,
    ) -> Option<(usize, Duration)> {
        let record = &mut self.changes[index];
        record.answered = Some(now);
        record.outcome = ChangeOutcome::Refused { kind };
        let intent = record.intent.clone();
        let tries_again = kind == ErrorKind::Conflict && intent != Intent::Race;
        self.operations[operation].stage = if tries_again {
            Stage::ReadsVersion(intent)
        } else {
            Stage::Done
        };
        tries_again.then_some((operation, ERROR_DELAY))
    }

    fn record(&mut self, now: VirtualTime, intent: Intent, based_on: u64) -> usize {
        let number = self.changes.len();
        self.changes.push(ChangeRecord {
            request_id: format!("change-{number}"),
            intent,
            based_on,
            invoked: now,
            outcome: ChangeOutcome::Unknown,
            answered: None,
        });
        number
    }

    fn change(&self, index: usize) -> OperatorChange {
        let record = &self.changes[index];
        let mut kinds = operator_steps::edits(&self.plan, record);
        if self.loses_placement_edits && record.intent != Intent::Setup {
            kinds.drain(..kinds.len() - 1);
        }
        let edits = kinds.into_iter().map(|kind| Edit { kind: Some(kind) });
        OperatorChange {
            request_id: record.request_id.clone(),
            based_on: record.based_on,
            edits: edits.collect(),
        }
    }
}
