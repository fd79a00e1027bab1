//! Messages about placement policies: changes by operators, and the current set.

/// A placement policy, with the services and routes whose new flows it places.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PlacementPolicy {
    /// Name given by the operator.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether a back end may receive new flows: an expression of type boolean.
    #[prost(string, tag = "2")]
    pub eligible: String,
    /// Weight of a back end relative to others: an expression of type number, at least zero.
    #[prost(string, tag = "3")]
    pub weight: String,
    /// Names of the services that it applies to.
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
    /// Addresses of the routes that it applies to. A route's policy takes precedence over its
    /// service's.
    #[prost(fixed64, repeated, tag = "5")]
    pub routes: Vec<u64>,
}

/// An operator's change of the placement policies: one command of the replicated log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PolicyChange {
    /// Random identifier of the change.
    #[prost(fixed64, tag = "1")]
    pub change_id: u64,
    /// [`PolicySet::index`] that the change is based on; `None` if it applies unconditionally.
    #[prost(uint64, optional, tag = "2")]
    pub base_index: Option<u64>,
    /// Policy to add, or to replace the one of the same name.
    #[prost(message, optional, tag = "3")]
    pub put: Option<PlacementPolicy>,
    /// Name of the policy to remove, if `put` isn't set.
    #[prost(string, tag = "4")]
    pub removed: String,
}

/// All placement policies.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PolicySet {
    /// Log index of the latest change that had an effect; zero if there was none. A set with a
    /// higher index is newer.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Policies, sorted by name.
    #[prost(message, repeated, tag = "2")]
    pub policies: Vec<PlacementPolicy>,
}

/// Properties of a back end that policies may use and that its agent can't observe.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BackendDescription {
    /// Name under which the back end has registered.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Free-form labels.
    #[prost(btree_map = "string, string", tag = "2")]
    pub labels: std::collections::BTreeMap<String, String>,
    /// Time since the back end's start, as far as its agent has observed, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
}
