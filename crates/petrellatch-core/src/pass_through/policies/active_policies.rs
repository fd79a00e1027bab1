//! The policies that a balancer uses. They are compiled once, and their results are cached
//! for each agent until an input changes.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PlacementPolicy, PolicySet};

use super::placement_policies::{PlacementPolicies, routes};
use crate::pass_through::choice::known_agent::KnownAgent;
use crate::pass_through::digest::service_digest;
use crate::policy::{Policy, PolicyError, PolicySource, ServiceView};
use crate::time::Timestamp;

/// Identifies the inputs of an agent's cached result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InputStamp {
    /// Revision of the agent's profile, or of its load if the policy reads that.
    revision: u64,
    is_ejected: bool,
    /// Age of the back end if the policy reads it, or else zero.
    age_seconds: u64,
}

/// A cached result.
#[derive(Clone, Copy, Debug)]
struct Evaluated {
    stamp: InputStamp,
    /// `None` if the back end is not eligible or the policy failed for it.
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
    /// Evaluations for one back end.
    evaluations: u64,
    /// Services that had no eligible back end at the latest choice.
    without_backend: BTreeSet<u64>,
}

/// All active policies of a balancer.
#[derive(Debug, Default)]
pub(crate) struct ActivePolicies {
    /// The balancer's zone. Policies see it as the callers' zone.
    zone: String,
    definitions: PlacementPolicies,
    policies: Vec<ActivePolicy>,
    by_service: HashMap<u64, usize>,
    by_route: HashMap<SocketAddrV4, usize>,
    choice: ChoiceCounts,
    /// The policy that has just left a service without an eligible back end.
    newly_without_backend: Option<usize>,
}

/// Number of agents considered in one choice.
#[derive(Clone, Copy, Debug, Default)]
struct ChoiceCounts {
    agents: usize,
    eligible: usize,
}

/// Statistics of one policy since the start, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyStats {
    /// Name of the policy.
    pub name: String,
    /// New flows that it placed.
    pub placed: u64,
    /// Evaluations for one back end.
    pub evaluations: u64,
    /// Back ends that are eligible by its latest results.
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

    /// Statistics of each policy. Only back ends whose agents are known are counted.
    pub(crate) fn stats(&self, is_known: impl Fn(SocketAddrV4) -> bool) -> Vec<PolicyStats> {
        let policies = self.policies.iter();
        policies.map(|policy| policy.stats(&is_known)).collect()
    }

    /// Replaces the policies by those of a replica, if these are newer. Returns whether they
    /// were.
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

    /// Index of the policy that places the new flows of a route and service. A policy of the
    /// route takes precedence.
    pub(crate) fn find(&self, route: SocketAddrV4, service: u64) -> Option<usize> {
        let of_route = self.by_route.get(&route);
        of_route.or_else(|| self.by_service.get(&service)).copied()
    }

    /// Name of a policy, by an index from [`ActivePolicies::find`].
    pub(crate) fn name(&self, index: usize) -> &str {
        self.policies.get(index).map_or("", |it| it.name.as_str())
    }

    /// The weight that a policy gives an agent; `None` if the weight is zero or the back end
    /// is not eligible.
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

    /// Starts to count the agents of a choice.
    pub(crate) fn begin_choice(&mut self) {
        self.choice = ChoiceCounts::default();
    }

    /// Notes whether a policy left any eligible agent of a service. That it left none is
    /// noted only if the choice `includes_starting` agents, as otherwise some may be eligible.
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

    /// Whether the policy of a route and service leaves no eligible agent.
    pub(crate) fn excludes_all(&self, route: SocketAddrV4, service: u64) -> bool {
        let policy = self.find(route, service);
        let policy = policy.and_then(|index| self.policies.get(index));
        policy.is_some_and(|policy| policy.without_backend.contains(&service))
    }

    /// Takes the name of a policy that has just left a service without an eligible agent.
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
        // A policy that the replicas accepted but that doesn't compile here makes no back end
        // eligible, like a policy that fails for a back end.
        let policy = self.compiled.as_ref().ok()?;
        let stamp = InputStamp::of(policy, now, agent);
        let cached = self.results.get(&address);
        if let Some(cached) = cached.filter(|cached| cached.stamp == stamp) {
            return cached.weight;
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
