//! The balancer selects an agent for each new flow, and forwards the packets of
//! established flows.

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

/// If no message came from any agent or replica for this time, the balancer counts as
/// isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between removals of expired entries from the flow cache.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of packets that are buffered until the balancer is up to date.
const MAX_BUFFERED_PACKETS: usize = 1_024;
/// A SYN that was buffered for longer is dropped: its caller has sent a retransmission.
const BUFFERED_SYN_TTL: Duration = Duration::from_millis(200);
/// How long a balancer that has just become up to date buffers SYNs for a service without
/// a known agent, unless a replica's complete directory shows that there is none.
const FIRST_DIRECTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// A longer time without input means that the process was not scheduled. SYNs that
/// arrived meanwhile are from callers that have retransmitted them or given up.
const PROCESS_PAUSE: Duration = Duration::from_millis(1_200);
/// How long SYNs are dropped after a process pause.
const SYN_DROP_TIME: Duration = Duration::from_millis(30);

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassThroughBalancerSettings {
    /// The balancer's zone.
    pub zone: String,
    /// Interval between polls of replicas for updates.
    pub subscribe_interval: Duration,
    /// A flow that was idle for this time is removed from the flow cache.
    pub flow_ttl: Duration,
    /// How long a balancer that is stopped goes on forwarding packets after it reports that
    /// it is no longer ready.
    pub stop_delay: Duration,
    /// Speed of the machine's link in each direction, in bytes per second; `None` if it is not
    /// known.
    pub link_bytes_per_second: Option<u64>,
}

/// Counters of a balancer since its start. They are logged under the names of the fields when
/// the balancer stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassThroughBalancerCounters {
    /// Packets that could not be parsed.
    pub malformed: u64,
    /// Packets that arrived before the balancer was up to date.
    pub not_current: u64,
    /// Packets to addresses without a route.
    pub no_route: u64,
    /// Offers of new flows to agents.
    pub placed: u64,
    /// New flows that were refused with a reset, including those that were shed.
    pub refused: u64,
    /// SYNs that were dropped because they arrived during a process pause.
    pub stale: u64,
    /// Offers without a reply within the timeout.
    pub unanswered: u64,
    /// Packets of established flows whose owner was not known.
    pub sought: u64,
    /// Flows whose owner was found by a search.
    pub found: u64,
    /// Speculative deliveries of packets to back ends.
    pub tried: u64,
    /// Flows that were reset because no back end owns them.
    pub gone: u64,
    /// Searches that ended inconclusively.
    pub not_found: u64,
    /// Packets of established flows that were forwarded to their owners.
    pub delivered: u64,
    /// Backoffs of overloaded services.
    pub pauses: u64,
    /// New flows whose callers gave up before an agent accepted them.
    pub left: u64,
    /// Offers after the first one of a flow.
    pub further_asked: u64,
    /// Offers after the first one that were not made, as the retry budget was used up.
    pub further_unpaid: u64,
}

/// Latencies that a balancer measures, since its start.
#[derive(Clone, Debug, Default)]
pub struct PassThroughBalancerLatencies {
    /// From the first SYN of a flow until an agent reports that its back end accepted it.
    pub placement: LatencyHistogram,
    /// From the first message about a newer configuration until a newer one is active.
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
    /// Identifier of the latest relayed query.
    last_query_id: u64,
    /// The latest relayed queries, with their agents in the order of the indexes that
    /// aggregated replies use.
    relayed_queries: VecDeque<(u64, Vec<SocketAddrV4>)>,
    /// Packets that wait until the balancer is up to date, and SYNs that wait for the first
    /// agent of their service, with their arrival times.
    buffered: VecDeque<(Timestamp, Vec<u8>)>,
    /// Offers, in order of time, with the times at which their replies are overdue.
    pending_offers: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    reply_timeout: ReplyTimeoutEstimator,
    retry_budget: RetryBudget,
    overload: ServiceOverload,
    shed_flows: BTreeMap<u32, u64>,
    /// Flows in agents' admission queues, with the times by which the agents must accept or
    /// decline them, in that order.
    queued_flows: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    /// Identifier of the request to confirm the newest version. It is sent until the balancer
    /// is up to date.
    confirmation_id: u64,
    confirmed_version: Option<u64>,
    is_up_to_date: bool,
    up_to_date_since: Timestamp,
    /// Time of the next poll of replicas.
    subscribe_at: Timestamp,
    /// Number of polls while the balancer was not up to date, or parts of a change were
    /// missing.
    confirmation_attempts: u32,
    /// The leader that the latest confirmation request went to.
    confirmation_leader: Option<SocketAddrV4>,
    /// Time of the latest poll of replicas.
    subscribed_at: Timestamp,
    /// When the latest message of an agent or replica came.
    last_message_at: Timestamp,
    /// Earliest time of the next request for a newer configuration.
    next_fetch_at: Timestamp,
    sweep_at: Timestamp,
    /// Time of the latest input.
    last_input_at: Timestamp,
    drop_syns_until: Timestamp,
    stop_at: Option<Timestamp>,
    stopped: bool,
    counters: PassThroughBalancerCounters,
    latencies: PassThroughBalancerLatencies,
    /// When the balancer first learned of a newer configuration that is not active yet.
    lagging_since: Option<Timestamp>,
    outputs: VecDeque<PassThroughOutput>,
    /// Datagrams that wait for the link; `None` if the link's speed is not known.
    link: Option<LinkQueue>,
}

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Starts an incarnation of a balancer.
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

    /// The replicas that this balancer knows, for changes of the settings.
    pub fn known_replicas_mut(&mut self) -> &mut KnownReplicas {
        &mut self.known_replicas
    }

    /// Whether the balancer is ready for new flows: it has become up to date since its start,
    /// there is a configuration, no stop was requested, and it is not isolated.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let is_set_up = self.is_up_to_date && self.routes.version() > 0;
        is_set_up && self.stop_at.is_none() && !self.is_isolated(now)
    }

    /// Whether neither agents nor replicas are reachable. Another balancer serves callers
    /// better then.
    fn is_isolated(&self, now: Timestamp) -> bool {
        now.saturating_since(self.last_message_at) >= ISOLATION_TIMEOUT
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The active configuration version; zero for none.
    pub fn version(&self) -> u64 {
        self.routes.version()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PassThroughBalancerCounters {
        self.counters
    }

    /// Latencies since the start.
    pub fn latencies(&self) -> &PassThroughBalancerLatencies {
        &self.latencies
    }

    /// The evacuated zones, as far as this balancer knows.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Log index of the active placement policies; zero if there has never been one.
    pub fn policies_index(&self) -> u64 {
        self.policies.index()
    }

    /// Statistics of each placement policy.
    pub fn policy_stats(&self) -> Vec<PolicyStats> {
        self.policies
            .stats(|address| self.agents.get(address).is_some())
    }

    /// Number of cached flows and of known agents, for metrics.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.flow_cache.len(), self.agents.len())
    }

    /// Starts a planned stop.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_delay);
        }
    }

    /// Handles a packet of a caller.
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

    /// Buffers a packet until the balancer is up to date. Duplicates are dropped, and the
    /// oldest packet if the buffer is full.
    fn buffer_packet(&mut self, now: Timestamp, packet: &[u8]) {
        if self.buffered.iter().any(|(_, buffered)| buffered == packet) {
            return;
        }
        if self.buffered.len() == MAX_BUFFERED_PACKETS {
            self.buffered.pop_front();
        }
        self.buffered.push_back((now, packet.to_vec()));
    }

    /// Handles the buffered packets.
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

    /// Whether there may be agents of a service that are not known yet because this balancer
    /// has just started.
    fn awaits_agents(&self, now: Timestamp, service: u64) -> bool {
        let has_just_started =
            now.saturating_since(self.up_to_date_since) < FIRST_DIRECTORY_TIMEOUT;
        has_just_started && !self.agents.is_complete(now) && !self.agents.has_service(service)
    }

    /// Notes the time of an input, and detects a process pause.
    fn observe_clock(&mut self, now: Timestamp) {
        if now.saturating_since(self.last_input_at) >= PROCESS_PAUSE {
            self.drop_syns_until = now + SYN_DROP_TIME;
        }
        self.last_input_at = now;
    }

    /// Handles a message of an agent or replica.
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

    /// Handles all timers that are due.
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
            self.flow_cache.expire(now, self.settings.flow_ttl);
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

    /// When to call [`PassThroughBalancer::handle_timeout`] next.
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
