//! Configuration changes by operators.

use petrellatch_proto::command::{DrainTarget, Edit, EditKind, OperatorChange, SetDrain};
use serde::{Deserialize, Serialize};

use super::document::{BackendDocument, PolicyDocument, ServiceDocument};

/// A change: all its edits take effect, or none.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Request id, chosen by the client and the same in each retry.
    pub request_id: String,
    /// The configuration version that the client has read.
    pub based_on: u64,
    /// The edits.
    pub edits: Vec<EditDocument>,
}

/// The response to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ChangeAccepted {
    /// The version that the change created.
    pub version: u64,
}

/// One edit.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EditDocument {
    /// Creates or replaces a policy by name.
    PutPolicy(PolicyDocument),
    /// Creates or replaces a service by name.
    PutService(ServiceDocument),
    /// Creates or replaces a back end by name.
    PutBackend(BackendDocument),
    /// Removes a policy by name.
    RemovePolicy(String),
    /// Removes a service by name.
    RemoveService(String),
    /// Removes a back end by name.
    RemoveBackend(String),
    /// Starts or ends a drain.
    SetDrain(DrainEdit),
}

/// What is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainKind {
    /// A back end by name.
    Backend,
    /// A balancer or agent by node name.
    Node,
    /// All back ends of a zone, also those that are created while it is drained.
    Zone,
}

/// Starts or ends a drain.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainEdit {
    /// What is drained.
    pub target: DrainKind,
    /// Its name.
    pub name: String,
    /// Whether the drain starts (true) or ends (false).
    pub draining: bool,
}

impl From<&ChangeRequest> for OperatorChange {
    fn from(request: &ChangeRequest) -> Self {
        OperatorChange {
            request_id: request.request_id.clone(),
            based_on: request.based_on,
            edits: request.edits.iter().map(Edit::from).collect(),
        }
    }
}

impl From<&EditDocument> for Edit {
    fn from(edit: &EditDocument) -> Self {
        let kind = match edit {
            EditDocument::PutPolicy(policy) => EditKind::PutPolicy(policy.into()),
            EditDocument::PutService(service) => EditKind::PutService(service.into()),
            EditDocument::PutBackend(backend) => EditKind::PutBackend(backend.into()),
            EditDocument::RemovePolicy(name) => EditKind::RemovePolicy(name.clone()),
            EditDocument::RemoveService(name) => EditKind::RemoveService(name.clone()),
            EditDocument::RemoveBackend(name) => EditKind::RemoveBackend(name.clone()),
            EditDocument::SetDrain(drain) => EditKind::SetDrain(drain.into()),
        };
        Edit { kind: Some(kind) }
    }
}

impl From<&DrainEdit> for SetDrain {
    fn from(drain: &DrainEdit) -> Self {
        let target = match drain.target {
            DrainKind::Backend => DrainTarget::Backend,
            DrainKind::Node => DrainTarget::Node,
            DrainKind::Zone => DrainTarget::Zone,
        };
        SetDrain {
            target: target.into(),
            name: drain.name.clone(),
            draining: drain.draining,
        }
    }
}
