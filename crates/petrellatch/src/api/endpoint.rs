//! The endpoints of the operator API.

/// One endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Changes the configuration.
    Change,
    /// Reads the configuration.
    Configuration,
    /// Reads the state of the cluster.
    Status,
    /// Reads the progress of a version.
    Progress,
    /// Reads the placement policies of the pass-through tier.
    Policies,
    /// Puts or removes a placement policy of the pass-through tier.
    ChangePolicies,
    /// Checks a policy without applying it.
    CheckPolicy,
    /// Explains what a policy decides for each back end of a service.
    ExplainPolicy,
    /// Changes the set of control replicas.
    ChangeReplicas,
}

impl Endpoint {
    /// All endpoints, in the order of the documentation.
    pub const ALL: [Endpoint; 9] = [
        Endpoint::Change,
        Endpoint::Configuration,
        Endpoint::Status,
        Endpoint::Progress,
        Endpoint::Policies,
        Endpoint::ChangePolicies,
        Endpoint::CheckPolicy,
        Endpoint::ExplainPolicy,
        Endpoint::ChangeReplicas,
    ];

    /// Returns the HTTP method.
    pub const fn method(self) -> &'static str {
        match self {
            Endpoint::Change
            | Endpoint::ChangePolicies
            | Endpoint::CheckPolicy
            | Endpoint::ChangeReplicas => "POST",
            Endpoint::Configuration
            | Endpoint::Status
            | Endpoint::Progress
            | Endpoint::Policies
            | Endpoint::ExplainPolicy => "GET",
        }
    }

    /// Returns the path.
    pub const fn path(self) -> &'static str {
        match self {
            Endpoint::Change => "/v1/changes",
            Endpoint::Configuration => "/v1/configuration",
            Endpoint::Status => "/v1/status",
            Endpoint::Progress => "/v1/progress",
            Endpoint::Policies | Endpoint::ChangePolicies => "/v1/policies",
            Endpoint::CheckPolicy => "/v1/policies/check",
            Endpoint::ExplainPolicy => "/v1/policies/explain",
            Endpoint::ChangeReplicas => "/v1/replicas",
        }
    }

    /// Finds the endpoint of a request.
    pub fn find(method: &str, path: &str) -> Option<Endpoint> {
        Endpoint::ALL
            .into_iter()
            .find(|endpoint| endpoint.method() == method && endpoint.path() == path)
    }
}
