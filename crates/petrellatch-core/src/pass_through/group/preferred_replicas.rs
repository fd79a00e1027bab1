//! Which replicas a daemon asks regularly.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::pack_address;

use crate::time::Timestamp;

use crate::pass_through::digest::address_digest;

/// A replica that did not answer by then is avoided for a while.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// How long a replica is avoided at first; it doubles with each miss.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 3;

/// What is known of one replica.
#[derive(Debug, Default)]
struct Attachment {
    /// When it was asked what it has not answered.
    asked_at: Option<Timestamp>,
    avoided_until: Timestamp,
    misses: u32,
}

/// Chooses a few replicas, so that the work for daemons is spread over the
/// group: each daemon has an order of its own, and takes the first ones that
/// answer and hear a leader.
#[derive(Debug)]
pub(crate) struct PreferredReplicas {
    /// Stands for the daemon in its order of replicas.
    salt: u64,
    replicas: BTreeMap<SocketAddrV4, Attachment>,
    chosen: Vec<SocketAddrV4>,
}

impl PreferredReplicas {
    pub(crate) fn new(salt: u64) -> Self {
        PreferredReplicas {
            salt,
            replicas: BTreeMap::new(),
            chosen: Vec::new(),
        }
    }

    /// The replicas to ask now, at most `count` of those that are known. They
    /// are expected to answer.
    pub(crate) fn choose(
        &mut self,
        now: Timestamp,
        known: &BTreeSet<SocketAddrV4>,
        count: usize,
    ) -> &[SocketAddrV4] {
        self.replicas.retain(|replica, _| known.contains(replica));
        self.avoid_overdue(now);
        let mut ranked: Vec<SocketAddrV4> = known.iter().copied().collect();
        ranked.sort_by_cached_key(|replica| {
            let order = address_digest(pack_address(*replica), self.salt);
            (self.is_avoided(now, *replica), order)
        });
        ranked.truncate(count);
        for replica in &ranked {
            let attachment = self.replicas.entry(*replica).or_default();
            attachment.asked_at.get_or_insert(now);
        }
        self.chosen = ranked;
        &self.chosen
    }

    /// Whether a replica was chosen last.
    pub(crate) fn contains(&self, replica: SocketAddrV4) -> bool {
        self.chosen.contains(&replica)
    }

    /// Notes an answer. A replica that does not serve is avoided.
    pub(crate) fn note_reply(&mut self, now: Timestamp, replica: SocketAddrV4, serves: bool) {
        let attachment = self.replicas.entry(replica).or_default();
        attachment.asked_at = None;
        if serves {
            attachment.misses = 0;
            attachment.avoided_until = Timestamp::ZERO;
        } else {
            attachment.avoid(now);
        }
    }

    /// When the first answer is overdue.
    pub(crate) fn overdue_at(&self) -> Option<Timestamp> {
        let asked = self.replicas.values().filter_map(|it| it.asked_at);
        asked.min().map(|asked| asked + ANSWER_LIMIT)
    }

    fn is_avoided(&self, now: Timestamp, replica: SocketAddrV4) -> bool {
        let known = self.replicas.get(&replica);
        known.is_some_and(|attachment| now < attachment.avoided_until)
    }

    fn avoid_overdue(&mut self, now: Timestamp) {
        for attachment in self.replicas.values_mut() {
            let is_overdue = |asked| now.saturating_since(asked) >= ANSWER_LIMIT;
            if attachment.asked_at.is_some_and(is_overdue) {
                attachment.asked_at = None;
                attachment.avoid(now);
            }
        }
    }
}

impl Attachment {
    fn avoid(&mut self, now: Timestamp) {
        let factor = 1 << self.misses.min(MAX_DOUBLINGS);
        self.misses += 1;
        self.avoided_until = now + FIRST_AVOIDANCE * factor;
    }
}
