//! Recovery of the flow record of an agent's previous incarnation from the replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::FlowRecordResponse;

use super::recorded_flow::{PreviousFlowRecord, from_columns};
use crate::time::Timestamp;

/// Interval between requests to a replica that hasn't responded, in the initial period.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_SECONDS: Duration = Duration::from_secs(3);
/// The interval after the initial period. It is longer so as not to flood replicas that
/// take long to start.
const LATE_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// After the first complete record, time to wait for others that may be newer.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// If the known replicas have no record, time to wait for further replicas to become known.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// After the first response, time to wait for replicas that haven't responded.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Total time after which the recovery ends, also without any response.
const RECALL_LIMIT: Duration = Duration::from_secs(30);
/// Maximum number of parts of a record. Agents don't create larger ones.
const MAX_PARTS: u32 = 1_024;

/// Outcome of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryOutcome {
    /// A replica had a record.
    Recalled,
    /// Replicas responded, but none had a record.
    NoRecord,
    /// No replica responded.
    Unanswered,
}

/// Result of a recovery.
#[derive(Debug)]
pub(crate) struct RecoveryEnd {
    pub(crate) outcome: RecoveryOutcome,
    /// Revision of the record; zero if there was none.
    pub(crate) revision: u64,
    /// Number of flows in the record.
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

/// State machine of a recovery.
#[derive(Debug)]
pub(crate) struct FlowRecordRecovery {
    started_at: Timestamp,
    ask_at: Timestamp,
    first_answer_at: Option<Timestamp>,
    first_record_at: Option<Timestamp>,
    answers: BTreeMap<SocketAddrV4, Answer>,
    best: Option<(u64, PreviousFlowRecord)>,
    /// Revision that [`FlowRecordRecovery::take_newer`] returned last.
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

    /// Replicas to send requests to now.
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

    /// Handles a response to a request of this incarnation.
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

    /// The newest record so far, if it is newer than the one returned before. The agent can use
    /// it before the recovery ends.
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

    /// The result, once the recovery has ended. `known` are the replicas that may respond.
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
