//! Flow reports to other agents.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use petrellatch_proto::admission::{FlowEntry, FlowReport, FlowReportAck};

use crate::Timestamp;
use crate::identity::ServiceId;
use crate::routing::AgentIncarnation;

/// Flows in one part, so that a part takes about 8 KiB.
const FLOWS_PER_PART: usize = 256;

/// Time until a part that was not confirmed is sent again; it doubles with
/// every repetition.
const FIRST_RETRY: Duration = Duration::from_millis(50);

/// The longest time between two repetitions.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// The reports of one service that were not confirmed yet, one for each
/// recipient. A report for a newer generation replaces the former one.
#[derive(Clone, Debug, Default)]
pub struct ReportOutbox {
    reports: BTreeMap<AgentIncarnation, PendingReport>,
}

/// One part of a report and who gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingReport {
    /// The recipient.
    pub recipient: AgentIncarnation,
    /// The part.
    pub report: FlowReport,
}

#[derive(Clone, Debug)]
struct PendingReport {
    service: ServiceId,
    generation: u64,
    parts: Vec<Vec<FlowEntry>>,
    unconfirmed: BTreeSet<u32>,
    /// Parts to send in the present round.
    unsent: BTreeSet<u32>,
    due: Timestamp,
    retry: Duration,
}

impl ReportOutbox {
    /// Makes an empty outbox.
    pub fn new() -> Self {
        ReportOutbox::default()
    }

    /// Starts to report `flows` to `recipient`, in place of any former report.
    pub fn put(
        &mut self,
        now: Timestamp,
        recipient: AgentIncarnation,
        service: ServiceId,
        generation: u64,
        flows: &[FlowEntry],
    ) {
        let mut parts: Vec<Vec<FlowEntry>> = flows
            .chunks(FLOWS_PER_PART)
            .map(<[FlowEntry]>::to_vec)
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let numbers: BTreeSet<u32> = (0..).take(parts.len()).collect();
        let report = PendingReport {
            service,
            generation,
            parts,
            unconfirmed: numbers.clone(),
            unsent: numbers,
            due: now,
            retry: FIRST_RETRY,
        };
        self.reports.insert(recipient, report);
    }

    /// Handles the confirmation of one part.
    pub fn handle_ack(&mut self, recipient: AgentIncarnation, ack: &FlowReportAck) {
        let Some(report) = self.reports.get_mut(&recipient) else {
            return;
        };
        if report.generation != ack.generation {
            return;
        }
        report.unconfirmed.remove(&ack.part);
        report.unsent.remove(&ack.part);
        if report.unconfirmed.is_empty() {
            self.reports.remove(&recipient);
        }
    }

    /// Returns the next part that is due.
    pub fn poll(&mut self, now: Timestamp) -> Option<OutgoingReport> {
        let due = self
            .reports
            .iter_mut()
            .find(|(_, report)| report.due <= now);
        let (recipient, report) = due?;
        let part = report.unsent.pop_first()?;
        if report.unsent.is_empty() {
            report.schedule_next_round(now);
        }
        Some(OutgoingReport {
            recipient: *recipient,
            report: report.part(part, *recipient),
        })
    }

    /// Returns when a part is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.reports.values().map(|report| report.due).min()
    }

    /// Forgets the reports to lives for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(AgentIncarnation) -> bool) {
        self.reports.retain(|life, _| keep(*life));
    }

    /// Returns whether a report to `recipient` was not confirmed yet.
    pub fn has_report_for(&self, recipient: AgentIncarnation) -> bool {
        self.reports.contains_key(&recipient)
    }

    /// Returns whether everything was confirmed.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

impl PendingReport {
    fn schedule_next_round(&mut self, now: Timestamp) {
        self.unsent = self.unconfirmed.clone();
        self.due = now + self.retry;
        self.retry = (self.retry * 2).min(LONGEST_RETRY);
    }

    fn part(&self, part: u32, recipient: AgentIncarnation) -> FlowReport {
        FlowReport {
            service: self.service.0,
            generation: self.generation,
            part,
            parts: u32::try_from(self.parts.len()).unwrap_or(u32::MAX),
            flows: self.parts[part as usize].clone(),
            recipient_incarnation: recipient.incarnation.0,
        }
    }
}
