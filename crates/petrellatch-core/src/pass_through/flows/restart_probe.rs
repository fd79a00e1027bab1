//! Restart probe: finds out whether an incarnation of a back end has ended, from the packets
//! that the back end returns.
//!
//! A probe sends the back end a copy of a data-less packet that the caller of a flow has
//! sent before. A back end that owns the flow drops it as an old duplicate, and one that
//! doesn't own it returns it; silence proves nothing. As a flow may have been closed
//! unnoticed, and a new incarnation may already have flows, a returned packet proves only
//! that its own flow is orphaned. So while packets are returned, those of further flows are
//! sent, the oldest flow first. Flows without a probe packet, all of one incarnation, are
//! orphaned if all probes of that incarnation were returned.

use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::recorded_flow::RecordedFlow;

/// Number of probes in the first round. This many (or all, if there are fewer flows) must be
/// returned before flows that weren't probed count as orphaned.
const MIN_PROBES: usize = 3;
/// Factor by which the number of new probes grows after a round with returned packets.
const BATCH_GROWTH: usize = 4;
/// Maximum number of new probes in a round: more may overflow the back end's queue.
const MAX_BATCH: usize = 64;
/// Duration of a round. A back end that doesn't own a flow returns its packet by then.
const ROUND: Duration = Duration::from_millis(200);
/// Number of consecutive rounds without a returned packet after which the probe ends.
const MAX_SILENT_ROUNDS: u32 = 3;
/// Maximum number of times that the packet of one flow is sent. Its caller may have opened
/// another flow between the same endpoints, at another back end.
const MAX_SENDS_PER_FLOW: u32 = 2;

/// A flow of an incarnation that may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ProbedFlow {
    pub(crate) flow: RecordedFlow,
    /// When it was first seen; the oldest flows are probed first.
    pub(crate) seen_at: Timestamp,
    /// Data-less packet of its caller.
    pub(crate) probe_packet: Option<Vec<u8>>,
}

/// Evidence about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    None,
    /// The flow's packet was sent this many times and wasn't returned.
    Sent(u32),
    /// The back end returned a packet of the flow.
    Returned,
    /// The back end sent a packet of the flow.
    Alive,
}

/// Next step of a restart probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RestartProbeStep {
    /// Nothing to do until the round ends.
    Wait,
    /// Send these packets to the back end.
    Send(Vec<Vec<u8>>),
    /// The probe has ended with this result.
    End(RestartProbeResult),
}

/// Result of a restart probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RestartProbeResult {
    /// Whether enough packets were returned to show that an incarnation has ended.
    pub(crate) has_ended: bool,
    /// Flows that weren't probed, if all probes were returned.
    pub(crate) orphaned: Vec<RecordedFlow>,
    /// Number of flows that were probed.
    pub(crate) probes: usize,
    /// Number of flows whose packets were returned.
    pub(crate) returned: usize,
}

/// A restart probe in progress.
#[derive(Debug)]
pub(crate) struct RestartProbe {
    /// Flows, oldest first.
    flows: Vec<(ProbedFlow, Evidence)>,
    /// Number of new probes in the next round.
    batch: usize,
    silent_rounds: u32,
    returned_in_round: usize,
    round_ends_at: Timestamp,
    pub(crate) started_at: Timestamp,
}

impl RestartProbe {
    pub(crate) fn new(now: Timestamp, mut flows: Vec<ProbedFlow>) -> RestartProbe {
        flows.sort_by_key(|it| (it.seen_at, it.flow.id));
        RestartProbe {
            flows: flows.into_iter().map(|it| (it, Evidence::None)).collect(),
            batch: MIN_PROBES,
            silent_rounds: 0,
            returned_in_round: 0,
            round_ends_at: now,
            started_at: now,
        }
    }

    /// When [`RestartProbe::next_step`] is to be called.
    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.round_ends_at
    }

    /// Removes a flow that was closed or is opened anew.
    pub(crate) fn forget(&mut self, id: FlowId) {
        self.flows.retain(|(it, _)| it.flow.id != id);
    }

    /// Records that the back end returned a packet of a flow with this acknowledgement number.
    /// Returns the flow, which is orphaned, if it belongs to this probe.
    pub(crate) fn note_returned(&mut self, id: FlowId, acknowledged: u32) -> Option<RecordedFlow> {
        let (probed, evidence) = self.entry(id)?;
        let flow = probed.flow;
        if !flow.owns_ack(acknowledged) {
            return None;
        }
        // If the back end has sent a packet of the flow, it has owned the flow and closed it since.
        // That proves nothing about other flows.
        if matches!(evidence, Evidence::None | Evidence::Sent(_)) {
            *evidence = Evidence::Returned;
            self.returned_in_round += 1;
        }
        Some(flow)
    }

    /// Records that the back end sent a packet of a flow.
    pub(crate) fn note_alive(&mut self, id: FlowId) {
        if let Some((_, evidence)) = self.entry(id) {
            *evidence = Evidence::Alive;
        }
    }

    /// Returns the next step.
    pub(crate) fn next_step(&mut self, now: Timestamp) -> RestartProbeStep {
        let is_pending = |it: &(ProbedFlow, Evidence)| matches!(it.1, Evidence::Sent(_));
        let awaits_return = self.flows.iter().any(is_pending);
        if awaits_return && now < self.round_ends_at {
            return RestartProbeStep::Wait;
        }
        self.end_round();
        let picked = match self.silent_rounds <= MAX_SILENT_ROUNDS {
            true => self.pick_flows(),
            false => Vec::new(),
        };
        if picked.is_empty() {
            return RestartProbeStep::End(self.result());
        }
        self.round_ends_at = now + ROUND;
        RestartProbeStep::Send(self.send(&picked))
    }

    fn end_round(&mut self) {
        match std::mem::take(&mut self.returned_in_round) {
            0 => {
                self.silent_rounds += 1;
                self.batch = MIN_PROBES;
            }
            _ => {
                self.silent_rounds = 0;
                self.batch = (self.batch * BATCH_GROWTH).min(MAX_BATCH);
            }
        }
    }

    /// Indexes of the flows to probe next: again those whose packets weren't returned, and some
    /// new ones.
    fn pick_flows(&self) -> Vec<usize> {
        let indexes = |is_selected: fn(&(ProbedFlow, Evidence)) -> bool| {
            let flows = self.flows.iter().enumerate();
            flows
                .filter(move |(_, it)| is_selected(it))
                .map(|(index, _)| index)
        };
        let again =
            indexes(|it| matches!(it.1, Evidence::Sent(times) if times < MAX_SENDS_PER_FLOW));
        let unprobed = indexes(|it| it.1 == Evidence::None && it.0.probe_packet.is_some());
        again.chain(unprobed.take(self.batch)).collect()
    }

    fn send(&mut self, indexes: &[usize]) -> Vec<Vec<u8>> {
        let mut packets = Vec::new();
        for index in indexes {
            let (flow, evidence) = &mut self.flows[*index];
            *evidence = match *evidence {
                Evidence::Sent(times) => Evidence::Sent(times + 1),
                _ => Evidence::Sent(1),
            };
            packets.extend(flow.probe_packet.clone());
        }
        packets
    }

    fn entry(&mut self, id: FlowId) -> Option<&mut (ProbedFlow, Evidence)> {
        self.flows.iter_mut().find(|(it, _)| it.flow.id == id)
    }

    fn result(&self) -> RestartProbeResult {
        let count = |is_selected: fn(&Evidence) -> bool| {
            let evidence = self.flows.iter().map(|(_, evidence)| evidence);
            evidence.filter(|it| is_selected(it)).count()
        };
        let probes = count(|it| *it != Evidence::None);
        let returned = count(|it| *it == Evidence::Returned);
        let has_ended = returned > 0 && returned >= self.flows.len().min(MIN_PROBES);
        let all_returned = has_ended && probes == returned;
        let unprobed = self.flows.iter().filter(|(_, it)| *it == Evidence::None);
        let unprobed = unprobed.map(|(probed, _)| probed.flow);
        RestartProbeResult {
            has_ended,
            orphaned: unprobed.filter(|_| all_returned).collect(),
            probes,
            returned,
        }
    }
}
