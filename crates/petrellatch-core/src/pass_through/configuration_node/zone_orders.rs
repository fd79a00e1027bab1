//! Orders about zones, from the request to the answer.

use super::*;

impl ConfigurationNode {
    /// Puts an order into the log. Repeated orders go there as well: only what the
    /// log says is known to hold for good.
    pub(super) fn handle_zone_order(
        &mut self,
        now: Timestamp,
        token: u64,
        order: ZoneCommand,
        allow_last: bool,
    ) {
        let zones = &self.settings.zones;
        let is_known = zones.is_empty() || zones.contains(&order.zone);
        if !is_known && !self.evacuations().contains(&order.zone) {
            let zone = order.zone;
            self.refuse_zone_order(token, ZoneCommandRefusal::UnknownZone { zone });
            return;
        }
        if self.replica.role() != Role::Leader {
            self.respond_elsewhere(token);
            return;
        }
        if order.evacuated
            && !allow_last
            && let Some(service) = self.service_left_without_zone(now, &order.zone)
        {
            let zone = order.zone;
            self.refuse_zone_order(token, ZoneCommandRefusal::LastZone { zone, service });
            return;
        }
        let command = ConfigurationState::zone_command(&order);
        match self.replica.propose(now, command) {
            Ok(_) => {
                let deadline = now + self.settings.request_timeout;
                self.zone_orders.add(order.command_id, token, deadline);
            }
            Err(_) => self.respond_elsewhere(token),
        }
    }

    /// A service that would have back ends in zones out of service only. Nothing is
    /// said of that before all agents are known.
    fn service_left_without_zone(&self, now: Timestamp, zone: &str) -> Option<String> {
        if !self.followers.is_whole(now) {
            return None;
        }
        let stays = |other: &str| other != zone && !self.evacuations().contains(other);
        self.followers.service_without_zone(stays)
    }

    fn refuse_zone_order(&mut self, token: u64, refusal: ZoneCommandRefusal) {
        self.emit_event(EventKind::ZoneOrderRefused, refusal.to_string());
        self.respond(token, ConfigurationResponse::ZoneCommandRefused(refusal));
    }

    /// An order was applied: whoever waits for it is answered, and daemons are told.
    pub(super) fn note_zone_order(&mut self, now: Timestamp, order: &ZoneCommand, changed: bool) {
        if changed {
            let kind = match order.evacuated {
                true => EventKind::ZoneEvacuated,
                false => EventKind::ZoneRestored,
            };
            let index = self.evacuations().index();
            let subject = format!(
                "zone={} order={:016x} index={index}",
                order.zone, order.command_id
            );
            self.emit_event(kind, subject);
            self.zone_news.note_order(now);
        }
        if let Some(token) = self.zone_orders.take(order.command_id) {
            self.respond(token, ConfigurationResponse::ZoneCommandApplied);
        }
    }
}
