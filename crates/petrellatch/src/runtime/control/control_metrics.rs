//! The metrics of a control replica.

use petrellatch_core::consensus::Role;
use petrellatch_core::control::ControlNode;
use prometheus::{IntGauge, Registry};

use crate::runtime::ControlTraffic;
use crate::runtime::metrics::{ControlTrafficMetrics, gauge, set};

/// The metrics of a control replica.
pub(super) struct ControlMetrics {
    is_leader: IntGauge,
    term: IntGauge,
    commit_index: IntGauge,
    version: IntGauge,
    config_version: IntGauge,
    traffic: ControlTrafficMetrics,
}

impl ControlMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Self {
        ControlMetrics {
            is_leader: gauge(
                registry,
                "petrellatch_is_leader",
                "Whether this replica leads: 1 or 0.",
            ),
            term: gauge(registry, "petrellatch_term", "The current term."),
            commit_index: gauge(
                registry,
                "petrellatch_commit_index",
                "The last entry of the log known to be committed.",
            ),
            version: gauge(
                registry,
                "petrellatch_view_version",
                "Version of the cluster view as applied here.",
            ),
            config_version: gauge(
                registry,
                "petrellatch_configuration_version",
                "Version of the last accepted change.",
            ),
            traffic: ControlTrafficMetrics::new(registry),
        }
    }

    /// Updates the metrics from the replica's state.
    pub(super) fn update(&self, node: &ControlNode, traffic: ControlTraffic) {
        let replica = node.replica();
        self.is_leader.set((replica.role() == Role::Leader).into());
        set(&self.term, replica.term());
        set(&self.commit_index, replica.commit_index());
        set(&self.version, node.state().view().version());
        set(&self.config_version, node.state().config_version());
        self.traffic.update(traffic, 0);
    }
}
