//! Recent configuration changes, kept to update balancers.

use std::collections::VecDeque;

use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, MAX_PART_BYTES, PassThroughBody,
};
use prost::Message;

use crate::pass_through::routes::configuration::Configuration;
use crate::pass_through::routes::reassembly::{compress, split};

/// Number of changes that are kept.
const KEPT_CHANGES: usize = 64;
/// A balancer that misses more changes is sent the full configuration.
const MAX_CHANGES_SENT: usize = 8;

/// The latest configuration changes, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    changes: VecDeque<ConfigurationChange>,
}

impl RecentChanges {
    /// Keeps a change, without the fields that only operators read.
    pub(crate) fn note(&mut self, change: &ConfigurationChange) {
        let mut change = change.clone();
        strip_operator_fields(&mut change);
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.changes.clear();
    }

    /// Messages that bring a balancer from `version` to the newest configuration.
    pub(crate) fn updates(&self, version: u64, newest: &Configuration) -> Vec<PassThroughBody> {
        if version >= newest.version {
            return Vec::new();
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.base_version == version && version > 0);
        let first = first.filter(|first| self.changes.len() - first <= MAX_CHANGES_SENT);
        let Some(first) = first else {
            let mut full = Configuration::default().change_to(newest);
            strip_operator_fields(&mut full);
            return split_into_parts(&full);
        };
        let missing = self.changes.iter().skip(first);
        missing.flat_map(split_into_parts).collect()
    }
}

/// Removes fields that only operators read.
fn strip_operator_fields(change: &mut ConfigurationChange) {
    change.annotation = None;
    for route in &mut change.put {
        route.annotation = Vec::new();
        route.position = 0;
    }
}

fn split_into_parts(change: &ConfigurationChange) -> Vec<PassThroughBody> {
    let bytes = compress(&change.encode_to_vec());
    let parts = split(&bytes, MAX_PART_BYTES);
    let count = parts.len() as u32;
    let part = |(part, bytes): (usize, &[u8])| {
        PassThroughBody::Configuration(ConfigurationPart {
            base_version: change.base_version,
            version: change.version,
            part: part as u32,
            parts: count,
            bytes: bytes.to_vec(),
        })
    };
    parts.into_iter().enumerate().map(part).collect()
}
