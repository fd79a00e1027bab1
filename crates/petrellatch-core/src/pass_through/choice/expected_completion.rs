//! How long a request is likely to take at a back end until its answer.

use petrellatch_proto::pass_through::LoadMessage;

/// How much slower a back end is that still warms up, as long as it has not told its
/// own time: caches and compiled code that are not there yet cost the measured
/// services 1.6 times the time.
const COLD_FACTOR: f64 = 1.6;
/// What the time of work is taken for before any back end of a service has told its
/// own, in milliseconds. All back ends are equal then, so only its ratio to the
/// costs that are stated in times of work counts, and that doesn't depend on it.
const DEFAULT_PROCESSING_MILLIS: f64 = 10.0;

/// The expected time from the placement of a request until its answer, in
/// milliseconds: the time of its work, and its share of the work that is before it.
///
/// A free slot isn't certain to be free when the request comes, as other balancers
/// place requests too. So the requests in hand count also while there are fewer of
/// them than slots.
pub(crate) fn completion_millis(processing_millis: f64, requests: f64, slots: u32) -> f64 {
    processing_millis * (1.0 + requests / f64::from(slots.max(1)))
}

/// How long the first request of a flow waits for a slot for certain, in milliseconds.
pub(crate) fn waiting_millis(processing_millis: f64, requests: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    processing_millis * (requests + 1.0 - slots).max(0.0) / slots
}

/// The time that a back end works on one request, in milliseconds: its own where it is
/// known, or else what its service takes in the mean.
pub(crate) fn processing_millis(load: &LoadMessage, service_mean_millis: Option<f64>) -> f64 {
    if load.processing_micros > 0 {
        return f64::from(load.processing_micros) / 1_000.0;
    }
    let default_millis = default_processing_millis(service_mean_millis);
    default_millis * if load.cold { COLD_FACTOR } else { 1.0 }
}

/// What the work of a service is taken for if nothing more is known of a back end, in
/// milliseconds.
pub(crate) fn default_processing_millis(service_mean_millis: Option<f64>) -> f64 {
    service_mean_millis.unwrap_or(DEFAULT_PROCESSING_MILLIS)
}
