//! Addresses of the replicas, as a daemon or another replica knows them.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{GroupStatus, unpack_address};

/// Replica addresses from the settings (seeds), and from the latest known membership.
#[derive(Clone, Debug, Default)]
pub struct KnownReplicas {
    seeds: Vec<SocketAddrV4>,
    members: Vec<SocketAddrV4>,
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
    pub fn handle_group_status(&mut self, status: &GroupStatus) {
        if status.has_leader {
            self.leader = (status.leader != 0).then(|| unpack_address(status.leader));
        } else {
            self.leader = None;
        }
        if status.membership_index < self.membership_index || status.replicas.is_empty() {
            return;
        }
        self.membership_index = status.membership_index;
        self.members = status
            .replicas
            .iter()
            .copied()
            .map(unpack_address)
            .collect();
    }

    /// The leader according to the last group status; none if its sender had no leader.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.leader
    }

    /// The members of the group, according to the latest known membership; none until a replica
    /// has named them.
    pub fn members(&self) -> &[SocketAddrV4] {
        &self.members
    }

    /// All known replicas, without duplicates.
    pub fn all(&self) -> BTreeSet<SocketAddrV4> {
        self.seeds.iter().chain(&self.members).copied().collect()
    }
}
