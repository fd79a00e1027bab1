//! Apportionment of a service's buckets to its back ends.

/// The fraction of a bucket by which a quota was rounded down.
struct Remainder {
    /// The position of the back end in the list of weights.
    position: usize,
    /// The remainder of the division by the total weight, which is the
    /// denominator of the fraction.
    remainder: u64,
    /// The order among equal remainders; the lowest is first.
    tie_breaker: u64,
}

/// Apportions `bucket_count` buckets in proportion to `weights` by the largest
/// remainder method. Every quota is within one bucket of its exact share, and
/// the quotas add up to `bucket_count`; all are zero when no weight is
/// positive. Equal remainders are ordered by the value that `tie_breaker`
/// returns for the position of the weight (the lowest value first).
pub fn apportion(
    bucket_count: u32,
    weights: &[u32],
    tie_breaker: impl Fn(usize) -> u64,
) -> Vec<u32> {
    let total: u64 = weights.iter().map(|&weight| u64::from(weight)).sum();
    if total == 0 {
        return vec![0; weights.len()];
    }
    let mut quotas = Vec::with_capacity(weights.len());
    let mut remainders = Vec::with_capacity(weights.len());
    let mut assigned = 0;
    for (position, &weight) in weights.iter().enumerate() {
        let scaled = u64::from(weight) * u64::from(bucket_count);
        let quota = (scaled / total) as u32;
        assigned += quota;
        quotas.push(quota);
        remainders.push(Remainder {
            position,
            remainder: scaled % total,
            tie_breaker: tie_breaker(position),
        });
    }
    remainders.sort_unstable_by(|left, right| {
        let by_remainder = right.remainder.cmp(&left.remainder);
        by_remainder
            .then(left.tie_breaker.cmp(&right.tie_breaker))
            .then(left.position.cmp(&right.position))
    });
    let unassigned = (bucket_count - assigned) as usize;
    for remainder in remainders.iter().take(unassigned) {
        quotas[remainder.position] += 1;
    }
    quotas
}
