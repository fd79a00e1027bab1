//! The policies in force at a balancer, compiled once, with their results for each agent
//! as long as what they read stays the same.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PlacementPolicy, PolicySet};

use super::placement_policies::{PlacementPolicies, routes};
use crate::pass_through::choice::known_agent::KnownAgent;
use crate::pass_through::digest::service_digest;
use crate::policy::{Policy, PolicyError, PolicySource, ServiceView};
use crate::time::Timestamp;

/// What of an agent a result rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InputStamp {
    /// Number of the agent's profile, or of its load where the policy reads that.
    revision: u64,
    is_ejected: bool,
    /// Age of the back end where the policy reads it.
    age_seconds: u64,
}

/// A result with what it rests on.
#[derive(Clone, Copy, Debug)]
struct Evaluated {
    stamp: InputStamp,
    /// None if the back end is not eligible.
    weight: Option<f64>,
}

/// One policy at a balancer.
#[derive(Debug)]
pub(crate) struct ActivePolicy {
    name: String,
    compiled: Result<Policy, PolicyError>,
    results: HashMap<SocketAddrV4, Evaluated>,
    /// New flows that it placed.
    placed: u64,
    evaluations: u64,
    /// Services for which it made no back end eligible when it was asked last.
    without_backend: BTreeSet<u64>,
}

/// All policies in force at a balancer.
#[derive(Debug, Default)]
pub(crate) struct ActivePolicies {
    /// The balancer's zone, which is its callers'.
    zone: String,
    definitions: PlacementPolicies,
    policies: Vec<ActivePolicy>,
    by_service: HashMap<u64, usize>,
    by_route: HashMap<SocketAddrV4, usize>,
    choice: ChoiceCounts,
    /// The policy that has just been found to make no back end of a service eligible.
    newly_without_backend: Option<usize>,
}

/// Agents that one choice has looked at.
#[derive(Clone, Copy, Debug, Default)]
struct ChoiceCounts {
    agents: usize,
    eligible: usize,
}

/// What a policy did so far, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyStats {
    /// The policy.
    pub name: String,
    /// New flows that it placed.
    pub placed: u64,
    /// Its evaluations.
    pub evaluations: u64,
    /// Back ends that were eligible by its latest results.
    pub eligible: usize,
}

impl ActivePolicies {
    pub(crate) fn new(zone: &str) -> ActivePolicies {
        ActivePolicies {
            zone: zone.to_owned(),
            ..ActivePolicies::default()
        }
    }

    pub(crate) fn index(&self) -> u64 {
        self.definitions.index()
    }

    /// What each policy did. Of back ends only those count whose agents are known.
    pub(crate) fn stats(&self, is_known: impl Fn(SocketAddrV4) -> bool) -> Vec<PolicyStats> {
        let policies = self.policies.iter();
        policies.map(|policy| policy.stats(&is_known)).collect()
    }

    /// Takes what a replica told, if that is newer. Returns whether it is.
    pub(crate) fn take_newer(&mut self, update: &PolicySet) -> bool {
        if !self.definitions.take_newer(update) {
            return false;
        }
        let mut previous = std::mem::take(&mut self.policies);
        self.by_service.clear();
        self.by_route.clear();
        for (index, definition) in self.definitions.iter().enumerate() {
            let counts = previous.iter_mut().find(|it| it.name == definition.name);
            let counts = counts.map_or((0, 0), |it| (it.placed, it.evaluations));
            self.policies.push(ActivePolicy::new(definition, counts));
            let services = definition.services.iter();
            let services = services.map(|service| (service_digest(service), index));
            self.by_service.extend(services);
            self.by_route
                .extend(routes(definition).map(|it| (it, index)));
        }
        true
    }

    /// The policy that places the new flows of a route and service.
    pub(crate) fn find(&self, route: SocketAddrV4, service: u64) -> Option<usize> {
        let of_route = self.by_route.get(&route);
        of_route.or_else(|| self.by_service.get(&service)).copied()
    }

    /// Name of a policy that [`ActivePolicies::find`] found.
    pub(crate) fn name(&self, index: usize) -> &str {
        self.policies.get(index).map_or("", |it| it.name.as_str())
    }

    /// The weight that a policy gives an agent; none if that is zero or its back end is not
    /// eligible.
    pub(crate) fn weight(
        &mut self,
        index: usize,
        now: Timestamp,
        address: SocketAddrV4,
        agent: &KnownAgent,
    ) -> Option<f64> {
        let policy = self.policies.get_mut(index)?;
        let weight = policy.weight(now, &self.zone, address, agent);
        let weight = weight.filter(|weight| *weight > 0.0);
        self.choice.agents += 1;
        self.choice.eligible += usize::from(weight.is_some());
        weight
    }

    /// Begins to count the agents of a choice.
    pub(crate) fn begin_choice(&mut self) {
        self.choice = ChoiceCounts::default();
    }

    /// Notes whether a policy left any agent of a service to choose from. That it left none
    /// counts only if the choice was among `all` agents, also those that have just started.
    pub(crate) fn end_choice(&mut self, index: usize, service: u64, includes_starting: bool) {
        let ChoiceCounts { agents, eligible } = self.choice;
        let Some(policy) = self.policies.get_mut(index).filter(|_| agents > 0) else {
            return;
        };
        if eligible > 0 {
            policy.without_backend.remove(&service);
        } else if includes_starting && policy.without_backend.insert(service) {
            self.newly_without_backend = Some(index);
        }
    }

    /// Whether the policy of a route and service leaves no agent to choose from.
    pub(crate) fn excludes_all(&self, route: SocketAddrV4, service: u64) -> bool {
        let policy = self.find(route, service);
        let policy = policy.and_then(|index| self.policies.get(index));
        policy.is_some_and(|policy| policy.without_backend.contains(&service))
    }

    /// Name of the policy that has begun to leave no agent to choose from, once.
    pub(crate) fn take_policy_without_backend(&mut self) -> Option<String> {
        let index = self.newly_without_backend.take()?;
        Some(self.name(index).to_owned())
    }

    pub(crate) fn note_placed(&mut self, index: usize) {
        if let Some(policy) = self.policies.get_mut(index) {
            policy.placed += 1;
        }
    }
}

impl ActivePolicy {
    fn new(definition: &PlacementPolicy, (placed, evaluations): (u64, u64)) -> ActivePolicy {
        let source = PolicySource {
            eligible: definition.eligible.clone(),
            weight: definition.weight.clone(),
        };
        ActivePolicy {
            name: definition.name.clone(),
            compiled: Policy::compile(&source),
            results: HashMap::new(),
            placed,
            evaluations,
            without_backend: BTreeSet::new(),
        }
    }

    fn stats(&self, is_known: impl Fn(SocketAddrV4) -> bool) -> PolicyStats {
        let known = self
            .results
            .iter()
            .filter(|(address, _)| is_known(**address));
        let eligible = known.filter(|(_, result)| result.weight.is_some());
        PolicyStats {
            name: self.name.clone(),
            placed: self.placed,
            evaluations: self.evaluations,
            eligible: eligible.count(),
        }
    }

    fn weight(
        &mut self,
        now: Timestamp,
        zone: &str,
        address: SocketAddrV4,
        agent: &KnownAgent,
    ) -> Option<f64> {
        // A policy that was accepted elsewhere and can't be compiled here lets nobody
        // through, as one that fails for a back end does.
        let policy = self.compiled.as_ref().ok()?;
        let stamp = InputStamp::of(policy, now, agent);
        let known = self.results.get(&address);
        if let Some(known) = known.filter(|known| known.stamp == stamp) {
            return known.weight;
        }
        self.evaluations += 1;
        let service = ServiceView {
            name: agent.profile.service.clone(),
            zone: Some(zone.to_owned()),
            ..ServiceView::default()
        };
        let backend = agent.profile.view(now, &agent.condition(now));
        let evaluation = policy.evaluate(&service, &backend).ok();
        let weight = evaluation.filter(|it| it.eligible).map(|it| it.weight);
        self.results.insert(address, Evaluated { stamp, weight });
        weight
    }
}

impl InputStamp {
    fn of(policy: &Policy, now: Timestamp, agent: &KnownAgent) -> InputStamp {
        let revision = match policy.reads_load() {
            true => agent.load_revision,
            false => agent.profile_revision,
        };
        let age_seconds = match policy.reads_age() {
            true => agent.profile.age(now).as_secs(),
            false => 0,
        };
        InputStamp {
            revision,
            is_ejected: agent.is_ejected(now),
            age_seconds,
        }
    }
}
