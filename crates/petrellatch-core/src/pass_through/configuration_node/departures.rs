//! Departures of back ends, which replicas keep for their agents.

use petrellatch_proto::pass_through::Report;

use super::*;
use crate::pass_through::digest::service_digest;

impl ConfigurationNode {
    /// Loads the records that the previous incarnation wrote to the file of departures, in their
    /// order. Returns whether all are readable.
    pub fn load_departures(&mut self, now: Timestamp, saved: &[Vec<u8>]) -> bool {
        self.departures.load(now, saved)
    }

    /// Notes the result of a write to the file of departures, which is repeated after a failure.
    /// Agents learn that their departures are saved.
    pub fn handle_departures_written(&mut self, now: Timestamp, result: Result<(), String>) {
        match result {
            Ok(()) => {
                for agent in self.departures.note_saved() {
                    self.send_latest_status(now, agent);
                }
                self.save_departures(now);
            }
            Err(failure) => {
                if self.departures.note_failure(now) {
                    self.emit_event(EventKind::DeparturesNotSaved, failure);
                }
            }
        }
    }

    /// Number of departures that this replica keeps.
    pub fn departure_count(&self) -> usize {
        self.departures.len()
    }

    pub(super) fn save_departures(&mut self, now: Timestamp) {
        if let Some(write) = self.departures.poll_write(now) {
            self.outputs
                .push_back(ConfigurationOutput::WriteDepartures(write));
        }
    }

    /// Notes the departures that an agent reports, and writes those that are new.
    pub(super) fn note_departures(&mut self, now: Timestamp, report: &Report) {
        let agent = (report.address, service_digest(&report.service));
        let request = report.departures.as_deref();
        let probe_packet = request.map_or(&[][..], |request| &request.probe_packet);
        self.departures
            .note(now, agent, &report.draining_backends, probe_packet);
        self.save_departures(now);
    }

    /// Sends an agent the reply to its latest report.
    fn send_latest_status(&mut self, now: Timestamp, agent: u64) {
        if let Some(report) = self.daemons.latest_report(agent) {
            let report = report.clone();
            self.send_agent_status(now, unpack_address(agent), &report);
        }
    }

    /// Sends an agent the reply to a report.
    pub(super) fn send_agent_status(&mut self, now: Timestamp, to: SocketAddrV4, report: &Report) {
        let (agent, incarnation) = (report.address, report.incarnation);
        let key = (agent, service_digest(&report.service));
        let status = GroupStatus {
            draining_backends: self.departures.backends(key),
            departures: Some(Box::new(self.departures.status(now, key))),
            serving_backend: self.daemons.served_previously(agent, incarnation),
            knows_previous_incarnation: self.daemons.knows_previous_incarnation(agent),
            remembers_agents: self.daemons.remembers_agents(now),
            agent_incarnation: incarnation,
            has_report: true,
            acknowledged_report: report.sequence,
            agent_is_saved: self.daemon_store.is_saved(now, agent),
            ..self.group_status_with_zones(now, report.evacuations_index)
        };
        self.send(to, PassThroughBody::GroupStatus(status));
    }
}
