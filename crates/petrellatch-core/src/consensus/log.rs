//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use super::entry::{LogEntry, LogIndex, LogPosition, Term};

/// Entries with consecutive indices after a base position.
#[derive(Debug, Default)]
pub(super) struct Log {
    base: LogPosition,
    entries: VecDeque<SizedEntry>,
}

#[derive(Debug)]
struct SizedEntry {
    entry: LogEntry,
    /// Running total of the entry sizes up to this one, in bytes. It may include
    /// entries that were compacted since.
    end_bytes: usize,
}

impl Log {
    pub(super) fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        let mut log = Log {
            base,
            entries: VecDeque::with_capacity(entries.len()),
        };
        for entry in entries {
            log.append(entry);
        }
        log
    }

    pub(super) fn base_index(&self) -> LogIndex {
        self.base.index
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.base.index + self.entries.len() as u64
    }

    pub(super) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.base, |sized| sized.entry.position)
    }

    pub(super) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        let sized = self.entries.get(usize::try_from(offset).ok()?)?;
        Some(&sized.entry)
    }

    /// Term of the entry at `index`. `None` if the entry isn't in memory.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Appends an entry, whose index must follow the last one.
    pub(super) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position.index, self.last_index() + 1);
        let end_bytes = self.end_bytes() + entry.size_bytes();
        self.entries.push_back(SizedEntry { entry, end_bytes });
    }

    /// Removes all entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Drops the entries up to `index`, which becomes the base.
    pub(super) fn compact_to(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let dropped = (index - self.base.index) as usize;
        self.entries.drain(..dropped);
        self.base = LogPosition { term, index };
    }

    /// Drops all entries and continues after `base`.
    pub(super) fn reset(&mut self, base: LogPosition) {
        self.entries.clear();
        self.base = base;
    }

    /// Copies the entries from `first` on.
    pub(super) fn entries_from(&self, first: LogIndex) -> Vec<LogEntry> {
        let skipped = first.saturating_sub(self.base.index + 1) as usize;
        let entries = self.entries.iter().skip(skipped);
        entries.map(|sized| sized.entry.clone()).collect()
    }

    /// Copies entries from `first` on, of at most `limit_bytes` in total but at
    /// least one entry.
    pub(super) fn batch_from(&self, first: LogIndex, limit_bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            batch_bytes += entry.size_bytes();
            if batch_bytes > limit_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Size of all entries after `index`, in bytes.
    pub(super) fn bytes_after(&self, index: LogIndex) -> usize {
        let next = index.saturating_sub(self.base.index) as usize;
        let Some(sized) = self.entries.get(next) else {
            return 0;
        };
        self.end_bytes() + sized.entry.size_bytes() - sized.end_bytes
    }

    /// The last index up to `limit` whose term is at most `term`: the last one
    /// at which the logs can match if the other log has `term` at `limit`.
    pub(super) fn last_possible_match(&self, limit: LogIndex, term: Term) -> LogIndex {
        let mut index = limit.min(self.last_index());
        while index > self.base.index && self.term_at(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index
    }

    /// The last index before the consecutive entries that share the term of the
    /// entry at `index`.
    pub(super) fn before_term_of(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut before = index;
        while before > self.base.index && self.term_at(before) == term {
            before -= 1;
        }
        before
    }

    fn end_bytes(&self) -> usize {
        self.entries.back().map_or(0, |sized| sized.end_bytes)
    }
}
