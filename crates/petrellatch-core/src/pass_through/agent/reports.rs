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
/// Number of reports at that interval.
const FIRST_REPORTS: u64 = 10;
/// Minimum interval between reports of a new agent, which most replicas haven't saved. If they
/// restarted before they did, they would consider their directories complete without this
/// agent. The interval grows with the number of agents, to bound the load on replicas.
const NEW_AGENT_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Number of reports that a new agent sends in the time between two regular reports.
pub(crate) const NEW_AGENT_REPORTS: u32 = 300;
/// An agent counts as new for at most this time. If most replicas haven't saved it by then,
/// they or their disks have failed.
const NEW_AGENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between reports while replicas have to save departures, or to tell which ones they
/// have. A back end waits for a second until its departure is acknowledged.
const DEPARTURE_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A report that was sent this recently also serves a replica that asks for one.
const RECENT_REPORT: Duration = Duration::from_millis(20);
/// Interval between repetitions of the final report.
const FINAL_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Longest report interval that a replica may ask for.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn load_message(&self, now: Timestamp) -> LoadMessage {
        let is_cold = self.registration.is_cold(now);
        LoadMessage {
            in_flight_requests: self.flows.in_flight_requests(),
            slots: self.registration.slots(),
            cold: is_cold,
            ejected_millis: self.outlier_detector.remaining_ejection(now).as_millis() as u32,
            processing_micros: self.reported_processing_time.micros(is_cold),
            open_flows: self.flows.open_flows(),
            demand_millislots: self.flows.demand_millislots(now),
        }
    }

    pub(super) fn state(&self, now: Timestamp) -> AgentState {
        if self.has_no_open_flows {
            return AgentState::Unavailable;
        }
        let limit = self.settings.silence_timeout;
        match self.registration.state(now, limit) {
            AgentState::Ready | AgentState::Starting if self.stop_at.is_some() => {
                AgentState::Draining
            }
            AgentState::Ready if !self.departures_are_known() => AgentState::Starting,
            // Balancers must not count the stopped agent as one without a back end.
            AgentState::Unavailable
                if self.stop_at.is_some() && self.registration.runs_unregistered() =>
            {
                AgentState::Draining
            }
            state => state,
        }
    }

    pub(super) fn report_if_changed(&mut self, now: Timestamp) {
        let state = self.state(now);
        let is_described = self.registration.description_revision() == self.reported_description;
        let departures_are_reported =
            self.registration.draining_backends() == self.departures.reported;
        if state == self.reported_state && is_described && departures_are_reported {
            return;
        }
        self.report(now);
    }

    /// Applies the report interval that a replica asks for, which grows with the number of
    /// agents.
    pub(super) fn note_report_interval(&mut self, millis: u32) {
        let requested = Duration::from_millis(u64::from(millis)).min(MAX_REPORT_INTERVAL);
        self.report_interval = requested.max(self.settings.report_interval);
    }

    fn time_to_next_report(&self, now: Timestamp) -> Duration {
        let interval = self.regular_time_to_next_report(now);
        // If a majority hasn't replied by then, replicas have failed or have lost their disks.
        let is_awaited = |since| now.saturating_since(since) < NEW_AGENT_TIMEOUT;
        match self.awaits_departures_since().is_some_and(is_awaited) {
            true => interval.min(DEPARTURE_REPORT_INTERVAL.max(interval / NEW_AGENT_REPORTS)),
            false => interval,
        }
    }

    fn regular_time_to_next_report(&self, now: Timestamp) -> Duration {
        let is_new = now.saturating_since(self.started_at) < NEW_AGENT_TIMEOUT;
        match self.report_unacknowledged {
            _ if self.final_report.is_some() => FINAL_REPORT_INTERVAL,
            true if self.report_number <= FIRST_REPORTS => FIRST_REPORT_INTERVAL,
            true => URGENT_REPORT_INTERVAL,
            false if is_new && !self.is_saved() => {
                let interval =
                    NEW_AGENT_REPORT_INTERVAL.max(self.report_interval / NEW_AGENT_REPORTS);
                interval.min(self.report_interval)
            }
            false => self.report_interval,
        }
    }

    /// Whether a majority of replicas has saved this agent: any two majorities have a replica
    /// in common.
    fn is_saved(&self) -> bool {
        let replicas = self.known_replicas.all();
        let saved = self.saved_by.intersection(&replicas);
        saved.count() * 2 > replicas.len()
    }

    /// Whether a replica requests a report, and the last one was not sent just before.
    pub(super) fn needs_report(&self, now: Timestamp, group: &GroupStatus) -> bool {
        let is_recent = now.saturating_since(self.reported_at) < RECENT_REPORT;
        group.wants_report && !is_recent
    }

    pub(super) fn report(&mut self, now: Timestamp) {
        self.report_number += 1;
        let state = self.state(now);
        let is_changed = state != self.reported_state;
        if is_changed && state == AgentState::Unavailable && !self.has_no_open_flows {
            let service = self.settings.service.clone();
            self.emit_event(EventKind::BackendSilent, service);
        }
        let description = self.registration.description_revision();
        self.report_unacknowledged |= is_changed || description != self.reported_description;
        self.reported_state = state;
        self.reported_description = description;
        self.reported_at = now;
        self.note_reported_departures(now);
        self.report_at = now + self.time_to_next_report(now);
        let report = Report {
            address: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
            sequence: self.report_number,
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            state: state.into(),
            load: self.load_message(now),
            draining_backends: self.registration.draining_backends(),
            serving_backend: self.registration.serving_backend().unwrap_or_default(),
            next_report_millis: match self.final_report {
                Some(_) => 0,
                None => self.report_interval.as_millis() as u32,
            },
            evacuations_index: self.evacuations.index(),
            backend: self.registration.description(now),
            departures: self.departure_request().map(Box::new),
        };
        for replica in self.known_replicas.all() {
            self.send(replica, PassThroughBody::Report(report.clone()));
        }
    }
}
