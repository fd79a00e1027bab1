//! Notifications of zone commands and placement policies.
//!
//! Each replica notifies the balancers that are subscribed to it. The agents of a zone are
//! notified by the leader, which receives the reports of all, until each has acknowledged: in
//! a large fleet they report too rarely by themselves.

use super::*;
use crate::pass_through::group::daemon_registry::AgentsToNotify;

/// Interval between notifications of an agent that has not acknowledged: a few round trips
/// of the network.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of agents that are notified per round, so that a command for a large zone
/// is not sent to all of its agents at once.
const MAX_NOTIFIED_PER_ROUND: usize = 256;
/// Interval between rounds while agents are left to notify.
const ROUND_INTERVAL: Duration = Duration::from_millis(30);

/// Pending notifications of zone commands and placement policies.
#[derive(Debug, Default)]
pub(super) struct UpdateNotifier {
    /// Whether subscribers have not been notified of the latest zone command or policy.
    are_balancers_due: bool,
    /// When agents are notified next; `None` if no notification is scheduled.
    notify_agents_at: Option<Timestamp>,
}

impl UpdateNotifier {
    /// Schedules notifications of balancers and agents: after a zone command, and when this
    /// replica becomes the leader or restores a snapshot, and may know commands that daemons
    /// do not.
    pub(super) fn note_zone_command(&mut self, now: Timestamp) {
        self.are_balancers_due = true;
        self.notify_agents_at = Some(now);
    }

    /// Schedules a notification of balancers only.
    pub(super) fn note_balancers_due(&mut self) {
        self.are_balancers_due = true;
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.notify_agents_at
    }
}

impl ConfigurationNode {
    /// Notifies the subscribers of a new zone command or policy.
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

    /// As the leader, notifies agents that have not acknowledged the latest command for their
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

    /// The group status, with the zone statuses unless the receiver knows the zone commands
    /// up to this log index.
    pub(super) fn group_status_with_zones(&self, now: Timestamp, known_index: u64) -> GroupStatus {
        GroupStatus {
            zones: self.evacuations().updates_since(known_index),
            ..self.group_status(now)
        }
    }
}
