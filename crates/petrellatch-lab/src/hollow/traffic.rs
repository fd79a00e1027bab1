//! Messages and bytes by kind of message.

use petrellatch_proto::envelope::Body;
use serde::Serialize;

/// Messages and bytes. Bytes are those of the UDP payload with its seal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Volume {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Volume {
    /// Counts one message.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// Adds another volume.
    pub fn add(&mut self, other: Volume) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }

    /// Returns what came in after `earlier` was read.
    pub fn since(self, earlier: Volume) -> Volume {
        Volume {
            messages: self.messages.saturating_sub(earlier.messages),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

/// Volumes of the kinds of messages that matter for capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// The replicated log.
    pub consensus: Volume,
    /// Deltas.
    pub updates: Volume,
    /// Snapshots.
    pub snapshots: Volume,
    /// Heartbeats towards the leader.
    pub heartbeats: Volume,
    /// Answers to heartbeats.
    pub replies: Volume,
    /// Requests for news or for parts of a snapshot.
    pub requests: Volume,
    /// Assignments to parents.
    pub attachments: Volume,
}

impl Traffic {
    /// Counts one message.
    pub fn count(&mut self, body: Option<&Body>, bytes: usize) {
        let volume = match body {
            Some(Body::Consensus(_)) => &mut self.consensus,
            Some(Body::Update(_)) => &mut self.updates,
            Some(Body::SnapshotPart(_)) => &mut self.snapshots,
            Some(Body::Heartbeat(_)) => &mut self.heartbeats,
            Some(Body::HeartbeatReply(_)) => &mut self.replies,
            Some(Body::Attach(_)) => &mut self.attachments,
            _ => &mut self.requests,
        };
        volume.count(bytes);
    }

    /// Returns the sum over all kinds.
    pub fn total(&self) -> Volume {
        let mut total = Volume::default();
        for volume in self.volumes() {
            total.add(volume);
        }
        total
    }

    /// Returns what came in after `earlier` was read.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            consensus: self.consensus.since(earlier.consensus),
            updates: self.updates.since(earlier.updates),
            snapshots: self.snapshots.since(earlier.snapshots),
            heartbeats: self.heartbeats.since(earlier.heartbeats),
            replies: self.replies.since(earlier.replies),
            requests: self.requests.since(earlier.requests),
            attachments: self.attachments.since(earlier.attachments),
        }
    }

    /// Adds the volumes of `other`.
    pub fn add(&mut self, other: &Traffic) {
        self.consensus.add(other.consensus);
        self.updates.add(other.updates);
        self.snapshots.add(other.snapshots);
        self.heartbeats.add(other.heartbeats);
        self.replies.add(other.replies);
        self.requests.add(other.requests);
        self.attachments.add(other.attachments);
    }

    fn volumes(&self) -> [Volume; 7] {
        [
            self.consensus,
            self.updates,
            self.snapshots,
            self.heartbeats,
            self.replies,
            self.requests,
            self.attachments,
        ]
    }
}
