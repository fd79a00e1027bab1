//! The replicated placement policies, as of an index of the log.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PlacementPolicy, PolicyChange, PolicySet, unpack_address};
use prost::Message;
use snafu::Snafu;

/// Maximum number of policies.
pub const MAX_PLACEMENT_POLICIES: usize = 64;
/// Maximum encoded size of all policies together, in bytes: balancers receive them in one
/// datagram.
pub const MAX_POLICY_BYTES: usize = 24 * 1024;
/// Maximum length of a policy's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a change of the policies is refused. A refused change has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PolicyRefusal {
    /// The name is empty or too long.
    #[snafu(display("a policy needs a name of at most {MAX_NAME_BYTES} bytes"))]
    BadName,
    /// The change is not based on the current policies.
    #[snafu(display("the policies have changed since {based_on}; they are at {current}"))]
    Conflict {
        /// The index that the change is based on.
        based_on: u64,
        /// The current index.
        current: u64,
    },
    /// There would be too many policies, or they would be too large together.
    #[snafu(display(
        "there may be {MAX_PLACEMENT_POLICIES} policies of {MAX_POLICY_BYTES} bytes together"
    ))]
    TooLarge,
    /// Another policy already places the flows of a service or route.
    #[snafu(display("the policy {other} places flows of {scope} already"))]
    SharedScope {
        /// The other policy.
        other: String,
        /// The service or route.
        scope: String,
    },
    /// The policy doesn't compile, or its result for a back end is not valid.
    #[snafu(display("{message}"))]
    Invalid {
        /// The error and its position in the policy.
        message: String,
    },
}

/// All policies, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPolicies {
    index: u64,
    policies: BTreeMap<String, PlacementPolicy>,
}

impl PlacementPolicies {
    /// Log index of the latest change that had an effect; zero if there was none.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The policies, by name.
    pub fn iter(&self) -> impl Iterator<Item = &PlacementPolicy> {
        self.policies.values()
    }

    /// The policy that places the flows of a service.
    pub fn for_service(&self, service: &str) -> Option<&PlacementPolicy> {
        let places_service =
            |policy: &&PlacementPolicy| policy.services.iter().any(|it| it == service);
        self.iter().find(places_service)
    }

    /// Applies a change. A change whose result is already there is not refused and has no
    /// effect, so that it can be sent again. Returns whether anything changed.
    ///
    /// # Errors
    ///
    /// Returns why the change is refused. It has no effect at any replica then.
    pub(crate) fn apply(
        &mut self,
        index: u64,
        change: &PolicyChange,
    ) -> Result<bool, PolicyRefusal> {
        if self.has_no_effect(change) {
            return Ok(false);
        }
        let current = self.index;
        if let Some(based_on) = change.base_index.filter(|it| *it != current) {
            return Err(PolicyRefusal::Conflict { based_on, current });
        }
        match &change.put {
            Some(policy) => self.put(policy)?,
            None => {
                self.policies.remove(&change.removed);
            }
        }
        self.index = index;
        Ok(true)
    }

    /// Whether a change would have no effect.
    fn has_no_effect(&self, change: &PolicyChange) -> bool {
        match &change.put {
            Some(policy) => self.policies.get(&policy.name) == Some(policy),
            None => !self.policies.contains_key(&change.removed),
        }
    }

    fn put(&mut self, policy: &PlacementPolicy) -> Result<(), PolicyRefusal> {
        if policy.name.is_empty() || policy.name.len() > MAX_NAME_BYTES {
            return Err(PolicyRefusal::BadName);
        }
        self.check_scope(policy)?;
        let mut next = self.policies.clone();
        next.insert(policy.name.clone(), policy.clone());
        let bytes: usize = next.values().map(Message::encoded_len).sum();
        if next.len() > MAX_PLACEMENT_POLICIES || bytes > MAX_POLICY_BYTES {
            return Err(PolicyRefusal::TooLarge);
        }
        self.policies = next;
        Ok(())
    }

    /// Refuses a policy for a service or route that another policy already has.
    fn check_scope(&self, policy: &PlacementPolicy) -> Result<(), PolicyRefusal> {
        for other in self.iter().filter(|other| other.name != policy.name) {
            let service = policy
                .services
                .iter()
                .find(|it| other.services.contains(it));
            let route = policy.routes.iter().find(|it| other.routes.contains(it));
            let scope = match (service, route) {
                (Some(service), _) => format!("the service {service}"),
                (None, Some(route)) => format!("the route {}", unpack_address(*route)),
                (None, None) => continue,
            };
            let other = other.name.clone();
            return Err(PolicyRefusal::SharedScope { other, scope });
        }
        Ok(())
    }

    /// Replaces the policies by those of another process, if these are newer. Returns
    /// whether they were.
    pub(crate) fn take_newer(&mut self, update: &PolicySet) -> bool {
        let is_newer = update.index > self.index;
        if is_newer {
            *self = PlacementPolicies::from_message(update);
        }
        is_newer
    }

    pub(crate) fn from_message(update: &PolicySet) -> PlacementPolicies {
        let policies = update.policies.iter();
        let policies = policies.map(|policy| (policy.name.clone(), policy.clone()));
        PlacementPolicies {
            index: update.index,
            policies: policies.collect(),
        }
    }

    pub(crate) fn to_message(&self) -> PolicySet {
        PolicySet {
            index: self.index,
            policies: self.policies.values().cloned().collect(),
        }
    }

    /// The update for a process that has the policies of index `known`; `None` if it is up to
    /// date.
    pub(crate) fn updates_since(&self, known: u64) -> Option<PolicySet> {
        (self.index > known).then(|| self.to_message())
    }
}

/// The routes of a policy, as addresses.
pub(crate) fn routes(policy: &PlacementPolicy) -> impl Iterator<Item = SocketAddrV4> + '_ {
    policy.routes.iter().copied().map(unpack_address)
}
