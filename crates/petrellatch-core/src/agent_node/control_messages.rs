//! Messages between agents.

use std::net::SocketAddrV4;

use petrellatch_proto::admission::{FlowReport, FlowReportAck, FlowsEnded, LoadReport};
use petrellatch_proto::envelope::{Body, Envelope};

use crate::Timestamp;
use crate::identity::{BackendId, Incarnation, NodeId, ServiceId};
use crate::placement::FlowKey;
use crate::routing::AgentIncarnation;

use super::node::AgentNode;
use super::service_state::ServiceState;

impl AgentNode {
    /// Takes a control message that is not for the link.
    pub(super) fn handle_agent_message(&mut self, now: Timestamp, envelope: &Envelope) {
        if !self.identity.is_recipient(envelope) {
            return;
        }
        let sender = AgentIncarnation {
            node: NodeId(envelope.sender),
            incarnation: Incarnation(envelope.incarnation),
        };
        match &envelope.body {
            Some(Body::FlowReport(report)) => self.handle_flow_report(now, sender, report),
            Some(Body::FlowReportAck(ack)) => self.handle_flow_report_ack(now, sender, ack),
            Some(Body::HuntReply(reply)) => self.handle_hunt_reply(now, sender, reply),
            Some(Body::FlowsEnded(ended)) => self.handle_flows_ended(now, sender, ended),
            Some(Body::LoadReport(report)) => self.handle_load_report(sender, report),
            _ => {}
        }
    }

    /// Sends the parts of flow reports that are due.
    pub(super) fn send_flow_reports(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for state in self.services.values_mut() {
            while let Some(outgoing) = state.admission.poll_report(now) {
                due.push(outgoing);
            }
        }
        for outgoing in due {
            self.send(outgoing.recipient, Body::FlowReport(outgoing.report));
        }
    }

    /// Tells the other agents of the service about the load of a back end, if
    /// a report is due.
    pub(super) fn report_load(&mut self, now: Timestamp, backend: BackendId) {
        let closed = self.check_room(now, backend).is_err();
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        let service = ServiceId(local.record.service);
        let own = self.own_life();
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        let exact = local.load(now, closed);
        let report = local.poll_report(now, closed);
        let Some(state) = self.services.get_mut(&service) else {
            return;
        };
        state.loads.handle_report(own, &exact);
        let Some(report) = report else {
            return;
        };
        let mut peers: Vec<AgentIncarnation> = state.candidates.iter().map(|it| it.agent).collect();
        peers.sort_unstable();
        peers.dedup();
        for peer in peers.into_iter().filter(|peer| *peer != own) {
            self.send(peer, Body::LoadReport(report));
        }
    }

    fn handle_flow_report(
        &mut self,
        now: Timestamp,
        sender: AgentIncarnation,
        report: &FlowReport,
    ) {
        let Some(state) = self.services.get_mut(&ServiceId(report.service)) else {
            return;
        };
        let view = self.link.view();
        let ack = state.admission.handle_report(now, view, sender, report);
        let Some(ack) = ack else {
            return;
        };
        self.send(sender, Body::FlowReportAck(ack));
        self.retry_held_openings(now);
        self.report_upward(now);
    }

    fn handle_flow_report_ack(
        &mut self,
        now: Timestamp,
        sender: AgentIncarnation,
        ack: &FlowReportAck,
    ) {
        if let Some(state) = self.services.get_mut(&ServiceId(ack.service)) {
            state.admission.handle_ack(sender, ack);
        }
        self.maintain(now);
    }

    fn handle_flows_ended(&mut self, now: Timestamp, sender: AgentIncarnation, ended: &FlowsEnded) {
        let Some(state) = self.services.get_mut(&ServiceId(ended.service)) else {
            return;
        };
        for source in &ended.sources {
            let key = key_of(state, SocketAddrV4::from(*source));
            let redirects = &mut state.admission.redirects;
            redirects.handle_ended(now, &key, sender.node);
        }
    }

    fn handle_load_report(&mut self, sender: AgentIncarnation, report: &LoadReport) {
        if let Some(state) = self.services.get_mut(&ServiceId(report.service)) {
            state.loads.handle_report(sender, report);
        }
    }
}

pub(super) fn key_of(state: &ServiceState, source: SocketAddrV4) -> FlowKey {
    FlowKey {
        source,
        destination: state.record.address.into(),
    }
}
