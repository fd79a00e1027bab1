//! Replacements of the configuration that are not committed yet.

use std::collections::BTreeMap;

use crate::time::Timestamp;

use super::configuration::Configuration;

/// The requests to replace the configuration by one version. If their contents differ, the
/// first one is used.
#[derive(Debug)]
struct PendingReplacement {
    configuration: Configuration,
    /// Tokens of the requests, with their deadlines.
    tokens: Vec<(u64, Timestamp)>,
}

/// Requested replacements by version. Only the highest version is proposed; lower ones are
/// acknowledged along with it.
#[derive(Debug, Default)]
pub(crate) struct PendingReplacements {
    pending: BTreeMap<u64, PendingReplacement>,
    /// Identifier of the change that was proposed and is not applied yet.
    proposed: Option<u64>,
}

impl PendingReplacements {
    pub(crate) fn add(&mut self, token: u64, deadline: Timestamp, configuration: Configuration) {
        let pending = self.pending.entry(configuration.version);
        let pending = pending.or_insert_with(|| PendingReplacement {
            configuration,
            tokens: Vec::new(),
        });
        pending.tokens.push((token, deadline));
    }

    /// The replacement to propose next, unless a proposed one is not applied yet.
    pub(crate) fn next(&self) -> Option<&Configuration> {
        if self.proposed.is_some() {
            return None;
        }
        let last = self.pending.last_key_value();
        last.map(|(_, pending)| &pending.configuration)
    }

    pub(crate) fn note_proposed(&mut self, change_id: u64) {
        self.proposed = Some(change_id);
    }

    /// Notes that a proposed change was applied or lost.
    pub(crate) fn note_finished(&mut self, change_id: u64) {
        if self.proposed == Some(change_id) {
            self.proposed = None;
        }
    }

    /// Removes the requests for versions up to `version`. Returns their tokens and deadlines.
    pub(crate) fn take_reached(&mut self, version: u64) -> Vec<(u64, Timestamp)> {
        let higher = self.pending.split_off(&(version + 1));
        let reached = std::mem::replace(&mut self.pending, higher);
        tokens(reached)
    }

    /// Removes all requests. Returns their tokens and deadlines.
    pub(crate) fn take_all(&mut self) -> Vec<(u64, Timestamp)> {
        self.proposed = None;
        tokens(std::mem::take(&mut self.pending))
    }

    /// Removes the requests whose deadlines have passed, and returns their tokens. The
    /// replacement of such a request may still be committed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            let is_due = |(_, deadline): &(u64, Timestamp)| *deadline <= now;
            let due = pending.tokens.iter().filter(|it| is_due(it));
            expired.extend(due.map(|(token, _)| *token));
            pending.tokens.retain(|it| !is_due(it));
        }
        self.pending.retain(|_, pending| !pending.tokens.is_empty());
        expired
    }
}

fn tokens(pending: BTreeMap<u64, PendingReplacement>) -> Vec<(u64, Timestamp)> {
    let all = pending.into_values().flat_map(|pending| pending.tokens);
    all.collect()
}
