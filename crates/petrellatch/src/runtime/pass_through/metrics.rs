//! Metrics of the tier, in the form that Prometheus reads. They are gathered
//! when they are asked for, so that a process keeps nothing for them.

use petrellatch_core::consensus::Role;
use petrellatch_core::pass_through::{
    ConfigurationNode, PacketCodec, PassThroughAgent, PassThroughBalancer,
};
use petrellatch_proto::pass_through::DeclineReason;
use prometheus::{Registry, TextEncoder};

use crate::http::HttpResponse;
use crate::runtime::metrics::{counter, counters, gauge, raise, set};

/// The metrics that a process may have. `docs/API.md` lists them; a test
/// compares the two.
pub const METRIC_NAMES: [&str; 14] = [
    "petrellatch_pass_through_packets_total",
    "petrellatch_pass_through_placed_total",
    "petrellatch_pass_through_refused_total",
    "petrellatch_pass_through_unanswered_total",
    "petrellatch_pass_through_sought_total",
    "petrellatch_pass_through_flows",
    "petrellatch_pass_through_agents",
    "petrellatch_pass_through_version",
    "petrellatch_pass_through_admitted_total",
    "petrellatch_pass_through_declined_total",
    "petrellatch_pass_through_busy",
    "petrellatch_pass_through_leads",
    "petrellatch_pass_through_term",
    "petrellatch_pass_through_voters",
];

const PACKETS: &str = "Packets by what became of them.";

pub(super) fn balancer_metrics<C: PacketCodec>(balancer: &PassThroughBalancer<C>) -> HttpResponse {
    let registry = Registry::new();
    let counted = balancer.counters();
    let packets = counters(&registry, METRIC_NAMES[0], PACKETS, "outcome");
    for (outcome, total) in [
        ("delivered", counted.delivered),
        ("malformed", counted.malformed),
        ("not_current", counted.not_current),
        ("no_route", counted.no_route),
        ("stale", counted.stale),
    ] {
        raise(&packets.with_label_values(&[outcome]), total);
    }
    for (place, help, total) in [
        (1, "New flows offered to an agent.", counted.placed),
        (2, "New flows refused with a reset.", counted.refused),
        (
            3,
            "Opening packets that an agent did not answer in time.",
            counted.unanswered,
        ),
        (
            4,
            "Packets of flows whose agent was not known.",
            counted.sought,
        ),
    ] {
        raise(&counter(&registry, METRIC_NAMES[place], help), total);
    }
    let (flows, agents) = balancer.sizes();
    set(
        &gauge(&registry, METRIC_NAMES[5], "Flows that are remembered."),
        flows,
    );
    set(
        &gauge(&registry, METRIC_NAMES[6], "Agents that are known."),
        agents,
    );
    let version = gauge(&registry, METRIC_NAMES[7], "Version in force.");
    set(&version, balancer.version());
    encode(&registry)
}

pub(super) fn agent_metrics<C: PacketCodec>(agent: &PassThroughAgent<C>) -> HttpResponse {
    let registry = Registry::new();
    let counted = agent.counters();
    let packets = counters(&registry, METRIC_NAMES[0], PACKETS, "outcome");
    for (outcome, total) in [
        ("delivered", counted.delivered),
        ("malformed", counted.malformed),
        ("returned", counted.returned),
    ] {
        raise(&packets.with_label_values(&[outcome]), total);
    }
    let admitted = counter(
        &registry,
        METRIC_NAMES[8],
        "New flows handed to the back end.",
    );
    raise(&admitted, counted.admitted);
    let help = "New flows that were declined, by reason.";
    let declined = counters(&registry, METRIC_NAMES[9], help, "reason");
    for (reason, total) in &counted.declined {
        raise(&declined.with_label_values(&[reason_name(*reason)]), *total);
    }
    let (busy, _) = agent.load();
    let help = "Requests that wait for their answers.";
    set(&gauge(&registry, METRIC_NAMES[10], help), busy);
    encode(&registry)
}

pub(super) fn replica_metrics(node: &ConfigurationNode) -> HttpResponse {
    let registry = Registry::new();
    let replica = node.replica();
    let version = gauge(&registry, METRIC_NAMES[7], "Version in force.");
    set(&version, node.configuration().version);
    let leads = gauge(&registry, METRIC_NAMES[11], "Whether this replica leads.");
    set(&leads, i64::from(replica.role() == Role::Leader));
    set(
        &gauge(&registry, METRIC_NAMES[12], "Current term."),
        replica.term(),
    );
    let voters = gauge(&registry, METRIC_NAMES[13], "Voters of the group.");
    set(&voters, replica.membership().voters().count());
    encode(&registry)
}

fn reason_name(reason: DeclineReason) -> &'static str {
    match reason {
        DeclineReason::Unspecified => "unspecified",
        DeclineReason::Full => "full",
        DeclineReason::Draining => "draining",
        DeclineReason::NoBackend => "no_backend",
        DeclineReason::WrongService => "wrong_service",
        DeclineReason::Returned => "returned",
    }
}

fn encode(registry: &Registry) -> HttpResponse {
    let text = TextEncoder::new().encode_to_string(&registry.gather());
    HttpResponse::text(200, text.unwrap_or_default().into_bytes())
}
