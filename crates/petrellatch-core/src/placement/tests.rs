//! Tests of the placement functions.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use crate::identity::{BackendId, BucketIndex, ServiceId};

use super::packed_positions::PackedPositions;
use super::*;

const SERVICE: ServiceId = ServiceId(7);
const BUCKETS: u32 = 256;

/// The buckets of `key(1)`, `key(2)` and `key(3)`. They must never change: a
/// different result on another machine or in another version would break open
/// flows.
const EXPECTED_FLOW_BUCKETS: [u32; 3] = [244, 722, 84];

/// The primaries of a small table, which must not change for the same reason.
const EXPECTED_PRIMARIES: [u64; 16] = [2, 9, 9, 1, 2, 1, 9, 9, 9, 1, 1, 1, 9, 9, 2, 9];

fn share(backend: u64, weight: u32) -> Share {
    Share {
        backend: BackendId(backend),
        weight,
    }
}

fn equal_shares(backends: u64) -> Vec<Share> {
    (1..=backends)
        .map(|backend| share(backend, NOMINAL_WEIGHT))
        .collect()
}

fn key(source_port: u16) -> FlowKey {
    FlowKey {
        source: SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, 3), source_port),
        destination: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443),
    }
}

fn count_of(table: &BucketTable, backend: u64) -> u32 {
    table.buckets_of(BackendId(backend)).count() as u32
}

#[test]
fn a_flow_key_has_the_same_bucket_on_every_machine() {
    let buckets = [1, 2, 3].map(|port| key(port).bucket(1024).0);
    assert_eq!(buckets, EXPECTED_FLOW_BUCKETS);
    assert_eq!(key(1).bucket(0), BucketIndex(0));
}

#[test]
fn flow_keys_spread_evenly_over_buckets() {
    let mut counts = [0_u32; 16];
    for port in 0..=u16::MAX {
        counts[key(port).bucket(16).0 as usize] += 1;
    }
    // The expected count is 4,096; five standard deviations are 310.
    for count in counts {
        assert!(count.abs_diff(4_096) < 310, "uneven buckets: {counts:?}");
    }
}

#[test]
fn a_table_is_the_same_on_every_machine() {
    let shares = [share(1, 1_000), share(2, 500), share(9, 1_500)];
    let table = BucketTable::compute(SERVICE, 16, &shares);
    let primaries: Vec<u64> = table
        .buckets()
        .map(|bucket| table.primary(bucket).unwrap().0)
        .collect();
    assert_eq!(primaries, EXPECTED_PRIMARIES);
}

#[test]
fn a_table_without_positive_weight_is_empty() {
    for shares in [vec![], vec![share(1, 0), share(2, 0)]] {
        let table = BucketTable::compute(SERVICE, BUCKETS, &shares);
        assert!(table.is_empty());
        assert_eq!(table.primary(BucketIndex(0)), None);
        assert_eq!(table.secondary(BucketIndex(0)), None);
    }
}

#[test]
fn a_single_backend_has_all_buckets_and_no_secondary() {
    let shares = [share(1, 1), share(2, 0)];
    let table = BucketTable::compute(SERVICE, BUCKETS, &shares);
    assert_eq!(count_of(&table, 1), BUCKETS);
    assert_eq!(table.secondary(BucketIndex(3)), None);
}

#[test]
fn a_bucket_beyond_the_count_has_no_backend() {
    let table = BucketTable::compute(SERVICE, BUCKETS, &equal_shares(2));
    assert_eq!(table.primary(BucketIndex(BUCKETS)), None);
    assert_eq!(table.secondary(BucketIndex(BUCKETS)), None);
}

#[test]
fn the_largest_of_several_shares_of_a_backend_is_used() {
    let repeated = [share(1, 0), share(1, 300), share(2, 100), share(1, 200)];
    let unique = [share(1, 300), share(2, 100)];
    assert_eq!(
        BucketTable::compute(SERVICE, BUCKETS, &repeated),
        BucketTable::compute(SERVICE, BUCKETS, &unique)
    );
}

#[test]
fn secondaries_of_one_primary_spread_over_all_others() {
    let table = BucketTable::compute(SERVICE, 1_024, &equal_shares(7));
    let secondaries: BTreeSet<BackendId> = table
        .buckets_of(BackendId(1))
        .filter_map(|bucket| table.secondary(bucket))
        .collect();
    assert_eq!(secondaries, (2..=7).map(BackendId).collect());
}

#[test]
fn tables_of_different_services_differ() {
    let one = BucketTable::compute(ServiceId(1), BUCKETS, &equal_shares(7));
    let other = BucketTable::compute(ServiceId(2), BUCKETS, &equal_shares(7));
    assert!(one.changed_buckets(&other).count() > BUCKETS as usize / 2);
}

#[test]
fn a_new_backend_moves_at_most_twice_the_minimum_of_buckets() {
    for service in 0..50 {
        let service = ServiceId(service);
        let before = BucketTable::compute(service, 1_024, &equal_shares(7));
        let after = BucketTable::compute(service, 1_024, &equal_shares(8));
        let minimum = count_of(&after, 8) as usize;
        let moved = before.changed_buckets(&after).count();
        assert!(
            moved <= 2 * minimum,
            "{moved} buckets moved in service {service}, the minimum is {minimum}"
        );
    }
}

proptest! {
    #[test]
    fn quotas_are_within_one_of_the_exact_share(
        weights in prop::collection::vec(0_u32..=u32::MAX, 1..40),
        bucket_count in 1_u32..5_000,
    ) {
        let quotas = apportion(bucket_count, &weights, |position| position as u64);
        let total: u128 = weights.iter().map(|&weight| u128::from(weight)).sum();
        prop_assume!(total > 0);
        prop_assert_eq!(quotas.iter().sum::<u32>(), bucket_count);
        for (quota, weight) in quotas.iter().zip(&weights) {
            let scaled = u128::from(*weight) * u128::from(bucket_count);
            let floor = (scaled / total) as u32;
            let has_remainder = !scaled.is_multiple_of(total);
            prop_assert!((floor..=floor + u32::from(has_remainder)).contains(quota));
        }
    }

    #[test]
    fn every_bucket_has_a_primary_and_another_secondary(
        weights in prop::collection::vec(0_u32..5_000, 2..12),
        bucket_count in 1_u32..300,
        service in any::<u32>(),
    ) {
        let shares: Vec<Share> = (1..).zip(&weights).map(|(id, &weight)| share(id, weight)).collect();
        let positive = weights.iter().filter(|&&weight| weight > 0).count();
        prop_assume!(positive >= 2);
        let table = BucketTable::compute(ServiceId(service), bucket_count, &shares);
        let mut reversed = shares.clone();
        reversed.reverse();
        prop_assert_eq!(&table, &BucketTable::compute(ServiceId(service), bucket_count, &reversed));
        for bucket in table.buckets() {
            let primary = table.primary(bucket).unwrap();
            let secondary = table.secondary(bucket).unwrap();
            prop_assert_ne!(primary, secondary);
            prop_assert!(weights[primary.0 as usize - 1] > 0);
            prop_assert!(weights[secondary.0 as usize - 1] > 0);
        }
        let quotas = apportion(bucket_count, &weights, |position| {
            rendezvous::BackendSeed::new(ServiceId(service), BackendId(position as u64 + 1)).value()
        });
        for (id, quota) in (1..).zip(quotas) {
            prop_assert_eq!(count_of(&table, id), quota);
        }
    }
}

#[test]
fn packed_positions_keep_their_values() {
    for largest in [0_u16, 1, 2, 3, 4, 15, 16, 255, 256, 4_095, u16::MAX] {
        let positions: Vec<u16> = (0..1_000_u32)
            .map(|index| (index * 7_919 % (u32::from(largest) + 1)) as u16)
            .chain([largest])
            .collect();
        let packed = PackedPositions::new(&positions);
        let read: Vec<u16> = (0..).map_while(|index| packed.get(index)).collect();
        assert_eq!(read, positions);
    }
    assert_eq!(PackedPositions::new(&[]).get(0), None);
}
