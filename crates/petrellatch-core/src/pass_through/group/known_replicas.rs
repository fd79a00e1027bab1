//! Where a daemon finds the replicas of the control group.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{GroupStatus, unpack_address};

/// The addresses that the settings name, and those that the group told.
#[derive(Clone, Debug, Default)]
pub struct KnownReplicas {
    seeds: Vec<SocketAddrV4>,
    group: Vec<SocketAddrV4>,
    membership_index: u64,
    leader: Option<SocketAddrV4>,
}

impl KnownReplicas {
    /// Starts from the addresses in the settings.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Self {
        KnownReplicas {
            seeds,
            ..KnownReplicas::default()
        }
    }

    /// Replaces the addresses of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Takes what a replica told, unless something newer is known.
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

    /// The leader, as a replica that heard it told last.
    pub fn leader(&self) -> Option<SocketAddrV4> {
        self.leader
    }

    /// All known replicas, each once.
    pub fn all(&self) -> BTreeSet<SocketAddrV4> {
        self.seeds.iter().chain(&self.group).copied().collect()
    }
}
