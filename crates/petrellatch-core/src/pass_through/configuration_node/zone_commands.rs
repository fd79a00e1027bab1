//! Zone commands, from the request to the response.

use super::*;

impl ConfigurationNode {
    /// Proposes a zone command to the log. Repeated commands are proposed as well: only an
    /// applied log entry shows that the result is committed.
    pub(super) fn handle_zone_command(
        &mut self,
        now: Timestamp,
        token: u64,
        command: ZoneCommand,
        allow_last: bool,
    ) {
        let zones = &self.settings.zones;
        let is_known = zones.is_empty() || zones.contains(&command.zone);
        if !is_known && !self.evacuations().contains(&command.zone) {
            let zone = command.zone;
            self.refuse_zone_command(token, ZoneCommandRefusal::UnknownZone { zone });
            return;
        }
        if self.replica.role() != Role::Leader {
            self.respond_not_leader(token);
            return;
        }
        if command.evacuated
            && !allow_last
            && let Some(service) = self.service_left_without_zone(now, &command.zone)
        {
            let zone = command.zone;
            self.refuse_zone_command(token, ZoneCommandRefusal::LastZone { zone, service });
            return;
        }
        let entry = ConfigurationState::zone_command(&command);
        match self.replica.propose(now, entry) {
            Ok(_) => {
                let deadline = now + self.settings.request_timeout;
                self.pending_zone_commands
                    .add(command.command_id, token, deadline);
            }
            Err(_) => self.respond_not_leader(token),
        }
    }

    /// A service that would have back ends in evacuated zones only. None is reported while
    /// the directory is incomplete.
    fn service_left_without_zone(&self, now: Timestamp, zone: &str) -> Option<String> {
        if !self.daemons.is_complete(now) {
            return None;
        }
        let stays_in_service = |other: &str| other != zone && !self.evacuations().contains(other);
        self.daemons.service_without_zone(stays_in_service)
    }

    fn refuse_zone_command(&mut self, token: u64, refusal: ZoneCommandRefusal) {
        self.emit_event(EventKind::ZoneOrderRefused, refusal.to_string());
        self.respond(token, ConfigurationResponse::ZoneCommandRefused(refusal));
    }

    /// Handles an applied command: responds to the request, and schedules notifications of
    /// daemons.
    pub(super) fn note_zone_command(
        &mut self,
        now: Timestamp,
        command: &ZoneCommand,
        changed: bool,
    ) {
        if changed {
            let kind = match command.evacuated {
                true => EventKind::ZoneEvacuated,
                false => EventKind::ZoneRestored,
            };
            let index = self.evacuations().index();
            let subject = format!(
                "zone={} order={:016x} index={index}",
                command.zone, command.command_id
            );
            self.emit_event(kind, subject);
            self.update_notifier.note_zone_command(now);
        }
        if let Some(token) = self.pending_zone_commands.take(command.command_id) {
            self.respond(token, ConfigurationResponse::ZoneCommandApplied);
        }
    }
}
