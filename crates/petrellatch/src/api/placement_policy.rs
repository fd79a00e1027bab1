//! Placement policies of the pass-through tier, as operators write and read them.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{PlacementPolicy, pack_address, unpack_address};
use serde::{Deserialize, Serialize};

/// A policy with the services and routes whose new flows it places.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementPolicyDocument {
    /// The name.
    pub name: String,
    /// Whether a back end may receive new flows: a boolean.
    pub eligible: String,
    /// The weight of a back end relative to the others: a number from 0.
    pub weight: String,
    /// Names of services.
    #[serde(default)]
    pub services: Vec<String>,
    /// Addresses and ports of routes; these take precedence over services.
    #[serde(default)]
    pub routes: Vec<SocketAddrV4>,
}

/// The policies in a file. Other content of the file is ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlacementPolicyFile {
    /// The policies.
    #[serde(default)]
    pub policies: Vec<PlacementPolicyDocument>,
}

/// A change of the policies: puts one, or removes one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyChangeRequest {
    /// The policy to put; it replaces one of the same name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<PlacementPolicyDocument>,
    /// Name of the policy to remove.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// Index of the policies that the change is based on; absent if the change is unconditional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// The response to a policy change, sent once the change is durable.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PolicyChangeAccepted {
    /// Index of the policies.
    pub index: u64,
    /// Whether the change had an effect; if not, the policies were in that state already.
    pub changed: bool,
}

/// All policies.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PlacementPolicyList {
    /// Index of the policies, for [`PolicyChangeRequest::based_on`].
    pub index: u64,
    /// The policies, by name.
    pub policies: Vec<PlacementPolicyDocument>,
}

impl From<&PlacementPolicyDocument> for PlacementPolicy {
    fn from(document: &PlacementPolicyDocument) -> Self {
        PlacementPolicy {
            name: document.name.clone(),
            eligible: document.eligible.clone(),
            weight: document.weight.clone(),
            services: document.services.clone(),
            routes: document.routes.iter().copied().map(pack_address).collect(),
        }
    }
}

impl From<&PlacementPolicy> for PlacementPolicyDocument {
    fn from(policy: &PlacementPolicy) -> Self {
        PlacementPolicyDocument {
            name: policy.name.clone(),
            eligible: policy.eligible.clone(),
            weight: policy.weight.clone(),
            services: policy.services.clone(),
            routes: policy.routes.iter().copied().map(unpack_address).collect(),
        }
    }
}
