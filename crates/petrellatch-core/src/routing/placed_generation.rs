//! One placement generation with its computed bucket table.

use petrellatch_proto::record::{GenerationRecord, ServiceRecord, ShareRecord};

use crate::identity::{BackendId, BucketIndex, Incarnation, NodeId, ServiceId};
use crate::placement::{BucketTable, Share};

/// One incarnation of an agent node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentIncarnation {
    /// The node.
    pub node: NodeId,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// The back end and agent that decide on the new flows of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketOwner {
    /// The back end.
    pub backend: BackendId,
    /// The back end's agent.
    pub agent: AgentIncarnation,
    /// The number of the generation that names this owner.
    pub generation: u64,
}

/// The owners of all buckets of a service in one generation.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedGeneration {
    number: u64,
    /// Sorted by back end.
    shares: Box<[ShareRecord]>,
    /// Whether any back end receives new flows.
    admits: bool,
    table: BucketTable,
}

impl PlacedGeneration {
    /// Computes the bucket table of a generation.
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

    /// Returns whether this was computed from equal records, so that its table
    /// can be kept.
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

    /// Returns the shares of the generation sorted by back end, including those
    /// of weight zero.
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

    /// Returns the owner of `bucket`, which admits or refuses its new flows.
    pub fn owner(&self, bucket: BucketIndex) -> Option<BucketOwner> {
        let share = &self.shares[self.owner_position(bucket)?];
        Some(BucketOwner {
            backend: BackendId(share.backend),
            agent: agent_of(share),
            generation: self.number,
        })
    }

    /// Returns the index in [`PlacedGeneration::shares`] of the back end that
    /// owns `bucket`.
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

    /// Returns the agents that own buckets; one is repeated for each of its
    /// back ends.
    pub fn owning_agents(&self) -> impl Iterator<Item = AgentIncarnation> {
        self.shares
            .iter()
            .filter(|share| share.receives_new_flows() || !self.admits)
            .map(agent_of)
    }

    /// Returns the agents of all shares, including those of weight zero; one is
    /// repeated for each of its back ends.
    pub fn agents(&self) -> impl Iterator<Item = AgentIncarnation> {
        self.shares.iter().map(agent_of)
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

/// Returns the share of an owner for the bucket table. If no back end receives
/// new flows, the owners, which refuse them, have equal weights.
fn share_of(share: &ShareRecord, admits: bool) -> Share {
    Share {
        backend: BackendId(share.backend),
        weight: if admits { share.weight } else { 1 },
    }
}

fn agent_of(share: &ShareRecord) -> AgentIncarnation {
    AgentIncarnation {
        node: NodeId(share.node),
        incarnation: Incarnation(share.incarnation),
    }
}
