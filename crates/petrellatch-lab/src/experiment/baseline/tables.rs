//! The configuration of a baseline and the tables made from it.

use petrellatch_core::identity::{BackendId, BucketIndex, ServiceId};
use petrellatch_core::placement::{BucketTable, Share};

use crate::experiment::deployment::Deployment;

/// Buckets of a table; many, as these designs have.
pub(super) const BUCKETS: u32 = 16_384;

/// What operators and health checks say.
#[derive(Clone, Debug)]
pub(super) struct Configuration {
    /// Whether health checks find each back end well.
    pub(super) well: Vec<bool>,
    /// Which back ends drain.
    pub(super) draining: Vec<bool>,
    /// Weights by zone, in thousandths.
    zone_weights: Vec<u32>,
    /// The zone of each back end.
    zones: Vec<usize>,
    /// The service of each back end.
    services: Vec<usize>,
}

impl Configuration {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let places = deployment.backends();
        Configuration {
            well: vec![true; places.len()],
            draining: vec![false; places.len()],
            zone_weights: vec![1_000; deployment.zones.len()],
            zones: places.iter().map(|it| it.zone).collect(),
            services: places.iter().map(|it| it.service).collect(),
        }
    }

    pub(super) fn set_policy(&mut self, zone: usize, weight: u32) {
        self.zone_weights.fill(1_000);
        self.zone_weights[zone] = weight;
    }

    /// Returns the weight of a back end; zero receives nothing new.
    pub(super) fn weight(&self, backend: usize) -> u32 {
        if !self.well[backend] || self.draining[backend] {
            return 0;
        }
        self.zone_weights[self.zones[backend]]
    }

    /// Returns the back ends of a service that receive new flows.
    pub(super) fn receiving(&self, service: usize) -> Vec<usize> {
        let backends = 0..self.services.len();
        backends
            .filter(|it| self.services[*it] == service && self.weight(*it) > 0)
            .collect()
    }
}

/// Names the present and one previous back end of each bucket.
#[derive(Clone, Debug)]
pub(super) struct ServiceTable {
    present: Vec<Option<usize>>,
    previous: Vec<Option<usize>>,
}

impl ServiceTable {
    pub(super) fn new(service: usize, configuration: &Configuration) -> Self {
        ServiceTable {
            present: compute(service, configuration),
            previous: vec![None; BUCKETS as usize],
        }
    }

    /// Takes over a configuration; what a bucket had until now becomes its
    /// previous back end.
    pub(super) fn configure(&mut self, service: usize, configuration: &Configuration) {
        let next = compute(service, configuration);
        for (bucket, backend) in next.into_iter().enumerate() {
            if self.present[bucket] != backend {
                self.previous[bucket] = self.present[bucket];
                self.present[bucket] = backend;
            }
        }
    }

    pub(super) fn present(&self, bucket: BucketIndex) -> Option<usize> {
        self.present[bucket.0 as usize]
    }

    pub(super) fn previous(&self, bucket: BucketIndex) -> Option<usize> {
        self.previous[bucket.0 as usize]
    }
}

fn compute(service: usize, configuration: &Configuration) -> Vec<Option<usize>> {
    let shares: Vec<Share> = configuration
        .receiving(service)
        .into_iter()
        .map(|backend| Share {
            backend: BackendId(backend as u64),
            weight: configuration.weight(backend),
        })
        .collect();
    let id = ServiceId(u32::try_from(service).unwrap_or(u32::MAX));
    let table = BucketTable::compute(id, BUCKETS, &shares);
    table
        .buckets()
        .map(|bucket| table.primary(bucket))
        .map(|backend| backend.and_then(|it| usize::try_from(it.0).ok()))
        .collect()
}
