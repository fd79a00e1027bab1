//! Compiled policies.

use std::collections::BTreeMap;

use petrellatch_proto::record::PolicyRecord;

use crate::policy::{Policy, PolicySource};

/// The newest compiled form of each policy in use.
#[derive(Debug, Default)]
pub(super) struct PolicyCache {
    policies: BTreeMap<String, Option<Policy>>,
    records: BTreeMap<String, PolicyRecord>,
}

impl PolicyCache {
    /// Returns the compiled policy; none if it doesn't compile with this
    /// version of the program.
    pub(super) fn get(&mut self, record: &PolicyRecord) -> Option<&Policy> {
        if self.records.get(&record.name) != Some(record) {
            let compiled = Policy::compile(&source(record)).ok();
            self.policies.insert(record.name.clone(), compiled);
            self.records.insert(record.name.clone(), record.clone());
        }
        self.policies.get(&record.name)?.as_ref()
    }
}

/// Returns the text of a policy.
pub(super) fn source(record: &PolicyRecord) -> PolicySource {
    PolicySource {
        eligible: record.eligible.clone(),
        weight: record.weight.clone(),
    }
}
