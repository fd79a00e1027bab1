//! Mean load figures of one service, as one balancer sees it.

use std::time::Duration;

use petrellatch_proto::pass_through::LoadMessage;

/// Weight of one load message in the means over a service. Agents send one in reply to
/// each offer, so that a hundred messages cover all back ends of a service with some dozens
/// of them.
const LOAD_WEIGHT: f64 = 1.0 / 128.0;
/// Weight of one request in the fraction of requests on old flows.
const REQUEST_WEIGHT: f64 = 1.0 / 256.0;
/// A flow of this age is old: a caller that uses a flow for one request or one page has
/// closed it by then, and load messages from its start are out of date.
const OLD_FLOW_AGE: Duration = Duration::from_secs(1);

/// If at least this fraction of the requests is on old flows, most load arises later in a
/// flow's lifetime than at its start, so that only the demand of the open flows counts.
const LONG_LIVED_FRACTION: f64 = 0.5;

/// Means over the back ends and requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceLoad {
    processing_millis: Option<f64>,
    flow_demand: Option<f64>,
    old_fraction: f64,
}

impl ServiceLoad {
    /// Records a load message of an agent of the service.
    pub(crate) fn note_load(&mut self, load: &LoadMessage) {
        if load.processing_micros > 0 && !load.cold {
            let millis = f64::from(load.processing_micros) / 1_000.0;
            note_sample(&mut self.processing_millis, millis);
        }
        if load.open_flows > 0 {
            let slots = f64::from(load.demand_millislots) / 1_000.0;
            note_sample(&mut self.flow_demand, slots / f64::from(load.open_flows));
        }
    }

    /// Records a request on a flow of this age.
    pub(crate) fn note_request(&mut self, flow_age: Duration) {
        let is_old = f64::from(u8::from(flow_age >= OLD_FLOW_AGE));
        self.old_fraction += (is_old - self.old_fraction) * REQUEST_WEIGHT;
    }

    /// The mean processing time of warm back ends, in milliseconds; `None` if no agent has
    /// reported one.
    pub(crate) fn processing_millis(&self) -> Option<f64> {
        self.processing_millis
    }

    /// Mean number of slots that one open flow keeps busy.
    pub(crate) fn flow_demand(&self) -> f64 {
        self.flow_demand.unwrap_or_default()
    }

    /// Weight of the open flows' demand against the in-flight requests, from zero to one.
    pub(crate) fn demand_weight(&self) -> f64 {
        (self.old_fraction / LONG_LIVED_FRACTION).min(1.0)
    }
}

fn note_sample(mean: &mut Option<f64>, sample: f64) {
    let current = mean.get_or_insert(sample);
    *current += (sample - *current) * LOAD_WEIGHT;
}
