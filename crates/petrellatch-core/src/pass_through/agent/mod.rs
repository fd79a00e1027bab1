//! The agent: admits new flows to the back end beside it, hands packets both
//! ways, and tells how busy the back end is.

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

/// Between two sweeps over the flows.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time in which a new agent admits before its back end has called:
/// one that leaves may get new flows for so long after a restart of its agent.
const MAX_PROVISIONAL_LIMIT: Duration = Duration::from_millis(2_500);
/// Between two looks for places of flows that were not opened, and for packets that
/// have waited in vain.
const WAITING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A balancer that sent nothing for so long is not told about held flows.
const BALANCER_MEMORY: Duration = Duration::from_secs(30);

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct PassThroughAgentSettings {
    /// Where balancers send packets.
    pub address: SocketAddrV4,
    /// The agent's zone.
    pub zone: String,
    /// The service of the back end beside it.
    pub service: String,
    /// Whether the whole system starts for the first time, so that no flow is
    /// older than this life of the agent.
    pub first_start: bool,
    /// Between two reports to the control group; the group may ask for a longer
    /// time.
    pub report_interval: Duration,
    /// A back end that was silent for so long gets no new flows.
    pub silence_limit: Duration,
    /// After its start an agent admits for so long, 2.5 s at most, beside a back end that has
    /// not called yet, if packets show that it is alive. A back end that leaves
    /// gets new flows for at most this long after a restart of its agent.
    pub provisional_timeout: Duration,
    /// A flow that rested for so long is forgotten.
    pub flow_lifetime: Duration,
    /// How many requests an agent takes if all others are full, as a multiple of its
    /// back end's capacity, as long as it does not know how many are likely to meet
    /// their objective.
    pub queue_factor: u32,
    /// The longest that a planned stop waits for open flows.
    pub stop_timeout: Duration,
    /// What a back end that warms up may get.
    pub warm_up_bounds: WarmUpBounds,
    /// The record of open flows that replicas keep.
    pub flow_record: FlowRecordSettings,
}

/// Counters of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassThroughAgentCounters {
    /// New flows handed to the back end.
    pub admitted: u64,
    /// Packets of open flows handed to the back end.
    pub delivered: u64,
    /// New flows that were declined, by reason.
    pub declined: BTreeMap<DeclineReason, u64>,
    /// New flows that were declined for lack of room, by priority.
    pub declined_full: BTreeMap<u32, u64>,
    /// New flows that were let wait for a place.
    pub waiting: u64,
    /// Packets handed to the back end to find out whether it has their flows.
    pub tried: u64,
    /// Packets that the back end returned.
    pub returned: u64,
    /// Flows of lives of the back end that are over: callers that waited for an answer.
    pub told_at_once: u64,
    /// The same: balancers that had or asked for a packet of the flow.
    pub told_when_asked: u64,
    /// The same: callers that waited for nothing, told at a pace.
    pub told_at_pace: u64,
    /// Flows of a former life of the agent that were taken over.
    pub taken_over: u64,
    /// Proofs that a life of the back end is over.
    pub lives_over: u64,
    /// Proofs that showed nothing.
    pub lives_undecided: u64,
    /// Packets of the back end that could not be read.
    pub malformed: u64,
}

impl PassThroughAgentCounters {
    fn note_full(&mut self, priority: u32) {
        *self.declined_full.entry(priority).or_default() += 1;
    }
}

/// Times that an agent measures.
#[derive(Clone, Debug, Default)]
pub struct PassThroughAgentLatencies {
    /// From the admission of a flow until the back end answered it.
    pub first_response: LatencyHistogram,
    /// Between two calls of the back end.
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
    /// Questions that this agent asks others on behalf of balancers.
    gathered: RelayedQueries,
    started_at: Timestamp,
    /// Whether replicas know of a former life of this agent, once one has said.
    had_former_life: Option<bool>,
    balancers: BTreeMap<SocketAddrV4, Timestamp>,
    report_number: u64,
    report_at: Timestamp,
    reported_at: Timestamp,
    sweep_at: Timestamp,
    reported_state: AgentState,
    /// See [`RegistrationState::description_revision`].
    reported_description: u64,
    /// Between two reports without news.
    report_interval: Duration,
    /// Whether no replica has shown that it heard of the reported state.
    unheard: bool,
    /// Replicas that will know of this agent in their next lives.
    remembered_by: BTreeSet<SocketAddrV4>,
    stop_at: Option<Timestamp>,
    /// The last word that is repeated until a replica has heard it.
    last_word: Option<LastWord>,
    stopped: bool,
    /// It has stopped, and its back end certainly has no open flow.
    leaves_nothing: bool,
    counters: PassThroughAgentCounters,
    latencies: PassThroughAgentLatencies,
    service_time: ServiceTime,
    work_times: WorkTimes,
    cold_admission: ColdAdmission,
    failure_watch: FailureWatch,
    asking: AskingBalancers,
    waiting: WaitingOpenings,
    /// When places that nobody told of are looked for, while packets wait.
    waiting_check_at: Timestamp,
    evacuations: Evacuations,
    registered_at: Option<Timestamp>,
    recorder: FlowRecorder,
    /// Asks for the flows of the former life, until that is over.
    recall: Option<FlowRecordRecovery>,
    recovery_outcome: Option<RecoveryOutcome>,
    outputs: VecDeque<PassThroughOutput>,
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Starts a life of an agent.
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

    /// Whether the agent can serve its back end.
    pub fn is_ready(&self) -> bool {
        self.stop_at.is_none()
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Proofs under way that a life of the back end is over.
    pub fn pending_restart_probes(&self) -> usize {
        self.former.pending()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &PassThroughAgentCounters {
        &self.counters
    }

    /// Times since the start.
    pub fn latencies(&self) -> &PassThroughAgentLatencies {
        &self.latencies
    }

    /// Requests that wait for their answers, and how many the back end works
    /// on at once.
    pub fn load(&self) -> (u32, u32) {
        (
            self.flows.in_flight_requests(),
            self.registration.capacity(),
        )
    }

    /// Flows that are open at the back end, and the slots that they kept busy in the mean
    /// of the last seconds, in thousandths of a slot.
    pub fn demand(&self, now: Timestamp) -> (u32, u32) {
        (self.flows.open_flows(), self.flows.demand_millislots(now))
    }

    /// The mean time that the back end works on a request as it is now, warm or cold, in
    /// microseconds; zero if that is not known.
    pub fn processing_micros(&self, now: Timestamp) -> u32 {
        self.work_times.micros(self.registration.is_cold(now))
    }

    /// Takes a call of the back end. Once this returns the caller may
    /// acknowledge it: no new flow is admitted against what it said.
    ///
    /// # Errors
    ///
    /// A call for another service names no back end to use; it changes nothing.
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

    /// Takes the goodbye of the back end.
    pub fn handle_deregistration(&mut self, now: Timestamp, id: &str) {
        if self.registration.handle_deregistration(id) {
            self.emit_event(EventKind::BackendLeaving, format!("{id} withdrawn"));
        }
        self.report_if_changed(now);
    }

    /// Takes a message of a balancer or replica.
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

    /// Takes what a replica tells. Replicas that were not known before are
    /// reported to at once: otherwise balancers that ask them would learn of this
    /// agent only with its next report without news, seconds later.
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

    /// Takes orders about zones, if they are newer, and says that they are known.
    fn handle_zones(&mut self, from: SocketAddrV4, told: Option<&ZoneStatuses>) {
        let Some(told) = told else { return };
        let was_evacuated = self.is_evacuated();
        if self.evacuations.take_newer(told) {
            if was_evacuated && !self.is_evacuated() {
                // It may have been started again meanwhile.
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

    /// Whether the agent's zone is out of service.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.settings.zone)
    }

    /// Does what has become due.
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

    /// When [`PassThroughAgent::handle_timeout`] is wanted.
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

    /// The next thing to do.
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
