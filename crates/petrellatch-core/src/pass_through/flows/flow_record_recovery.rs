//! Asks replicas for the flows of an agent's former life.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::FlowRecordResponse;

use super::recorded_flow::{PreviousFlowRecord, from_columns};
use crate::time::Timestamp;

/// Between two questions to a replica that has not answered, in the first seconds.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_SECONDS: Duration = Duration::from_secs(3);
/// The same later: replicas that take long to start must not be flooded.
const LATE_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// After the first whole record others that may be newer are waited for.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// So long replicas that are not known yet may be told of, if those that are known have
/// no record.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Replicas that do not answer are waited for after the first answer of another one.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// The end if nobody answers.
const RECALL_LIMIT: Duration = Duration::from_secs(30);
/// The most parts of a record: what is larger is no record that an agent made.
const MAX_PARTS: u32 = 1_024;

/// How a recall ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryOutcome {
    /// A replica had a record.
    Recalled,
    /// Replicas answered, and none had a record.
    NoRecord,
    /// No replica answered.
    Unanswered,
}

/// The end of a recall.
#[derive(Debug)]
pub(crate) struct RecoveryEnd {
    pub(crate) outcome: RecoveryOutcome,
    /// Number of the record.
    pub(crate) revision: u64,
    /// Flows in it.
    pub(crate) flows: usize,
}

#[derive(Debug)]
enum Answer {
    Parts {
        number: u64,
        parts: BTreeMap<u32, FlowRecordResponse>,
    },
    Complete,
}

/// The state machine.
#[derive(Debug)]
pub(crate) struct FlowRecordRecovery {
    started_at: Timestamp,
    ask_at: Timestamp,
    first_answer_at: Option<Timestamp>,
    first_record_at: Option<Timestamp>,
    answers: BTreeMap<SocketAddrV4, Answer>,
    best: Option<(u64, PreviousFlowRecord)>,
    /// Number of the record that was handed over last.
    handed_over: u64,
}

impl FlowRecordRecovery {
    pub(crate) fn new(now: Timestamp) -> Self {
        FlowRecordRecovery {
            started_at: now,
            ask_at: now,
            first_answer_at: None,
            first_record_at: None,
            answers: BTreeMap::new(),
            best: None,
            handed_over: 0,
        }
    }

    /// Replicas to ask, if that is due.
    pub(crate) fn poll_requests(
        &mut self,
        now: Timestamp,
        known: BTreeSet<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        if now < self.ask_at {
            return Vec::new();
        }
        let is_late = now.saturating_since(self.started_at) >= FIRST_SECONDS;
        self.ask_at = now
            + match is_late {
                true => LATE_ASK_INTERVAL,
                false => ASK_INTERVAL,
            };
        let is_open = |address: &SocketAddrV4| !self.is_complete(address);
        known.into_iter().filter(is_open).collect()
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.ask_at
    }

    /// Takes an answer to a question of this life.
    pub(crate) fn handle_response(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        answer: FlowRecordResponse,
    ) {
        if self.is_complete(&from) || answer.parts > MAX_PARTS {
            return;
        }
        self.first_answer_at.get_or_insert(now);
        if answer.parts == 0 {
            self.answers.insert(from, Answer::Complete);
            return;
        }
        let (number, wanted) = (answer.revision, answer.parts);
        let known = self.answers.entry(from).or_insert_with(|| Answer::Parts {
            number,
            parts: BTreeMap::new(),
        });
        let Answer::Parts { number: of, parts } = known else {
            return;
        };
        if *of != number {
            *of = number;
            parts.clear();
        }
        if answer.part < wanted {
            parts.insert(answer.part, answer);
        }
        if parts.len() < wanted as usize {
            return;
        }
        let parts = std::mem::take(parts);
        self.answers.insert(from, Answer::Complete);
        self.first_record_at.get_or_insert(now);
        let is_newer = |best: &(u64, PreviousFlowRecord)| number > best.0;
        if self.best.as_ref().is_none_or(is_newer) {
            self.best = Some((number, assemble(parts)));
        }
    }

    /// The newest record so far, if it is newer than the one that was handed over before:
    /// whoever waits for it need not wait for the end.
    pub(crate) fn take_newer(&mut self) -> Option<PreviousFlowRecord> {
        let (number, record) = self.best.as_ref()?;
        if *number <= self.handed_over {
            return None;
        }
        self.handed_over = *number;
        Some(record.clone())
    }

    fn is_complete(&self, address: &SocketAddrV4) -> bool {
        matches!(self.answers.get(address), Some(Answer::Complete))
    }

    /// What came of it, once it is over. `known` are the replicas that may answer.
    pub(crate) fn poll_end(
        &mut self,
        now: Timestamp,
        known: &BTreeSet<SocketAddrV4>,
    ) -> Option<RecoveryEnd> {
        let after = |at: Option<Timestamp>, time| at.is_some_and(|at| now >= at + time);
        let all_answered = known.iter().all(|address| self.is_complete(address));
        let has_learnt = now >= self.started_at + LEARNING_TIME;
        let is_over = after(self.first_record_at, SETTLE_TIME)
            || (all_answered && has_learnt && !known.is_empty())
            || after(self.first_answer_at, SILENCE_LIMIT)
            || now >= self.started_at + RECALL_LIMIT;
        if !is_over {
            return None;
        }
        let outcome = match (&self.best, self.first_answer_at) {
            (Some(_), _) => RecoveryOutcome::Recalled,
            (None, Some(_)) => RecoveryOutcome::NoRecord,
            (None, None) => RecoveryOutcome::Unanswered,
        };
        let best = self.best.as_ref();
        Some(RecoveryEnd {
            outcome,
            revision: best.map_or(0, |(number, _)| *number),
            flows: best.map_or(0, |(_, record)| record.flows.len()),
        })
    }
}

fn assemble(parts: BTreeMap<u32, FlowRecordResponse>) -> PreviousFlowRecord {
    let mut record = PreviousFlowRecord::default();
    for part in parts.into_values() {
        record.backend_incarnation = part.backend_incarnation;
        record.flows.extend(from_columns(&part.flows));
        record.probe_packets.extend(part.probe_packets);
    }
    record
}
