//! What the agents and flows of one service have in common, as one balancer sees it.

use std::time::Duration;

use petrellatch_proto::pass_through::LoadMessage;

/// Weight of one told load in the means over a service. Each new flow brings one, and
/// a hundred of them come from all back ends of a service of some dozens.
const LOAD_WEIGHT: f64 = 1.0 / 128.0;
/// Weight of one request in the share of those on old flows.
const REQUEST_WEIGHT: f64 = 1.0 / 256.0;
/// A flow of this age is old: a caller that keeps a flow for one request or one page
/// is done by then, and loads that were told when it came say nothing any more.
const OLD_FLOW_AGE: Duration = Duration::from_secs(1);

/// With this share of the requests on old flows, what comes later on a flow is more than
/// what its first moment brings, and the open flows tell all of the load.
const LONG_LIVED_FRACTION: f64 = 0.5;

/// Means over the back ends and requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceLoad {
    processing_millis: Option<f64>,
    flow_demand: Option<f64>,
    old_fraction: f64,
}

impl ServiceLoad {
    /// Takes the load that an agent of the service told.
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

    /// Notes a request on a flow of this age.
    pub(crate) fn note_request(&mut self, flow_age: Duration) {
        let is_old = f64::from(u8::from(flow_age >= OLD_FLOW_AGE));
        self.old_fraction += (is_old - self.old_fraction) * REQUEST_WEIGHT;
    }

    /// The mean time of work of warm back ends, in milliseconds; none if nobody has told
    /// one.
    pub(crate) fn processing_millis(&self) -> Option<f64> {
        self.processing_millis
    }

    /// Slots that one open flow keeps busy in the mean.
    pub(crate) fn flow_demand(&self) -> f64 {
        self.flow_demand.unwrap_or_default()
    }

    /// How much the demand of open flows counts beside the requests in hand, from zero to
    /// one.
    pub(crate) fn demand_weight(&self) -> f64 {
        (self.old_fraction / LONG_LIVED_FRACTION).min(1.0)
    }
}

fn note_sample(mean: &mut Option<f64>, sample: f64) {
    let current = mean.get_or_insert(sample);
    *current += (sample - *current) * LOAD_WEIGHT;
}
