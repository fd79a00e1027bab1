//! Metrics of the tier, in the form that Prometheus reads. They are gathered
//! when they are asked for, so that a process keeps nothing for them.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::Role;
use petrellatch_core::pass_through::{
    ConfigurationNode, LatencyHistogram, PacketCodec, PassThroughAgent, PassThroughBalancer,
};
use petrellatch_proto::pass_through::DeclineReason;
use prometheus::proto::{Bucket, Histogram, Metric, MetricFamily, MetricType};
use prometheus::{Registry, TextEncoder};

use crate::http::HttpResponse;
use crate::runtime::metrics::{counter, counters, gauge, raise, set};

/// The metrics that a process may have. `docs/API.md` lists them; a test
/// compares the two.
pub const METRIC_NAMES: [&str; 31] = [
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
    "petrellatch_pass_through_placement_seconds",
    "petrellatch_pass_through_configuration_lag_seconds",
    "petrellatch_pass_through_first_answer_seconds",
    "petrellatch_pass_through_registration_gap_seconds",
    "petrellatch_pass_through_acceptance_seconds",
    "petrellatch_pass_through_sync_seconds",
    "petrellatch_pass_through_searches_total",
    "petrellatch_pass_through_zones_evacuated",
    "petrellatch_pass_through_agents_behind",
    "petrellatch_pass_through_waiting_total",
    "petrellatch_pass_through_full_total",
    "petrellatch_pass_through_refused_at_edge_total",
    "petrellatch_pass_through_pauses_total",
    "petrellatch_pass_through_further_questions_total",
    "petrellatch_pass_through_open_flows",
    "petrellatch_pass_through_demand_millislots",
    "petrellatch_pass_through_work_microseconds",
];

/// Upper bounds of the buckets of all histograms, in milliseconds.
const BUCKET_MILLIS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

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
        ("tried", counted.tried),
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
    let help = "Searches for flows whose agent was not known, by their end.";
    let searches = counters(&registry, METRIC_NAMES[20], help, "outcome");
    for (outcome, total) in [
        ("found", counted.found),
        ("gone", counted.gone),
        ("not_found", counted.not_found),
    ] {
        raise(&searches.with_label_values(&[outcome]), total);
    }
    let help = "New flows that were refused without asking an agent, by priority.";
    let refused = counters(&registry, METRIC_NAMES[25], help, "priority");
    for (priority, total) in balancer.refused_at_edge() {
        raise(
            &refused.with_label_values(&[priority.to_string().as_str()]),
            *total,
        );
    }
    let help = "Times that new flows of a service are refused for a while.";
    raise(&counter(&registry, METRIC_NAMES[26], help), counted.pauses);
    let help = "Questions beyond the first of a flow, by whether the link bore them.";
    let questions = counters(&registry, METRIC_NAMES[27], help, "outcome");
    for (outcome, total) in [
        ("asked", counted.further_asked),
        ("unpaid", counted.further_unpaid),
    ] {
        raise(&questions.with_label_values(&[outcome]), total);
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
    tell_evacuated(&registry, balancer.evacuations().evacuated().count());
    let latencies = balancer.latencies();
    let placement = histogram(
        14,
        "First packet to the back end's answer.",
        &latencies.placement,
    );
    let help = "First word of a newer configuration until one is in force.";
    let lag = histogram(15, help, &latencies.configuration_lag);
    encode(&registry, [placement, lag])
}

pub(super) fn agent_metrics<C: PacketCodec>(
    agent: &PassThroughAgent<C>,
    now: Timestamp,
) -> HttpResponse {
    let registry = Registry::new();
    let counted = agent.counters();
    let packets = counters(&registry, METRIC_NAMES[0], PACKETS, "outcome");
    for (outcome, total) in [
        ("delivered", counted.delivered),
        ("malformed", counted.malformed),
        ("returned", counted.returned),
        ("tried", counted.tried),
    ] {
        raise(&packets.with_label_values(&[outcome]), total);
    }
    let admitted = counter(
        &registry,
        METRIC_NAMES[8],
        "New flows handed to the back end.",
    );
    raise(&admitted, counted.admitted);
    let help = "New flows that found no place and were let wait for one.";
    raise(&counter(&registry, METRIC_NAMES[23], help), counted.waiting);
    let help = "New flows that were declined, by reason.";
    let declined = counters(&registry, METRIC_NAMES[9], help, "reason");
    for (reason, total) in &counted.declined {
        raise(&declined.with_label_values(&[reason_name(*reason)]), *total);
    }
    let help = "New flows that were declined for lack of room, by priority.";
    let full = counters(&registry, METRIC_NAMES[24], help, "priority");
    for (priority, total) in &counted.declined_full {
        raise(&full.with_label_values(&[&priority.to_string()]), *total);
    }
    tell_evacuated(&registry, usize::from(agent.is_evacuated()));
    let (busy, _) = agent.load();
    let help = "Requests that wait for their answers.";
    set(&gauge(&registry, METRIC_NAMES[10], help), busy);
    let (open_flows, demand) = agent.demand(now);
    let help = "Flows that are open at the back end.";
    set(&gauge(&registry, METRIC_NAMES[28], help), open_flows);
    let help = "Slots that the open flows kept busy in the last seconds.";
    set(&gauge(&registry, METRIC_NAMES[29], help), demand);
    let help = "Mean time that the back end works on a request.";
    let work = agent.work_micros(now);
    set(&gauge(&registry, METRIC_NAMES[30], help), work);
    let latencies = agent.latencies();
    let help = "Admission of a flow to the back end's answer.";
    let answer = histogram(16, help, &latencies.first_answer);
    let help = "Between two calls of the back end.";
    let gap = histogram(17, help, &latencies.registration_gap);
    encode(&registry, [answer, gap])
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
    tell_evacuated(&registry, node.evacuations().evacuated().count());
    let help = "Agents that have not said that they know the latest order about their zone.";
    set(
        &gauge(&registry, METRIC_NAMES[22], help),
        node.agents_behind(),
    );
    let latencies = node.latencies();
    let help = "Request of a replacement until it was accepted.";
    let acceptance = histogram(18, help, &latencies.acceptance);
    let sync = histogram(
        19,
        "Request of a write until it was synced.",
        &latencies.sync,
    );
    encode(&registry, [acceptance, sync])
}

/// Zones out of service: all of them, or for an agent its own one.
fn tell_evacuated(registry: &Registry, zones: usize) {
    let evacuated = gauge(registry, METRIC_NAMES[21], "Zones out of service.");
    set(&evacuated, zones);
}

fn reason_name(reason: DeclineReason) -> &'static str {
    match reason {
        DeclineReason::Unspecified => "unspecified",
        DeclineReason::Full => "full",
        DeclineReason::Draining => "draining",
        DeclineReason::NoBackend => "no_backend",
        DeclineReason::WrongService => "wrong_service",
        DeclineReason::Returned => "returned",
        DeclineReason::Evacuated => "evacuated",
        DeclineReason::Cold => "cold",
        DeclineReason::Failing => "failing",
    }
}

/// The histogram of name number `place`, as Prometheus has it.
fn histogram(place: usize, help: &str, latencies: &LatencyHistogram) -> MetricFamily {
    let buckets = BUCKET_MILLIS.iter().map(|millis| {
        let limit = Duration::from_millis(*millis);
        let mut bucket = Bucket::default();
        bucket.set_upper_bound(limit.as_secs_f64());
        bucket.set_cumulative_count(latencies.count_up_to(limit));
        bucket
    });
    let mut told = Histogram::default();
    told.set_bucket(buckets.collect());
    told.set_sample_count(latencies.count());
    told.set_sample_sum(latencies.total().as_secs_f64());
    let mut metric = Metric::default();
    metric.set_histogram(told);
    let mut family = MetricFamily::default();
    family.set_name(METRIC_NAMES[place].to_owned());
    family.set_help(help.to_owned());
    family.set_field_type(MetricType::HISTOGRAM);
    family.set_metric(vec![metric]);
    family
}

fn encode(registry: &Registry, histograms: [MetricFamily; 2]) -> HttpResponse {
    let mut families = registry.gather();
    families.extend(histograms);
    let text = TextEncoder::new().encode_to_string(&families);
    HttpResponse::text(200, text.unwrap_or_default().into_bytes())
}
