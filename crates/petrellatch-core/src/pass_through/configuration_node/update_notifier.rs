//! Who is told of orders about zones and of placement policies, and when again.
//!
//! Each replica tells the balancers that follow it. Of zones, the agents of the zone are
//! told by the leader, which hears all of them, until each has said that it
//! knows: they report by themselves too rarely in a large fleet.

use super::*;
use crate::pass_through::group::daemon_registry::AgentsToNotify;

/// Between two messages to an agent that has not answered: some round trips.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Agents that are told at once. It bounds what one round sends; chosen above the 22
/// agents of a zone that it was measured with, and not
/// measured at that number.
const MAX_NOTIFIED_PER_ROUND: usize = 256;
/// Between two rounds while agents are left that have not been told.
const ROUND_INTERVAL: Duration = Duration::from_millis(30);

/// What of the orders about zones is to be told.
#[derive(Debug, Default)]
pub(super) struct UpdateNotifier {
    /// Balancers have not been told of the latest order.
    are_balancers_due: bool,
    /// When agents are told next.
    notify_agents_at: Option<Timestamp>,
}

impl UpdateNotifier {
    /// Notes an order, or that this replica leads and may know more than agents.
    pub(super) fn note_zone_command(&mut self, now: Timestamp) {
        self.are_balancers_due = true;
        self.notify_agents_at = Some(now);
    }

    /// Notes that balancers are to be told, and no agents.
    pub(super) fn note_balancers_due(&mut self) {
        self.are_balancers_due = true;
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.notify_agents_at
    }
}

impl ConfigurationNode {
    /// Tells the balancers that follow this replica of a new order or policy.
    pub(super) fn notify_balancers(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.update_notifier.are_balancers_due) {
            return;
        }
        let status = GroupStatus {
            policies: self.policies().updates_since(0),
            ..self.group_status_with_zones(now, 0)
        };
        for subscriber in self.daemons.subscribers() {
            self.send(subscriber, PassThroughBody::GroupStatus(status.clone()));
        }
    }

    /// Tells agents that have not said that they know the latest order about their
    /// zone.
    pub(super) fn notify_agents_of_zones(&mut self, now: Timestamp) {
        if self
            .update_notifier
            .notify_agents_at
            .is_none_or(|at| now < at)
        {
            return;
        }
        self.update_notifier.notify_agents_at = None;
        if self.replica.role() != Role::Leader {
            return;
        }
        let zones = self.state.evacuations();
        let agents =
            self.daemons
                .agents_to_notify(now, zones, RETRY_INTERVAL, MAX_NOTIFIED_PER_ROUND);
        let interval = match agents {
            AgentsToNotify {
                has_more_due: true, ..
            } => Some(ROUND_INTERVAL),
            AgentsToNotify {
                awaits_ack: true, ..
            } => Some(RETRY_INTERVAL),
            AgentsToNotify { ref notified, .. } => (!notified.is_empty()).then_some(RETRY_INTERVAL),
        };
        self.update_notifier.notify_agents_at = interval.map(|interval| now + interval);
        let status = self.group_status_with_zones(now, 0);
        for agent in agents.notified {
            self.send(agent, PassThroughBody::GroupStatus(status.clone()));
        }
    }

    /// The group, with the orders about zones unless the receiver knows them.
    pub(super) fn group_status_with_zones(&self, now: Timestamp, known_index: u64) -> GroupStatus {
        GroupStatus {
            zones: self.evacuations().updates_since(known_index),
            ..self.group_status(now)
        }
    }
}
