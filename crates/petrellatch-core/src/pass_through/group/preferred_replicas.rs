//! Which replicas a daemon asks regularly.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::pack_address;

use crate::time::Timestamp;

use crate::pass_through::digest::address_digest;

/// A replica that did not answer by then is avoided for a while.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a replica is avoided at first; it doubles with each miss.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 3;

/// What is known of one replica.
#[derive(Debug, Default)]
struct ReplicaState {
    /// When it was asked what it has not answered.
    pending_since: Option<Timestamp>,
    backoff_until: Timestamp,
    failures: u32,
}

/// Chooses a few replicas, so that the work for daemons is spread over the
/// group: each daemon has an order of its own, and takes the first ones that
/// answer and hear a leader.
#[derive(Debug)]
pub(crate) struct PreferredReplicas {
    /// Stands for the daemon in its order of replicas.
    salt: u64,
    replicas: BTreeMap<SocketAddrV4, ReplicaState>,
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
        self.back_off_overdue(now);
        let mut ranked: Vec<SocketAddrV4> = known.iter().copied().collect();
        ranked.sort_by_cached_key(|replica| {
            let order = address_digest(pack_address(*replica), self.salt);
            (self.is_in_backoff(now, *replica), order)
        });
        ranked.truncate(count);
        for replica in &ranked {
            let state = self.replicas.entry(*replica).or_default();
            state.pending_since.get_or_insert(now);
        }
        self.chosen = ranked;
        &self.chosen
    }

    /// Whether a replica was chosen last.
    pub(crate) fn contains(&self, replica: SocketAddrV4) -> bool {
        self.chosen.contains(&replica)
    }

    /// Notes an answer. A replica that does not serve is avoided.
    pub(crate) fn note_reply(&mut self, now: Timestamp, replica: SocketAddrV4, has_leader: bool) {
        let state = self.replicas.entry(replica).or_default();
        state.pending_since = None;
        if has_leader {
            state.failures = 0;
            state.backoff_until = Timestamp::ZERO;
        } else {
            state.back_off(now);
        }
    }

    /// When the first answer is overdue.
    pub(crate) fn overdue_at(&self) -> Option<Timestamp> {
        let pending = self.replicas.values().filter_map(|it| it.pending_since);
        pending.min().map(|pending| pending + REPLY_TIMEOUT)
    }

    fn is_in_backoff(&self, now: Timestamp, replica: SocketAddrV4) -> bool {
        let known = self.replicas.get(&replica);
        known.is_some_and(|state| now < state.backoff_until)
    }

    fn back_off_overdue(&mut self, now: Timestamp) {
        for state in self.replicas.values_mut() {
            let is_overdue = |pending| now.saturating_since(pending) >= REPLY_TIMEOUT;
            if state.pending_since.is_some_and(is_overdue) {
                state.pending_since = None;
                state.back_off(now);
            }
        }
    }
}

impl ReplicaState {
    fn back_off(&mut self, now: Timestamp) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.backoff_until = now + INITIAL_BACKOFF * factor;
    }
}
