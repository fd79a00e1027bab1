//! Departures of the back end: their way to the disks of the replicas, and back after a restart of
//! the agent.
//!
//! A departure binds once it is acknowledged, also if the agent and all replicas are killed right
//! after that. So it is acknowledged once a majority of the replicas has synced it, and an agent
//! that starts admits no flows until a majority has told which back ends have left.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{DepartureRequest, GroupStatus};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

/// Interval between packets to a back end that has left, which has closed their flow.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What an agent knows of the departures at its address, and what the replicas have of it.
#[derive(Debug)]
pub(super) struct DepartureProgress {
    /// Whether all departures are known that previous incarnations acknowledged.
    are_known: bool,
    /// Departures in the last report, the latest last.
    pub(super) reported: Vec<u64>,
    /// Since when reported departures are not saved by a majority; `None` if all are.
    unsaved_since: Option<Timestamp>,
    /// A caller's data-less packet to a back end that left before the start of the agent.
    probe_packet: Option<Vec<u8>>,
    /// Earliest time to send that packet again.
    next_probe_at: Timestamp,
}

impl DepartureProgress {
    /// If the whole system starts for the first time, no back end has left before.
    pub(super) fn new(first_start: bool) -> Self {
        DepartureProgress {
            are_known: first_start,
            reported: Vec::new(),
            unsaved_since: None,
            probe_packet: None,
            next_probe_at: Timestamp::ZERO,
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
        if let Some(departures) = departures.filter(|it| !it.probe_packet.is_empty()) {
            self.departures.probe_packet = Some(departures.probe_packet.clone());
        }
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

    /// Sends a packet to a back end that has left and hasn't been seen since the start of the
    /// agent. A refusal shows that it has ended, so that the agent knows all flows, and balancers
    /// need not wait for its replies. A running back end returns the packet of a flow that it has
    /// closed, or drops it as an old duplicate.
    pub(super) fn probe_left_backend(&mut self, now: Timestamp) {
        let is_due = now >= self.departures.next_probe_at;
        if !is_due || !self.awaits_backend_refusal() || !self.registration.has_left() {
            return;
        }
        if let Some(packet) = self.departure_probe() {
            self.departures.next_probe_at = now + PROBE_INTERVAL;
            self.outputs.push_back(PassThroughOutput::ToBackend(packet));
        }
    }

    /// A caller's data-less packet to the back end that left before the start of the agent.
    pub(super) fn departure_probe(&self) -> Option<Vec<u8>> {
        self.departures.probe_packet.clone()
    }

    /// The request to send with a report, if the agent awaits something about departures.
    pub(super) fn departure_request(&self) -> Option<DepartureRequest> {
        self.awaits_departures_since()?;
        if self.departures_are_saved() {
            return Some(DepartureRequest::default());
        }
        let mut flows = self.flows.iter();
        let seen = flows.find_map(|(_, flow)| flow.probe_packet.clone());
        let probe_packet = seen.or_else(|| self.departure_probe());
        Some(DepartureRequest {
            probe_packet: probe_packet.unwrap_or_default(),
        })
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
