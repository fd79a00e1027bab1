//! Departures of the back end: their way to the disks of the replicas, and back after a restart of
//! the agent.
//!
//! A departure binds once it is acknowledged, also if the agent and all replicas are killed right
//! after that. So it is acknowledged once a majority of the replicas has synced it, and an agent
//! that starts admits no flows until a majority has told which back ends have left.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::GroupStatus;

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// What an agent knows of the departures at its address, and what the replicas have of it.
#[derive(Debug)]
pub(super) struct DepartureProgress {
    /// Whether all departures are known that previous incarnations acknowledged.
    are_known: bool,
    /// Departures in the last report, the latest last.
    pub(super) reported: Vec<u64>,
    /// Since when reported departures are not saved by a majority; `None` if all are.
    unsaved_since: Option<Timestamp>,
}

impl DepartureProgress {
    /// If the whole system starts for the first time, no back end has left before.
    pub(super) fn new(first_start: bool) -> Self {
        DepartureProgress {
            are_known: first_start,
            reported: Vec::new(),
            unsaved_since: None,
        }
    }
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Whether every departure so far may be acknowledged: it is known after any restart.
    pub fn departures_are_saved(&self) -> bool {
        let departures = self.registration.draining_backends();
        let members = self.known_replicas.members();
        departures.is_empty() || self.replica_answers.have_saved(members, &departures)
    }

    /// Whether all departures are known that previous incarnations of this agent acknowledged.
    ///
    /// If no majority of the replicas responds, steady registrations take the place of its answer:
    /// those that were sent before a departure have arrived by then.
    pub(super) fn departures_are_known(&self) -> bool {
        self.departures.are_known || self.registration.registers_steadily(self.started_at)
    }

    /// Since when the agent has waited for replicas to save departures or to tell which ones they
    /// have; `None` if it doesn't.
    pub(super) fn awaits_departures_since(&self) -> Option<Timestamp> {
        match self.departures.are_known {
            true => self.departures.unsaved_since,
            false => Some(self.started_at),
        }
    }

    /// Notes what a replica knows of the departures at this address.
    pub(super) fn restore_departures(&mut self, now: Timestamp, group: &GroupStatus) {
        let serving = Some(group.serving_backend).filter(|digest| *digest != 0);
        let departures = group.departures.as_deref();
        let ages = departures.map_or(&[][..], |departures| &departures.ages_millis);
        let ages = ages.iter().copied();
        let ages = ages.chain(std::iter::repeat(0));
        let ages = ages.map(|millis| Duration::from_millis(u64::from(millis)));
        let draining = group.draining_backends.iter().copied().zip(ages);
        if self.registration.restore(now, draining, serving) {
            let draining = group.draining_backends.len();
            let serving = group.serving_backend;
            let subject = format!("restored={draining} serving={serving:x}");
            self.emit_event(EventKind::BackendLeaving, subject);
        }
    }

    /// Notes the reply of a replica to a report of this incarnation.
    pub(super) fn note_replica_answer(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        group: &GroupStatus,
    ) {
        if group.agent_incarnation != self.incarnation.0 {
            return;
        }
        self.replica_answers.note(from, group);
        let members = self.known_replicas.members();
        let departures_are_known = self.replica_answers.know_all_departures(members);
        if self.replica_answers.prove_first_incarnation(members) {
            self.warm_up_limiter.note_first_incarnation();
        }
        if !self.departures.are_known && departures_are_known {
            self.departures.are_known = true;
            let waited = now.saturating_since(self.started_at).as_millis();
            let leaving = self.registration.draining_backends().len();
            let subject = format!("waited={waited} leaving={leaving}");
            self.emit_event(EventKind::DeparturesKnown, subject);
        }
        self.note_saved_departures(now);
    }

    fn note_saved_departures(&mut self, now: Timestamp) {
        if !self.departures_are_saved() {
            return;
        }
        if let Some(since) = self.departures.unsaved_since.take() {
            let waited = now.saturating_since(since).as_millis();
            let replicas = self.known_replicas.members().len();
            let subject = format!("waited={waited} replicas={replicas}");
            self.emit_event(EventKind::DepartureSaved, subject);
        }
    }

    /// Reports a departure until it is saved, each time that the back end asks to acknowledge it.
    pub(super) fn report_departure(&mut self, now: Timestamp) {
        match self.departures_are_saved() {
            true => self.report_if_changed(now),
            false => self.report(now),
        }
    }

    /// Notes the departures that are reported now.
    pub(super) fn note_reported_departures(&mut self, now: Timestamp) {
        self.departures.reported = self.registration.draining_backends();
        if !self.departures_are_saved() {
            self.departures.unsaved_since.get_or_insert(now);
        }
    }
}
