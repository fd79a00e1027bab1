//! The proof that a life of a back end is over, from packets that the back end returns.
//!
//! Some flows are picked as *witnesses*: a packet without data that their callers have
//! sent goes to the back end once more. A back end that has the flow drops it as an old
//! copy, and one that does not have it returns it; silence proves nothing. As a flow may
//! have ended unseen, and a new life may have flows already, a returned packet proves
//! that its own flow is gone. So as long as packets come back, those of further flows are
//! handed over, the oldest flow first. Flows without a packet, all of one life, are gone
//! if all witnesses of that life came back.

use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::recorded_flow::RecordedFlow;

/// As many witnesses are handed over first. As many must come back, of so many flows or
/// more, until others are taken for gone with them.
const WITNESSES: usize = 3;
/// While all come back, each time so many times more are handed over.
const GROWTH: usize = 4;
/// Most packets in a round: more may overflow the queue of the back end.
const MAX_BATCH: usize = 64;
/// A back end that lacks a flow returns its packet by then.
const ROUND: Duration = Duration::from_millis(200);
/// After so many rounds in which nothing came back the proof ends.
const MAX_SILENT_ROUNDS: u32 = 3;
/// How often the packet of one flow is handed to the back end. Its caller may have opened
/// another flow under the same address and port, at another back end.
const MAX_HANDINGS: u32 = 2;

/// A flow of a life that may be over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ProbedFlow {
    pub(crate) flow: RecordedFlow,
    /// When it was first seen; the oldest are asked for first.
    pub(crate) seen_at: Timestamp,
    /// A packet of its caller without data.
    pub(crate) probe_packet: Option<Vec<u8>>,
}

/// What the back end has shown of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    None,
    /// It got a packet of the flow so often and has not returned it.
    Handed(u32),
    /// It returned a packet of the flow.
    Returned,
    /// It spoke on the flow.
    Alive,
}

/// What a proof wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RestartProbeStep {
    /// Nothing before the round has ended.
    Wait,
    /// Hand these packets to the back end.
    Send(Vec<Vec<u8>>),
    /// It has ended with this verdict.
    End(RestartProbeResult),
}

/// How a proof has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RestartProbeResult {
    /// Whether so many packets came back that a life is over.
    pub(crate) has_ended: bool,
    /// Flows without a witness, if all witnesses came back.
    pub(crate) orphaned: Vec<RecordedFlow>,
    /// Flows whose packets the back end got.
    pub(crate) probes: usize,
    /// Flows whose packets it returned.
    pub(crate) returned: usize,
}

/// A proof under way.
#[derive(Debug)]
pub(crate) struct RestartProbe {
    /// Flows, the oldest first.
    flows: Vec<(ProbedFlow, Evidence)>,
    /// How many fresh witnesses the next round takes.
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
            batch: WITNESSES,
            silent_rounds: 0,
            returned_in_round: 0,
            round_ends_at: now,
            started_at: now,
        }
    }

    /// When [`RestartProbe::next_step`] is wanted.
    pub(crate) fn poll_timeout(&self) -> Timestamp {
        self.round_ends_at
    }

    /// Leaves out a flow: it has ended, or is opened anew.
    pub(crate) fn forget(&mut self, id: FlowId) {
        self.flows.retain(|(it, _)| it.flow.id != id);
    }

    /// Notes that the back end returned a packet of a flow that acknowledges `acknowledged`.
    /// Returns the flow, which is gone, if it is one of the proof.
    pub(crate) fn note_returned(&mut self, id: FlowId, acknowledged: u32) -> Option<RecordedFlow> {
        let (probed, evidence) = self.entry(id)?;
        let flow = probed.flow;
        if !flow.owns_ack(acknowledged) {
            return None;
        }
        // One on which it has spoken has ended since, and shows nothing of others.
        if matches!(evidence, Evidence::None | Evidence::Handed(_)) {
            *evidence = Evidence::Returned;
            self.returned_in_round += 1;
        }
        Some(flow)
    }

    /// Notes that the back end spoke on a flow.
    pub(crate) fn note_alive(&mut self, id: FlowId) {
        if let Some((_, evidence)) = self.entry(id) {
            *evidence = Evidence::Alive;
        }
    }

    /// What to do now.
    pub(crate) fn next_step(&mut self, now: Timestamp) -> RestartProbeStep {
        let is_awaited = |it: &(ProbedFlow, Evidence)| matches!(it.1, Evidence::Handed(_));
        let is_awaited = self.flows.iter().any(is_awaited);
        if is_awaited && now < self.round_ends_at {
            return RestartProbeStep::Wait;
        }
        self.end_round();
        let picked = match self.silent_rounds <= MAX_SILENT_ROUNDS {
            true => self.pick_witnesses(),
            false => Vec::new(),
        };
        if picked.is_empty() {
            return RestartProbeStep::End(self.verdict());
        }
        self.round_ends_at = now + ROUND;
        RestartProbeStep::Send(self.hand(&picked))
    }

    fn end_round(&mut self) {
        match std::mem::take(&mut self.returned_in_round) {
            0 => {
                self.silent_rounds += 1;
                self.batch = WITNESSES;
            }
            _ => {
                self.silent_rounds = 0;
                self.batch = (self.batch * GROWTH).min(MAX_BATCH);
            }
        }
    }

    /// Places of the flows whose packets the back end gets next: again those that did not
    /// come back, and some fresh ones.
    fn pick_witnesses(&self) -> Vec<usize> {
        let places = |wanted: fn(&(ProbedFlow, Evidence)) -> bool| {
            let flows = self.flows.iter().enumerate();
            flows
                .filter(move |(_, it)| wanted(it))
                .map(|(place, _)| place)
        };
        let again = places(|it| matches!(it.1, Evidence::Handed(times) if times < MAX_HANDINGS));
        let fresh = places(|it| it.1 == Evidence::None && it.0.probe_packet.is_some());
        again.chain(fresh.take(self.batch)).collect()
    }

    fn hand(&mut self, places: &[usize]) -> Vec<Vec<u8>> {
        let mut packets = Vec::new();
        for place in places {
            let (flow, evidence) = &mut self.flows[*place];
            *evidence = match *evidence {
                Evidence::Handed(times) => Evidence::Handed(times + 1),
                _ => Evidence::Handed(1),
            };
            packets.extend(flow.probe_packet.clone());
        }
        packets
    }

    fn entry(&mut self, id: FlowId) -> Option<&mut (ProbedFlow, Evidence)> {
        self.flows.iter_mut().find(|(it, _)| it.flow.id == id)
    }

    fn verdict(&self) -> RestartProbeResult {
        let count = |wanted: fn(&Evidence) -> bool| {
            let evidence = self.flows.iter().map(|(_, evidence)| evidence);
            evidence.filter(|it| wanted(it)).count()
        };
        let witnesses = count(|it| *it != Evidence::None);
        let returned = count(|it| *it == Evidence::Returned);
        let is_over = returned > 0 && returned >= self.flows.len().min(WITNESSES);
        let all_returned = is_over && witnesses == returned;
        let rest = self.flows.iter().filter(|(_, it)| *it == Evidence::None);
        let rest = rest.map(|(probed, _)| probed.flow);
        RestartProbeResult {
            has_ended: is_over,
            orphaned: rest.filter(|_| all_returned).collect(),
            probes: witnesses,
            returned,
        }
    }
}
