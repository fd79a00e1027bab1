//! Replacements of the configuration that wait to be accepted.

use std::collections::BTreeMap;

use crate::time::Timestamp;

use super::configuration::Configuration;

/// Replacements under one version. Of different contents the first counts.
#[derive(Debug)]
struct PendingReplacement {
    configuration: Configuration,
    tokens: Vec<(u64, Timestamp)>,
}

/// Replacements by version. Only the highest is proposed; the others are
/// overtaken by it and acknowledged with it.
#[derive(Debug, Default)]
pub(crate) struct PendingReplacements {
    pending: BTreeMap<u64, PendingReplacement>,
    /// Number of the change that is in the log, not yet committed.
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

    /// The replacement to propose next, unless one is under way.
    pub(crate) fn next(&self) -> Option<&Configuration> {
        if self.proposed.is_some() {
            return None;
        }
        let last = self.pending.last_key_value();
        last.map(|(_, pending)| &pending.configuration)
    }

    pub(crate) fn note_proposed(&mut self, change: u64) {
        self.proposed = Some(change);
    }

    /// Notes that a change was applied or lost.
    pub(crate) fn note_finished(&mut self, change: u64) {
        if self.proposed == Some(change) {
            self.proposed = None;
        }
    }

    /// Takes out all who wait for a version up to `version`, with the times by
    /// which they want their answers.
    pub(crate) fn take_reached(&mut self, version: u64) -> Vec<(u64, Timestamp)> {
        let higher = self.pending.split_off(&(version + 1));
        let reached = std::mem::replace(&mut self.pending, higher);
        tokens(reached)
    }

    /// Takes out all.
    pub(crate) fn take_all(&mut self) -> Vec<(u64, Timestamp)> {
        self.proposed = None;
        tokens(std::mem::take(&mut self.pending))
    }

    /// Takes out those who have waited too long. Their replacements may still
    /// be accepted.
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
