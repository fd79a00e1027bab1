//! Reports of flows: to the agents that own buckets now, and from former
//! owners.

use std::collections::{BTreeMap, BTreeSet};

use petrellatch_proto::admission::{FlowEntry, FlowReport, FlowReportAck};

use crate::Timestamp;
use crate::cluster::ClusterView;
use crate::identity::{Incarnation, NodeId};
use crate::placement::FlowKey;
use crate::routing::{AgentIncarnation, PlacedGeneration};

use super::super::OutgoingReport;
use super::ServiceAdmission;

impl ServiceAdmission {
    /// Takes one part of another agent's report. Returns the confirmation, or
    /// none if the report is meant for another life.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        view: &ClusterView,
        sender: AgentIncarnation,
        report: &FlowReport,
    ) -> Option<FlowReportAck> {
        let for_this_life = report.recipient_incarnation == self.own.incarnation.0;
        if !for_this_life && !self.mutations.ignore_incarnation {
            return None;
        }
        let is_member = view.is_member(sender.node, sender.incarnation);
        if !is_member || report.generation > self.generation() {
            // The sender was fenced, or this view is too old. The sender
            // repeats the report as long as it is not confirmed.
            return None;
        }
        self.inbox.handle_part(sender, report);
        self.install_reports(now);
        self.find_unreleased(view);
        Some(FlowReportAck {
            service: report.service,
            generation: report.generation,
            part: report.part,
        })
    }

    /// Takes the confirmation of one part of this agent's report.
    pub fn handle_ack(&mut self, sender: AgentIncarnation, ack: &FlowReportAck) {
        self.outbox.handle_ack(sender, ack);
    }

    /// Returns the next part of a report to send.
    pub fn poll_report(&mut self, now: Timestamp) -> Option<OutgoingReport> {
        self.outbox.poll(now)
    }

    /// Returns when [`ServiceAdmission::poll_report`] has something to send.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.outbox.poll_timeout()
    }

    /// Returns whether a report to `recipient` was not confirmed yet.
    pub fn is_reporting_to(&self, recipient: AgentIncarnation) -> bool {
        self.outbox.has_report_for(recipient)
    }

    /// Returns whether all reports were confirmed.
    pub fn is_reported(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Starts to report once for each generation and each life of this agent.
    pub(super) fn report_flows(
        &mut self,
        now: Timestamp,
        view: &ClusterView,
        flows: &dyn Fn() -> Vec<FlowKey>,
    ) {
        let present = (self.generation(), self.own);
        if self.reported == Some(present) {
            return;
        }
        let flows = flows();
        if !self.takes_part(view, &flows) {
            return;
        }
        let Some(newest) = self.generations.last() else {
            return;
        };
        let recipients: BTreeSet<AgentIncarnation> = newest
            .owning_agents()
            .filter(|life| *life != self.own)
            .filter(|life| view.is_member(life.node, life.incarnation))
            .collect();
        let mut entries = self.entries_by_owner(newest, &flows);
        for recipient in recipients {
            let flows = entries.remove(&recipient).unwrap_or_default();
            self.outbox
                .put(now, recipient, self.service, present.0, &flows);
        }
        self.reported = Some(present);
    }

    /// Returns whether this agent has, or had, anything to do with the
    /// service.
    fn takes_part(&self, view: &ClusterView, flows: &[FlowKey]) -> bool {
        let mut lives = self.generations.iter().flat_map(PlacedGeneration::agents);
        let has_share = lives.any(|life| life == self.own);
        let mut backends = view.backends_of(self.service);
        let beside = backends.any(|it| NodeId::from_name(&it.agent) == self.own.node);
        has_share || beside || !flows.is_empty() || !self.redirects.is_empty()
    }

    fn entries_by_owner(
        &self,
        newest: &PlacedGeneration,
        flows: &[FlowKey],
    ) -> BTreeMap<AgentIncarnation, Vec<FlowEntry>> {
        let mut entries: BTreeMap<AgentIncarnation, Vec<FlowEntry>> = BTreeMap::new();
        if self.mutations.forget_redirects {
            return entries;
        }
        let here = flows.iter().map(|key| (key, AgentIncarnation::default()));
        let elsewhere = self.redirects.iter().map(|(key, it)| (key, it.holder));
        for (key, holder) in here.chain(elsewhere) {
            let bucket = key.bucket(newest.bucket_count());
            if let Some(owner) = newest.owner(bucket) {
                entries.entry(owner.agent).or_default().push(FlowEntry {
                    source: key.source.into(),
                    holder: holder.node.0,
                    holder_incarnation: holder.incarnation.0,
                });
            }
        }
        entries
    }

    /// Takes over the flows of reports that are complete for the newest
    /// generation.
    pub(super) fn install_reports(&mut self, now: Timestamp) {
        for (sender, flows) in self.inbox.take_complete(self.generation()) {
            self.redirects.replace_former_lives(sender);
            self.resolve_lost_lives(now, sender);
            for entry in flows {
                self.install_entry(now, sender, &entry);
            }
        }
    }

    /// A new life of the node has reported which flows it took over, so the
    /// former lives have none.
    fn resolve_lost_lives(&mut self, now: Timestamp, life: AgentIncarnation) {
        let former = self.lost.iter_mut().filter(|(it, _)| it.node == life.node);
        for (_, until) in former {
            *until = now;
        }
    }

    fn install_entry(&mut self, now: Timestamp, sender: AgentIncarnation, entry: &FlowEntry) {
        let key = FlowKey {
            source: entry.source.into(),
            destination: self.address,
        };
        if entry.holder == 0 {
            self.redirects.insert(now, key, sender);
            return;
        }
        let holder = AgentIncarnation {
            node: NodeId(entry.holder),
            incarnation: Incarnation(entry.holder_incarnation),
        };
        // What a third agent says about a flow is older than what is known
        // here, and this agent knows its own flows.
        if holder.node != self.own.node && self.redirects.get(&key).is_none() {
            self.redirects.insert(now, key, holder);
        }
    }
}
