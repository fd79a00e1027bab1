//! How an agent measures the time of a request in a slot.

use std::time::Duration;

use crate::Timestamp;

use super::super::local_backend::LocalBackend;
use super::control_stub::backend;

fn local(busy: u32) -> LocalBackend {
    let record = backend(1, 1, "a");
    let mut local = LocalBackend::new(Timestamp::ZERO, &record, Duration::ZERO);
    local.present.busy = busy;
    local
}

#[test]
fn waits_are_left_out_of_the_service_time() {
    let answered_after = Duration::from_millis(90);
    let mut idle = local(7);
    idle.record_service_time(answered_after);
    assert_eq!(idle.service_time.estimate(), answered_after);
    // With 21 requests on 7 slots each waits twice as long as it is worked on.
    let mut full = local(21);
    full.record_service_time(answered_after);
    assert_eq!(full.service_time.estimate(), Duration::from_millis(30));
}
