//! Placement policies: the changes of operators, and who knows of these.

/// A policy with the services and routes whose new flows it places.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PlacementPolicy {
    /// The operator's name for it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether a back end may receive new flows: an expression for a boolean.
    #[prost(string, tag = "2")]
    pub eligible: String,
    /// How many it receives in relation to others: an expression for a number of at
    /// least zero.
    #[prost(string, tag = "3")]
    pub weight: String,
    /// Names of the services.
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
    /// Addresses of the routes. A policy of a route goes before that of its service.
    #[prost(fixed64, repeated, tag = "5")]
    pub routes: Vec<u64>,
}

/// An operator's change of the policies. It is one command of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PolicyChange {
    /// Drawn at random for the change.
    #[prost(fixed64, tag = "1")]
    pub change_id: u64,
    /// [`PolicySet::index`] that it is based on; none if it holds in any case.
    #[prost(uint64, optional, tag = "2")]
    pub base_index: Option<u64>,
    /// The policy that is put in place of one of the same name.
    #[prost(message, optional, tag = "3")]
    pub put: Option<PlacementPolicy>,
    /// Name of the policy that is removed, if none is put.
    #[prost(string, tag = "4")]
    pub removed: String,
}

/// All policies.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PolicySet {
    /// Index of the latest change in the log that had an effect; zero if there was
    /// none. The greater one of two is the newer one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The policies, by name.
    #[prost(message, repeated, tag = "2")]
    pub policies: Vec<PlacementPolicy>,
}

/// What policies read of a back end and its agent can't observe.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BackendDescription {
    /// The name under which it registered itself.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Free-form labels.
    #[prost(btree_map = "string, string", tag = "2")]
    pub labels: std::collections::BTreeMap<String, String>,
    /// For how long it has run, as far as its agent has seen, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_millis: u64,
}
