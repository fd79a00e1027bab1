//! The planned stop of an agent.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, FlowsOwned, OwnedFlow, PassThroughBody};

use super::PassThroughAgent;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Maximum number of flows in one message about owned flows.
const HELD_FLOWS_PER_MESSAGE: usize = 200;
/// How long the final report is repeated, within the timeout of the stop, if no replica
/// acknowledges it: it may be lost, and replicas may be starting.
const LAST_WORD_LIMIT: Duration = Duration::from_millis(300);

/// The final report of an agent that has stopped, which is repeated.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastWord {
    /// Sequence number of the first final report.
    number: u64,
    until: Timestamp,
    is_heard: bool,
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Begins a planned stop. No new flows are admitted, and the agent stops once the open ones
    /// are closed and it is known whether the back end runs, or at the timeout.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_timeout);
            self.report_if_changed(now);
            self.continue_stop(now);
        }
    }

    pub(super) fn continue_stop(&mut self, now: Timestamp) {
        let Some(stop_at) = self.stop_at else { return };
        if let Some(word) = self.last_word {
            self.stopped |= word.is_heard || now >= word.until;
            return;
        }
        let must_stay = self.flows.unclosed() > 0 || self.awaits_backend(now);
        if now < stop_at && must_stay {
            return;
        }
        // A back end that was never seen is reported as silent before the final report.
        self.report_if_changed(now);
        self.leave_flows();
        self.leaves_nothing = self.flows.unclosed() == 0 && self.knows_all_flows(now);
        // Balancers await replies of an agent whose back end may have flows.
        self.last_word = Some(LastWord {
            number: self.report_number + 1,
            until: stop_at.min(now + LAST_WORD_LIMIT),
            is_heard: false,
        });
        self.report(now);
        self.stopped = now >= stop_at;
    }

    /// Notes that a replica has acknowledged a report. Zero doesn't say which one, and stands
    /// for the latest.
    pub(super) fn note_last_word_heard(&mut self, answered_report: u64) {
        if let Some(word) = &mut self.last_word {
            word.is_heard |= answered_report == 0 || answered_report >= word.number;
        }
    }

    /// Until when the final report is repeated.
    pub(super) fn last_word_until(&self) -> Option<Timestamp> {
        self.last_word.map(|word| word.until)
    }

    /// Whether nothing was received from the back end yet. It may run and own flows that this
    /// incarnation of the agent hasn't seen, and if the agent stopped now, balancers could not
    /// find out about them.
    fn awaits_backend(&self, now: Timestamp) -> bool {
        self.registration.state(now, self.settings.silence_limit) == AgentState::Starting
    }

    /// Reports to the balancers which flows the back end still owns.
    pub(super) fn leave_flows(&mut self) {
        let flows: Vec<OwnedFlow> = self.held_flows().collect();
        let balancers: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for part in flows.chunks(HELD_FLOWS_PER_MESSAGE) {
            for balancer in &balancers {
                let flows = part.to_vec();
                self.send(*balancer, PassThroughBody::FlowsOwned(FlowsOwned { flows }));
            }
        }
    }

    pub(super) fn held_flows(&self) -> impl Iterator<Item = OwnedFlow> + '_ {
        let open = self.flows.iter().filter(|(_, flow)| flow.open);
        open.map(|(id, flow)| OwnedFlow {
            flow: (*id).into(),
            sequence: flow.sequence,
        })
    }
}
