//! The balancer: chooses an agent for each new flow, and hands on the packets
//! of open ones.

mod control_updates;
mod established_flows;
mod load_shedding;
mod new_flows;
mod searches;
mod sending;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    Accepted, AgentState, AggregatedReplies, ConfigurationPart, DeclineReason, Declined, FlowQuery,
    FlowQueued, FlowsNotOwned, FlowsOwned, ForwardReason, ForwardedPacket, GroupStatus,
    PassThroughBody, PolicySet, QueriedFlow, ReturnedPacket, Subscribe, VersionConfirmed,
    ZoneStatuses, pack_address,
};

use crate::event::{Event, EventKind};
use crate::identity::Incarnation;
use crate::time::Timestamp;

use super::choice::agent_directory::{AgentDirectory, ChosenAgent, Exclusion};
use super::choice::known_agent::KnownAgent;
use super::choice::reply_timeout::ReplyTimeoutEstimator;
use super::choice::retry_budget::RetryBudget;
use super::choice::service_overload::{
    FlowClass, OverloadChange, ServiceOverload, SheddingDecision,
};
use super::digest::{flow_digest, is_sampled};
use super::flows::agent_set::AgentSet;
use super::flows::flow_cache::{CachedFlow, FlowCache, Offer, OfferCounts, OfferState};
use super::flows::flow_search::SearchStep;
use super::flows::flow_searches::FlowSearches;
use super::flows::query_budget::QueryBudget;
use super::group::evacuations::Evacuations;
use super::group::known_replicas::KnownReplicas;
use super::group::preferred_replicas::PreferredReplicas;
use super::latency::LatencyHistogram;
use super::link::link_queue::LinkQueue;
use super::output::PassThroughOutput;
use super::packet::{FlowId, PacketCodec, PacketView, SYN_TIMEOUT};
use super::policies::active_policies::{ActivePolicies, PolicyStats};
use super::routes::route_table::RouteTable;

/// When nobody was heard for so long, the balancer counts as cut off.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Between two sweeps over the hints.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Packets that are kept until the balancer is current.
const MAX_BUFFERED_PACKETS: usize = 1_024;
/// An opening packet that was kept for longer is dropped: its caller has sent a copy.
const BUFFERED_SYN_TTL: Duration = Duration::from_millis(200);
/// For so long after it is current, a balancer that knows no agent of a service keeps
/// opening packets, unless a replica says that there is none.
const FIRST_DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// A process that did nothing for longer stood still: opening packets that
/// came meanwhile are from callers that have sent copies since, or given up.
const PROCESS_PAUSE: Duration = Duration::from_millis(1_200);
/// How long opening packets are dropped after a standstill.
const SYN_DROP_TIME: Duration = Duration::from_millis(30);

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassThroughBalancerSettings {
    /// The balancer's zone.
    pub zone: String,
    /// Between two questions for news.
    pub subscribe_interval: Duration,
    /// A flow that rested for so long is forgotten.
    pub flow_lifetime: Duration,
    /// How long a planned stop goes on handing packets after it said that it
    /// isn't ready any more.
    pub stop_delay: Duration,
    /// What the link of the balancer's machine carries each way, in bytes a
    /// second; none if that is not known.
    pub link_bytes_per_second: Option<u64>,
}

/// Counters of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassThroughBalancerCounters {
    /// Packets that could not be read.
    pub malformed: u64,
    /// Packets that came before a configuration was confirmed.
    pub not_current: u64,
    /// Packets to addresses without a route.
    pub no_route: u64,
    /// New flows offered to an agent.
    pub placed: u64,
    /// New flows refused with a reset.
    pub refused: u64,
    /// Opening packets that came while the process stood still.
    pub stale: u64,
    /// Opening packets that an agent did not answer in time.
    pub unanswered: u64,
    /// Packets of flows whose agent was not known.
    pub sought: u64,
    /// Flows whose agent was found.
    pub found: u64,
    /// Packets handed to back ends that may have a flow.
    pub tried: u64,
    /// Flows reset because no back end has them.
    pub gone: u64,
    /// Flows that were sought until their callers gave up.
    pub not_found: u64,
    /// Packets handed on.
    pub delivered: u64,
    /// Times that a service's new flows are refused at once, as it has no room.
    pub pauses: u64,
    /// Flows whose callers left before an agent took them.
    pub left: u64,
    /// Questions beyond the first of a flow.
    pub further_asked: u64,
    /// Such questions that were not asked, as the link's budget was used.
    pub further_unpaid: u64,
}

/// Times that a balancer measures.
#[derive(Clone, Debug, Default)]
pub struct PassThroughBalancerLatencies {
    /// From the first packet of a flow until a back end has answered it.
    pub placement: LatencyHistogram,
    /// From the first word of a newer configuration until one is in force.
    pub configuration_lag: LatencyHistogram,
}

/// The state machine of a balancer.
#[derive(Debug)]
pub struct PassThroughBalancer<C> {
    settings: PassThroughBalancerSettings,
    codec: C,
    incarnation: Incarnation,
    known_replicas: KnownReplicas,
    preferred_replicas: PreferredReplicas,
    routes: RouteTable,
    evacuations: Evacuations,
    agents: AgentDirectory,
    policies: ActivePolicies,
    flow_cache: FlowCache,
    searches: FlowSearches,
    query_budget: QueryBudget,
    /// Number of the latest question that one agent passes on to others.
    last_query_id: u64,
    /// Such questions, with the agents in the order that their answers use.
    relayed_queries: VecDeque<(u64, Vec<SocketAddrV4>)>,
    /// Packets that came before the balancer was current, and when.
    buffered: VecDeque<(Timestamp, Vec<u8>)>,
    /// Opening packets that wait for an answer, with the limits of it, in the
    /// order of the questions.
    pending_offers: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    reply_timeout: ReplyTimeoutEstimator,
    retry_budget: RetryBudget,
    overload: ServiceOverload,
    shed_flows: BTreeMap<u32, u64>,
    /// Flows that wait for a place at an agent, with the time by which it is to say
    /// what became of them, in that order.
    queued_flows: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    /// Number of the question for the newest version, until it is answered
    /// and that version is in force.
    confirmation_id: u64,
    confirmed_version: Option<u64>,
    is_up_to_date: bool,
    up_to_date_since: Timestamp,
    subscribe_at: Timestamp,
    /// Questions before the first confirmation.
    confirmation_attempts: u32,
    /// The leader that was asked for a confirmation last.
    confirmation_leader: Option<SocketAddrV4>,
    subscribed_at: Timestamp,
    /// When another process was heard last.
    last_message_at: Timestamp,
    /// Before this, no replica is asked for a newer configuration.
    next_fetch_at: Timestamp,
    sweep_at: Timestamp,
    /// Time of the latest input.
    last_input_at: Timestamp,
    drop_syns_until: Timestamp,
    stop_at: Option<Timestamp>,
    stopped: bool,
    counters: PassThroughBalancerCounters,
    latencies: PassThroughBalancerLatencies,
    /// Since when a newer configuration is known of that is not in force.
    lagging_since: Option<Timestamp>,
    outputs: VecDeque<PassThroughOutput>,
    /// What waits for the link; none if its speed is not known.
    link: Option<LinkQueue>,
}

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Starts a life of a balancer.
    pub fn new(
        now: Timestamp,
        settings: PassThroughBalancerSettings,
        codec: C,
        incarnation: Incarnation,
        known_replicas: KnownReplicas,
    ) -> Self {
        let link_bytes_per_second = settings.link_bytes_per_second;
        PassThroughBalancer {
            agents: AgentDirectory::new(&settings.zone, incarnation.0),
            policies: ActivePolicies::new(&settings.zone),
            settings,
            codec,
            incarnation,
            known_replicas,
            preferred_replicas: PreferredReplicas::new(incarnation.0),
            routes: RouteTable::default(),
            evacuations: Evacuations::default(),
            flow_cache: FlowCache::default(),
            searches: FlowSearches::default(),
            buffered: VecDeque::new(),
            query_budget: QueryBudget::new(now, link_bytes_per_second),
            last_query_id: 0,
            relayed_queries: VecDeque::new(),
            pending_offers: VecDeque::new(),
            reply_timeout: ReplyTimeoutEstimator::default(),
            retry_budget: RetryBudget::new(now, link_bytes_per_second),
            overload: ServiceOverload::default(),
            shed_flows: BTreeMap::new(),
            queued_flows: VecDeque::new(),
            confirmation_id: incarnation.0 | 1,
            confirmed_version: None,
            is_up_to_date: false,
            up_to_date_since: now,
            subscribe_at: now,
            confirmation_attempts: 0,
            confirmation_leader: None,
            subscribed_at: now,
            last_message_at: now,
            next_fetch_at: now,
            sweep_at: now + SWEEP_INTERVAL,
            last_input_at: now,
            drop_syns_until: Timestamp::ZERO,
            stop_at: None,
            stopped: false,
            counters: PassThroughBalancerCounters::default(),
            latencies: PassThroughBalancerLatencies::default(),
            lagging_since: None,
            outputs: VecDeque::new(),
            link: link_bytes_per_second.map(|bytes| LinkQueue::new(now, bytes)),
        }
    }

    /// The replicas that this balancer knows.
    pub fn known_replicas_mut(&mut self) -> &mut KnownReplicas {
        &mut self.known_replicas
    }

    /// Whether new flows may come: the newest configuration was confirmed in
    /// this life, there is one, no stop was asked for, and some other process
    /// was heard lately.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let is_set_up = self.is_up_to_date && self.routes.version() > 0;
        is_set_up && self.stop_at.is_none() && !self.is_isolated(now)
    }

    /// Whether nobody answers any more, neither agents nor replicas. Callers
    /// are better off with another balancer.
    fn is_isolated(&self, now: Timestamp) -> bool {
        now.saturating_since(self.last_message_at) >= ISOLATION_TIMEOUT
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.routes.version()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PassThroughBalancerCounters {
        self.counters
    }

    /// Times since the start.
    pub fn latencies(&self) -> &PassThroughBalancerLatencies {
        &self.latencies
    }

    /// The zones out of service, as far as this balancer knows.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Index of the placement policies in force; zero if there was never one.
    pub fn policies_index(&self) -> u64 {
        self.policies.index()
    }

    /// What each placement policy did so far.
    pub fn policy_stats(&self) -> Vec<PolicyStats> {
        self.policies
            .stats(|address| self.agents.get(address).is_some())
    }

    /// Flows and agents that are known, for metrics.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.flow_cache.len(), self.agents.len())
    }

    /// Begins a planned stop.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_delay);
        }
    }

    /// Takes a packet of a caller.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        let view = self.codec.view(packet).filter(|view| !view.returned);
        let Some(view) = view else {
            self.counters.malformed += 1;
            return;
        };
        if !self.is_up_to_date {
            self.counters.not_current += 1;
            self.buffer_packet(now, packet);
            return;
        }
        self.observe_clock(now);
        if view.is_syn() && now < self.drop_syns_until {
            self.counters.stale += 1;
        } else if view.is_syn() {
            self.handle_syn(now, &view, packet, Duration::ZERO);
        } else {
            self.handle_established(now, &view, packet);
        }
    }

    /// Keeps a packet until the balancer is current.
    fn buffer_packet(&mut self, now: Timestamp, packet: &[u8]) {
        if self.buffered.iter().any(|(_, buffered)| buffered == packet) {
            return;
        }
        if self.buffered.len() == MAX_BUFFERED_PACKETS {
            self.buffered.pop_front();
        }
        self.buffered.push_back((now, packet.to_vec()));
    }

    /// Handles the packets that were kept.
    fn handle_buffered(&mut self, now: Timestamp) {
        for (arrived_at, packet) in std::mem::take(&mut self.buffered) {
            let waited = now.saturating_since(arrived_at);
            match self.codec.view(&packet) {
                Some(view) if view.is_syn() => {
                    if waited < BUFFERED_SYN_TTL {
                        self.handle_syn(now, &view, &packet, waited);
                    }
                }
                _ => self.handle_packet(now, &packet),
            }
        }
    }

    /// Whether agents of a service may be there that this balancer, which has just
    /// started, has not been told of.
    fn awaits_agents(&self, now: Timestamp, service: u64) -> bool {
        let has_just_started =
            now.saturating_since(self.up_to_date_since) < FIRST_DIRECTORY_TIMEOUT;
        has_just_started && !self.agents.is_complete(now) && !self.agents.has_service(service)
    }

    /// Takes the time of an input, and notices a standstill.
    fn observe_clock(&mut self, now: Timestamp) {
        if now.saturating_since(self.last_input_at) >= PROCESS_PAUSE {
            self.drop_syns_until = now + SYN_DROP_TIME;
        }
        self.last_input_at = now;
    }

    /// Takes a message of an agent or replica.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        self.observe_clock(now);
        self.last_message_at = now;
        match body {
            PassThroughBody::Accepted(accepted) => self.handle_accepted(now, from, &accepted),
            PassThroughBody::Declined(declined) => self.handle_declined(now, from, &declined),
            PassThroughBody::FlowQueued(queued) => self.handle_flow_queued(now, from, &queued),
            PassThroughBody::FlowsOwned(owned) => self.handle_flows_owned(now, from, &owned),
            PassThroughBody::FlowsNotOwned(not_owned) => {
                self.handle_flows_not_owned(now, from, &not_owned)
            }
            PassThroughBody::AggregatedReplies(replies) => {
                self.handle_aggregated_replies(now, &replies)
            }
            PassThroughBody::ReturnedPacket(returned) => {
                self.handle_returned_packet(now, from, &returned)
            }
            PassThroughBody::GroupStatus(group) => self.handle_group_status(now, from, &group),
            PassThroughBody::DirectoryPart(directory) => {
                self.agents.handle_directory(now, from, directory);
                if self.is_up_to_date {
                    self.handle_buffered(now);
                }
            }
            PassThroughBody::Configuration(part) => self.handle_configuration(now, part),
            PassThroughBody::VersionConfirmed(confirmed) => self.handle_confirmed(now, &confirmed),
            _ => {}
        }
    }

    /// Does what has become due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.observe_clock(now);
        while let Some((due_at, flow, agent)) = self.pending_offers.front().copied() {
            if now < due_at {
                break;
            }
            self.pending_offers.pop_front();
            self.handle_offer_timeout(now, flow, agent);
        }
        self.check_queued_flows(now);
        self.continue_searches(now);
        self.log_link_change(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.flow_cache.expire(now, self.settings.flow_lifetime);
            self.log_overload_changes(now);
        }
        let overdue = self.preferred_replicas.overdue_at();
        let subscribe_at = overdue.map_or(self.subscribe_at, |at| self.subscribe_at.min(at));
        if now >= subscribe_at.min(self.silence_check_at()) {
            self.subscribe(now);
        }
        if self.stop_at.is_some_and(|at| now >= at) && !self.stopped {
            self.stopped = true;
            self.unsubscribe();
        }
    }

    /// When [`PassThroughBalancer::handle_timeout`] is wanted.
    pub fn poll_timeout(&self) -> Timestamp {
        let pending_offers = self.pending_offers.front().map(|(due_at, ..)| *due_at);
        let queued = self.queued_flows.front().map(|(due_at, ..)| *due_at);
        let timers = [
            queued,
            Some(self.sweep_at),
            Some(self.subscribe_at),
            Some(self.silence_check_at()),
            self.preferred_replicas.overdue_at(),
            self.searches.poll_timeout(),
            pending_offers,
            self.stop_at,
            self.link.as_ref().and_then(LinkQueue::poll_timeout),
        ];
        let first = timers.into_iter().flatten().min();
        first.unwrap_or(self.sweep_at)
    }

    fn note_seen(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        load: Option<petrellatch_proto::pass_through::LoadMessage>,
    ) {
        if self.agents.note_seen(now, from, load) {
            self.emit_event(EventKind::AgentReturned, format!("agent={from}"));
        }
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs.push_back(PassThroughOutput::Send { to, body });
    }

    fn forward(
        &mut self,
        agent: SocketAddrV4,
        service: u64,
        reason: ForwardReason,
        packet: Vec<u8>,
    ) {
        let forwarded = ForwardedPacket {
            service,
            reason: reason.into(),
            packet,
            ..ForwardedPacket::default()
        };
        self.send(agent, PassThroughBody::ForwardedPacket(forwarded));
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(PassThroughOutput::Event(event));
    }
}
