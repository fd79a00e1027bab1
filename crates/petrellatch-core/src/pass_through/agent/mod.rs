//! The agent: admits new flows to its back end, delivers packets in both directions, and
//! reports the back end's load.

mod backend_packets;
mod caller_packets;
mod departures;
mod flow_proofs;
mod flow_queries;
mod flow_recording;
mod new_flows;
mod reported_processing_time;
mod reports;
mod restart_probes;
mod stopping;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, DeclineReason, EvacuationsAck, GroupStatus, PassThroughBody, ZoneStatuses,
    pack_address,
};

use crate::event::{Event, EventKind};
use crate::identity::Incarnation;
use crate::time::Timestamp;

use crate::pass_through::admission::admission_queue::AdmissionQueue;
use crate::pass_through::admission::competing_balancers::CompetingBalancers;
use crate::pass_through::admission::outlier_detector::OutlierDetector;
use crate::pass_through::admission::processing_time::ProcessingTime;
use crate::pass_through::admission::registration::{
    Registration, RegistrationRefusal, RegistrationState,
};
use crate::pass_through::admission::warm_up_limiter::{WarmUpBounds, WarmUpLimiter};
use crate::pass_through::digest::service_digest;
use crate::pass_through::flows::agent_flows::AgentFlows;
use crate::pass_through::flows::flow_record_recovery::{FlowRecordRecovery, RecoveryOutcome};
use crate::pass_through::flows::flow_recorder::{FlowRecordSettings, FlowRecorder};
use crate::pass_through::flows::relayed_queries::RelayedQueries;
use crate::pass_through::flows::speculative_deliveries::SpeculativeDeliveries;
use crate::pass_through::group::evacuations::Evacuations;
use crate::pass_through::group::known_replicas::KnownReplicas;
use crate::pass_through::group::replica_answers::ReplicaAnswers;
use crate::pass_through::latency::LatencyHistogram;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;

use departures::DepartureProgress;
use reported_processing_time::ReportedProcessingTime;
pub(crate) use reports::NEW_AGENT_REPORTS;
use restart_probes::PreviousIncarnations;
use stopping::FinalReport;

/// Interval between sweeps over the flows.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of [`PassThroughAgentSettings::provisional_timeout`]: a draining back end may
/// get new flows for this long after a restart of its agent.
const MAX_PROVISIONAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval between checks for slots of flows that were never established, and for queued flows
/// that have expired.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A balancer that sent nothing for this long gets no messages about owned flows.
const BALANCER_TTL: Duration = Duration::from_secs(30);

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct PassThroughAgentSettings {
    /// Address to which balancers forward packets.
    pub address: SocketAddrV4,
    /// The agent's zone.
    pub zone: String,
    /// The service of the agent's back end.
    pub service: String,
    /// Whether the whole system starts for the first time, so that no flow is older than this
    /// incarnation of the agent.
    pub first_start: bool,
    /// Interval between reports to the replica group, which may ask for a longer one.
    pub report_interval: Duration,
    /// A back end that was silent for this long gets no new flows.
    pub silence_timeout: Duration,
    /// How long after its start, 2.5 s at most, an agent admits flows to a back end that hasn't
    /// registered yet, if packets show that it runs. A draining back end gets new flows for at
    /// most this long after a restart of its agent.
    pub provisional_timeout: Duration,
    /// A flow that was idle for this long is forgotten.
    pub flow_ttl: Duration,
    /// Limit on the in-flight requests per slot that an agent accepts if all others are full,
    /// while it doesn't know how many are likely to meet their latency objective.
    pub default_requests_per_slot: u32,
    /// Maximum time that a planned stop waits for open flows.
    pub stop_timeout: Duration,
    /// Limits on new flows for a back end that warms up.
    pub warm_up_bounds: WarmUpBounds,
    /// Settings of the flow record, which replicas keep.
    pub flow_record: FlowRecordSettings,
}

/// Counters of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassThroughAgentCounters {
    /// New flows that were admitted to the back end.
    pub admitted: u64,
    /// Packets of open flows that were delivered to the back end.
    pub delivered: u64,
    /// New flows that were declined, by reason.
    pub declined: BTreeMap<DeclineReason, u64>,
    /// New flows that were declined for lack of capacity, by priority.
    pub declined_full: BTreeMap<u32, u64>,
    /// New flows that entered the admission queue.
    pub waiting: u64,
    /// Packets that were delivered speculatively, to find out whether the back end owns their
    /// flows.
    pub tried: u64,
    /// Packets that the back end returned.
    pub returned: u64,
    /// Flows of queries that the agent denied for certain, by the proof.
    pub denied: BTreeMap<&'static str, u64>,
    /// Orphaned flows whose callers were reset at once, because they awaited a response.
    pub told_at_once: u64,
    /// Orphaned flows that were reported to a balancer that forwarded a request of the flow or
    /// sent a query for it.
    pub told_when_asked: u64,
    /// Orphaned flows whose callers awaited no response, and were reset at a limited rate.
    pub told_at_pace: u64,
    /// Flows of a previous incarnation of the agent that were taken over.
    pub taken_over: u64,
    /// Restart probes which showed that an incarnation of the back end has ended.
    pub lives_over: u64,
    /// Restart probes that were inconclusive.
    pub lives_undecided: u64,
    /// Malformed packets from the back end.
    pub malformed: u64,
}

impl PassThroughAgentCounters {
    fn note_declined_full(&mut self, priority: u32) {
        *self.declined_full.entry(priority).or_default() += 1;
    }
}

/// Latencies that an agent measures.
#[derive(Clone, Debug, Default)]
pub struct PassThroughAgentLatencies {
    /// Time from the admission of a flow until the back end's SYN-ACK.
    pub first_response: LatencyHistogram,
    /// Time between registrations of the back end.
    pub registration_gap: LatencyHistogram,
}

/// The state machine of an agent.
#[derive(Debug)]
pub struct PassThroughAgent<C> {
    settings: PassThroughAgentSettings,
    codec: C,
    incarnation: Incarnation,
    service: u64,
    known_replicas: KnownReplicas,
    registration: RegistrationState,
    flows: AgentFlows,
    speculative_deliveries: SpeculativeDeliveries,
    previous: PreviousIncarnations,
    /// Flow queries that this agent relays to other agents for balancers.
    relayed_queries: RelayedQueries,
    started_at: Timestamp,
    /// What the replicas have replied to the reports of this incarnation.
    replica_answers: ReplicaAnswers,
    departures: DepartureProgress,
    balancers: BTreeMap<SocketAddrV4, Timestamp>,
    report_number: u64,
    report_at: Timestamp,
    reported_at: Timestamp,
    sweep_at: Timestamp,
    reported_state: AgentState,
    /// See [`RegistrationState::description_revision`].
    reported_description: u64,
    /// Interval between reports without changes.
    report_interval: Duration,
    /// Whether no replica has acknowledged the reported state.
    report_unacknowledged: bool,
    /// Replicas that have saved this agent, and know of it after a restart.
    saved_by: BTreeSet<SocketAddrV4>,
    stop_at: Option<Timestamp>,
    /// Until when the stop waits for the refusal of a probe packet, once that was sent.
    refusal_until: Option<Timestamp>,
    /// The final report, which is repeated until a replica acknowledges it.
    final_report: Option<FinalReport>,
    stopped: bool,
    /// Whether the agent has stopped and its back end certainly has no open flow.
    has_no_open_flows: bool,
    counters: PassThroughAgentCounters,
    latencies: PassThroughAgentLatencies,
    processing_time: ProcessingTime,
    reported_processing_time: ReportedProcessingTime,
    warm_up_limiter: WarmUpLimiter,
    outlier_detector: OutlierDetector,
    competing_balancers: CompetingBalancers,
    admission_queue: AdmissionQueue,
    /// Next check for slots that were freed without a packet, while flows are queued.
    queue_check_at: Timestamp,
    evacuations: Evacuations,
    registered_at: Option<Timestamp>,
    recorder: FlowRecorder,
    /// Recovery of the previous incarnation's flow record, while it lasts.
    recovery: Option<FlowRecordRecovery>,
    recovery_outcome: Option<RecoveryOutcome>,
    outputs: VecDeque<PassThroughOutput>,
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Starts an incarnation of an agent.
    pub fn new(
        now: Timestamp,
        settings: PassThroughAgentSettings,
        codec: C,
        incarnation: Incarnation,
        known_replicas: KnownReplicas,
    ) -> Self {
        let provisional_timeout = settings.provisional_timeout.min(MAX_PROVISIONAL_TIMEOUT);
        let departures = DepartureProgress::new(settings.first_start);
        let mut warm_up_limiter = WarmUpLimiter::new(now, settings.warm_up_bounds);
        if settings.first_start {
            warm_up_limiter.note_first_incarnation();
        }
        let may_have_previous =
            !settings.first_start && !settings.flow_record.min_flow_age.is_zero();
        PassThroughAgent {
            service: service_digest(&settings.service),
            report_interval: settings.report_interval,
            registration: RegistrationState::new(now + provisional_timeout),
            warm_up_limiter,
            outlier_detector: OutlierDetector::default(),
            competing_balancers: CompetingBalancers::default(),
            admission_queue: AdmissionQueue::default(),
            queue_check_at: now,
            evacuations: Evacuations::default(),
            recorder: FlowRecorder::new(settings.flow_record),
            recovery: may_have_previous.then(|| FlowRecordRecovery::new(now)),
            recovery_outcome: None,
            settings,
            codec,
            incarnation,
            known_replicas,
            flows: AgentFlows::default(),
            speculative_deliveries: SpeculativeDeliveries::default(),
            previous: PreviousIncarnations::default(),
            relayed_queries: RelayedQueries::default(),
            started_at: now,
            replica_answers: ReplicaAnswers::default(),
            departures,
            balancers: BTreeMap::new(),
            report_number: 0,
            report_at: now,
            reported_at: Timestamp::ZERO,
            sweep_at: now + SWEEP_INTERVAL,
            reported_state: AgentState::Unavailable,
            reported_description: 0,
            report_unacknowledged: true,
            saved_by: BTreeSet::new(),
            stop_at: None,
            refusal_until: None,
            final_report: None,
            stopped: false,
            has_no_open_flows: false,
            counters: PassThroughAgentCounters::default(),
            latencies: PassThroughAgentLatencies::default(),
            processing_time: ProcessingTime::default(),
            reported_processing_time: ReportedProcessingTime::default(),
            registered_at: None,
            outputs: VecDeque::new(),
        }
    }

    /// The replicas that this agent knows.
    pub fn known_replicas_mut(&mut self) -> &mut KnownReplicas {
        &mut self.known_replicas
    }

    /// Whether the agent serves its back end: no planned stop has begun.
    pub fn is_ready(&self) -> bool {
        self.stop_at.is_none()
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Number of restart probes in progress.
    pub fn pending_restart_probes(&self) -> usize {
        self.previous.pending()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &PassThroughAgentCounters {
        &self.counters
    }

    /// Latencies since the start.
    pub fn latencies(&self) -> &PassThroughAgentLatencies {
        &self.latencies
    }

    /// In-flight requests, and the back end's number of slots.
    pub fn load(&self) -> (u32, u32) {
        (self.flows.in_flight_requests(), self.registration.slots())
    }

    /// Open flows at the back end, and the mean number of slots that they kept busy over the
    /// last seconds, in thousandths of a slot.
    pub fn demand(&self, now: Timestamp) -> (u32, u32) {
        (self.flows.open_flows(), self.flows.demand_millislots(now))
    }

    /// Mean processing time of a request in the back end's present state, warm or cold, in
    /// microseconds; zero if unknown.
    pub fn processing_micros(&self, now: Timestamp) -> u32 {
        self.reported_processing_time
            .micros(self.registration.is_cold(now))
    }

    /// Handles a registration of the back end. Every later decision about a new flow takes it
    /// into account. If it reports that the back end is draining, it may be acknowledged once
    /// [`PassThroughAgent::departures_are_saved`] holds, and at once otherwise.
    ///
    /// # Errors
    ///
    /// Refuses a registration for another service, which changes nothing.
    pub fn handle_registration(
        &mut self,
        now: Timestamp,
        registration: &Registration,
    ) -> Result<(), RegistrationRefusal> {
        if registration.service != self.settings.service {
            return Err(RegistrationRefusal::WrongService {
                own: self.settings.service.clone(),
                named: registration.service.clone(),
            });
        }
        if let Some(previous) = self.registered_at.replace(now) {
            let gap = now.saturating_since(previous);
            self.latencies.registration_gap.record(gap);
        }
        let changed = self.registration.handle_registration(now, registration);
        if changed {
            let kind = match registration.draining {
                true => EventKind::BackendLeaving,
                false => EventKind::BackendRegistered,
            };
            let slots = registration.slots;
            let subject = format!(
                "{} call={} slots={slots}",
                registration.id, registration.sequence
            );
            self.emit_event(kind, subject);
        }
        self.note_registration(now, registration);
        match registration.draining {
            true => self.report_departure(now),
            false => self.report_if_changed(now),
        }
        Ok(())
    }

    /// Handles a deregistration of the back end, which may be acknowledged once
    /// [`PassThroughAgent::departures_are_saved`] holds.
    pub fn handle_deregistration(&mut self, now: Timestamp, id: &str) {
        if self.registration.handle_deregistration(now, id) {
            self.emit_event(EventKind::BackendLeaving, format!("{id} withdrawn"));
        }
        self.report_departure(now);
    }

    /// Handles a message of a balancer, a replica or another agent.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::ForwardedPacket(forwarded) => {
                self.handle_forwarded_packet(now, from, forwarded)
            }
            PassThroughBody::FlowQuery(query) => {
                self.handle_flow_query(now, from, &query);
                self.send_aggregated_replies(now);
            }
            PassThroughBody::FlowsOwned(owned) => {
                self.relayed_queries.handle_flows_owned(now, from, &owned);
                self.send_aggregated_replies(now);
            }
            PassThroughBody::FlowsNotOwned(not_owned) => {
                self.relayed_queries
                    .handle_flows_not_owned(now, from, &not_owned);
                self.send_aggregated_replies(now);
            }
            PassThroughBody::GroupStatus(group) => self.handle_group_status(now, from, &group),
            PassThroughBody::FlowRecordAck(ack) => self.handle_flow_record_ack(now, from, &ack),
            PassThroughBody::FlowRecordResponse(response) => {
                self.handle_flow_record_response(now, from, response)
            }
            _ => {}
        }
        self.serve_queue(now);
    }

    /// Handles the status of a replica. If it names replicas that this agent didn't know, a
    /// report is sent at once: otherwise, balancers that poll these replicas would learn of
    /// this agent only after its next regular report, seconds later.
    fn handle_group_status(&mut self, now: Timestamp, from: SocketAddrV4, group: &GroupStatus) {
        self.handle_zones(from, group.zones.as_ref());
        let known = self.known_replicas.all();
        self.known_replicas.handle_group_status(group);
        let has_new_replicas = !self.known_replicas.all().is_subset(&known);
        self.restore_departures(now, group);
        self.probe_left_backend(now);
        self.note_replica_answer(now, from, group);
        if group.has_report {
            self.note_report_interval(group.report_interval_millis);
            self.report_unacknowledged = false;
            self.note_report_acknowledged(group.acknowledged_report);
        }
        if group.agent_is_saved {
            self.saved_by.insert(from);
        }
        match has_new_replicas || self.needs_report(now, group) {
            true => self.report(now),
            false => self.report_if_changed(now),
        }
        self.continue_stop(now);
    }

    /// Applies zone statuses if they are newer, and acknowledges them.
    fn handle_zones(&mut self, from: SocketAddrV4, zones: Option<&ZoneStatuses>) {
        let Some(zones) = zones else { return };
        let was_evacuated = self.is_evacuated();
        if self.evacuations.take_newer(zones) {
            if was_evacuated && !self.is_evacuated() {
                // The back end may have restarted during the evacuation.
                self.registration.note_possible_restart();
            }
            let subject = self.evacuations.to_string();
            self.emit_event(EventKind::ZonesApplied, subject);
        }
        let ack = EvacuationsAck {
            address: pack_address(self.settings.address),
            index: self.evacuations.index(),
        };
        self.send(from, PassThroughBody::EvacuationsAck(ack));
    }

    /// Whether the agent's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.settings.zone)
    }

    /// Runs the timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.flows.expire(now, self.settings.flow_ttl);
            self.speculative_deliveries
                .expire(now, self.settings.flow_ttl);
            self.previous.expire(now, self.settings.flow_ttl);
            self.competing_balancers.expire(now);
            self.balancers
                .retain(|_, last_seen_at| now.saturating_since(*last_seen_at) < BALANCER_TTL);
            self.report_if_changed(now);
            self.record_flows(now);
            self.probe_left_backend(now);
        }
        self.continue_recovery(now);
        if now >= self.report_at {
            self.report(now);
        }
        self.continue_restart_probes(now);
        self.send_aggregated_replies(now);
        self.serve_queue(now);
        self.queue_check_at = now + QUEUE_CHECK_INTERVAL;
        self.continue_stop(now);
    }

    /// When [`PassThroughAgent::handle_timeout`] is due next.
    pub fn poll_timeout(&self) -> Timestamp {
        let queue_check = (!self.admission_queue.is_empty()).then_some(self.queue_check_at);
        let first = self.sweep_at.min(self.report_at);
        let first = queue_check.map_or(first, |at| at.min(first));
        let recovery = self.recovery.as_ref().map(FlowRecordRecovery::poll_timeout);
        let others = [
            recovery,
            self.final_report_until(),
            self.refusal_timeout(),
            self.relayed_queries.poll_timeout(),
            self.previous.poll_timeout(),
        ];
        others.into_iter().flatten().fold(first, Timestamp::min)
    }

    /// Removes the next output for the event loop.
    pub fn poll_output(&mut self) -> Option<PassThroughOutput> {
        self.outputs.pop_front()
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs.push_back(PassThroughOutput::Send { to, body });
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(PassThroughOutput::Event(event));
    }
}
