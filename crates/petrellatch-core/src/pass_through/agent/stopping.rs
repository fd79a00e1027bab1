//! A planned stop.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{AgentState, HeldFlow, Holds, PassThroughBody};

use super::PassThroughAgent;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Flows in one message about held flows.
const HELD_FLOWS_PER_MESSAGE: usize = 200;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Begins a planned stop: no new flows, and an end once the open ones are over and
    /// it is known whether the back end lives, or the limit is reached.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_limit);
            self.report_if_changed(now);
            self.continue_stop(now);
        }
    }

    pub(super) fn continue_stop(&mut self, now: Timestamp) {
        let Some(stop_at) = self.stop_at else { return };
        let must_stay = self.flows.unfinished() > 0 || self.awaits_backend(now);
        if self.stopped || (now < stop_at && must_stay) {
            return;
        }
        self.stopped = true;
        self.leave_flows();
        self.leaves_nothing = self.flows.unfinished() == 0 && self.knows_all_flows(now);
        // The last word: balancers wait for the answers of one that may have flows.
        self.report(now);
    }

    /// Whether nothing was heard of the back end yet: it may live and have flows that
    /// this life has not seen. Who goes now leaves balancers in doubt about them.
    fn awaits_backend(&self, now: Timestamp) -> bool {
        self.registration.state(now, self.settings.silence_limit) == AgentState::Starting
    }

    /// Tells the balancers which flows stay at the back end.
    pub(super) fn leave_flows(&mut self) {
        let flows: Vec<HeldFlow> = self.held_flows().collect();
        let balancers: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for part in flows.chunks(HELD_FLOWS_PER_MESSAGE) {
            for balancer in &balancers {
                let flows = part.to_vec();
                self.send(*balancer, PassThroughBody::Holds(Holds { flows }));
            }
        }
    }

    pub(super) fn held_flows(&self) -> impl Iterator<Item = HeldFlow> + '_ {
        let open = self.flows.iter().filter(|(_, flow)| flow.open);
        open.map(|(id, flow)| HeldFlow {
            flow: (*id).into(),
            sequence: flow.sequence,
        })
    }
}
