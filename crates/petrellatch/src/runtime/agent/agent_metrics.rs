//! The metrics of an agent.

use petrellatch_core::agent_node::AgentNode;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};

use crate::runtime::ControlTraffic;
use crate::runtime::metrics::{
    ControlTrafficMetrics, counter, counters, drop_reason_name, gauge, raise, refusal_reason_name,
    set,
};

/// The metrics of an agent.
pub(super) struct AgentMetrics {
    packets: IntCounter,
    forwarded: IntCounter,
    drops: IntCounterVec,
    flows: IntCounterVec,
    refused: IntCounterVec,
    open_flows: IntGauge,
    connect_failures: IntCounter,
    traffic: ControlTrafficMetrics,
    version: IntGauge,
}

impl AgentMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Self {
        AgentMetrics {
            packets: counter(
                registry,
                "petrellatch_packets_total",
                "Datagrams with a caller packet that arrived.",
            ),
            forwarded: counter(
                registry,
                "petrellatch_forwarded_packets_total",
                "Packets that were passed on to another agent.",
            ),
            drops: counters(
                registry,
                "petrellatch_dropped_packets_total",
                "Packets that were dropped, by reason.",
                "reason",
            ),
            flows: counters(
                registry,
                "petrellatch_flows_total",
                "Flows by what became of them.",
                "outcome",
            ),
            refused: counters(
                registry,
                "petrellatch_refused_flows_total",
                "New flows that were refused, by reason.",
                "reason",
            ),
            open_flows: gauge(
                registry,
                "petrellatch_open_flows",
                "Flows that are open here.",
            ),
            connect_failures: counter(
                registry,
                "petrellatch_backend_connect_failures_total",
                "Connections to back ends that did not come about.",
            ),
            traffic: ControlTrafficMetrics::new(registry),
            version: gauge(
                registry,
                "petrellatch_view_version",
                "Version of the cluster view in force here.",
            ),
        }
    }

    /// Updates the metrics from the agent's state.
    pub(super) fn update(&self, node: &AgentNode, traffic: ControlTraffic, rejected_data: u64) {
        let counters = node.counters();
        raise(&self.packets, counters.packets);
        raise(&self.forwarded, counters.forwarded);
        for (reason, total) in &counters.drops {
            let name = drop_reason_name(*reason);
            raise(&self.drops.with_label_values(&[name]), *total);
        }
        for (reason, total) in &counters.refused {
            let name = refusal_reason_name(*reason);
            raise(&self.refused.with_label_values(&[name]), *total);
        }
        for (outcome, total) in [
            ("admitted", counters.admitted),
            ("hunted", counters.hunted),
            ("hunted_in", counters.hunted_in),
            ("reset_unknown", counters.resets),
            ("broken", counters.broken),
            ("ended", counters.ended),
        ] {
            raise(&self.flows.with_label_values(&[outcome]), total);
        }
        set(&self.open_flows, node.open_flows());
        raise(&self.connect_failures, counters.connect_failures);
        self.traffic.update(traffic, rejected_data);
        set(&self.version, node.link().view().version());
    }
}
