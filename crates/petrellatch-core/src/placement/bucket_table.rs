//! The placement table of one service.

use crate::identity::{BackendId, BucketIndex, ServiceId};

use super::assignment::{self, Candidate};
use super::packed_positions::PackedPositions;
use super::quota;
use super::rendezvous::BackendSeed;
use super::share::Share;

/// The maximum number of back ends in a table, since positions have 16 bits. If
/// there are more, the table uses those with the lowest identifiers.
pub const MAXIMUM_BACKENDS: usize = 1 << 16;

/// The maximum number of buckets in a table; a larger count is reduced to it.
pub const MAXIMUM_BUCKETS: u32 = 1 << 16;

/// Maps each bucket of a service to the back ends that receive its new flows.
///
/// It takes 24 bytes for each back end and, for each bucket, the bits of one
/// position: two for up to four back ends, eight for up to 256.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketTable {
    service: ServiceId,
    /// The back ends of positive weight, sorted by identifier.
    candidates: Box<[Candidate]>,
    /// For each bucket the position of its primary in `candidates`; empty if
    /// there are no candidates.
    primaries: PackedPositions,
    bucket_count: u32,
}

impl BucketTable {
    /// Computes the table. The result depends only on the arguments, and not on
    /// the order of `shares`. If a back end has several shares, the largest is
    /// used.
    pub fn compute(service: ServiceId, bucket_count: u32, shares: &[Share]) -> BucketTable {
        let bucket_count = bucket_count.clamp(1, MAXIMUM_BUCKETS);
        let candidates = select_candidates(service, shares);
        let primaries = PackedPositions::new(&assign_primaries(bucket_count, &candidates));
        BucketTable {
            service,
            candidates,
            primaries,
            bucket_count,
        }
    }

    /// Returns the service of this table.
    pub fn service(&self) -> ServiceId {
        self.service
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> u32 {
        self.bucket_count
    }

    /// Returns whether there is no back end that receives new flows.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns the back end that admits the new flows of `bucket`, or `None`
    /// when there is no back end of positive weight or no such bucket.
    pub fn primary(&self, bucket: BucketIndex) -> Option<BackendId> {
        let position = self.primary_position(bucket)?;
        Some(self.candidates[usize::from(position)].backend)
    }

    /// Returns the back end for new flows of `bucket` for which the primary has
    /// no capacity, or `None` when there is no second back end of positive
    /// weight. It is the one that the bucket prefers among all but the primary.
    /// It is computed at each call, which takes a few nanoseconds for each back
    /// end and halves the size of the table.
    pub fn secondary(&self, bucket: BucketIndex) -> Option<BackendId> {
        let primary = self.primary_position(bucket)?;
        let (_, position) = assignment::preferences(bucket.0, &self.candidates)
            .filter(|&(_, position)| position != primary)
            .min()?;
        Some(self.candidates[usize::from(position)].backend)
    }

    /// Returns the buckets whose primary is `backend`, in ascending order.
    pub fn buckets_of(&self, backend: BackendId) -> impl Iterator<Item = BucketIndex> {
        self.buckets()
            .filter(move |&bucket| self.primary(bucket) == Some(backend))
    }

    /// Returns the buckets whose primary differs in `newer`, in ascending
    /// order. Both tables should have the same number of buckets.
    pub fn changed_buckets(&self, newer: &BucketTable) -> impl Iterator<Item = BucketIndex> {
        self.buckets()
            .filter(|&bucket| self.primary(bucket) != newer.primary(bucket))
    }

    /// Returns all buckets in ascending order.
    pub fn buckets(&self) -> impl Iterator<Item = BucketIndex> + use<> {
        (0..self.bucket_count).map(BucketIndex)
    }

    /// Returns the size of this table in bytes, including its allocations.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.candidates) + self.primaries.heap_bytes()
    }

    /// Returns the position of the bucket's primary in `candidates`.
    fn primary_position(&self, bucket: BucketIndex) -> Option<u16> {
        self.primaries.get(bucket.0 as usize)
    }
}

/// Returns the back ends of positive weight, sorted by identifier.
fn select_candidates(service: ServiceId, shares: &[Share]) -> Box<[Candidate]> {
    let mut positive: Vec<Share> = shares
        .iter()
        .copied()
        .filter(|share| share.weight > 0)
        .collect();
    positive.sort_unstable_by_key(|share| (share.backend, u32::MAX - share.weight));
    positive.dedup_by_key(|share| share.backend);
    positive.truncate(MAXIMUM_BACKENDS);
    positive
        .iter()
        .map(|share| Candidate {
            backend: share.backend,
            seed: BackendSeed::new(service, share.backend),
            weight: share.weight,
        })
        .collect()
}

/// Assigns every bucket to a back end, in proportion to the weights. Returns
/// their positions in `candidates`.
fn assign_primaries(bucket_count: u32, candidates: &[Candidate]) -> Box<[u16]> {
    if candidates.is_empty() {
        return Box::default();
    }
    let weights: Vec<u32> = candidates.iter().map(|it| it.weight).collect();
    let tie_breaker = |position: usize| candidates[position].seed.value();
    let quotas = quota::apportion(bucket_count, &weights, tie_breaker);
    assignment::assign(bucket_count, candidates, &quotas)
}
