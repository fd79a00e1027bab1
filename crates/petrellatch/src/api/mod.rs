//! JSON documents of the operator API.
//!
//! The documents that operators write in TOML have the same fields.

mod change;
mod document;
mod endpoint;
mod error_body;
mod placement_policy;
mod status;

pub use change::{ChangeAccepted, ChangeRequest, DrainEdit, DrainKind, EditDocument};
pub use document::{
    BackendDocument, Configuration, Document, DocumentError, PolicyDocument, Refusal,
    ServiceDocument,
};
pub use endpoint::Endpoint;
pub use error_body::{ErrorBody, ErrorDocument, kind_by_name};
pub use placement_policy::{
    PlacementPolicyDocument, PlacementPolicyFile, PlacementPolicyList, PolicyChangeAccepted,
    PolicyChangeRequest,
};
pub use status::{
    AnnouncedReplica, BackendShare, MemberStatus, PolicyCheck, PolicyCheckRequest, PolicyDecision,
    PolicyExplanation, ProgressDocument, ReplicaAction, ReplicaRequest, ReplicaStatus,
    ReplicasChanging, ServiceStatus, StatusDocument,
};
