//! Tests of connections that have moved on far from their initial sequence number.

use super::*;

const MEBIBYTE: u32 = 1 << 20;

// Guards against a connection that has carried many bytes being taken for another one.
#[test]
fn a_number_close_to_the_latest_one_belongs_to_a_connection_that_has_moved_on() {
    let initial = u32::MAX - 100;
    for advance in [0, 3 * MEBIBYTE, 5 * MEBIBYTE, 1_000 * MEBIBYTE, u32::MAX] {
        let latest = initial.wrapping_add(advance);
        let known = KnownSequence { initial, latest };
        for distance in [0, 1, 76_800, 3 * MEBIBYTE] {
            assert!(known.is_close(latest.wrapping_add(distance)), "{advance}");
            assert!(known.is_close(latest.wrapping_sub(distance)), "{advance}");
        }
    }
}

#[test]
fn a_number_that_was_acknowledged_before_belongs_to_the_connection() {
    let known = KnownSequence {
        initial: 7,
        latest: 7 + 100 * MEBIBYTE,
    };
    assert!(known.is_close(8));
    assert!(known.is_close(7 + 50 * MEBIBYTE));
}

#[test]
fn a_number_far_from_the_known_part_is_not_close() {
    let known = KnownSequence {
        initial: 7,
        latest: 7 + 100 * MEBIBYTE,
    };
    assert!(!known.is_close(7 + 105 * MEBIBYTE));
    assert!(!known.is_close(7u32.wrapping_sub(5 * MEBIBYTE)));
}
