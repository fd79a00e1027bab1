//! What the agent tells of itself.

use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, LoadMessage, PassThroughBody, Report, pack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Between two reports after a change, until a replica shows that it heard.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same after the start, when replicas may start as well.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(20);
const FIRST_REPORTS: u64 = 10;
/// The longest time between two reports that a replica may ask for.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn load_message(&self, now: Timestamp) -> LoadMessage {
        let is_cold = self.registration.is_cold(now);
        LoadMessage {
            busy: self.flows.busy(),
            capacity: self.registration.capacity(),
            cold: is_cold,
            left_out_millis: self.failure_watch.left_out(now).as_millis() as u32,
            work_micros: self.work_times.micros(is_cold),
            open_flows: self.flows.open_flows(),
            demand_millislots: self.flows.demand_millislots(now),
        }
    }

    pub(super) fn state(&self, now: Timestamp) -> AgentState {
        if self.leaves_nothing {
            return AgentState::Empty;
        }
        let limit = self.settings.silence_limit;
        match self.registration.state(now, limit) {
            AgentState::Ready | AgentState::Starting if self.stop_at.is_some() => {
                AgentState::Draining
            }
            state => state,
        }
    }

    pub(super) fn report_if_changed(&mut self, now: Timestamp) {
        let state = self.state(now);
        let is_described = self.registration.description_revision() == self.reported_description;
        if state == self.reported_state && is_described {
            return;
        }
        if state == AgentState::Empty && state != self.reported_state {
            let service = self.settings.service.clone();
            self.emit_event(EventKind::BackendSilent, service);
        }
        self.report(now);
    }

    /// Takes the interval that a replica bears, which grows with the number of
    /// agents.
    pub(super) fn note_report_interval(&mut self, millis: u32) {
        let told = Duration::from_millis(u64::from(millis)).min(MAX_REPORT_INTERVAL);
        self.report_interval = told.max(self.settings.report_interval);
    }

    pub(super) fn report(&mut self, now: Timestamp) {
        self.report_number += 1;
        let state = self.state(now);
        let description = self.registration.description_revision();
        self.unheard |= state != self.reported_state || description != self.reported_description;
        self.reported_state = state;
        self.reported_description = description;
        let interval = match self.unheard {
            true if self.report_number <= FIRST_REPORTS => FIRST_REPORT_INTERVAL,
            true => URGENT_REPORT_INTERVAL,
            false => self.report_interval,
        };
        self.report_at = now + interval;
        let report = Report {
            address: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
            sequence: self.report_number,
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            state: state.into(),
            load: self.load_message(now),
            leaving: self.registration.leaving(),
            interval_millis: self.report_interval.as_millis() as u32,
            evacuations_index: self.evacuations.index(),
            backend: self.registration.description(now),
        };
        for replica in self.contacts.all() {
            self.send(replica, PassThroughBody::Report(report.clone()));
        }
    }
}
