//! The planned stop of an agent.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, FlowsOwned, OwnedFlow, PassThroughBody};

use super::PassThroughAgent;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Maximum number of flows in one message about owned flows.
const OWNED_FLOWS_PER_MESSAGE: usize = 200;
/// How long the final report is repeated, within the timeout of the stop, if no replica
/// acknowledges it: it may be lost, and replicas may be starting.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an agent that stops waits for the refusal of a probe packet. The system reports it at
/// once, as agent and back end share a machine.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// The final report of an agent that has stopped, which is repeated.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinalReport {
    /// Sequence number of the first final report.
    sequence: u64,
    until: Timestamp,
    is_acknowledged: bool,
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
        if let Some(report) = self.final_report {
            self.stopped |= report.is_acknowledged || now >= report.until;
            return;
        }
        let must_wait = self.flows.unclosed() > 0 || self.awaits_backend(now);
        if now < stop_at && must_wait {
            return;
        }
        if now < stop_at && self.awaits_refusal(now) {
            return;
        }
        // A back end that was never seen is reported as silent before the final report.
        self.report_if_changed(now);
        self.announce_owned_flows();
        self.has_no_open_flows = self.flows.unclosed() == 0 && self.all_flows_known(now).is_some();
        // If the back end may have open flows, balancers go on waiting for replies of this agent.
        self.final_report = Some(FinalReport {
            sequence: self.report_number + 1,
            until: stop_at.min(now + FINAL_REPORT_TIMEOUT),
            is_acknowledged: false,
        });
        self.report(now);
        self.stopped = now >= stop_at;
    }

    /// Notes that a replica has acknowledged a report. Zero means the latest one.
    pub(super) fn note_report_acknowledged(&mut self, acknowledged_report: u64) {
        if let Some(report) = &mut self.final_report {
            report.is_acknowledged |=
                acknowledged_report == 0 || acknowledged_report >= report.sequence;
        }
    }

    /// Until when the final report is repeated.
    pub(super) fn final_report_until(&self) -> Option<Timestamp> {
        self.final_report.map(|report| report.until)
    }

    /// Whether the agent has to wait for the refusal of a probe packet. It sends one if a back end
    /// that hasn't registered may own flows: if that has ended, balancers need not wait for
    /// replies that the agent can no longer give.
    fn awaits_refusal(&mut self, now: Timestamp) -> bool {
        if !self.awaits_backend_refusal() || self.state(now) != AgentState::Draining {
            return false;
        }
        if let Some(until) = self.refusal_until {
            return now < until;
        }
        let packet = self.recorded_probe_packet();
        let Some(packet) = packet.or_else(|| self.departure_probe()) else {
            return false;
        };
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
        self.refusal_until = Some(now + REFUSAL_TIMEOUT);
        true
    }

    /// Until when the stop waits for a refusal.
    pub(super) fn refusal_timeout(&self) -> Option<Timestamp> {
        self.refusal_until.filter(|_| self.final_report.is_none())
    }

    /// Whether nothing was received from the back end yet. It may run and own flows that this
    /// incarnation of the agent hasn't seen, and if the agent stopped now, balancers could not
    /// find out about them.
    fn awaits_backend(&self, now: Timestamp) -> bool {
        self.registration.state(now, self.settings.silence_timeout) == AgentState::Starting
    }

    /// Reports to the balancers which flows the back end still owns.
    pub(super) fn announce_owned_flows(&mut self) {
        let flows: Vec<OwnedFlow> = self.owned_flows().collect();
        let balancers: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for part in flows.chunks(OWNED_FLOWS_PER_MESSAGE) {
            for balancer in &balancers {
                let flows = part.to_vec();
                self.send(*balancer, PassThroughBody::FlowsOwned(FlowsOwned { flows }));
            }
        }
    }

    pub(super) fn owned_flows(&self) -> impl Iterator<Item = OwnedFlow> + '_ {
        let open = self.flows.iter().filter(|(_, flow)| flow.open);
        open.map(|(id, flow)| OwnedFlow {
            flow: (*id).into(),
            sequence: flow.sequence,
        })
    }
}
