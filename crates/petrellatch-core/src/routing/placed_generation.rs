//! One placement generation, ready for lookups.

use petrellatch_proto::record::{GenerationRecord, ServiceRecord, ShareRecord};

use crate::identity::{BackendId, BucketIndex, Incarnation, NodeId, ServiceId};
use crate::placement::{BucketTable, Share};

/// One life of an agent node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentLife {
    /// The node.
    pub node: NodeId,
    /// The life.
    pub incarnation: Incarnation,
}

/// Who admits the new flows of a bucket by one generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketOwner {
    /// The back end.
    pub backend: BackendId,
    /// The agent beside it.
    pub agent: AgentLife,
    /// The generation that says so.
    pub generation: u64,
}

/// The owners of all buckets of a service in one generation.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedGeneration {
    number: u64,
    /// In the order of back ends.
    shares: Box<[ShareRecord]>,
    /// Whether any back end receives new flows.
    admits: bool,
    table: BucketTable,
}

impl PlacedGeneration {
    /// Computes the table.
    pub fn compute(service: &ServiceRecord, generation: &GenerationRecord) -> Self {
        let admits = generation.admits();
        let owners = generation.owners();
        let shares: Vec<Share> = owners.map(|share| share_of(share, admits)).collect();
        let table = BucketTable::compute(ServiceId(service.id), service.buckets, &shares);
        let mut shares = generation.shares.clone();
        shares.sort_by_key(|share| share.backend);
        PlacedGeneration {
            number: generation.number,
            shares: shares.into(),
            admits,
            table,
        }
    }

    /// Returns whether this was computed from `generation`.
    pub fn is_computed_from(&self, service: &ServiceRecord, generation: &GenerationRecord) -> bool {
        self.table.service() == ServiceId(service.id)
            && self.number == generation.number
            && self.table.bucket_count() == service.buckets
            && self.has_shares(&generation.shares)
    }

    /// Returns the number of the generation.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the shares of the generation in the order of back ends, those
    /// without weight included.
    pub fn shares(&self) -> &[ShareRecord] {
        &self.shares
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> u32 {
        self.table.bucket_count()
    }

    /// Returns whether any back end receives new flows. If none does, the
    /// owners of buckets refuse new flows.
    pub fn admits(&self) -> bool {
        self.admits
    }

    /// Returns who decides about the new flows of `bucket`.
    pub fn owner(&self, bucket: BucketIndex) -> Option<BucketOwner> {
        let share = &self.shares[self.owner_position(bucket)?];
        Some(BucketOwner {
            backend: BackendId(share.backend),
            agent: life_of(share),
            generation: self.number,
        })
    }

    /// Returns the position among [`PlacedGeneration::shares`] of the back end
    /// that gets the new flows of `bucket`.
    pub fn owner_position(&self, bucket: BucketIndex) -> Option<usize> {
        let backend = self.table.primary(bucket)?;
        let found = self
            .shares
            .binary_search_by_key(&backend.0, |it| it.backend);
        found.ok()
    }

    /// Returns all buckets.
    pub fn buckets(&self) -> impl Iterator<Item = BucketIndex> + use<> {
        self.table.buckets()
    }

    /// Returns the lives of the agents that own buckets.
    pub fn owning_lives(&self) -> impl Iterator<Item = AgentLife> {
        self.shares
            .iter()
            .filter(|share| share.receives_new_flows() || !self.admits)
            .map(life_of)
    }

    /// Returns the lives of all agents with a share, also without weight.
    pub fn lives(&self) -> impl Iterator<Item = AgentLife> {
        self.shares.iter().map(life_of)
    }

    fn has_shares(&self, shares: &[ShareRecord]) -> bool {
        if *self.shares == *shares {
            return true;
        }
        let mut sorted = shares.to_vec();
        sorted.sort_by_key(|share| share.backend);
        *self.shares == *sorted
    }
}

/// Owners that admit nothing have equal parts.
fn share_of(share: &ShareRecord, admits: bool) -> Share {
    Share {
        backend: BackendId(share.backend),
        weight: if admits { share.weight } else { 1 },
    }
}

fn life_of(share: &ShareRecord) -> AgentLife {
    AgentLife {
        node: NodeId(share.node),
        incarnation: Incarnation(share.incarnation),
    }
}
