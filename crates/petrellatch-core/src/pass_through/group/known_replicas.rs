//! Addresses of the replicas, as a daemon or another replica knows them.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{GroupStatus, unpack_address};

/// Replica addresses from the settings (seeds), and from the latest known membership.
#[derive(Clone, Debug, Default)]
pub struct KnownReplicas {
    seeds: Vec<SocketAddrV4>,
    group: Vec<SocketAddrV4>,
    membership_index: u64,
    leader: Option<SocketAddrV4>,
}

impl KnownReplicas {
    /// Starts with the seeds from the settings.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Self {
        KnownReplicas {
            seeds,
            ..KnownReplicas::default()
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes over the leader, and the members unless a newer membership is known.
    pub fn handle_group_status(&mut self, group: &GroupStatus) {
        if group.has_leader {
            self.leader = (group.leader != 0).then(|| unpack_address(group.leader));
        } else {
            self.leader = None;
        }
        if group.membership_index < self.membership_index || group.replicas.is_empty() {
            return;
        }
        self.membership_index = group.membership_index;
        self.group = group.replicas.iter().copied().map(unpack_address).collect();
    }

    /// The leader according to the last group status; none if its sender had no leader.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.leader
    }

    /// All known replicas, without duplicates.
    pub fn all(&self) -> BTreeSet<SocketAddrV4> {
        self.seeds.iter().chain(&self.group).copied().collect()
    }
}
