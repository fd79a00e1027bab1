//! The agents as a balancer knows them, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, DirectoryChange, DirectoryPart, LoadMessage, Report, unpack_address,
};

use crate::time::Timestamp;

use super::expected_completion::default_processing_millis;
use super::known_agent::{DEPRIORITIZED_COST, KnownAgent};
use super::service_load::ServiceLoad;
use super::weight_groups::WeightGroups;
use crate::pass_through::digest::{address_digest, flow_digest, service_digest, zone_digest};
use crate::pass_through::flows::flow_search::SearchTarget;
use crate::pass_through::group::evacuations::Evacuations;
use crate::pass_through::packet::FlowId;
use crate::pass_through::policies::backend_profile::BackendProfile;
use crate::pass_through::routes::reassembly::Reassembly;

/// How long an agent is avoided whose back end returned an opening packet, or
/// whose zone is out of service without this balancer knowing. A back end that is
/// only full works some 50 ms on a request; one that is gone is silent to its agent
/// for seconds.
const DEPRIORITIZED_TIME: Duration = Duration::from_millis(250);
/// Spreads flows over agents of the same cost, as a part of the service's mean time of
/// work: less than one request more on a slot costs.
const TIE_BREAK_FRACTION: f64 = 0.05;
/// Salt of the hash that spreads the flows of a service over agents of different weights.
const GROUP_SALT: u64 = 0x5745_4947;
/// After a flow was offered to so many agents of one weight in vain, it goes to those of
/// other weights, before nobody else may be asked.
const MAX_OFFERS_PER_WEIGHT: usize = 2;
/// What an agent costs whose back end is left out as it fails requests, in
/// milliseconds: it comes before those that are suspected only.
const EJECTED_COST: f64 = 900_000.0;
/// The share of a service's back ends that may be left out as they fail. If more fail,
/// the fault is elsewhere, and the others could not bear their flows.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// The first time that an agent is avoided after it missed an opening packet;
/// it doubles with each further one up to the limit.
const INITIAL_SUSPICION: Duration = Duration::from_millis(250);
const MAX_SUSPICION: Duration = Duration::from_secs(2);
/// An agent that no replica heard from for so long is forgotten, as long as
/// replicas are heard.
const AGENT_TTL: Duration = Duration::from_secs(8);

/// For how long a replica's word holds that its directory is whole. Agents that
/// come later are told at once.
const COMPLETENESS_TTL: Duration = Duration::from_millis(2_500);

/// The agent that a new flow is offered to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChosenAgent {
    pub(crate) address: SocketAddrV4,
    /// So many back ends of the service fail that none is left out for that.
    pub(crate) ignore_ejection: bool,
}

/// The agent with the lowest cost so far.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    address: Option<SocketAddrV4>,
    cost: f64,
}

/// The best agents with and without those that are left out as they fail.
#[derive(Clone, Copy, Debug, Default)]
struct BestAgents {
    best: Best,
    best_with_ejected: Best,
    /// Agents that were asked for the flow already.
    offered: usize,
}

/// Why an agent is not asked for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// It was asked for this flow already.
    WasOffered,
    /// It has just had no room for another one.
    DeclinedRecently,
}

/// Agents of one service, and how many of them take no new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AgentCounts {
    agents: usize,
    /// Their back ends leave.
    draining: usize,
    /// Their zones are out of service.
    evacuated: usize,
    /// Their back ends are cold, by their last word.
    cold: usize,
}

impl AgentCounts {
    /// Agents that may take new flows.
    pub(crate) fn serving(&self) -> usize {
        self.agents
            .saturating_sub(self.draining.max(self.evacuated))
    }
}

impl fmt::Display for AgentCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AgentCounts {
            agents,
            draining,
            evacuated,
            cold,
        } = self;
        write!(
            formatter,
            "agents={agents} leaving={draining} evacuated={evacuated} cold={cold}"
        )
    }
}

/// What one replica told of the agents.
#[derive(Debug, Default)]
struct ReplicaDirectory {
    revision: u64,
    /// When the replica said last that this revision has every agent that runs.
    complete_at: Option<Timestamp>,
    agents: BTreeSet<SocketAddrV4>,
    reassembly: Reassembly,
}

/// All agents that a balancer knows.
#[derive(Debug, Default)]
pub(crate) struct AgentDirectory {
    /// Digest of the balancer's own zone.
    zone: u64,
    /// Digests of the zones out of service.
    evacuated: BTreeSet<u64>,
    /// Tells the choices of this balancer from those of others.
    salt: u64,
    replicas: BTreeMap<SocketAddrV4, ReplicaDirectory>,
    agents: BTreeMap<SocketAddrV4, KnownAgent>,
    /// What is common to each service, by its digest.
    service_loads: BTreeMap<u64, ServiceLoad>,
    /// How many agents have been added since the start.
    total_added: u64,
    /// Revisions of agents that are added: none of a forgotten one comes again.
    first_revision: u64,
}

impl AgentDirectory {
    pub(crate) fn new(zone: &str, salt: u64) -> Self {
        AgentDirectory {
            zone: zone_digest(zone),
            evacuated: BTreeSet::new(),
            salt,
            replicas: BTreeMap::new(),
            agents: BTreeMap::new(),
            service_loads: BTreeMap::new(),
            total_added: 0,
            first_revision: 0,
        }
    }

    pub(crate) fn get(&self, address: SocketAddrV4) -> Option<&KnownAgent> {
        self.agents.get(&address)
    }

    pub(crate) fn len(&self) -> usize {
        self.agents.len()
    }

    /// How many agents have been added since the start. Who asked all before the
    /// latest was added has not asked that one.
    pub(crate) fn total_added(&self) -> u64 {
        self.total_added
    }

    /// All agents, or those of one service, as a search for a flow sees them.
    /// Unless answers arrive `in_time`, no agent is taken for gone.
    pub(crate) fn search_targets(
        &self,
        now: Timestamp,
        service: Option<u64>,
        replies_on_time: bool,
    ) -> Vec<SearchTarget> {
        let matches_service = |agent: &KnownAgent| service.is_none_or(|it| it == agent.service);
        let agents = self
            .agents
            .iter()
            .filter(|(_, agent)| matches_service(agent));
        let targets = agents.map(|(address, agent)| SearchTarget {
            address: *address,
            is_expected: agent.is_expected(now, replies_on_time),
            has_backend: agent.has_backend(),
        });
        targets.collect()
    }

    /// Notes that an agent was asked for flows.
    pub(crate) fn note_queried(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.unanswered_since.get_or_insert(now);
        }
    }

    /// Notes that an agent answered a question that another one passed on.
    pub(crate) fn note_replied(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.last_seen_at = now;
            agent.unanswered_since = None;
        }
    }

    /// Which of some agents asks the others for flows: one that answers, another
    /// one with each question.
    pub(crate) fn choose_relay(
        &self,
        now: Timestamp,
        agents: &[SocketAddrV4],
        query_id: u64,
    ) -> SocketAddrV4 {
        let is_responsive = |address: &&SocketAddrV4| {
            let agent = self.agents.get(address);
            agent.is_some_and(|it| it.answers_queries(now))
        };
        let responsive: Vec<SocketAddrV4> = agents.iter().filter(is_responsive).copied().collect();
        let choice = match responsive.is_empty() {
            true => agents,
            false => &responsive,
        };
        let index = address_digest(query_id, self.salt) % choice.len() as u64;
        choice[index as usize]
    }

    /// Takes the zones out of service.
    pub(crate) fn set_evacuated(&mut self, evacuations: &Evacuations) {
        let zones = evacuations.evacuated_zones();
        self.evacuated = zones.map(|record| zone_digest(&record.zone)).collect();
    }

    /// Whether an agent of a service is known.
    pub(crate) fn has_service(&self, service: u64) -> bool {
        self.agents.values().any(|agent| agent.service == service)
    }

    /// How many agents of a service are known, and why some take no new flows.
    pub(crate) fn agent_counts(&self, service: u64) -> AgentCounts {
        let matches_service = |agent: &&KnownAgent| agent.service == service;
        let mut counts = AgentCounts::default();
        for agent in self.agents.values().filter(matches_service) {
            counts.agents += 1;
            counts.draining += usize::from(agent.state == AgentState::Draining);
            counts.evacuated += usize::from(self.evacuated.contains(&agent.zone));
            counts.cold += usize::from(agent.load.cold);
        }
        counts
    }

    /// The revision that a replica told last; zero for none.
    pub(crate) fn revision_of(&self, replica: SocketAddrV4) -> u64 {
        let replica_directory = self.replicas.get(&replica);
        replica_directory.map_or(0, |replica_directory| replica_directory.revision)
    }

    /// Whether every agent that runs is known.
    pub(crate) fn is_complete(&self, now: Timestamp) -> bool {
        let is_fresh = |at| now.saturating_since(at) < COMPLETENESS_TTL;
        let mut replicas = self.replicas.values();
        replicas.any(|replica_directory| replica_directory.complete_at.is_some_and(is_fresh))
    }

    /// A replica says that its directory has this revision, and whether that is
    /// whole. If it is the one that it told, it still hears from all agents in
    /// it.
    pub(crate) fn handle_revision(
        &mut self,
        now: Timestamp,
        replica: SocketAddrV4,
        revision: u64,
        is_complete: bool,
    ) {
        let Some(replica_directory) = self.replicas.get_mut(&replica) else {
            return;
        };
        replica_directory.complete_at =
            (is_complete && replica_directory.revision == revision).then_some(now);
        if replica_directory.revision != revision {
            return;
        }
        for address in &replica_directory.agents {
            if let Some(agent) = self.agents.get_mut(address) {
                agent.last_seen_at = now;
            }
        }
    }

    /// Takes a part of what a replica knows.
    pub(crate) fn handle_directory(
        &mut self,
        now: Timestamp,
        replica: SocketAddrV4,
        directory: DirectoryPart,
    ) {
        let replica_directory = self.replicas.entry(replica).or_default();
        let base = directory.base_revision;
        if base != 0 && base != replica_directory.revision {
            return;
        }
        let DirectoryPart {
            revision,
            part,
            parts,
            bytes,
            ..
        } = directory;
        let key = revision ^ base;
        let change: Option<DirectoryChange> = replica_directory
            .reassembly
            .add_compressed(key, part, parts, bytes);
        let Some(change) = change else { return };
        replica_directory.revision = revision;
        if base == 0 {
            replica_directory.agents.clear();
        }
        for address in &change.removed {
            replica_directory.agents.remove(&unpack_address(*address));
        }
        let addresses = change
            .agents
            .iter()
            .map(|it| unpack_address(it.report.address));
        replica_directory.agents.extend(addresses);
        for entry in &change.agents {
            let reported_at = now - Duration::from_millis(u64::from(entry.age_millis));
            self.handle_report(now, reported_at, &entry.report);
        }
        let first_revision = &mut self.first_revision;
        self.agents.retain(|_, agent| {
            let is_kept = now.saturating_since(agent.last_seen_at) < AGENT_TTL;
            if !is_kept {
                *first_revision = (*first_revision).max(agent.load_revision + 1);
            }
            is_kept
        });
    }

    fn handle_report(&mut self, now: Timestamp, reported_at: Timestamp, report: &Report) {
        let address = unpack_address(report.address);
        let known = self.agents.get(&address);
        if let Some(known) = known {
            let is_same_incarnation = known.incarnation == report.incarnation;
            let is_older = is_same_incarnation && report.sequence < known.sequence;
            if is_older || (!is_same_incarnation && reported_at < known.reported_at) {
                return;
            }
        }
        let is_same_incarnation =
            known.is_some_and(|known| known.incarnation == report.incarnation);
        let profile = BackendProfile::from_report(reported_at, report);
        if !is_same_incarnation {
            // Numbers of a former life at the address must not come again.
            let revision = known.map_or(self.first_revision, |known| known.load_revision + 1);
            let agent = KnownAgent {
                service: service_digest(&report.service),
                state: report.state(),
                zone: zone_digest(&report.zone),
                incarnation: report.incarnation,
                sequence: report.sequence,
                reported_at,
                last_seen_at: now,
                unanswered_since: None,
                load: report.load,
                load_at: reported_at,
                flows_since_report: 0,
                timeouts: 0,
                suspected_until: Timestamp::ZERO,
                deprioritized_until: Timestamp::ZERO,
                ejected_until: Timestamp::ZERO,
                profile,
                profile_revision: revision,
                load_revision: revision,
            };
            let is_added = self.agents.insert(address, agent).is_none();
            self.total_added += u64::from(is_added);
            return;
        }
        let Some(known) = self.agents.get_mut(&address) else {
            return;
        };
        known.note_profile(report.state(), profile);
        known.reported_at = known.reported_at.max(reported_at);
        known.last_seen_at = now;
        if report.sequence > known.sequence {
            known.sequence = report.sequence;
            if reported_at > known.load_at {
                known.note_load(reported_at, report.load);
                let service_load = self.service_loads.entry(known.service).or_default();
                service_load.note_load(&report.load);
            }
        }
    }

    /// Notes a message that an agent sent itself. Returns whether it had been
    /// suspected.
    pub(crate) fn note_seen(
        &mut self,
        now: Timestamp,
        address: SocketAddrV4,
        load: Option<LoadMessage>,
    ) -> bool {
        let Some(agent) = self.agents.get_mut(&address) else {
            return false;
        };
        let was_suspected = now < agent.suspected_until;
        agent.reported_at = now;
        agent.last_seen_at = now;
        agent.unanswered_since = None;
        agent.timeouts = 0;
        agent.suspected_until = Timestamp::ZERO;
        if let Some(load) = load {
            agent.note_load(now, load);
            let service_load = self.service_loads.entry(agent.service).or_default();
            service_load.note_load(&load);
        }
        was_suspected
    }

    /// Whether an agent has not answered lately.
    pub(crate) fn is_suspected(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.get(address).is_some_and(|it| now < it.suspected_until)
    }

    /// Notes that an agent takes nothing new, until it reports otherwise.
    pub(crate) fn note_state(&mut self, address: SocketAddrV4, state: AgentState) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.note_state(state);
        }
    }

    /// Notes that an agent declined for a reason that holds for a while.
    pub(crate) fn note_deprioritized(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.deprioritized_until = now + DEPRIORITIZED_TIME;
        }
    }

    /// Notes a request on a flow of a service that is known for `flow_age`.
    pub(crate) fn note_request(&mut self, service: u64, flow_age: Duration) {
        if let Some(service_load) = self.service_loads.get_mut(&service) {
            service_load.note_request(flow_age);
        }
    }

    pub(crate) fn note_flow_sent(&mut self, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.note_flow_sent();
        }
    }

    /// Notes that an agent did not answer an opening packet in time. Returns
    /// whether that is news.
    pub(crate) fn note_timeout(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        let Some(agent) = self.agents.get_mut(&address) else {
            return false;
        };
        let was_suspected = now < agent.suspected_until;
        let factor = 1 << agent.timeouts.min(3);
        agent.timeouts += 1;
        agent.suspected_until = now + (INITIAL_SUSPICION * factor).min(MAX_SUSPICION);
        !was_suspected
    }

    /// The agent of a service that is the best for a new flow. Those that have
    /// just started come after the others, if they are to be asked at all.
    ///
    /// `weight_of` tells the share of an agent in new flows, relative to others, which is
    /// more than zero; none if it may get none. Agents of one weight compete by what they cost.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        service: u64,
        flow: FlowId,
        include_starting: bool,
        mut weight_of: impl FnMut(SocketAddrV4, &KnownAgent) -> Option<f64>,
        exclusion_of: impl Fn(SocketAddrV4) -> Option<Exclusion>,
    ) -> Option<ChosenAgent> {
        let takes_flows = |state| match state {
            AgentState::Ready => true,
            AgentState::Starting => include_starting,
            AgentState::Unavailable | AgentState::Draining => false,
        };
        let service_load = self
            .service_loads
            .get(&service)
            .copied()
            .unwrap_or_default();
        let tie_millis =
            default_processing_millis(service_load.processing_millis()) * TIE_BREAK_FRACTION;
        let mut serving = 0;
        let mut failing = 0;
        let mut groups: WeightGroups<BestAgents> = WeightGroups::default();
        for (address, agent) in &self.agents {
            let is_evacuated = self.evacuated.contains(&agent.zone);
            if agent.service != service || !takes_flows(agent.state) || is_evacuated {
                continue;
            }
            let Some(weight) = weight_of(*address, agent) else {
                continue;
            };
            serving += 1;
            let is_ejected = agent.is_ejected(now);
            failing += usize::from(is_ejected);
            let group = groups.add(weight);
            if let Some(exclusion) = exclusion_of(*address) {
                group.offered += usize::from(exclusion == Exclusion::WasOffered);
                continue;
            }
            let salt = petrellatch_proto::pass_through::pack_address(*address);
            let tie_break = flow_digest(flow, salt) as f64 / u64::MAX as f64;
            let cost = agent.cost(now, self.zone, &service_load) + tie_break * tie_millis;
            group.best_with_ejected.note(*address, cost);
            let penalty = if is_ejected { EJECTED_COST } else { 0.0 };
            group.best.note(*address, cost + penalty);
        }
        let ignore_ejection = failing > (serving as f64 * MAX_EJECTED_FRACTION) as usize;
        let point = flow_digest(flow, GROUP_SALT) as f64 / u64::MAX as f64;
        let best = groups.select(point, |group: &BestAgents| {
            let best = group.best(ignore_ejection);
            let is_likely = best.cost < DEPRIORITIZED_COST && group.offered < MAX_OFFERS_PER_WEIGHT;
            best.address.map(|_| is_likely)
        });
        let best = best?.best(ignore_ejection);
        best.address.map(|address| ChosenAgent {
            address,
            ignore_ejection,
        })
    }
}

impl BestAgents {
    fn best(&self, ignore_ejection: bool) -> Best {
        match ignore_ejection {
            true => self.best_with_ejected,
            false => self.best,
        }
    }
}

impl Best {
    fn note(&mut self, address: SocketAddrV4, cost: f64) {
        if self.address.is_none() || cost < self.cost {
            *self = Best {
                address: Some(address),
                cost,
            };
        }
    }
}
