//! The memberships in effect at each index of the log.

use super::entry::{EntryPayload, LogEntry, LogIndex};
use super::membership::Membership;

/// The memberships of the log in memory. A membership is in effect as soon as
/// its entry is in the log, committed or not.
#[derive(Debug)]
pub(super) struct MembershipHistory {
    /// Never empty; ordered by index.
    versions: Vec<MembershipVersion>,
}

#[derive(Debug)]
struct MembershipVersion {
    index: LogIndex,
    membership: Membership,
}

impl MembershipHistory {
    pub(super) fn new(index: LogIndex, membership: Membership) -> Self {
        MembershipHistory {
            versions: vec![MembershipVersion { index, membership }],
        }
    }

    pub(super) fn current(&self) -> &Membership {
        &self.last().membership
    }

    /// Index of the entry that set the current membership.
    pub(super) fn current_index(&self) -> LogIndex {
        self.last().index
    }

    /// The membership in effect at `index`.
    pub(super) fn at(&self, index: LogIndex) -> &Membership {
        let mut versions = self.versions.iter().rev();
        let effective = versions.find(|version| version.index <= index);
        &effective.unwrap_or(&self.versions[0]).membership
    }

    /// Records an entry that was appended to the log. Returns whether the
    /// current membership changed.
    pub(super) fn record(&mut self, entry: &LogEntry) -> bool {
        let EntryPayload::Membership(membership) = &entry.payload else {
            return false;
        };
        self.versions.push(MembershipVersion {
            index: entry.position.index,
            membership: membership.clone(),
        });
        true
    }

    /// Drops the memberships from `index` on. Returns whether the current
    /// membership changed.
    pub(super) fn truncate_from(&mut self, index: LogIndex) -> bool {
        let before = self.versions.len();
        let first = self.versions.remove(0);
        self.versions.retain(|version| version.index < index);
        self.versions.insert(0, first);
        self.versions.len() != before
    }

    /// Drops the memberships that were replaced at or before `index`.
    pub(super) fn compact_to(&mut self, index: LogIndex) {
        while self.versions.len() > 1 && self.versions[1].index <= index {
            self.versions.remove(0);
        }
    }

    fn last(&self) -> &MembershipVersion {
        &self.versions[self.versions.len() - 1]
    }
}
