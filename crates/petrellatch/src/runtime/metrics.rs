//! Metrics of the daemons, in the Prometheus format.

use petrellatch_core::admission::RefusalReason;
use petrellatch_core::routing::DropReason;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use super::sealed_socket::ControlTraffic;

/// Registration fails only if a metric name is invalid or used twice.
const UNIQUE: &str = "names of metrics are valid and unique";

/// Metrics of the control socket, which every role has.
pub(super) struct ControlTrafficMetrics {
    bytes: IntCounterVec,
    rejected: IntCounter,
}

impl ControlTrafficMetrics {
    /// Registers the metrics.
    pub(super) fn new(registry: &Registry) -> Self {
        ControlTrafficMetrics {
            bytes: counters(
                registry,
                "petrellatch_control_bytes_total",
                "Bytes of datagrams at the control socket, by direction.",
                "direction",
            ),
            rejected: counter(
                registry,
                "petrellatch_rejected_datagrams_total",
                "Datagrams whose seal or content was wrong.",
            ),
        }
    }

    /// Updates the metrics. `rejected_data` is the number of datagrams rejected
    /// at the data socket.
    pub(super) fn update(&self, traffic: ControlTraffic, rejected_data: u64) {
        let received = self.bytes.with_label_values(&["in"]);
        raise(&received, traffic.received_bytes);
        let sent = self.bytes.with_label_values(&["out"]);
        raise(&sent, traffic.sent_bytes);
        raise(&self.rejected, traffic.rejected + rejected_data);
    }
}

/// Registers a counter.
pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect(UNIQUE);
    registry.register(Box::new(counter.clone())).expect(UNIQUE);
    counter
}

/// Registers a counter with one label.
pub(super) fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label]).expect(UNIQUE);
    registry.register(Box::new(counters.clone())).expect(UNIQUE);
    counters
}

/// Registers a gauge.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect(UNIQUE);
    registry.register(Box::new(gauge.clone())).expect(UNIQUE);
    gauge
}

/// Registers a gauge with one label.
pub(super) fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).expect(UNIQUE);
    registry.register(Box::new(gauges.clone())).expect(UNIQUE);
    gauges
}

/// Raises a counter to a total that is counted elsewhere.
pub(super) fn raise(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

/// Sets a gauge, and saturates at its largest value.
pub(super) fn set(gauge: &IntGauge, value: impl TryInto<i64>) {
    gauge.set(value.try_into().unwrap_or(i64::MAX));
}

/// Returns the value of the label `reason` for a dropped packet.
pub(super) fn drop_reason_name(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Malformed(_) => "malformed",
        DropReason::NotCurrent => "not_current",
        DropReason::UnknownService => "unknown_service",
        DropReason::WrongService => "wrong_service",
        DropReason::WrongBackend => "wrong_backend",
        DropReason::WrongIncarnation => "wrong_incarnation",
        DropReason::NoOwner => "no_owner",
        DropReason::UnknownAgent => "unknown_agent",
        DropReason::TooManyHops => "too_many_hops",
        DropReason::NoLease => "no_lease",
        DropReason::Unsettled => "unsettled",
        DropReason::Repeated => "repeated",
    }
}

/// Returns the value of the label `reason` for a refused flow.
pub(super) fn refusal_reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Leaving => "leaving",
        RefusalReason::Draining => "draining",
        RefusalReason::Connections => "connections",
        RefusalReason::Slots => "slots",
        RefusalReason::RateLimit => "rate_limit",
        RefusalReason::Unreachable => "unreachable",
        RefusalReason::NoBackend => "no_backend",
        RefusalReason::NoLease => "no_lease",
    }
}
