//! Computes the edits that turn one document into another.

use std::collections::BTreeSet;

use crate::api::{BackendDocument, Document, EditDocument};

/// Returns the edits that put the entries of `wanted`, ordered so that each name
/// exists before another entry refers to it. With `prune`, entries that
/// `wanted` does not name are removed.
pub fn edits_between(current: &Document, wanted: &Document, prune: bool) -> Vec<EditDocument> {
    let mut edits = puts(current, wanted);
    if prune {
        edits.extend(removals(current, wanted));
    }
    edits
}

fn puts(current: &Document, wanted: &Document) -> Vec<EditDocument> {
    let policies = wanted
        .policies
        .iter()
        .filter(|policy| !current.policies.contains(policy))
        .map(|policy| EditDocument::PutPolicy(policy.clone()));
    let services = wanted
        .services
        .iter()
        .filter(|service| !current.services.contains(service))
        .map(|service| EditDocument::PutService(service.clone()));
    let backends = wanted
        .backends
        .iter()
        .filter(|backend| !contains_backend(&current.backends, backend))
        .map(|backend| EditDocument::PutBackend(backend.clone()));
    policies.chain(services).chain(backends).collect()
}

/// Returns whether an equal back end exists already. The drain flag is ignored,
/// since documents don't set it.
fn contains_backend(backends: &[BackendDocument], wanted: &BackendDocument) -> bool {
    backends.iter().any(|backend| {
        let comparable = BackendDocument {
            draining: wanted.draining,
            ..backend.clone()
        };
        comparable == *wanted
    })
}

fn removals(current: &Document, wanted: &Document) -> Vec<EditDocument> {
    let kept: BTreeSet<&str> = wanted
        .backends
        .iter()
        .map(|item| item.name.as_str())
        .collect();
    let backends = current
        .backends
        .iter()
        .filter(|backend| !kept.contains(backend.name.as_str()))
        .map(|backend| EditDocument::RemoveBackend(backend.name.clone()));
    let kept: BTreeSet<&str> = wanted
        .services
        .iter()
        .map(|item| item.name.as_str())
        .collect();
    let services = current
        .services
        .iter()
        .filter(|service| !kept.contains(service.name.as_str()))
        .map(|service| EditDocument::RemoveService(service.name.clone()));
    let kept: BTreeSet<&str> = wanted
        .policies
        .iter()
        .map(|item| item.name.as_str())
        .collect();
    let policies = current
        .policies
        .iter()
        .filter(|policy| !kept.contains(policy.name.as_str()))
        .map(|policy| EditDocument::RemovePolicy(policy.name.clone()));
    backends.chain(services).chain(policies).collect()
}
