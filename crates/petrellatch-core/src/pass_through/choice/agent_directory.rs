//! A balancer's directory of agents, and the selection of an agent for a new flow.

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

/// How long an agent is ranked last after its back end returned a SYN, or after it
/// declined because its zone is evacuated and this balancer doesn't know that yet. A
/// back end that only lacked capacity completes a request in some 50 ms, well within this
/// time; one that has ended is silent to its agent for seconds.
const DEPRIORITIZED_TIME: Duration = Duration::from_millis(250);
/// Upper bound of the pseudorandom cost that spreads flows over agents of the same
/// cost, as a fraction of the service's mean processing time. It is less than the cost
/// of one more request per slot.
const TIE_BREAK_FRACTION: f64 = 0.05;
/// Salt of the hash that spreads the flows of a service over its weight groups.
const GROUP_SALT: u64 = 0x5745_4947;
/// Number of agents of one weight that a flow is offered to before agents of other
/// weights are preferred, so that the limit of offers isn't used up within one group.
const MAX_OFFERS_PER_WEIGHT: usize = 2;
/// Cost of an agent whose back end is ejected because it fails requests, in
/// milliseconds. Only suspected agents rank lower.
const EJECTED_COST: f64 = 900_000.0;
/// Maximum fraction of the back ends that may get a flow whose ejections are respected.
/// If more of them fail, the fault is elsewhere, and the others could not take over their
/// flows.
const MAX_EJECTED_FRACTION: f64 = 0.34;
/// How long an agent is suspected after it left one offer without a reply. The time
/// doubles with each consecutive one, up to [`MAX_SUSPICION`].
const INITIAL_SUSPICION: Duration = Duration::from_millis(250);
const MAX_SUSPICION: Duration = Duration::from_secs(2);
/// An agent is removed if neither the balancer nor a replica has received anything
/// from it for this time. This is checked only when a replica's directory or a change of
/// it arrives, so that no agent is removed while the replicas are unreachable.
const AGENT_TTL: Duration = Duration::from_secs(8);

/// How long a replica's statement that its directory is complete stays valid. Replicas
/// announce agents that start later at once.
const COMPLETENESS_TTL: Duration = Duration::from_millis(2_500);

/// The agent to offer a new flow to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChosenAgent {
    pub(crate) address: SocketAddrV4,
    /// Ejections are ignored, as more than [`MAX_EJECTED_FRACTION`] of the service's back
    /// ends are ejected.
    pub(crate) ignore_ejection: bool,
}

/// The agent with the lowest cost so far; the cost is in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    address: Option<SocketAddrV4>,
    cost: f64,
}

/// The best agents of one weight.
#[derive(Clone, Copy, Debug, Default)]
struct BestAgents {
    /// With the penalty for ejected back ends.
    best: Best,
    /// Without that penalty.
    best_with_ejected: Best,
    /// Number of agents that the flow was offered to before.
    offered: usize,
}

/// Why a flow is not offered to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// This flow was offered to it before.
    WasOffered,
    /// It recently declined another flow for lack of capacity.
    DeclinedRecently,
}

/// Number of agents of one service, and of those that take no new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AgentCounts {
    agents: usize,
    /// Agents whose back ends are draining.
    draining: usize,
    /// Agents whose zones are evacuated.
    evacuated: usize,
    /// Agents whose back ends were cold in their latest load message.
    cold: usize,
}

impl AgentCounts {
    /// Number of agents that may take new flows, at most: an agent that is both draining and
    /// in an evacuated zone is counted in both numbers, so that the larger one is subtracted.
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

/// The directory of one replica, as far as it was received.
#[derive(Debug, Default)]
struct ReplicaDirectory {
    revision: u64,
    /// When the replica stated last that this revision has every running agent.
    complete_at: Option<Timestamp>,
    agents: BTreeSet<SocketAddrV4>,
    reassembly: Reassembly,
}

/// All agents that a balancer knows, from replicas and from their own messages.
#[derive(Debug, Default)]
pub(crate) struct AgentDirectory {
    /// Digest of the balancer's own zone.
    zone: u64,
    /// Digests of the evacuated zones.
    evacuated: BTreeSet<u64>,
    /// Makes this balancer choose other relays than its peers do.
    salt: u64,
    replicas: BTreeMap<SocketAddrV4, ReplicaDirectory>,
    agents: BTreeMap<SocketAddrV4, KnownAgent>,
    /// Mean load figures of each service, by its digest.
    service_loads: BTreeMap<u64, ServiceLoad>,
    /// Number of agents added since the start.
    total_added: u64,
    /// First revision of an agent that is added. It is above all revisions of removed
    /// agents, so that no cached policy result of those is taken for a new agent's.
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

    /// Number of agents added since the start. A search that recorded a lower number when
    /// it queried all agents has not queried the latest ones.
    pub(crate) fn total_added(&self) -> u64 {
        self.total_added
    }

    /// All agents, or those of one service, as targets of a flow search. Unless
    /// `replies_on_time` is set, no agent is regarded as absent.
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

    /// Notes that a flow query was sent to an agent.
    pub(crate) fn note_queried(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.unanswered_since.get_or_insert(now);
        }
    }

    /// Notes that an agent replied to a relayed query.
    pub(crate) fn note_replied(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.last_seen_at = now;
            agent.unanswered_since = None;
        }
    }

    /// The agent that relays a query to the others: one that replies to queries if there
    /// is any, and another one for each query.
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

    /// Replaces the set of evacuated zones.
    pub(crate) fn set_evacuated(&mut self, evacuations: &Evacuations) {
        let zones = evacuations.evacuated_zones();
        self.evacuated = zones.map(|record| zone_digest(&record.zone)).collect();
    }

    /// Whether any agent of a service is known.
    pub(crate) fn has_service(&self, service: u64) -> bool {
        self.agents.values().any(|agent| agent.service == service)
    }

    /// Number of known agents of a service, and of those that take no new flows.
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

    /// The latest revision received from a replica; zero for none.
    pub(crate) fn revision_of(&self, replica: SocketAddrV4) -> u64 {
        let replica_directory = self.replicas.get(&replica);
        replica_directory.map_or(0, |replica_directory| replica_directory.revision)
    }

    /// Whether every running agent is known.
    pub(crate) fn is_complete(&self, now: Timestamp) -> bool {
        let is_fresh = |at| now.saturating_since(at) < COMPLETENESS_TTL;
        let mut replicas = self.replicas.values();
        replicas.any(|replica_directory| replica_directory.complete_at.is_some_and(is_fresh))
    }

    /// Handles the revision of a replica's directory, and whether that is complete. If it
    /// is the revision received before, the replica still receives reports of all agents
    /// in it, so that they count as seen now.
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

    /// Handles one part of a replica's directory.
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
            // Revisions of a previous incarnation at the address must not be used again.
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

    /// Notes a message that came from the agent itself. Returns whether the agent was
    /// suspected until now.
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

    /// Whether an agent has recently left an offer without a reply.
    pub(crate) fn is_suspected(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.get(address).is_some_and(|it| now < it.suspected_until)
    }

    /// Notes an agent's state, which is valid until its next report.
    pub(crate) fn note_state(&mut self, address: SocketAddrV4, state: AgentState) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.note_state(state);
        }
    }

    /// Notes that an agent declined for a reason that lasts for a while.
    pub(crate) fn note_deprioritized(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.deprioritized_until = now + DEPRIORITIZED_TIME;
        }
    }

    /// Notes a request on a flow that this balancer has known for `flow_age`.
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

    /// Notes that an agent did not reply to an offer in time. Returns whether the agent
    /// becomes suspected by that.
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

    /// Selects the agent of a service for a new flow. Agents that have just started are
    /// considered only with `include_starting`, and rank after the others.
    ///
    /// `weight_of` returns an agent's share of new flows relative to the others, which is
    /// greater than zero, or `None` if the agent may get none. Among agents of one weight
    /// the one with the lowest cost is selected.
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
        let mut ejected = 0;
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
            ejected += usize::from(is_ejected);
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
        let ignore_ejection = ejected > (serving as f64 * MAX_EJECTED_FRACTION) as usize;
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
