//! What a relay knows about one child.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::time::Timestamp;

/// A part of a snapshot, by version and number.
pub(super) type PartNumber = (u64, u32);

/// One child of a relay.
#[derive(Clone, Debug)]
pub(super) struct Child {
    address: SocketAddrV4,
    seen: Timestamp,
    acknowledged: u64,
    sent: u64,
    subscribed: bool,
    waiting: bool,
    snapshot_version: u64,
    wanted_parts: BTreeSet<u32>,
}

impl Child {
    pub(super) fn new(address: SocketAddrV4, version: u64) -> Self {
        Child {
            address,
            seen: Timestamp::ZERO,
            acknowledged: version,
            sent: version,
            subscribed: false,
            waiting: false,
            snapshot_version: 0,
            wanted_parts: BTreeSet::new(),
        }
    }

    /// The child sent something from this address.
    pub(super) fn touch(&mut self, now: Timestamp, from: SocketAddrV4) {
        self.seen = now;
        self.address = from;
    }

    pub(super) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// When the child was last heard of.
    pub(super) fn seen(&self) -> Timestamp {
        self.seen
    }

    /// The version that the child last said it has.
    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// The version that the child has once all that was sent arrives.
    pub(super) fn sent(&self) -> u64 {
        self.sent
    }

    /// The child wants everything after `version`. While parts of a snapshot
    /// are still on the way to it, they are not started afresh.
    pub(super) fn subscribe(&mut self, version: u64) {
        self.acknowledged = version;
        self.subscribed = true;
        if self.wanted_parts.is_empty() || version >= self.snapshot_version {
            self.wanted_parts.clear();
            self.sent = version;
        }
    }

    /// The child has `version`; it may have got it from another parent.
    pub(super) fn acknowledge(&mut self, version: u64) {
        self.acknowledged = version;
        self.sent = self.sent.max(version);
    }

    /// The child asks for parts of a snapshot.
    pub(super) fn want_parts(&mut self, version: u64, parts: impl Iterator<Item = u32>) {
        if self.snapshot_version != version {
            self.snapshot_version = version;
            self.wanted_parts.clear();
        }
        self.wanted_parts.extend(parts);
        self.sent = self.sent.max(version);
    }

    /// Whether deltas from `base` on don't reach back to what the child has.
    pub(super) fn needs_snapshot(&self, base: u64) -> bool {
        self.wanted_parts.is_empty() && self.sent < base
    }

    /// The child gets this whole snapshot.
    pub(super) fn begin_snapshot(&mut self, version: u64, parts: BTreeSet<u32>) {
        self.snapshot_version = version;
        self.wanted_parts = parts;
        self.sent = version;
    }

    /// Takes the next part that the child wants.
    pub(super) fn next_part(&mut self) -> Option<PartNumber> {
        let part = self.wanted_parts.pop_first()?;
        self.subscribed = false;
        Some((self.snapshot_version, part))
    }

    /// Deltas up to `version` are sent.
    pub(super) fn advance(&mut self, version: u64) {
        self.sent = version;
        self.subscribed = false;
    }

    /// Whether a subscription has not been answered yet.
    pub(super) fn take_subscribed(&mut self) -> bool {
        std::mem::take(&mut self.subscribed)
    }

    /// Whether there is more to send.
    pub(super) fn wants_more(&self, newest: u64) -> bool {
        !self.wanted_parts.is_empty() || self.sent < newest || self.subscribed
    }

    /// Marks the child as waiting. Returns whether it was not before.
    pub(super) fn start_waiting(&mut self) -> bool {
        !std::mem::replace(&mut self.waiting, true)
    }

    pub(super) fn stop_waiting(&mut self) {
        self.waiting = false;
    }
}
