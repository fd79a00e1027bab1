//! The part of the configuration that is not in the view.

use std::collections::{BTreeMap, BTreeSet};

/// Identifiers that were handed out, and the operator's drains.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Assignments {
    /// The identifier of the newest service.
    pub(super) last_service: u32,
    /// The identifier of the newest back end.
    pub(super) last_backend: u64,
    /// Names of nodes that an operator is draining.
    pub(super) drained_nodes: BTreeSet<String>,
    /// Zones that an operator took out of service.
    pub(super) evacuated_zones: BTreeSet<String>,
}

/// What one change does to the assignments.
#[derive(Clone, Debug, Default)]
pub(super) struct AssignmentChanges {
    pub(super) new_services: u32,
    pub(super) new_backends: u64,
    /// Nodes whose drain begins or ends.
    pub(super) drains: BTreeMap<String, bool>,
    /// Zones that go out of service, or back.
    pub(super) zones: BTreeMap<String, bool>,
}

impl Assignments {
    pub(super) fn apply(&mut self, changes: AssignmentChanges) {
        self.last_service += changes.new_services;
        self.last_backend += changes.new_backends;
        for (node, is_drained) in changes.drains {
            if is_drained {
                self.drained_nodes.insert(node);
            } else {
                self.drained_nodes.remove(&node);
            }
        }
        for (zone, is_evacuated) in changes.zones {
            if is_evacuated {
                self.evacuated_zones.insert(zone);
            } else {
                self.evacuated_zones.remove(&zone);
            }
        }
    }
}

impl AssignmentChanges {
    /// Whether a node is drained after the changes so far.
    pub(super) fn is_drained(&self, before: &Assignments, node: &str) -> bool {
        let changed = self.drains.get(node).copied();
        changed.unwrap_or_else(|| before.drained_nodes.contains(node))
    }

    /// Whether a zone is out of service after the changes so far.
    pub(super) fn is_evacuated(&self, before: &Assignments, zone: &str) -> bool {
        let changed = self.zones.get(zone).copied();
        changed.unwrap_or_else(|| before.evacuated_zones.contains(zone))
    }

    /// How many nodes are drained after the changes so far.
    pub(super) fn drained_count(&self, before: &Assignments) -> usize {
        let was_drained = |node: &str| before.drained_nodes.contains(node);
        let drains = self.drains.iter();
        let added = drains
            .clone()
            .filter(|(node, on)| **on && !was_drained(node));
        let removed = drains.filter(|(node, on)| !**on && was_drained(node));
        before.drained_nodes.len() + added.count() - removed.count()
    }
}
