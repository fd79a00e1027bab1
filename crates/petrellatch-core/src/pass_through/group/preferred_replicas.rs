//! Choice of the few replicas that a daemon polls regularly.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::pack_address;

use crate::time::Timestamp;

use crate::pass_through::digest::address_digest;

/// A replica that has not replied within this time is put into backoff.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// First backoff of a replica; it doubles with each consecutive failure, at most
/// [`MAX_DOUBLINGS`] times.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 3;

/// Reply state of one replica.
#[derive(Debug, Default)]
struct ReplicaState {
    /// Time of the oldest poll without a reply.
    pending_since: Option<Timestamp>,
    backoff_until: Timestamp,
    failures: u32,
}

/// Chooses a few replicas, so that the load of daemons is spread over the group: each daemon
/// ranks the replicas by a hash of its own, and uses the first ones that reply and have a
/// leader.
#[derive(Debug)]
pub(crate) struct PreferredReplicas {
    /// Identifies the daemon in its ranking of replicas.
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

    /// Chooses at most `count` of the `known` replicas to poll now; replicas in backoff rank
    /// last. Starts the reply timeout of the chosen ones.
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
            let rank = address_digest(pack_address(*replica), self.salt);
            (self.is_in_backoff(now, *replica), rank)
        });
        ranked.truncate(count);
        for replica in &ranked {
            let state = self.replicas.entry(*replica).or_default();
            state.pending_since.get_or_insert(now);
        }
        self.chosen = ranked;
        &self.chosen
    }

    /// Whether the last call of [`PreferredReplicas::choose`] returned this replica.
    pub(crate) fn contains(&self, replica: SocketAddrV4) -> bool {
        self.chosen.contains(&replica)
    }

    /// Notes a reply. A replica without a leader is put into backoff.
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

    /// When the first reply timeout expires.
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
