//! The agent: admits new flows to its back end, delivers packets in both directions, and
//! reports the back end's load.

mod backend_packets;
mod caller_packets;
mod former_flows;
mod openings;
mod questions;
mod recording;
mod reports;
mod stopping;
mod work_times;

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

use crate::pass_through::admission::cold_admission::{ColdAdmission, WarmUpBounds};
use crate::pass_through::admission::failure_watch::FailureWatch;
use crate::pass_through::admission::registration::{
    Registration, RegistrationRefusal, RegistrationState,
};
use crate::pass_through::admission::service_time::ServiceTime;
use crate::pass_through::admission::turns::AskingBalancers;
use crate::pass_through::admission::waiting_openings::WaitingOpenings;
use crate::pass_through::digest::service_digest;
use crate::pass_through::flows::agent_flows::AgentFlows;
use crate::pass_through::flows::flow_record_recovery::{FlowRecordRecovery, RecoveryOutcome};
use crate::pass_through::flows::flow_recorder::{FlowRecordSettings, FlowRecorder};
use crate::pass_through::flows::relayed_queries::RelayedQueries;
use crate::pass_through::flows::speculative_deliveries::SpeculativeDeliveries;
use crate::pass_through::group::evacuations::Evacuations;
use crate::pass_through::group::known_replicas::KnownReplicas;
use crate::pass_through::latency::LatencyHistogram;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::PacketCodec;

use former_flows::FormerLives;
pub(crate) use reports::NEW_AGENT_REPORTS;
use stopping::LastWord;
use work_times::WorkTimes;

/// Interval between sweeps over the flows.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound of [`PassThroughAgentSettings::provisional_timeout`]: a draining back end may
/// get new flows for this long after a restart of its agent.
const MAX_PROVISIONAL_LIMIT: Duration = Duration::from_millis(2_500);
/// Interval between checks for slots of flows that were never established, and for queued flows
/// that have expired.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A balancer that sent nothing for this long gets no messages about owned flows.
const BALANCER_MEMORY: Duration = Duration::from_secs(30);

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
    pub silence_limit: Duration,
    /// How long after its start, 2.5 s at most, an agent admits flows to a back end that hasn't
    /// registered yet, if packets show that it runs. A draining back end gets new flows for at
    /// most this long after a restart of its agent.
    pub provisional_timeout: Duration,
    /// A flow that was idle for this long is forgotten.
    pub flow_lifetime: Duration,
    /// Limit on the in-flight requests per slot that an agent accepts if all others are full,
    /// while it doesn't know how many are likely to meet their latency objective.
    pub queue_factor: u32,
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
    /// Orphaned flows whose callers were reset at once, because they awaited a response.
    pub told_at_once: u64,
    /// Orphaned flows that were reported to a balancer that forwarded a packet of the flow or
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
    fn note_full(&mut self, priority: u32) {
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
    contacts: KnownReplicas,
    registration: RegistrationState,
    flows: AgentFlows,
    tried: SpeculativeDeliveries,
    former: FormerLives,
    /// Flow queries that this agent relays to other agents for balancers.
    gathered: RelayedQueries,
    started_at: Timestamp,
    /// Whether a replica knows a previous incarnation of this agent; `None` until one has
    /// acknowledged a report.
    had_former_life: Option<bool>,
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
    unheard: bool,
    /// Replicas that have saved this agent, and know of it after a restart.
    remembered_by: BTreeSet<SocketAddrV4>,
    stop_at: Option<Timestamp>,
    /// The final report, which is repeated until a replica acknowledges it.
    last_word: Option<LastWord>,
    stopped: bool,
    /// Whether the agent has stopped and its back end certainly has no open flow.
    leaves_nothing: bool,
    counters: PassThroughAgentCounters,
    latencies: PassThroughAgentLatencies,
    service_time: ServiceTime,
    work_times: WorkTimes,
    cold_admission: ColdAdmission,
    failure_watch: FailureWatch,
    asking: AskingBalancers,
    waiting: WaitingOpenings,
    /// Next check for slots that were freed without a packet, while flows are queued.
    waiting_check_at: Timestamp,
    evacuations: Evacuations,
    registered_at: Option<Timestamp>,
    recorder: FlowRecorder,
    /// Recovery of the previous incarnation's flow record, while it lasts.
    recall: Option<FlowRecordRecovery>,
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
        contacts: KnownReplicas,
    ) -> Self {
        let provisional_timeout = settings.provisional_timeout.min(MAX_PROVISIONAL_LIMIT);
        let has_former = !settings.first_start && !settings.flow_record.min_flow_age.is_zero();
        PassThroughAgent {
            service: service_digest(&settings.service),
            report_interval: settings.report_interval,
            registration: RegistrationState::new(now + provisional_timeout),
            cold_admission: ColdAdmission::new(settings.warm_up_bounds),
            failure_watch: FailureWatch::default(),
            asking: AskingBalancers::default(),
            waiting: WaitingOpenings::default(),
            waiting_check_at: now,
            evacuations: Evacuations::default(),
            recorder: FlowRecorder::new(settings.flow_record),
            recall: has_former.then(|| FlowRecordRecovery::new(now)),
            recovery_outcome: None,
            settings,
            codec,
            incarnation,
            contacts,
            flows: AgentFlows::default(),
            tried: SpeculativeDeliveries::default(),
            former: FormerLives::default(),
            gathered: RelayedQueries::default(),
            started_at: now,
            had_former_life: None,
            balancers: BTreeMap::new(),
            report_number: 0,
            report_at: now,
            reported_at: Timestamp::ZERO,
            sweep_at: now + SWEEP_INTERVAL,
            reported_state: AgentState::Unavailable,
            reported_description: 0,
            unheard: true,
            remembered_by: BTreeSet::new(),
            stop_at: None,
            last_word: None,
            stopped: false,
            leaves_nothing: false,
            counters: PassThroughAgentCounters::default(),
            latencies: PassThroughAgentLatencies::default(),
            service_time: ServiceTime::default(),
            work_times: WorkTimes::default(),
            registered_at: None,
            outputs: VecDeque::new(),
        }
    }

    /// The replicas that this agent knows.
    pub fn known_replicas_mut(&mut self) -> &mut KnownReplicas {
        &mut self.contacts
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
        self.former.pending()
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
        (
            self.flows.in_flight_requests(),
            self.registration.capacity(),
        )
    }

    /// Open flows at the back end, and the mean number of slots that they kept busy over the
    /// last seconds, in thousandths of a slot.
    pub fn demand(&self, now: Timestamp) -> (u32, u32) {
        (self.flows.open_flows(), self.flows.demand_millislots(now))
    }

    /// Mean processing time of a request in the back end's present state, warm or cold, in
    /// microseconds; zero if unknown.
    pub fn processing_micros(&self, now: Timestamp) -> u32 {
        self.work_times.micros(self.registration.is_cold(now))
    }

    /// Handles a registration of the back end. It may be acknowledged once this returns: every
    /// later admission follows it.
    ///
    /// # Errors
    ///
    /// Refuses a registration for another service, which changes nothing.
    pub fn handle_registration(
        &mut self,
        now: Timestamp,
        call: &Registration,
    ) -> Result<(), RegistrationRefusal> {
        if call.service != self.settings.service {
            return Err(RegistrationRefusal::WrongService {
                own: self.settings.service.clone(),
                named: call.service.clone(),
            });
        }
        if let Some(former) = self.registered_at.replace(now) {
            let gap = now.saturating_since(former);
            self.latencies.registration_gap.record(gap);
        }
        let changed = self.registration.handle_registration(now, call);
        if changed {
            let kind = match call.draining {
                true => EventKind::BackendLeaving,
                false => EventKind::BackendRegistered,
            };
            let capacity = call.slots;
            let subject = format!("{} call={} slots={capacity}", call.id, call.sequence);
            self.emit_event(kind, subject);
        }
        self.note_call(now, call);
        self.report_if_changed(now);
        Ok(())
    }

    /// Handles a deregistration of the back end.
    pub fn handle_deregistration(&mut self, now: Timestamp, id: &str) {
        if self.registration.handle_deregistration(id) {
            self.emit_event(EventKind::BackendLeaving, format!("{id} withdrawn"));
        }
        self.report_if_changed(now);
    }

    /// Handles a message of a balancer, a replica or another agent.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::ForwardedPacket(carry) => self.handle_carry(now, from, carry),
            PassThroughBody::FlowQuery(seek) => {
                self.handle_seek(now, from, &seek);
                self.tell_gathered(now);
            }
            PassThroughBody::FlowsOwned(holds) => {
                self.gathered.handle_flows_owned(now, from, &holds);
                self.tell_gathered(now);
            }
            PassThroughBody::FlowsNotOwned(lacks) => {
                self.gathered.handle_flows_not_owned(now, from, &lacks);
                self.tell_gathered(now);
            }
            PassThroughBody::GroupStatus(group) => self.handle_group(now, from, &group),
            PassThroughBody::FlowRecordAck(kept) => self.handle_record_kept(now, from, &kept),
            PassThroughBody::FlowRecordResponse(former) => {
                self.handle_former_flows(now, from, former)
            }
            _ => {}
        }
        self.serve_waiting(now);
    }

    /// Handles the status of a replica. A report is sent at once if it names new replicas:
    /// otherwise, balancers that poll these would learn of this agent only with its next
    /// regular report, seconds later.
    fn handle_group(&mut self, now: Timestamp, from: SocketAddrV4, group: &GroupStatus) {
        self.handle_zones(from, group.zones.as_ref());
        let known = self.contacts.all();
        self.contacts.handle_group_status(group);
        let has_more = !self.contacts.all().is_subset(&known);
        self.registration.recall(&group.draining_backends);
        if group.has_report {
            *self.had_former_life.get_or_insert(false) |= group.knows_previous_incarnation;
            self.note_report_interval(group.report_interval_millis);
            self.unheard = false;
            self.note_last_word_heard(group.acknowledged_report);
        }
        if group.agent_is_saved {
            self.remembered_by.insert(from);
        }
        match has_more || self.owes_report(now, group) {
            true => self.report(now),
            false => self.report_if_changed(now),
        }
        self.continue_stop(now);
    }

    /// Applies zone statuses if they are newer, and acknowledges them.
    fn handle_zones(&mut self, from: SocketAddrV4, told: Option<&ZoneStatuses>) {
        let Some(told) = told else { return };
        let was_evacuated = self.is_evacuated();
        if self.evacuations.take_newer(told) {
            if was_evacuated && !self.is_evacuated() {
                // The back end may have restarted during the evacuation.
                self.registration.note_doubt();
            }
            let subject = self.evacuations.to_string();
            self.emit_event(EventKind::ZonesApplied, subject);
        }
        let known = EvacuationsAck {
            address: pack_address(self.settings.address),
            index: self.evacuations.index(),
        };
        self.send(from, PassThroughBody::EvacuationsAck(known));
    }

    /// Whether the agent's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.settings.zone)
    }

    /// Runs the timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.flows.expire(now, self.settings.flow_lifetime);
            self.tried.expire(now, self.settings.flow_lifetime);
            self.former.expire(now, self.settings.flow_lifetime);
            self.asking.expire(now);
            self.balancers
                .retain(|_, heard| now.saturating_since(*heard) < BALANCER_MEMORY);
            self.report_if_changed(now);
            self.record_flows(now);
        }
        self.continue_recall(now);
        if now >= self.report_at {
            self.report(now);
        }
        self.continue_proofs(now);
        self.tell_gathered(now);
        self.serve_waiting(now);
        self.waiting_check_at = now + WAITING_CHECK_INTERVAL;
        self.continue_stop(now);
    }

    /// When [`PassThroughAgent::handle_timeout`] is due next.
    pub fn poll_timeout(&self) -> Timestamp {
        let waiting = (!self.waiting.is_empty()).then_some(self.waiting_check_at);
        let first = self.sweep_at.min(self.report_at);
        let first = waiting.map_or(first, |at| at.min(first));
        let recall = self.recall.as_ref().map(FlowRecordRecovery::poll_timeout);
        let others = [
            recall,
            self.last_word_until(),
            self.gathered.poll_timeout(),
            self.former.poll_timeout(),
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
