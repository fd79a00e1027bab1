//! The balancer: chooses an agent for each new flow, and hands on the packets
//! of open ones.

mod edge;
mod news;
mod open_flows;
mod openings;
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
use super::choice::answer_time::AnswerTime;
use super::choice::ask_budget::AskBudget;
use super::choice::known_agent::KnownAgent;
use super::choice::service_pressure::{EdgeDecision, FlowKind, PressureChange, ServicePressure};
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
const ISOLATION_LIMIT: Duration = Duration::from_millis(600);
/// Between two sweeps over the hints.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Packets that are kept until the balancer is current.
const MAX_EARLY_PACKETS: usize = 1_024;
/// An opening packet that was kept for longer is dropped: its caller has sent a copy.
const EARLY_OPENING_LIMIT: Duration = Duration::from_millis(200);
/// For so long after it is current, a balancer that knows no agent of a service keeps
/// opening packets, unless a replica says that there is none.
const FIRST_DIRECTORY_LIMIT: Duration = Duration::from_millis(500);
/// A process that did nothing for longer stood still: opening packets that
/// came meanwhile are from callers that have sent copies since, or given up.
const STANDSTILL: Duration = Duration::from_millis(1_200);
/// How long opening packets are dropped after a standstill.
const STANDSTILL_DROP: Duration = Duration::from_millis(30);

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
    contacts: KnownReplicas,
    attachments: PreferredReplicas,
    routes: RouteTable,
    evacuations: Evacuations,
    agents: AgentDirectory,
    policies: ActivePolicies,
    hints: FlowCache,
    searches: FlowSearches,
    seek_budget: QueryBudget,
    /// Number of the latest question that one agent passes on to others.
    next_question: u64,
    /// Such questions, with the agents in the order that their answers use.
    asked_questions: VecDeque<(u64, Vec<SocketAddrV4>)>,
    /// Packets that came before the balancer was current, and when.
    early: VecDeque<(Timestamp, Vec<u8>)>,
    /// Opening packets that wait for an answer, with the limits of it, in the
    /// order of the questions.
    awaited: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    answer_time: AnswerTime,
    ask_budget: AskBudget,
    pressure: ServicePressure,
    shed_flows: BTreeMap<u32, u64>,
    /// Flows that wait for a place at an agent, with the time by which it is to say
    /// what became of them, in that order.
    waiting: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    /// Number of the question for the newest version, until it is answered
    /// and that version is in force.
    confirm: u64,
    confirmed_version: Option<u64>,
    current: bool,
    current_since: Timestamp,
    follow_at: Timestamp,
    /// Questions before the first confirmation.
    confirm_tries: u32,
    /// The leader that was asked for a confirmation last.
    confirm_asked: Option<SocketAddrV4>,
    followed_at: Timestamp,
    /// When another process was heard last.
    heard_at: Timestamp,
    /// Before this, no replica is asked for a newer configuration.
    fetch_at: Timestamp,
    sweep_at: Timestamp,
    /// Time of the latest input.
    active_at: Timestamp,
    drop_openings_until: Timestamp,
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
        contacts: KnownReplicas,
    ) -> Self {
        let link_bytes_per_second = settings.link_bytes_per_second;
        PassThroughBalancer {
            agents: AgentDirectory::new(&settings.zone, incarnation.0),
            policies: ActivePolicies::new(&settings.zone),
            settings,
            codec,
            incarnation,
            contacts,
            attachments: PreferredReplicas::new(incarnation.0),
            routes: RouteTable::default(),
            evacuations: Evacuations::default(),
            hints: FlowCache::default(),
            searches: FlowSearches::default(),
            early: VecDeque::new(),
            seek_budget: QueryBudget::new(now, link_bytes_per_second),
            next_question: 0,
            asked_questions: VecDeque::new(),
            awaited: VecDeque::new(),
            answer_time: AnswerTime::default(),
            ask_budget: AskBudget::new(now, link_bytes_per_second),
            pressure: ServicePressure::default(),
            shed_flows: BTreeMap::new(),
            waiting: VecDeque::new(),
            confirm: incarnation.0 | 1,
            confirmed_version: None,
            current: false,
            current_since: now,
            follow_at: now,
            confirm_tries: 0,
            confirm_asked: None,
            followed_at: now,
            heard_at: now,
            fetch_at: now,
            sweep_at: now + SWEEP_INTERVAL,
            active_at: now,
            drop_openings_until: Timestamp::ZERO,
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
        &mut self.contacts
    }

    /// Whether new flows may come: the newest configuration was confirmed in
    /// this life, there is one, no stop was asked for, and some other process
    /// was heard lately.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let is_set_up = self.current && self.routes.version() > 0;
        is_set_up && self.stop_at.is_none() && !self.is_isolated(now)
    }

    /// Whether nobody answers any more, neither agents nor replicas. Callers
    /// are better off with another balancer.
    fn is_isolated(&self, now: Timestamp) -> bool {
        now.saturating_since(self.heard_at) >= ISOLATION_LIMIT
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
            .figures(|address| self.agents.get(address).is_some())
    }

    /// Flows and agents that are known, for metrics.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.hints.len(), self.agents.len())
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
        if !self.current {
            self.counters.not_current += 1;
            self.keep_early(now, packet);
            return;
        }
        self.observe_clock(now);
        if view.is_syn() && now < self.drop_openings_until {
            self.counters.stale += 1;
        } else if view.is_syn() {
            self.handle_opening(now, &view, packet, Duration::ZERO);
        } else {
            self.handle_established(now, &view, packet);
        }
    }

    /// Keeps a packet until the balancer is current.
    fn keep_early(&mut self, now: Timestamp, packet: &[u8]) {
        if self.early.iter().any(|(_, early)| early == packet) {
            return;
        }
        if self.early.len() == MAX_EARLY_PACKETS {
            self.early.pop_front();
        }
        self.early.push_back((now, packet.to_vec()));
    }

    /// Handles the packets that were kept.
    fn handle_early(&mut self, now: Timestamp) {
        for (came_at, packet) in std::mem::take(&mut self.early) {
            let waited = now.saturating_since(came_at);
            match self.codec.view(&packet) {
                Some(view) if view.is_syn() => {
                    if waited < EARLY_OPENING_LIMIT {
                        self.handle_opening(now, &view, &packet, waited);
                    }
                }
                _ => self.handle_packet(now, &packet),
            }
        }
    }

    /// Whether agents of a service may be there that this balancer, which has just
    /// started, has not been told of.
    fn awaits_agents(&self, now: Timestamp, service: u64) -> bool {
        let has_just_started = now.saturating_since(self.current_since) < FIRST_DIRECTORY_LIMIT;
        has_just_started && !self.agents.is_whole(now) && !self.agents.knows(service)
    }

    /// Takes the time of an input, and notices a standstill.
    fn observe_clock(&mut self, now: Timestamp) {
        if now.saturating_since(self.active_at) >= STANDSTILL {
            self.drop_openings_until = now + STANDSTILL_DROP;
        }
        self.active_at = now;
    }

    /// Takes a message of an agent or replica.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        self.observe_clock(now);
        self.heard_at = now;
        match body {
            PassThroughBody::Accepted(accepted) => self.handle_accepted(now, from, &accepted),
            PassThroughBody::Declined(declined) => self.handle_declined(now, from, &declined),
            PassThroughBody::FlowQueued(waiting) => self.handle_waiting(now, from, &waiting),
            PassThroughBody::FlowsOwned(holds) => self.handle_holds(now, from, &holds),
            PassThroughBody::FlowsNotOwned(lacks) => self.handle_lacks(now, from, &lacks),
            PassThroughBody::AggregatedReplies(gathered) => self.handle_gathered(now, &gathered),
            PassThroughBody::ReturnedPacket(not_held) => self.handle_not_held(now, from, &not_held),
            PassThroughBody::GroupStatus(group) => self.handle_group(now, from, &group),
            PassThroughBody::DirectoryPart(directory) => {
                self.agents.handle_directory(now, from, directory);
                if self.current {
                    self.handle_early(now);
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
        while let Some((limit, flow, agent)) = self.awaited.front().copied() {
            if now < limit {
                break;
            }
            self.awaited.pop_front();
            self.handle_unanswered(now, flow, agent);
        }
        self.continue_waiting(now);
        self.continue_searches(now);
        self.tell_link_change(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.hints.expire(now, self.settings.flow_lifetime);
            self.tell_pressure(now);
        }
        let overdue = self.attachments.overdue_at();
        let follow_at = overdue.map_or(self.follow_at, |at| self.follow_at.min(at));
        if now >= follow_at.min(self.silence_check_at()) {
            self.follow(now);
        }
        if self.stop_at.is_some_and(|at| now >= at) && !self.stopped {
            self.stopped = true;
            self.leave_replicas();
        }
    }

    /// When [`PassThroughBalancer::handle_timeout`] is wanted.
    pub fn poll_timeout(&self) -> Timestamp {
        let awaited = self.awaited.front().map(|(limit, ..)| *limit);
        let waiting = self.waiting.front().map(|(limit, ..)| *limit);
        let timers = [
            waiting,
            Some(self.sweep_at),
            Some(self.follow_at),
            Some(self.silence_check_at()),
            self.attachments.overdue_at(),
            self.searches.poll_timeout(),
            awaited,
            self.stop_at,
            self.link.as_ref().and_then(LinkQueue::poll_timeout),
        ];
        let first = timers.into_iter().flatten().min();
        first.unwrap_or(self.sweep_at)
    }

    fn note_heard(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        load: Option<petrellatch_proto::pass_through::LoadMessage>,
    ) {
        if self.agents.note_heard(now, from, load) {
            self.emit_event(EventKind::AgentReturned, format!("agent={from}"));
        }
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs.push_back(PassThroughOutput::Send { to, body });
    }

    fn carry(&mut self, agent: SocketAddrV4, service: u64, reason: ForwardReason, packet: Vec<u8>) {
        let carry = ForwardedPacket {
            service,
            reason: reason.into(),
            packet,
            ..ForwardedPacket::default()
        };
        self.send(agent, PassThroughBody::ForwardedPacket(carry));
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(PassThroughOutput::Event(event));
    }
}
