//! Reports of an agent's state and load.

use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, GroupStatus, LoadMessage, PassThroughBody, Report, pack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Interval between reports after a change, until a replica acknowledges one.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same for the first reports after the start, when replicas may be starting as well.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(20);
const FIRST_REPORTS: u64 = 10;
/// Minimum interval between reports of a new agent, which most replicas haven't saved: if they
/// restarted, they would take their directories for complete without it. The interval grows
/// with the number of agents, to bound the load on replicas.
const YOUNG_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Number of reports that a new agent sends in the time between two regular reports.
pub(crate) const NEW_AGENT_REPORTS: u32 = 300;
/// An agent counts as new for at most this time. If most replicas haven't saved it by then,
/// they or their disks have failed.
const YOUNG_LIMIT: Duration = Duration::from_secs(5);
/// A report that was sent this recently also serves a replica that asks for one.
const SAME_REPORT: Duration = Duration::from_millis(20);
/// Interval between repetitions of the final report.
const LAST_WORD_INTERVAL: Duration = Duration::from_millis(30);
/// Longest report interval that a replica may ask for.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn load_message(&self, now: Timestamp) -> LoadMessage {
        let is_cold = self.registration.is_cold(now);
        LoadMessage {
            in_flight_requests: self.flows.in_flight_requests(),
            slots: self.registration.capacity(),
            cold: is_cold,
            ejected_millis: self.failure_watch.left_out(now).as_millis() as u32,
            processing_micros: self.work_times.micros(is_cold),
            open_flows: self.flows.open_flows(),
            demand_millislots: self.flows.demand_millislots(now),
        }
    }

    pub(super) fn state(&self, now: Timestamp) -> AgentState {
        if self.leaves_nothing {
            return AgentState::Unavailable;
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
        self.report(now);
    }

    /// Applies the report interval that a replica asks for, which grows with the number of
    /// agents.
    pub(super) fn note_report_interval(&mut self, millis: u32) {
        let told = Duration::from_millis(u64::from(millis)).min(MAX_REPORT_INTERVAL);
        self.report_interval = told.max(self.settings.report_interval);
    }

    fn time_to_next_report(&self, now: Timestamp) -> Duration {
        let is_young = now.saturating_since(self.started_at) < YOUNG_LIMIT;
        match self.unheard {
            _ if self.last_word.is_some() => LAST_WORD_INTERVAL,
            true if self.report_number <= FIRST_REPORTS => FIRST_REPORT_INTERVAL,
            true => URGENT_REPORT_INTERVAL,
            false if is_young && !self.is_remembered() => {
                let interval = YOUNG_REPORT_INTERVAL.max(self.report_interval / NEW_AGENT_REPORTS);
                interval.min(self.report_interval)
            }
            false => self.report_interval,
        }
    }

    /// Whether a majority of replicas has saved this agent: any two majorities have a replica
    /// in common.
    fn is_remembered(&self) -> bool {
        let replicas = self.contacts.all();
        let remembering = self.remembered_by.intersection(&replicas);
        remembering.count() * 2 > replicas.len()
    }

    /// Whether a replica asks for a report and the last one isn't recent.
    pub(super) fn owes_report(&self, now: Timestamp, group: &GroupStatus) -> bool {
        let is_recent = now.saturating_since(self.reported_at) < SAME_REPORT;
        group.wants_report && !is_recent
    }

    pub(super) fn report(&mut self, now: Timestamp) {
        self.report_number += 1;
        let state = self.state(now);
        let is_news = state != self.reported_state;
        if is_news && state == AgentState::Unavailable && !self.leaves_nothing {
            let service = self.settings.service.clone();
            self.emit_event(EventKind::BackendSilent, service);
        }
        let description = self.registration.description_revision();
        self.unheard |= is_news || description != self.reported_description;
        self.reported_state = state;
        self.reported_description = description;
        self.reported_at = now;
        self.report_at = now + self.time_to_next_report(now);
        let report = Report {
            address: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
            sequence: self.report_number,
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            state: state.into(),
            load: self.load_message(now),
            draining_backends: self.registration.leaving(),
            next_report_millis: match self.last_word {
                Some(_) => 0,
                None => self.report_interval.as_millis() as u32,
            },
            evacuations_index: self.evacuations.index(),
            backend: self.registration.description(now),
        };
        for replica in self.contacts.all() {
            self.send(replica, PassThroughBody::Report(report.clone()));
        }
    }
}
