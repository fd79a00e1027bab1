//! Assignment of buckets to back ends within quotas.
//!
//! This is the deferred acceptance algorithm (Gale and Shapley 1962). Each
//! bucket proposes to the back end with the lowest cost that has not rejected
//! it; a back end above its quota keeps the buckets of the lowest cost and
//! rejects the rest. The result is stable: if one back end's quota changes, only
//! those buckets move that can then be assigned at a lower cost, and those that
//! they displace.

use crate::identity::{BackendId, BucketIndex};

use super::rendezvous::BackendSeed;

/// A back end to which a table can assign buckets, with its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) backend: BackendId,
    pub(super) seed: BackendSeed,
    pub(super) weight: u32,
}

impl Candidate {
    /// Returns the cost of assigning `bucket` to this back end.
    pub(super) fn cost(&self, bucket: u32) -> u64 {
        self.seed.cost(BucketIndex(bucket), self.weight)
    }
}

/// A back end's rank in a bucket's order of preference: its cost, then its
/// position in the list of candidates. The lowest is preferred.
type Preference = (u64, u16);

/// A bucket that a back end has accepted; it may be rejected in a later round.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AcceptedBucket {
    cost: u64,
    bucket: u32,
}

/// A bucket that proposes to its next back end.
struct Proposal {
    bucket: u32,
    /// The back end that rejected the bucket most recently.
    rejected_by: Option<Preference>,
}

/// Returns for each bucket the position of its back end in `candidates`. The
/// quotas must add up to `bucket_count`.
pub(super) fn assign(bucket_count: u32, candidates: &[Candidate], quotas: &[u32]) -> Box<[u16]> {
    let mut accepted: Vec<Vec<AcceptedBucket>> = Vec::with_capacity(candidates.len());
    accepted.resize_with(candidates.len(), Vec::new);
    let mut proposals: Vec<Proposal> = (0..bucket_count)
        .map(|bucket| Proposal {
            bucket,
            rejected_by: None,
        })
        .collect();
    while !proposals.is_empty() {
        for proposal in proposals.drain(..) {
            propose(&proposal, candidates, &mut accepted);
        }
        for (position, buckets) in accepted.iter_mut().enumerate() {
            let quota = quotas[position] as usize;
            reject_above_quota(position, quota, buckets, &mut proposals);
        }
    }
    collect_positions(bucket_count, &accepted)
}

/// Adds the bucket to the back end that it prefers among those that haven't
/// rejected it.
fn propose(proposal: &Proposal, candidates: &[Candidate], accepted: &mut [Vec<AcceptedBucket>]) {
    let next = preferences(proposal.bucket, candidates)
        .filter(|&preference| Some(preference) > proposal.rejected_by)
        .min();
    // This is never none: the quotas add up to the number of buckets, so at
    // least one back end has not rejected the bucket.
    let Some((cost, position)) = next else {
        return;
    };
    accepted[usize::from(position)].push(AcceptedBucket {
        cost,
        bucket: proposal.bucket,
    });
}

/// Returns the preferences of a bucket in no particular order.
pub(super) fn preferences(
    bucket: u32,
    candidates: &[Candidate],
) -> impl Iterator<Item = Preference> {
    let positions = 0_u16..;
    positions
        .zip(candidates)
        .map(move |(position, candidate)| (candidate.cost(bucket), position))
}

/// Moves the buckets of the highest cost back to the proposals.
fn reject_above_quota(
    position: usize,
    quota: usize,
    buckets: &mut Vec<AcceptedBucket>,
    proposals: &mut Vec<Proposal>,
) {
    if buckets.len() <= quota {
        return;
    }
    buckets.select_nth_unstable(quota);
    for rejected in buckets.drain(quota..) {
        proposals.push(Proposal {
            bucket: rejected.bucket,
            rejected_by: Some((rejected.cost, position as u16)),
        });
    }
}

/// Converts the list of buckets of each back end into a list with the position
/// of each bucket's back end.
fn collect_positions(bucket_count: u32, accepted: &[Vec<AcceptedBucket>]) -> Box<[u16]> {
    let mut positions = vec![0; bucket_count as usize].into_boxed_slice();
    for (position, buckets) in accepted.iter().enumerate() {
        for accepted_bucket in buckets {
            positions[accepted_bucket.bucket as usize] = position as u16;
        }
    }
    positions
}
