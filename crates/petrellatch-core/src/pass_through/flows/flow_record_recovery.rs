//! Recovery of the flow record of an agent's previous incarnation from the replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::FlowRecordResponse;

use super::recorded_flow::{PreviousFlowRecord, RecordedBackend, from_columns};
use crate::time::Timestamp;

/// Interval between requests to a replica that hasn't responded, in the initial period.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const INITIAL_PERIOD: Duration = Duration::from_secs(3);
/// The interval after the initial period. It is longer so as not to flood replicas that
/// take long to start.
const LATER_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// After the first complete record, time to wait for others that may be newer.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// If the known replicas have no record, time to wait for further replicas to become known.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// After the first response, time to wait for replicas that haven't responded.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Total time after which the recovery ends, also without any response.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of parts of a record. Agents don't create larger ones.
const MAX_PARTS: u32 = 1_024;

/// Outcome of a recovery. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryOutcome {
    /// The record of a replica was recovered.
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
enum ReplicaResponse {
    Parts {
        revision: u64,
        parts: BTreeMap<u32, FlowRecordResponse>,
    },
    Complete,
}

/// State machine of a recovery.
#[derive(Debug)]
pub(crate) struct FlowRecordRecovery {
    started_at: Timestamp,
    next_request_at: Timestamp,
    first_response_at: Option<Timestamp>,
    first_record_at: Option<Timestamp>,
    responses: BTreeMap<SocketAddrV4, ReplicaResponse>,
    best: Option<(u64, PreviousFlowRecord)>,
    /// Revision that [`FlowRecordRecovery::take_newer`] returned last.
    taken_revision: u64,
}

impl FlowRecordRecovery {
    pub(crate) fn new(now: Timestamp) -> Self {
        FlowRecordRecovery {
            started_at: now,
            next_request_at: now,
            first_response_at: None,
            first_record_at: None,
            responses: BTreeMap::new(),
            best: None,
            taken_revision: 0,
        }
    }

    /// Replicas to send requests to now.
    pub(crate) fn poll_requests(
        &mut self,
        now: Timestamp,
        known: BTreeSet<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        if now < self.next_request_at {
            return Vec::new();
        }
        let is_initial_period_over = now.saturating_since(self.started_at) >= INITIAL_PERIOD;
        self.next_request_at = now
            + match is_initial_period_over {
                true => LATER_REQUEST_INTERVAL,
                false => REQUEST_INTERVAL,
            };
        let is_pending = |address: &SocketAddrV4| !self.is_complete(address);
        known.into_iter().filter(is_pending).collect()
    }

    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.next_request_at
    }

    /// Handles a response to a request of this incarnation.
    pub(crate) fn handle_response(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        response: FlowRecordResponse,
    ) {
        if self.is_complete(&from) || response.parts > MAX_PARTS {
            return;
        }
        self.first_response_at.get_or_insert(now);
        if response.parts == 0 {
            self.responses.insert(from, ReplicaResponse::Complete);
            return;
        }
        let (revision, part_count) = (response.revision, response.parts);
        let known = self
            .responses
            .entry(from)
            .or_insert_with(|| ReplicaResponse::Parts {
                revision,
                parts: BTreeMap::new(),
            });
        let ReplicaResponse::Parts {
            revision: current,
            parts,
        } = known
        else {
            return;
        };
        if *current != revision {
            *current = revision;
            parts.clear();
        }
        if response.part < part_count {
            parts.insert(response.part, response);
        }
        if parts.len() < part_count as usize {
            return;
        }
        let parts = std::mem::take(parts);
        self.responses.insert(from, ReplicaResponse::Complete);
        self.first_record_at.get_or_insert(now);
        let is_newer = |best: &(u64, PreviousFlowRecord)| revision > best.0;
        if self.best.as_ref().is_none_or(is_newer) {
            self.best = Some((revision, join_parts(parts)));
        }
    }

    /// The newest record so far, if it is newer than the one returned before. The agent can use
    /// it before the recovery ends.
    pub(crate) fn take_newer(&mut self) -> Option<PreviousFlowRecord> {
        let (revision, record) = self.best.as_ref()?;
        if *revision <= self.taken_revision {
            return None;
        }
        self.taken_revision = *revision;
        Some(record.clone())
    }

    fn is_complete(&self, address: &SocketAddrV4) -> bool {
        matches!(self.responses.get(address), Some(ReplicaResponse::Complete))
    }

    /// The result, once the recovery has ended. `known` are the replicas that may respond.
    pub(crate) fn poll_end(
        &mut self,
        now: Timestamp,
        known: &BTreeSet<SocketAddrV4>,
    ) -> Option<RecoveryEnd> {
        let after = |at: Option<Timestamp>, time| at.is_some_and(|at| now >= at + time);
        let all_responded = known.iter().all(|address| self.is_complete(address));
        let has_discovered = now >= self.started_at + DISCOVERY_TIME;
        let has_ended = after(self.first_record_at, SETTLE_TIME)
            || (all_responded && has_discovered && !known.is_empty())
            || after(self.first_response_at, SILENCE_TIMEOUT)
            || now >= self.started_at + RECOVERY_TIMEOUT;
        if !has_ended {
            return None;
        }
        let outcome = match (&self.best, self.first_response_at) {
            (Some(_), _) => RecoveryOutcome::Recalled,
            (None, Some(_)) => RecoveryOutcome::NoRecord,
            (None, None) => RecoveryOutcome::Unanswered,
        };
        let best = self.best.as_ref();
        Some(RecoveryEnd {
            outcome,
            revision: best.map_or(0, |(revision, _)| *revision),
            flows: best.map_or(0, |(_, record)| record.flows.len()),
        })
    }
}

fn join_parts(parts: BTreeMap<u32, FlowRecordResponse>) -> PreviousFlowRecord {
    let mut record = PreviousFlowRecord::default();
    for part in parts.into_values() {
        record.backend = RecordedBackend {
            digest: part.backend_incarnation,
            started_at_millis: Some(part.backend_started_at_millis).filter(|it| *it != 0),
        };
        record.flows.extend(from_columns(&part.flows));
        record.probe_packets.extend(part.probe_packets);
    }
    record
}
