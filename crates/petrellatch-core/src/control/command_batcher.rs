//! Puts the leader's commands together, so that many of them make one version.

use std::collections::VecDeque;
use std::time::Duration;

use petrellatch_proto::command::{Batch, Command, CommandKind};
use prost::Message;

use crate::cluster::ClusterView;
use crate::identity::ServiceId;
use crate::time::Timestamp;

use super::limits::{MAX_BATCH_BYTES, MAX_MEMBER_BYTES};

/// Least time between two batches. A command after a quiet time waits for
/// nothing; in a mass restart each version carries many.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes around a record and in a short command.
const FRAME_BYTES: usize = 32;

/// Commands that wait for the next batch.
#[derive(Debug, Default)]
pub(super) struct CommandBatcher {
    waiting: VecDeque<CommandKind>,
    next_batch: Timestamp,
}

impl CommandBatcher {
    /// Adds a command about members or placements.
    pub(super) fn push(&mut self, kind: CommandKind) {
        self.waiting.push_back(kind);
    }

    /// When the next batch is due.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then_some(self.next_batch)
    }

    /// Returns the batches that are due; none of them makes too large a
    /// version.
    pub(super) fn take_due(&mut self, now: Timestamp, view: &ClusterView) -> Vec<CommandKind> {
        if self.waiting.is_empty() || now < self.next_batch {
            return Vec::new();
        }
        self.next_batch = now + BATCH_INTERVAL;
        let mut batches = Vec::new();
        while let Some(batch) = self.next_batch(view) {
            batches.push(batch);
        }
        batches
    }

    fn next_batch(&mut self, view: &ClusterView) -> Option<CommandKind> {
        let first = self.waiting.pop_front()?;
        let mut bytes = bytes_of(&first, view);
        let mut kinds = vec![first];
        while let Some(next) = self.waiting.front() {
            bytes += bytes_of(next, view);
            if bytes > MAX_BATCH_BYTES {
                break;
            }
            kinds.extend(self.waiting.pop_front());
        }
        if kinds.len() == 1 {
            return kinds.pop();
        }
        let commands = kinds.into_iter().map(Command::from).collect();
        Some(CommandKind::Batch(Batch { commands }))
    }
}

/// About the encoded bytes of the records that a command leads to, or more.
fn bytes_of(kind: &CommandKind, view: &ClusterView) -> usize {
    let listed = |service: u32| {
        let placement = view.placement(ServiceId(service));
        placement.map_or(0, Message::encoded_len)
    };
    let placement = match kind {
        CommandKind::SetPlacement(set) => listed(set.service) + set.generation.encoded_len(),
        CommandKind::SettlePlacement(settle) => listed(settle.service),
        _ => 0,
    };
    match kind {
        CommandKind::RegisterMember(_) => MAX_MEMBER_BYTES,
        _ => placement + FRAME_BYTES,
    }
}
