//! The expected time until a back end's response to a request.

use petrellatch_proto::pass_through::LoadMessage;

/// Factor on the processing time of a back end that warms up and has not reported its
/// own. Services measured with empty caches and without compiled code took 1.6 times
/// as long.
const COLD_FACTOR: f64 = 1.6;
/// Processing time that is assumed before any back end of a service has reported its
/// own, in milliseconds. The value has no effect on the selection: all back ends are
/// equal then, and the other costs are fractions of the processing time.
const DEFAULT_PROCESSING_MILLIS: f64 = 10.0;

/// The expected time from the placement of a request until its response, in
/// milliseconds: its own processing time, and its part of the processing time of the
/// requests before it.
///
/// A free slot may be taken when the request arrives, as other balancers place requests
/// too. Therefore in-flight requests count even while there are fewer of them than
/// slots.
pub(crate) fn completion_millis(processing_millis: f64, requests: f64, slots: u32) -> f64 {
    processing_millis * (1.0 + requests / f64::from(slots.max(1)))
}

/// The minimum time that the first request of a flow waits for a slot, in milliseconds.
pub(crate) fn waiting_millis(processing_millis: f64, requests: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    processing_millis * (requests + 1.0 - slots).max(0.0) / slots
}

/// A back end's processing time of one request, in milliseconds: as it was reported, or
/// else the mean of its service, increased for a cold back end.
pub(crate) fn processing_millis(load: &LoadMessage, service_mean_millis: Option<f64>) -> f64 {
    if load.processing_micros > 0 {
        return f64::from(load.processing_micros) / 1_000.0;
    }
    let default_millis = default_processing_millis(service_mean_millis);
    default_millis * if load.cold { COLD_FACTOR } else { 1.0 }
}

/// The processing time that is assumed for a back end that has not reported its own, in
/// milliseconds.
pub(crate) fn default_processing_millis(service_mean_millis: Option<f64>) -> f64 {
    service_mean_millis.unwrap_or(DEFAULT_PROCESSING_MILLIS)
}
