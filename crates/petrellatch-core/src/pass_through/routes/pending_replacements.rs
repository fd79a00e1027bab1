//! Replacements of the configuration that wait to be accepted.

use std::collections::BTreeMap;

use crate::time::Timestamp;

use super::configuration::Configuration;

/// Replacements under one version. Of different contents the first counts.
#[derive(Debug)]
struct Waiting {
    configuration: Configuration,
    tokens: Vec<(u64, Timestamp)>,
}

/// Replacements by version. Only the highest is proposed; the others are
/// overtaken by it and acknowledged with it.
#[derive(Debug, Default)]
pub(crate) struct PendingReplacements {
    waiting: BTreeMap<u64, Waiting>,
    /// Number of the change that is in the log, not yet committed.
    proposed: Option<u64>,
}

impl PendingReplacements {
    pub(crate) fn add(&mut self, token: u64, deadline: Timestamp, configuration: Configuration) {
        let waiting = self.waiting.entry(configuration.version);
        let waiting = waiting.or_insert_with(|| Waiting {
            configuration,
            tokens: Vec::new(),
        });
        waiting.tokens.push((token, deadline));
    }

    /// The replacement to propose next, unless one is under way.
    pub(crate) fn next(&self) -> Option<&Configuration> {
        if self.proposed.is_some() {
            return None;
        }
        let last = self.waiting.last_key_value();
        last.map(|(_, waiting)| &waiting.configuration)
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
        let higher = self.waiting.split_off(&(version + 1));
        let reached = std::mem::replace(&mut self.waiting, higher);
        tokens(reached)
    }

    /// Takes out all.
    pub(crate) fn take_all(&mut self) -> Vec<(u64, Timestamp)> {
        self.proposed = None;
        tokens(std::mem::take(&mut self.waiting))
    }

    /// Takes out those who have waited too long. Their replacements may still
    /// be accepted.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let mut expired = Vec::new();
        for waiting in self.waiting.values_mut() {
            let is_due = |(_, deadline): &(u64, Timestamp)| *deadline <= now;
            let due = waiting.tokens.iter().filter(|it| is_due(it));
            expired.extend(due.map(|(token, _)| *token));
            waiting.tokens.retain(|it| !is_due(it));
        }
        self.waiting.retain(|_, waiting| !waiting.tokens.is_empty());
        expired
    }
}

fn tokens(waiting: BTreeMap<u64, Waiting>) -> Vec<(u64, Timestamp)> {
    let all = waiting.into_values().flat_map(|waiting| waiting.tokens);
    all.collect()
}
