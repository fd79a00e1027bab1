//! Metrics of the pass-through tier in the Prometheus text format. They are collected
//! from the state machine on each request, so a process keeps no state for them.

use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{ElectionLoss, Role};
use petrellatch_core::pass_through::{
    ConfigurationNode, FlowRecorderStats, LatencyHistogram, PacketCodec, PassThroughAgent,
    PassThroughBalancer, RecoveryOutcome,
};
use petrellatch_proto::pass_through::DeclineReason;
use prometheus::proto::{Bucket, Histogram, Metric, MetricFamily, MetricType};
use prometheus::{Registry, TextEncoder};

use crate::http::HttpResponse;
use crate::runtime::metrics::{counter, counters, gauge, gauges, raise, set};

const PACKETS_TOTAL: &str = "petrellatch_pass_through_packets_total";
const PLACED_TOTAL: &str = "petrellatch_pass_through_placed_total";
const REFUSED_TOTAL: &str = "petrellatch_pass_through_refused_total";
const UNANSWERED_TOTAL: &str = "petrellatch_pass_through_unanswered_total";
const SOUGHT_TOTAL: &str = "petrellatch_pass_through_sought_total";
const FLOWS: &str = "petrellatch_pass_through_flows";
const AGENTS: &str = "petrellatch_pass_through_agents";
const VERSION: &str = "petrellatch_pass_through_version";
const ADMITTED_TOTAL: &str = "petrellatch_pass_through_admitted_total";
const DECLINED_TOTAL: &str = "petrellatch_pass_through_declined_total";
const BUSY: &str = "petrellatch_pass_through_busy";
const LEADS: &str = "petrellatch_pass_through_leads";
const TERM: &str = "petrellatch_pass_through_term";
const VOTERS: &str = "petrellatch_pass_through_voters";
const PLACEMENT_SECONDS: &str = "petrellatch_pass_through_placement_seconds";
const CONFIGURATION_LAG_SECONDS: &str = "petrellatch_pass_through_configuration_lag_seconds";
const FIRST_ANSWER_SECONDS: &str = "petrellatch_pass_through_first_answer_seconds";
const REGISTRATION_GAP_SECONDS: &str = "petrellatch_pass_through_registration_gap_seconds";
const ACCEPTANCE_SECONDS: &str = "petrellatch_pass_through_acceptance_seconds";
const SYNC_SECONDS: &str = "petrellatch_pass_through_sync_seconds";
const SEARCHES_TOTAL: &str = "petrellatch_pass_through_searches_total";
const ZONES_EVACUATED: &str = "petrellatch_pass_through_zones_evacuated";
const ELECTIONS_LOST_TOTAL: &str = "petrellatch_pass_through_elections_lost_total";
const AGENTS_BEHIND: &str = "petrellatch_pass_through_agents_behind";
const WAITING_TOTAL: &str = "petrellatch_pass_through_waiting_total";
const FULL_TOTAL: &str = "petrellatch_pass_through_full_total";
const REFUSED_AT_EDGE_TOTAL: &str = "petrellatch_pass_through_refused_at_edge_total";
const PAUSES_TOTAL: &str = "petrellatch_pass_through_pauses_total";
const FURTHER_QUESTIONS_TOTAL: &str = "petrellatch_pass_through_further_questions_total";
const OPEN_FLOWS: &str = "petrellatch_pass_through_open_flows";
const DEMAND_MILLISLOTS: &str = "petrellatch_pass_through_demand_millislots";
const WORK_MICROSECONDS: &str = "petrellatch_pass_through_work_microseconds";
const LINK_BYTES_TOTAL: &str = "petrellatch_pass_through_link_bytes_total";
const LINK_PACKETS_TOTAL: &str = "petrellatch_pass_through_link_packets_total";
const LINK_WAIT_SECONDS: &str = "petrellatch_pass_through_link_wait_seconds";
const RECORDED_FLOWS: &str = "petrellatch_pass_through_recorded_flows";
const UNRECORDED_FLOWS: &str = "petrellatch_pass_through_unrecorded_flows";
const RECORD_KEEPERS: &str = "petrellatch_pass_through_record_keepers";
const RECALLS_TOTAL: &str = "petrellatch_pass_through_recalls_total";
const RECORDS: &str = "petrellatch_pass_through_records";
const RECORD_BYTES: &str = "petrellatch_pass_through_record_bytes";
const RECORDS_REFUSED_TOTAL: &str = "petrellatch_pass_through_records_refused_total";
const RECORD_WRITE_AGE_MILLISECONDS: &str =
    "petrellatch_pass_through_record_write_age_milliseconds";

const DEPARTURES: &str = "petrellatch_pass_through_departures";
const FLOWS_DENIED_TOTAL: &str = "petrellatch_pass_through_flows_denied_total";
const FLOWS_TOLD_TOTAL: &str = "petrellatch_pass_through_flows_told_total";
const FLOWS_TAKEN_OVER_TOTAL: &str = "petrellatch_pass_through_flows_taken_over_total";
const PROOFS_TOTAL: &str = "petrellatch_pass_through_proofs_total";
const PROOFS_PENDING: &str = "petrellatch_pass_through_proofs_pending";
const POLICIES_INDEX: &str = "petrellatch_pass_through_policies_index";
const POLICY_FLOWS_TOTAL: &str = "petrellatch_pass_through_policy_flows_total";
const POLICY_EVALUATIONS_TOTAL: &str = "petrellatch_pass_through_policy_evaluations_total";
const POLICY_ELIGIBLE: &str = "petrellatch_pass_through_policy_eligible";

/// Names of all metrics of the tier. A test checks that `docs/API.md` lists them.
pub const METRIC_NAMES: [&str; 53] = [
    PACKETS_TOTAL,
    PLACED_TOTAL,
    REFUSED_TOTAL,
    UNANSWERED_TOTAL,
    SOUGHT_TOTAL,
    FLOWS,
    AGENTS,
    VERSION,
    ADMITTED_TOTAL,
    DECLINED_TOTAL,
    BUSY,
    LEADS,
    TERM,
    VOTERS,
    PLACEMENT_SECONDS,
    CONFIGURATION_LAG_SECONDS,
    FIRST_ANSWER_SECONDS,
    REGISTRATION_GAP_SECONDS,
    ACCEPTANCE_SECONDS,
    SYNC_SECONDS,
    SEARCHES_TOTAL,
    ZONES_EVACUATED,
    ELECTIONS_LOST_TOTAL,
    AGENTS_BEHIND,
    WAITING_TOTAL,
    FULL_TOTAL,
    REFUSED_AT_EDGE_TOTAL,
    PAUSES_TOTAL,
    FURTHER_QUESTIONS_TOTAL,
    OPEN_FLOWS,
    DEMAND_MILLISLOTS,
    WORK_MICROSECONDS,
    LINK_BYTES_TOTAL,
    LINK_PACKETS_TOTAL,
    LINK_WAIT_SECONDS,
    RECORDED_FLOWS,
    UNRECORDED_FLOWS,
    RECORD_KEEPERS,
    RECALLS_TOTAL,
    RECORDS,
    RECORD_BYTES,
    RECORDS_REFUSED_TOTAL,
    RECORD_WRITE_AGE_MILLISECONDS,
    DEPARTURES,
    FLOWS_DENIED_TOTAL,
    FLOWS_TOLD_TOTAL,
    FLOWS_TAKEN_OVER_TOTAL,
    PROOFS_TOTAL,
    PROOFS_PENDING,
    POLICIES_INDEX,
    POLICY_FLOWS_TOTAL,
    POLICY_EVALUATIONS_TOTAL,
    POLICY_ELIGIBLE,
];

/// Upper bounds of the buckets of all histograms, in milliseconds.
const BUCKET_MILLIS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

const POLICIES_INDEX_HELP: &str = "Index of the placement policies in force.";
const PACKETS_HELP: &str = "Packets by what became of them.";

pub(super) fn balancer_metrics<C: PacketCodec>(balancer: &PassThroughBalancer<C>) -> HttpResponse {
    let registry = Registry::new();
    let counted = balancer.counters();
    let packets = counters(&registry, PACKETS_TOTAL, PACKETS_HELP, "outcome");
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
    for (name, help, total) in [
        (
            PLACED_TOTAL,
            "New flows offered to an agent.",
            counted.placed,
        ),
        (
            REFUSED_TOTAL,
            "New flows refused with a reset.",
            counted.refused,
        ),
        (
            UNANSWERED_TOTAL,
            "Opening packets that an agent did not answer in time.",
            counted.unanswered,
        ),
        (
            SOUGHT_TOTAL,
            "Packets of flows whose agent was not known.",
            counted.sought,
        ),
    ] {
        raise(&counter(&registry, name, help), total);
    }
    let help = "Searches for flows whose agent was not known, by their end.";
    let searches = counters(&registry, SEARCHES_TOTAL, help, "outcome");
    for (outcome, total) in [
        ("found", counted.found),
        ("gone", counted.gone),
        ("not_found", counted.not_found),
    ] {
        raise(&searches.with_label_values(&[outcome]), total);
    }
    let help = "New flows that were refused without asking an agent, by priority.";
    let refused = counters(&registry, REFUSED_AT_EDGE_TOTAL, help, "priority");
    for (priority, total) in balancer.shed_flows() {
        raise(
            &refused.with_label_values(&[priority.to_string().as_str()]),
            *total,
        );
    }
    let help = "Times that new flows of a service are refused for a while.";
    raise(&counter(&registry, PAUSES_TOTAL, help), counted.pauses);
    let help = "Questions beyond the first of a flow, by whether the link bore them.";
    let offers = counters(&registry, FURTHER_QUESTIONS_TOTAL, help, "outcome");
    for (outcome, total) in [
        ("asked", counted.further_asked),
        ("unpaid", counted.further_unpaid),
    ] {
        raise(&offers.with_label_values(&[outcome]), total);
    }
    let link = balancer.link_counters();
    let help = "Bytes sent over the link, with the heads of IP and UDP.";
    raise(&counter(&registry, LINK_BYTES_TOTAL, help), link.sent_bytes);
    let help = "Packets that the link could not carry at once, by what became of them.";
    let packets = counters(&registry, LINK_PACKETS_TOTAL, help, "outcome");
    for (outcome, total) in [
        ("waited", link.waited),
        ("copy", link.duplicates),
        ("dropped", link.dropped),
    ] {
        raise(&packets.with_label_values(&[outcome]), total);
    }
    let (flows, agents) = balancer.table_sizes();
    set(
        &gauge(&registry, FLOWS, "Flows that are remembered."),
        flows,
    );
    set(&gauge(&registry, AGENTS, "Agents that are known."), agents);
    let version = gauge(&registry, VERSION, "Version in force.");
    set(&version, balancer.version());
    add_evacuated_zones(&registry, balancer.evacuations().evacuated_zones().count());
    add_policy_metrics(&registry, balancer);
    let latencies = balancer.latencies();
    let placement = histogram(
        PLACEMENT_SECONDS,
        "First packet to the back end's answer.",
        &latencies.placement,
    );
    let help = "First word of a newer configuration until one is in force.";
    let lag = histogram(
        CONFIGURATION_LAG_SECONDS,
        help,
        &latencies.configuration_lag,
    );
    let help = "How long packets waited for the link that had to.";
    let waits = balancer.link_wait_times();
    let waits = waits.map(|waits| histogram(LINK_WAIT_SECONDS, help, waits));
    encode(&registry, [placement, lag].into_iter().chain(waits))
}

pub(super) fn agent_metrics<C: PacketCodec>(
    agent: &PassThroughAgent<C>,
    now: Timestamp,
) -> HttpResponse {
    let registry = Registry::new();
    let counted = agent.counters();
    let packets = counters(&registry, PACKETS_TOTAL, PACKETS_HELP, "outcome");
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
        ADMITTED_TOTAL,
        "New flows handed to the back end.",
    );
    raise(&admitted, counted.admitted);
    let help = "New flows that found no place and were let wait for one.";
    raise(&counter(&registry, WAITING_TOTAL, help), counted.waiting);
    let help = "New flows that were declined, by reason.";
    let declined = counters(&registry, DECLINED_TOTAL, help, "reason");
    for (reason, total) in &counted.declined {
        raise(
            &declined.with_label_values(&[decline_reason_label(*reason)]),
            *total,
        );
    }
    let help = "New flows that were declined for lack of room, by priority.";
    let full = counters(&registry, FULL_TOTAL, help, "priority");
    for (priority, total) in &counted.declined_full {
        raise(&full.with_label_values(&[&priority.to_string()]), *total);
    }
    add_previous_incarnation_metrics(&registry, agent);
    add_evacuated_zones(&registry, usize::from(agent.is_evacuated()));
    let (in_flight, _) = agent.load();
    let help = "Requests that wait for their answers.";
    set(&gauge(&registry, BUSY, help), in_flight);
    let (open_flows, demand) = agent.demand(now);
    let help = "Flows that are open at the back end.";
    set(&gauge(&registry, OPEN_FLOWS, help), open_flows);
    let help = "Slots that the open flows kept busy in the last seconds.";
    set(&gauge(&registry, DEMAND_MILLISLOTS, help), demand);
    let help = "Mean time that the back end works on a request.";
    let processing = agent.processing_micros(now);
    set(&gauge(&registry, WORK_MICROSECONDS, help), processing);
    add_flow_recorder_metrics(
        &registry,
        agent.flow_record_stats(),
        agent.recovery_outcome(),
    );
    let latencies = agent.latencies();
    let help = "Admission of a flow to the back end's answer.";
    let response = histogram(FIRST_ANSWER_SECONDS, help, &latencies.first_response);
    let help = "Between two calls of the back end.";
    let gap = histogram(REGISTRATION_GAP_SECONDS, help, &latencies.registration_gap);
    encode(&registry, [response, gap])
}

pub(super) fn replica_metrics(node: &ConfigurationNode, now: Timestamp) -> HttpResponse {
    let registry = Registry::new();
    let replica = node.replica();
    let version = gauge(&registry, VERSION, "Version in force.");
    set(&version, node.configuration().version);
    let leads = gauge(&registry, LEADS, "Whether this replica leads.");
    set(&leads, i64::from(replica.role() == Role::Leader));
    set(&gauge(&registry, TERM, "Current term."), replica.term());
    let voters = gauge(&registry, VOTERS, "Voters of the group.");
    set(&voters, replica.membership().voters().count());
    add_evacuated_zones(&registry, node.evacuations().evacuated_zones().count());
    let index = gauge(&registry, POLICIES_INDEX, POLICIES_INDEX_HELP);
    set(&index, node.policies().index());
    let help = "Agents that have not said that they know the latest order about their zone.";
    set(&gauge(&registry, AGENTS_BEHIND, help), node.agents_behind());
    add_flow_record_store_metrics(&registry, node, now);
    add_lost_elections(&registry, node);
    let latencies = node.latencies();
    let help = "Request of a replacement until it was accepted.";
    let acceptance = histogram(ACCEPTANCE_SECONDS, help, &latencies.acceptance);
    let sync = histogram(
        SYNC_SECONDS,
        "Request of a write until it was synced.",
        &latencies.log_sync,
    );
    encode(&registry, [acceptance, sync])
}

/// Adds the state of an agent's flow record and the outcome of its recovery.
fn add_flow_recorder_metrics(
    registry: &Registry,
    stats: FlowRecorderStats,
    recovery: Option<RecoveryOutcome>,
) {
    let help = "Open flows that replicas are told of.";
    set(&gauge(registry, RECORDED_FLOWS, help), stats.recorded);
    let help = "Open flows beyond the most that are recorded.";
    let over_limit = stats.over_limit;
    set(&gauge(registry, UNRECORDED_FLOWS, help), over_limit);
    let help = "Keepers of the record that lack the newest one, by reason.";
    let replicas = gauges(registry, RECORD_KEEPERS, help, "state");
    for (state, count) in [
        ("behind", stats.unacknowledged),
        ("full", stats.full_replicas),
    ] {
        set(&replicas.with_label_values(&[state]), count);
    }
    let help = "Recalls of the flows of a former life, by their end.";
    let recoveries = counters(registry, RECALLS_TOTAL, help, "outcome");
    for (name, outcome) in [
        ("recalled", RecoveryOutcome::Recalled),
        ("no_record", RecoveryOutcome::NoRecord),
        ("unanswered", RecoveryOutcome::Unanswered),
    ] {
        let total = u64::from(recovery == Some(outcome));
        raise(&recoveries.with_label_values(&[name]), total);
    }
}

/// Adds the statistics of the flow records that a replica keeps.
fn add_flow_record_store_metrics(registry: &Registry, node: &ConfigurationNode, now: Timestamp) {
    let stats = node.flow_record_stats(now);
    let help = "Agents with a record of open flows here.";
    set(&gauge(registry, RECORDS, help), stats.records);
    let help = "Open flows in these records.";
    set(&gauge(registry, RECORDED_FLOWS, help), stats.flows);
    let help = "What the records take in memory.";
    set(&gauge(registry, RECORD_BYTES, help), stats.bytes);
    let help = "Changes of records that found no room.";
    let refused = counter(registry, RECORDS_REFUSED_TOTAL, help);
    raise(&refused, stats.refused);
    let help = "Since the records were last written.";
    let age = stats.write_age.as_millis() as u64;
    set(&gauge(registry, RECORD_WRITE_AGE_MILLISECONDS, help), age);
    let help = "Departures of back ends that are kept for their agents.";
    set(&gauge(registry, DEPARTURES, help), node.departure_count());
}

/// Adds what an agent did with the flows of previous incarnations: of its back end, whose
/// flows are orphaned, and of itself, whose flows it takes over.
fn add_previous_incarnation_metrics<C: PacketCodec>(
    registry: &Registry,
    agent: &PassThroughAgent<C>,
) {
    let counted = agent.counters();
    let help = "Flows whose back end died and that were told as gone, by cause.";
    let notified = counters(registry, FLOWS_TOLD_TOTAL, help, "cause");
    for (cause, total) in [
        ("request", counted.told_at_once),
        ("question", counted.told_when_asked),
        ("pace", counted.told_at_pace),
    ] {
        raise(&notified.with_label_values(&[cause]), total);
    }
    let help = "Flows of queries that were denied for certain, by proof.";
    let denied = counters(registry, FLOWS_DENIED_TOTAL, help, "proof");
    for (proof, total) in &counted.denied {
        raise(&denied.with_label_values(&[proof]), *total);
    }
    let help = "Flows of a recorded former life of the agent that were taken over.";
    let taken_over = counter(registry, FLOWS_TAKEN_OVER_TOTAL, help);
    raise(&taken_over, counted.taken_over);
    let help = "Proofs that a life of the back end is over, by outcome.";
    let probes = counters(registry, PROOFS_TOTAL, help, "outcome");
    for (outcome, total) in [
        ("over", counted.lives_over),
        ("undecided", counted.lives_undecided),
    ] {
        raise(&probes.with_label_values(&[outcome]), total);
    }
    let help = "Such proofs under way.";
    let pending = gauge(registry, PROOFS_PENDING, help);
    set(&pending, agent.pending_restart_probes());
}

/// Adds the counts of each placement policy at a balancer.
fn add_policy_metrics<C: PacketCodec>(registry: &Registry, balancer: &PassThroughBalancer<C>) {
    let index = gauge(registry, POLICIES_INDEX, POLICIES_INDEX_HELP);
    set(&index, balancer.policies_index());
    let help = "New flows placed by a policy.";
    let flows = counters(registry, POLICY_FLOWS_TOTAL, help, "policy");
    let help = "Evaluations of a policy for one back end.";
    let evaluations = counters(registry, POLICY_EVALUATIONS_TOTAL, help, "policy");
    let help = "Back ends that a policy makes eligible, by its latest results.";
    let eligible = gauges(registry, POLICY_ELIGIBLE, help, "policy");
    for stats in balancer.policy_stats() {
        let label = [stats.name.as_str()];
        raise(&flows.with_label_values(&label), stats.placed);
        raise(&evaluations.with_label_values(&label), stats.evaluations);
        set(&eligible.with_label_values(&label), stats.eligible);
    }
}

/// Adds the number of evacuated zones; an agent counts only its own zone.
fn add_evacuated_zones(registry: &Registry, zones: usize) {
    let evacuated = gauge(registry, ZONES_EVACUATED, "Zones out of service.");
    set(&evacuated, zones);
}

/// Adds the elections that a replica lost, by reason.
fn add_lost_elections(registry: &Registry, node: &ConfigurationNode) {
    let help = "Elections that this replica stood for and lost, by reason.";
    let lost = counters(registry, ELECTIONS_LOST_TOTAL, help, "reason");
    for reason in ElectionLoss::ALL {
        let total = node.elections_lost(reason);
        raise(&lost.with_label_values(&[reason.name()]), total);
    }
}

/// Value of the label `reason`.
fn decline_reason_label(reason: DeclineReason) -> &'static str {
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

/// Converts a latency histogram to a metric family with cumulative buckets.
fn histogram(name: &str, help: &str, latencies: &LatencyHistogram) -> MetricFamily {
    let buckets = BUCKET_MILLIS.iter().map(|millis| {
        let limit = Duration::from_millis(*millis);
        let mut bucket = Bucket::default();
        bucket.set_upper_bound(limit.as_secs_f64());
        bucket.set_cumulative_count(latencies.count_up_to(limit));
        bucket
    });
    let mut histogram = Histogram::default();
    histogram.set_bucket(buckets.collect());
    histogram.set_sample_count(latencies.count());
    histogram.set_sample_sum(latencies.total().as_secs_f64());
    let mut metric = Metric::default();
    metric.set_histogram(histogram);
    let mut family = MetricFamily::default();
    family.set_name(name.to_owned());
    family.set_help(help.to_owned());
    family.set_field_type(MetricType::HISTOGRAM);
    family.set_metric(vec![metric]);
    family
}

/// Encodes the metrics of a registry, followed by histograms, as a response.
fn encode(registry: &Registry, histograms: impl IntoIterator<Item = MetricFamily>) -> HttpResponse {
    let mut families = registry.gather();
    families.extend(histograms);
    let text = TextEncoder::new().encode_to_string(&families);
    HttpResponse::text(200, text.unwrap_or_default().into_bytes())
}
