//! Flow reports of other agents.

use std::collections::BTreeMap;

use petrellatch_proto::admission::{FlowEntry, FlowReport};

use crate::identity::NodeId;
use crate::routing::AgentIncarnation;

/// The newest report of each agent life of one service, put together from its
/// parts.
#[derive(Clone, Debug, Default)]
pub struct ReportInbox {
    reports: BTreeMap<AgentIncarnation, IncomingReport>,
}

#[derive(Clone, Debug)]
struct IncomingReport {
    generation: u64,
    parts: u32,
    received: BTreeMap<u32, Vec<FlowEntry>>,
    installed: bool,
}

impl ReportInbox {
    /// Makes an empty inbox.
    pub fn new() -> Self {
        ReportInbox::default()
    }

    /// Takes one part. A report of an older generation than one already
    /// received from the same life is ignored.
    pub fn handle_part(&mut self, sender: AgentIncarnation, part: &FlowReport) {
        let fresh = IncomingReport {
            generation: part.generation,
            parts: part.parts,
            received: BTreeMap::new(),
            installed: false,
        };
        let report = self.reports.entry(sender).or_insert_with(|| fresh.clone());
        if part.generation > report.generation {
            *report = fresh;
        }
        let fits = part.generation == report.generation && part.parts == report.parts;
        if fits && part.part < report.parts {
            report.received.insert(part.part, part.flows.clone());
        }
    }

    /// Returns whether the life's report for exactly this generation is
    /// complete. A report for a newer one says nothing about the buckets that
    /// this generation gives to the recipient.
    pub fn is_complete(&self, sender: AgentIncarnation, generation: u64) -> bool {
        self.reports
            .get(&sender)
            .is_some_and(|report| report.generation == generation && report.is_complete())
    }

    /// Takes the flows of a complete report that were not taken yet.
    pub fn take_complete(&mut self, generation: u64) -> Vec<(AgentIncarnation, Vec<FlowEntry>)> {
        let mut taken = Vec::new();
        for (sender, report) in &mut self.reports {
            let ready = report.generation == generation && report.is_complete();
            if ready && !report.installed {
                report.installed = true;
                let flows = report.received.values_mut().flat_map(std::mem::take);
                taken.push((*sender, flows.collect()));
            }
        }
        taken
    }

    /// Returns whether there is a report of a life of the node.
    pub fn has_report_of(&self, node: NodeId) -> bool {
        self.reports.keys().any(|life| life.node == node)
    }

    /// Forgets the reports of lives for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(AgentIncarnation) -> bool) {
        self.reports.retain(|life, _| keep(*life));
    }
}

impl IncomingReport {
    fn is_complete(&self) -> bool {
        self.parts > 0 && self.received.len() == self.parts as usize
    }
}
