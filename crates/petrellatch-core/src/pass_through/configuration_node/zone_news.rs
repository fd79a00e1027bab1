//! Who is told of orders about zones and of placement policies, and when again.
//!
//! Each replica tells the balancers that follow it. Of zones, the agents of the zone are
//! told by the leader, which hears all of them, until each has said that it
//! knows: they report by themselves too rarely in a large fleet.

use super::*;
use crate::pass_through::group::followers::AgentsToTell;

/// Between two messages to an agent that has not answered: some round trips.
const RETELL_INTERVAL: Duration = Duration::from_millis(150);
/// Agents that are told at once. It bounds what one round sends; chosen above the 22
/// agents of a zone that it was measured with, and not
/// measured at that number.
const TOLD_AT_ONCE: usize = 256;
/// Between two rounds while agents are left that have not been told.
const ROUND_INTERVAL: Duration = Duration::from_millis(30);

/// What of the orders about zones is to be told.
#[derive(Debug, Default)]
pub(super) struct ZoneNews {
    /// Balancers have not been told of the latest order.
    balancers_due: bool,
    /// When agents are told next.
    agents_at: Option<Timestamp>,
}

impl ZoneNews {
    /// Notes an order, or that this replica leads and may know more than agents.
    pub(super) fn note_order(&mut self, now: Timestamp) {
        self.balancers_due = true;
        self.agents_at = Some(now);
    }

    /// Notes that balancers are to be told, and no agents.
    pub(super) fn note_balancers(&mut self) {
        self.balancers_due = true;
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.agents_at
    }
}

impl ConfigurationNode {
    /// Tells the balancers that follow this replica of a new order or policy.
    pub(super) fn tell_balancers_of_orders(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.zone_news.balancers_due) {
            return;
        }
        let group = GroupStatus {
            policies: self.policies().updates_since(0),
            ..self.group_with_zones(now, 0)
        };
        for follower in self.followers.followers() {
            self.send(follower, PassThroughBody::GroupStatus(group.clone()));
        }
    }

    /// Tells agents that have not said that they know the latest order about their
    /// zone.
    pub(super) fn tell_agents_of_zones(&mut self, now: Timestamp) {
        if self.zone_news.agents_at.is_none_or(|at| now < at) {
            return;
        }
        self.zone_news.agents_at = None;
        if self.replica.role() != Role::Leader {
            return;
        }
        let zones = self.state.evacuations();
        let agents = self
            .followers
            .agents_to_tell(now, zones, RETELL_INTERVAL, TOLD_AT_ONCE);
        let interval = match agents {
            AgentsToTell {
                more_are_due: true, ..
            } => Some(ROUND_INTERVAL),
            AgentsToTell {
                some_wait: true, ..
            } => Some(RETELL_INTERVAL),
            AgentsToTell { ref told, .. } => (!told.is_empty()).then_some(RETELL_INTERVAL),
        };
        self.zone_news.agents_at = interval.map(|interval| now + interval);
        let group = self.group_with_zones(now, 0);
        for agent in agents.told {
            self.send(agent, PassThroughBody::GroupStatus(group.clone()));
        }
    }

    /// The group, with the orders about zones unless the receiver knows them.
    pub(super) fn group_with_zones(&self, now: Timestamp, known: u64) -> GroupStatus {
        GroupStatus {
            zones: self.evacuations().updates_since(known),
            ..self.group(now)
        }
    }
}
