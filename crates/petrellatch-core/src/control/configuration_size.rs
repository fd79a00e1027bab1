//! The size of everything that operators have configured.

use petrellatch_proto::record::{Record, RecordChange, RecordKey};
use prost::Message;

use crate::cluster::ClusterView;
use crate::identity::{BackendId, ServiceId};

/// The encoded size of all services, back ends and policies, in bytes.
pub(super) fn of_view(view: &ClusterView) -> usize {
    let services = view.services().map(Message::encoded_len);
    let backends = view.backends().map(Message::encoded_len);
    let policies = view.policies().map(Message::encoded_len);
    services.chain(backends).chain(policies).sum()
}

/// The encoded size after changes to a view with `before` bytes.
pub(super) fn after(before: usize, view: &ClusterView, changes: &[RecordChange]) -> usize {
    let removed: usize = changes
        .iter()
        .filter_map(RecordChange::key)
        .map(|key| of_record(view, &key))
        .sum();
    let added: usize = changes.iter().map(put_bytes).sum();
    before + added - removed
}

fn put_bytes(change: &RecordChange) -> usize {
    match &change.put {
        Some(Record::Service(service)) => service.encoded_len(),
        Some(Record::Backend(backend)) => backend.encoded_len(),
        Some(Record::Policy(policy)) => policy.encoded_len(),
        Some(Record::Member(_) | Record::Placement(_)) | None => 0,
    }
}

fn of_record(view: &ClusterView, key: &RecordKey) -> usize {
    let bytes = match key {
        RecordKey::Service(id) => view.service(ServiceId(*id)).map(Message::encoded_len),
        RecordKey::Backend(id) => view.backend(BackendId(*id)).map(Message::encoded_len),
        RecordKey::Policy(name) => view.policy(name).map(Message::encoded_len),
        RecordKey::Member(_) | RecordKey::Placement(_) => None,
    };
    bytes.unwrap_or(0)
}
